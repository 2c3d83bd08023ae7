/* Events of a stream: passed on whole, so that a stream that breaks can be taken up behind its last one. */

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/counter.h"
#include "forward/forward_internal.h"

enum { EVENT_MAX = 1024 * 1024 };

/** Read the id of an event, its last one if it names several. @return whether it has one */
static bool read_id(const char *event, size_t size, char to[EVENT_ID_SIZE])
{
    bool found = false;
    const char *line = event;
    const char *const end = event + size;
    while (line < end) {
        const char *const stop = memchr(line, '\n', (size_t)(end - line));
        const size_t length = (size_t)((stop ? stop : end) - line);
        if (length > 3 && memcmp(line, "id:", 3) == 0) {
            char *const id = g_strstrip(g_strndup(line + 3, length - 3));
            g_strlcpy(to, id, EVENT_ID_SIZE);
            g_free(id);
            found = true;
        }
        line += length + 1;
    }
    return found;
}

/** A whole event has come. */
static void note_event(step_t *s, const char *event, size_t size)
{
    forward_t *const f = s->request;
    stream_run_t *const run = &s->run;
    if (read_id(event, size, run->last)) {
        g_strlcpy(f->last_event, run->last, sizeof(f->last_event));
        if (!run->first[0])
            g_strlcpy(run->first, run->last, sizeof(run->first));
    }
    run->events++;
    run->bytes += size;
    f->events++;
    f->bytes += size;
    f->digest = XXH64(event, size, f->digest); /* event by event: as they come in does not matter */
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

void stream_take(step_t *s, const char *data, size_t size)
{
    forward_t *const f = s->request;
    g_byte_array_append(f->partial, (const guint8 *)data, (guint)size);
    size_t used = 0, length;
    const char *const bytes = (const char *)f->partial->data;
    while ((length = event_length(bytes + used, f->partial->len - used)) > 0) {
        note_event(s, bytes + used, length);
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
