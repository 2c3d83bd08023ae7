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
    READ_BYTES = 16 * 1024,
    PIPELINED_MAX_BYTES = 64 * 1024, /* of later requests, buffered while one is handled */
    SWEEP_MS = 250,                  /* interval between checks of all timeouts */
    BUFFER_KEEP_BYTES = 64 * 1024,   /* kept by an empty buffer: connections live long, large bodies are rare */
    LINGER_MS = 1000                 /* for the caller to read the last response of a connection */
};

static void exchange_on_io(void *arg, uint32_t events);

/* ===== Buffers ===== */

void exchange_reset_buffer(GByteArray **bytes)
{
    if ((*bytes)->len <= BUFFER_KEEP_BYTES) {
        g_byte_array_set_size(*bytes, 0);
        return;
    }
    g_byte_array_free(*bytes, TRUE);
    *bytes = g_byte_array_new();
}

void exchange_free_body(web_exchange_t *c)
{
    exchange_reset_buffer(&c->body);
    c->server->buffered_bytes -= c->body_counted;
    c->body_counted = 0;
}

static bool can_buffer(const web_server_t *s, size_t size)
{
    return s->limits->buffered_bytes == 0 || s->buffered_bytes + size <= s->limits->buffered_bytes;
}

/** Grow the counted size of the body to @p size bytes. @return false, with refuse_status set, when buffered_bytes would
 *  be exceeded */
static bool count_body(web_exchange_t *c, size_t size)
{
    if (size <= c->body_counted)
        return true;
    if (!can_buffer(c->server, size - c->body_counted)) {
        c->refuse_status = 503;
        return false;
    }
    c->server->buffered_bytes += size - c->body_counted;
    c->body_counted = size;
    return true;
}

void web_drop_body(web_exchange_t *c)
{
    exchange_free_body(c);
}

bool web_can_buffer(const web_exchange_t *c, size_t size)
{
    return can_buffer(c->server, size);
}

/* ===== Closing connections ===== */

/** Guarantee: a truncated response never looks complete. Chunked encoding and Content-Length show the truncation;
 *  without them only a reset does, since callers take an orderly close for the end of the response. */
