/* Reading server-sent events, and which calls count as sent. */

#include <glib.h>
#include <string.h>

#include "backend/engine.h"
#include "backend/sse.h"
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

/* ===== Calls ===== */

#define SERVER "127.0.0.1:16911"

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

static int call(const char *url, bool once, http_result_t *result)
{
    const http_call_t http = {.url = url,
                              .method = "POST",
                              .body = "{}",
                              .body_size = 2,
                              .limit = 3000,
                              .peer = "test",
                              .step = "test",
                              .once = once};
    tc_err_t err;
    const int rc = http_call(&http, result, &err);
    free(result->body);
    return rc;
}

static void test_calls(void)
{
    tc_err_t err;
    http_client_init("test");
    http_server_t *const server = http_start(SERVER, 4, &err);
    g_assert_nonnull(server);
    http_route(server, "/hang-up", hang_up, NULL);
    http_route(server, "/v1/orders", answer, NULL);
    http_result_t result;
    g_assert_cmpint(call("http://127.0.0.1:16912/x", true, &result), ==, TC_E_UNREACHABLE);
    g_assert_false(result.sent);
    g_assert_cmpint(call("http://" SERVER "/hang-up", true, &result), ==, TC_E_BROKEN);
    g_assert_true(result.sent);
    g_assert_cmpint(served, ==, 1); /* and was not sent again by the library */
    g_assert_cmpint(call("http://" SERVER "/v1/orders", true, &result), ==, TC_E_REFUSED);
    const engine_order_t order = {.term = 1, .index = 2, .role = ROLE_DECODE, .model = "m", .version = "1"};
    g_assert_cmpint(engine_order("e", "http://" SERVER, &order, 3000, &err), ==, TC_E_FENCED);
    g_assert_cmpstr(err.peer, ==, "e");
    http_stop(server);
    http_client_cleanup();
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/backend/sse", test_sse);
    g_test_add_func("/backend/sse-limits", test_sse_limits);
    g_test_add_func("/backend/calls", test_calls);
    return g_test_run();
}
