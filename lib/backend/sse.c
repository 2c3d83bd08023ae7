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
    sse->data = malloc(SSE_LINE_MAX);
    if (!sse->line || !sse->data)
        abort();
}

void sse_free(sse_t *sse)
{
    free(sse->line);
    free(sse->data);
    sse->line = NULL;
    sse->data = NULL;
}

/* ===== Lines ===== */

/** The value of a field if the line is that field, else NULL. */
static const char *field_value(const char *line, const char *name)
{
    const size_t length = strlen(name);
    if (strncmp(line, name, length) != 0 || line[length] != ':')
        return NULL;
    return line[length + 1] == ' ' ? line + length + 2 : line + length + 1;
}

/** Fails on an id that is too long: a truncated one could equal another id. */
static bool set_id(sse_t *sse, const char *id)
{
    const size_t length = strlen(id);
    if (length >= sizeof(sse->id))
        return false;
    memcpy(sse->id, id, length + 1);
    sse->has_id = true;
    return true;
}

static bool append_data(sse_t *sse, const char *data)
{
    const size_t length = strlen(data);
    if (sse->data_used + length + 2 > SSE_LINE_MAX) /* room for a newline before and a terminator after it */
        return false;
    if (sse->has_data)
        sse->data[sse->data_used++] = '\n';
    memcpy(sse->data + sse->data_used, data, length + 1);
    sse->data_used += length;
    sse->has_data = true;
    return true;
}

/** Completes the event at its blank line. Fields may come in any order, and are reset for the next event. */
static bool end_event(sse_t *sse)
{
    const sse_event_t event = {.id = sse->id, .has_id = sse->has_id, .name = sse->name, .data = sse->data};
    const bool proceed = !sse->has_data || sse->on_event(sse->arg, &event);
    sse->name[0] = '\0';
    sse->has_id = false;
    sse->has_data = false;
    sse->data_used = 0;
    return proceed;
}

static bool handle_line(sse_t *sse)
{
    if (sse->used > 0 && sse->line[sse->used - 1] == '\r')
        sse->used--;
    sse->line[sse->used] = '\0';
    const bool blank = sse->used == 0;
    sse->used = 0;
    if (blank)
        return end_event(sse);
    const char *const id = field_value(sse->line, "id");
    const char *const name = field_value(sse->line, "event");
    const char *const data = field_value(sse->line, "data");
    if (name)
        snprintf(sse->name, sizeof(sse->name), "%s", name);
    if (id)
        return set_id(sse, id);
    return !data || append_data(sse, data);
}

/* ===== Bytes ===== */

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