static void reset_unfinished(const web_exchange_t *c)
{
    const struct linger hard = {.l_onoff = 1, .l_linger = 0};
    if (c->unframed && (c->state == EXCHANGE_HANDLING || c->broken || web_unsent(c) > 0))
        setsockopt(c->watch.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
}

void exchange_close(web_exchange_t *c)
{
    reset_unfinished(c);
    if (c->state == EXCHANGE_HANDLING)
        c->server->in_flight--;
    loop_disarm(&c->next_timer);
    loop_unwatch(c->server->loop, &c->watch);
    close(c->watch.fd);
    cds_list_del(&c->node);
    exchange_free_body(c);
    exchange_uncount_response(c);
    buffer_share_close(&c->unsent);
    g_string_free(c->target, TRUE);
    web_headers_free(&c->headers);
    g_byte_array_free(c->body, TRUE);
    g_byte_array_free(c->pipelined, TRUE);
    g_byte_array_free(c->out, TRUE);
    g_free(c);
    counter_add(&c_open, -1);
}

/** The caller has disconnected or the connection is broken: report it and close. */
static void exchange_disconnect(web_exchange_t *c)
{
    const loop_fn_t gone = c->state == EXCHANGE_HANDLING ? c->on_disconnect : NULL;
    void *const arg = c->disconnect_arg;
    c->on_disconnect = NULL;
    if (c->state == EXCHANGE_HANDLING)
        counter_add(&c_gone, 1);
    if (gone)
        gone(arg);
    exchange_close(c);
}

/* ===== Reading ===== */

static int on_message_begin(http_parser *parser)
{
    web_exchange_t *const c = parser->data;
    g_string_truncate(c->target, 0);
    web_headers_clear(&c->headers);
    exchange_free_body(c);
    c->in_body = false;
    c->refuse_status = 0;
    return 0;
}

static int on_target(http_parser *parser, const char *data, size_t size)
{
    web_exchange_t *const c = parser->data;
    g_string_append_len(c->target, data, (gssize)size);
    if (c->target->len > c->server->limits->header_bytes)
        c->refuse_status = 431;
    return c->refuse_status ? -1 : 0;
}

static int on_name(http_parser *parser, const char *data, size_t size)
{
    web_exchange_t *const c = parser->data;
    if (c->in_body) /* trailers are dropped: no check has seen them, so they are not forwarded */
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
        c->refuse_status = 431;
    return c->refuse_status ? -1 : 0;
}

static int on_headers(http_parser *parser)
{
    web_exchange_t *const c = parser->data;
    if (!web_headers_are_valid(&c->headers)) {
        c->refuse_status = 400;
        return -1;
    }
    if (parser->content_length != ULLONG_MAX && parser->content_length > c->server->limits->body_bytes) {
        c->refuse_status = 413;
        return -1;
    }
    if (parser->content_length != ULLONG_MAX && parser->content_length > 0) {
        if (!count_body(c, (size_t)parser->content_length))
            return -1;
        g_byte_array_free(c->body, TRUE);
        c->body = g_byte_array_sized_new((guint)parser->content_length);
    }
    c->in_body = true;
    if (c->server->limits->body_ms > 0)
        c->progress_at = tc_time_now();
    const char *const expect = web_headers_get(&c->headers, "Expect");
    if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0)
        exchange_queue(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
    return 0;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
    web_exchange_t *const c = parser->data;
    if (c->body->len + size > c->server->limits->body_bytes) {
        c->refuse_status = 413;
        return -1;
    }
    if (!count_body(c, c->body->len + size))
        return -1;
    g_byte_array_append(c->body, (const guint8 *)data, (guint)size);
    if (c->server->limits->body_ms > 0)
        c->progress_at = tc_time_now();
    return 0;
}

static int on_message_complete(http_parser *parser)
{
    web_exchange_t *const c = parser->data;
    c->complete = true;
    c->keep_alive = http_should_keep_alive(parser) != 0;
    c->is_http10 = parser->http_major < 1 || (parser->http_major == 1 && parser->http_minor < 1);
    http_parser_pause(parser, 1); /* later bytes wait until this request has its response */
    return 0;
}

static const http_parser_settings parser_settings = {.on_message_begin = on_message_begin,
                                                     .on_url = on_target,
                                                     .on_header_field = on_name,
                                                     .on_header_value = on_value,
                                                     .on_headers_complete = on_headers,
                                                     .on_body = on_body,
                                                     .on_message_complete = on_message_complete};

static void refuse(web_exchange_t *c, int status)
{
    counter_add(&c_bad, 1);
    c->state = EXCHANGE_HANDLING;
    c->server->in_flight++;
    c->keep_alive = false;
    /* 503: buffers are full, but no body is kept for long, so a retry soon succeeds. */
    web_respond(c, status, status == 503 ? "Retry-After: 0.3\r\n" : "", "", 0);
}

static void start_request(web_exchange_t *c)
{
    counter_add(&c_requests, 1);
    c->state = EXCHANGE_HANDLING;
    c->server->in_flight++;
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
    if (!c->request_started && size > 0) {
        c->request_started = true;
        c->progress_at = c->arrived = tc_time_now();
    }
    const size_t used = http_parser_execute(&c->parser, &parser_settings, data, size);
    if (c->complete) {
        c->complete = false;
        http_parser_pause(&c->parser, 0);
        g_byte_array_append(c->pipelined, (const guint8 *)data + used, (guint)(size - used));
        start_request(c);
        return;
    }
    if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK) {
        refuse(c, c->refuse_status ? c->refuse_status : 400);
        return;
    }
    if (c->out->len > 0 && !exchange_flush(c))
        exchange_disconnect(c);
}

