/* Responses to callers, buffered or streamed. */

#include <assert.h>
#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "web/web_server_internal.h"

/** Maximum of unsent bytes of a response in progress; a whole one has the size that its back end was allowed. A caller
 * that does not read and exceeds it is disconnected. */
enum { OUT_MAX_BYTES = 8 * 1024 * 1024 };
/** Sent bytes are removed from the front of the buffer only from this size and this part of the buffer on, since the
 * rest must be copied. */
enum { COMPACT_MIN_BYTES = 64 * 1024, COMPACT_PART = 4 };

/* ===== Writing ===== */

static void watch(web_exchange_t *c)
{
    loop_watch_modify(c->server->loop, &c->watch,
                      EPOLLRDHUP | (c->paused ? 0u : EPOLLIN) | (c->writing ? EPOLLOUT : 0u));
}

static void exchange_want_write(web_exchange_t *c, bool want)
{
    if (c->writing == want)
        return;
    c->writing = want;
    watch(c);
}

void exchange_pause(web_exchange_t *c, bool paused)
{
    if (c->paused == paused)
        return;
    c->paused = paused;
    watch(c);
}

/** Whether the byte counts match the buffer: no byte was lost or duplicated. */
static bool is_out_consistent(const web_exchange_t *c)
{
    return c->bytes_queued - c->bytes_sent == c->out->len - c->out_sent;
}

/** Remove sent bytes from the front of the buffer, once there are enough of them. The rest gets a new buffer: an array
 * that shrinks keeps its memory. */
static void compact_out(web_exchange_t *c)
{
    if (c->out_sent < COMPACT_MIN_BYTES || c->out_sent < c->out->len / COMPACT_PART)
        return;
    const guint left = (guint)web_unsent(c);
    GByteArray *const rest = g_byte_array_sized_new(left);
    g_byte_array_append(rest, c->out->data + c->out_sent, left);
    g_byte_array_free(c->out, TRUE);
    c->out = rest;
    c->out_sent = 0;
}

bool exchange_flush(web_exchange_t *c)
{
    if (c->broken)
        return false;
    assert(is_out_consistent(c)); /* otherwise callers would get data that no back end sent */
    while (c->out_sent < c->out->len) {
        const ssize_t n = send(c->watch.fd, c->out->data + c->out_sent, c->out->len - c->out_sent, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            if (!c->writing)
                c->progress_at = tc_time_now();
            exchange_want_write(c, true);
            compact_out(c);
            assert(is_out_consistent(c)); /* only sent bytes were removed */
            const bool fits = c->state != EXCHANGE_HANDLING || web_unsent(c) <= OUT_MAX_BYTES;
            return fits && buffer_share_set(&c->unsent, c->out->len);
        }
        if (n < 0)
            return false;
        c->out_sent += (size_t)n;
        c->bytes_sent += (uint64_t)n;
        c->progress_at = tc_time_now();
    }
    exchange_reset_buffer(&c->out);
    exchange_uncount_response(c);
    (void)buffer_share_set(&c->unsent, 0);
    c->out_sent = 0;
    exchange_want_write(c, false);
    assert(is_out_consistent(c));
    return true;
}

size_t web_unsent(const web_exchange_t *c)
{
    return c->out->len - c->out_sent;
}

void exchange_uncount_response(web_exchange_t *c)
{
    c->server->buffered_bytes -= c->response_counted;
    c->response_counted = 0;
}

void exchange_queue(web_exchange_t *c, const void *data, size_t size)
{
    if (c->broken)
        return;
    g_byte_array_append(c->out, data, (guint)size);
    c->bytes_queued += size;
}

/* ===== Responses ===== */

void web_on_disconnect(web_exchange_t *c, loop_fn_t fn, void *arg)
{
    assert(c->state == EXCHANGE_HANDLING); /* only a request being handled can lose its caller */
    c->on_disconnect = fn;
    c->disconnect_arg = arg;
}

/** Whether a response with this status has no body. A body byte would be read as the start of the next response. */
static bool is_bodiless(const web_exchange_t *c, int status)
{
    return c->head_only || status == 204 || status == 304;
}

static void queue_head(web_exchange_t *c, int status, const char *head)
{
    if (c->server->draining)
        c->keep_alive = false;
    GString *const text = g_string_new(NULL);
    g_string_printf(text, "HTTP/1.1 %d %s\r\n%s", status, http_status_str((enum http_status)status), head);
    g_string_append(text, c->keep_alive ? "" : "Connection: close\r\n");
    exchange_queue(c, text->str, text->len);
    g_string_free(text, TRUE);
}

