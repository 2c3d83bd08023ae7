#include "web/web_server.h"

#include <assert.h>
#include <errno.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/list.h>

#include "common/counter.h"
#include "peer/peer.h"

COUNTER_DEFINE(c_requests, "counter", "trackcove_web_requests_total", "Requests read whole")
COUNTER_DEFINE(c_bad, "counter", "trackcove_web_bad_requests_total", "Requests refused by the HTTP server itself")
COUNTER_DEFINE(c_gone, "counter", "trackcove_web_callers_gone_total", "Callers who closed before their answer")
COUNTER_DEFINE(c_open, "gauge", "trackcove_web_connections", "Open connections of callers")

enum {
    READ_SIZE = 16 * 1024,
    AHEAD_MAX = 64 * 1024,     /* bytes of later requests kept while one is handled */
    OUT_MAX = 8 * 1024 * 1024, /* bytes waiting for a caller who does not read: then it is cut off */
    SWEEP_MS = 250,            /* how often idle connections are looked at */
    LINGER_MS = 1000           /* an answer that ends the connection may take this long to be taken up */
};

/* ===== Types ===== */

typedef enum { CONN_READING, CONN_HANDLING, CONN_CLOSING } conn_state_t;

struct web_exchange {
    struct cds_list_head node;
    web_server_t *server;
    loop_watch_t watch;
    bool writing;
    conn_state_t state;
    http_parser parser;
    bool begun;    /* a byte of the next request has come */
    bool complete; /* the parser has a whole request */
    bool keep;     /* the caller keeps the connection */
    bool chunked;  /* the answer under way goes in chunks */
    bool old;      /* HTTP/1.0 */
    int refuse;    /* status to refuse the request with, found while reading */
    GString *target;
    web_headers_t headers;
    GByteArray *body;
    GByteArray *ahead; /* bytes behind the request being handled */
    GByteArray *out;
    size_t out_sent;
    tc_time_t since; /* state or last progress */
    tc_time_t arrived;
    loop_fn_t gone;
    void *gone_arg;
};

struct web_server {
    loop_t *loop;
    loop_watch_t listener;
    const web_limits_t *limits;
    web_handler_t handler;
    void *arg;
    struct cds_list_head conns;
    loop_timer_t sweep;
    unsigned busy;
    bool retiring;
};

static void conn_on_io(void *arg, uint32_t events);
static void conn_parse(web_exchange_t *c, const char *data, size_t size);

/* ===== Connections: making and ending ===== */

static void conn_close(web_exchange_t *c)
{
    if (c->state == CONN_HANDLING)
        c->server->busy--;
    loop_unwatch(c->server->loop, &c->watch);
    close(c->watch.fd);
    cds_list_del(&c->node);
    g_string_free(c->target, TRUE);
    web_headers_free(&c->headers);
    g_byte_array_free(c->body, TRUE);
    g_byte_array_free(c->ahead, TRUE);
    g_byte_array_free(c->out, TRUE);
    g_free(c);
    counter_add(&c_open, -1);
}

/** The caller is gone or the connection is broken. */
static void conn_lost(web_exchange_t *c)
{
    const loop_fn_t gone = c->state == CONN_HANDLING ? c->gone : NULL;
    void *const arg = c->gone_arg;
    c->gone = NULL;
    if (c->state == CONN_HANDLING)
        counter_add(&c_gone, 1);
    if (gone)
        gone(arg);
    conn_close(c);
}

/* ===== Writing ===== */

static void conn_want_write(web_exchange_t *c, bool want)
{
    if (c->writing == want)
        return;
    c->writing = want;
    loop_rewatch(c->server->loop, &c->watch, EPOLLIN | EPOLLRDHUP | (want ? EPOLLOUT : 0u));
}

