/* The HTTP server and client on the loop, against bytes as a bad peer would send them. */

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness/lab.h"
#include "peer/peer.h"
#include "web/web_server.h"

/** An answer that the kernel does not take off the server's hands: its buffers grow to some 6 MB. */
enum { MORE_THAN_BUFFERS = 7 * 1024 * 1024 };

/* ===== A server that answers by the path ===== */

typedef struct {
    loop_t *loop;
    web_server_t *server;
    web_client_t *client;
    web_limits_t limits;
    char addr[32];
    unsigned handled;
    bool gone;
    bool held; /* a request waits for its answer */
    web_exchange_t *exchange;
    GString *seen; /* bodies, each followed by a bar */
} fixture_t;

static void on_gone(void *arg)
{
    ((fixture_t *)arg)->gone = true;
}

static void handle(void *arg, web_exchange_t *exchange, const web_request_t *request)
{
    fixture_t *const f = arg;
    f->handled++;
    g_string_append_len(f->seen, (const char *)request->body->data, request->body->len);
    g_string_append_c(f->seen, '|');
    if (strcmp(request->target, "/hold") == 0) {
        f->held = true;
        f->exchange = exchange;
        web_on_gone(exchange, on_gone, f);
        return;
    }
    if (strcmp(request->target, "/cut") == 0) {
        web_begin(exchange, 200, "");
        web_add(exchange, "half", 4);
        web_abort(exchange);
        return;
    }
    web_answer(exchange, 200, "", request->target, strlen(request->target));
}

static void set_up(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->loop = loop_create();
    f->seen = g_string_new(NULL);
    f->limits = (web_limits_t){.header_bytes = 512, .body_bytes = 64, .header_ms = 300, .idle_ms = 300, .take_ms = 300};
    lab_free_addr(f->addr);
    tc_err_t err = {0};
    f->server = web_server_start(f->loop, f->addr, &f->limits, handle, f, &err);
    g_assert_nonnull(f->server);
    f->client = web_client_create(f->loop);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
    (void)data;
    web_client_destroy(f->client);
    web_server_stop(f->server);
    loop_destroy(f->loop);
    g_string_free(f->seen, TRUE);
}

static int status_of(fixture_t *f, const char *request)
{
    lab_call_t *const c = lab_call(f->client, f->addr, request);
    lab_run_until_true(f->loop, &c->done);
    const int status = c->status;
    lab_call_free(c);
    return status;
}

/* ===== Server ===== */

