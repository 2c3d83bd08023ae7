/* Forwarded requests end to end over loopback: an entry with fake back ends that fail in every way they may, and what
 * callers and back ends see of it. */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "forward/forward.h"
#include "harness/lab.h"
#include "platform/config.h"

/* ===== Fixture ===== */

enum { BACKENDS = 4 };

/** What one fake back end does with its next requests; the last one goes on for ever. */
typedef struct {
    const char *replies; /* a letter each, see answer() */
    unsigned at;
    GString *seen;
    struct fixture *fixture;
} plan_t;

typedef struct fixture {
    loop_t *loop;
    fleet_t *fleet;
    web_client_t *client, *callers;
    forwarder_t *forwarder;
    web_server_t *server;
    web_limits_t limits;
    char addr[32];
    char backend_addr[BACKENDS][32];
    lab_backend_t *backend[BACKENDS];
    plan_t plan[BACKENDS];
    bool spare[BACKENDS];
} fixture_t;

#define SEAL "Server-Seal: s1\r\nAttempt-Id: id1\r\n"
#define STREAM_HEAD "HTTP/1.1 200 OK\r\n" SEAL "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

static lab_reply_t say(const char *bytes, lab_end_t end)
{
    return (lab_reply_t){.bytes = g_strdup(bytes), .end = end};
}

static lab_reply_t say_json(const char *body)
{
    char *const bytes = g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen(body), body);
    return (lab_reply_t){.bytes = bytes, .end = LAB_KEEP};
}

