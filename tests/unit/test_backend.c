/* Reading server-sent events, and which calls count as sent. */

#include <glib.h>
#include <string.h>

#include "backend/engine.h"
#include "backend/sse.h"
#include "harness/lab.h"
#include "http/http.h"

typedef struct {
    GString *seen;
} seen_t;

static bool on_event(void *arg, const sse_event_t *event)
{
    seen_t *const seen = arg;
    g_string_append_printf(seen->seen, "[%s|%s|%s]", event->id, event->name, event->data);
    return strcmp(event->data, "stop") != 0;
}

static void test_sse(void)
{
    static const char text[] = ": comment\n\nid: 1\ndata: a\n\nevent: error\r\ndata:b\r\n\r\nid: 2\ndata: c\n\n";
    for (size_t piece = 1; piece < sizeof(text); piece++) { /* however the bytes come */
        seen_t seen = {.seen = g_string_new(NULL)};
        sse_t sse;
        sse_init(&sse, on_event, &seen);
        for (size_t at = 0; at < sizeof(text) - 1; at += piece)
            g_assert_true(sse_feed(&sse, text + at, MIN(piece, sizeof(text) - 1 - at)));
        g_assert_cmpstr(seen.seen->str, ==, "[1||a][1|error|b][2||c]");
        sse_free(&sse);
        g_string_free(seen.seen, TRUE);
    }
}

static void test_sse_limits(void)
{
    seen_t seen = {.seen = g_string_new(NULL)};
    sse_t sse;
    sse_init(&sse, on_event, &seen);
    g_assert_false(sse_feed(&sse, "data: stop\n\n", 12));
    sse_free(&sse);
    sse_init(&sse, on_event, &seen);
    char *const line = g_strnfill(SSE_LINE_MAX + 10, 'x');
    g_assert_false(sse_feed(&sse, line, SSE_LINE_MAX + 10));
    g_free(line);
    sse_free(&sse);
    g_string_free(seen.seen, TRUE);
}

/** Feed a text byte by byte. @return what was seen */
static char *seen_of(const char *text)
{
    seen_t seen = {.seen = g_string_new(NULL)};
    sse_t sse;
    sse_init(&sse, on_event, &seen);
    for (const char *c = text; *c; c++)
        g_assert_true(sse_feed(&sse, c, 1));
    sse_free(&sse);
    return g_string_free(seen.seen, FALSE);
}

static void assert_seen(const char *text, const char *wanted)
{
    char *const seen = seen_of(text);
    g_assert_cmpstr(seen, ==, wanted);
    g_free(seen);
}

/** What belongs to one event ends with it: its fields may stand in any order, and none reaches the next event. */
static void test_sse_fields(void)
{
    assert_seen("data: a\nid: 1\n\nid: 2\ndata: b\n\n", "[1||a][2||b]");
    assert_seen("event: error\n\nid: 1\ndata: a\n\n", "[1||a]");
    assert_seen("id: 1\ndata: a\ndata: b\n\n", "[1||a\nb]");
    assert_seen("id: 1\ndata: a\n\nid: 2\ndata: b\n", "[1||a]"); /* no blank line: not a whole event */
}

/* ===== Calls ===== */

static http_server_t *server;
static char server_url[48], nobody_url[48]; /* at the second of which nobody listens */
static int served;

static int hang_up(struct mg_connection *conn, void *arg)
{
    (void)arg;
    served++;
    mg_close_connection(conn);
    return 499;
}

static int answer(struct mg_connection *conn, void *arg)
{
    (void)arg;
    return http_send_json(conn, 409, json_pack("{s:s}", "error", "fenced"), 0);
}

/* ===== Streams of engines ===== */

/** Write a text and end. */
static int scripted(struct mg_connection *conn, void *arg)
{
    const char *const text = arg;
    http_stream_t stream = {.conn = conn, .sse = true};
    http_stream_send(&stream, text, strlen(text));
    http_stream_close(&stream);
    return 200;
}

/** Write events until nobody reads them. */
static int endless(struct mg_connection *conn, void *arg)
{
    (void)arg;
    http_stream_t stream = {.conn = conn, .sse = true};
    for (unsigned place = 1; !stream.broken; place++) {
        char event[128];
        snprintf(event, sizeof(event), "id: %u\ndata: {\"choices\":[{\"text\":\"%u \"}]}\n\n", place, place);
        http_stream_send(&stream, event, strlen(event));
    }
    return 200;
}

#define EVENT(place, text) "id: " place "\ndata: {\"choices\":[{\"text\":\"" text "\",\"finish_reason\":null}]}\n\n"
#define LAST(place, text) "id: " place "\ndata: {\"choices\":[{\"text\":\"" text "\",\"finish_reason\":\"stop\"}]}\n\n"
#define DONE "data: [DONE]\n\n"

