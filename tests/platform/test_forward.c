/* Forwarded requests end to end over loopback: an entry box with fake back ends that fail in various ways, and what
 * callers and back ends observe. */

#include <glib.h>
#include <string.h>

#include "common/counter.h"
#include "platform/forward_lab.h"

/* ===== Plain services ===== */

static void test_served(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "o", false, false}}, 1);
    expect(f, "/safe/x", 200, "ok");
    expect(f, "/once/x", 200, "ok");
    expect(f, "/nowhere/x", 404, NULL);
    g_assert_nonnull(strstr(f->plan[0].seen->str, "\r\n\r\nbody"));
}

static void test_unsafe_request_lost_in_a_crash_is_not_503(fixture_t *f, gconstpointer data)
{
    (void)data;
    static const char *const ways[] = {"r", "c", "g"};
    start_all(f, (backend_plan_t[]){{"app", "", "r", false, false}, {"app", "", "o", true, false}}, 2);
    for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
        f->plan[0].replies = ways[i];
        f->plan[0].at = 0;
        expect(f, "/once/x", 502, NULL);
        g_assert_cmpuint(requests(f, 0), ==, i + 1);
        g_assert_cmpuint(requests(f, 1), ==, 0); /* guarantee: never a second run */
    }
}

static void test_refused_unsafe_request_goes_elsewhere(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "n", false, false}, {"app", "", "o", true, false}}, 2);
    expect(f, "/once/x", 200, "ok");
    g_assert_cmpuint(requests(f, 0), ==, 1);
}

/** The load that a back end states is used, also that of a refusal, and neither reaches callers nor comes from them. A
 *  pace marks the service as shared. */
static void test_stated_load(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "on", false, false}}, 1);
    const instance_t *const instance = fleet_find(f->fleet, "i-0");
    f->plan[0].load = "3,1,8";
    lab_call_t *const c = begin_with(f, "/safe/x", "Server-Load: 1,0,1,900\r\n");
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->status, ==, 200);
    g_assert_null(strstr(c->headers, "Server-Load"));
    g_assert_null(strstr(f->plan[0].seen->str, "Server-Load"));
    lab_call_free(c);
    g_assert_cmpuint(instance->reading.waiting, ==, 1);
    g_assert_cmpuint(load_estimate_others(&instance->load), ==, 3); /* the fourth is this box's request */
    g_assert_false(fleet_is_shared(f->fleet, "app"));
    f->plan[0].load = "8,4,8,300";
    expect(f, "/safe/x", 503, NULL);
    g_assert_cmpuint(instance->reading.waiting, ==, 4);
    g_assert_cmpfloat(load_estimate_pace(&instance->load, tc_time_now()), >, 200);
    g_assert_true(fleet_is_shared(f->fleet, "app"));
    g_assert_false(fleet_is_shared(f->fleet, "lm"));
}

/** Guarantee: a back end that answers 421 (its instance or role differs from the list) is avoided until the list
 *  changes. */
static void test_outdated_back_end_is_avoided(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "m", false, false}, {"app", "", "o", true, false}}, 2);
    expect(f, "/once/x", 200, "ok");
    const tc_time_t now = tc_time_now();
    const tc_time_t rest = fleet_find(f->fleet, "i-0")->avoid_until - now;
    g_assert_cmpint(rest, >, 1000); /* the list is read once a second */
    backend_t changed = fleet_find(f->fleet, "i-0")->listed;
    codec_copy_string(changed.stage, sizeof(changed.stage), "decode");
    fleet_set_list(f->fleet, &changed, 1, now);
    g_assert_cmpint(fleet_find(f->fleet, "i-0")->avoid_until, <=, now);
}

static void test_refused_everywhere_is_503(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "n", false, false}, {"app", "", "n", true, false}}, 2);
    expect(f, "/once/x", 503, NULL);
}

static void test_unreachable_goes_elsewhere(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "", false, true}, {"app", "", "o", true, false}}, 2);
    expect(f, "/once/x", 200, "ok"); /* nothing was sent to the first one */
}

