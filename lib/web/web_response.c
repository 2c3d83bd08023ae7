/* Answers on their way to callers: whole, or piece by piece. */

#include <assert.h>
#include <errno.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include "web/web_server_internal.h"

/** Bytes waiting for a caller who does not read: then it is cut off. */
enum { OUT_MAX = 8 * 1024 * 1024 };
/** Sent bytes that may stay in front of those that wait: moving the rest has its cost. */
enum { SENT_KEPT = 64 * 1024 };

/* ===== Writing ===== */

static void exchange_want_write(web_exchange_t *c, bool want)
{
    if (c->writing == want)
        return;
    c->writing = want;
    loop_watch_modify(c->server->loop, &c->watch, EPOLLIN | EPOLLRDHUP | (want ? EPOLLOUT : 0u));
}

/** No byte of an answer is lost or doubled on its way through the buffer. */
static bool adds_up(const web_exchange_t *c)
{
    return c->put - c->sent == c->out->len - c->out_sent;
}

/** Forget bytes that have been sent, once they are many. */
static void drop_sent(web_exchange_t *c)
{
    if (c->out_sent < SENT_KEPT)
        return;
    g_byte_array_remove_range(c->out, 0, (guint)c->out_sent);
    c->out_sent = 0;
}

bool exchange_flush(web_exchange_t *c)
{
    assert(adds_up(c)); /* callers would get pieces that no back end made */
    while (c->out_sent < c->out->len) {
        const ssize_t n = send(c->watch.fd, c->out->data + c->out_sent, c->out->len - c->out_sent, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            if (!c->writing)
                c->since = tc_time_now();
            exchange_want_write(c, true);
            drop_sent(c);
            assert(adds_up(c)); /* what was dropped had been sent */
            return c->out->len <= OUT_MAX;
        }
        if (n < 0)
            return false;
        c->out_sent += (size_t)n;
        c->sent += (uint64_t)n;
        c->since = tc_time_now();
    }
    exchange_empty(&c->out);
    exchange_release_answer(c);
    c->out_sent = 0;
    exchange_want_write(c, false);
    assert(adds_up(c));
    return true;
}

size_t web_unsent(const web_exchange_t *c)
{
    return c->out->len - c->out_sent;
}

void exchange_release_answer(web_exchange_t *c)
{
    c->server->held -= c->answer_held;
    c->answer_held = 0;
}

void exchange_put(web_exchange_t *c, const void *data, size_t size)
{
    g_byte_array_append(c->out, data, (guint)size);
    c->put += size;
}

/* ===== Answering ===== */

void web_on_disconnect(web_exchange_t *c, loop_fn_t fn, void *arg)
{
    assert(c->state == EXCHANGE_HANDLING); /* only a request being handled can lose its caller */
    c->gone = fn;
    c->gone_arg = arg;
}

/** Whether the caller reads no body behind an answer of this status: a byte of one would stand before the next answer.
 */
static bool is_bodiless(const web_exchange_t *c, int status)
{
    return c->head_only || status == 204 || status == 304;
}

static void put_head(web_exchange_t *c, int status, const char *head)
{
    if (c->server->retiring)
        c->keep = false;
    GString *const text = g_string_new(NULL);
    g_string_printf(text, "HTTP/1.1 %d %s\r\n%s", status, http_status_str((enum http_status)status), head);
    g_string_append(text, c->keep ? "" : "Connection: close\r\n");
    exchange_put(c, text->str, text->len);
    g_string_free(text, TRUE);
}

static void on_next(void *arg)
{
    web_exchange_t *const c = arg;
    GByteArray *const data = c->ahead;
    c->ahead = g_byte_array_new();
    exchange_parse(c, (const char *)data->data, data->len);
    g_byte_array_free(data, TRUE);
}

/** The next request, if its bytes are here already. */
static void exchange_next(web_exchange_t *c)
{
    if (c->ahead->len > 0)
        loop_arm(c->server->loop, &c->next, tc_time_now(), on_next, c);
}

/** What belongs to one request ends with it. */
static void reset_request(web_exchange_t *c)
{
    c->gone = NULL;
    c->begun = c->in_body = false;
    c->head_only = c->bodiless = c->chunked = false;
}

static void finish(web_exchange_t *c)
{
    assert(c->state == EXCHANGE_HANDLING); /* an exchange ends once */
    c->server->busy--;
    reset_request(c);
    c->state = c->keep ? EXCHANGE_READING : EXCHANGE_CLOSING;
    c->since = tc_time_now();
    exchange_drop_body(c);
    if (!exchange_flush(c)) {
        exchange_close(c);
        return;
    }
    if (c->state == EXCHANGE_CLOSING) {
        if (c->out->len == 0)
            shutdown(c->watch.fd, SHUT_WR);
        return;
    }
    exchange_next(c);
}

void web_respond(web_exchange_t *c, int status, const char *head, const void *body, size_t size)
{
    GString *const all = g_string_new(head);
    c->bodiless = is_bodiless(c, status);
    if (!c->bodiless) /* else the length that it would have is not known here */
        g_string_append_printf(all, "Content-Length: %zu\r\n", size);
    put_head(c, status, all->str);
    g_string_free(all, TRUE);
    exchange_put(c, "\r\n", 2);
    if (!c->bodiless) {
        c->answer_held += size;
        c->server->held += size;
        exchange_put(c, body, size);
    }
    finish(c);
}

void web_begin_response(web_exchange_t *c, int status, const char *head)
{
    c->bodiless = is_bodiless(c, status);
    c->chunked = !c->old && !c->bodiless;
    c->unframed = c->old && !c->bodiless;
    if (c->old)
        c->keep = false; /* the end of the connection ends the answer */
    put_head(c, status, head);
    exchange_put(c, c->chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n", c->chunked ? 30 : 2);
    (void)exchange_flush(c); /* a break shows as an event */
}

void web_write(web_exchange_t *c, const void *data, size_t size)
{
    if (size == 0 || c->bodiless)
        return; /* an empty chunk would end the answer */
    char line[24];
    const int n = g_snprintf(line, sizeof(line), "%zx\r\n", size);
    if (c->chunked)
        exchange_put(c, line, (size_t)n);
    exchange_put(c, data, size);
    if (c->chunked)
        exchange_put(c, "\r\n", 2);
    if (!exchange_flush(c))
        shutdown(c->watch.fd, SHUT_RD); /* broken, or the caller takes nothing: the loop reports it as gone */
}

void web_end_response(web_exchange_t *c)
{
    if (c->chunked)
        exchange_put(c, "0\r\n\r\n", 5);
    finish(c);
}

void web_abort_response(web_exchange_t *c)
{
    c->gone = NULL;
    exchange_close(c);
}
