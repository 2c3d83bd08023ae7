/* Parsing of server-sent events, token streams of engines, and which calls count as sent. */

#include <glib.h>
#include <string.h>

#include "backend/engine.h"
#include "backend/sse.h"
#include "harness/lab.h"
#include "http/http.h"

typedef struct {
    GString *text;
} event_log_t;

static bool on_event(void *arg, const sse_event_t *event)
{
    event_log_t *const log = arg;
    g_string_append_printf(log->text, "[%s|%s|%s]", event->id, event->name, event->data);
    return strcmp(event->data, "stop") != 0;
}

static void test_sse(void)
{
    static const char text[] = ": comment\n\nid: 1\ndata: a\n\nevent: error\r\ndata:b\r\n\r\nid: 2\ndata: c\n\n";
    for (size_t piece = 1; piece < sizeof(text); piece++) { /* for any split of the bytes */
        event_log_t log = {.text = g_string_new(NULL)};
        sse_t sse;
        sse_init(&sse, on_event, &log);
        for (size_t at = 0; at < sizeof(text) - 1; at += piece)
            g_assert_true(sse_feed(&sse, text + at, MIN(piece, sizeof(text) - 1 - at)));
        g_assert_cmpstr(log.text->str, ==, "[1||a][1|error|b][2||c]");
        sse_free(&sse);
        g_string_free(log.text, TRUE);
    }
}

static void test_sse_limits(void)
{
    event_log_t log = {.text = g_string_new(NULL)};
    sse_t sse;
    sse_init(&sse, on_event, &log);
    g_assert_false(sse_feed(&sse, "data: stop\n\n", 12));
    sse_free(&sse);
    sse_init(&sse, on_event, &log);
    char *const line = g_strnfill(SSE_LINE_MAX + 10, 'x');
    g_assert_false(sse_feed(&sse, line, SSE_LINE_MAX + 10));
    g_free(line);
    sse_free(&sse);
    g_string_free(log.text, TRUE);
}

/** Feeds a text byte by byte. @return the events, for g_free */
static char *parse_events(const char *text)
{
    event_log_t log = {.text = g_string_new(NULL)};
    sse_t sse;
    sse_init(&sse, on_event, &log);
    for (const char *c = text; *c; c++)
        g_assert_true(sse_feed(&sse, c, 1));
    sse_free(&sse);
    return g_string_free(log.text, FALSE);
}

static void assert_events(const char *text, const char *wanted)
{
    char *const events = parse_events(text);
    g_assert_cmpstr(events, ==, wanted);
    g_free(events);
}

/** The fields of an event may come in any order, and none carries over to the next event. */
static void test_sse_fields(void)
{
    assert_events("data: a\nid: 1\n\nid: 2\ndata: b\n\n", "[1||a][2||b]");
    assert_events("event: error\n\nid: 1\ndata: a\n\n", "[1||a]");
    assert_events("id: 1\ndata: a\ndata: b\n\n", "[1||a\nb]");
    assert_events("id: 1\ndata: a\n\nid: 2\ndata: b\n", "[1||a]"); /* no blank line: incomplete event */
}

/* ===== Calls ===== */

static http_server_t *server;
static char server_url[48], unused_url[48]; /* nothing listens at unused_url */
static int served;

static int close_connection(struct mg_connection *conn, void *arg)
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

/** Sends a text and ends the stream. */
static int send_script(struct mg_connection *conn, void *arg)
{
    const char *const text = arg;
    http_stream_t stream = {.conn = conn, .sse = true};
    http_stream_send(&stream, text, strlen(text));
    http_stream_close(&stream);
    return 200;
}

/** Sends events until the client disconnects. */
static int send_endless(struct mg_connection *conn, void *arg)
{
    (void)arg;
    http_stream_t stream = {.conn = conn, .sse = true};
    for (unsigned position = 1; !stream.broken; position++) {
        char event[128];
        snprintf(event, sizeof(event), "id: %u\ndata: {\"choices\":[{\"text\":\"%u \"}]}\n\n", position, position);
        http_stream_send(&stream, event, strlen(event));
    }
    return 200;
}

