#include "web/web_client.h"

#include <assert.h>
#include <errno.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/list.h>

#include "common/counter.h"
#include "common/log.h"
#include "peer/peer.h"

COUNTER_DEFINE(c_opened, "counter", "trackcove_backend_connections_opened_total", "Connections opened to back ends")
COUNTER_DEFINE(c_reused, "counter", "trackcove_backend_connections_reused_total", "Calls over a kept connection")
COUNTER_DEFINE(c_strays, "counter", "trackcove_backend_stray_answers_total", "Answers that belonged to no request")

enum {
    READ_BYTES = 16 * 1024,
    IDLE_DEFAULT_MS = 2000, /* keep-alive time when the back end names none and may close at any moment. Short, and
                               used only for requests that may be executed twice */
    IDLE_MARGIN_MS = 1000,  /* an idle connection is closed this long before the back end would close it */
    SWEEP_MS = 500
};

/* ===== Types ===== */

struct web_call {
    struct cds_list_head node; /* in client->calls, or in client->idle */
    web_client_t *client;
    char addr[CODEC_STR_SIZE];
    loop_watch_t watch;
    bool writing, connecting, idle;
    bool sent;        /* a byte of the request may have left this box */
    bool head_seen;   /* a response head was accepted */
    bool skipping;    /* the response being read belongs to another request */
    bool complete;    /* the parser has the complete response */
    bool send_failed; /* sending failed: an end of the connection is then not an orderly one */
    bool cancelled;   /* cancelled from within one of its own callbacks */
    bool in_callback;
    GByteArray *request;
    size_t written;
    http_parser parser;
    web_headers_t headers;
    web_sink_t sink;
    loop_timer_t connect_timer;
    tc_time_t connect_began;
    tc_time_t idle_until;
    tc_time_t idle_ms;
};

struct web_client {
    loop_t *loop;
    struct cds_list_head calls;
    struct cds_list_head idle;
    loop_timer_t sweep;
    unsigned idle_max;
};

static void call_on_io(void *arg, uint32_t events);

/* ===== Connections ===== */

static void call_free(web_call_t *call)
{
    loop_disarm(&call->connect_timer);
    loop_unwatch(call->client->loop, &call->watch);
    close(call->watch.fd);
    cds_list_del(&call->node);
    if (call->request)
        g_byte_array_free(call->request, TRUE);
    web_headers_free(&call->headers);
    g_free(call);
}

static unsigned idle_count(const web_client_t *client, const char *addr)
{
    unsigned n = 0;
    web_call_t *call;
    cds_list_for_each_entry(call, &client->idle, node)
        n += strcmp(call->addr, addr) == 0;
    return n;
}

/** Make the connection of a finished call idle, or close it. */
static void call_release(web_call_t *call, bool keep)
{
    web_client_t *const client = call->client;
    if (!keep || idle_count(client, call->addr) >= client->idle_max) {
        call_free(call);
        return;
    }
    g_byte_array_free(call->request, TRUE);
    call->request = NULL;
    call->idle = true;
    call->idle_until = tc_time_now() + call->idle_ms;
    cds_list_del(&call->node);
    cds_list_add(&call->node, &client->idle);
}

static void call_finish(web_call_t *call, web_result_t how, bool keep)
{
    const web_sink_t sink = call->sink;
    call_release(call, keep);
    sink.on_end(sink.arg, how);
}

/** The connection failed or was closed early. */
static void call_fail(web_call_t *call)
{
    if (call->idle) {
        call_free(call);
        return;
    }
    call_finish(call,
                call->head_seen ? WEB_RESULT_TRUNCATED : (call->sent ? WEB_RESULT_NO_RESPONSE : WEB_RESULT_NOT_SENT),
                false);
}

/* ===== Responses ===== */

static int on_message_begin(http_parser *parser)
{
    web_call_t *const call = parser->data;
    web_headers_clear(&call->headers);
    return 0;
}