enum { TOKEN_GAP_MS = 400 };

typedef struct {
    GString *seen;
    int rested;      /* the first token is done with */
    unsigned most;   /* tokens taken before it is given up, 0: all */
    unsigned nap_ms; /* taken over the first token */
    unsigned got;
} taker_t;

static bool on_token(void *arg, uint32_t place, const char *text, const char *finish)
{
    taker_t *const t = arg;
    g_string_append_printf(t->seen, "%u%s%s ", place, text, finish ? "!" : "");
    if (t->got++ == 0)
        g_usleep(t->nap_ms * 1000UL);
    g_atomic_int_set(&t->rested, 1);
    return t->most == 0 || t->got < t->most;
}

/** Read a stream behind @p from. @return how it ended, in @p seen what came */
static int read_stream(const char *id, uint32_t from, taker_t *taker, tc_err_t *err)
{
    const engine_request_t request = {.name = "e", .url = server_url, .engine_id = id, .model = "m"};
    const engine_reader_t reader = {
        .on_token = on_token, .arg = taker, .first_token_timeout = 3000, .next_token_timeout = TOKEN_GAP_MS};
    taker->seen = g_string_new(NULL);
    return engine_resume(&request, from, &reader, err);
}

static void assert_stream(const char *text, uint32_t from, int rc, const char *wanted)
{
    taker_t taker = {.most = 0};
    tc_err_t err = {0};
    http_route(server, "/v1/streams/scripted", scripted, (void *)(uintptr_t)text);
    g_assert_cmpint(read_stream("scripted", from, &taker, &err), ==, rc);
    g_assert_cmpstr(taker.seen->str, ==, wanted);
    g_string_free(taker.seen, TRUE);
}

/** A stream says of each event where it stands. One that does not go on behind the place that was asked for, or behind
 *  its own last event, is not passed on. */
static void test_places(void)
{
    assert_stream(EVENT("1", "a") LAST("2", "b") DONE, 0, TC_OK, "1a 2b! ");
    assert_stream(EVENT("8", "a") LAST("9", "b") DONE, 7, TC_OK, "8a 9b! ");
    assert_stream(DONE, 7, TC_OK, "");
    assert_stream(EVENT("1", "a") EVENT("2", "b") DONE, 7, TC_E_INVALID, ""); /* from the start, unasked */
    assert_stream(EVENT("7", "a") EVENT("8", "b") DONE, 7, TC_E_INVALID, "");
    assert_stream(EVENT("9", "a") DONE, 7, TC_E_INVALID, "");                    /* 8 is missing */
    assert_stream(EVENT("1", "a") EVENT("1", "a") DONE, 0, TC_E_INVALID, "1a "); /* twice */
    assert_stream(EVENT("1", "a") EVENT("3", "c") DONE, 0, TC_E_INVALID, "1a ");
    assert_stream(EVENT("1x", "a") DONE, 0, TC_E_INVALID, "");
    assert_stream(EVENT("", "a") DONE, 0, TC_E_INVALID, "");
    assert_stream(EVENT("4294967297", "a") DONE, 0, TC_E_INVALID, "");
}

/** An event without an id of its own has no place; that of the event before it is not its place. */
static void test_event_without_id(void)
{
    static const char none[] = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n" DONE;
    static const char second[] = EVENT("1", "a") "data: {\"choices\":[{\"text\":\"a\"}]}\n\n" DONE;
    assert_stream(none, 0, TC_E_INVALID, "");
    assert_stream(second, 0, TC_E_INVALID, "1a ");
}

static void test_events_that_are_no_tokens(void)
{
    assert_stream(EVENT("1", "a") "id: 2\ndata: {\"choi\n\n" DONE, 0, TC_E_INVALID, "1a ");
    assert_stream(EVENT("1", "a") "event: error\ndata: {\"error\":{}}\n\n", 0, TC_E_INVALID, "1a ");
    assert_stream(EVENT("1", "a") "id: 2\ndata: {\"choices\":[{\"text\":\"b\"", 0, TC_E_BROKEN, "1a ");
    assert_stream(EVENT("1", "a") DONE EVENT("2", "b"), 0, TC_OK, "1a "); /* nothing follows the end */
}

/** Several tokens in one event: its id is the place of the last. */
static void test_several_tokens(void)
{
    static const char text[] = "id: 3\ndata: {\"choices\":[{\"text\":\"abc\",\"token_ids\":[1,2,3]}]}\n\n"
                               "id: 5\ndata: {\"choices\":[{\"text\":\"de\",\"token_ids\":[4,5]}]}\n\n" DONE;
    assert_stream(text, 0, TC_OK, "3abc 5de ");
    assert_stream(text, 1, TC_E_INVALID, "");
}

