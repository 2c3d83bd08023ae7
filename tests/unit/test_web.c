/* The HTTP server on the loop, against bytes as a bad peer would send them. */

#include "unit/web_lab.h"

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
    f->limits.buffered_bytes = 64;
    lab_call_t *const first = lab_call(f->client, f->addr, hold);
    lab_run_until(f->loop, is_held, f);
    lab_call_t *const second = lab_call(f->client, f->addr, more);
    lab_run_until_true(f->loop, &second->done);
    g_assert_cmpint(second->status, ==, 503);
    g_assert_nonnull(second->retry_after);
    lab_call_free(second);
    g_assert_cmpint(status_of(f, chunks), ==, 503);
    g_assert_false(web_can_buffer(f->exchange, 25));
    web_drop_body(f->exchange); /* it is needed no more, though it is not answered */
    g_assert_true(web_can_buffer(f->exchange, 64));
    g_assert_cmpint(status_of(f, chunks), ==, 200);
    web_respond(f->exchange, 200, "", "", 0);
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
    g_assert_cmpuint(web_server_in_flight(f->server), ==, 0);
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
    web_begin_response(f->exchange, 200, "");
    web_write(f->exchange, piece, MORE_THAN_BUFFERS);
    lab_run_until_true(f->loop, &f->gone); /* it reads nothing, and never closes */
    g_assert_cmpuint(web_server_in_flight(f->server), ==, 0);
    g_free(piece);
    close(fd);
}

static void test_abort_shows(fixture_t *f, gconstpointer data)
{
    (void)data;
    lab_call_t *const c = lab_call(f->client, f->addr, "GET /cut HTTP/1.1\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_TRUNCATED);
    lab_call_free(c);
}

static void test_retired(fixture_t *f, gconstpointer data)
{
    (void)data;
    lab_call_t *const c = lab_call(f->client, f->addr, "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &f->held);
    web_server_drain(f->server); /* what is under way is still answered */
    web_respond(f->exchange, 200, "", "late", 4);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_COMPLETE);
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
    f->limits.send_timeout_ms = 60000;
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
    g_assert_cmpuint(web_server_in_flight(f->server), ==, 0);
    raw_close(&raw);
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
    web_begin_response(f->exchange, 200, "");
    web_write(f->exchange, piece, size);
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
    f->limits.send_timeout_ms = 60000; /* it is not given up before */
    raw_t raw = begin_old(f, MORE_THAN_BUFFERS);
    char *const piece = g_malloc0(MORE_THAN_BUFFERS);
    web_write(f->exchange, piece, MORE_THAN_BUFFERS);
    web_write(f->exchange, piece, MORE_THAN_BUFFERS);
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
    TEST("upgrade-ends-with-its-request", test_upgrade_ends_with_its_request);
    TEST("upgrade-with-a-body", test_upgrade_with_a_body);
    TEST("time-of-a-body-ends-with-it", test_time_of_a_body_ends_with_it);
    TEST("answers-without-a-body", test_answers_without_a_body);
    TEST("pipelined-in-parts", test_pipelined_in_parts);
    TEST("aborted-answer-ends-the-connection", test_aborted_answer_ends_the_connection);
    TEST("short-writes", test_short_writes);
    TEST("caller-who-stops-reading", test_caller_who_stops_reading);
    TEST("old-caller-who-stops-reading", test_old_caller_who_stops_reading);
    TEST("old-caller-too-much-waits", test_old_caller_too_much_waits);
    TEST("old-caller-half-closed", test_old_caller_half_closed);
    TEST("old-caller-server-stops", test_old_caller_server_stops);
    return g_test_run();
}
