/** @file api.h
 * HTTP interface of an entry box.
 *
 *   POST /v1/completions /v1/chat/completions
 *   GET  /v1/entries?dc=DC
 *   ANY  /v1/services/NAME/...
 *   GET  /v1/engines /healthz /readyz /metrics
 */
#ifndef TRACKCOVE_REQUEST_API_H
#define TRACKCOVE_REQUEST_API_H

#include "request/entry.h"

/** Registers the handlers on @p server. @p entry must outlive the server. */
void api_route(entry_t *entry, http_server_t *server);

#endif
