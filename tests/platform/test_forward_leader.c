/* Queries to the leader of the control boxes: an answer applies only to its own query and to the placement that it
 * names. A fake leader answers when the test asks it to. */

#include "platform/leader_lab.h"

enum { CALLS = 4 };

typedef struct {
    fixture_t f;
    leader_t leader;
    peer_call_t asked[CALLS]; /* placement queries without an answer */
    unsigned asked_n, awaited;
    unsigned replans;
    unsigned retries_granted;         /* further arrivals granted */
    const external_backend_t *engine; /* sends its next event after the second of them */
} world_t;

/* ===== The leader ===== */

static void reply_report(const world_t *w, peer_call_t call)
{
    const msg_report_ack_t ack = leader_ack(&w->leader);
    peer_reply(w->leader.net, call, MSG_REPORT_ACK, &ack);
}

static void refuse(const world_t *w, peer_call_t call)
{
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_REFUSED, "test", "", "not played");
    peer_reply_error(w->leader.net, call, &err);
}

/** Giving up a run takes two arrivals: one for the prompt and one for the next run. With the second grant the silent
 *  engine sends its next event, whose bytes then wait when the grant is read. */
static void grant_retry(world_t *w, peer_call_t call)
{
    const msg_retry_ack_t ack = {.granted = true};
    peer_reply(w->leader.net, call, MSG_RETRY_ACK, &ack);
    if (++w->retries_granted == 2)
        external_backend_send(w->engine, "f\r\n" SECOND "\r\n0\r\n\r\n");
}

static void on_message(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    world_t *const w = arg;
    (void)from, (void)message;
    switch (type) {
    case MSG_REPORT: reply_report(w, call); break;
    case MSG_PLACE:
        g_assert_cmpuint(w->asked_n, <, CALLS);
        w->asked[w->asked_n++] = call;
        break;
    case MSG_REPLAN:
        w->replans++;
        refuse(w, call);
        break;
    case MSG_RETRY: grant_retry(w, call); break;
    default:
        if (call.call != 0)
            refuse(w, call);
        break;
    }
}

/** Answers one of the queries. @param prefill "" when the decode engine reads the prompt */
static void grant(const world_t *w, unsigned query, const char *prefill, const char *decode)
{
    msg_placed_t placed = {.granted = true, .attempt = query + 1};
    codec_copy_string(placed.prefill, sizeof(placed.prefill), prefill);
    codec_copy_string(placed.decode, sizeof(placed.decode), decode);
    peer_reply(w->leader.net, w->asked[query], MSG_PLACED, &placed);
}

static bool was_asked(void *arg)
{
    const world_t *const w = arg;
    return w->asked_n >= w->awaited;
}

static void await_queries(world_t *w, unsigned n)
{
    w->awaited = n;
    lab_run_until(w->f.loop, was_asked, w);
}

/* ===== Set-up and tear-down ===== */

static void set_up_world(world_t *w, gconstpointer data)
{
    set_up(&w->f, data);
    leader_join(&w->leader, &w->f, on_message, (reporter_events_t){0}, w);
}

static bool is_idle(void *arg)
{
    return forwarder_in_flight(((world_t *)arg)->f.forwarder) == 0;
}

static void tear_down_world(world_t *w, gconstpointer data)
{
    lab_run_until(w->f.loop, is_idle, w);
    leader_leave(&w->leader);
    tear_down(&w->f, data);
}

/* ===== Answers ===== */

/** The late answer to a query that was repeated is not taken for the answer to the newer query. */
static void test_answer_to_an_older_query(world_t *w, gconstpointer data)
{
    (void)data;
    start_engines(&w->f, "lm", "p", "S", "S");
    lab_call_t *const c = begin(&w->f, "/placed/x");
    await_queries(w, 2);
    grant(w, 0, "i-0", "i-2");
    lab_run_for(w->f.loop, 30);
    g_assert_cmpuint(requests(&w->f, 0), ==, 0); /* nothing was sent */
    grant(w, 1, "i-0", "i-1");
    expect_whole(&w->f, c, FIRST SECOND);
    g_assert_cmpuint(requests(&w->f, 1), ==, 1);
    g_assert_cmpuint(requests(&w->f, 2), ==, 0);
}

/** An engine that writes without end is reported to the leader, which was left to choose it again and again: its calls
 *  end so early that it looked free. */
static void test_endless_answer_is_reported(world_t *w, gconstpointer data)
{
    (void)data;
    start_engines(&w->f, "lm", "p", "W", "S");
    w->f.plan[1].stream = "HTTP/1.1 100 Continue\r\n\r\n";
    w->f.plan[1].stream_size = strlen(w->f.plan[1].stream);
    lab_call_t *const c = begin(&w->f, "/again/x");
    await_queries(w, 1);
    grant(w, 0, "i-0", "i-1");
    expect_whole(&w->f, c, FIRST SECOND);
    g_assert_cmpuint(w->replans, ==, 1);
    g_assert_cmpuint(requests(&w->f, 1), ==, 1);
}

/** An answer for a caller that has left starts no call. */
static void test_answer_after_the_caller_left(world_t *w, gconstpointer data)
{
    (void)data;
    start_engines(&w->f, "lm", "p", "S", "S");
    lab_call_t *const c = begin(&w->f, "/placed/x");
    await_queries(w, 1);
    web_call_cancel(c->call);
    lab_run_until(w->f.loop, is_idle, w);
    grant(w, 0, "i-0", "i-1");
    lab_run_for(w->f.loop, 30);
    g_assert_cmpuint(requests(&w->f, 0), ==, 0);
    lab_call_free(c);
}

