#include "platform/soak/record.h"

#include <string.h>

/* ===== Creation ===== */

static void event_free(void *arg)
{
    record_event_t *const e = arg;
    g_string_free(e->bytes, TRUE);
    g_free(e);
}

record_t *record_create(unsigned tokens)
{
    record_t *const r = g_new0(record_t, 1);
    r->tokens = tokens;
    r->events = g_ptr_array_new_with_free_func(event_free);
    return r;
}

void record_destroy(record_t *r)
{
    g_ptr_array_free(r->events, TRUE);
    g_free(r);
}

/* ===== Events of runs ===== */

void record_add(record_t *r, const record_event_t *event)
{
    record_event_t *const copy = g_new(record_event_t, 1);
    *copy = *event;
    g_ptr_array_add(r->events, copy);
}

bool record_ends_with(const record_t *r, unsigned token)
{
    for (guint i = 0; i < r->events->len; i++)
        if (((const record_event_t *)g_ptr_array_index(r->events, i))->last == token)
            return true;
    return token == 0;
}

/* ===== Answers ===== */

/** Size of the first event in bytes, 0 when it is incomplete. An event ends with an empty line. */
static size_t event_size(const char *data, size_t size)
{
    size_t line = 0; /* start of the line */
    for (size_t i = 0; i < size; i++) {
        if (data[i] != '\n')
            continue;
        const bool empty = i == line || (i == line + 1 && data[line] == '\r');
        if (empty && line > 0)
            return i + 1;
        line = i + 1;
    }
    return 0;
}

/** Returns the event with the same bytes that a run sent completely, or NULL. */
static const record_event_t *find_event(const record_t *r, const char *data, size_t size)
{
    for (guint i = 0; i < r->events->len; i++) {
        const record_event_t *const e = g_ptr_array_index(r->events, i);
        if (e->written == size && e->bytes->len == size && memcmp(e->bytes->str, data, size) == 0)
            return e;
    }
    return NULL;
}

/** Whether @p e may follow the client's last event: it is of the same run, or of a later run that resumed just after
 * that event. */
static bool may_follow(const record_t *r, const record_event_t *e)
{
    if (e->run.number == r->run)
        return true;
    return e->run.number > r->run && e->run.after == r->last;
}

static const char *check_event(record_t *r, const char *data, size_t size)
{
    const record_event_t *const e = find_event(r, data, size);
    if (!e)
        return "each event of a stream equals one that a run produced, byte for byte";
    if (e->first <= r->last)
        return "no event of a stream is repeated";
    if (e->first > r->last + 1)
        return "no event of a stream is lost";
    if (!may_follow(r, e))
        return "a run of a stream resumes after the event before it";
    if (r->version > 0 && e->run.version != r->version)
        return "the events of a stream are of one software version";
    r->version = e->run.version;
    r->last = e->last;
    r->run = e->run.number;
    return NULL;
}

/** Whether the rest of a truncated answer is a prefix of the next event, as a run produced it. */
static bool is_event_prefix(const record_t *r, const char *data, size_t size)
{
    for (guint i = 0; i < r->events->len; i++) {
        const record_event_t *const e = g_ptr_array_index(r->events, i);
        if (e->first == r->last + 1 && may_follow(r, e) && e->written >= size && memcmp(e->bytes->str, data, size) == 0)
            return true;
    }
    return size == 0;
}

const char *record_check_answer(record_t *r, const char *body, size_t size, bool complete)
{
    size_t length;
    while ((length = event_size(body, size)) > 0) {
        const char *const error = check_event(r, body, length);
        if (error)
            return error;
        body += length;
        size -= length;
    }
    if (!is_event_prefix(r, body, size))
        return "the truncated end of a stream is a prefix of an event that a run produced";
    if (complete && (size > 0 || r->last != r->tokens))
        return "a stream that ends without error is complete";
    return NULL;
}