static void test_whole(fixture_t *f, gconstpointer data)
{
    (void)data;
    g_assert_cmpint(status_of(f, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz"), ==, 200);
    g_assert_cmpint(
        status_of(f, "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"),
        ==, 200);
    g_assert_cmpstr(f->seen->str, ==, "xyz|abc|");
}

static bool is_held(void *arg)
{
    return ((fixture_t *)arg)->held;
}

/** Bodies of all connections together stay below what the server may hold; what would go beyond is told to come back
 *  before it is read. */
static void test_held_bytes(fixture_t *f, gconstpointer data)
{
    (void)data;
    static const char hold[] = "POST /hold HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\n"
                               "0123456789012345678901234567890123456789";
    static const char more[] = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\n"; /* not sent yet */
    static const char chunks[] = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "20\r\n01234567890123456789012345678901\r\n0\r\n\r\n";
    f->limits.held_bytes = 64;
    lab_call_t *const first = lab_call(f->client, f->addr, hold);
    lab_run_until(f->loop, is_held, f);
    lab_call_t *const second = lab_call(f->client, f->addr, more);
    lab_run_until_true(f->loop, &second->done);
    g_assert_cmpint(second->status, ==, 503);
    g_assert_nonnull(second->retry_after);
    lab_call_free(second);
    g_assert_cmpint(status_of(f, chunks), ==, 503);
    g_assert_false(web_has_room(f->exchange, 25));
    web_drop_body(f->exchange); /* it is needed no more, though it is not answered */
    g_assert_true(web_has_room(f->exchange, 64));
    g_assert_cmpint(status_of(f, chunks), ==, 200);
    web_answer(f->exchange, 200, "", "", 0);
    lab_run_until_true(f->loop, &first->done);
    lab_call_free(first);
    g_assert_cmpint(status_of(f, chunks), ==, 200); /* answered and gone: nothing is counted any more */
}

static void test_smuggled(fixture_t *f, gconstpointer data)
{
    (void)data;
    /* Two lengths, or a length beside chunks: whatever is behind must not become a request of its own. */
    g_assert_cmpint(status_of(f,
                              "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "0\r\n\r\nGET /evil HTTP/1.1\r\nHost: h\r\n\r\n"),
                    ==, 400);
    g_assert_cmpint(status_of(f, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nContent-Length: 30\r\n\r\n"
                                 "GET /evil HTTP/1.1\r\nHost: h\r\n\r\n"),
                    ==, 400);
    g_assert_cmpint(status_of(f, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n"), ==,
                    400);
    g_assert_cmpuint(f->handled, ==, 0);
}

static void test_limits(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *const filler = g_strnfill(600, 'x');
    char *const wide = g_strconcat("GET /a HTTP/1.1\r\nHost: h\r\nX: ", filler, "\r\n\r\n", NULL);
    g_assert_cmpint(status_of(f, wide), ==, 431);
    g_assert_cmpint(status_of(f, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n"), ==, 413);
    g_assert_cmpint(status_of(f, "POST /a HTTP/1.1\r\nHo"), ==, 408);
    g_free(wide);
    g_free(filler);
    g_assert_cmpuint(f->handled, ==, 0);
}

static void test_pipelined(fixture_t *f, gconstpointer data)
{
    (void)data;
    lab_call_t *const c =
        lab_call(f->client, f->addr, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpstr(c->body->str, ==, "/1");
    g_assert_cmpuint(f->handled, ==, 2);
    lab_call_free(c);
}

static void test_caller_leaves(fixture_t *f, gconstpointer data)
{
    (void)data;
    lab_call_t *const c = lab_call(f->client, f->addr, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &f->held);
    web_call_cancel(c->call);
    lab_run_until_true(f->loop, &f->gone);
    g_assert_cmpuint(web_server_busy(f->server), ==, 0);
    lab_call_free(c);
}

/** Promise: nothing is held for a caller that is gone, also when its connection only fell silent. */
static void test_silent_caller(fixture_t *f, gconstpointer data)
{
    (void)data;
    static const char request[] = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n";
    struct sockaddr_storage to;
    unsigned size = 0;
    g_assert_cmpint(peer_parse_addr(f->addr, &to, &size, NULL), ==, TC_OK);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(connect(fd, (const struct sockaddr *)&to, size), ==, 0);
    g_assert_cmpint(send(fd, request, strlen(request), 0), ==, (ssize_t)strlen(request));
    lab_run_until_true(f->loop, &f->held);
    char *const piece = g_malloc0(MORE_THAN_BUFFERS);
    web_begin(f->exchange, 200, "");
    web_add(f->exchange, piece, MORE_THAN_BUFFERS);
    lab_run_until_true(f->loop, &f->gone); /* it reads nothing, and never closes */
    g_assert_cmpuint(web_server_busy(f->server), ==, 0);
    g_free(piece);
    close(fd);
}

static void test_abort_shows(fixture_t *f, gconstpointer data)
{
    (void)data;
    lab_call_t *const c = lab_call(f->client, f->addr, "GET /cut HTTP/1.1\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_END_CUT);
    lab_call_free(c);
}

static void test_retired(fixture_t *f, gconstpointer data)
{
    (void)data;
    lab_call_t *const c = lab_call(f->client, f->addr, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &f->held);
    web_server_retire(f->server); /* what is under way is still answered */
    web_answer(f->exchange, 200, "", "late", 4);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_END_WHOLE);
    g_assert_cmpstr(c->body->str, ==, "late");
    lab_call_free(c);
}

/* ===== Client ===== */

typedef struct {
    const char *bytes;
    lab_end_t end;
} answer_t;

static lab_reply_t say(void *arg, const char *request)
{
    const answer_t *const answer = arg;
    (void)request;
    return (lab_reply_t){.bytes = g_strdup(answer->bytes), .end = answer->end};
}

static web_end_t end_of(fixture_t *f, const char *bytes, lab_end_t end, char **body)
{
    answer_t answer = {.bytes = bytes, .end = end};
    char addr[32];
    lab_free_addr(addr);
    lab_backend_t *const b = lab_backend_start(f->loop, addr, say, &answer);
    lab_call_t *const c = lab_call(f->client, addr, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &c->done);
    const web_end_t how = c->how;
    if (body)
        *body = g_strdup(c->body->str);
    lab_call_free(c);
    lab_backend_stop(b);
    return how;
}

static void test_answers(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *body = NULL;
    g_assert_cmpint(end_of(f, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore", LAB_KEEP, &body), ==,
                    WEB_END_WHOLE);
    g_assert_cmpstr(body, ==, "ok"); /* what is behind a whole answer belongs to nobody */
    g_free(body);
    g_assert_cmpint(end_of(f, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", LAB_CLOSE, NULL), ==, WEB_END_CUT);
    g_assert_cmpint(end_of(f, "HTTP/1.1 200 OK\r\n\r\nto the end", LAB_CLOSE, NULL), ==, WEB_END_WHOLE);
    g_assert_cmpint(end_of(f, "HTTP/1.1 200 OK\r\n\r\nto the", LAB_RESET, NULL), !=, WEB_END_WHOLE);
    g_assert_cmpint(end_of(f, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", LAB_CLOSE, NULL), ==,
                    WEB_END_CUT);
    g_assert_cmpint(end_of(f, "no answer at all", LAB_CLOSE, NULL), ==, WEB_END_BROKEN);
    g_assert_cmpint(end_of(f, NULL, LAB_RESET, NULL), ==, WEB_END_BROKEN);
    g_assert_cmpint(end_of(f, NULL, LAB_CLOSE, NULL), ==, WEB_END_BROKEN);
}

static void test_unsent(fixture_t *f, gconstpointer data)
{
    (void)data;
    char addr[32];
    lab_free_addr(addr);
    lab_call_t *const c = lab_call(f->client, addr, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_END_UNSENT);
    lab_call_free(c);
}

static lab_call_t *call_twice(fixture_t *f, const char *addr, const char *request)
{
    web_client_keep(f->client, 4);
    lab_call_t *const c = lab_call_kept(f->client, addr, request);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_END_WHOLE);
    lab_call_free(c);
    lab_run_for(f->loop, 20); /* what an unsent rest would do to the connection shows now */
    return lab_call_kept(f->client, addr, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
}

static void test_early_answer(fixture_t *f, gconstpointer data)
{
    (void)data;
    enum { BODY = 8 * 1024 * 1024 }; /* more than the system takes up at once */
    answer_t answer = {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", .end = LAB_KEEP};
    char addr[32];
    lab_free_addr(addr);
    lab_backend_t *const b = lab_backend_start(f->loop, addr, say, &answer);
    lab_backend_answer_early(b);
    char *const body = g_strnfill(BODY, 'x');
    char *const text = g_strdup_printf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", BODY, body);
    lab_call_t *const next = call_twice(f, addr, text);
    lab_run_until_true(f->loop, &next->done);
    g_assert_cmpint(next->how, ==, WEB_END_WHOLE); /* not behind the unsent rest of the first */
    g_assert_cmpuint(lab_backend_requests(b), ==, 2);
    lab_call_free(next);
    g_free(text);
    g_free(body);
    lab_backend_stop(b);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/web/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("whole-requests", test_whole);
    TEST("smuggled-requests-are-refused", test_smuggled);
    TEST("held-bytes", test_held_bytes);
    TEST("limits", test_limits);
    TEST("pipelined", test_pipelined);
    TEST("caller-leaves", test_caller_leaves);
    TEST("aborted-answer-is-not-whole", test_abort_shows);
    TEST("silent-caller", test_silent_caller);
    TEST("retired-server-answers-what-is-under-way", test_retired);
    TEST("answers-of-bad-back-ends", test_answers);
    TEST("unreachable-is-unsent", test_unsent);
    TEST("early-answer-keeps-no-connection", test_early_answer);
    return g_test_run();
}
