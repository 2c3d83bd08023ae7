/* Forwarded requests end to end over loopback: an entry with fake back ends that fail in every way they may, and what
 * callers and back ends see of it. */

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

static void test_once_that_crashes_is_never_503(fixture_t *f, gconstpointer data)
{
    (void)data;
    static const char *const ways[] = {"r", "c", "g"};
    start_all(f, (backend_plan_t[]){{"app", "", "r", false, false}, {"app", "", "o", true, false}}, 2);
    for (size_t i = 0; i < G_N_ELEMENTS(ways); i++) {
        f->plan[0].replies = ways[i];
        f->plan[0].at = 0;
        expect(f, "/once/x", 502, NULL);
        g_assert_cmpuint(requests(f, 0), ==, i + 1);
        g_assert_cmpuint(requests(f, 1), ==, 0); /* promise: never a second run */
    }
}

static void test_once_refused_goes_elsewhere(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "n", false, false}, {"app", "", "o", true, false}}, 2);
    expect(f, "/once/x", 200, "ok");
    g_assert_cmpuint(requests(f, 0), ==, 1);
}

/** Promise: a back end that says it is not the one that the list names is left alone until the list says better. */
static void test_outdated_back_end_is_left_alone(fixture_t *f, gconstpointer data)
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
    expect(f, "/once/x", 200, "ok"); /* nothing of it was sent */
}

static void test_safe_is_tried_again(fixture_t *f, gconstpointer data)
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

static void test_stray_answer_is_nobodys(fixture_t *f, gconstpointer data)
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
    return lab_backend_left(((fixture_t *)arg)->backend[0]) == 1;
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
    lab_run_until(f->loop, has_left, f); /* the back end sees it at once */
    lab_call_free(c);
}

static void test_without_configuration(fixture_t *f, gconstpointer data)
{
    (void)data;
    forwarder_set_routes(f->forwarder, NULL);
    expect(f, "/once/x", 503, NULL);
}

/** Whether a request is under way. */
static bool is_busy(void *arg)
{
    return forwarder_in_flight(((fixture_t *)arg)->forwarder) > 0;
}

static bool is_idle(void *arg)
{
    return !is_busy(arg);
}

/** A box that has just started learns where to send requests while they wait. */
static void test_early_request_waits(fixture_t *f, gconstpointer data)
{
    (void)data;
    forwarder_set_routes(f->forwarder, NULL);
    lab_call_t *const c = begin(f, "/safe/x");
    lab_run_until(f->loop, is_busy, f);
    route_table_t *const table = read_config();
    forwarder_set_routes(f->forwarder, table);
    route_table_unref(table);
    forwarder_on_change(f->forwarder); /* no back end is known yet: it waits on */
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
    lab_run_until(f->loop, is_busy, f);
    web_call_cancel(c->call);
    lab_run_until(f->loop, is_idle, f);
    lab_call_free(c);
}

static void test_closed_ends_what_it_began(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "h", false, false}}, 1);
    lab_call_t *const old = begin(f, "/short/x");
    lab_run_until(f->loop, has_request, f);
    forwarder_stop(f->forwarder, tc_time_now(), tc_time_now() + 60000);
    expect(f, "/once/x", 503, NULL); /* not run, and said so */
    g_assert_cmpuint(requests(f, 0), ==, 1);
    lab_run_until_true(f->loop, &old->done);
    g_assert_cmpint(old->status, ==, 504); /* it got its answer */
    lab_call_free(old);
}

/** Promise: a planned stop cuts nothing off, so a box that stops begins only what it expects to end in time, by what it
 *  has seen; a caller that it refuses is sent elsewhere at once. */