static void test_safe_request_is_retried(fixture_t *f, gconstpointer data)
{
    (void)data;
    static const char *const ways[] = {"r", "c", "g", "e"};
    start_all(f, (backend_plan_t[]){{"app", "", "r", false, false}, {"app", "", "o", true, false}}, 2);
    for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
        f->plan[0].replies = ways[i];
        f->plan[0].at = 0;
        expect(f, "/safe/x", 200, "ok");
    }
    g_assert_cmpuint(requests(f, 0), ==, G_N_ELEMENTS(ways));
}

/** A back end has stated that it did not run the request, and the deadline passes before the rest of its answer has
 *  come: 503, as for any refusal. It was 504, which leaves open whether the request ran. */
static void test_refusal_unfinished_at_the_deadline(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "D", false, false}}, 1);
    expect(f, "/short/x", 503, NULL);
}

static void test_failure_passes_unchanged(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "e", false, false}}, 1);
    lab_call_t *const c = call(f, "/once/x");
    g_assert_cmpint(c->status, ==, 500);
    g_assert_nonnull(strstr(c->headers, "\nServer-Seal: s1\n"));
    g_assert_cmpstr(c->body->str, ==, "no");
    lab_call_free(c);
}

static void test_stray_answer_is_skipped(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "x", false, false}}, 1);
    expect(f, "/safe/x", 200, "ok");
}

static void test_timeout_is_answered(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "h", false, false}}, 1);
    expect(f, "/short/x", 504, NULL);
}

static bool has_left(void *arg)
{
    return lab_backend_abandoned(((fixture_t *)arg)->backend[0]) == 1;
}

static bool has_request(void *arg)
{
    return requests(arg, 0) == 1;
}

static void test_caller_leaves(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "h", false, false}}, 1);
    lab_call_t *const c = begin(f, "/once/x");
    lab_run_until(f->loop, has_request, f);
    web_call_cancel(c->call);
    lab_run_until(f->loop, has_left, f); /* the call is cancelled at once */
    lab_call_free(c);
}

static void test_without_configuration(fixture_t *f, gconstpointer data)
{
    (void)data;
    forwarder_set_routes(f->forwarder, NULL);
    expect(f, "/once/x", 503, NULL);
}

/** Whether a request is in flight. */
static bool has_in_flight(void *arg)
{
    return forwarder_in_flight(((fixture_t *)arg)->forwarder) > 0;
}

static bool is_idle(void *arg)
{
    return !has_in_flight(arg);
}

/** Requests to a box that has just started wait until it has a configuration and back ends. */
static void test_early_request_waits(fixture_t *f, gconstpointer data)
{
    (void)data;
    forwarder_set_routes(f->forwarder, NULL);
    lab_call_t *const c = begin(f, "/safe/x");
    lab_run_until(f->loop, has_in_flight, f);
    route_table_t *const table = read_config();
    forwarder_set_routes(f->forwarder, table);
    route_table_unref(table);
    forwarder_on_change(f->forwarder); /* still without back ends, the request waits on */
    g_assert_false(c->done);
    start_all(f, (backend_plan_t[]){{"app", "", "o", false, false}}, 1);
    forwarder_on_change(f->forwarder);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->status, ==, 200);
    lab_call_free(c);
}

static void test_early_caller_leaves(fixture_t *f, gconstpointer data)
{
    (void)data;
    forwarder_set_routes(f->forwarder, NULL);
    lab_call_t *const c = begin(f, "/safe/x");
    lab_run_until(f->loop, has_in_flight, f);
    web_call_cancel(c->call);
    lab_run_until(f->loop, is_idle, f);
    lab_call_free(c);
}

static void test_stopping_box_completes_requests_in_flight(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "h", false, false}}, 1);
    lab_call_t *const old = begin(f, "/short/x");
    lab_run_until(f->loop, has_request, f);
    forwarder_stop(f->forwarder, tc_time_now(), tc_time_now() + 60000);
    expect(f, "/once/x", 503, NULL); /* refused as not run */
    g_assert_cmpuint(requests(f, 0), ==, 1);
    lab_run_until_true(f->loop, &old->done);
    g_assert_cmpint(old->status, ==, 504); /* the earlier request gets its answer */
    lab_call_free(old);
}

/** Guarantee: a planned stop cuts off no request. A stopping box begins only requests that it expects to end in time,
 * by the service times it has observed, and sends the callers that it refuses elsewhere at once. */
