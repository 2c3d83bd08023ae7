/** @file completion.h
 * Life cycle of a completion request: claim, placement, prefill, KV transfer, decode and retries.
 */
#ifndef TRACKCOVE_REQUEST_COMPLETION_H
#define TRACKCOVE_REQUEST_COMPLETION_H

#include "request/entry.h"

/** Serves /v1/completions (@p chat false) or /v1/chat/completions. Blocks until the response is complete.
 * @return the status of a refused request; otherwise 200 for a complete answer and 503 for any other outcome */
int completion_serve(entry_t *entry, struct mg_connection *conn, bool chat);

#endif
