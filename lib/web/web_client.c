#include "web/web_client_internal.h"

#include <assert.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/counter.h"
#include "common/mutant.h"

COUNTER_DEFINE(c_opened, "counter", "trackcove_backend_connections_opened_total", "Connections opened to back ends")
COUNTER_DEFINE(c_reused, "counter", "trackcove_backend_connections_reused_total", "Calls over a kept connection")

enum { READ_BYTES = 16 * 1024, SWEEP_MS = 500 };

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

void web_call_free(web_call_t *call)
{
    call_close(call);
    cds_list_del(&call->node);
    if (call->request)
        g_byte_array_free(call->request, TRUE);
    buffer_share_close(&call->head_buffer);
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
        web_call_free(call);
        return;
    }
    g_byte_array_free(call->request, TRUE);
    call->request = NULL;
    buffer_share_close(&call->head_buffer);
    web_headers_clear(&call->headers);
    loop_disarm(&call->strand_timer);
    call->idle = true;
    call->idle_until = tc_time_now() + call->idle_ms;
    cds_list_del(&call->node);
    cds_list_add(&call->node, &client->idle);
}

void web_call_finish(web_call_t *call, web_result_t how, bool keep)
{
    const web_sink_t sink = call->sink;
    call_release(call, keep);
    sink.on_end(sink.arg, how);
}

static bool is_direct(const web_call_t *call)
{
    return call->watch.fd >= 0 && !call->relay[0];
}

/** The connection failed or was closed early, or an answer exceeded a limit. */
void web_call_fail(web_call_t *call)
{
    if (call->idle) {
        web_call_free(call);
        return;
    }
    /* A kept connection may be closed at any moment, which says nothing about the path. */
    if (call->client->egress && is_direct(call) && !call->reused && !call->answered)
        egress_record_broken(call->client->egress, call->addr);
    if (call->meter.excess)
        web_call_report_excess(call);
    const bool sent = call->sent && !(MUTANT_IS(MUTANT_RELAYED_UNSENT) && call->relay[0]);
    web_call_finish(
        call, call->head_seen ? WEB_RESULT_TRUNCATED : (sent ? WEB_RESULT_NO_RESPONSE : WEB_RESULT_NOT_SENT), false);
}

/* ===== Reading ===== */

/** Bytes of a relayed connection: only its end mark, not the end of the connection to the relay, is the back end's. */
static void call_parse_tunnel(web_call_t *call, char *data, size_t size)
{
    const size_t payload = tunnel_decode(&call->tunnel, (uint8_t *)data, size);
    if (call->tunnel.damaged) {
        web_call_fail(call);
        return;
    }
    const bool ended = call->tunnel.ended;
    if (payload > 0 && !web_call_parse(call, data, payload))
        return;
    if (ended)
        (void)web_call_parse(call, data, 0);
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
        web_call_fail(call); /* unexpected input makes an idle connection unusable */
        return;
    }
    if (n > 0)
        note_answer(call);
    if (call->relay[0])
        call_parse_tunnel(call, data, (size_t)n);
    else
        (void)web_call_parse(call, data, (size_t)n);
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
        web_call_fail(call);
        return;
    }
    if (events & EPOLLOUT) {
        call->send_failed = !call_write(call);
        if (call->send_failed && !(events & EPOLLIN)) {
            web_call_fail(call);
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
        web_call_free(call);
    }
    return NULL;
}

static void on_dialed(void *arg, const dial_result_t *result)
{
    web_call_t *const call = arg;
    if (result->outcome != DIAL_OPENED) {
        web_call_fail(call);
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
    web_call_begin_response(call);
    call->request = request;
    call->sink = *sink;
    cds_list_add(&call->node, &client->calls);
    return call;
}

void web_call_limit_body(web_call_t *call, size_t bytes)
{
    call->meter.body_max = bytes;
}

void web_call_cancel(web_call_t *call)
{
    if (call->in_callback)
        call->cancelled = true; /* freed when the callback returns */
    else
        web_call_free(call);
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
        web_call_fail(call);
}

/** The path to @p addr is cut: connections that were opened before hang. Only kept ones carry requests that may be sent
 *  again, so the others keep waiting: the path may heal. */
static void on_cut(void *arg, const char *addr)
{
    web_client_t *const client = arg;
    web_call_t *call, *next;
    cds_list_for_each_entry_safe(call, next, &client->idle, node)
        if (is_direct(call) && strcmp(call->addr, addr) == 0)
            web_call_free(call);
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
            web_call_free(call);
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

void web_client_set_budget(web_client_t *client, buffer_budget_t *budget)
{
    client->budget = budget;
}

buffer_budget_t *web_client_budget(const web_client_t *client)
{
    return client->budget;
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
        web_call_free(call);
    cds_list_for_each_entry_safe(call, next, &client->idle, node)
        web_call_free(call);
    g_free(client);
}
