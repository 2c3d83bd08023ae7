#include "web/web_fetch.h"

#include <assert.h>

static web_head_action_t on_head(void *arg, const web_head_t *head)
{
    web_fetch_t *const ask = arg;
    if (ask->on_head)
        ask->on_head(ask->arg, head);
    if (ask->is_ours && !ask->is_ours(head))
        return WEB_HEAD_SKIP;
    ask->status = head->status;
    return WEB_HEAD_ACCEPT;
}

static void on_data(void *arg, const char *data, size_t size)
{
    web_fetch_t *const ask = arg;
    if (ask->body_bytes == 0 || size <= ask->body_bytes - ask->body->len) {
        g_byte_array_append(ask->body, (const guint8 *)data, (guint)size);
        return;
    }
    web_fetch_cancel(ask);
    ask->fn(ask->arg, WEB_FETCH_FAILED);
}

static void on_end(void *arg, web_result_t how)
{
    web_fetch_t *const ask = arg;
    ask->call = NULL;
    loop_disarm(&ask->limit);
    ask->fn(ask->arg, how == WEB_RESULT_COMPLETE ? WEB_FETCH_OK : WEB_FETCH_FAILED);
}

static void on_limit(void *arg)
{
    web_fetch_t *const ask = arg;
    web_fetch_cancel(ask);
    ask->fn(ask->arg, WEB_FETCH_TIMEOUT);
}

void web_fetch(web_fetch_t *ask, const web_fetch_options_t *where, GByteArray *request, web_fetch_fn_t fn, void *arg)
{
    assert(!ask->call); /* its status and body are those of one call */
    ask->status = 0;
    g_byte_array_set_size(ask->body, 0);
    ask->is_ours = where->is_ours;
    ask->on_head = where->on_head;
    ask->body_bytes = where->body_bytes;
    ask->fn = fn;
    ask->arg = arg;
    const web_sink_t sink = {.on_head = on_head, .on_data = on_data, .on_end = on_end, .arg = ask};
    ask->call = web_call(where->client, where->addr, request, true, where->connect_ms, &sink);
    loop_arm(where->loop, &ask->limit, tc_time_now() + where->limit_ms, on_limit, ask);
}

void web_fetch_cancel(web_fetch_t *ask)
{
    if (ask->call)
        web_call_cancel(ask->call);
    ask->call = NULL;
    loop_disarm(&ask->limit);
}
