/* Forwards the events of a stream. Only complete events are forwarded, so that a broken stream can resume after its
 * last event. */

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/counter.h"
#include "common/mutant.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_unfinished, "counter", "trackcove_stream_unfinished_total",
               "Runs of streams that ended within an event, whose bytes were dropped")
COUNTER_DEFINE(c_repeated, "counter", "trackcove_stream_repeated_total",
               "Runs of streams given up since they did not go on behind the event that they were asked to")

/** Buffer limit for an incomplete event, in bytes: half of the send buffer limit for a slow caller. */
enum { EVENT_MAX = 4 * 1024 * 1024 };

/* ===== Events ===== */

/** Reads the id of an event, the last one if there are several. @return for g_free, NULL when there is none */
static char *read_id(const char *event, size_t size)
{
    char *id = NULL;
    const char *line = event;
    const char *const end = event + size;
    while (line < end) {
        const char *const stop = memchr(line, '\n', (size_t)(end - line));
        const size_t length = (size_t)((stop ? stop : end) - line);
        if (length > 3 && memcmp(line, "id:", 3) == 0) {
            g_free(id);
            id = g_strndup(line + 3, length - 3);
            id[strcspn(id, "\r")] = '\0'; /* CR ends a line too; the rest must not become a header line of a request */
            g_strstrip(id);
        }
        line += length + 1;
    }
    return id;
}

/** Whether the event has data and is not only a comment. */
static bool has_data(const char *event, size_t size)
{
    return (size >= 5 && memcmp(event, "data:", 5) == 0) || memmem(event, size, "\ndata:", 6);
}

/** Length of an empty line at the beginning, 0 for none. */
static size_t empty_line(const char *data, size_t size)
{
    if (size >= 1 && data[0] == '\n')
        return 1;
    return size >= 2 && data[0] == '\r' && data[1] == '\n' ? 2 : 0;
}

/** Length of the first event, or of an empty line before it, which has no meaning. @param from where to start the
 * search for its end @return bytes, 0 when the event is incomplete */
static size_t event_length(const char *data, size_t from, size_t size)
{
    const size_t empty = empty_line(data, size);
    if (empty > 0)
        return empty;
    for (size_t i = from > 1 ? from : 1; i < size; i++) {
        if (data[i] != '\n')
            continue;
        if (data[i - 1] == '\n' || (i >= 2 && data[i - 1] == '\r' && data[i - 2] == '\n'))
            return i + 1;
    }
    return 0;
}

static bool is_number(const char *text)
{
    return text[0] && strspn(text, "0123456789") == strlen(text);
}

/** Whether an event may follow another. Numeric ids increase; of other ids only an equal one is known not to follow. */
static bool is_later_id(const char *id, const char *after)
{
    if (!is_number(id) || !is_number(after))
        return strcmp(id, after) != 0;
    id += strspn(id, "0");
    after += strspn(after, "0");
    const size_t digits = strlen(id), digits_after = strlen(after); /* ids may exceed any machine word */
    return digits != digits_after ? digits > digits_after : strcmp(id, after) > 0;
}

/* ===== Fault injection ===== */

/** Incomplete events left by runs that were given up, by request. */
static GHashTable *leftovers;

static void save_leftover(const backend_call_t *call)
{
    if (!leftovers)
        leftovers = g_hash_table_new(NULL, NULL);
    if (call->given_up)
        g_hash_table_insert(leftovers, call->request, g_byte_array_ref(call->run.partial));
}

static void restore_leftover(backend_call_t *call)
{
    GByteArray *const bytes = leftovers ? g_hash_table_lookup(leftovers, call->request) : NULL;
    if (!bytes)
        return;
    g_hash_table_remove(leftovers, call->request);
    if (call->request->stream_runs > 0) /* otherwise they belong to an earlier request at the same address */
        g_byte_array_append(call->run.partial, bytes->data, bytes->len);
    g_byte_array_unref(bytes);
}

/* ===== Runs ===== */

void stream_begin(backend_call_t *call)
{
    forward_t *const f = call->request;
    call->run.partial = g_byte_array_new();
    if (MUTANT_IS(MUTANT_JOINED_RUNS))
        restore_leftover(call);
    call->run.after = g_strdup(f->last_event);
    f->stream_runs++;
}

bool stream_has_begun(const backend_call_t *call)
{
    return call->run.partial != NULL;
}

bool stream_at_boundary(const backend_call_t *call)
{
    return call->run.partial->len == 0;
}

