/* Memory set aside at a decode engine before the prompt is read: for boxes that place alone, whose guess of an engine's
 * room would otherwise be tested with a prompt that is read for nothing. */

#include <assert.h>
#include <string.h>

#include "common/counter.h"
#include "forward/forward_internal.h"
#include "web/web_ask.h"

COUNTER_DEFINE(c_taken, "counter", "trackcove_hold_taken_total", "Times that memory was set aside at a decode engine")
COUNTER_DEFINE(c_refused, "counter", "trackcove_hold_refused_total", "Times that a decode engine had none to set aside")

/** One question to one engine. */
struct hold_call {
    forward_t *request;
    instance_t *instance;
    web_ask_t ask;
};

/* ===== Ending ===== */

static void call_free(hold_call_t *h)
{
    web_ask_cancel(&h->ask);
    h->request->hold.asking = NULL;
    instance_unref(h->instance);
    g_byte_array_free(h->ask.body, TRUE);
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
    if (f->hold.asking)
        call_free(f->hold.asking);
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
    forward_log(f, "hold_refused", why, h->ask.status, h->instance);
    if (refused)
        instance_refused(h->instance, now);
    else
        instance_failed(h->instance, now);
    g_ptr_array_add(f->tried, instance_ref(h->instance));
    call_free(h);
    forward_go_on(f);
}

static void on_answer(void *arg, web_ask_end_t how)
{
    hold_call_t *const h = arg;
    forward_t *const f = h->request;
    if (how == WEB_ASK_LATE) {
        no_hold(h, "no answer in time", false);
        return;
    }
    const bool granted = how == WEB_ASK_WHOLE && h->ask.status == 200;
    char *const name = granted ? dialect_read_hold((const char *)h->ask.body->data, h->ask.body->len) : NULL;
    if (!name) {
        no_hold(h, how == WEB_ASK_WHOLE ? "no room" : "no answer", how == WEB_ASK_WHOLE);
        return;
    }
    counter_add(&c_taken, 1);
    forward_log(f, "hold_taken", "memory set aside", h->ask.status, h->instance);
    f->hold.instance = instance_ref(h->instance);
    f->hold.name = name;
    call_free(h);
    forward_go_on(f);
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
    h->ask.body = g_byte_array_new();
    f->hold.asking = h;
    const tc_time_t ttl = f->settings->hold_ttl < HOLD_MS ? f->settings->hold_ttl : HOLD_MS;
    const char *const addr = instance->listed.addr;
    const web_ask_where_t where = {.loop = f->owner->loop,
                                   .client = f->owner->client,
                                   .addr = addr,
                                   .connect_ms = CONNECT_MS,
                                   .limit_ms = HOLD_ANSWER_MS};
    web_ask(&h->ask, &where, dialect_write_hold(addr, f->facts.prompt_tokens, ttl), on_answer, h);
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
