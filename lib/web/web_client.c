#include "web/web_client.h"

#include <assert.h>
#include <errno.h>
#include <http_parser.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/list.h>

#include "common/counter.h"
#include "common/figure.h"
#include "common/mutant.h"
#include "egress/dial.h"
#include "egress/tunnel.h"

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
    dial_t dial;                /* until connected */
    loop_watch_t watch;         /* fd is -1 until connected */
    char relay[CODEC_STR_SIZE]; /* address of the relay that the connection goes through; "": it is direct */
    tunnel_reader_t tunnel;
    tc_time_t opened_at; /* when the connection was begun */
    bool writing, idle;
    bool reused;      /* the connection has served another call before */
    bool answered;    /* bytes came for this call */
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
    loop_timer_t strand_timer; /* ends a call that a cut leaves hanging */
    tc_time_t idle_until;
    tc_time_t idle_ms;
};

struct web_client {
    loop_t *loop;
    egress_t *egress; /* NULL: all connections are direct */
    struct cds_list_head calls;
    struct cds_list_head idle;
    loop_timer_t sweep;
    unsigned idle_max;
};

static void call_on_io(void *arg, uint32_t events);

/* ===== Connections ===== */

static void call_close(web_call_t *call)
{
    dial_cancel(&call->dial);
    loop_disarm(&call->strand_timer);
    if (call->watch.fd < 0)
        return;
    loop_unwatch(call->client->loop, &call->watch);
    close(call->watch.fd);
    call->watch.fd = -1;
    if (call->relay[0])
        egress_record_closed(call->client->egress, call->relay);
}