static void exchange_read(web_exchange_t *c)
{
    char data[READ_BYTES];
    const ssize_t n = recv(c->watch.fd, data, sizeof(data), 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return;
    if (n <= 0) {
        exchange_disconnect(c);
        return;
    }
    if (c->state == EXCHANGE_CLOSING)
        return; /* input after the last response is read and dropped, since closing with unread input sends a reset */
    if (c->state == EXCHANGE_READING && c->pipelined->len == 0) {
        exchange_parse(c, data, (size_t)n);
        return;
    }
    g_byte_array_append(c->pipelined, (const guint8 *)data, (guint)n);
    if (c->pipelined->len > PIPELINED_MAX_BYTES)
        exchange_pause(c, true);
}

static void exchange_on_io(void *arg, uint32_t events)
{
    web_exchange_t *const c = arg;
    if (events & EPOLLERR) {
        exchange_disconnect(c);
        return;
    }
    if (events & EPOLLOUT) {
        if (!exchange_flush(c)) {
            exchange_disconnect(c);
            return;
        }
        if (c->state == EXCHANGE_CLOSING && c->out->len == 0)
            shutdown(c->watch.fd, SHUT_WR);
    }
    if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP))
        exchange_read(c);
}

/** Callers together read too slowly, and this one has most to read. Its bytes are freed at once; the loop then reports
 *  the disconnect, since the request may be in use here. */
static void on_unsent_ended(void *arg)
{
    web_exchange_t *const c = arg;
    c->broken = true;
    c->bytes_queued = c->bytes_sent;
    c->out_sent = 0;
    exchange_reset_buffer(&c->out);
    shutdown(c->watch.fd, SHUT_RD);
}

/* ===== Listening ===== */

static tc_time_t send_timeout(const web_server_t *s)
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
        /* A short response fits into the kernel's buffers, so only the kernel notices that the caller does not ACK it.
         */
        const unsigned unacked = (unsigned)send_timeout(s);
        setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof(unacked));
        web_exchange_t *const c = g_new0(web_exchange_t, 1);
        c->server = s;
        c->watch = (loop_watch_t){.fd = fd, .on_io = exchange_on_io, .arg = c};
        http_parser_init(&c->parser, HTTP_REQUEST);
        c->parser.data = c;
        c->target = g_string_new(NULL);
        web_headers_init(&c->headers);
        c->body = g_byte_array_new();
        c->pipelined = g_byte_array_new();
        c->out = g_byte_array_new();
        c->progress_at = tc_time_now();
        buffer_share_open(&c->unsent, s->budget, NULL, on_unsent_ended, c);
        cds_list_add(&c->node, &s->conns);
        counter_add(&c_open, 1);
        loop_watch(s->loop, &c->watch, EPOLLIN | EPOLLRDHUP);
    }
}

/** Timeout of the request being read, counted from progress_at. */
static tc_time_t read_limit(const web_exchange_t *c)
{
    const web_limits_t *const limits = c->server->limits;
    return c->in_body && limits->body_ms > 0 ? limits->body_ms : limits->header_ms;
}

static void sweep(void *arg)
{
    web_server_t *const s = arg;
    const tc_time_t now = tc_time_now();
    const tc_time_t send_timeout_ms = send_timeout(s);
    web_exchange_t *c, *next;
    cds_list_for_each_entry_safe(c, next, &s->conns, node) {
        if (c->state == EXCHANGE_READING && c->request_started && now - c->progress_at > read_limit(c))
            refuse(c, 408);
        else if (c->state == EXCHANGE_READING && !c->request_started && now - c->progress_at > s->limits->idle_ms)
            exchange_close(c);
        else if (c->state != EXCHANGE_READING && c->writing && now - c->progress_at > send_timeout_ms)
            exchange_disconnect(c);
        else if (c->state == EXCHANGE_CLOSING && !c->writing && now - c->progress_at > LINGER_MS)
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

void web_server_set_budget(web_server_t *s, buffer_budget_t *budget)
{
    s->budget = budget;
}

void web_server_drain(web_server_t *s)
{
    s->draining = true;
}

unsigned web_server_in_flight(const web_server_t *s)
{
    return s->in_flight;
}

unsigned web_server_unsent(const web_server_t *s)
{
    unsigned n = 0;
    const web_exchange_t *c;
    cds_list_for_each_entry(c, &s->conns, node)
        n += web_unsent(c) > 0;
    return n;
}

void web_server_stop(web_server_t *s)
{
    loop_disarm(&s->sweep);
    loop_unwatch(s->loop, &s->listener);
    close(s->listener.fd);
    web_exchange_t *c, *next;
    cds_list_for_each_entry_safe(c, next, &s->conns, node)
        exchange_disconnect(c);
    g_free(s);
}