/** @return false when the connection broke */
static bool conn_flush(web_exchange_t *c)
{
    while (c->out_sent < c->out->len) {
        const ssize_t n = send(c->watch.fd, c->out->data + c->out_sent, c->out->len - c->out_sent, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            conn_want_write(c, true);
            return c->out->len - c->out_sent <= OUT_MAX;
        }
        if (n < 0)
            return false;
        c->out_sent += (size_t)n;
        c->since = tc_time_now();
    }
    g_byte_array_set_size(c->out, 0);
    c->out_sent = 0;
    conn_want_write(c, false);
    return true;
}

static void put(web_exchange_t *c, const void *data, size_t size)
{
    g_byte_array_append(c->out, data, (guint)size);
}

/* ===== Reading ===== */

static int on_begin(http_parser *parser)
{
    web_exchange_t *const c = parser->data;
    g_string_truncate(c->target, 0);
    web_headers_clear(&c->headers);
    g_byte_array_set_size(c->body, 0);
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
    web_headers_on_name(&c->headers, data, size);
    return 0;
}

static int on_value(http_parser *parser, const char *data, size_t size)
{
    web_exchange_t *const c = parser->data;
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
    const char *const expect = web_headers_get(&c->headers, "Expect");
    if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0)
        put(c, "HTTP/1.1 100 Continue\r\n\r\n", 25);
    return 0;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
    web_exchange_t *const c = parser->data;
    if (c->body->len + size > c->server->limits->body_bytes) {
        c->refuse = 413;
        return -1;
    }
    g_byte_array_append(c->body, (const guint8 *)data, (guint)size);
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
    c->state = CONN_HANDLING;
    c->server->busy++;
    c->keep = false;
    web_answer(c, status, "", "", 0);
}

static void handle(web_exchange_t *c)
{
    counter_add(&c_requests, 1);
    c->state = CONN_HANDLING;
    c->server->busy++;
    c->gone = NULL;
    c->chunked = false;
    const web_request_t request = {.method = http_method_str((enum http_method)c->parser.method),
                                   .target = c->target->str,
                                   .headers = &c->headers,
                                   .body = c->body,
                                   .arrived = c->arrived};
    c->server->handler(c->server->arg, c, &request);
}

/** Hand bytes to the parser; may answer and so free the connection. */
static void conn_parse(web_exchange_t *c, const char *data, size_t size)
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
    if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK || c->parser.upgrade) {
        refuse(c, c->refuse ? c->refuse : 400);
        return;
    }
    if (c->out->len > 0 && !conn_flush(c))
        conn_lost(c);
}

static void conn_read(web_exchange_t *c)
{
    char data[READ_SIZE];
    const ssize_t n = recv(c->watch.fd, data, sizeof(data), 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return;
    if (n <= 0) {
        conn_lost(c);
        return;
    }
    if (c->state == CONN_CLOSING)
        return; /* what comes behind the last answer is read and dropped, so that closing does not reset */
    if (c->state == CONN_READING) {
        conn_parse(c, data, (size_t)n);
        return;
    }
    g_byte_array_append(c->ahead, (const guint8 *)data, (guint)n);
    if (c->ahead->len > AHEAD_MAX)
        conn_lost(c);
}

static void conn_on_io(void *arg, uint32_t events)
{
    web_exchange_t *const c = arg;
    if (events & EPOLLERR) {
        conn_lost(c);
        return;
    }
    if (events & EPOLLOUT) {
        if (!conn_flush(c)) {
            conn_lost(c);
            return;
        }
        if (c->state == CONN_CLOSING && c->out->len == 0)
            shutdown(c->watch.fd, SHUT_WR);
    }
    if (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP))
        conn_read(c);
}

/* ===== Answering ===== */

void web_on_gone(web_exchange_t *c, loop_fn_t fn, void *arg)
{
    assert(c->state == CONN_HANDLING); /* only a request being handled can lose its caller */
    c->gone = fn;
    c->gone_arg = arg;
}

