/* State of one attempt that is stored in the request: reservations, prefill results, queries. A later attempt must not
 * use it once it has expired, its engine is leaving, or another attempt has replaced it. */

#include "platform/forward_lab.h"

/* ===== Waiting ===== */

static bool has_prefill(void *arg)
{
    return requests(arg, 0) > 0;
}

static bool has_query(void *arg)
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

/** Lists i-1 as leaving. */
static void list_as_leaving(fixture_t *f)
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

/* ===== Memory reservations ===== */

/** A reservation that expires while the prompt is read is made again. */
static void test_expired_hold(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "brief", "P", "HHS", NULL);
    expect_whole(f, begin(f, "/brief/x"), FIRST SECOND);
    g_assert_cmpuint(count_part(f->plan[1].seen->str, "POST /hold-take "), ==, 2);
    g_assert_cmpuint(count_part(f->plan[1].seen->str, "\r\nHold: hold1\r\n"), ==, 1);
    g_assert_cmpuint(requests(f, 0), ==, 1); /* the prompt is read once */
}

/** A leaving engine gets no request, even if it holds a reservation for it. */
static void test_hold_at_a_leaving_engine(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "held", "P", "HS", "HS");
    lab_call_t *const c = begin(f, "/held/x");
    lab_run_until(f->loop, has_prefill, f);
    list_as_leaving(f);
    expect_whole(f, c, FIRST SECOND);
    lab_run_until(f->loop, was_dropped, f);
    g_assert_null(strstr(f->plan[1].seen->str, "Kv-From"));
    g_assert_nonnull(strstr(f->plan[2].seen->str, "\r\nHold: hold1\r\n"));
}

/** The late answer to another request is not taken for the answer to a reservation query. */
static void test_hold_after_a_stray_answer(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "held", "p", "XS", NULL);
    expect_whole(f, begin(f, "/held/x"), FIRST SECOND);
    g_assert_nonnull(strstr(f->plan[1].seen->str, "\r\nHold: hold1\r\n"));
}

/** A query is dropped when the caller leaves. */
static void test_caller_leaves_during_a_query(fixture_t *f, gconstpointer data)
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
    g_assert_true(has_query(f));
    g_assert_cmpuint(requests(f, 0), ==, 0);
}

/* ===== Prefill results ===== */

/** A prefill result that expired while an engine delayed its refusal is not offered to the next engine. */
static void test_expired_prefill_result(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "fleeting", "p", "N", "S");
    expect_whole(f, begin(f, "/fleeting/x"), FIRST SECOND);
    g_assert_cmpuint(requests(f, 0), ==, 2); /* read again */
}

/* ===== Resumed streams ===== */

/** The engine whose stream broke still caches the prompt but is leaving, so it gets no further call. */
static void test_stream_of_a_leaving_engine(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "tU", "U");
    lab_call_t *const c = begin(f, "/again/x");
    lab_run_until(f->loop, has_bytes, c);
    list_as_leaving(f);
    expect_whole(f, c, FIRST SECOND);
    g_assert_cmpuint(requests(f, 1), ==, 1);
    g_assert_cmpuint(requests(f, 2), ==, 1);
}

/** A request keeps the configuration with which it began. */
static void test_stream_across_a_configuration_change(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "t", "U");
    lab_call_t *const c = begin(f, "/again/x");
    lab_run_until(f->loop, has_bytes, c);
    forwarder_set_routes(f->forwarder, NULL);
    fleet_find(f->fleet, "i-1")->listed.draining = true; /* so that the stream resumes at another engine */
    expect_whole(f, c, FIRST SECOND);
    g_assert_nonnull(strstr(f->plan[2].seen->str, "Last-Event-Id: 1\r\n"));
}

/* ===== Kept-alive connections ===== */

/** An answer without a body (to HEAD) ends with its head on both connections, so that the next answers are matched
 *  correctly. */
static void test_head_on_kept_alive_connections(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "EoEo", false, false}}, 1);
    web_client_set_idle_max(f->client, 4);
    web_client_set_idle_max(f->callers, 4);
    for (int i = 0; i < 4; i++) {
        char *const text =
            g_strdup_printf("%s /safe/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: id1\r\n\r\n", i % 2 ? "GET" : "HEAD");
        lab_call_t *const c = lab_call_reuse(f->callers, f->addr, text);
        lab_run_until_true(f->loop, &c->done);
        g_assert_cmpint(c->how, ==, WEB_RESULT_COMPLETE);
        g_assert_cmpint(c->status, ==, 200);
        g_assert_cmpstr(c->body->str, ==, i % 2 ? "ok" : "");
        lab_call_free(c);
        g_free(text);
    }
}

/** A prefill result that an engine may have taken before its answer was lost is not offered to another engine: the
 *  prompt is read again. */
static void test_prefill_result_of_a_lost_answer(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "rr", "S");
    expect_whole(f, begin(f, "/again/x"), FIRST SECOND);
    g_assert_cmpuint(count_part(f->plan[1].seen->str, "\r\nKv-From: "), ==, 1);
    g_assert_cmpuint(requests(f, 1), ==, 2);
    g_assert_cmpuint(count_part(f->plan[0].seen->str, "\r\nStage: prefill\r\n"), ==, 2);
    g_assert_cmpuint(requests(f, 2), ==, 1);
}

static bool has_been_refused_memory(void *arg)
{
    return requests(arg, 1) > 0;
}

/** A box that ends left requests that waited for room without an answer. */
static void test_stop_refuses_waiting(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "held", "p", "n", NULL);
    lab_call_t *const c = begin(f, "/held/x");
    lab_run_until(f->loop, has_been_refused_memory, f);
    forwarder_refuse_waiting(f->forwarder);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_COMPLETE);
    g_assert_cmpint(c->status, ==, 503);
    g_assert_nonnull(c->retry_after);
    lab_call_free(c);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/forward-attempts/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("expired-hold", test_expired_hold);
    TEST("hold-at-a-leaving-engine", test_hold_at_a_leaving_engine);
    TEST("hold-after-a-stray-answer", test_hold_after_a_stray_answer);
    TEST("caller-leaves-during-a-query", test_caller_leaves_during_a_query);
    TEST("expired-prefill-result", test_expired_prefill_result);
    TEST("stream-of-a-leaving-engine", test_stream_of_a_leaving_engine);
    TEST("stream-across-a-configuration-change", test_stream_across_a_configuration_change);
    TEST("head-on-kept-alive-connections", test_head_on_kept_alive_connections);
    TEST("prefill-result-of-a-lost-answer", test_prefill_result_of_a_lost_answer);
    g_test_add("/forward-attempts/stop-refuses-waiting", fixture_t, NULL, set_up, test_stop_refuses_waiting, tear_down);
    return g_test_run();
}