#define EVENT(position, text)                                                                                          \
    "id: " position "\ndata: {\"choices\":[{\"text\":\"" text "\",\"finish_reason\":null}]}\n\n"
#define LAST(position, text)                                                                                           \
    "id: " position "\ndata: {\"choices\":[{\"text\":\"" text "\",\"finish_reason\":\"stop\"}]}\n\n"
#define DONE "data: [DONE]\n\n"

enum { TOKEN_GAP_MS = 400 };

typedef struct {
    GString *text;
    int first_done;      /* the first token was processed */
    unsigned max_tokens; /* cancel after this many tokens, 0: never */
    unsigned delay_ms;   /* time to process the first token */
    unsigned received;
} token_log_t;

static bool on_token(void *arg, uint32_t position, const char *text, const char *finish)
{
    token_log_t *const t = arg;
    g_string_append_printf(t->text, "%u%s%s ", position, text, finish ? "!" : "");
    if (t->received++ == 0)
        g_usleep(t->delay_ms * 1000UL);
    g_atomic_int_set(&t->first_done, 1);
    return t->max_tokens == 0 || t->received < t->max_tokens;
}

/** Reads a stream after position @p from into the reader's text. @return result of engine_resume */
static int read_stream(const char *id, uint32_t from, token_log_t *log, tc_err_t *err)
{
    const engine_request_t request = {.name = "e", .url = server_url, .engine_id = id, .model = "m"};
    const engine_reader_t reader = {
        .on_token = on_token, .arg = log, .first_token_timeout = 3000, .next_token_timeout = TOKEN_GAP_MS};
    log->text = g_string_new(NULL);
    return engine_resume(&request, from, &reader, err);
}

static void assert_stream(const char *text, uint32_t from, int rc, const char *wanted)
{
    token_log_t log = {.max_tokens = 0};
    tc_err_t err = {0};
    http_route(server, "/v1/streams/scripted", send_script, (void *)(uintptr_t)text);
    g_assert_cmpint(read_stream("scripted", from, &log, &err), ==, rc);
    g_assert_cmpstr(log.text->str, ==, wanted);
    g_string_free(log.text, TRUE);
}

/** Each event of a stream has a position. An event that does not continue after the requested position, or after the
 *  event before it, is not passed on. */
static void test_positions(void)
{
    assert_stream(EVENT("1", "a") LAST("2", "b") DONE, 0, TC_OK, "1a 2b! ");
    assert_stream(EVENT("8", "a") LAST("9", "b") DONE, 7, TC_OK, "8a 9b! ");
    assert_stream(DONE, 7, TC_OK, "");
    assert_stream(EVENT("1", "a") EVENT("2", "b") DONE, 7, TC_E_INVALID, ""); /* from the start, not requested */
    assert_stream(EVENT("7", "a") EVENT("8", "b") DONE, 7, TC_E_INVALID, "");
    assert_stream(EVENT("9", "a") DONE, 7, TC_E_INVALID, "");                    /* 8 is missing */
    assert_stream(EVENT("1", "a") EVENT("1", "a") DONE, 0, TC_E_INVALID, "1a "); /* twice */
    assert_stream(EVENT("1", "a") EVENT("3", "c") DONE, 0, TC_E_INVALID, "1a ");
    assert_stream(EVENT("1x", "a") DONE, 0, TC_E_INVALID, "");
    assert_stream(EVENT("", "a") DONE, 0, TC_E_INVALID, "");
    assert_stream(EVENT("4294967297", "a") DONE, 0, TC_E_INVALID, "");
}

/** An event without its own id has no position; the id of the event before it does not count. */
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

