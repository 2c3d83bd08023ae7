/* Streams that their callers take up again: the engine that carried the answer is likely to keep the prompt, so that
 * nothing has to be computed anew there. Engines are asked what they keep, since the box that placed the request is
 * gone more often than not. */

#include <assert.h>
#include <string.h>

#include "common/counter.h"
#include "common/mechanism.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_looked, "counter", "trackcove_locate_looked_total", "Streams whose prompt was looked for at engines")
COUNTER_DEFINE(c_asked, "counter", "trackcove_locate_asked_total", "Questions to engines which prompts they keep")
COUNTER_DEFINE(c_found, "counter", "trackcove_locate_found_total", "Those of which an engine kept most of the prompt")

/** Of a prompt, an engine must keep so much for the stream to be sent there: it reads what is missing at half pace. */
static const double KEPT_MIN = 0.5;

/* ===== Ending ===== */

void locate_end(forward_t *f)
{
    while (f->locate.asks) {
        engine_ask_t *const question = f->locate.asks;
        f->locate.asks = question->next;
        engine_ask_free(question);
    }
    f->owner->locating -= f->locate.waiting;
    f->locate.waiting = 0;
    if (f->locate.instance)
        instance_unref(f->locate.instance);
    f->locate.instance = NULL;
}

/* ===== Answers ===== */

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
    if (instance->prefix_report)
        g_byte_array_unref(instance->prefix_report);
    instance->prefix_report = g_byte_array_ref(answer);
    instance->prefix_report_at = tc_time_now();
}

/** Take the instance when it keeps more of the prompt than the best so far, by what it told last. */
static void compare(forward_t *f, instance_t *instance)
{
    const unsigned tokens = dialect_read_cached_tokens((const char *)instance->prefix_report->data,
                                                       instance->prefix_report->len, &f->facts);
    if (tokens <= f->locate.tokens)
        return;
    if (f->locate.instance)
        instance_unref(f->locate.instance);
    f->locate.instance = instance_ref(instance);
    f->locate.tokens = tokens;
}

static void on_answer(void *arg, web_ask_end_t how)
{
    const engine_ask_t *const question = arg;
    forward_t *const f = question->request;
    if (how == WEB_ASK_WHOLE && question->ask.status == 200) {
        remember(question->instance, question->ask.body);
        compare(f, question->instance);
    }
    assert(f->locate.waiting > 0 && f->owner->locating > 0); /* counted when it was asked */
    f->owner->locating--;
    if (--f->locate.waiting > 0)
        return; /* all answer, or are late */
    settle(f);
    forward_go_on(f);
}

/* ===== Asking ===== */

static void ask(void *arg, instance_t *instance)
{
    static const engine_ask_limits_t limits = {.connect_ms = LOCATE_MS, .answer_ms = LOCATE_MS};
    forward_t *const f = arg;
    if (instance->prefix_report && tc_time_now() - instance->prefix_report_at < LOCATE_FRESH_MS) {
        compare(f, instance);
        return;
    }
    if (f->owner->locating >= LOCATE_MOST)
        return;
    GByteArray *const request = dialect_write_cache_query(instance->listed.addr);
    engine_ask_t *const question = engine_ask(f, instance_ref(instance), request, &limits, on_answer);
    question->next = f->locate.asks;
    f->locate.asks = question;
    f->locate.waiting++;
    f->owner->locating++;
    counter_add(&c_asked, 1);
}

void locate_take(forward_t *f, instance_t *instance)
{
    locate_end(f);
    f->locate.asked = true;
    f->locate.instance = instance_ref(instance);
}

/** Of a few engines all are asked, of more those behind the place where the scheduler begins its choice. Beyond them
 *  one that was placed by a box alone is found by luck. */
static unsigned most_asked(const forward_t *f, const fleet_query_t *wish)
{
    return fleet_count(f->owner->fleet, wish) > LOCATE_LUCK * LOCATE_MOST ? LOCATE_NEAREST : LOCATE_MOST;
}

bool locate_ask(forward_t *f)
{
    if (!mechanism_is_on(MECHANISM_KEEPERS) || f->locate.asked || !f->facts.resume_after[0] || f->facts.parts_n == 0)
        return false;
    if (forward_ends(f) > 0)
        return false; /* the engine that kept it has ended, and another is chosen with regard to who runs there */
    f->locate.asked = true;
    const fleet_query_t wish = {.service = f->service, .stage = STAGE_DECODE, .now = tc_time_now()};
    fleet_each_successor(f->owner->fleet, &wish, f->fingerprint, most_asked(f, &wish), ask, f);
    if (f->locate.waiting > 0)
        return true;
    settle(f);
    return false;
}
