#include "web/web_fetch.h"

#include <assert.h>
#include <string.h>

#include "common/log.h"

static web_head_action_t on_head(void *arg, const web_head_t *head)
{
    web_fetch_t *const fetch = arg;
    if (fetch->on_head)
        fetch->on_head(fetch->arg, head);
    if (fetch->accepts_head && !fetch->accepts_head(head))
        return WEB_HEAD_SKIP;
    fetch->status = head->status;
    return WEB_HEAD_ACCEPT;
}

static void log_excess(const web_fetch_t *fetch, const char *kind, uint64_t bytes)
{
    log_line_t line;
    log_begin(&line, LOG_WARN, "fetch_over_limit");
    log_str(&line, "why", kind);
    log_str(&line, "addr", fetch->addr);
    log_int(&line, "bytes", (int64_t)bytes);
    log_end(&line);
}

static void on_excess(void *arg, const char *kind, uint64_t bytes)
{
    log_excess(arg, kind, bytes);
}

static void fail(web_fetch_t *fetch)
{
    web_fetch_cancel(fetch);
    fetch->fn(fetch->arg, WEB_FETCH_FAILED);
}

/** The sum of all answers has reached its limit. A body that is complete is dropped by those who have read it. */
static void on_buffer_ended(void *arg)
{
    web_fetch_t *const fetch = arg;
    log_excess(fetch, "answers of all back ends exceed the memory for them", fetch->body->len);
    g_byte_array_unref(fetch->body);
    fetch->body = g_byte_array_new();
    if (fetch->call)
        fail(fetch);
}

static void on_data(void *arg, const char *data, size_t size)
{
    web_fetch_t *const fetch = arg;
    if (buffer_share_set(&fetch->buffer, fetch->body->len + size))
        g_byte_array_append(fetch->body, (const guint8 *)data, (guint)size);
    else
        on_buffer_ended(fetch);
}

static void on_end(void *arg, web_result_t how)
{
    web_fetch_t *const fetch = arg;
    fetch->call = NULL;
    loop_disarm(&fetch->timeout_timer);
    fetch->fn(fetch->arg, how == WEB_RESULT_COMPLETE ? WEB_FETCH_OK : WEB_FETCH_FAILED);
}

static void on_timeout(void *arg)
{
    web_fetch_t *const fetch = arg;
    web_fetch_cancel(fetch);
    fetch->fn(fetch->arg, WEB_FETCH_TIMEOUT);
}

void web_fetch(web_fetch_t *fetch, const web_fetch_options_t *options, GByteArray *request, web_fetch_fn_t fn,
               void *arg)
{
    assert(!fetch->call);            /* status and body belong to one call at a time */
    assert(options->body_bytes > 0); /* any back end may send without end */
    buffer_share_close(&fetch->buffer);
    buffer_share_open(&fetch->buffer, web_client_budget(options->client), options->addr, on_buffer_ended, fetch);
    fetch->status = 0;
    g_byte_array_set_size(fetch->body, 0);
    fetch->accepts_head = options->accepts_head;
    fetch->on_head = options->on_head;
    fetch->fn = fn;
    fetch->arg = arg;
    const web_sink_t sink = {
        .on_head = on_head, .on_data = on_data, .on_excess = on_excess, .on_end = on_end, .arg = fetch};
    fetch->call = web_call(options->client, options->addr, request, true, options->connect_ms, &sink);
    web_call_limit_body(fetch->call, options->body_bytes);
    codec_copy_string(fetch->addr, sizeof(fetch->addr), options->addr);
    loop_arm(options->loop, &fetch->timeout_timer, tc_time_now() + options->limit_ms, on_timeout, fetch);
}

void web_fetch_cancel(web_fetch_t *fetch)
{
    if (fetch->call)
        web_call_cancel(fetch->call);
    fetch->call = NULL;
    buffer_share_close(&fetch->buffer);
    loop_disarm(&fetch->timeout_timer);
}
