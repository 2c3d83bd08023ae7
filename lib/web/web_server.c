#include "web/web_server.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/counter.h"
#include "peer/peer.h"
#include "web/web_server_internal.h"

COUNTER_DEFINE(c_requests, "counter", "trackcove_web_requests_total", "Requests read whole")
COUNTER_DEFINE(c_bad, "counter", "trackcove_web_bad_requests_total", "Requests refused by the HTTP server itself")
COUNTER_DEFINE(c_gone, "counter", "trackcove_web_callers_gone_total", "Callers who closed before their answer")
COUNTER_DEFINE(c_open, "gauge", "trackcove_web_connections", "Open connections of callers")

enum {
    READ_SIZE = 16 * 1024,
    AHEAD_MAX = 64 * 1024, /* bytes of later requests kept while one is handled */
    SWEEP_MS = 250,        /* how often idle connections are looked at */
    ROOM_KEPT = 64 * 1024, /* of a buffer that is empty: connections stay open, a large body is rare */
    LINGER_MS = 1000       /* an answer that ends the connection may take this long to be taken up */
};

static void exchange_on_io(void *arg, uint32_t events);

/* ===== Bytes that are held ===== */

void exchange_empty(GByteArray **bytes)
{
    if ((*bytes)->len <= ROOM_KEPT) {
        g_byte_array_set_size(*bytes, 0);
        return;
    }
    g_byte_array_free(*bytes, TRUE);
    *bytes = g_byte_array_new();
}

void exchange_drop_body(web_exchange_t *c)
{
    exchange_empty(&c->body);
    c->server->held -= c->body_held;
    c->body_held = 0;
}

static bool has_room(const web_server_t *s, size_t size)
{
    return s->limits->buffered_bytes == 0 || s->held + size <= s->limits->buffered_bytes;
}

/** Count so many bytes of a body. @return false, with the request to be refused, when they are too many */
static bool hold_body(web_exchange_t *c, size_t size)
{
    if (size <= c->body_held)
        return true;
    if (!has_room(c->server, size - c->body_held)) {
        c->refuse = 503;
        return false;
    }
    c->server->held += size - c->body_held;
    c->body_held = size;
    return true;
}

void web_drop_body(web_exchange_t *c)
{
    exchange_drop_body(c);
}

bool web_can_buffer(const web_exchange_t *c, size_t size)
{
    return has_room(c->server, size);
}

/* ===== Connections: making and ending ===== */

/** Promise: an answer that ends early does not look complete. Chunks and lengths say so; without them only a reset
 * does, since callers take an orderly end of the connection for the answer's. */