static int on_name(http_parser *parser, const char *data, size_t size)
{
    web_call_t *const call = parser->data;
    web_headers_on_name(&call->headers, data, size);
    return 0;
}

static int on_value(http_parser *parser, const char *data, size_t size)
{
    web_call_t *const call = parser->data;
    web_headers_on_value(&call->headers, data, size);
    return 0;
}

static tc_time_t idle_time(const web_call_t *call)
{
    const char *const text = web_headers_get(&call->headers, "Keep-Alive");
    const char *const at = text ? strstr(text, "timeout=") : NULL;
    if (!at)
        return IDLE_DEFAULT_MS;
    const tc_time_t ms = (tc_time_t)strtol(at + strlen("timeout="), NULL, 10) * 1000;
    return ms > 2 * IDLE_MARGIN_MS ? ms - IDLE_MARGIN_MS : ms / 2;
}

/** Whether the response has no body whatever length it names: bytes after its head belong to another response. */
static bool ends_with_head(const web_call_t *call, unsigned status)
{
    static const char head[] = "HEAD ";
    const size_t size = strlen(head);
    return status == 204 || status == 304 ||
           (call->request->len > size && memcmp(call->request->data, head, size) == 0);
}

static int on_headers(http_parser *parser)
{
    enum { STOP_PARSING = -1, HAS_BODY = 0, HAS_NO_BODY = 1, SWITCHING_PROTOCOLS = 101 };
    web_call_t *const call = parser->data;
    if (parser->status_code == SWITCHING_PROTOCOLS)
        return STOP_PARSING; /* no upgrade was requested: what follows is not an HTTP response */
    if (parser->status_code < 200)
        return HAS_BODY; /* an interim response: the final one follows */
    const web_head_t head = {.status = (int)parser->status_code, .headers = &call->headers};
    call->in_callback = true;
    call->skipping = call->sink.on_head(call->sink.arg, &head) == WEB_HEAD_SKIP;
    call->in_callback = false;
    if (call->skipping)
        counter_add(&c_strays, 1);
    else
        call->head_seen = true;
    call->idle_ms = idle_time(call);
    if (call->cancelled)
        return STOP_PARSING;
    return !call->skipping && ends_with_head(call, parser->status_code) ? HAS_NO_BODY : HAS_BODY;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
    web_call_t *const call = parser->data;
    if (call->skipping || !call->head_seen)
        return 0;
    call->in_callback = true;
    call->sink.on_data(call->sink.arg, data, size);
    call->in_callback = false;
    return call->cancelled ? -1 : 0;
}

static int on_message_complete(http_parser *parser)
{
    web_call_t *const call = parser->data;
    if (parser->status_code < 200 || call->skipping)
        return 0;
    call->complete = true;
    http_parser_pause(parser, 1); /* bytes after this response belong to no request */
    return 0;
}

static const http_parser_settings parser_settings = {.on_message_begin = on_message_begin,
                                                     .on_header_field = on_name,
                                                     .on_header_value = on_value,
                                                     .on_headers_complete = on_headers,
                                                     .on_body = on_body,
                                                     .on_message_complete = on_message_complete};

/** Feed bytes to the parser; size 0 is an orderly end of the connection. May free the call. */
static void call_parse(web_call_t *call, const char *data, size_t size)
{
    const size_t used = http_parser_execute(&call->parser, &parser_settings, data, size);
    if (call->cancelled) {
        call_free(call);
        return;
    }
    if (call->complete) {
        http_parser_pause(&call->parser, 0);
        /* If the response came before the whole request was sent, the rest is still due on this connection,
         * which then cannot be reused. */
        const bool sent = call->written == call->request->len;
        const bool keep = sent && size > 0 && used == size && http_should_keep_alive(&call->parser);
        call_finish(call, WEB_RESULT_COMPLETE, keep);
        return;
    }
    if (size == 0 || HTTP_PARSER_ERRNO(&call->parser) != HPE_OK)
        call_fail(call);
}