/** Several tokens in one event: its id is the position of the last. */
static void test_several_tokens(void)
{
    static const char text[] = "id: 3\ndata: {\"choices\":[{\"text\":\"abc\",\"token_ids\":[1,2,3]}]}\n\n"
                               "id: 5\ndata: {\"choices\":[{\"text\":\"de\",\"token_ids\":[4,5]}]}\n\n" DONE;
    assert_stream(text, 0, TC_OK, "3abc 5de ");
    assert_stream(text, 1, TC_E_INVALID, "");
}

/** An engine that does not list token ids sends null. */
static void test_tokens_that_are_not_listed(void)
{
    static const char text[] = "id: 1\ndata: {\"choices\":[{\"text\":\"a\",\"token_ids\":null}]}\n\n" DONE;
    assert_stream(text, 0, TC_OK, "1a ");
}

/** Sends the second token only when the first was processed. */
static int wait_for_reader(struct mg_connection *conn, void *arg)
{
    token_log_t *const log = arg;
    http_stream_t stream = {.conn = conn, .sse = true};
    http_stream_send(&stream, EVENT("1", "a"), sizeof(EVENT("1", "a")) - 1);
    while (!g_atomic_int_get(&log->first_done))
        g_usleep(1000);
    http_stream_send(&stream, LAST("2", "b") DONE, sizeof(LAST("2", "b") DONE) - 1);
    http_stream_close(&stream);
    return 200;
}

/** The time that a reader takes to process a token does not count towards the token timeout. */
static void test_slow_reader(void)
{
    token_log_t log = {.delay_ms = 2 * TOKEN_GAP_MS};
    tc_err_t err = {0};
    http_route(server, "/v1/streams/patient", wait_for_reader, &log);
    g_assert_cmpint(read_stream("patient", 0, &log, &err), ==, TC_OK);
    g_assert_cmpstr(log.text->str, ==, "1a 2b! ");
    g_string_free(log.text, TRUE);
}

/** A cancelled transfer does not affect the next one, which uses the same handle. */
static void test_cancel(void)
{
    http_route(server, "/v1/streams/endless", send_endless, NULL);
    for (unsigned round = 1; round <= 10; round++) {
        token_log_t log = {.max_tokens = round};
        tc_err_t err = {0};
        g_assert_cmpint(read_stream("endless", 0, &log, &err), ==, TC_E_CANCELLED);
        g_assert_cmpuint(log.received, ==, round);
        g_string_free(log.text, TRUE);
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
    http_route(server, "/hang-up", close_connection, NULL);
    http_route(server, "/v1/orders", answer, NULL);
    http_result_t result;
    g_assert_cmpint(call(unused_url, "/x", &result), ==, TC_E_UNREACHABLE);
    g_assert_false(result.sent);
    g_assert_cmpint(call(server_url, "/hang-up", &result), ==, TC_E_BROKEN);
    g_assert_true(result.sent);
    g_assert_cmpint(served, ==, 1); /* not resent by libcurl */
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
    lab_unused_addr(addr);
    g_snprintf(unused_url, sizeof(unused_url), "http://%s", addr);
    lab_unused_addr(addr);
    g_snprintf(server_url, sizeof(server_url), "http://%s", addr);
    server = http_start(addr, 4, &err);
    g_assert_nonnull(server);
    g_test_add_func("/backend/sse", test_sse);
    g_test_add_func("/backend/sse-limits", test_sse_limits);
    g_test_add_func("/backend/sse-fields", test_sse_fields);
    g_test_add_func("/backend/positions", test_positions);
    g_test_add_func("/backend/event-without-id", test_event_without_id);
    g_test_add_func("/backend/events-that-are-no-tokens", test_events_that_are_no_tokens);
    g_test_add_func("/backend/several-tokens", test_several_tokens);
    g_test_add_func("/backend/tokens-that-are-not-listed", test_tokens_that_are_not_listed);
    g_test_add_func("/backend/slow-reader", test_slow_reader);
    g_test_add_func("/backend/cancel", test_cancel);
    g_test_add_func("/backend/calls", test_calls);
    const int rc = g_test_run();
    http_stop(server);
    http_client_cleanup();
    return rc;
}