static void reset_unfinished(const web_exchange_t *c)
{
    const struct linger hard = {.l_onoff = 1, .l_linger = 0};
    if (c->unframed && (c->state == EXCHANGE_HANDLING || web_unsent(c) > 0))
        setsockopt(c->watch.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

void exchange_close(web_exchange_t *c)
{
    reset_unfinished(c);
    if (c->state == EXCHANGE_HANDLING)
        c->server->busy--;
    loop_disarm(&c->next);
    loop_unwatch(c->server->loop, &c->watch);
    close(c->watch.fd);
    cds_list_del(&c->node);
    exchange_drop_body(c);
    exchange_release_answer(c);
    g_string_free(c->target, TRUE);
    web_headers_free(&c->headers);
    g_byte_array_free(c->body, TRUE);
    g_byte_array_free(c->ahead, TRUE);
    g_byte_array_free(c->out, TRUE);
    g_free(c);
    counter_add(&c_open, -1);
}

/** The caller is gone or the connection is broken. */
static void exchange_lost(web_exchange_t *c)
{
    const loop_fn_t gone = c->state == EXCHANGE_HANDLING ? c->gone : NULL;
    void *const arg = c->gone_arg;
    c->gone = NULL;
    if (c->state == EXCHANGE_HANDLING)
        counter_add(&c_gone, 1);
    if (gone)
        gone(arg);
    exchange_close(c);
}

/* ===== Reading ===== */

static int on_begin(http_parser *parser)
{
    web_exchange_t *const c = parser->data;
    g_string_truncate(c->target, 0);
    web_headers_clear(&c->headers);
    exchange_drop_body(c);
    c->in_body = false;
    c->refuse = 0;
    return 0;
}

static int on_target(http_parser *parser, const char *data, size_t size)
{
    web_exchange_t *const c = parser->data;
    g_string_append_len(c->target, data, (gssize)size);
    if (c->target->len > c->server->limits->header_bytes)
        c->refuse = 431;
    return c->refuse ? -1 : 0;
}

static int on_name(http_parser *parser, const char *data, size_t size)
{
    web_exchange_t *const c = parser->data;
    if (c->in_body) /* a trailer: nobody decided by it, so nobody gets it */
        c->headers.bytes += size;
    else
        web_headers_on_name(&c->headers, data, size);
    return 0;
}

static int on_value(http_parser *parser, const char *data, size_t size)
{
    web_exchange_t *const c = parser->data;
    if (c->in_body)
        c->headers.bytes += size;
    else
        web_headers_on_value(&c->headers, data, size);
    if (c->headers.bytes > c->server->limits->header_bytes)
        c->refuse = 431;
    return c->refuse ? -1 : 0;
}

static int on_headers(http_parser *parser)
{
    web_exchange_t *const c = parser->data;
    if (parser->content_length != ULLONG_MAX && parser->content_length > c->server->limits->body_bytes) {
        c->refuse = 413;
        return -1;
    }
    if (parser->content_length != ULLONG_MAX && parser->content_length > 0) {
        if (!hold_body(c, (size_t)parser->content_length))
            return -1;
        g_byte_array_free(c->body, TRUE);
        c->body = g_byte_array_sized_new((guint)parser->content_length);
    }
    c->in_body = true;
    if (c->server->limits->body_ms > 0)
        c->since = tc_time_now();
    const char *const expect = web_headers_get(&c->headers, "Expect");
    if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0)
        exchange_put(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
    return 0;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
    web_exchange_t *const c = parser->data;
    if (c->body->len + size > c->server->limits->body_bytes) {
        c->refuse = 413;
        return -1;
    }
    if (!hold_body(c, c->body->len + size))
        return -1;
    g_byte_array_append(c->body, (const guint8 *)data, (guint)size);
    if (c->server->limits->body_ms > 0)
        c->since = tc_time_now();
    return 0;
}

static int on_complete(http_parser *parser)
{
    web_exchange_t *const c = parser->data;
    c->complete = true;
    c->keep = http_should_keep_alive(parser) != 0;
    c->old = parser->http_major < 1 || (parser->http_major == 1 && parser->http_minor < 1);
    http_parser_pause(parser, 1); /* bytes behind it wait until it has been answered */
    return 0;
}

static const http_parser_settings parser_settings = {.on_message_begin = on_begin,
                                                     .on_url = on_target,
                                                     .on_header_field = on_name,
                                                     .on_header_value = on_value,
                                                     .on_headers_complete = on_headers,
                                                     .on_body = on_body,
                                                     .on_message_complete = on_complete};

static void refuse(web_exchange_t *c, int status)
{
    counter_add(&c_bad, 1);
    c->state = EXCHANGE_HANDLING;
    c->server->busy++;
    c->keep = false;
    /* For want of room: soon there is some, since no body stays for long. */
    web_respond(c, status, status == 503 ? "Retry-After: 0.3\r\n" : "", "", 0);
}

static void handle(web_exchange_t *c)
{
    counter_add(&c_requests, 1);
    c->state = EXCHANGE_HANDLING;
    c->server->busy++;
    c->head_only = c->parser.method == HTTP_HEAD;
    const web_request_t request = {.method = http_method_str((enum http_method)c->parser.method),
                                   .target = c->target->str,
                                   .headers = &c->headers,
                                   .body = c->body,
                                   .arrived = c->arrived};
    c->server->handler(c->server->arg, c, &request);
}

void exchange_parse(web_exchange_t *c, const char *data, size_t size)
{
    if (!c->begun && size > 0) {
        c->begun = true;
        c->since = c->arrived = tc_time_now();
    }
    const size_t used = http_parser_execute(&c->parser, &parser_settings, data, size);
    if (c->complete) {
        c->complete = false;
        http_parser_pause(&c->parser, 0);
        g_byte_array_append(c->ahead, (const guint8 *)data + used, (guint)(size - used));
        handle(c);
        return;
    }
    if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) {
        refuse(c, c->refuse ? c->refuse : 400);
        return;
    }
    if (c->out->len > 0 && !exchange_flush(c))
        exchange_lost(c);
}

static void exchange_read(web_exchange_t *c)
{
    char data[READ_SIZE];
    const ssize_t n = recv(c->watch.fd, data, sizeof(data), 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return;
    if (n <= 0) {
        exchange_lost(c);
        return;
    }
    if (c->state == EXCHANGE_CLOSING)
        return; /* what comes behind the last answer is read and dropped, so that closing does not reset */
    if (c->state == EXCHANGE_READING && c->ahead->len == 0) {
        exchange_parse(c, data, (size_t)n);
        return;
    }
    g_byte_array_append(c->ahead, (const guint8 *)data, (guint)n);
    if (c->ahead->len > AHEAD_MAX)
        exchange_lost(c);
}

static void exchange_on_io(void *arg, uint32_t events)
{
    web_exchange_t *const c = arg;
    if (events & EPOLLERR) {
        exchange_lost(c);
        return;
    }
    if (events & EPOLLOUT) {
        if (!exchange_flush(c)) {
            exchange_lost(c);
            return;
        }
        if (c->state == EXCHANGE_CLOSING && c->out->len == 0)
            shutdown(c->watch.fd, SHUT_WR);
    }
    if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP))
        exchange_read(c);
}