void stream_end(backend_call_t *call, const char *why)
{
    if (!stream_has_begun(call))
        return;
    forward_log_run(call, why);
    counter_add(&c_unfinished, !stream_at_boundary(call));
    if (MUTANT_IS(MUTANT_JOINED_RUNS))
        save_leftover(call);
    g_byte_array_unref(call->run.partial);
    g_free(call->run.after);
    g_free(call->run.first);
    g_free(call->run.last);
    call->run = (stream_run_t){0};
}

/* ===== Forwarding ===== */

/** Records the id of a forwarded event. @param id taken over */
static void record_id(backend_call_t *call, char *id)
{
    forward_t *const f = call->request;
    stream_run_t *const run = &call->run;
    if (!run->first)
        run->first = g_strdup(id);
    g_free(run->last);
    run->last = g_strdup(id);
    g_free(f->last_event);
    f->last_event = id;
}

/** Processes a complete event. @return whether to forward it. A run that restarts instead of continuing after the
 *  requested event may produce a different text in different events, so the part that the caller lacks is unknown. */
static bool accept_event(backend_call_t *call, const char *event, size_t size)
{
    forward_t *const f = call->request;
    stream_run_t *const run = &call->run;
    if (empty_line(event, size) > 0)
        return true;
    char *const id = read_id(event, size);
    if (id && run->after[0] && route_is_repeatable(f->route) && !is_later_id(id, run->after)) {
        g_free(id);
        return false;
    }
    if (id)
        record_id(call, id);
    if (f->events == 0)
        version_bind(f, call->instance);
    if (run->events == 0)
        parts_begun(f);
    const bool answers = has_data(event, size);
    f->has_unnamed_event = !id && (f->has_unnamed_event || answers);
    run->events++;
    run->answers += answers;
    run->bytes += size;
    f->events++;
    f->bytes += size;
    f->digest = XXH64(event, size, f->digest); /* per event, so that it does not depend on how the bytes arrive */
    return true;
}

static void record_time(forward_t *f, tc_time_t now)
{
    const tc_time_t pause = f->event_at ? now - f->event_at : 0;
    f->pause = pause > f->pause ? pause : f->pause;
    f->first_at = f->first_at ? f->first_at : now;
    f->event_at = now;
}

/** Sends the first @p used buffered bytes to the caller. */
static void forward_events(backend_call_t *call, size_t used)
{
    if (used == 0)
        return;
    record_time(call->request, tc_time_now());
    web_write(call->request->exchange, call->run.partial->data, used);
    g_byte_array_remove_range(call->run.partial, 0, (guint)used);
}

stream_held_t stream_hold(backend_call_t *call, const char *data, size_t size)
{
    stream_run_t *const run = &call->run;
    g_byte_array_append(run->partial, (const guint8 *)data, (guint)size);
    size_t length;
    while ((length = event_length((const char *)run->partial->data, run->searched, run->partial->len)) > 0) {
        run->searched = 0;
        if (has_data((const char *)run->partial->data, length))
            return STREAM_HELD_EVENT;
        g_byte_array_remove_range(run->partial, 0, (guint)length);
    }
    run->searched = run->partial->len;
    return run->partial->len > EVENT_MAX ? STREAM_HELD_TOO_LARGE : STREAM_HELD_NOTHING;
}

bool stream_holds_whole(const backend_call_t *call)
{
    const char *const bytes = (const char *)call->run.partial->data;
    const size_t size = call->run.partial->len;
    size_t whole = 0, length;
    while ((length = event_length(bytes + whole, 0, size - whole)) > 0)
        whole += length;
    return whole == size;
}

bool stream_is_receiving(const backend_call_t *call)
{
    return call->run.partial->len > 0 && call->run.partial->data[0] != ':';
}

stream_result_t stream_feed(backend_call_t *call, const char *data, size_t size)
{
    stream_run_t *const run = &call->run;
    g_byte_array_append(run->partial, (const guint8 *)data, (guint)size);
    const char *const bytes = (const char *)run->partial->data;
    size_t used = 0, from = run->searched, length;
    bool continues = true;
    while (continues && (length = event_length(bytes + used, from, run->partial->len - used)) > 0) {
        continues = accept_event(call, bytes + used, length);
        used += continues ? length : 0;
        from = 0;
    }
    forward_events(call, used);
    buffer_settle(call, used);
    run->searched = run->partial->len;
    if (!continues) {
        counter_add(&c_repeated, 1);
        return STREAM_REPEATED;
    }
    return run->partial->len > EVENT_MAX ? STREAM_TOO_LARGE : STREAM_OK;
}
