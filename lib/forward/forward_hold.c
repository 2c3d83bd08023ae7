/* Memory set aside at a decode engine before the prompt is read: for boxes that place alone, whose guess of an engine's
 * room would otherwise be tested with a prompt that is read for nothing. */

#include <assert.h>
#include <string.h>

#include "common/counter.h"
#include "common/mechanism.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_taken, "counter", "trackcove_hold_taken_total", "Times that memory was set aside at a decode engine")
COUNTER_DEFINE(c_refused, "counter", "trackcove_hold_refused_total", "Times that a decode engine had none to set aside")

/* ===== Ending ===== */

static void drop_question(forward_t *f)
{
    if (f->hold.asking)
        engine_ask_free(f->hold.asking);
    f->hold.asking = NULL;
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
    drop_question(f);
    if (f->hold.instance && f->hold.instance->present && tc_time_now() < f->hold.until)
        upkeep_call(f->owner, f->hold.instance,
                    dialect_write_hold_release(f->hold.instance->listed.addr, f->hold.name));
    hold_forget(f);
}

void hold_check(forward_t *f)
{
    if (f->hold.instance && (tc_time_now() >= f->hold.until || !instance_accepts_work(f->hold.instance, tc_time_now())))
        hold_release(f);
}

/* ===== The engine's answer ===== */

static void no_hold(const engine_ask_t *h, const char *why, bool refused)
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
    drop_question(f);
    forward_go_on(f);
}

static void on_answer(void *arg, web_ask_end_t how)
{
    const engine_ask_t *const h = arg;
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
    drop_question(f);
    forward_go_on(f);
}

/* ===== Asking ===== */

bool hold_ask(forward_t *f)
{
    if (!mechanism_is_on(MECHANISM_HOLDS) || f->hold.instance || f->settings->hold_ttl == 0 ||
        f->hold.tries >= HOLD_TRIES)
        return false;
    instance_t *const instance = forward_choose(f, STAGE_DECODE);
    if (!instance)
        return false;
    assert(!f->hold.asking); /* one question at a time */
    f->hold.tries++;
    static const engine_ask_limits_t limits = {.connect_ms = CONNECT_MS, .answer_ms = HOLD_ANSWER_MS};
    const tc_time_t ttl = f->settings->hold_ttl < HOLD_MS ? f->settings->hold_ttl : HOLD_MS;
    GByteArray *const request = dialect_write_hold(instance->listed.addr, f->facts.prompt_tokens, ttl);
    f->hold.until = tc_time_now() + ttl - HOLD_WAY_MS;
    f->hold.asking = engine_ask(f, instance, request, &limits, on_answer);
    return true;
}

bool hold_wait(forward_t *f)
{
    const tc_time_t until = f->handle.instance ? f->handle.until : place_until(f);
    if (!forward_try_soon(f, until))
        return false;
    f->hold.tries = 0;
    return true;
}
