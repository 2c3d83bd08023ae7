/** @file sse.h
 * Incremental parser of server-sent events. No I/O.
 *
 * A parser belongs to one transfer and is freed with it; an incomplete event at the end of the transfer is dropped.
 */
#ifndef TRACKCOVE_BACKEND_SSE_H
#define TRACKCOVE_BACKEND_SSE_H

#include <stdbool.h>
#include <stddef.h>

/** Longest line, and most data of one event, bytes; a longer one ends the parsing. */
#define SSE_LINE_MAX 65536

/** One event; strings are valid during the call. */
typedef struct {
    const char *id;   /**< last id received, "" for none */
    bool has_id;      /**< the id belongs to this event, not to an earlier one */
    const char *name; /**< "event:" field, "" for none */
    const char *data; /**< lines of data with '\n' between them */
} sse_event_t;

/** @return false to stop parsing */
typedef bool (*sse_event_fn_t)(void *arg, const sse_event_t *event);

typedef struct {
    sse_event_fn_t on_event;
    void *arg;
    char *line;
    size_t used;
    char id[32];
    /* the current event; a blank line completes it */
    char name[32];
    bool has_id, has_data;
    char *data;
    size_t data_used;
} sse_t;

void sse_init(sse_t *sse, sse_event_fn_t on_event, void *arg);
void sse_free(sse_t *sse);

/** Parses more bytes. @return false when the handler stopped, or a line, an id or an event is too long */
bool sse_feed(sse_t *sse, const char *data, size_t size);

#endif
