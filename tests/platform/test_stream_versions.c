/* Streams while engines of two software versions serve side by side.
 *
 * Guards against streams that go on at an engine of another version than the one that wrote their first event: no step
 * that chose an engine knew the versions, and about half of all streams that were taken up held events of both. */

#include "platform/streams_lab.h"

enum { LOAD_MS = 3000 };

typedef struct {
    unsigned all, begun, mixed, taken_up, went_on;
} tally_t;

static tally_t count_streams(const streams_world_t *w, guint from)
{
    tally_t t = {0};
    for (guint i = from; i < w->streams->len; i++) {
        const caller_stream_t *const s = g_ptr_array_index(w->streams, i);
        t.all++;
        t.begun += s->wrote != NULL;
        t.mixed += s->mixed;
        t.taken_up += s->taken_up;
        t.went_on += s->went_on;
    }
    g_test_message("%u streams, %u begun, %u taken up, %u went on, %u of two versions, %u crashes", t.all, t.begun,
                   t.taken_up, t.went_on, t.mixed, w->crashed);
    return t;
}

/** The users' bounds: at most two streams of two versions, of which none is the aim; of those taken up half as many go
 *  on as new ones begin, of which as many is the aim. */
static void expect_bounds(const tally_t *t)
{
    g_assert_cmpuint(t->taken_up, >=, 12);
    g_assert_cmpuint(t->mixed, ==, 0);
    g_assert_cmpuint(2 * t->went_on * t->all, >=, t->begun * t->taken_up);
}

/** Engines crash, connections of callers break, and callers go to another box. */
static void test_crashes(streams_world_t *w, gconstpointer data)
{
    (void)data;
    w->crashes = true;
    run_streams(w, LOAD_MS);
    await_streams(w);
    const tally_t t = count_streams(w, 0);
    expect_bounds(&t);
}

/** The same while the leader of the control boxes dies, and boxes place alone until there is another. */
static void test_leader_dies(streams_world_t *w, gconstpointer data)
{
    (void)data;
    w->crashes = true;
    run_streams(w, LOAD_MS / 3);
    stop_box(&w->lab.f, leader(&w->lab.f));
    run_streams(w, LOAD_MS);
    await_streams(w);
    const tally_t t = count_streams(w, 0);
    expect_bounds(&t);
}

/** A second version appears after streams have begun. */
static void test_release(streams_world_t *w, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < ENGINES; i++) {
        w->engines[i].version = "v1";
        name_life(&w->engines[i]);
    }
    lab_run_for(w->lab.f.loop, 500);
    run_streams(w, LOAD_MS / 3);
    for (int i = 1; i < ENGINES; i += 2) {
        lab_backend_crash(w->engines[i].server);
        w->engines[i].return_at = tc_time_now() + LIST_MS;
        w->engines[i].version = "v2";
    }
    run_streams(w, LOAD_MS / 3);
    w->crashes = true;
    run_streams(w, LOAD_MS / 2);
    await_streams(w);
    const tally_t t = count_streams(w, 0);
    expect_bounds(&t);
}

/** All engines of one version leave: its streams that break end there, since none can go on. */
static void test_none_left(streams_world_t *w, gconstpointer data)
{
    (void)data;
    run_streams(w, LOAD_MS / 3);
    drain_version(w, "v1");
    run_streams(w, LOAD_MS / 3);
    await_streams(w);
    const tally_t t = count_streams(w, 0);
    g_assert_cmpuint(t.mixed, ==, 0);
    g_assert_cmpuint(t.begun * 20, >=, t.all * 19);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, fn) g_test_add("/versions/" name, streams_world_t, NULL, set_up_streams, fn, tear_down_streams)
    ADD("crashes", test_crashes);
    ADD("leader-dies", test_leader_dies);
    ADD("release", test_release);
    ADD("none-left", test_none_left);
    return g_test_run();
}