static void put_head(web_exchange_t *c, int status, const char *head)
{
    if (c->server->retiring)
        c->keep = false;
    GString *const text = g_string_new(NULL);
    g_string_printf(text, "HTTP/1.1 %d %s\r\n%s", status, http_status_str((enum http_status)status), head);
    g_string_append(text, c->keep ? "" : "Connection: close\r\n");
    put(c, text->str, text->len);
    g_string_free(text, TRUE);
}

/** The next request, if its bytes are here already; from the loop, so that handlers never nest. */
static void conn_next(web_exchange_t *c)
{
    if (c->ahead->len == 0)
        return;
    GByteArray *const data = c->ahead;
    c->ahead = g_byte_array_new();
    conn_parse(c, (const char *)data->data, data->len);
    g_byte_array_free(data, TRUE);
}

static void finish(web_exchange_t *c)
{
    assert(c->state == CONN_HANDLING); /* an exchange ends once */
    c->server->busy--;
    c->gone = NULL;
    c->begun = false;
    c->state = c->keep ? CONN_READING : CONN_CLOSING;
    c->since = tc_time_now();
    if (!conn_flush(c)) {
        conn_close(c);
        return;
    }
    if (c->state == CONN_CLOSING) {
        if (c->out->len == 0)
            shutdown(c->watch.fd, SHUT_WR);
        return;
    }
    conn_next(c);
}

void web_answer(web_exchange_t *c, int status, const char *head, const void *body, size_t size)
{
    GString *const all = g_string_new(head);
    g_string_append_printf(all, "Content-Length: %zu\r\n", size);
    put_head(c, status, all->str);
    g_string_free(all, TRUE);
    put(c, "\r\n", 2);
    put(c, body, size);
    finish(c);
}

void web_begin(web_exchange_t *c, int status, const char *head)
{
    c->chunked = !c->old;
    if (c->old)
        c->keep = false; /* the end of the connection ends the answer */
    put_head(c, status, head);
    put(c, c->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n", c->chunked ? 30 : 2);
    (void)conn_flush(c); /* a break shows as an event */
}

void web_add(web_exchange_t *c, const void *data, size_t size)
{
    if (size == 0)
        return; /* an empty chunk would end the answer */
    char line[24];
    const int n = g_snprintf(line, sizeof(line), "%zx\r\n", size);
    if (c->chunked)
        put(c, line, (size_t)n);
    put(c, data, size);
    if (c->chunked)
        put(c, "\r\n", 2);
    (void)conn_flush(c);
}

void web_end(web_exchange_t *c)
{
    if (c->chunked)
        put(c, "0\r\n\r\n", 5);
    finish(c);
}

void web_abort(web_exchange_t *c)
{
    c->gone = NULL;
    const struct linger hard = {.l_onoff = 1, .l_linger = 0};
    if (!c->chunked) /* without chunks an orderly end would look complete */
        setsockopt(c->watch.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    conn_close(c);
}

/* ===== Listening ===== */

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
        web_exchange_t *const c = g_new0(web_exchange_t, 1);
        c->server = s;
        c->watch = (loop_watch_t){.fd = fd, .on_io = conn_on_io, .arg = c};
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

static void sweep(void *arg)
{
    web_server_t *const s = arg;
    const tc_time_t now = tc_time_now();
    web_exchange_t *c, *next;
    cds_list_for_each_entry_safe(c, next, &s->conns, node) {
        if (c->state == CONN_READING && c->begun && now - c->since > s->limits->header_ms)
            refuse(c, 408);
        else if (c->state == CONN_READING && !c->begun && now - c->since > s->limits->idle_ms)
            conn_close(c);
        else if (c->state == CONN_CLOSING && now - c->since > LINGER_MS)
            conn_close(c);
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

void web_server_retire(web_server_t *s)
{
    s->retiring = true;
}

unsigned web_server_busy(const web_server_t *s)
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
        conn_lost(c);
    g_free(s);
}