static void call_free(web_call_t *call)
{
    call_close(call);
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
    loop_disarm(&call->strand_timer);
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

static bool is_direct(const web_call_t *call)
{
    return call->watch.fd >= 0 && !call->relay[0];
}

/** The connection failed or was closed early. */
static void call_fail(web_call_t *call)
{
    if (call->idle) {
        call_free(call);
        return;
    }
    /* A kept connection may be closed at any moment, which says nothing about the path. */
    if (call->client->egress && is_direct(call) && !call->reused && !call->answered)
        egress_record_broken(call->client->egress, call->addr);
    const bool sent = call->sent && !(MUTANT_IS(MUTANT_RELAYED_UNSENT) && call->relay[0]);
    call_finish(call, call->head_seen ? WEB_RESULT_TRUNCATED : (sent ? WEB_RESULT_NO_RESPONSE : WEB_RESULT_NOT_SENT),
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
    uint64_t seconds = 0;
    (void)figure_parse(at + strlen("timeout="), FIGURE_SPAN_MAX_MS / 1000, &seconds); /* 0: used for one request */
    const tc_time_t ms = (tc_time_t)seconds * 1000;
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
    if (!web_headers_strip_names(&call->headers) || !web_headers_are_valid(&call->headers))
        return STOP_PARSING;
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

/** Feed bytes to the parser; size 0 is an orderly end of the connection. May free the call.
 *  @return whether the call goes on */
static bool call_parse(web_call_t *call, const char *data, size_t size)
{
    const size_t used = http_parser_execute(&call->parser, &parser_settings, data, size);
    if (call->cancelled) {
        call_free(call);
        return false;
    }
    if (call->complete) {
        http_parser_pause(&call->parser, 0);
        /* If the response came before the whole request was sent, the rest is still due on this connection,
         * which then cannot be reused. */
        const bool sent = call->written == call->request->len;
        const bool keep =
            sent && size > 0 && used == size && !call->tunnel.ended && http_should_keep_alive(&call->parser);
        call_finish(call, WEB_RESULT_COMPLETE, keep);
        return false;
    }
    const bool broken = size == 0 || HTTP_PARSER_ERRNO(&call->parser) != HPE_OK;
    if (broken && size > 0 && call->sent)
        call_finish(call, WEB_RESULT_INVALID, false); /* the path carries bytes, so it is not broken */
    else if (broken)
        call_fail(call);
    return !broken;
}

/** Bytes of a relayed connection: only its end mark, not the end of the connection to the relay, is the back end's. */
static void call_parse_tunnel(web_call_t *call, char *data, size_t size)
{
    const size_t payload = tunnel_decode(&call->tunnel, (uint8_t *)data, size);
    if (call->tunnel.damaged) {
        call_fail(call);
        return;
    }
    const bool ended = call->tunnel.ended;
    if (payload > 0 && !call_parse(call, data, payload))
        return;
    if (ended)
        (void)call_parse(call, data, 0);
}

/** Records that bytes came for this call. */
static void note_answer(web_call_t *call)
{
    if (call->answered)
        return;
    call->answered = true;
    if (call->client->egress && is_direct(call))
        egress_record_answer(call->client->egress, call->addr, call->opened_at);
}

static void call_read(web_call_t *call)
{
    char data[READ_BYTES];
    const ssize_t n = recv(call->watch.fd, data, sizeof(data), 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return;
    /* The kernel reports a reset once. If send got it, recv sees what looks like an orderly end. */
    if (n < 0 || (n == 0 && (call->send_failed || call->relay[0])) || call->idle) {
        call_fail(call); /* unexpected input makes an idle connection unusable */
        return;
    }
    if (n > 0)
        note_answer(call);
    if (call->relay[0])
        call_parse_tunnel(call, data, (size_t)n);
    else
        (void)call_parse(call, data, (size_t)n);
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

static void call_on_io(void *arg, uint32_t events)
{
    web_call_t *const call = arg;
    const bool ends_unsent = (events & EPOLLOUT) && (events & EPOLLIN) && has_ended_unsent(call);
    if (ends_unsent) {
        call_fail(call);
        return;
    }
    if (events & EPOLLOUT) {
        call->send_failed = !call_write(call);
        if (call->send_failed && !(events & EPOLLIN)) {
            call_fail(call);
            return;
        }
    }
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        call_read(call); /* an early response is read even when the rest of the request can't be sent */
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
    const bool relayed_only = client->egress && egress_prefers_relay(client->egress, addr);
    web_call_t *call, *next;
    cds_list_for_each_entry_safe(call, next, &client->idle, node) {
        if (strcmp(call->addr, addr) != 0 || (relayed_only && !call->relay[0]))
            continue;
        if (!web_call_has_input(call) && now < call->idle_until)
            return call;
        call_free(call);
    }
    return NULL;
}

static void on_dialed(void *arg, const dial_result_t *result)
{
    web_call_t *const call = arg;
    if (result->outcome != DIAL_OPENED) {
        call_fail(call);
        return;
    }
    call->watch.fd = result->fd;
    codec_copy_string(call->relay, sizeof(call->relay), result->relay ? result->relay : "");
    call->writing = true;
    loop_watch(call->client->loop, &call->watch, EPOLLIN | EPOLLOUT);
}

static web_call_t *connect_to(web_client_t *client, const char *addr, tc_time_t connect_ms)
{
    web_call_t *const call = g_new0(web_call_t, 1);
    call->client = client;
    codec_copy_string(call->addr, sizeof(call->addr), addr);
    call->watch = (loop_watch_t){.fd = -1, .on_io = call_on_io, .arg = call};
    call->opened_at = tc_time_now();
    web_headers_init(&call->headers);
    counter_add(&c_opened, 1);
    dial_start(&call->dial, client->loop, client->egress, addr, connect_ms, on_dialed, call);
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
        call->reused = true;
        call->answered = false;
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

const char *web_call_relay(const web_call_t *call)
{
    return call->relay;
}

/* ===== Cut paths ===== */

static void on_stranded(void *arg)
{
    web_call_t *const call = arg;
    if (!call->answered)
        call_fail(call);
}

/** The path to @p addr is cut: connections that were opened before hang. Only kept ones carry requests that may be sent
 *  again, so the others keep waiting: the path may heal. */
static void on_cut(void *arg, const char *addr)
{
    web_client_t *const client = arg;
    web_call_t *call, *next;
    cds_list_for_each_entry_safe(call, next, &client->idle, node)
        if (is_direct(call) && strcmp(call->addr, addr) == 0)
            call_free(call);
    cds_list_for_each_entry(call, &client->calls, node)
        if (is_direct(call) && call->reused && strcmp(call->addr, addr) == 0)
            loop_arm(client->loop, &call->strand_timer, tc_time_now(), on_stranded, call);
}

void web_client_set_egress(web_client_t *client, egress_t *egress)
{
    client->egress = egress;
    egress_on_cut(egress, on_cut, client);
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
    if (client->egress)
        egress_on_cut(client->egress, NULL, NULL);
    web_call_t *call, *next;
    cds_list_for_each_entry_safe(call, next, &client->calls, node)
        call_free(call);
    cds_list_for_each_entry_safe(call, next, &client->idle, node)
        call_free(call);
    g_free(client);
}