/* ===== Listening ===== */

static tc_time_t take_limit(const web_server_t *s)
{
    return s->limits->send_timeout_ms > 0 ? s->limits->send_timeout_ms : WEB_SEND_TIMEOUT_MS;
}

static void on_accept(void *arg, uint32_t events)
{
    (void)events;
    web_server_t *const s = arg;
    for (;;) {
        const int fd = accept4(s->listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        /* Short answers fit the kernel's buffers: it is the one that sees that nobody takes them up. */
        const unsigned unacked = (unsigned)take_limit(s);
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof(unacked));
        web_exchange_t *const c = g_new0(web_exchange_t, 1);
        c->server = s;
        c->watch = (loop_watch_t){.fd = fd, .on_io = exchange_on_io, .arg = c};
        http_parser_init(&c->parser, HTTP_REQUEST);
        c->parser.data = c;
        c->target = g_string_new(NULL);
        web_headers_init(&c->headers);
        c->body = g_byte_array_new();
        c->ahead = g_byte_array_new();
        c->out = g_byte_array_new();
        c->since = tc_time_now();
        cds_list_add(&c->node, &s->conns);
        counter_add(&c_open, 1);
        loop_watch(s->loop, &c->watch, EPOLLIN | EPOLLRDHUP);
    }
}

/** How long the request that is being read may go on without what it is measured by. */
static tc_time_t read_limit(const web_exchange_t *c)
{
    const web_limits_t *const limits = c->server->limits;
    return c->in_body && limits->body_ms > 0 ? limits->body_ms : limits->header_ms;
}

static void sweep(void *arg)
{
    web_server_t *const s = arg;
    const tc_time_t now = tc_time_now();
    const tc_time_t send_timeout_ms = take_limit(s);
    web_exchange_t *c, *next;
    cds_list_for_each_entry_safe(c, next, &s->conns, node) {
        if (c->state == EXCHANGE_READING && c->begun && now - c->since > read_limit(c))
            refuse(c, 408);
        else if (c->state == EXCHANGE_READING && !c->begun && now - c->since > s->limits->idle_ms)
            exchange_close(c);
        else if (c->state == EXCHANGE_HANDLING && c->writing && now - c->since > send_timeout_ms)
            exchange_lost(c);
        else if (c->state == EXCHANGE_CLOSING && now - c->since > LINGER_MS)
            exchange_close(c);
    }
    loop_arm(s->loop, &s->sweep, now + SWEEP_MS, sweep, s);
}

web_server_t *web_server_start(loop_t *loop, const char *listen_at, const web_limits_t *limits, web_handler_t handler,
                               void *arg, tc_err_t *err)
{
    const int fd = peer_open_listener(listen_at, "listen", err);
    if (fd < 0)
        return NULL;
    web_server_t *const s = g_new0(web_server_t, 1);
    s->loop = loop;
    s->limits = limits;
    s->handler = handler;
    s->arg = arg;
    CDS_INIT_LIST_HEAD(&s->conns);
    s->listener = (loop_watch_t){.fd = fd, .on_io = on_accept, .arg = s};
    loop_watch(loop, &s->listener, EPOLLIN);
    loop_arm(loop, &s->sweep, tc_time_now() + SWEEP_MS, sweep, s);
    return s;
}

void web_server_drain(web_server_t *s)
{
    s->retiring = true;
}

unsigned web_server_in_flight(const web_server_t *s)
{
    return s->busy;
}

void web_server_stop(web_server_t *s)
{
    loop_disarm(&s->sweep);
    loop_unwatch(s->loop, &s->listener);
    close(s->listener.fd);
    web_exchange_t *c, *next;
    cds_list_for_each_entry_safe(c, next, &s->conns, node)
        exchange_lost(c);
    g_free(s);
}