/** An engine that does not list them says null. */
static void test_tokens_that_are_not_listed(void)
{
    static const char text[] = "id: 1\ndata: {\"choices\":[{\"text\":\"a\",\"token_ids\":null}]}\n\n" DONE;
    assert_stream(text, 0, TC_OK, "1a ");
}

/** Write the second token only when the first was taken. */
static int patient(struct mg_connection *conn, void *arg)
{
    taker_t *const taker = arg;
    http_stream_t stream = {.conn = conn, .sse = true};
    http_stream_send(&stream, EVENT("1", "a"), sizeof(EVENT("1", "a")) - 1);
    while (!g_atomic_int_get(&taker->rested))
        g_usleep(1000);
    http_stream_send(&stream, LAST("2", "b") DONE, sizeof(LAST("2", "b") DONE) - 1);
    http_stream_close(&stream);
    return 200;
}

/** The time a reader takes over a token is not the engine's silence. */
static void test_slow_reader(void)
{
    taker_t taker = {.nap_ms = 2 * TOKEN_GAP_MS};
    tc_err_t err = {0};
    http_route(server, "/v1/streams/patient", patient, &taker);
    g_assert_cmpint(read_stream("patient", 0, &taker, &err), ==, TC_OK);
    g_assert_cmpstr(taker.seen->str, ==, "1a 2b! ");
    g_string_free(taker.seen, TRUE);
}

/** A transfer that is given up in the middle leaves nothing to the next one, which uses the same handle. */
static void test_given_up(void)
{
    http_route(server, "/v1/streams/endless", endless, NULL);
    for (unsigned round = 1; round <= 10; round++) {
        taker_t taker = {.most = round};
        tc_err_t err = {0};
        g_assert_cmpint(read_stream("endless", 0, &taker, &err), ==, TC_E_CANCELLED);
        g_assert_cmpuint(taker.got, ==, round);
        g_string_free(taker.seen, TRUE);
        assert_stream(EVENT("1", "a") LAST("2", "b") DONE, 0, TC_OK, "1a 2b! ");
    }
}

static int call(const char *base, const char *path, http_result_t *result)
{
    char url[96];
    g_snprintf(url, sizeof(url), "%s%s", base, path);
    const http_call_t http = {.url = url,
                              .method = "POST",
                              .body = "{}",
                              .body_size = 2,
                              .timeout = 3000,
                              .peer = "test",
                              .step = "test",
                              .no_resend = true};
    tc_err_t err;
    const int rc = http_call(&http, result, &err);
    free(result->body);
    return rc;
}

static void test_calls(void)
{
    tc_err_t err;
    http_route(server, "/hang-up", hang_up, NULL);
    http_route(server, "/v1/orders", answer, NULL);
    http_result_t result;
    g_assert_cmpint(call(nobody_url, "/x", &result), ==, TC_E_UNREACHABLE);
    g_assert_false(result.sent);
    g_assert_cmpint(call(server_url, "/hang-up", &result), ==, TC_E_BROKEN);
    g_assert_true(result.sent);
    g_assert_cmpint(served, ==, 1); /* and was not sent again by the library */
    g_assert_cmpint(call(server_url, "/v1/orders", &result), ==, TC_E_REFUSED);
    const engine_order_t order = {.term = 1, .index = 2, .role = ROLE_DECODE, .model = "m", .version = "1"};
    g_assert_cmpint(engine_order("e", server_url, &order, 3000, &err), ==, TC_E_FENCED);
    g_assert_cmpstr(err.peer, ==, "e");
}

int main(int argc, char **argv)
{
    tc_err_t err;
    g_test_init(&argc, &argv, NULL);
    http_client_init("test");
    char addr[32];
    lab_free_addr(addr);
    g_snprintf(nobody_url, sizeof(nobody_url), "http://%s", addr);
    lab_free_addr(addr);
    g_snprintf(server_url, sizeof(server_url), "http://%s", addr);
    server = http_start(addr, 4, &err);
    g_assert_nonnull(server);
    g_test_add_func("/backend/sse", test_sse);
    g_test_add_func("/backend/sse-limits", test_sse_limits);
    g_test_add_func("/backend/sse-fields", test_sse_fields);
    g_test_add_func("/backend/places", test_places);
    g_test_add_func("/backend/event-without-id", test_event_without_id);
    g_test_add_func("/backend/events-that-are-no-tokens", test_events_that_are_no_tokens);
    g_test_add_func("/backend/several-tokens", test_several_tokens);
    g_test_add_func("/backend/tokens-that-are-not-listed", test_tokens_that_are_not_listed);
    g_test_add_func("/backend/slow-reader", test_slow_reader);
    g_test_add_func("/backend/given-up", test_given_up);
    g_test_add_func("/backend/calls", test_calls);
    const int rc = g_test_run();
    http_stop(server);
    http_client_cleanup();
    return rc;
}
