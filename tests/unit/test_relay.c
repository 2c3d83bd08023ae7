/* Calls over connections that another box opens.
 *
 * Guards against an answer that looks complete although the relay died in the middle of it, and against back ends that
 * work on after the caller has left at the other end of the relay. */

#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "egress/dial.h"
#include "egress/relay_pool.h"
#include "egress/tunnel.h"
#include "harness/lab.h"
#include "peer/frame.h"
#include "peer/peer.h"

static const char request[] = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
/* Its length is not stated, so it ends with its connection. */
static const char answer[] = "HTTP/1.1 200 OK\r\n\r\nwhole";

typedef struct {
    loop_t *loop;
    char backend_addr[32],
        cut_addr[32]; /* the second: where the first box looks for the back end, and nobody listens */
    entry_box_t boxes[3];
    egress_t *first, *second; /* the second has a path to the back end; NULL when the test has a relay of its own */
    web_client_t *client;
    lab_backend_t *backend;
    bool hangs;
    /* a relay that ends in the middle of an answer */
    loop_watch_t listener, conn;
    unsigned received;
    bool marks_end;
} fixture_t;

/* ===== Boxes ===== */

static const char *find_id(void *arg, const char *addr)
{
    const fixture_t *const f = arg;
    const bool known = strcmp(addr, f->cut_addr) == 0 || strcmp(addr, f->backend_addr) == 0;
    return known ? "b1" : NULL;
}

static const char *find_addr_first(void *arg, const char *id)
{
    return strcmp(id, "b1") == 0 ? ((fixture_t *)arg)->cut_addr : NULL;
}

static const char *find_addr_second(void *arg, const char *id)
{
    return strcmp(id, "b1") == 0 ? ((fixture_t *)arg)->backend_addr : NULL;
}

static egress_t *start_egress(fixture_t *f, const entry_box_t *box, const char *(*find_addr)(void *, const char *))
{
    tc_err_t err = {0};
    const egress_options_t options = {
        .box = box->box, .dc = "a", .peer_bind = box->peer_addr, .find_id = find_id, .find_addr = find_addr, .arg = f};
    egress_t *const egress = egress_create(f->loop, &options, &err);
    g_assert_nonnull(egress);
    return egress;
}

static lab_reply_t serve(void *arg, const char *text)
{
    const fixture_t *const f = arg;
    (void)text;
    if (f->hangs)
        return (lab_reply_t){.end = LAB_HANG};
    return (lab_reply_t){.bytes = g_strdup(answer), .end = LAB_CLOSE};
}

static void set_up(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->loop = loop_create();
    lab_unused_addr(f->backend_addr);
    lab_unused_addr(f->cut_addr);
    for (int i = 0; i < 3; i++) {
        f->boxes[i] = (entry_box_t){.ready = true};
        g_snprintf(f->boxes[i].box, sizeof(f->boxes[i].box), "box-%d", i);
        lab_unused_addr_pair(f->boxes[i].peer_addr);
    }
    f->first = start_egress(f, &f->boxes[0], find_addr_first);
    egress_set_boxes(f->first, f->boxes, 2);
    f->client = web_client_create(f->loop);
    web_client_set_egress(f->client, f->first);
    f->backend = lab_backend_start(f->loop, f->backend_addr, serve, f);
    f->listener.fd = f->conn.fd = -1;
}

static void tear_down(fixture_t *f, gconstpointer data)
{
    (void)data;
    web_client_destroy(f->client);
    egress_destroy(f->first);
    if (f->second)
        egress_destroy(f->second);
    lab_backend_stop(f->backend);
    if (f->listener.fd >= 0) {
        loop_unwatch(f->loop, &f->listener);
        close(f->listener.fd);
    }
    loop_destroy(f->loop);
}

/* ===== A relay that ends ===== */

static void send_frame(int fd)
{
    const msg_relay_opened_t opened = {.result = RELAY_RESULT_OPENED};
    size_t size;
    char *const frame = frame_pack(MSG_RELAY_OPENED, 0, true, &opened, &size);
    g_assert_cmpint(send(fd, frame, size, MSG_NOSIGNAL), ==, (ssize_t)size);
    free(frame);
}

static void send_answer(const fixture_t *f)
{
    uint8_t header[TUNNEL_HEADER_BYTES];
    tunnel_write_header(header, (uint32_t)strlen(answer));
    g_assert_cmpint(send(f->conn.fd, header, sizeof(header), MSG_NOSIGNAL), ==, (ssize_t)sizeof(header));
    g_assert_cmpint(send(f->conn.fd, answer, strlen(answer), MSG_NOSIGNAL), ==, (ssize_t)strlen(answer));
    tunnel_write_header(header, 0);
    if (f->marks_end)
        g_assert_cmpint(send(f->conn.fd, header, sizeof(header), MSG_NOSIGNAL), ==, (ssize_t)sizeof(header));
}