/** The leader lets a decode engine read a prompt itself while no other request does so there. When that engine refuses
 *  the request, the permission does not extend to the next engine. */
static void test_prompt_read_by_its_decode_engine(world_t *w, gconstpointer data)
{
    (void)data;
    start_engines(&w->f, "lm", "p", "nS", "S");
    lab_call_t *c = begin(&w->f, "/placed/x");
    await_queries(w, 1);
    grant(w, 0, "", "i-1");
    expect_whole(&w->f, c, FIRST SECOND);
    g_assert_cmpuint(requests(&w->f, 1), ==, 1);
    g_assert_cmpuint(requests(&w->f, 0), ==, 1); /* a prefill for the other engine */
    g_assert_nonnull(strstr(w->f.plan[2].seen->str, "Kv-From: "));
    c = begin(&w->f, "/placed/x");
    await_queries(w, 2);
    grant(w, 1, "", "i-1");
    expect_whole(&w->f, c, FIRST SECOND);
    g_assert_cmpuint(requests(&w->f, 0), ==, 1); /* the decode engine accepted and read the prompt itself */
}

static bool has_first(void *arg)
{
    return strcmp(((const lab_call_t *)arg)->body->str, FIRST) == 0;
}

/** A silent run that continues while the leader is queried for the budget of the next run is not given up. */
static void test_run_continues_while_the_leader_answers(world_t *w, gconstpointer data)
{
    (void)data;
    start_all(&w->f,
              (backend_plan_t[]){{"lm", "prefill", "p", false, false},
                                 {"lm", "decode", "", false, true},
                                 {"lm", "decode", "S", true, false}},
              3);
    external_backend_t engine = external_backend_open(w->f.backend_addr[1]);
    w->engine = &engine;
    lab_call_t *const c = begin(&w->f, "/soon/x");
    await_queries(w, 1);
    grant(w, 0, "i-0", "i-1");
    lab_run_until(w->f.loop, external_backend_has_read, &engine);
    external_backend_send(&engine, STREAM_HEAD "f\r\n" FIRST "\r\n");
    lab_run_until(w->f.loop, has_first, c);
    expect_whole(&w->f, c, FIRST SECOND);
    g_assert_cmpuint(w->retries_granted, ==, 2);
    g_assert_cmpuint(requests(&w->f, 2), ==, 0);
    external_backend_close(&engine);
}

/* ===== Refusals with a time to return ===== */

/** Makes a call that the leader refuses. @return Retry-After of the answer, s */
static double refused_call(world_t *w, const char *path, uint32_t retry_after_ms)
{
    lab_call_t *const c = begin(&w->f, path);
    await_queries(w, w->asked_n + 1);
    const msg_placed_t placed = {.retry_after_ms = retry_after_ms, .promised = true};
    peer_reply(w->leader.net, w->asked[w->asked_n - 1], MSG_PLACED, &placed);
    lab_run_until_true(w->f.loop, &c->done);
    g_assert_cmpint(c->status, ==, 503);
    g_assert_nonnull(c->retry_after);
    const double after = g_ascii_strtod(c->retry_after, NULL);
    lab_call_free(c);
    return after;
}

/** Callers of one burst came back together, because the box drew the time from 2.5 to 4.3 s instead of telling the
 *  leader's. They follow it up to a third of the time that they have left, here 8 s. */
static void test_told_time(world_t *w, gconstpointer data)
{
    (void)data;
    start_engines(&w->f, "ranked", "p", "S", "S");
    g_assert_cmpfloat(refused_call(w, "/ranked/x", 700), ==, 0.7);
    const double most = refused_call(w, "/ranked/x", 60000);
    g_assert_cmpfloat(most, <=, 8.0 / 3);
    g_assert_cmpfloat(most, >=, 2.3);
}

/** Services whose routes have one priority keep the present times. */
static void test_told_time_unranked(world_t *w, gconstpointer data)
{
    (void)data;
    start_engines(&w->f, "lm", "p", "S", "S");
    g_assert_cmpfloat(refused_call(w, "/placed/x", 700), >=, 2.5);
}

/** A box gave up after two thirds of the target although the leader had the request queued. */
static void test_waits_while_queued(world_t *w, gconstpointer data)
{
    (void)data;
    start_engines(&w->f, "ranked", "p", "S", "S");
    lab_call_t *const c = begin(&w->f, "/ranked/x");
    await_queries(w, CALLS); /* 660 ms at least, of a target of 300 ms */
    g_assert_false(c->done);
    grant(w, CALLS - 1, "i-0", "i-1");
    expect_whole(&w->f, c, FIRST SECOND);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/forward-leader/" name, world_t, NULL, set_up_world, fn, tear_down_world)
    TEST("answer-to-an-older-query", test_answer_to_an_older_query);
    TEST("answer-after-the-caller-left", test_answer_after_the_caller_left);
    TEST("endless-answer-is-reported", test_endless_answer_is_reported);
    TEST("prompt-read-by-its-decode-engine", test_prompt_read_by_its_decode_engine);
    TEST("told-time", test_told_time);
    TEST("told-time-unranked", test_told_time_unranked);
    TEST("waits-while-queued", test_waits_while_queued);
    static const double nothing = 0; /* this box's share of the budget */
    g_test_add("/forward-leader/run-continues-while-the-leader-answers", world_t, &nothing, set_up_world,
               test_run_continues_while_the_leader_answers, tear_down_world);
    return g_test_run();
}