static void test_stopping_box_begins_what_ends_in_time(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f,
              (backend_plan_t[]){{"lm", "prefill", "p", false, false},
                                 {"lm", "decode", "S", false, false},
                                 {"app", "", "o", false, false}},
              3);
    const tc_time_t now = tc_time_now();
    forwarder_stop(f->forwarder, now + 60000, now + 6000);
    lab_call_t *const c = call(f, "/lm/x"); /* it may take 8 s, and there is no estimate */
    g_assert_cmpint(c->status, ==, 503);
    g_assert_cmpfloat(g_ascii_strtod(c->retry_after, NULL), <, 0.1);
    lab_call_free(c);
    g_assert_cmpuint(requests(f, 0), ==, 0);
    expect(f, "/short/x", 200, "ok"); /* its deadline is before the end of the box */
    forwarder_stop(f->forwarder, now + 60000, now + 60000);
    for (int i = 0; i < 50; i++)
        expect(f, "/lm/x", 200, NULL);
    forwarder_stop(f->forwarder, now + 60000, now + 6000);
    expect(f, "/lm/x", 200, NULL); /* the observed streams were short */
}

/* ===== Engines ===== */

static void test_prefill_then_decode(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "S", NULL);
    expect(f, "/lm/x", 200, FIRST SECOND);
    g_assert_nonnull(strstr(f->plan[0].seen->str, "Stage: prefill\r\n"));
    char *const from = g_strdup_printf("Kv-From: %s/handle1\r\n", f->backend_addr[0]);
    g_assert_nonnull(strstr(f->plan[1].seen->str, from));
    g_free(from);
}

/** Guards against engines that preempt urgent requests for ordinary ones since the calls do not say which are which,
 * and against a header where all requests of a service are equal. */
static void test_calls_carry_urgency(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "ranked", "p", "S", NULL);
    expect(f, "/urgent/x", 200, FIRST SECOND);
    for (int i = 0; i < 2; i++) {
        g_assert_nonnull(strstr(f->plan[i].seen->str, "\r\nPriority: 4\r\n"));
        g_string_truncate(f->plan[i].seen, 0);
    }
    expect(f, "/ordinary/x", 200, FIRST SECOND);
    for (int i = 0; i < 2; i++)
        g_assert_nonnull(strstr(f->plan[i].seen->str, "\r\nPriority: 5\r\n"));
}

static void test_no_urgency_among_equals(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "S", NULL);
    expect(f, "/lm/x", 200, FIRST SECOND);
    for (int i = 0; i < 2; i++)
        g_assert_null(strstr(f->plan[i].seen->str, "Priority:"));
}

static void test_refused_decode_keeps_the_prefill(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "n", "S");
    expect(f, "/lm/x", 200, NULL);
    g_assert_cmpuint(requests(f, 0), ==, 1); /* the prompt is read once */
    g_assert_nonnull(strstr(f->plan[2].seen->str, "/handle1\r\n"));
}

static bool was_released(void *arg)
{
    return strstr(((fixture_t *)arg)->plan[0].seen->str, "DELETE /kv-handle/handle1 ") != NULL;
}

static void test_unused_prefill_is_released(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "po", "n", NULL);
    expect(f, "/lm/x", 503, NULL);
    lab_run_until(f->loop, was_released, f);
}

/** A broken stream for which no engine has room is not cut off at once: its caller tolerates a gap, in which room may
 *  become free. */
static void test_broken_stream_waits_for_room(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"held", "decode", "HTn", false, false}, {"held", "decode", "nnHU", true, false}},
              2);
    expect(f, "/held-again/x", 200, FIRST SECOND);
}

static void test_broken_stream_does_not_look_complete(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "T", "S");
    lab_call_t *const c = call(f, "/lm/x");
    g_assert_cmpint(c->how, ==, WEB_RESULT_TRUNCATED);
    g_assert_cmpstr(c->body->str, ==, FIRST); /* complete events only */
    g_assert_cmpuint(requests(f, 2), ==, 0);  /* the route allows one run */
    lab_call_free(c);
}

static void test_resumable_stream_continues_elsewhere(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "Tr", "U");
    expect(f, "/again/x", 200, FIRST SECOND); /* each event once */
    g_assert_nonnull(strstr(f->plan[2].seen->str, "Last-Event-Id: 1\r\n"));
}

