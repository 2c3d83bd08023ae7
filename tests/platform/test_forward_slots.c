/* Slots of plain back ends at an entry box, with a fake leader that answers when the test asks it to.
 *
 * Guards against requests that wait in a back end's queue, or are refused there, since boxes choose by counts that are
 * 173 ms old at the median: where slots are active, the box sends to no back end without a slot. Also guards against
 * slots that are lost or returned twice: each granted slot ends in exactly one slot_done, whatever happens to the
 * request, and a leader that does not answer costs a bounded time. */

#include "platform/forward_slots_lab.h"

/* ===== Granted ===== */

/** The granted back end gets the request, although the box's own count prefers the other, and the slot ends once. */
static void test_granted(world_t *w, gconstpointer data)
{
    (void)data;
    lab_call_t *const c = begin_asking(w, "o", "o");
    lab_run_for(w->f.loop, 30);
    g_assert_cmpuint(requests(&w->f, 0) + requests(&w->f, 1), ==, 0); /* nothing was sent without a slot */
    const msg_slot_take_t *const take = &w->takes[0];
    g_assert_cmpstr(take->id, ==, "id1");
    g_assert_cmpstr(take->service, ==, "app");
    g_assert_cmpstr(take->dc, ==, "a");
    g_assert_cmpuint(take->fingerprint, !=, 0);
    g_assert_cmpuint(take->patience_ms, >, 2000);
    g_assert_cmpuint(take->patience_ms, <=, 3000);
    g_assert_false(take->again);
    g_assert_cmpuint(take->connections, ==, 630); /* as the service's configuration states */
    instance_begin(fleet_find(w->f.fleet, "i-1"), 0, 0);
    grant_to_end(w, c, 0, "i-1", 7);
    instance_end(fleet_find(w->f.fleet, "i-1"), 0, 0);
    g_assert_cmpuint(requests(&w->f, 1), ==, 1);
    expect_done(w, 1, 7, SLOT_OUTCOME_ANSWERED);
    g_assert_cmpstr(w->dones[0].backend, ==, "i-1");
}

/** A queued request keeps its position: while the leader lives, the box repeats its query and sends nothing. */
static void test_waits(world_t *w, gconstpointer data)
{
    (void)data;
    start_app(w, "o", "o");
    lab_call_t *const c = begin(&w->f, "/safe/x");
    await_takes(w, 3);
    g_assert_true(w->takes[1].again && w->takes[2].again);
    g_assert_cmpuint(w->takes[2].waited_ms, >=, 2 * 200);
    g_assert_cmpuint(requests(&w->f, 0) + requests(&w->f, 1), ==, 0);
    grant_to_end(w, c, 2, "i-0", 5);
    expect_done(w, 1, 5, SLOT_OUTCOME_ANSWERED);
}

/** How the first back end fails. */
typedef struct {
    const char *path, *reply;
    slot_outcome_t outcome;
} failure_t;

static const failure_t failures[] = {{"/forward-slots/refused-by-back-end", "n", SLOT_OUTCOME_REFUSED},
                                     {"/forward-slots/failed", "e", SLOT_OUTCOME_FAILED},
                                     {"/forward-slots/lost", "r", SLOT_OUTCOME_LOST}};

/** A back end's own refusal and its failure: the slot ends with that outcome, and the next try asks for a slot at
 *  another back end. */
static void test_asks_again(world_t *w, gconstpointer data)
{
    const failure_t *const failure = data;
    lab_call_t *const c = begin_asking(w, failure->reply, "o");
    grant(w, 0, "i-0", 1);
    await_takes(w, 2);
    g_assert_true(w->takes[1].again); /* the leader counts a request only once for the retry budget */
    g_assert_cmpuint(w->tried[1], ==, 1);
    g_assert_cmpstr(w->last_tried, ==, "i-0");
    expect_done(w, 1, 1, failure->outcome);
    grant_to_end(w, c, 1, "i-1", 2);
    expect_done(w, 2, 2, SLOT_OUTCOME_ANSWERED);
}

