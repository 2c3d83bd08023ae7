/** @file sse.h
 * Reader of server-sent events: bytes in, whole events out. No I/O.
 *
 * A reader belongs to one transfer and is freed with it, and with it the bytes of an event that did not become whole.
 */
#ifndef TRACKCOVE_BACKEND_SSE_H
#define TRACKCOVE_BACKEND_SSE_H

#include <stdbool.h>
#include <stddef.h>

/** Longest line, and most data of one event; more ends the reading. */
#define SSE_LINE_MAX 65536

/** One event; strings are borrowed for the call. */
typedef struct {
    const char *id;   /**< last id seen, "" for none */
    bool has_id;      /**< that id stands in this event */
    const char *name; /**< "event:" field, "" for none */
    const char *data; /**< lines of data with '\n' between them */
} sse_event_t;

/** @return false to stop reading */
typedef bool (*sse_event_fn_t)(void *arg, const sse_event_t *event);

typedef struct {
    sse_event_fn_t on_event;
    void *arg;
    char *line;
    size_t used;
    char id[32];
    /* the event under way; a blank line makes it whole */
    char name[32];
    bool own_id, has_data;
    char *data;
    size_t data_used;
} sse_t;

void sse_init(sse_t *sse, sse_event_fn_t on_event, void *arg);
void sse_free(sse_t *sse);

/** Take bytes. @return false when the handler stopped, or a line, an id or an event is too long */
bool sse_feed(sse_t *sse, const char *data, size_t size);

#endif