/** The engine that delivered the answer still caches the prompt: it is called first, and counts as one back end. */
static void test_resumable_stream_continues_at_its_engine(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "TU", "U");
    expect(f, "/again/x", 200, FIRST SECOND);
    g_assert_cmpuint(requests(f, 0), ==, 1); /* no prefill is repeated */
    g_assert_cmpuint(requests(f, 2), ==, 0);
    g_assert_nonnull(strstr(f->plan[1].seen->str, "Last-Event-Id: 1\r\n"));
}

/** A prefill whose answer was lost is requested from the same engine, which has computed the prompt already. */
static void test_lost_prefill_is_retried_at_its_engine(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f,
              (backend_plan_t[]){{"lm", "prefill", "rp", false, false},
                                 {"lm", "prefill", "p", true, false},
                                 {"lm", "decode", "S", false, false}},
              3);
    expect(f, "/lm/x", 200, NULL);
    g_assert_cmpuint(requests(f, 0), ==, 2);
    g_assert_cmpuint(requests(f, 1), ==, 0);
}

/** Resumes a stream at this box, which has no state of it. */
static void resume(fixture_t *f)
{
    lab_call_t *const c = begin_with(f, "/again/x", "Last-Event-Id: 1\r\nPrompt-Prefix: a1:10,b2:90\r\n");
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->status, ==, 200);
    lab_call_free(c);
}

static void test_resumed_stream_goes_where_its_prompt_is_cached(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f,
              (backend_plan_t[]){{"lm", "prefill", "p", false, false},
                                 {"lm", "decode", "lS", false, false},
                                 {"lm", "decode", "kU", false, false}},
              3);
    resume(f);
    g_assert_cmpuint(requests(f, 0), ==, 0); /* no prefill is made */
    g_assert_cmpuint(requests(f, 1), ==, 1);
    g_assert_cmpuint(requests(f, 2), ==, 2);
    g_assert_nonnull(strstr(f->plan[2].seen->str, "Last-Event-Id: 1\r\n"));
}

/** Number of engines of a pool that a box queries for the cached prompt of a stream. */
static int64_t count_queried(fixture_t *f, const backend_t *like, const char *names, unsigned engines)
{
    backend_t *const list = g_new0(backend_t, engines + 1);
    list[0] = fleet_find(f->fleet, "i-0")->listed;
    for (unsigned i = 1; i <= engines; i++) {
        list[i] = *like;
        g_snprintf(list[i].id, sizeof(list[i].id), "%s-%u", names, i);
    }
    fleet_set_list(f->fleet, list, engines + 1, tc_time_now());
    g_free(list);
    const int64_t before = counter_read("trackcove_locate_asked_total");
    lab_call_t *const c = begin_with(f, "/again/x", "Last-Event-Id: 1\r\nPrompt-Prefix: a1:10,b2:90\r\n");
    lab_run_until_true(f->loop, &c->done);
    lab_call_free(c);
    return counter_read("trackcove_locate_asked_total") - before;
}

/** In a large pool a box queries only some engines, as each query takes a connection. In a very large pool those would
 * be a small share, so it queries only the few where the scheduler would have placed the stream. */
static void test_resumed_stream_in_a_large_pool(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "l", NULL);
    const backend_t like = fleet_find(f->fleet, "i-1")->listed;
    g_assert_cmpint(count_queried(f, &like, "e", 700), ==, 256);
    g_assert_cmpint(count_queried(f, &like, "other", 2000), ==, 32);
}

static void test_resumed_stream_without_cached_prompt(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "lU", NULL);
    resume(f);
    g_assert_cmpuint(requests(f, 0), ==, 1);
    g_assert_cmpuint(requests(f, 1), ==, 2);
}

/** When the engine that caches the prompt is full, the stream is placed like any other. */
static void test_resumed_stream_whose_engine_is_full(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f,
              (backend_plan_t[]){{"lm", "prefill", "p", false, false},
                                 {"lm", "decode", "knk", false, false},
                                 {"lm", "decode", "lU", false, false}},
              3);
    resume(f);
    g_assert_cmpuint(requests(f, 0), ==, 1);
    g_assert_cmpuint(requests(f, 2), ==, 2);
}

static void test_no_prefill_engine(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"lm", "decode", "S", false, false}}, 1);
    expect(f, "/lm/x", 200, NULL);
    g_assert_null(strstr(f->plan[0].seen->str, "Kv-From"));
}