static void test_stopping_begins_what_ends_in_time(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f,
              (backend_plan_t[]){{"lm", "prefill", "p", false, false},
                                 {"lm", "decode", "S", false, false},
                                 {"app", "", "o", false, false}},
              3);
    const tc_time_t now = tc_time_now();
    forwarder_stop(f->forwarder, now + 60000, now + 6000);
    lab_call_t *const c = call(f, "/lm/x"); /* it may take 8 s, and nobody knows better */
    g_assert_cmpint(c->status, ==, 503);
    g_assert_cmpfloat(g_ascii_strtod(c->retry_after, NULL), <, 0.1);
    lab_call_free(c);
    g_assert_cmpuint(requests(f, 0), ==, 0);
    expect(f, "/short/x", 200, "ok"); /* its time is over before the box is */
    forwarder_stop(f->forwarder, now + 60000, now + 60000);
    for (int i = 0; i < 50; i++)
        expect(f, "/lm/x", 200, NULL);
    forwarder_stop(f->forwarder, now + 60000, now + 6000);
    expect(f, "/lm/x", 200, NULL); /* streams are seen to take no time */
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

static void test_refused_decode_keeps_the_prefill(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "n", "S");
    expect(f, "/lm/x", 200, NULL);
    g_assert_cmpuint(requests(f, 0), ==, 1); /* read once */
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

/** A stream that broke, and for which no engine has room at that moment, is not cut off at once: its caller bears a
 *  pause, and room comes. */
static void test_broken_stream_waits_for_room(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"held", "decode", "HTn", false, false}, {"held", "decode", "nnHU", true, false}},
              2);
    expect(f, "/held-again/x", 200, FIRST SECOND);
}

static void test_broken_stream_does_not_look_whole(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "T", "S");
    lab_call_t *const c = call(f, "/lm/x");
    g_assert_cmpint(c->how, ==, WEB_END_CUT);
    g_assert_cmpstr(c->body->str, ==, FIRST); /* whole events only */
    g_assert_cmpuint(requests(f, 2), ==, 0);  /* it may run only once */
    lab_call_free(c);
}

static void test_resumable_stream_goes_on_elsewhere(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "Tr", "U");
    expect(f, "/again/x", 200, FIRST SECOND); /* each event once */
    g_assert_nonnull(strstr(f->plan[2].seen->str, "Last-Event-Id: 1\r\n"));
}

/** The engine that carried the answer has the prompt still: it is asked first, and counts as one back end. */
static void test_resumable_stream_goes_on_where_it_was(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "TU", "U");
    expect(f, "/again/x", 200, FIRST SECOND);
    g_assert_cmpuint(requests(f, 0), ==, 1); /* nothing is computed anew */
    g_assert_cmpuint(requests(f, 2), ==, 0);
    g_assert_nonnull(strstr(f->plan[1].seen->str, "Last-Event-Id: 1\r\n"));
}

/** A prefill whose answer was lost is asked for where the prompt is computed already. */
static void test_lost_prefill_is_asked_for_again(fixture_t *f, gconstpointer data)
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

/** A caller takes a stream up again at this box, which knows nothing of it. */
static void resume(fixture_t *f)
{
    lab_call_t *const c = begin_with(f, "/again/x", "Last-Event-Id: 1\r\nPrompt-Prefix: a1:10,b2:90\r\n");
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->status, ==, 200);
    lab_call_free(c);
}

static void test_resumed_stream_goes_where_its_prompt_is_kept(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f,
              (backend_plan_t[]){{"lm", "prefill", "p", false, false},
                                 {"lm", "decode", "lS", false, false},
                                 {"lm", "decode", "kU", false, false}},
              3);
    resume(f);
    g_assert_cmpuint(requests(f, 0), ==, 0); /* nothing is computed anew */
    g_assert_cmpuint(requests(f, 1), ==, 1);
    g_assert_cmpuint(requests(f, 2), ==, 2);
    g_assert_nonnull(strstr(f->plan[2].seen->str, "Last-Event-Id: 1\r\n"));
}

/** How many engines of a pool a box asks who keeps the prompt of a stream. */
static int64_t count_asked(fixture_t *f, const backend_t *like, const char *names, unsigned engines)
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

/** In a large pool a box asks some engines, not all at once: each question takes a connection. In a very large one few
 *  of all could be asked, so only those are where the scheduler would have placed the stream. */
static void test_resumed_stream_in_a_large_pool(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "l", NULL);
    const backend_t like = fleet_find(f->fleet, "i-1")->listed;
    g_assert_cmpint(count_asked(f, &like, "e", 700), ==, 256);
    g_assert_cmpint(count_asked(f, &like, "other", 2000), ==, 32);
}

