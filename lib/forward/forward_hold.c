/* Memory reservations at decode engines, made before the prompt is read. Boxes that place locally use them: without a
 * reservation, a wrong guess of an engine's free memory would waste a prefill. */

#include <assert.h>
#include <string.h>

#include "common/counter.h"
#include "common/feature.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_taken, "counter", "trackcove_hold_taken_total", "Times that memory was set aside at a decode engine")
COUNTER_DEFINE(c_refused, "counter", "trackcove_hold_refused_total", "Times that a decode engine had none to set aside")

/* ===== Ending ===== */

static void drop_query(forward_t *f)
{
    if (f->hold.query)
        engine_query_free(f->hold.query);
    f->hold.query = NULL;
}

void hold_clear(forward_t *f)
{
    if (f->hold.instance)
        instance_unref(f->hold.instance);
    g_free(f->hold.name);
    f->hold.instance = NULL;
    f->hold.name = NULL;
}

void hold_release(forward_t *f)
{
    drop_query(f);
    if (f->hold.instance && f->hold.instance->present && tc_time_now() < f->hold.until)
        cleanup_call(f->owner, f->hold.instance,
                     dialect_write_hold_release(f->hold.instance->listed.addr, f->hold.name));
    hold_clear(f);
}

void hold_drop_unusable(forward_t *f)
{
    if (f->hold.instance && (tc_time_now() >= f->hold.until || !instance_accepts_work(f->hold.instance, tc_time_now())))
        hold_release(f);
}

/* ===== Answers ===== */

static void hold_failed(const engine_query_t *h, const char *why, bool refused)
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
    drop_query(f);
    forward_continue(f);
}

static void on_answer(void *arg, web_fetch_result_t how)
{
    const engine_query_t *const h = arg;
    forward_t *const f = h->request;
    if (how == WEB_FETCH_TIMEOUT) {
        hold_failed(h, "engine did not answer in time", false);
        return;
    }
    const bool granted = how == WEB_FETCH_OK && h->ask.status == 200;
    char *const name = granted ? dialect_read_hold((const char *)h->ask.body->data, h->ask.body->len) : NULL;
    if (!name) {
        hold_failed(h, how == WEB_FETCH_OK ? "engine has no room" : "engine did not answer", how == WEB_FETCH_OK);
        return;
    }
    counter_add(&c_taken, 1);
    forward_log(f, "hold_taken", "memory reserved", h->ask.status, h->instance);
    f->hold.instance = instance_ref(h->instance);
    f->hold.name = name;
    drop_query(f);
    forward_continue(f);
}

/* ===== Requests ===== */

bool hold_request(forward_t *f)
{
    if (!feature_is_enabled(FEATURE_HOLDS) || f->hold.instance || f->settings->hold_ttl == 0 ||
        f->hold.tries >= HOLD_TRIES_MAX)
        return false;
    instance_t *const instance = forward_choose(f, STAGE_DECODE);
    if (!instance)
        return false;
    assert(!f->hold.query); /* one query at a time */
    f->hold.tries++;
    static const engine_query_limits_t limits = {.connect_ms = CONNECT_TIMEOUT_MS, .answer_ms = HOLD_TIMEOUT_MS};
    const tc_time_t ttl = f->settings->hold_ttl < HOLD_MS ? f->settings->hold_ttl : HOLD_MS;
    GByteArray *const request = dialect_write_hold(instance->listed.addr, f->facts.prompt_tokens, ttl);
    f->hold.until = tc_time_now() + ttl - HOLD_TRANSIT_MS;
    f->hold.query = engine_query(f, instance, request, &limits, on_answer);
    return true;
}

bool hold_request_later(forward_t *f)
{
    const tc_time_t until = f->handle.instance ? f->handle.until : place_wait_until(f);
    if (!forward_retry_soon(f, until))
        return false;
    f->hold.tries = 0;
    return true;
}
