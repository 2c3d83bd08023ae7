/* What belongs to one attempt at a request and lives in the request: it is of no use to the next attempt once its time
 * is over, its engine leaves, or another attempt has taken its place. */

#include "platform/forward_lab.h"

/* ===== Waiting ===== */

static bool has_prefill(void *arg)
{
    return requests(arg, 0) > 0;
}

static bool has_question(void *arg)
{
    return requests(arg, 1) > 0;
}

static bool is_idle(void *arg)
{
    return forwarder_in_flight(((fixture_t *)arg)->forwarder) == 0;
}

static bool has_bytes(void *arg)
{
    return ((const lab_call_t *)arg)->body->len > 0;
}

static bool was_dropped(void *arg)
{
    return strstr(((fixture_t *)arg)->plan[1].seen->str, "DELETE /hold-drop/hold1 ") != NULL;
}

/** The list says that i-1 leaves. */
static void let_leave(fixture_t *f)
{
    backend_t list[BACKENDS];
    uint32_t n = 0;
    memset(list, 0, sizeof(list));
    for (int i = 0; i < BACKENDS; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "i-%d", i);
        const instance_t *const instance = fleet_find(f->fleet, id);
        if (!instance)
            continue;
        list[n] = instance->listed;
        list[n++].draining = i == 1;
    }
    fleet_set_list(f->fleet, list, n, tc_time_now());
}

/* ===== Memory set aside ===== */

/** Memory whose time is over while the prompt is read is set aside anew. */
static void test_hold_that_lapsed(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "brief", "P", "HHS", NULL);
    expect_whole(f, begin(f, "/brief/x"), FIRST SECOND);
    g_assert_cmpuint(count_part(f->plan[1].seen->str, "POST /hold-take "), ==, 2);
    g_assert_cmpuint(count_part(f->plan[1].seen->str, "\r\nHold: hold1\r\n"), ==, 1);
    g_assert_cmpuint(requests(f, 0), ==, 1); /* the prompt is read once */
}

/** An engine that leaves gets no request because of memory that it had set aside before. */
static void test_hold_at_an_engine_that_leaves(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "held", "P", "HS", "HS");
    lab_call_t *const c = begin(f, "/held/x");
    lab_run_until(f->loop, has_prefill, f);
    let_leave(f);
    expect_whole(f, c, FIRST SECOND);
    lab_run_until(f->loop, was_dropped, f);
    g_assert_null(strstr(f->plan[1].seen->str, "Kv-From"));
    g_assert_nonnull(strstr(f->plan[2].seen->str, "\r\nHold: hold1\r\n"));
}

/** An answer to somebody's request, which comes late where that to a question is due, is not taken for it. */
static void test_hold_behind_an_answer_of_another(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "held", "p", "XS", NULL);
    expect_whole(f, begin(f, "/held/x"), FIRST SECOND);
    g_assert_nonnull(strstr(f->plan[1].seen->str, "\r\nHold: hold1\r\n"));
}

/** Nobody waits for the answer to a question of a caller that is gone. */
static void test_caller_leaves_at_a_question(fixture_t *f, gconstpointer data)
{
    static const char *const more[] = {"", "Last-Event-Id: 1\r\nPrompt-Prefix: a1:10,b2:90\r\n"};
    (void)data;
    start_engines(f, "held", "p", "h", NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(more); i++) {
        lab_call_t *const c = begin_with(f, "/held-again/x", more[i]);
        while (requests(f, 1) <= i)
            lab_run_for(f->loop, 5);
        web_call_cancel(c->call);
        lab_run_until(f->loop, is_idle, f);
        lab_call_free(c);
    }
    g_assert_true(has_question(f));
    g_assert_cmpuint(requests(f, 0), ==, 0);
}

/* ===== Results of prefills ===== */

/** A result that lapsed while an engine kept the request waiting is not taken to the next one. */
static void test_result_that_lapsed(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "fleeting", "p", "N", "S");
    expect_whole(f, begin(f, "/fleeting/x"), FIRST SECOND);
    g_assert_cmpuint(requests(f, 0), ==, 2); /* read anew */
}

/* ===== Streams that are taken up again ===== */

/** The engine that broke off has the prompt still, but it leaves: it gets nothing more. */
static void test_stream_of_an_engine_that_leaves(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "tU", "U");
    lab_call_t *const c = begin(f, "/again/x");
    lab_run_until(f->loop, has_bytes, c);
    let_leave(f);
    expect_whole(f, c, FIRST SECOND);
    g_assert_cmpuint(requests(f, 1), ==, 1);
    g_assert_cmpuint(requests(f, 2), ==, 1);
}

/** What was configured when a request began holds until it ends. */
static void test_stream_across_a_configuration(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "t", "U");
    lab_call_t *const c = begin(f, "/again/x");
    lab_run_until(f->loop, has_bytes, c);
    forwarder_set_routes(f->forwarder, NULL);
    fleet_find(f->fleet, "i-1")->listed.draining = true; /* so that another engine takes it up */
    expect_whole(f, c, FIRST SECOND);
    g_assert_nonnull(strstr(f->plan[2].seen->str, "Last-Event-Id: 1\r\n"));
}

/* ===== Connections that are used again ===== */

/** An answer that ends with its head ends there on both sides, so that the next ones are their own. */
static void test_head_on_kept_connections(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "EoEo", false, false}}, 1);
    web_client_keep(f->client, 4);
    web_client_keep(f->callers, 4);
    for (int i = 0; i < 4; i++) {
        char *const text =
            g_strdup_printf("%s /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: id1\r\n\r\n", i % 2 ? "GET" : "HEAD");
        lab_call_t *const c = lab_call_kept(f->callers, f->addr, text);
        lab_run_until_true(f->loop, &c->done);
        g_assert_cmpint(c->how, ==, WEB_END_WHOLE);
        g_assert_cmpint(c->status, ==, 200);
        g_assert_cmpstr(c->body->str, ==, i % 2 ? "ok" : "");
        lab_call_free(c);
        g_free(text);
    }
}

/** A result that an engine may have taken before its answer was lost is no other engine's: the prompt is read again. */
static void test_result_of_a_lost_answer(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "rr", "S");
    expect_whole(f, begin(f, "/again/x"), FIRST SECOND);
    g_assert_cmpuint(count_part(f->plan[1].seen->str, "\r\nKv-From: "), ==, 1);
    g_assert_cmpuint(requests(f, 1), ==, 2);
    g_assert_cmpuint(count_part(f->plan[0].seen->str, "\r\nStage: prefill\r\n"), ==, 2);
    g_assert_cmpuint(requests(f, 2), ==, 1);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/forward-attempts/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("hold-that-lapsed", test_hold_that_lapsed);
    TEST("hold-at-an-engine-that-leaves", test_hold_at_an_engine_that_leaves);
    TEST("hold-behind-an-answer-of-another", test_hold_behind_an_answer_of_another);
    TEST("caller-leaves-at-a-question", test_caller_leaves_at_a_question);
    TEST("result-that-lapsed", test_result_that_lapsed);
    TEST("stream-of-an-engine-that-leaves", test_stream_of_an_engine_that_leaves);
    TEST("stream-across-a-configuration", test_stream_across_a_configuration);
    TEST("head-on-kept-connections", test_head_on_kept_connections);
    TEST("result-of-a-lost-answer", test_result_of_a_lost_answer);
    return g_test_run();
}
