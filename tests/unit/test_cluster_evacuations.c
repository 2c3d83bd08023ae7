/* Evacuations in the replicated log: an accepted one survives the restart of every box, and is acknowledged when all
 * live boxes apply it. */

#include <glib.h>
#include <string.h>

#include "unit/cluster_lab.h"

static void evacuate_at(fixture_t *f, int at, const char *dc, bool on)
{
    f->proposal_done = false;
    replica_evacuate(f->replica[at], dc, on, on_proposal_done, f);
    lab_run_until_true(f->loop, &f->proposal_done);
}

/** Repeats the order until it is accepted, as an operator does. */
static void evacuate(fixture_t *f, const char *dc, bool on)
{
    do {
        evacuate_at(f, await_leader(f), dc, on);
    } while (f->proposal_rc == TC_E_NOT_LEADER || f->proposal_rc == TC_E_BROKEN || f->proposal_rc == TC_E_TIMEOUT);
    g_assert_cmpint(f->proposal_rc, ==, TC_OK);
}

static bool has_evacuations(void *arg)
{
    const fixture_t *const f = arg;
    const int at = leader(f);
    return at >= 0 && replica_evacuations(f->replica[at]);
}

/** A leader's lease may lapse between two looks, on a busy machine: the second one indexed the boxes by -1. */
static void expect(fixture_t *f, const char *dc, bool on)
{
    const evacuations_t *held = NULL;
    while (!held) {
        lab_run_until(f->loop, has_evacuations, f);
        held = replica_evacuations(f->replica[await_leader(f)]); /* NULL: not certain at the moment */
    }
    g_assert_true(evacuations_has(held, dc) == on);
}

static void start_all(fixture_t *f, bool found)
{
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, found);
}

static void test_outlive_leader_and_restart(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, true);
    put(f, 4);
    evacuate(f, "a", true);
    evacuate(f, "b", true);
    evacuate(f, "a", true); /* repeated */
    const int gone = await_leader(f);
    stop_box(f, gone);
    expect(f, "a", true);
    evacuate(f, "a", false);
    evacuate(f, "a", false);
    for (int i = 0; i < SEEDS; i++)
        stop_box(f, i);
    start_all(f, false);
    expect(f, "b", true);
    expect(f, "a", false);
    expect_read(f, 4);
}

/** A box without any log entry gets the evacuations with the snapshot. */
static void test_in_snapshots(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, true);
    evacuate(f, "a", true);
    f->awaited = (uint64_t)counter_read("trackcove_cluster_snapshots_total") + SEEDS;
    put(f, 4);
    lab_run_until(f->loop, snapshots_awaited, f);
    const int gone = await_leader(f);
    stop_box(f, gone);
    start_box(f, 3, false); /* a new box without data */
    f->awaited_box = 3;
    lab_run_until(f->loop, three_with_awaited, f);
    const int next = await_leader(f);
    int other = 0; /* one of the two seeds that run; either when the new box leads */
    while (other == gone || other == next)
        other++;
    stop_box(f, other);
    expect(f, "a", true); /* known to the remaining box and the new one */
}

/* ===== Boxes ===== */

typedef struct {
    fixture_t *f;
    uint64_t version;
    bool evacuated; /* whether data centre "a" is, by the last update */
} box_t;

static bool on_document(void *arg, const document_t *document)
{
    (void)arg, (void)document;
    return true;
}

static void on_evacuations(void *arg, const evacuations_t *evacuations)
{
    box_t *const box = arg;
    g_assert_cmpuint(evacuations->version, >, box->version); /* versions only increase */
    box->version = evacuations->version;
    box->evacuated = evacuations_has(evacuations, "a");
}

static bool has_reported(void *arg)
{
    return reporter_leader_contact_time(((fixture_t *)arg)->reporter) > 0;
}

static bool is_evacuated(void *arg)
{
    return ((box_t *)arg)->evacuated;
}

static void start_reporter(box_t *box, const char *control)
{
    fixture_t *const f = box->f;
    const char *const controls[] = {control, NULL}, *const nobody[] = {NULL};
    lab_unused_addr(f->self.peer_addr);
    codec_copy_string(f->self.box, sizeof(f->self.box), "entry");
    codec_copy_string(f->self.http_addr, sizeof(f->self.http_addr), "127.0.0.1:1");
    f->self.incarnation++;
    const reporter_options_t options = {.peer_listen = f->self.peer_addr, .controls = controls, .neighbours = nobody};
    const reporter_events_t events = {.on_document = on_document, .on_evacuations = on_evacuations, .arg = box};
    tc_err_t err = {0};
    f->reporter = reporter_create(f->loop, &f->self, &options, &events, &err);
    g_assert_nonnull(f->reporter);
}

/** An acknowledged evacuation is in force at every live box; a box that starts later learns of it before it serves. */
static void test_boxes(fixture_t *f, gconstpointer data)
{
    (void)data;
    box_t box = {.f = f};
    start_all(f, true);
    put(f, 4);
    start_reporter(&box, f->addr[await_leader(f)]);
    lab_run_until(f->loop, has_reported, f);
    const int64_t unspread = counter_read("trackcove_cluster_unspread_total");
    evacuate(f, "a", true);
    g_assert_true(box.evacuated || counter_read("trackcove_cluster_unspread_total") > unspread);
    lab_run_until(f->loop, is_evacuated, &box);
    evacuate(f, "a", false);
    evacuate(f, "a", true);
    lab_run_until(f->loop, is_evacuated, &box);
    reporter_destroy(f->reporter);
    box = (box_t){.f = f};
    const int follower = (await_leader(f) + 1) % SEEDS;
    start_reporter(&box, f->addr[follower]);
    lab_run_until(f->loop, is_evacuated, &box);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/cluster-evacuations/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("outlive-leader-and-restart", test_outlive_leader_and_restart);
    TEST("in-snapshots", test_in_snapshots);
    TEST("boxes", test_boxes);
    return g_test_run();
}