static void test_resumed_stream_whose_prompt_is_gone(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "lm", "p", "lU", NULL);
    resume(f);
    g_assert_cmpuint(requests(f, 0), ==, 1);
    g_assert_cmpuint(requests(f, 1), ==, 2);
}

/** An engine that keeps the prompt and is full: the stream is placed like any other. */
static void test_resumed_stream_whose_keeper_is_full(fixture_t *f, gconstpointer data)
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

static void test_memory_is_set_aside_first(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "held", "p", "HS", NULL);
    expect(f, "/held/x", 200, NULL);
    g_assert_nonnull(strstr(f->plan[1].seen->str, "POST /hold-take "));
    g_assert_nonnull(strstr(f->plan[1].seen->str, "\r\nHold: hold1\r\n"));
}

static void test_no_room_reads_no_prompt(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_engines(f, "held", "p", "n", NULL);
    expect(f, "/held/x", 503, NULL);
    g_assert_cmpuint(requests(f, 0), ==, 0); /* nothing is read for nothing */
}

static bool was_dropped(void *arg)
{
    return strstr(((fixture_t *)arg)->plan[1].seen->str, "DELETE /hold-drop/hold1 ") != NULL;
}

static void test_unused_memory_is_given_back(fixture_t *f, gconstpointer data)
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
    TEST("once-that-crashes-is-never-503", test_once_that_crashes_is_never_503);
    TEST("once-refused-goes-elsewhere", test_once_refused_goes_elsewhere);
    TEST("outdated-back-end-is-left-alone", test_outdated_back_end_is_left_alone);
    TEST("refused-everywhere-is-503", test_refused_everywhere_is_503);
    TEST("unreachable-goes-elsewhere", test_unreachable_goes_elsewhere);
    TEST("safe-is-tried-again", test_safe_is_tried_again);
    TEST("failure-passes-unchanged", test_failure_passes_unchanged);
    TEST("stray-answer-is-nobodys", test_stray_answer_is_nobodys);
    TEST("timeout-is-answered", test_timeout_is_answered);
    TEST("caller-leaves", test_caller_leaves);
    TEST("without-configuration", test_without_configuration);
    TEST("early-request-waits", test_early_request_waits);
    TEST("early-caller-leaves", test_early_caller_leaves);
    TEST("closed-ends-what-it-began", test_closed_ends_what_it_began);
    TEST("stopping-begins-what-ends-in-time", test_stopping_begins_what_ends_in_time);
    TEST("prefill-then-decode", test_prefill_then_decode);
    TEST("refused-decode-keeps-the-prefill", test_refused_decode_keeps_the_prefill);
    TEST("unused-prefill-is-released", test_unused_prefill_is_released);
    TEST("broken-stream-waits-for-room", test_broken_stream_waits_for_room);
    TEST("broken-stream-does-not-look-whole", test_broken_stream_does_not_look_whole);
    TEST("resumable-stream-goes-on-elsewhere", test_resumable_stream_goes_on_elsewhere);
    TEST("resumable-stream-goes-on-where-it-was", test_resumable_stream_goes_on_where_it_was);
    TEST("lost-prefill-is-asked-for-again", test_lost_prefill_is_asked_for_again);
    TEST("resumed-stream-goes-where-its-prompt-is-kept", test_resumed_stream_goes_where_its_prompt_is_kept);
    TEST("resumed-stream-in-a-large-pool", test_resumed_stream_in_a_large_pool);
    TEST("resumed-stream-whose-prompt-is-gone", test_resumed_stream_whose_prompt_is_gone);
    TEST("resumed-stream-whose-keeper-is-full", test_resumed_stream_whose_keeper_is_full);
    TEST("no-prefill-engine", test_no_prefill_engine);
    TEST("memory-is-set-aside-first", test_memory_is_set_aside_first);
    TEST("no-room-reads-no-prompt", test_no_room_reads_no_prompt);
    TEST("unused-memory-is-given-back", test_unused_memory_is_given_back);
    return g_test_run();
}
