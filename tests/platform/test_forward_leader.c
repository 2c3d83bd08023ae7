/* Questions to the leader of the control boxes: what it answers holds for the question that it answers, and for the
 * placement that it names. The leader is a fake one, which answers when it is told to. */

#include "platform/leader_lab.h"

enum { CALLS = 4 };

typedef struct {
    fixture_t f;
    leader_t leader;
    peer_call_t asked[CALLS]; /* for placements, not answered yet */
    unsigned asked_n, awaited;
    unsigned replans;
    unsigned lent;                    /* further arrivals, each of which is granted */
    const external_backend_t *engine; /* goes on behind the last of them */
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

/** What a run given up takes is two arrivals: the prompt's and that of the run behind it. With the second of them the
 *  silent engine goes on, so that its bytes wait when the answer is read. */
static void lend(world_t *w, peer_call_t call)
{
    const msg_retry_ack_t ack = {.granted = true};
    peer_reply(w->leader.net, call, MSG_RETRY_ACK, &ack);
    if (++w->lent == 2)
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
    case MSG_RETRY: lend(w, call); break;
    default:
        if (call.call != 0)
            refuse(w, call);
        break;
    }
}

/** Answer one of the questions. @param prefill "" when the decode engine is to read the prompt */
static void grant(const world_t *w, unsigned question, const char *prefill, const char *decode)
{
    msg_placed_t placed = {.granted = true, .attempt = question + 1};
    codec_copy_string(placed.prefill, sizeof(placed.prefill), prefill);
    codec_copy_string(placed.decode, sizeof(placed.decode), decode);
    peer_reply(w->leader.net, w->asked[question], MSG_PLACED, &placed);
}

static bool was_asked(void *arg)
{
    const world_t *const w = arg;
    return w->asked_n >= w->awaited;
}

static void await_questions(world_t *w, unsigned n)
{
    w->awaited = n;
    lab_run_until(w->f.loop, was_asked, w);
}

/* ===== Life ===== */

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

/** An answer that comes after its question was put anew is not taken for the answer to the newer one. */
static void test_answer_to_an_older_question(world_t *w, gconstpointer data)
{
    (void)data;
    start_engines(&w->f, "lm", "p", "S", "S");
    lab_call_t *const c = begin(&w->f, "/placed/x");
    await_questions(w, 2);
    grant(w, 0, "i-0", "i-2");
    lab_run_for(w->f.loop, 30);
    g_assert_cmpuint(requests(&w->f, 0), ==, 0); /* nothing has begun */
    grant(w, 1, "i-0", "i-1");
    expect_whole(&w->f, c, FIRST SECOND);
    g_assert_cmpuint(requests(&w->f, 1), ==, 1);
    g_assert_cmpuint(requests(&w->f, 2), ==, 0);
}

/** An answer for a caller that is gone begins nothing. */
static void test_answer_for_nobody(world_t *w, gconstpointer data)
{
    (void)data;
    start_engines(&w->f, "lm", "p", "S", "S");
    lab_call_t *const c = begin(&w->f, "/placed/x");
    await_questions(w, 1);
    web_call_cancel(c->call);
    lab_run_until(w->f.loop, is_idle, w);
    grant(w, 0, "i-0", "i-1");
    lab_run_for(w->f.loop, 30);
    g_assert_cmpuint(requests(&w->f, 0), ==, 0);
    lab_call_free(c);
}

/** The leader has a decode engine read a prompt itself where no other request has it do so: when that engine does not
 *  take it, this is not said of the next one. */
static void test_prompt_read_by_its_decode_engine(world_t *w, gconstpointer data)
{
    (void)data;
    start_engines(&w->f, "lm", "p", "nS", "S");
    lab_call_t *c = begin(&w->f, "/placed/x");
    await_questions(w, 1);
    grant(w, 0, "", "i-1");
    expect_whole(&w->f, c, FIRST SECOND);
    g_assert_cmpuint(requests(&w->f, 1), ==, 1);
    g_assert_cmpuint(requests(&w->f, 0), ==, 1); /* the prompt is read for the other engine */
    g_assert_nonnull(strstr(w->f.plan[2].seen->str, "Kv-From: "));
    c = begin(&w->f, "/placed/x");
    await_questions(w, 2);
    grant(w, 1, "", "i-1");
    expect_whole(&w->f, c, FIRST SECOND);
    g_assert_cmpuint(requests(&w->f, 0), ==, 1); /* it took it, and read the prompt */
}

static bool has_first(void *arg)
{
    return strcmp(((const lab_call_t *)arg)->body->str, FIRST) == 0;
}

/** A silent run that goes on while the leader is asked for what could follow it is not given up. */
static void test_run_goes_on_while_the_leader_answers(world_t *w, gconstpointer data)
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
    await_questions(w, 1);
    grant(w, 0, "i-0", "i-1");
    lab_run_until(w->f.loop, external_backend_has_read, &engine);
    external_backend_send(&engine, STREAM_HEAD "f\r\n" FIRST "\r\n");
    lab_run_until(w->f.loop, has_first, c);
    expect_whole(&w->f, c, FIRST SECOND);
    g_assert_cmpuint(w->lent, ==, 2);
    g_assert_cmpuint(requests(&w->f, 2), ==, 0);
    external_backend_close(&engine);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/forward-leader/" name, world_t, NULL, set_up_world, fn, tear_down_world)
    TEST("answer-to-an-older-question", test_answer_to_an_older_question);
    TEST("answer-for-nobody", test_answer_for_nobody);
    TEST("prompt-read-by-its-decode-engine", test_prompt_read_by_its_decode_engine);
    static const double nothing = 0; /* of the budget is this box's part */
    g_test_add("/forward-leader/run-goes-on-while-the-leader-answers", world_t, &nothing, set_up_world,
               test_run_goes_on_while_the_leader_answers, tear_down_world);
    return g_test_run();
}
