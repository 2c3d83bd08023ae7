/** @file pages.h
 * Pages that every daemon serves: /healthz and /metrics.
 */
#ifndef TRACKCOVE_HTTP_PAGES_H
#define TRACKCOVE_HTTP_PAGES_H

#include "http/http.h"

/** Route both. */
void pages_route(http_server_t *server);

#endif