/** A slot at a back end that this box may not use is returned unused, and the leader is asked for one elsewhere. */
static void test_unusable(world_t *w, gconstpointer data)
{
    (void)data;
    lab_call_t *const c = begin_asking(w, "o", "o");
    fleet_find(w->f.fleet, "i-0")->evacuated = true;
    grant(w, 0, "i-0", 3);
    await_takes(w, 2);
    g_assert_cmpstr(w->last_tried, ==, "i-0");
    expect_done(w, 1, 3, SLOT_OUTCOME_UNUSED);
    grant_to_end(w, c, 1, "i-1", 4);
    g_assert_cmpuint(requests(&w->f, 0), ==, 0);
    expect_done(w, 2, 4, SLOT_OUTCOME_ANSWERED);
}

/** The leader has a newer list than the box and grants slots at a back end that the box does not know. If it does so
 *  again, the box chooses by itself. Sent without slots at once, such requests brought a worker of the soak to 11
 *  requests at once, where the leader had granted 7. */
static void test_unknown(world_t *w, gconstpointer data)
{
    (void)data;
    lab_call_t *const c = begin_asking(w, "o", "o");
    grant(w, 0, "i-new", 3);
    await_takes(w, 2);
    g_assert_cmpuint(w->tried[1], ==, 1);
    g_assert_cmpstr(w->last_tried, ==, "i-new");
    expect_done(w, 1, 3, SLOT_OUTCOME_UNUSED);
    g_assert_cmpuint(requests(&w->f, 0) + requests(&w->f, 1), ==, 0);
    grant_to_end(w, c, 1, "i-new", 4);
    expect_done(w, 2, 4, SLOT_OUTCOME_UNUSED);
}

/* ===== Ended early ===== */

/** The caller leaves while its request waits: it is withdrawn, and a slot that was granted meanwhile comes back. */
static void test_caller_leaves_queue(world_t *w, gconstpointer data)
{
    (void)data;
    lab_call_t *const c = begin_asking(w, "o", "o");
    web_call_cancel(c->call);
    expect_done(w, 1, 0, SLOT_OUTCOME_UNUSED);
    g_assert_cmpstr(w->dones[0].id, ==, "id1");
    grant(w, 0, "i-0", 9);
    expect_done(w, 2, 9, SLOT_OUTCOME_UNUSED);
    g_assert_cmpuint(requests(&w->f, 0), ==, 0);
    lab_call_free(c);
}

/** The caller leaves while the back end works. */
static void test_caller_leaves_call(world_t *w, gconstpointer data)
{
    (void)data;
    lab_call_t *const c = begin_asking(w, "h", "h");
    grant(w, 0, "i-0", 9);
    while (requests(&w->f, 0) == 0)
        lab_run_for(w->f.loop, 5);
    web_call_cancel(c->call);
    expect_done(w, 1, 9, SLOT_OUTCOME_CANCELLED);
    lab_call_free(c);
}

/** The deadline passes while the request waits: it is refused as not run, and withdrawn. */
static void test_deadline(world_t *w, gconstpointer data)
{
    (void)data;
    start_app(w, "o", "o");
    expect(&w->f, "/short/x", 503, NULL);
    g_assert_cmpuint(w->takes_n, ==, 1);
    expect_done(w, 1, 0, SLOT_OUTCOME_UNUSED);
}

/* ===== Refused ===== */

/** Retry-After is the leader's, up to a third of the time that the caller has left: a later one is not followed. */
static void test_refused(world_t *w, gconstpointer data)
{
    (void)data;
    static const struct {
        uint32_t told;
        double from, to;
    } cases[] = {{600, 0.6, 0.6}, {60000, 2.4, 2.67}};
    start_app(w, "o", "o");
    for (unsigned i = 0; i < G_N_ELEMENTS(cases); i++) {
        lab_call_t *const c = begin(&w->f, "/safe/x");
        await_takes(w, i + 1);
        const msg_slot_taken_t taken = {.retry_after_ms = cases[i].told};
        peer_reply(w->leader.net, w->asked[i], MSG_SLOT_TAKEN, &taken);
        lab_run_until_true(w->f.loop, &c->done);
        g_assert_cmpint(c->status, ==, 503);
        const double after = g_ascii_strtod(c->retry_after, NULL);
        g_assert_cmpfloat(after, >=, cases[i].from - 0.0005);
        g_assert_cmpfloat(after, <=, cases[i].to + 0.0005);
        lab_call_free(c);
    }
    g_assert_cmpuint(requests(&w->f, 0) + requests(&w->f, 1), ==, 0);
    g_assert_cmpuint(w->dones_n, ==, 0);
}