static lab_reply_t answer(void *arg, const char *request)
{
    plan_t *const plan = arg;
    g_string_append(plan->seen, request);
    const char kind = plan->replies[plan->at];
    if (plan->replies[plan->at + 1])
        plan->at++;
    switch (kind) {
    case 'o': return say("HTTP/1.1 200 OK\r\n" SEAL "Content-Length: 2\r\n\r\nok", LAB_KEEP);
    case 'n': return say("HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", LAB_KEEP);
    case 'm': return say("HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n", LAB_KEEP);
    case 'e': return say("HTTP/1.1 500 No\r\n" SEAL "Content-Length: 2\r\n\r\nno", LAB_KEEP);
    case 'r': return say(NULL, LAB_RESET);
    case 'c': return say("HTTP/1.1 200 OK\r\n" SEAL "Content-Length: 9\r\n\r\nok", LAB_CLOSE);
    case 'g': return say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", LAB_KEEP); /* no proof of origin */
    case 'h': return say(NULL, LAB_HANG);
    case 'x': /* somebody else's answer first */
        return say("HTTP/1.1 200 OK\r\nServer-Seal: s0\r\nAttempt-Id: id0\r\nContent-Length: 5\r\n\r\nother"
                   "HTTP/1.1 200 OK\r\n" SEAL "Content-Length: 2\r\n\r\nok",
                   LAB_KEEP);
    case 'p': return say_json("{\"prefill_handle\":\"handle1\"}");
    case 'k': /* keeps both parts of the prompt of resume() */
        return say_json("{\"held\":[[\"\",\"b2\",90,\"m\"],[\"\",\"a1\",10,\"m\"]]}");
    case 'l': /* keeps the shared part only */ return say_json("{\"held\":[[\"\",\"a1\",10,\"m\"]]}");
    case 'H': return say_json("{\"hold\":\"hold1\"}");
    case 'S': /* a whole stream */
        return say(STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\nf\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n", LAB_KEEP);
    case 'T': /* breaks in the middle of its second event */
        return say(STREAM_HEAD "f\r\nid: 1\ndata: a\n\n\r\n5\r\nid: 2\r\n", LAB_RESET);
    case 'U': /* goes on behind the first */ return say(STREAM_HEAD "f\r\nid: 2\ndata: b\n\n\r\n0\r\n\r\n", LAB_KEEP);
    default: g_assert_not_reached();
    }
}

#define ROUTE(path, kind, timeout, attempts, service)                                                                  \
    "{\"host\":\"h\",\"path_prefix\":\"/" path "/\",\"kind\":\"" kind "\",\"timeout_ms\":" timeout                     \
    ",\"max_attempts\":" attempts ",\"service\":\"" service "\"}"
#define ENGINE(more) "\"engine\":{\"slots\":8,\"kv_tokens\":9000,\"handle_ttl_s\":5" more "}"
/** As attempts: the stream may be taken up elsewhere. */
#define RESUMABLE "2,\"resumable\":true"

static const char *const routes[] = {ROUTE("safe", "safe", "3000", "2", "app"),
                                     ROUTE("once", "unsafe", "3000", "2", "app"),
                                     ROUTE("short", "safe", "200", "2", "app"),
                                     ROUTE("lm", "stream", "9000", "1", "lm"),
                                     ROUTE("again", "stream", "9000", RESUMABLE, "lm"),
                                     ROUTE("held", "stream", "9000", "1", "held"),
                                     NULL};

static const char *const services[] = {"{\"name\":\"app\"}", "{\"name\":\"lm\"," ENGINE("") "}",
                                       "{\"name\":\"held\"," ENGINE(",\"hold_ms\":2000") "}", NULL};

static route_table_t *read_config(void)
{
    char *const routes_text = g_strjoinv(",", (char **)(uintptr_t)routes);
    char *const services_text = g_strjoinv(",", (char **)(uintptr_t)services);
    char *const text = g_strdup_printf("{\"version\":3,\"routes\":[%s],\"services\":[%s]}", routes_text, services_text);
    tc_err_t err = {0};
    route_table_t *const table = config_read(text, strlen(text), &err);
    g_assert_nonnull(table);
    g_free(text);
    g_free(services_text);
    g_free(routes_text);
    return table;
}

static void set_up(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->loop = loop_create();
    f->fleet = fleet_create();
    f->client = web_client_create(f->loop);
    f->callers = web_client_create(f->loop);
    const forwarder_options_t options = {
        .box = "box", .dc = "a", .retries = {.ratio = 100, .allowance = 0, .window = 60000}, .pause_limit = 60000};
    f->forwarder = forwarder_create(f->loop, f->fleet, f->client, &options);
    route_table_t *const table = read_config();
    forwarder_set_routes(f->forwarder, table);
    f->limits = table->limits;
    route_table_unref(table);
    lab_free_addr(f->addr);
    tc_err_t err = {0};
    f->server = web_server_start(f->loop, f->addr, &f->limits, forwarder_handle, f->forwarder, &err);
    g_assert_nonnull(f->server);
    for (int i = 0; i < BACKENDS; i++)
        f->plan[i].seen = g_string_new(NULL);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
    (void)data;
    g_assert_cmpuint(forwarder_busy(f->forwarder), ==, 0);
    web_client_destroy(f->callers);
    web_client_destroy(f->client);
    web_server_stop(f->server);
    for (int i = 0; i < BACKENDS; i++) {
        if (f->backend[i])
            lab_backend_stop(f->backend[i]);
        g_string_free(f->plan[i].seen, TRUE);
    }
    forwarder_destroy(f->forwarder);
    fleet_destroy(f->fleet);
    loop_destroy(f->loop);
}

/** One back end: a spare one is chosen only when no other is left; nobody listens at one that is down. */
typedef struct {
    const char *service, *stage, *replies;
    bool spare, down;
} backend_plan_t;

static void start_all(fixture_t *f, const backend_plan_t *plans, uint32_t n)
{
    backend_t list[BACKENDS];
    memset(list, 0, sizeof(list));
    for (uint32_t i = 0; i < n; i++) {
        f->plan[i].replies = plans[i].replies;
        lab_free_addr(f->backend_addr[i]);
        if (!plans[i].down)
            f->backend[i] = lab_backend_start(f->loop, f->backend_addr[i], answer, &f->plan[i]);
        g_snprintf(list[i].id, sizeof(list[i].id), "i-%u", i);
        codec_copy_string(list[i].service, sizeof(list[i].service), plans[i].service);
        codec_copy_string(list[i].stage, sizeof(list[i].stage), plans[i].stage);
        codec_copy_string(list[i].addr, sizeof(list[i].addr), f->backend_addr[i]);
        f->spare[i] = plans[i].spare;
        list[i].slots = 8;
    }
    fleet_list(f->fleet, list, n, tc_time_now());
}

static unsigned requests(const fixture_t *f, int i)
{
    return f->backend[i] ? lab_backend_requests(f->backend[i]) : 0;
}

/** Choices are by lot: leave the spare ones out until the others have been tried. */
static void avoid_spares(fixture_t *f)
{
    for (int i = 0; i < BACKENDS; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "i-%d", i);
        instance_t *const instance = fleet_find(f->fleet, id);
        if (instance)
            instance->avoid_until = f->spare[i] ? TC_TIME_NEVER : 0;
    }
}