/** Reads relay_open, then the request; answers each, and ends. */
static void on_conn(void *arg, uint32_t events)
{
    fixture_t *const f = arg;
    char data[1024];
    (void)events;
    g_assert_cmpint(recv(f->conn.fd, data, sizeof(data), 0), >, 0);
    if (f->received++ == 0) {
        send_frame(f->conn.fd);
        return;
    }
    send_answer(f);
    loop_unwatch(f->loop, &f->conn);
    close(f->conn.fd);
}

static void on_accept(void *arg, uint32_t events)
{
    fixture_t *const f = arg;
    (void)events;
    f->conn = (loop_watch_t){.fd = accept(f->listener.fd, NULL, NULL), .on_io = on_conn, .arg = f};
    loop_watch(f->loop, &f->conn, EPOLLIN);
}

static void start_own_relay(fixture_t *f)
{
    char addr[CODEC_STR_SIZE];
    tc_err_t err = {0};
    g_assert_true(relay_addr_of(f->boxes[1].peer_addr, addr));
    f->listener = (loop_watch_t){.fd = peer_open_listener(addr, "listen", &err), .on_io = on_accept, .arg = f};
    g_assert_cmpint(f->listener.fd, >=, 0);
    loop_watch(f->loop, &f->listener, EPOLLIN);
}

static lab_call_t *call(const fixture_t *f)
{
    return lab_call(f->client, f->cut_addr, request);
}

/** The orderly end of the relay's own connection is not the end of the answer. */
static void test_relay_ends(fixture_t *f, gconstpointer data)
{
    f->marks_end = GPOINTER_TO_INT(data);
    start_own_relay(f);
    lab_call_t *const c = call(f);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, f->marks_end ? WEB_RESULT_COMPLETE : WEB_RESULT_TRUNCATED);
    g_assert_cmpstr(c->body->str, ==, "whole");
    lab_call_free(c);
}

/* ===== A relay that lives ===== */

/** An answer without a length comes whole. */
static void test_whole(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->second = start_egress(f, &f->boxes[1], find_addr_second);
    lab_call_t *const c = call(f);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_COMPLETE);
    g_assert_cmpstr(c->body->str, ==, "whole");
    g_assert_cmpuint(egress_relayed_count(f->second), ==, 0);
    lab_call_free(c);
}

static bool was_abandoned(void *arg)
{
    return lab_backend_abandoned(arg) == 1;
}

static bool has_request(void *arg)
{
    return lab_backend_requests(arg) == 1;
}

/** The caller leaves: the back end sees its connection close. */
static void test_caller_leaves(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->hangs = true;
    f->second = start_egress(f, &f->boxes[1], find_addr_second);
    lab_call_t *const c = call(f);
    lab_run_until(f->loop, has_request, f->backend);
    web_call_cancel(c->call);
    lab_run_until(f->loop, was_abandoned, f->backend);
    lab_call_free(c);
}

/** No box reaches the back end: nothing was sent. */
static void test_nobody_reaches(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->second = start_egress(f, &f->boxes[1], find_addr_first);
    lab_call_t *const c = call(f);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->how, ==, WEB_RESULT_NOT_SENT);
    g_assert_false(egress_is_cut_off(f->first));
    lab_call_free(c);
}

static void on_dialed(void *arg, const dial_result_t *result)
{
    g_assert_cmpint(result->outcome, ==, DIAL_REFUSED);
    *(bool *)arg = true;
}

static void expect_refused(const fixture_t *f, egress_t *egress, const char *addr)
{
    bool done = false;
    dial_t dial = {0};
    dial_start(&dial, f->loop, egress, addr, 250, on_dialed, &done);
    lab_run_until_true(f->loop, &done);
}

static bool is_down(void *arg)
{
    return !lab_backend_is_up(arg);
}

/** A back end that has ended refuses both boxes: it must not count as silent, or the requests that ended it are not
 *  held. Both look at it, as boxes do that have lost answers there. */
static void test_ended_back_end(fixture_t *f, gconstpointer data)
{
    (void)data;
    lab_backend_crash(f->backend);
    lab_run_until(f->loop, is_down, f->backend);
    f->second = start_egress(f, &f->boxes[1], find_addr_second);
    egress_t *const third = start_egress(f, &f->boxes[2], find_addr_first);
    egress_set_boxes(f->second, &f->boxes[2], 1);
    expect_refused(f, f->second, f->backend_addr);
    expect_refused(f, f->first, f->cut_addr);
    egress_destroy(third);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn, arg) g_test_add("/relay/" name, fixture_t, GINT_TO_POINTER(arg), set_up, fn, tear_down)
    TEST("ends-in-answer", test_relay_ends, false);
    TEST("ends-after-answer", test_relay_ends, true);
    TEST("whole", test_whole, 0);
    TEST("caller-leaves", test_caller_leaves, 0);
    TEST("nobody-reaches", test_nobody_reaches, 0);
    TEST("ended-back-end", test_ended_back_end, 0);
    return g_test_run();
}
