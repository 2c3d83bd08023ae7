/** @file service.h
 * Plain services: forwards each call to one worker, with the same guarantees on repeated requests as completions.
 */
#ifndef TRACKCOVE_REQUEST_SERVICE_H
#define TRACKCOVE_REQUEST_SERVICE_H

#include "request/entry.h"

/** Serves /v1/services/NAME/... . Blocks until the response is sent. @return the status sent */
int service_serve(entry_t *entry, struct mg_connection *conn);

#endif
