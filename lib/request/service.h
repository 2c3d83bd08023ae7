/** @file service.h
 * Plain services: calls passed to one of their workers, with the same promises on repeats as completions.
 */
#ifndef TRACKCOVE_REQUEST_SERVICE_H
#define TRACKCOVE_REQUEST_SERVICE_H

#include "request/entry.h"

/** Serve /v1/services/NAME/... . Blocks. @return the status sent */
int service_serve(entry_t *entry, struct mg_connection *conn);

#endif
