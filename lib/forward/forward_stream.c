/* Events of a stream: passed on whole, so that a stream that breaks can be taken up behind its last one. */

#include <string.h>

#include "forward/forward_internal.h"

enum { EVENT_MAX = 1024 * 1024 };

/** Remember the id of an event, its last one if it names several. */
static void note_id(forward_t *f, const char *event, size_t size)
{
    const char *line = event;
    const char *const end = event + size;
    while (line < end) {
        const char *const stop = memchr(line, '\n', (size_t)(end - line));
        const size_t length = (size_t)((stop ? stop : end) - line);
        if (length > 3 && memcmp(line, "id:", 3) == 0) {
            char *const id = g_strstrip(g_strndup(line + 3, length - 3));
            g_strlcpy(f->last_event, id, sizeof(f->last_event));
            g_free(id);
        }
        line += length + 1;
    }
}

/** Bytes up to the end of the first whole event, 0 when there is none. */
static size_t event_length(const char *data, size_t size)
{
    for (size_t i = 1; i < size; i++) {
        if (data[i] != '\n')
            continue;
        if (data[i - 1] == '\n' || (i >= 2 && data[i - 1] == '\r' && data[i - 2] == '\n'))
            return i + 1;
    }
    return 0;
}

static void note_time(forward_t *f, tc_time_t now)
{
    const tc_time_t pause = f->event_at ? now - f->event_at : 0;
    f->pause = pause > f->pause ? pause : f->pause;
    f->first_at = f->first_at ? f->first_at : now;
    f->event_at = now;
}

void stream_take(forward_t *f, const char *data, size_t size)
{
    g_byte_array_append(f->partial, (const guint8 *)data, (guint)size);
    size_t used = 0, length;
    const char *const bytes = (const char *)f->partial->data;
    while ((length = event_length(bytes + used, f->partial->len - used)) > 0) {
        note_id(f, bytes + used, length);
        f->events++;
        used += length;
    }
    if (used > 0) {
        note_time(f, tc_time_now());
        web_add(f->exchange, bytes, used);
        g_byte_array_remove_range(f->partial, 0, (guint)used);
    }
    if (f->partial->len > EVENT_MAX)
        g_byte_array_set_size(f->partial, EVENT_MAX); /* no event: the stream will not count as whole */
}

bool stream_is_whole(const forward_t *f)
{
    return f->partial->len == 0;
}
