/** @file pages.h
 * The pages that every daemon serves: /healthz and /metrics.
 */
#ifndef TRACKCOVE_HTTP_PAGES_H
#define TRACKCOVE_HTTP_PAGES_H

#include "http/http.h"

/** Registers both pages on @p server. */
void pages_route(http_server_t *server);

#endif