/** @param more header lines beside */
static lab_call_t *begin_with(fixture_t *f, const char *path, const char *more)
{
    avoid_spares(f);
    char *const text = g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: id1\r\nDeadline-Ms: 8000\r\n"
                                       "Token-Count: 100,50\r\n%sContent-Length: 4\r\n\r\nbody",
                                       path, more);
    lab_call_t *const c = lab_call(f->callers, f->addr, text);
    g_free(text);
    return c;
}

static lab_call_t *begin(fixture_t *f, const char *path)
{
    return begin_with(f, path, "");
}

static lab_call_t *call(fixture_t *f, const char *path)
{
    lab_call_t *const c = begin(f, path);
    lab_run_until_true(f->loop, &c->done);
    return c;
}

static void expect(fixture_t *f, const char *path, int status, const char *body)
{
    lab_call_t *const c = call(f, path);
    g_assert_cmpint(c->how, ==, WEB_END_WHOLE);
    g_assert_cmpint(c->status, ==, status);
    if (body)
        g_assert_cmpstr(c->body->str, ==, body);
    g_assert_true((status == 503) == (c->retry_after != NULL)); /* a refusal says when to come back */
    lab_call_free(c);
}

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
    fleet_list(f->fleet, &changed, 1, now);
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
    return forwarder_busy(((fixture_t *)arg)->forwarder) > 0;
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
    forwarder_learnt(f->forwarder); /* no back end is known yet: it waits on */
    g_assert_false(c->done);
    start_all(f, (backend_plan_t[]){{"app", "", "o", false, false}}, 1);
    forwarder_learnt(f->forwarder);
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
    forwarder_close(f->forwarder);
    expect(f, "/once/x", 503, NULL); /* not run, and said so */
    g_assert_cmpuint(requests(f, 0), ==, 1);
    lab_run_until_true(f->loop, &old->done);
    g_assert_cmpint(old->status, ==, 504); /* it got its answer */
    lab_call_free(old);
}

/* ===== Engines ===== */

static void test_prefill_then_decode(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"lm", "prefill", "p", false, false}, {"lm", "decode", "S", false, false}}, 2);
    expect(f, "/lm/x", 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    g_assert_nonnull(strstr(f->plan[0].seen->str, "Stage: prefill\r\n"));
    char *const from = g_strdup_printf("Kv-From: %s/handle1\r\n", f->backend_addr[0]);
    g_assert_nonnull(strstr(f->plan[1].seen->str, from));
    g_free(from);
}

static void test_refused_decode_keeps_the_prefill(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f,
              (backend_plan_t[]){{"lm", "prefill", "p", false, false},
                                 {"lm", "decode", "n", false, false},
                                 {"lm", "decode", "S", true, false}},
              3);
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
    start_all(f, (backend_plan_t[]){{"lm", "prefill", "po", false, false}, {"lm", "decode", "n", false, false}}, 2);
    expect(f, "/lm/x", 503, NULL);
    lab_run_until(f->loop, was_released, f);
}