static void call_read(web_call_t *call)
{
    char data[READ_BYTES];
    const ssize_t n = recv(call->watch.fd, data, sizeof(data), 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return;
    /* The kernel reports a reset once. If send got it, recv sees what looks like an orderly end. */
    if (n < 0 || (n == 0 && call->send_failed) || call->idle)
        call_fail(call); /* unexpected input makes an idle connection unusable */
    else
        call_parse(call, data, (size_t)n);
}

/* ===== Requests ===== */

static void call_want_write(web_call_t *call, bool want)
{
    if (call->writing == want)
        return;
    call->writing = want;
    loop_watch_modify(call->client->loop, &call->watch, EPOLLIN | (want ? EPOLLOUT : 0u));
}

/** Send as much of the request as possible. @return false when the connection is broken */
static bool call_write(web_call_t *call)
{
    while (call->written < call->request->len) {
        const ssize_t n =
            send(call->watch.fd, call->request->data + call->written, call->request->len - call->written, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            call_want_write(call, true);
            return true;
        }
        if (n < 0)
            return false;
        call->sent = true;
        call->written += (size_t)n;
    }
    call_want_write(call, false);
    return true;
}

/** Whether the connection has ended before any byte of the request was written: then it is not written at all, so that
 *  the back end certainly has not seen it. */
static bool has_ended_unsent(const web_call_t *call)
{
    char byte;
    if (call->sent)
        return false;
    const ssize_t n = recv(call->watch.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

/** Logs why no connection was established: a back end that is down, a cut and a full queue differ in it. */
static void log_connect_failed(const web_call_t *call, const char *how, int error)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "connect_failed");
    log_str(&line, "addr", call->addr);
    log_str(&line, "how", how);
    log_int(&line, "errno", error);
    log_int(&line, "took_ms", tc_time_now() - call->connect_began);
    log_end(&line);
}

/** The pending error of the connection, cleared by this. */
static int take_socket_error(const web_call_t *call)
{
    int error = 0;
    socklen_t size = sizeof(error);
    if (getsockopt(call->watch.fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        error = errno;
    return error;
}

static const char *name_connect_error(int error)
{
    switch (error) {
    case ECONNREFUSED: return "refused";
    case ECONNRESET: return "reset";
    case ETIMEDOUT: return "timeout";
    default: return "unreachable";
    }
}

static void call_on_io(void *arg, uint32_t events)
{
    web_call_t *const call = arg;
    const bool ends_unsent = (events & EPOLLOUT) && (events & EPOLLIN) && has_ended_unsent(call);
    const bool connect_failed = call->connecting && (events & (EPOLLERR | EPOLLHUP));
    if (ends_unsent || connect_failed) {
        const int error = connect_failed ? take_socket_error(call) : 0;
        if (connect_failed)
            log_connect_failed(call, name_connect_error(error), error);
        call_fail(call);
        return;
    }
    if (events & EPOLLOUT) {
        call->connecting = false;
        loop_disarm(&call->connect_timer);
        call->send_failed = !call_write(call);
        if (call->send_failed && !(events & EPOLLIN)) {
            call_fail(call);
            return;
        }
    }
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        call_read(call); /* an early response is read even when the rest of the request can't be sent */
}

static void on_connect_timeout(void *arg)
{
    log_connect_failed(arg, "timeout", 0);
    call_fail(arg);
}

bool web_call_has_input(const web_call_t *call)
{
    struct pollfd readable = {.fd = call->watch.fd, .events = POLLIN};
    /* Uses poll, since recv would consume a reset, and the next read would look like an orderly end. */
    return poll(&readable, 1, 0) != 0;
}

/** An idle connection without pending input that has not expired, or NULL. */
static web_call_t *find_idle(web_client_t *client, const char *addr)
{
    const tc_time_t now = tc_time_now();
    web_call_t *call, *next;
    cds_list_for_each_entry_safe(call, next, &client->idle, node) {
        if (strcmp(call->addr, addr) != 0)
            continue;
        if (!web_call_has_input(call) && now < call->idle_until)
            return call;
        call_free(call);
    }
    return NULL;
}

/** Report from the loop that the connection could not be started. */
static void on_connect_failed(void *arg)
{
    call_fail(arg);
}

static web_call_t *connect_to(web_client_t *client, const char *addr, tc_time_t connect_ms)
{
    struct sockaddr_storage to = {0};
    unsigned size = 0;
    const int parsed = peer_parse_addr(addr, &to, &size, NULL);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    web_call_t *const call = g_new0(web_call_t, 1);
    call->client = client;
    codec_copy_string(call->addr, sizeof(call->addr), addr);
    call->watch = (loop_watch_t){.fd = fd, .on_io = call_on_io, .arg = call};
    web_headers_init(&call->headers);
    call->connecting = true;
    call->writing = true;
    call->connect_began = tc_time_now();
    counter_add(&c_opened, 1);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const int rc = parsed == TC_OK && fd >= 0 ? connect(fd, (const struct sockaddr *)&to, size) : -1;
    if (rc != 0 && (parsed != TC_OK || fd < 0 || errno != EINPROGRESS)) {
        loop_arm(client->loop, &call->connect_timer, tc_time_now(), on_connect_failed, call);
        return call;
    }
    loop_watch(client->loop, &call->watch, EPOLLIN | EPOLLOUT);
    loop_arm(client->loop, &call->connect_timer, tc_time_now() + connect_ms, on_connect_timeout, call);
    return call;
}

web_call_t *web_call(web_client_t *client, const char *addr, GByteArray *request, bool reuse, tc_time_t connect_ms,
                     const web_sink_t *sink)
{
    web_call_t *call = reuse ? find_idle(client, addr) : NULL;
    if (call) {
        counter_add(&c_reused, 1);
        cds_list_del(&call->node);
        call->idle = false;
        call->head_seen = call->skipping = call->complete = call->sent = false;
        call->written = 0;
        loop_watch_modify(client->loop, &call->watch, EPOLLIN | EPOLLOUT);
        call->writing = true;
    } else {
        call = connect_to(client, addr, connect_ms);
    }
    http_parser_init(&call->parser, HTTP_RESPONSE);
    call->parser.data = call;
    call->request = request;
    call->sink = *sink;
    cds_list_add(&call->node, &client->calls);
    return call;
}

void web_call_cancel(web_call_t *call)
{
    if (call->in_callback)
        call->cancelled = true; /* freed when the callback returns */
    else
        call_free(call);
}

bool web_call_sent(const web_call_t *call)
{
    return call->sent;
}

/* ===== Lifecycle ===== */

static void sweep(void *arg)
{
    web_client_t *const client = arg;
    const tc_time_t now = tc_time_now();
    web_call_t *call, *next;
    cds_list_for_each_entry_safe(call, next, &client->idle, node)
        if (now >= call->idle_until)
            call_free(call);
    loop_arm(client->loop, &client->sweep, now + SWEEP_MS, sweep, client);
}

web_client_t *web_client_create(loop_t *loop)
{
    web_client_t *const client = g_new0(web_client_t, 1);
    client->loop = loop;
    CDS_INIT_LIST_HEAD(&client->calls);
    CDS_INIT_LIST_HEAD(&client->idle);
    loop_arm(loop, &client->sweep, tc_time_now() + SWEEP_MS, sweep, client);
    return client;
}

void web_client_set_idle_max(web_client_t *client, unsigned idle_max)
{
    client->idle_max = idle_max;
}

void web_client_destroy(web_client_t *client)
{
    loop_disarm(&client->sweep);
    web_call_t *call, *next;
    cds_list_for_each_entry_safe(call, next, &client->calls, node)
        call_free(call);
    cds_list_for_each_entry_safe(call, next, &client->idle, node)
        call_free(call);
    g_free(client);
}
