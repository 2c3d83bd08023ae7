/* Memory set aside at a decode engine before the prompt is read: for boxes that place alone, whose guess of an engine's
 * room would otherwise be tested with a prompt that is read for nothing. */

#include <assert.h>
#include <string.h>

#include "common/counter.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_taken, "counter", "trackcove_hold_taken_total", "Times that memory was set aside at a decode engine")
COUNTER_DEFINE(c_refused, "counter", "trackcove_hold_refused_total", "Times that a decode engine had none to set aside")

/** One question to one engine. */
struct hold_call {
    forward_t *request;
    instance_t *instance;
    web_call_t *call;
    int status;
    GByteArray *body;
    loop_timer_t limit;
};

/* ===== Ending ===== */

static void call_free(hold_call_t *h)
{
    loop_disarm(&h->limit);
    h->request->hold.asking = NULL;
    instance_unref(h->instance);
    g_byte_array_free(h->body, TRUE);
    g_free(h);
}

void hold_forget(forward_t *f)
{
    if (f->hold.instance)
        instance_unref(f->hold.instance);
    g_free(f->hold.name);
    f->hold.instance = NULL;
    f->hold.name = NULL;
}

void hold_release(forward_t *f)
{
    if (f->hold.asking) {
        web_call_cancel(f->hold.asking->call);
        call_free(f->hold.asking);
    }
    if (f->hold.instance) {
        const char *const addr = f->hold.instance->listed.addr;
        call_and_forget(f->owner, addr, dialect_write_hold_drop(addr, f->hold.name));
    }
    hold_forget(f);
}

/* ===== The engine's answer ===== */

static void no_hold(hold_call_t *h, const char *why, bool refused)
{
    forward_t *const f = h->request;
    const tc_time_t now = tc_time_now();
    counter_add(&c_refused, 1);
    forward_log(f, "hold_refused", why, h->status, h->instance);
    if (refused)
        instance_refused(h->instance, now);
    else
        instance_failed(h->instance, now);
    g_ptr_array_add(f->tried, instance_ref(h->instance));
    call_free(h);
    forward_go_on(f);
}

static web_verdict_t on_head(void *arg, const web_head_t *head)
{
    ((hold_call_t *)arg)->status = head->status;
    return WEB_TAKE;
}

static void on_data(void *arg, const char *data, size_t size)
{
    g_byte_array_append(((hold_call_t *)arg)->body, (const guint8 *)data, (guint)size);
}

static void on_end(void *arg, web_end_t how)
{
    hold_call_t *const h = arg;
    forward_t *const f = h->request;
    char *const name =
        how == WEB_END_WHOLE && h->status == 200 ? dialect_read_hold((const char *)h->body->data, h->body->len) : NULL;
    if (!name) {
        no_hold(h, how == WEB_END_WHOLE ? "no room" : "no answer", how == WEB_END_WHOLE);
        return;
    }
    counter_add(&c_taken, 1);
    forward_log(f, "hold_taken", "memory set aside", h->status, h->instance);
    f->hold.instance = instance_ref(h->instance);
    f->hold.name = name;
    call_free(h);
    forward_go_on(f);
}

static void on_limit(void *arg)
{
    hold_call_t *const h = arg;
    web_call_cancel(h->call);
    no_hold(h, "no answer in time", false);
}

/* ===== Asking ===== */

bool hold_ask(forward_t *f)
{
    if (f->hold.instance || f->settings->hold_ttl == 0 || f->hold.tries >= HOLD_TRIES)
        return false;
    instance_t *const instance = forward_choose(f, STAGE_DECODE);
    if (!instance)
        return false;
    assert(!f->hold.asking); /* one question at a time */
    f->hold.tries++;
    hold_call_t *const h = g_new0(hold_call_t, 1);
    h->request = f;
    h->instance = instance;
    h->body = g_byte_array_new();
    f->hold.asking = h;
    const tc_time_t ttl = f->settings->hold_ttl < HOLD_MS ? f->settings->hold_ttl : HOLD_MS;
    const web_sink_t sink = {.on_head = on_head, .on_data = on_data, .on_end = on_end, .arg = h};
    const char *const addr = instance->listed.addr;
    h->call = web_call(f->owner->client, addr, dialect_write_hold(addr, f->facts.prompt_tokens, ttl), true, CONNECT_MS,
                       &sink);
    loop_arm(f->owner->loop, &h->limit, tc_time_now() + HOLD_ANSWER_MS, on_limit, h);
    return true;
}

bool hold_wait(forward_t *f)
{
    const tc_time_t until = f->handle.instance ? f->handle.until : f->request.arrived + PLACE_WAIT_MS;
    if (f->begun || !forward_try_soon(f, until))
        return false;
    f->hold.tries = 0;
    return true;
}
