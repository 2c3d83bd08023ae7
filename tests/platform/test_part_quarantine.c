/* Requests with a part in their prompts that crashes each engine that begins to write on it, no two alike.
 *
 * Guards against engines that end one after the other under such requests: each request was new to the quarantine,
 * which knew requests as a whole, and requests that ran beside them were held instead. */

#include "platform/streams_lab.h"

enum {
    BEFORE_MS = 1500,     /* sound requests alone */
    AFTER_MS = 3000,      /* sound requests that are compared, from 2 * CONTACT_MS after the fifth crash on */
    LATE_ARRIVALS_MAX = 3 /* the users' bound */
};

typedef struct {
    unsigned all, begun;
} sound_t;

/** Sound requests of that time, and those that began at their first attempt. */
static sound_t count_sound(const streams_world_t *w, tc_time_t from, tc_time_t to)
{
    sound_t n = {0};
    for (guint i = 0; i < w->streams->len; i++) {
        const caller_stream_t *const s = g_ptr_array_index(w->streams, i);
        if (s->is_fatal || s->begun < from || s->begun >= to)
            continue;
        n.all++;
        n.begun += s->began_at_first;
    }
    return n;
}

static void expect_bounds(const streams_world_t *w, tc_time_t began)
{
    const tc_time_t from = w->fifth_at ? w->fifth_at : began; /* they may have been stopped before */
    const sound_t before = count_sound(w, 0, began), after = count_sound(w, from + 2 * CONTACT_MS, TC_TIME_NEVER);
    g_test_message("%u crashes under the part, %u late arrivals; sound ones begun at first: %u of %u before, %u of %u "
                   "after",
                   w->fatal_crashes, w->fatal_late, before.begun, before.all, after.begun, after.all);
    g_assert_cmpuint(w->fatal_late, <=, LATE_ARRIVALS_MAX);
    g_assert_cmpuint(before.all, >=, 20);
    g_assert_cmpuint(after.all, >=, 20);
    g_assert_cmpuint(2 * after.begun * before.all, >=, before.begun * after.all);
}

static void run_fatal(streams_world_t *w)
{
    const tc_time_t began = tc_time_now() + BEFORE_MS;
    run_streams(w, BEFORE_MS);
    w->sends_fatal = true;
    run_streams(w, 2 * CONTACT_MS + AFTER_MS);
    w->sends_fatal = false;
    await_streams(w);
    expect_bounds(w, began);
}

/** One part, at all boxes. */
static void test_one_part(streams_world_t *w, gconstpointer data)
{
    (void)data;
    run_fatal(w);
}

/** The leader dies while requests with the part come: the next one knows it. */
static void test_leader_dies(streams_world_t *w, gconstpointer data)
{
    (void)data;
    const tc_time_t began = tc_time_now() + BEFORE_MS;
    run_streams(w, BEFORE_MS);
    w->sends_fatal = true;
    run_streams(w, 1000);
    stop_box(&w->lab.f, leader(&w->lab.f));
    run_streams(w, 2 * CONTACT_MS + AFTER_MS);
    w->sends_fatal = false;
    await_streams(w);
    expect_bounds(w, began);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, fn) g_test_add("/part-quarantine/" name, streams_world_t, NULL, set_up_streams, fn, tear_down_streams)
    ADD("one-part", test_one_part);
    ADD("leader-dies", test_leader_dies);
    return g_test_run();
}
