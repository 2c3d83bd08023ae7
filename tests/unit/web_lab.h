/** @file web_lab.h
 * Fixture of test_web.c and test_web_client.c, which alone include it: a server whose response depends on the path, and
 * a client.
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

/** A response too large for the kernel's socket buffers, which grow to some 6 MB. */
enum { ABOVE_SOCKET_BUFFERS_BYTES = 7 * 1024 * 1024 };
/** A response that takes many writes, and leaves room for another one in the buffers. */
enum { LARGE_BYTES = 3 * 1024 * 1024 };

/* ===== Server ===== */

typedef struct {
    loop_t *loop;
    web_server_t *server;
    web_client_t *client;
    web_limits_t limits;
    char addr[32];
    unsigned handled;
    bool disconnected;
    bool request_waiting; /* a request to /hold waits for its response */
    web_exchange_t *exchange;
    GString *bodies; /* request bodies, each followed by '|' */
} fixture_t;

static void on_disconnect(void *arg)
{
    ((fixture_t *)arg)->disconnected = true;
}

/** A body whose bytes vary with the position, so that lost or duplicated bytes are detected. */
static char *large_body(void)
{
    char *const body = g_malloc(LARGE_BYTES + 1);
    for (size_t i = 0; i < LARGE_BYTES; i++)
        body[i] = (char)('a' + i % 23 + (i / 4099) % 3);
    body[LARGE_BYTES] = '\0';
    return body;
}

static void handle(void *arg, web_exchange_t *exchange, const web_request_t *request)
{
    fixture_t *const f = arg;
    f->handled++;
    g_string_append_len(f->bodies, (const char *)request->body->data, request->body->len);
    g_string_append_c(f->bodies, '|');
    if (strcmp(request->target, "/hold") == 0) {
        f->request_waiting = true;
        f->exchange = exchange;
        web_on_disconnect(exchange, on_disconnect, f);
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
        web_respond(exchange, 200, "", body, LARGE_BYTES);
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
    f->bodies = g_string_new(NULL);
    f->limits =
        (web_limits_t){.header_bytes = 512, .body_bytes = 64, .header_ms = 300, .idle_ms = 300, .send_timeout_ms = 300};
    lab_unused_addr(f->addr);
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
    g_string_free(f->bodies, TRUE);
}

static __attribute__((unused)) int status_of(fixture_t *f, const char *request)
{
    lab_call_t *const c = lab_call(f->client, f->addr, request);
    lab_run_until_true(f->loop, &c->done);
    const int status = c->status;
    lab_call_free(c);
    return status;
}

/* ===== Requests and responses ===== */

#define OK_1 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/1"
#define OK_2 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/2"
#define GET(path) "GET " path " HTTP/1.1\r\nHost: h\r\n\r\n"

#endif
