/** @file web_lab.h
 * The world of test_web.c and test_web_client.c, which alone include it: a server that answers by the path, and a
 * client.
 */
#ifndef TRACKCOVE_TESTS_WEB_LAB_H
#define TRACKCOVE_TESTS_WEB_LAB_H

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
        web_on_disconnect(exchange, on_gone, f);
        return;
    }
    if (strcmp(request->target, "/stream") == 0) {
        web_begin_response(exchange, 200, "");
        web_write(exchange, "piece", 5);
        web_end_response(exchange);
        return;
    }
    if (strcmp(request->target, "/large") == 0) {
        char *const body = large_body();
        web_respond(exchange, 200, "", body, LARGE);
        g_free(body);
        return;
    }
    if (strcmp(request->target, "/none") == 0) {
        web_respond(exchange, 204, "", "", 0);
        return;
    }
    if (strcmp(request->target, "/cut") == 0) {
        web_begin_response(exchange, 200, "");
        web_write(exchange, "half", 4);
        web_abort_response(exchange);
        return;
    }
    web_respond(exchange, 200, "", request->target, strlen(request->target));
}

static void set_up(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->loop = loop_create();
    f->seen = g_string_new(NULL);
    f->limits =
        (web_limits_t){.header_bytes = 512, .body_bytes = 64, .header_ms = 300, .idle_ms = 300, .send_timeout_ms = 300};
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

static __attribute__((unused)) int status_of(fixture_t *f, const char *request)
{
    lab_call_t *const c = lab_call(f->client, f->addr, request);
    lab_run_until_true(f->loop, &c->done);
    const int status = c->status;
    lab_call_free(c);
    return status;
}

/* ===== Requests and answers ===== */

#define OK_1 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/1"
#define OK_2 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/2"
#define GET(path) "GET " path " HTTP/1.1\r\nHost: h\r\n\r\n"

#endif
