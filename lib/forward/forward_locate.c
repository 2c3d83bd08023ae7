/* Streams that their callers take up again: the engine that carried the answer is likely to keep the prompt, so that
 * nothing has to be computed anew there. Engines are asked what they keep, since the box that placed the request is
 * gone more often than not. */

#include <assert.h>
#include <string.h>

#include "common/counter.h"
#include "forward/forward_internal.h"
#include "web/web_ask.h"

COUNTER_DEFINE(c_looked, "counter", "trackcove_locate_looked_total", "Streams whose prompt was looked for at engines")
COUNTER_DEFINE(c_found, "counter", "trackcove_locate_found_total", "Those of which an engine kept most of the prompt")

/** Of a prompt, an engine must keep so much for the stream to be sent there: it reads what is missing at half pace. */
static const double KEPT_MIN = 0.5;

/** One question to one engine. */
struct locate_call {
    forward_t *request;
    instance_t *instance;
    web_ask_t ask;
    locate_call_t *next;
};

static void call_free(locate_call_t *c)
{
    web_ask_cancel(&c->ask);
    instance_unref(c->instance);
    g_byte_array_unref(c->ask.body);
    g_free(c);
}

void locate_end(forward_t *f)
{
    while (f->locate.calls) {
        locate_call_t *const c = f->locate.calls;
        f->locate.calls = c->next;
        call_free(c);
    }
    f->locate.waiting = 0;
    if (f->locate.instance)
        instance_unref(f->locate.instance);
    f->locate.instance = NULL;
}

/** Keep what was found, if it is worth it. */
static void settle(forward_t *f)
{
    const bool found = f->locate.instance && f->locate.tokens >= KEPT_MIN * f->facts.prompt_tokens;
    counter_add(&c_looked, 1);
    counter_add(&c_found, found);
    forward_log(f, "located", found ? "an engine keeps the prompt" : "no engine keeps the prompt", 0,
                f->locate.instance);
    if (!found && f->locate.instance) {
        instance_unref(f->locate.instance);
        f->locate.instance = NULL;
    }
}

static void remember(instance_t *instance, GByteArray *answer)
{
    if (instance->kept)
        g_byte_array_unref(instance->kept);
    instance->kept = g_byte_array_ref(answer);
    instance->kept_at = tc_time_now();
}

/** Take the instance when it keeps more of the prompt than the best so far, by what it told last. */
static void compare(forward_t *f, instance_t *instance)
{
    const unsigned tokens = dialect_read_kept((const char *)instance->kept->data, instance->kept->len, &f->facts);
    if (tokens <= f->locate.tokens)
        return;
    if (f->locate.instance)
        instance_unref(f->locate.instance);
    f->locate.instance = instance_ref(instance);
    f->locate.tokens = tokens;
}

static void on_answer(void *arg, web_ask_end_t how)
{
    locate_call_t *const c = arg;
    forward_t *const f = c->request;
    if (how == WEB_ASK_WHOLE && c->ask.status == 200) {
        remember(c->instance, c->ask.body);
        compare(f, c->instance);
    }
    assert(f->locate.waiting > 0); /* counted when it was asked */
    if (--f->locate.waiting > 0)
        return; /* all answer, or are late */
    settle(f);
    forward_go_on(f);
}

static void ask(void *arg, instance_t *instance)
{
    forward_t *const f = arg;
    if (instance->kept && tc_time_now() - instance->kept_at < LOCATE_FRESH_MS) {
        compare(f, instance);
        return;
    }
    locate_call_t *const c = g_new0(locate_call_t, 1);
    c->request = f;
    c->instance = instance_ref(instance);
    c->ask.body = g_byte_array_new();
    c->next = f->locate.calls;
    f->locate.calls = c;
    f->locate.waiting++;
    const char *const addr = instance->listed.addr;
    const web_ask_where_t where = {.loop = f->owner->loop,
                                   .client = f->owner->client,
                                   .addr = addr,
                                   .connect_ms = LOCATE_MS,
                                   .limit_ms = LOCATE_MS};
    web_ask(&c->ask, &where, dialect_write_kept(addr), on_answer, c);
}

void locate_take(forward_t *f, instance_t *instance)
{
    locate_end(f);
    f->locate.asked = true;
    f->locate.instance = instance_ref(instance);
}

bool locate_ask(forward_t *f)
{
    if (f->locate.asked || !f->facts.resume_after[0] || f->facts.parts_n == 0)
        return false;
    f->locate.asked = true;
    fleet_each(f->owner->fleet, f->service, STAGE_DECODE, ask, f);
    if (f->locate.waiting > 0)
        return true;
    settle(f);
    return false;
}
