#include "backend/sse.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void sse_init(sse_t *sse, sse_event_fn_t on_event, void *arg)
{
    memset(sse, 0, sizeof(*sse));
    sse->on_event = on_event;
    sse->arg = arg;
    sse->line = malloc(SSE_LINE_MAX);
    if (!sse->line)
        abort();
}

void sse_free(sse_t *sse)
{
    free(sse->line);
    sse->line = NULL;
}

/** The value of a field if the line is that field, else NULL. */
static const char *field(const char *line, const char *name)
{
    const size_t length = strlen(name);
    if (strncmp(line, name, length) != 0 || line[length] != ':')
        return NULL;
    return line[length + 1] == ' ' ? line + length + 2 : line + length + 1;
}

/** Servers we meet put each event's data on one line, so an event is complete with its data line. */
static bool handle_line(sse_t *sse)
{
    if (sse->used > 0 && sse->line[sse->used - 1] == '\r')
        sse->used--;
    sse->line[sse->used] = '\0';
    sse->used = 0;
    const char *const id = field(sse->line, "id");
    const char *const name = field(sse->line, "event");
    const char *const data = field(sse->line, "data");
    if (id)
        snprintf(sse->id, sizeof(sse->id), "%s", id);
    if (name)
        snprintf(sse->name, sizeof(sse->name), "%s", name);
    if (!data)
        return true;
    const sse_event_t event = {.id = sse->id, .name = sse->name, .data = data};
    const bool go_on = sse->on_event(sse->arg, &event);
    sse->name[0] = '\0';
    return go_on;
}

bool sse_feed(sse_t *sse, const char *data, size_t size)
{
    for (size_t i = 0; i < size; i++) {
        if (data[i] == '\n') {
            if (!handle_line(sse))
                return false;
        } else if (sse->used + 1 < SSE_LINE_MAX) {
            sse->line[sse->used++] = data[i];
        } else {
            return false;
        }
    }
    return true;
}
