/* The HTTP server and client on the loop, against bytes as a bad peer would send them. */

#include <errno.h>
#include <glib.h>
#include <stdint.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness/lab.h"
#include "peer/peer.h"
#include "web/web_server.h"

/** An answer that the kernel does not take off the server's hands: its buffers grow to some 6 MB. */
enum { MORE_THAN_BUFFERS = 7 * 1024 * 1024 };
/** An answer that goes out in many writes, and leaves room for another beside it. */
enum { LARGE = 3 * 1024 * 1024 };

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

/** Bytes that differ from place to place, so that a lost or doubled one shows. */
static char *large_body(void)
{
    char *const body = g_malloc(LARGE + 1);
    for (size_t i = 0; i < LARGE; i++)
        body[i] = (char)('a' + i % 23 + (i / 4099) % 3);
    body[LARGE] = '\0';
    return body;
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
    if (strcmp(request->target, "/stream") == 0) {
        web_begin(exchange, 200, "");
        web_add(exchange, "piece", 5);
        web_end(exchange);
        return;
    }
    if (strcmp(request->target, "/large") == 0) {
        char *const body = large_body();
        web_answer(exchange, 200, "", body, LARGE);
        g_free(body);
        return;
    }
    if (strcmp(request->target, "/none") == 0) {
        web_answer(exchange, 204, "", "", 0);
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

static bool has_handled_two(void *arg)
{
    return ((const fixture_t *)arg)->handled >= 2;
}

static void test_pipelined(fixture_t *f, gconstpointer data)
{
    (void)data;
    lab_call_t *const c =
        lab_call(f->client, f->addr, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpstr(c->body->str, ==, "/1");
    lab_run_until(f->loop, has_handled_two, f); /* its turn comes behind the first answer */
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

/* ===== Several requests on one connection ===== */

/** A caller that sends and reads bytes as they are. */
typedef struct {
    fixture_t *f;
    int fd;
    GString *in;
    size_t expected; /* bytes to wait for */
    bool closed;
} raw_t;

static raw_t raw_open(fixture_t *f)
{
    struct sockaddr_storage to;
    unsigned size = 0;
    g_assert_cmpint(peer_parse_addr(f->addr, &to, &size, NULL), ==, TC_OK);
    raw_t raw = {.f = f, .fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), .in = g_string_new(NULL)};
    g_assert_cmpint(connect(raw.fd, (const struct sockaddr *)&to, size), ==, 0);
    return raw;
}

static void raw_close(raw_t *raw)
{
    close(raw->fd);
    g_string_free(raw->in, TRUE);
}

static void raw_send(const raw_t *raw, const char *bytes)
{
    g_assert_cmpint(send(raw->fd, bytes, strlen(bytes), MSG_NOSIGNAL), ==, (ssize_t)strlen(bytes));
}

/** The server has read what was sent so far: parts that are sent behind it come by themselves. */
static void raw_pause(const raw_t *raw)
{
    lab_run_for(raw->f->loop, 20);
}

static bool raw_has_read(void *arg)
{
    raw_t *const raw = arg;
    char data[65536];
    ssize_t n;
    while ((n = recv(raw->fd, data, sizeof(data), MSG_DONTWAIT)) > 0)
        g_string_append_len(raw->in, data, n);
    raw->closed = n == 0;
    return raw->closed || raw->in->len >= raw->expected;
}

/** Read so many bytes more, or all until the server closes, and what comes behind them. @return all that was read since
 *  the last time, borrowed */
static const char *raw_read(raw_t *raw, size_t expected)
{
    g_string_truncate(raw->in, 0);
    raw->expected = expected;
    lab_run_until(raw->f->loop, raw_has_read, raw);
    raw_pause(raw);
    (void)raw_has_read(raw);
    return raw->in->str;
}

static void expect_bytes(raw_t *raw, const char *bytes)
{
    g_assert_cmpstr(raw_read(raw, strlen(bytes)), ==, bytes);
}

#define OK_1 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/1"
#define OK_2 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/2"
#define GET(path) "GET " path " HTTP/1.1\r\nHost: h\r\n\r\n"

/** What a request asks of its connection ends with it: one that comes in two parts is read like any other. */
static void test_upgrade_ends_with_its_request(fixture_t *f, gconstpointer data)
{
    (void)data;
    raw_t raw = raw_open(f);
    raw_send(&raw, "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n");
    expect_bytes(&raw, OK_1);
    raw_send(&raw, "GET /2 HTTP/1.1\r\nHo");
    raw_pause(&raw);
    raw_send(&raw, "st: h\r\n\r\n");
    expect_bytes(&raw, OK_2);
    raw_close(&raw);
}

/** The same when its body comes behind its headers. */
static void test_upgrade_with_a_body(fixture_t *f, gconstpointer data)
{
    (void)data;
    raw_t raw = raw_open(f);
    raw_send(&raw, "POST /1 HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 3\r\n\r\n");
    raw_pause(&raw);
    raw_send(&raw, "abc");
    expect_bytes(&raw, OK_1);
    g_assert_cmpstr(f->seen->str, ==, "abc|");
    raw_close(&raw);
}

/** The time for a request's body does not go on for the next request's headers. */
static void test_time_of_a_body_ends_with_it(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->limits.body_ms = 600000; /* longer than the test waits */
    raw_t raw = raw_open(f);
    raw_send(&raw, "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
    expect_bytes(&raw, OK_1);
    raw_send(&raw, "\r\n"); /* allowed before a request: it has begun */
    g_assert_nonnull(strstr(raw_read(&raw, 1), "HTTP/1.1 408 "));
    raw_close(&raw);
}

/** Callers read no body behind some heads: a byte sent there would stand before the next answer. */
static void test_answers_without_a_body(fixture_t *f, gconstpointer data)
{
    (void)data;
    static const char *const paths[] = {"/1", "/stream"};
    raw_t raw = raw_open(f);
    for (size_t i = 0; i < G_N_ELEMENTS(paths); i++) {
        char *const request = g_strdup_printf("HEAD %s HTTP/1.1\r\nHost: h\r\n\r\n", paths[i]);
        raw_send(&raw, request);
        g_free(request);
        g_assert_true(g_str_has_suffix(raw_read(&raw, 1), "\r\n\r\n"));
    }
    raw_send(&raw, GET("/none"));
    g_assert_cmpstr(raw_read(&raw, 1), ==, "HTTP/1.1 204 No Content\r\n\r\n");
    raw_send(&raw, GET("/2"));
    expect_bytes(&raw, OK_2); /* nothing of those stands before it */
    raw_close(&raw);
}

/** One request and a part of the next are there at once, at each place where they may be cut. */
static void test_pipelined_in_parts(fixture_t *f, gconstpointer data)
{
    (void)data;
    static const char both[] = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc"
                               "POST /2 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nde\r\n0\r\n\r\n";
    raw_t raw = raw_open(f);
    for (size_t cut = 1; cut < strlen(both); cut += 3) {
        char *const first = g_strndup(both, cut);
        g_string_truncate(f->seen, 0);
        raw_send(&raw, first);
        lab_run_for(f->loop, 2);
        raw_send(&raw, both + cut);
        g_assert_cmpstr(raw_read(&raw, strlen(OK_1 OK_2)), ==, OK_1 OK_2);
        g_assert_cmpstr(f->seen->str, ==, "abc|de|");
        g_free(first);
    }
    raw_close(&raw);
}

/** What is behind a request whose answer is aborted is not begun, and nothing follows the part that was sent. */
static void test_aborted_answer_ends_the_connection(fixture_t *f, gconstpointer data)
{
    (void)data;
    raw_t raw = raw_open(f);
    raw_send(&raw, GET("/cut") GET("/2"));
    g_assert_true(g_str_has_suffix(raw_read(&raw, SIZE_MAX), "\r\n\r\n4\r\nhalf\r\n"));
    g_assert_true(raw.closed);
    g_assert_cmpuint(f->handled, ==, 1);
    raw_close(&raw);
}

/** Answers that the kernel takes in parts come whole and one behind the other. */
static void test_short_writes(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->limits.take_ms = 60000;
    f->limits.idle_ms = 60000;
    raw_t raw = raw_open(f);
    char *const body = large_body();
    char *const one = g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", LARGE, body);
    char *const all = g_strconcat(one, OK_1, one, OK_2, NULL);
    raw_send(&raw, GET("/large") GET("/1") GET("/large") GET("/2"));
    raw_pause(&raw); /* the kernel's buffers are full */
    (void)raw_read(&raw, strlen(all));
    g_assert_cmpuint(raw.in->len, ==, strlen(all));
    g_assert_true(memcmp(raw.in->str, all, raw.in->len) == 0);
    g_free(all);
    g_free(one);
    g_free(body);
    raw_close(&raw);
}

/** Answers that are whole on our side and that nobody takes up are not kept for ever, nor is the connection. */
static void test_caller_who_stops_reading(fixture_t *f, gconstpointer data)
{
    (void)data;
    raw_t raw = raw_open(f);
    for (int i = 0; i < 4; i++)
        raw_send(&raw, GET("/large"));
    for (int i = 0; i < 2; i++)
        lab_run_for(f->loop, 2 * f->limits.idle_ms);
    (void)raw_read(&raw, SIZE_MAX);
    g_assert_true(raw.closed);
    g_assert_cmpuint(raw.in->len, <, 4 * LARGE);
    g_assert_cmpuint(web_server_busy(f->server), ==, 0);
    raw_close(&raw);
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

/* ===== Resets ===== */

/** A back end outside of the loop, whose end of the one connection the test moves by hand. */
typedef struct {
    int listener, fd;
    char addr[32];
} peer_end_t;

static peer_end_t peer_end_open(void)
{
    peer_end_t p = {.fd = -1};
    lab_free_addr(p.addr);
    tc_err_t err = {0};
    p.listener = peer_open_listener(p.addr, "listen", &err);
    g_assert_cmpint(p.listener, >=, 0);
    return p;
}

/** Whether the first bytes of a request have come, which are left unread. */
static bool peer_end_has_request(void *arg)
{
    peer_end_t *const p = arg;
    char byte;
    if (p->fd < 0)
        p->fd = accept4(p->listener, NULL, NULL, SOCK_CLOEXEC);
    return p->fd >= 0 && recv(p->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 1;
}

static void peer_end_send(const peer_end_t *p, const char *bytes)
{
    g_assert_cmpint(send(p->fd, bytes, strlen(bytes), MSG_NOSIGNAL), ==, (ssize_t)strlen(bytes));
}

static void peer_end_reset(peer_end_t *p)
{
    const struct linger hard = {.l_onoff = 1, .l_linger = 0};
    setsockopt(p->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    close(p->fd);
    close(p->listener);
}

#define ENDLESS "HTTP/1.1 200 OK\r\n\r\nto the"

static bool has_body(void *arg)
{
    return strcmp(((const lab_call_t *)arg)->body->str, "to the") == 0;
}

/** The caller of web_call_has_news looks between the reset and its reading: an answer that only an orderly end of its
 *  connection would make whole is not. */
static void test_reset_behind_a_look(fixture_t *f, gconstpointer data)
{
    (void)data;
    peer_end_t p = peer_end_open();
    lab_call_t *const c = lab_call(f->client, p.addr, GET("/a"));
    lab_run_until(f->loop, peer_end_has_request, &p);
    peer_end_send(&p, ENDLESS);
    lab_run_until(f->loop, has_body, c);
    g_assert_false(web_call_has_news(c->call));
    peer_end_reset(&p);
    g_assert_true(web_call_has_news(c->call));
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_END_CUT);
    lab_call_free(c);
}

/** The same while the request is still being sent: the sending finds the reset first. */
static void test_reset_while_sending(fixture_t *f, gconstpointer data)
{
    (void)data;
    enum { BODY = 8 * 1024 * 1024 }; /* more than the system takes up at once */
    char *const body = g_strnfill(BODY, 'x');
    char *const text = g_strdup_printf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", BODY, body);
    peer_end_t p = peer_end_open();
    lab_call_t *const c = lab_call(f->client, p.addr, text);
    lab_run_until(f->loop, peer_end_has_request, &p);
    peer_end_send(&p, ENDLESS);
    lab_run_until(f->loop, has_body, c);
    peer_end_reset(&p);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_END_CUT);
    lab_call_free(c);
    g_free(text);
    g_free(body);
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

/* ===== Several calls over one connection ===== */

/** One that takes all answers but those marked as somebody else's, and may be dropped from within a report. */
typedef struct {
    fixture_t *f;
    const char *addr;
    web_call_t *call;
    GString *body;
    unsigned heads;
    bool drop_at_head, drop_at_data;
    bool done;
    web_end_t how;
    lab_call_t *next; /* begun when it is dropped */
} picky_t;

static void picky_drop(picky_t *p)
{
    web_call_cancel(p->call);
    p->next = lab_call_kept(p->f->client, p->addr, GET("/next"));
}

static web_verdict_t picky_head(void *arg, const web_head_t *head)
{
    picky_t *const p = arg;
    if (web_headers_get(head->headers, "Other"))
        return WEB_SKIP;
    p->heads++;
    if (p->drop_at_head)
        picky_drop(p);
    return WEB_TAKE;
}

static void picky_data(void *arg, const char *bytes, size_t size)
{
    picky_t *const p = arg;
    g_string_append_len(p->body, bytes, (gssize)size);
    if (p->drop_at_data)
        picky_drop(p);
}

static void picky_end(void *arg, web_end_t how)
{
    picky_t *const p = arg;
    p->done = true;
    p->how = how;
}

static void picky_begin(picky_t *p)
{
    static const char request[] = GET("/picky");
    const web_sink_t sink = {.on_head = picky_head, .on_data = picky_data, .on_end = picky_end, .arg = p};
    GByteArray *const bytes = g_byte_array_new();
    g_byte_array_append(bytes, (const guint8 *)request, strlen(request));
    p->body = g_string_new(NULL);
    p->call = web_call(p->f->client, p->addr, bytes, true, 1000, &sink);
}

/** How it ends when the answer @p bytes comes. @param body what it gets of it */
static void expect_picky(fixture_t *f, const char *bytes, lab_end_t end, web_end_t how, const char *body)
{
    answer_t answer = {.bytes = bytes, .end = end};
    char addr[32];
    lab_free_addr(addr);
    lab_backend_t *const b = lab_backend_start(f->loop, addr, say, &answer);
    picky_t p = {.f = f, .addr = addr};
    picky_begin(&p);
    lab_run_until_true(f->loop, &p.done);
    g_assert_cmpint(p.how, ==, how);
    g_assert_cmpstr(p.body->str, ==, body);
    g_string_free(p.body, TRUE);
    lab_backend_stop(b);
}

#define OTHER "HTTP/1.1 200 OK\r\nOther: 1\r\n"
#define OK_OURS "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nours"

/** Of somebody else's answer nothing is taken for ours, and none that breaks off is made whole by ours. */
static void test_answers_of_somebody_else(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_picky(f, OTHER "Content-Length: 5\r\n\r\nother" OK_OURS, LAB_KEEP, WEB_END_WHOLE, "ours");
    expect_picky(f, OTHER "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n" OK_OURS, LAB_KEEP, WEB_END_WHOLE,
                 "ours");
    expect_picky(f, OTHER "Content-Length: 5\r\n\r\noth", LAB_CLOSE, WEB_END_BROKEN, "");
    expect_picky(f, OTHER "Content-Length: 5\r\n\r\noth", LAB_RESET, WEB_END_BROKEN, "");
    expect_picky(f, OTHER "Transfer-Encoding: chunked\r\n\r\n5\r\noth", LAB_CLOSE, WEB_END_BROKEN, "");
    expect_picky(f, OTHER "Transfer-Encoding: chunked\r\n\r\n5\r\noth" OK_OURS, LAB_CLOSE, WEB_END_BROKEN, "");
    expect_picky(f, OTHER "\r\nto the end", LAB_CLOSE, WEB_END_BROKEN, "");
    expect_picky(f, OTHER "Content-Length: 5\r\n\r\nother" OK_OURS "more", LAB_KEEP, WEB_END_WHOLE, "ours");
}

/** An interim answer is none, whatever it says; and what it says is not said of the answer. */
static void test_interim_answers(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_picky(f, "HTTP/1.1 100 Continue\r\nOther: 1\r\n\r\n" OK_OURS, LAB_KEEP, WEB_END_WHOLE, "ours");
    expect_picky(f, "HTTP/1.1 103 Early\r\nOther: 1\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n" OK_OURS, LAB_KEEP, WEB_END_WHOLE,
                 "ours");
    expect_picky(f, "HTTP/1.1 100 Continue\r\n\r\n", LAB_CLOSE, WEB_END_BROKEN, "");
    /* Nobody asked for another protocol: what follows is no answer. */
    expect_picky(f, "HTTP/1.1 101 Other\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" OK_OURS, LAB_KEEP, WEB_END_BROKEN,
                 "");
}

/** A call that is dropped from within its own report hears nothing more, and one that is begun there gets an answer of
 *  its own. */
static void test_dropped_from_within(fixture_t *f, gconstpointer data)
{
    (void)data;
    answer_t answer = {.bytes = OK_OURS, .end = LAB_KEEP};
    char addr[32];
    lab_free_addr(addr);
    lab_backend_t *const b = lab_backend_start(f->loop, addr, say, &answer);
    web_client_keep(f->client, 4);
    for (int at_data = 0; at_data <= 1; at_data++) {
        picky_t p = {.f = f, .addr = addr, .drop_at_head = !at_data, .drop_at_data = at_data};
        picky_begin(&p);
        lab_call_t *const *const next = &p.next;
        while (!*next)
            lab_run_for(f->loop, 5);
        lab_run_until_true(f->loop, &p.next->done);
        g_assert_cmpint(p.next->how, ==, WEB_END_WHOLE);
        g_assert_cmpstr(p.next->body->str, ==, "ours");
        g_assert_false(p.done);
        g_assert_cmpuint(p.heads, ==, 1);
        g_assert_cmpstr(p.body->str, ==, at_data ? "ours" : "");
        lab_call_free(p.next);
        g_string_free(p.body, TRUE);
    }
    lab_backend_stop(b);
}

/** A back end that answers the first request with what is tested, and the others by their path. */
typedef struct {
    const char *first;
    size_t late; /* of its last bytes, which come after a while */
    unsigned requests;
} kept_t;

static lab_reply_t say_kept(void *arg, const char *request)
{
    kept_t *const k = arg;
    (void)request;
    if (k->requests++ > 0)
        return (lab_reply_t){.bytes = g_strdup(OK_2), .end = LAB_KEEP};
    lab_reply_t reply = {.bytes = g_strdup(k->first), .end = LAB_KEEP};
    if (k->late > 0) {
        const lab_piece_t now = {.size = strlen(k->first) - k->late};
        const lab_piece_t then = {.size = k->late, .wait = 5};
        reply.pieces = g_array_new(FALSE, FALSE, sizeof(lab_piece_t));
        g_array_append_val(reply.pieces, now);
        g_array_append_val(reply.pieces, then);
    }
    return reply;
}

/** @param request the first one @param first its answer @param late its last bytes, which come when it is whole
 *  @param body that it is to have */
static void expect_next(fixture_t *f, const char *request, const char *first, size_t late, const char *body)
{
    kept_t kept = {.first = first, .late = late};
    char addr[32];
    lab_free_addr(addr);
    lab_backend_t *const b = lab_backend_start(f->loop, addr, say_kept, &kept);
    web_client_keep(f->client, 4);
    lab_call_t *const c = lab_call_kept(f->client, addr, request);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_END_WHOLE);
    g_assert_cmpstr(c->body->str, ==, body);
    lab_call_free(c);
    if (late > 0)
        lab_run_for(f->loop, 20);
    lab_call_t *const next = lab_call_kept(f->client, addr, GET("/2"));
    lab_run_until_true(f->loop, &next->done);
    g_assert_cmpint(next->how, ==, WEB_END_WHOLE);
    g_assert_cmpstr(next->body->str, ==, "/2");
    lab_call_free(next);
    lab_backend_stop(b);
}

/** What an answer leaves on its connection is not taken for a part of the next. */
static void test_next_answer_is_its_own(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_next(f, GET("/1"), OK_OURS "more", 0, "ours");
    expect_next(f, GET("/1"), OK_OURS "more", 4, "ours");
    expect_next(f, GET("/1"), OK_OURS OK_1, strlen(OK_1), "ours");
    expect_next(f, GET("/1"), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nours\r\n0\r\nX: 1\r\n\r\n", 0,
                "ours");
    expect_next(f, GET("/1"), "HTTP/1.1 204 None\r\n\r\n", 0, "");
    expect_next(f, GET("/1"), "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", 0, "");
    expect_next(f, GET("/1"), "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nours", 0, "ours");
}

/** An answer to HEAD ends with its head, whatever length it names. */
static void test_head_has_no_body(fixture_t *f, gconstpointer data)
{
    (void)data;
    static const char request[] = "HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    expect_next(f, request, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 0, "");
    expect_next(f, request, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 0, "");
    expect_next(f, request, "HTTP/1.1 200 OK\r\n\r\n", 0, "");
}

/* ===== Answers without chunks ===== */

/** How a connection ended for a caller that has read all that came. */
typedef struct {
    int fd;
    bool over, reset;
} ending_t;

static bool has_ended(void *arg)
{
    ending_t *const e = arg;
    char data[65536];
    ssize_t n;
    while ((n = recv(e->fd, data, sizeof(data), MSG_DONTWAIT)) > 0) {
    }
    e->reset = n < 0 && errno == ECONNRESET;
    e->over = n == 0 || e->reset;
    return e->over;
}

/** A caller of HTTP/1.0 takes an orderly end of its connection for the end of the answer. */
static void expect_reset(fixture_t *f, int fd)
{
    ending_t ending = {.fd = fd};
    lab_run_until(f->loop, has_ended, &ending);
    g_assert_true(ending.reset);
}

/** Begin an answer to a caller of HTTP/1.0. @param size of the first piece of more */
static raw_t begin_old(fixture_t *f, size_t size)
{
    raw_t raw = raw_open(f);
    raw_send(&raw, "GET /hold HTTP/1.0\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &f->held);
    char *const piece = g_malloc0(size);
    web_begin(f->exchange, 200, "");
    web_add(f->exchange, piece, size);
    g_free(piece);
    return raw;
}

/** An answer that ends early does not look complete: its caller took nothing for too long. */
static void test_old_caller_who_stops_reading(fixture_t *f, gconstpointer data)
{
    (void)data;
    raw_t raw = begin_old(f, MORE_THAN_BUFFERS);
    lab_run_until_true(f->loop, &f->gone);
    expect_reset(f, raw.fd);
    raw_close(&raw);
}

/** The same when more waits for it than is kept. */
static void test_old_caller_too_much_waits(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->limits.take_ms = 60000; /* it is not given up before */
    raw_t raw = begin_old(f, MORE_THAN_BUFFERS);
    char *const piece = g_malloc0(MORE_THAN_BUFFERS);
    web_add(f->exchange, piece, MORE_THAN_BUFFERS);
    web_add(f->exchange, piece, MORE_THAN_BUFFERS);
    g_free(piece);
    lab_run_until_true(f->loop, &f->gone);
    expect_reset(f, raw.fd);
    raw_close(&raw);
}

/** The same when it has closed its own side. */
static void test_old_caller_half_closed(fixture_t *f, gconstpointer data)
{
    (void)data;
    raw_t raw = begin_old(f, 4);
    g_assert_cmpint(shutdown(raw.fd, SHUT_WR), ==, 0);
    lab_run_until_true(f->loop, &f->gone);
    expect_reset(f, raw.fd);
    raw_close(&raw);
}

/** The same when the server ends. */
static void test_old_caller_server_stops(fixture_t *f, gconstpointer data)
{
    (void)data;
    raw_t raw = begin_old(f, 4);
    web_server_stop(f->server);
    tc_err_t err = {0};
    f->server = web_server_start(f->loop, f->addr, &f->limits, handle, f, &err);
    g_assert_nonnull(f->server);
    expect_reset(f, raw.fd);
    raw_close(&raw);
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
    TEST("upgrade-ends-with-its-request", test_upgrade_ends_with_its_request);
    TEST("upgrade-with-a-body", test_upgrade_with_a_body);
    TEST("time-of-a-body-ends-with-it", test_time_of_a_body_ends_with_it);
    TEST("answers-without-a-body", test_answers_without_a_body);
    TEST("pipelined-in-parts", test_pipelined_in_parts);
    TEST("aborted-answer-ends-the-connection", test_aborted_answer_ends_the_connection);
    TEST("short-writes", test_short_writes);
    TEST("caller-who-stops-reading", test_caller_who_stops_reading);
    TEST("reset-behind-a-look", test_reset_behind_a_look);
    TEST("reset-while-sending", test_reset_while_sending);
    TEST("answers-of-somebody-else", test_answers_of_somebody_else);
    TEST("interim-answers", test_interim_answers);
    TEST("dropped-from-within", test_dropped_from_within);
    TEST("next-answer-is-its-own", test_next_answer_is_its_own);
    TEST("head-has-no-body", test_head_has_no_body);
    TEST("old-caller-who-stops-reading", test_old_caller_who_stops_reading);
    TEST("old-caller-too-much-waits", test_old_caller_too_much_waits);
    TEST("old-caller-half-closed", test_old_caller_half_closed);
    TEST("old-caller-server-stops", test_old_caller_server_stops);
    return g_test_run();
}