static void on_next_request(void *arg)
{
    web_exchange_t *const c = arg;
    GByteArray *const data = c->pipelined;
    c->pipelined = g_byte_array_new();
    exchange_pause(c, false);
    exchange_parse(c, (const char *)data->data, data->len);
    g_byte_array_free(data, TRUE);
}

/** Schedule parsing of the next request, if bytes of it have been read already. */
static void exchange_schedule_next(web_exchange_t *c)
{
    if (c->pipelined->len > 0)
        loop_arm(c->server->loop, &c->next_timer, tc_time_now(), on_next_request, c);
}

/** Clear the state of one request. */
static void reset_request(web_exchange_t *c)
{
    c->on_disconnect = NULL;
    c->request_started = c->in_body = false;
    c->head_only = c->bodiless = c->chunked = false;
}

static void finish_response(web_exchange_t *c)
{
    assert(c->state == EXCHANGE_HANDLING); /* an exchange ends exactly once */
    c->server->in_flight--;
    reset_request(c);
    c->state = c->keep_alive ? EXCHANGE_READING : EXCHANGE_CLOSING;
    c->progress_at = tc_time_now();
    exchange_free_body(c);
    if (!exchange_flush(c)) {
        exchange_close(c);
        return;
    }
    if (c->state == EXCHANGE_CLOSING) {
        exchange_pause(c, false); /* input is dropped from now on */
        if (c->out->len == 0)
            shutdown(c->watch.fd, SHUT_WR);
        return;
    }
    exchange_schedule_next(c);
}

/** Put the head of a complete response into the output buffer. @param size of the body that follows */
static void queue_whole_head(web_exchange_t *c, int status, const char *head, size_t size)
{
    GString *const all = g_string_new(head);
    c->bodiless = is_bodiless(c, status);
    if (!c->bodiless) /* for HEAD, 204 and 304 the length that the body would have is unknown here */
        g_string_append_printf(all, "Content-Length: %zu\r\n", size);
    queue_head(c, status, all->str);
    g_string_free(all, TRUE);
    exchange_queue(c, "\r\n", 2);
    if (!c->bodiless) {
        c->response_counted += size;
        c->server->buffered_bytes += size;
    }
}

void web_respond(web_exchange_t *c, int status, const char *head, const void *body, size_t size)
{
    queue_whole_head(c, status, head, size);
    if (!c->bodiless)
        exchange_queue(c, body, size);
    finish_response(c);
}

void web_respond_owned(web_exchange_t *c, int status, const char *head, GByteArray *body)
{
    queue_whole_head(c, status, head, body->len);
    if (c->bodiless) {
        g_byte_array_unref(body);
    } else { /* a copy would double what a large body takes */
        c->bytes_queued += body->len;
        g_byte_array_prepend(body, c->out->data, c->out->len);
        g_byte_array_unref(c->out);
        c->out = body;
    }
    finish_response(c);
}

void web_begin_response(web_exchange_t *c, int status, const char *head)
{
    c->bodiless = is_bodiless(c, status);
    c->chunked = !c->is_http10 && !c->bodiless;
    c->unframed = c->is_http10 && !c->bodiless;
    if (c->is_http10)
        c->keep_alive = false; /* the end of the connection ends the response */
    queue_head(c, status, head);
    exchange_queue(c, c->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n", c->chunked ? 30 : 2);
    (void)exchange_flush(c); /* a broken connection shows up as an event */
}

void web_write(web_exchange_t *c, const void *data, size_t size)
{
    if (size == 0 || c->bodiless)
        return; /* an empty chunk would end the response */
    char line[24];
    const int n = g_snprintf(line, sizeof(line), "%zx\r\n", size);
    if (c->chunked)
        exchange_queue(c, line, (size_t)n);
    exchange_queue(c, data, size);
    if (c->chunked)
        exchange_queue(c, "\r\n", 2);
    if (!exchange_flush(c))
        shutdown(c->watch.fd, SHUT_RD); /* broken, or too much unsent: the loop then reports the disconnect */
}

void web_end_response(web_exchange_t *c)
{
    if (c->chunked)
        exchange_queue(c, "0\r\n\r\n", 5);
    finish_response(c);
}

void web_abort_response(web_exchange_t *c)
{
    c->on_disconnect = NULL;
    exchange_close(c);
}