static void test_broken_stream_does_not_look_whole(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f,
              (backend_plan_t[]){{"lm", "prefill", "p", false, false},
                                 {"lm", "decode", "T", false, false},
                                 {"lm", "decode", "S", true, false}},
              3);
    lab_call_t *const c = call(f, "/lm/x");
    g_assert_cmpint(c->how, ==, WEB_END_CUT);
    g_assert_cmpstr(c->body->str, ==, "id: 1\ndata: a\n\n"); /* whole events only */
    g_assert_cmpuint(requests(f, 2), ==, 0);                 /* it may run only once */
    lab_call_free(c);
}

static void test_resumable_stream_goes_on_elsewhere(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f,
              (backend_plan_t[]){{"lm", "prefill", "p", false, false},
                                 {"lm", "decode", "Tr", false, false},
                                 {"lm", "decode", "U", true, false}},
              3);
    expect(f, "/again/x", 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"); /* each event once */
    g_assert_nonnull(strstr(f->plan[2].seen->str, "Last-Event-Id: 1\r\n"));
}

/** The engine that carried the answer has the prompt still: it is asked first, and counts as one back end. */
static void test_resumable_stream_goes_on_where_it_was(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f,
              (backend_plan_t[]){{"lm", "prefill", "p", false, false},
                                 {"lm", "decode", "TU", false, false},
                                 {"lm", "decode", "U", true, false}},
              3);
    expect(f, "/again/x", 200, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
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

static void test_resumed_stream_whose_prompt_is_gone(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"lm", "prefill", "p", false, false}, {"lm", "decode", "lU", false, false}}, 2);
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
    start_all(f, (backend_plan_t[]){{"held", "prefill", "p", false, false}, {"held", "decode", "HS", false, false}}, 2);
    expect(f, "/held/x", 200, NULL);
    g_assert_nonnull(strstr(f->plan[1].seen->str, "POST /hold-take "));
    g_assert_nonnull(strstr(f->plan[1].seen->str, "\r\nHold: hold1\r\n"));
}

static void test_no_room_reads_no_prompt(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"held", "prefill", "p", false, false}, {"held", "decode", "n", false, false}}, 2);
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
    start_all(f, (backend_plan_t[]){{"held", "prefill", "h", false, false}, {"held", "decode", "Ho", false, false}}, 2);
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
    TEST("prefill-then-decode", test_prefill_then_decode);
    TEST("refused-decode-keeps-the-prefill", test_refused_decode_keeps_the_prefill);
    TEST("unused-prefill-is-released", test_unused_prefill_is_released);
    TEST("broken-stream-does-not-look-whole", test_broken_stream_does_not_look_whole);
    TEST("resumable-stream-goes-on-elsewhere", test_resumable_stream_goes_on_elsewhere);
    TEST("resumable-stream-goes-on-where-it-was", test_resumable_stream_goes_on_where_it_was);
    TEST("lost-prefill-is-asked-for-again", test_lost_prefill_is_asked_for_again);
    TEST("resumed-stream-goes-where-its-prompt-is-kept", test_resumed_stream_goes_where_its_prompt_is_kept);
    TEST("resumed-stream-whose-prompt-is-gone", test_resumed_stream_whose_prompt_is_gone);
    TEST("resumed-stream-whose-keeper-is-full", test_resumed_stream_whose_keeper_is_full);
    TEST("no-prefill-engine", test_no_prefill_engine);
    TEST("memory-is-set-aside-first", test_memory_is_set_aside_first);
    TEST("no-room-reads-no-prompt", test_no_room_reads_no_prompt);
    TEST("unused-memory-is-given-back", test_unused_memory_is_given_back);
    return g_test_run();
}
