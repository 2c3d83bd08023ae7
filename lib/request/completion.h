/** @file completion.h
 * A completion from the caller's request to the whole answer: claim, place, prefill, hand over, decode, retry.
 */
#ifndef TRACKCOVE_REQUEST_COMPLETION_H
#define TRACKCOVE_REQUEST_COMPLETION_H

#include "request/entry.h"

/** Serve /v1/completions (chat false) or /v1/chat/completions. Blocks. @return the status sent */
int completion_serve(entry_t *entry, struct mg_connection *conn, bool chat);

#endif
