/* HTTP client: malformed, truncated and misplaced responses, resets, reuse of connections. */

#include "unit/web_lab.h"

/* ===== Client ===== */

typedef struct {
    const char *bytes;
    lab_end_t end;
} response_t;

static lab_reply_t respond(void *arg, const char *request)
{
    const response_t *const answer = arg;
    (void)request;
    return (lab_reply_t){.bytes = g_strdup(answer->bytes), .end = answer->end};
}

static web_result_t result_of(fixture_t *f, const char *bytes, lab_end_t end, char **body)
{
    response_t answer = {.bytes = bytes, .end = end};
    char addr[32];
    lab_unused_addr(addr);
    lab_backend_t *const b = lab_backend_start(f->loop, addr, respond, &answer);
    lab_call_t *const c = lab_call(f->client, addr, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &c->done);
    const web_result_t how = c->how;
    if (body)
        *body = g_strdup(c->body->str);
    lab_call_free(c);
    lab_backend_stop(b);
    return how;
}

static void test_responses(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *body = NULL;
    g_assert_cmpint(result_of(f, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokmore", LAB_KEEP, &body), ==,
                    WEB_RESULT_COMPLETE);
    g_assert_cmpstr(body, ==, "ok"); /* bytes after a complete response belong to no request */
    g_free(body);
    g_assert_cmpint(result_of(f, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", LAB_CLOSE, NULL), ==,
                    WEB_RESULT_TRUNCATED);
    g_assert_cmpint(result_of(f, "HTTP/1.1 200 OK\r\n\r\nto the end", LAB_CLOSE, NULL), ==, WEB_RESULT_COMPLETE);
    g_assert_cmpint(result_of(f, "HTTP/1.1 200 OK\r\n\r\nto the", LAB_RESET, NULL), !=, WEB_RESULT_COMPLETE);
    g_assert_cmpint(result_of(f, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", LAB_CLOSE, NULL),
                    ==, WEB_RESULT_TRUNCATED);
    g_assert_cmpint(result_of(f, "no answer at all", LAB_CLOSE, NULL), ==, WEB_RESULT_INVALID);
    g_assert_cmpint(result_of(f, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nno length", LAB_KEEP, NULL), ==,
                    WEB_RESULT_INVALID);
    g_assert_cmpint(result_of(f, NULL, LAB_RESET, NULL), ==, WEB_RESULT_NO_RESPONSE);
    g_assert_cmpint(result_of(f, NULL, LAB_CLOSE, NULL), ==, WEB_RESULT_NO_RESPONSE);
}

/* ===== Resets ===== */

/** A back end outside the event loop. The test drives its side of the single connection. */
typedef struct {
    int listener, fd;
    char addr[32];
} peer_end_t;

static peer_end_t peer_end_open(void)
{
    peer_end_t p = {.fd = -1};
    lab_unused_addr(p.addr);
    tc_err_t err = {0};
    p.listener = peer_open_listener(p.addr, "listen", &err);
    g_assert_cmpint(p.listener, >=, 0);
    return p;
}

/** Whether the first bytes of a request have arrived; they are left unread. */
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

/** web_call_has_input is called between the reset and the read, and must not consume the reset: a response that ends
 * with its connection would then look complete. */
static void test_reset_after_input_check(fixture_t *f, gconstpointer data)
{
    (void)data;
    peer_end_t p = peer_end_open();
    lab_call_t *const c = lab_call(f->client, p.addr, GET("/a"));
    lab_run_until(f->loop, peer_end_has_request, &p);
    peer_end_send(&p, ENDLESS);
    lab_run_until(f->loop, has_body, c);
    g_assert_false(web_call_has_input(c->call));
    peer_end_reset(&p);
    g_assert_true(web_call_has_input(c->call));
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_TRUNCATED);
    lab_call_free(c);
}

/** The same while the request is still being sent: send gets the reset first. */
static void test_reset_while_sending(fixture_t *f, gconstpointer data)
{
    (void)data;
    enum { BODY = 8 * 1024 * 1024 }; /* more than the kernel's socket buffers hold */
    char *const body = g_strnfill(BODY, 'x');
    char *const text = g_strdup_printf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", BODY, body);
    peer_end_t p = peer_end_open();
    lab_call_t *const c = lab_call(f->client, p.addr, text);
    lab_run_until(f->loop, peer_end_has_request, &p);
    peer_end_send(&p, ENDLESS);
    lab_run_until(f->loop, has_body, c);
    peer_end_reset(&p);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_TRUNCATED);
    lab_call_free(c);
    g_free(text);
    g_free(body);
}

static void test_not_sent(fixture_t *f, gconstpointer data)
{
    (void)data;
    char addr[32];
    lab_unused_addr(addr);
    lab_call_t *const c = lab_call(f->client, addr, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_NOT_SENT);
    lab_call_free(c);
}

/** A connection that has ended before the first byte of the request was written: the back end has seen nothing of it.
 *  After an orderly end the request was still written and then counted as possibly run, so that it was answered with
 * 502 and got no second back end. */
static void test_ended_before_sending(fixture_t *f, gconstpointer data)
{
    for (int resets = 0; resets < 2; resets++) {
        peer_end_t p = peer_end_open();
        lab_call_t *const c = lab_call(f->client, p.addr, GET("/a")); /* connects at once on the loopback interface */
        p.fd = accept4(p.listener, NULL, NULL, SOCK_CLOEXEC);
        g_assert_cmpint(p.fd, >=, 0);
        if (!resets)
            shutdown(p.fd, SHUT_RDWR);
        else
            peer_end_reset(&p);
        lab_run_until_true(f->loop, &c->done);
        g_assert_cmpint(c->how, ==, WEB_RESULT_NOT_SENT);
        lab_call_free(c);
        if (!resets)
            peer_end_reset(&p);
    }
    (void)data;
}

/** The same over a kept connection, which ends between the choice of the connection and the first write. */
static void test_kept_connection_ended_before_sending(fixture_t *f, gconstpointer data)
{
    (void)data;
    peer_end_t p = peer_end_open();
    web_client_set_idle_max(f->client, 4);
    lab_call_t *const first = lab_call_reuse(f->client, p.addr, GET("/a"));
    lab_run_until(f->loop, peer_end_has_request, &p);
    peer_end_send(&p, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    lab_run_until_true(f->loop, &first->done);
    lab_call_t *const next = lab_call_reuse(f->client, p.addr, GET("/b"));
    shutdown(p.fd, SHUT_RDWR);
    lab_run_until_true(f->loop, &next->done);
    g_assert_cmpint(next->how, ==, WEB_RESULT_NOT_SENT);
    lab_call_free(first);
    lab_call_free(next);
    peer_end_reset(&p);
}

static lab_call_t *call_on_same_connection(fixture_t *f, const char *addr, const char *request)
{
    web_client_set_idle_max(f->client, 4);
    lab_call_t *const c = lab_call_reuse(f->client, addr, request);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_COMPLETE);
    lab_call_free(c);
    lab_run_for(f->loop, 20); /* an unsent rest of the request would now corrupt the connection */
    return lab_call_reuse(f->client, addr, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n");
}

static void test_early_response(fixture_t *f, gconstpointer data)
{
    (void)data;
    enum { BODY = 8 * 1024 * 1024 }; /* more than the kernel's socket buffers hold */
    response_t answer = {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", .end = LAB_KEEP};
    char addr[32];
    lab_unused_addr(addr);
    lab_backend_t *const b = lab_backend_start(f->loop, addr, respond, &answer);
    lab_backend_answer_early(b);
    char *const body = g_strnfill(BODY, 'x');
    char *const text = g_strdup_printf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", BODY, body);
    lab_call_t *const next = call_on_same_connection(f, addr, text);
    lab_run_until_true(f->loop, &next->done);
    g_assert_cmpint(next->how, ==, WEB_RESULT_COMPLETE); /* not sent after the unsent rest of the first request */
    g_assert_cmpuint(lab_backend_requests(b), ==, 2);
    lab_call_free(next);
    g_free(text);
    g_free(body);
    lab_backend_stop(b);
}

/* ===== Several calls over one connection ===== */

/** A call that skips responses marked as belonging to other requests, and may cancel itself in a callback. */
typedef struct {
    fixture_t *f;
    const char *addr;
    web_call_t *call;
    GString *body;
    unsigned heads;
    bool cancel_at_head, cancel_at_data;
    bool done;
    web_result_t how;
    lab_call_t *next; /* started when this one is cancelled */
} filtering_call_t;

static void filtering_cancel(filtering_call_t *p)
{
    web_call_cancel(p->call);
    p->next = lab_call_reuse(p->f->client, p->addr, GET("/next"));
}

static web_head_action_t filtering_head(void *arg, const web_head_t *head)
{
    filtering_call_t *const p = arg;
    if (web_headers_get(head->headers, "Other"))
        return WEB_HEAD_SKIP;
    p->heads++;
    if (p->cancel_at_head)
        filtering_cancel(p);
    return WEB_HEAD_ACCEPT;
}

static void filtering_data(void *arg, const char *bytes, size_t size)
{
    filtering_call_t *const p = arg;
    g_string_append_len(p->body, bytes, (gssize)size);
    if (p->cancel_at_data)
        filtering_cancel(p);
}

static void filtering_end(void *arg, web_result_t how)
{
    filtering_call_t *const p = arg;
    p->done = true;
    p->how = how;
}

static void filtering_start(filtering_call_t *p)
{
    static const char request[] = GET("/picky");
    const web_sink_t sink = {.on_head = filtering_head, .on_data = filtering_data, .on_end = filtering_end, .arg = p};
    GByteArray *const bytes = g_byte_array_new();
    g_byte_array_append(bytes, (const guint8 *)request, strlen(request));
    p->body = g_string_new(NULL);
    p->call = web_call(p->f->client, p->addr, bytes, true, 1000, &sink);
}

/** Check the result of a call whose response is @p bytes. @param body expected body */
static void expect_filtered(fixture_t *f, const char *bytes, lab_end_t end, web_result_t how, const char *body)
{
    response_t answer = {.bytes = bytes, .end = end};
    char addr[32];
    lab_unused_addr(addr);
    lab_backend_t *const b = lab_backend_start(f->loop, addr, respond, &answer);
    filtering_call_t p = {.f = f, .addr = addr};
    filtering_start(&p);
    lab_run_until_true(f->loop, &p.done);
    g_assert_cmpint(p.how, ==, how);
    g_assert_cmpstr(p.body->str, ==, body);
    g_string_free(p.body, TRUE);
    lab_backend_stop(b);
}

#define OTHER "HTTP/1.1 200 OK\r\nOther: 1\r\n"
#define OK_OWN "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nours"

/** No byte of a response to another request is delivered, and our response does not complete a truncated one. */
static void test_responses_to_other_requests(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_filtered(f, OTHER "Content-Length: 5\r\n\r\nother" OK_OWN, LAB_KEEP, WEB_RESULT_COMPLETE, "ours");
    expect_filtered(f, OTHER "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n" OK_OWN, LAB_KEEP,
                    WEB_RESULT_COMPLETE, "ours");
    expect_filtered(f, OTHER "Content-Length: 5\r\n\r\noth", LAB_CLOSE, WEB_RESULT_NO_RESPONSE, "");
    expect_filtered(f, OTHER "Content-Length: 5\r\n\r\noth", LAB_RESET, WEB_RESULT_NO_RESPONSE, "");
    expect_filtered(f, OTHER "Transfer-Encoding: chunked\r\n\r\n5\r\noth", LAB_CLOSE, WEB_RESULT_NO_RESPONSE, "");
    expect_filtered(f, OTHER "Transfer-Encoding: chunked\r\n\r\n5\r\noth" OK_OWN, LAB_CLOSE, WEB_RESULT_INVALID, "");
    expect_filtered(f, OTHER "\r\nto the end", LAB_CLOSE, WEB_RESULT_NO_RESPONSE, "");
    expect_filtered(f, OTHER "Content-Length: 5\r\n\r\nother" OK_OWN "more", LAB_KEEP, WEB_RESULT_COMPLETE, "ours");
}

/** An interim response is not delivered, whatever its headers, and its headers are not added to the final response. */
static void test_interim_responses(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_filtered(f, "HTTP/1.1 100 Continue\r\nOther: 1\r\n\r\n" OK_OWN, LAB_KEEP, WEB_RESULT_COMPLETE, "ours");
    expect_filtered(f, "HTTP/1.1 103 Early\r\nOther: 1\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n" OK_OWN, LAB_KEEP,
                    WEB_RESULT_COMPLETE, "ours");
    expect_filtered(f, "HTTP/1.1 100 Continue\r\n\r\n", LAB_CLOSE, WEB_RESULT_NO_RESPONSE, "");
    /* No upgrade was requested: what follows is not an HTTP response. */
    expect_filtered(f, "HTTP/1.1 101 Other\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" OK_OWN, LAB_KEEP,
                    WEB_RESULT_INVALID, "");
}

/** A call cancelled in its own callback gets no further callback, and a call started there gets its own response. */
static void test_cancel_in_callback(fixture_t *f, gconstpointer data)
{
    (void)data;
    response_t answer = {.bytes = OK_OWN, .end = LAB_KEEP};
    char addr[32];
    lab_unused_addr(addr);
    lab_backend_t *const b = lab_backend_start(f->loop, addr, respond, &answer);
    web_client_set_idle_max(f->client, 4);
    for (int at_data = 0; at_data <= 1; at_data++) {
        filtering_call_t p = {.f = f, .addr = addr, .cancel_at_head = !at_data, .cancel_at_data = at_data};
        filtering_start(&p);
        lab_call_t *const *const next = &p.next;
        while (!*next)
            lab_run_for(f->loop, 5);
        lab_run_until_true(f->loop, &p.next->done);
        g_assert_cmpint(p.next->how, ==, WEB_RESULT_COMPLETE);
        g_assert_cmpstr(p.next->body->str, ==, "ours");
        g_assert_false(p.done);
        g_assert_cmpuint(p.heads, ==, 1);
        g_assert_cmpstr(p.body->str, ==, at_data ? "ours" : "");
        lab_call_free(p.next);
        g_string_free(p.body, TRUE);
    }
    lab_backend_stop(b);
}

/** A back end that sends the response under test to the first request, and OK_2 to the others. */
typedef struct {
    const char *first;
    size_t late; /* number of last bytes that are sent after a delay */
    unsigned requests;
} reused_t;

static lab_reply_t respond_reused(void *arg, const char *request)
{
    reused_t *const k = arg;
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

/** Check that a response does not affect the next one. @param request the first request @param first its response
 *  @param late number of its last bytes, sent when the response is already complete @param body expected body */
static void expect_next(fixture_t *f, const char *request, const char *first, size_t late, const char *body)
{
    reused_t kept = {.first = first, .late = late};
    char addr[32];
    lab_unused_addr(addr);
    lab_backend_t *const b = lab_backend_start(f->loop, addr, respond_reused, &kept);
    web_client_set_idle_max(f->client, 4);
    lab_call_t *const c = lab_call_reuse(f->client, addr, request);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_COMPLETE);
    g_assert_cmpstr(c->body->str, ==, body);
    lab_call_free(c);
    if (late > 0)
        lab_run_for(f->loop, 20);
    lab_call_t *const next = lab_call_reuse(f->client, addr, GET("/2"));
    lab_run_until_true(f->loop, &next->done);
    g_assert_cmpint(next->how, ==, WEB_RESULT_COMPLETE);
    g_assert_cmpstr(next->body->str, ==, "/2");
    lab_call_free(next);
    lab_backend_stop(b);
}

/** Bytes left on a connection after a response are not taken for a part of the next one. */
static void test_next_response_is_separate(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_next(f, GET("/1"), OK_OWN "more", 0, "ours");
    expect_next(f, GET("/1"), OK_OWN "more", 4, "ours");
    expect_next(f, GET("/1"), OK_OWN OK_1, strlen(OK_1), "ours");
    expect_next(f, GET("/1"), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nours\r\n0\r\nX: 1\r\n\r\n", 0,
                "ours");
    expect_next(f, GET("/1"), "HTTP/1.1 204 None\r\n\r\n", 0, "");
    expect_next(f, GET("/1"), "HTTP/1.1 304 Same\r\nContent-Length: 9\r\n\r\n", 0, "");
    expect_next(f, GET("/1"), "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nours", 0, "ours");
}

/** A response to HEAD ends with its head, whatever length it names. */
static void test_head_has_no_body(fixture_t *f, gconstpointer data)
{
    (void)data;
    static const char request[] = "HEAD /1 HTTP/1.1\r\nHost: h\r\n\r\n";
    expect_next(f, request, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 0, "");
    expect_next(f, request, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 0, "");
    expect_next(f, request, "HTTP/1.1 200 OK\r\n\r\n", 0, "");
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/web-client/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("invalid-responses", test_responses);
    TEST("unreachable-is-not-sent", test_not_sent);
    TEST("ended-before-sending", test_ended_before_sending);
    TEST("kept-connection-ended-before-sending", test_kept_connection_ended_before_sending);
    TEST("early-response-keeps-no-connection", test_early_response);
    TEST("reset-after-a-look-at-the-input", test_reset_after_input_check);
    TEST("reset-while-sending", test_reset_while_sending);
    TEST("responses-to-other-requests", test_responses_to_other_requests);
    TEST("interim-responses", test_interim_responses);
    TEST("cancel-in-callback", test_cancel_in_callback);
    TEST("next-response-is-separate", test_next_response_is_separate);
    TEST("head-has-no-body", test_head_has_no_body);
    return g_test_run();
}