static void test_memory_is_reserved_first(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "held", "p", "HS", NULL);
    expect(f, "/held/x", 200, NULL);
    g_assert_nonnull(strstr(f->plan[1].seen->str, "POST /hold-take "));
    g_assert_nonnull(strstr(f->plan[1].seen->str, "\r\nHold: hold1\r\n"));
}

static void test_no_room_makes_no_prefill(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "held", "p", "n", NULL);
    expect(f, "/held/x", 503, NULL);
    g_assert_cmpuint(requests(f, 0), ==, 0); /* no prefill is wasted */
}

static bool was_dropped(void *arg)
{
    return strstr(((fixture_t *)arg)->plan[1].seen->str, "DELETE /hold-drop/hold1 ") != NULL;
}

static void test_unused_reservation_is_released(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "held", "h", "Ho", NULL);
    lab_call_t *const c = begin(f, "/held/x");
    lab_run_until(f->loop, has_request, f); /* the prompt is being read */
    web_call_cancel(c->call);
    lab_run_until(f->loop, was_dropped, f);
    lab_call_free(c);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/forward/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("served", test_served);
    TEST("unsafe-request-lost-in-a-crash-is-not-503", test_unsafe_request_lost_in_a_crash_is_not_503);
    TEST("refused-unsafe-request-goes-elsewhere", test_refused_unsafe_request_goes_elsewhere);
    TEST("stated-load", test_stated_load);
    TEST("outdated-back-end-is-avoided", test_outdated_back_end_is_avoided);
    TEST("refused-everywhere-is-503", test_refused_everywhere_is_503);
    TEST("unreachable-goes-elsewhere", test_unreachable_goes_elsewhere);
    TEST("safe-request-is-retried", test_safe_request_is_retried);
    TEST("refusal-unfinished-at-the-deadline", test_refusal_unfinished_at_the_deadline);
    TEST("failure-passes-unchanged", test_failure_passes_unchanged);
    TEST("stray-answer-is-skipped", test_stray_answer_is_skipped);
    TEST("timeout-is-answered", test_timeout_is_answered);
    TEST("caller-leaves", test_caller_leaves);
    TEST("without-configuration", test_without_configuration);
    TEST("early-request-waits", test_early_request_waits);
    TEST("early-caller-leaves", test_early_caller_leaves);
    TEST("stopping-box-completes-requests-in-flight", test_stopping_box_completes_requests_in_flight);
    TEST("stopping-box-begins-what-ends-in-time", test_stopping_box_begins_what_ends_in_time);
    TEST("prefill-then-decode", test_prefill_then_decode);
    TEST("calls-carry-urgency", test_calls_carry_urgency);
    TEST("no-urgency-among-equals", test_no_urgency_among_equals);
    TEST("refused-decode-keeps-the-prefill", test_refused_decode_keeps_the_prefill);
    TEST("unused-prefill-is-released", test_unused_prefill_is_released);
    TEST("broken-stream-waits-for-room", test_broken_stream_waits_for_room);
    TEST("broken-stream-does-not-look-complete", test_broken_stream_does_not_look_complete);
    TEST("resumable-stream-continues-elsewhere", test_resumable_stream_continues_elsewhere);
    TEST("resumable-stream-continues-at-its-engine", test_resumable_stream_continues_at_its_engine);
    TEST("lost-prefill-is-retried-at-its-engine", test_lost_prefill_is_retried_at_its_engine);
    TEST("resumed-stream-goes-where-its-prompt-is-cached", test_resumed_stream_goes_where_its_prompt_is_cached);
    TEST("resumed-stream-in-a-large-pool", test_resumed_stream_in_a_large_pool);
    TEST("resumed-stream-without-cached-prompt", test_resumed_stream_without_cached_prompt);
    TEST("resumed-stream-whose-engine-is-full", test_resumed_stream_whose_engine_is_full);
    TEST("no-prefill-engine", test_no_prefill_engine);
    TEST("memory-is-reserved-first", test_memory_is_reserved_first);
    TEST("no-room-makes-no-prefill", test_no_room_makes_no_prefill);
    TEST("unused-reservation-is-released", test_unused_reservation_is_released);
    return g_test_run();
}