/* ===== Silent runs (review) ===== */

enum { SPEAKS_AFTER_MS = 150, ENDS_AFTER_MS = 400 };

/** Silent after its first event, then goes on, and ends later. */
static lab_reply_t answer_with_silence(void *arg, const char *request)
{
    plan_t *const plan = arg;
    g_string_append(plan->seen, request);
    const char *const parts[] = {STREAM_HEAD "f\r\n" FIRST "\r\n", "f\r\n" SECOND "\r\n", "0\r\n\r\n"};
    const tc_time_t waits[] = {0, SPEAKS_AFTER_MS, ENDS_AFTER_MS};
    lab_reply_t reply = {.bytes = g_strconcat(parts[0], parts[1], parts[2], NULL),
                         .end = LAB_KEEP,
                         .pieces = g_array_new(FALSE, FALSE, sizeof(lab_piece_t))};
    for (size_t i = 0; i < G_N_ELEMENTS(parts); i++) {
        const lab_piece_t piece = {.size = strlen(parts[i]), .wait = waits[i]};
        g_array_append_val(reply.pieces, piece);
    }
    return reply;
}

static void set_plain_stream_route(fixture_t *f)
{
    static const char text[] = "{\"version\":4,\"routes\":[" ROUTE(
        "plain", "stream", "9000", RESUMABLE_SOON, "app") "],"
                                                          "\"services\":[{\"name\":\"app\",\"max_connections\":630}]}";
    tc_err_t err = {0};
    route_table_t *const table = config_read(text, strlen(text), &err);
    g_assert_nonnull(table);
    forwarder_set_routes(f->forwarder, table);
    route_table_unref(table);
}

/** The back end is still at work on the request, so its slot is taken until the run has ended. */
static void test_kept_run_holds_its_slot(world_t *w, gconstpointer data)
{
    (void)data;
    set_plain_stream_route(&w->f);
    start_scripted(&w->f, (backend_plan_t[]){{"app", "", "s", false, false}, {"app", "", "s", false, false}}, 2,
                   answer_with_silence, NULL);
    lab_call_t *const c = begin(&w->f, "/plain/x");
    await_takes(w, 1);
    grant(w, 0, "i-0", 1);
    await_takes(w, 2); /* for what is to replace the silent run */
    lab_run_for(w->f.loop, 30);
    const unsigned while_kept = w->dones_n;
    expect_whole(&w->f, c, FIRST SECOND);
    g_test_message("%u slots were given back while their run was kept; outcome of the first %d", while_kept,
                   w->dones_n > 0 ? (int)w->dones[0].outcome : -1);
    g_assert_cmpuint(requests(&w->f, 1), ==, 0);
    g_assert_cmpuint(while_kept, ==, 0);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/forward-slots/" name, world_t, NULL, set_up_world, fn, tear_down_world)
    TEST("granted", test_granted);
    TEST("waits", test_waits);
    for (unsigned i = 0; i < G_N_ELEMENTS(failures); i++)
        g_test_add(failures[i].path, world_t, &failures[i], set_up_world, test_asks_again, tear_down_world);
    TEST("unusable", test_unusable);
    TEST("unknown", test_unknown);
    TEST("caller-leaves-queue", test_caller_leaves_queue);
    TEST("caller-leaves-call", test_caller_leaves_call);
    TEST("deadline", test_deadline);
    TEST("refused", test_refused);
    TEST("kept-run-holds-its-slot", test_kept_run_holds_its_slot);
    return g_test_run();
}
