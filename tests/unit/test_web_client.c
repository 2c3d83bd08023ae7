/* The HTTP client on the loop, against bytes as a bad peer would send them. */

#include "unit/web_lab.h"

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

static web_result_t end_of(fixture_t *f, const char *bytes, lab_end_t end, char **body)
{
    answer_t answer = {.bytes = bytes, .end = end};
    char addr[32];
    lab_free_addr(addr);
    lab_backend_t *const b = lab_backend_start(f->loop, addr, say, &answer);
    lab_call_t *const c = lab_call(f->client, addr, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    lab_run_until_true(f->loop, &c->done);
    const web_result_t how = c->how;
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
                    WEB_RESULT_COMPLETE);
    g_assert_cmpstr(body, ==, "ok"); /* what is behind a whole answer belongs to nobody */
    g_free(body);
    g_assert_cmpint(end_of(f, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", LAB_CLOSE, NULL), ==,
                    WEB_RESULT_TRUNCATED);
    g_assert_cmpint(end_of(f, "HTTP/1.1 200 OK\r\n\r\nto the end", LAB_CLOSE, NULL), ==, WEB_RESULT_COMPLETE);
    g_assert_cmpint(end_of(f, "HTTP/1.1 200 OK\r\n\r\nto the", LAB_RESET, NULL), !=, WEB_RESULT_COMPLETE);
    g_assert_cmpint(end_of(f, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", LAB_CLOSE, NULL), ==,
                    WEB_RESULT_TRUNCATED);
    g_assert_cmpint(end_of(f, "no answer at all", LAB_CLOSE, NULL), ==, WEB_RESULT_NO_RESPONSE);
    g_assert_cmpint(end_of(f, NULL, LAB_RESET, NULL), ==, WEB_RESULT_NO_RESPONSE);
    g_assert_cmpint(end_of(f, NULL, LAB_CLOSE, NULL), ==, WEB_RESULT_NO_RESPONSE);
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

/** The caller of web_call_has_input looks between the reset and its reading: an answer that only an orderly end of its
 *  connection would make whole is not. */
static void test_reset_behind_a_look(fixture_t *f, gconstpointer data)
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
    g_assert_cmpint(c->how, ==, WEB_RESULT_TRUNCATED);
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
    g_assert_cmpint(c->how, ==, WEB_RESULT_NOT_SENT);
    lab_call_free(c);
}

static lab_call_t *call_twice(fixture_t *f, const char *addr, const char *request)
{
    web_client_set_idle_max(f->client, 4);
    lab_call_t *const c = lab_call_kept(f->client, addr, request);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_COMPLETE);
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
    g_assert_cmpint(next->how, ==, WEB_RESULT_COMPLETE); /* not behind the unsent rest of the first */
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
    web_result_t how;
    lab_call_t *next; /* begun when it is dropped */
} picky_t;

static void picky_drop(picky_t *p)
{
    web_call_cancel(p->call);
    p->next = lab_call_kept(p->f->client, p->addr, GET("/next"));
}

static web_head_action_t picky_head(void *arg, const web_head_t *head)
{
    picky_t *const p = arg;
    if (web_headers_get(head->headers, "Other"))
        return WEB_HEAD_SKIP;
    p->heads++;
    if (p->drop_at_head)
        picky_drop(p);
    return WEB_HEAD_ACCEPT;
}

static void picky_data(void *arg, const char *bytes, size_t size)
{
    picky_t *const p = arg;
    g_string_append_len(p->body, bytes, (gssize)size);
    if (p->drop_at_data)
        picky_drop(p);
}

static void picky_end(void *arg, web_result_t how)
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
static void expect_picky(fixture_t *f, const char *bytes, lab_end_t end, web_result_t how, const char *body)
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
    expect_picky(f, OTHER "Content-Length: 5\r\n\r\nother" OK_OURS, LAB_KEEP, WEB_RESULT_COMPLETE, "ours");
    expect_picky(f, OTHER "Transfer-Encoding: chunked\r\n\r\n5\r\nother\r\n0\r\n\r\n" OK_OURS, LAB_KEEP,
                 WEB_RESULT_COMPLETE, "ours");
    expect_picky(f, OTHER "Content-Length: 5\r\n\r\noth", LAB_CLOSE, WEB_RESULT_NO_RESPONSE, "");
    expect_picky(f, OTHER "Content-Length: 5\r\n\r\noth", LAB_RESET, WEB_RESULT_NO_RESPONSE, "");
    expect_picky(f, OTHER "Transfer-Encoding: chunked\r\n\r\n5\r\noth", LAB_CLOSE, WEB_RESULT_NO_RESPONSE, "");
    expect_picky(f, OTHER "Transfer-Encoding: chunked\r\n\r\n5\r\noth" OK_OURS, LAB_CLOSE, WEB_RESULT_NO_RESPONSE, "");
    expect_picky(f, OTHER "\r\nto the end", LAB_CLOSE, WEB_RESULT_NO_RESPONSE, "");
    expect_picky(f, OTHER "Content-Length: 5\r\n\r\nother" OK_OURS "more", LAB_KEEP, WEB_RESULT_COMPLETE, "ours");
}

/** An interim answer is none, whatever it says; and what it says is not said of the answer. */
static void test_interim_answers(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_picky(f, "HTTP/1.1 100 Continue\r\nOther: 1\r\n\r\n" OK_OURS, LAB_KEEP, WEB_RESULT_COMPLETE, "ours");
    expect_picky(f, "HTTP/1.1 103 Early\r\nOther: 1\r\n\r\nHTTP/1.1 102 Wait\r\n\r\n" OK_OURS, LAB_KEEP,
                 WEB_RESULT_COMPLETE, "ours");
    expect_picky(f, "HTTP/1.1 100 Continue\r\n\r\n", LAB_CLOSE, WEB_RESULT_NO_RESPONSE, "");
    /* Nobody asked for another protocol: what follows is no answer. */
    expect_picky(f, "HTTP/1.1 101 Other\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n" OK_OURS, LAB_KEEP,
                 WEB_RESULT_NO_RESPONSE, "");
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
    web_client_set_idle_max(f->client, 4);
    for (int at_data = 0; at_data <= 1; at_data++) {
        picky_t p = {.f = f, .addr = addr, .drop_at_head = !at_data, .drop_at_data = at_data};
        picky_begin(&p);
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
    web_client_set_idle_max(f->client, 4);
    lab_call_t *const c = lab_call_kept(f->client, addr, request);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_COMPLETE);
    g_assert_cmpstr(c->body->str, ==, body);
    lab_call_free(c);
    if (late > 0)
        lab_run_for(f->loop, 20);
    lab_call_t *const next = lab_call_kept(f->client, addr, GET("/2"));
    lab_run_until_true(f->loop, &next->done);
    g_assert_cmpint(next->how, ==, WEB_RESULT_COMPLETE);
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

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/web-client/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("answers-of-bad-back-ends", test_answers);
    TEST("unreachable-is-unsent", test_unsent);
    TEST("early-answer-keeps-no-connection", test_early_answer);
    TEST("reset-behind-a-look", test_reset_behind_a_look);
    TEST("reset-while-sending", test_reset_while_sending);
    TEST("answers-of-somebody-else", test_answers_of_somebody_else);
    TEST("interim-answers", test_interim_answers);
    TEST("dropped-from-within", test_dropped_from_within);
    TEST("next-answer-is-its-own", test_next_answer_is_its_own);
    TEST("head-has-no-body", test_head_has_no_body);
    return g_test_run();
}
