/* Resumed streams: the engine that delivered the answer probably still caches the prompt and need not compute it again.
 * Engines are queried for their cache contents, since the box that placed the request is usually gone. */

#include <assert.h>
#include <string.h>

#include "common/counter.h"
#include "common/feature.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_looked, "counter", "trackcove_locate_looked_total", "Streams whose prompt was looked for at engines")
COUNTER_DEFINE(c_asked, "counter", "trackcove_locate_asked_total", "Questions to engines which prompts they keep")
COUNTER_DEFINE(c_found, "counter", "trackcove_locate_found_total", "Those of which an engine kept most of the prompt")

/** Share of the prompt that an engine must cache to get the stream, since it reads the rest at half speed. */
static const double CACHED_SHARE_MIN = 0.5;

/* ===== Ending ===== */

void locate_cancel(forward_t *f)
{
    while (f->locate.queries) {
        engine_query_t *const query = f->locate.queries;
        f->locate.queries = query->next;
        engine_query_free(query);
    }
    f->owner->locate_queries -= f->locate.pending;
    f->locate.pending = 0;
    if (f->locate.instance)
        instance_unref(f->locate.instance);
    f->locate.instance = NULL;
}

/* ===== Answers ===== */

/** Ends the search and keeps the engine found if it caches enough. */
static void finish(forward_t *f)
{
    const bool found = f->locate.instance && f->locate.tokens >= CACHED_SHARE_MIN * f->facts.prompt_tokens;
    counter_add(&c_looked, 1);
    counter_add(&c_found, found);
    forward_log(f, "located", found ? "an engine caches the prompt" : "no engine caches the prompt", 0,
                f->locate.instance);
    if (!found && f->locate.instance) {
        instance_unref(f->locate.instance);
        f->locate.instance = NULL;
    }
}

static void cache_answer(instance_t *instance, GByteArray *answer)
{
    if (instance->prefix_report)
        g_byte_array_unref(instance->prefix_report);
    instance->prefix_report = g_byte_array_ref(answer);
    instance->prefix_report_at = tc_time_now();
}

/** Selects the instance if its last answer shows a larger cached part of the prompt than the best so far. */
static void consider(forward_t *f, instance_t *instance)
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

static void on_answer(void *arg, web_fetch_result_t how)
{
    const engine_query_t *const query = arg;
    forward_t *const f = query->request;
    if (how == WEB_FETCH_OK && query->ask.status == 200) {
        cache_answer(query->instance, query->ask.body);
        consider(f, query->instance);
    }
    assert(f->locate.pending > 0 && f->owner->locate_queries > 0); /* counted when the query was sent */
    f->owner->locate_queries--;
    if (--f->locate.pending > 0)
        return; /* wait for every answer or timeout */
    finish(f);
    forward_continue(f);
}

/* ===== Queries ===== */

static void query_engine(void *arg, instance_t *instance)
{
    static const engine_query_limits_t limits = {.connect_ms = LOCATE_TIMEOUT_MS, .answer_ms = LOCATE_TIMEOUT_MS};
    forward_t *const f = arg;
    if (instance->prefix_report && tc_time_now() - instance->prefix_report_at < LOCATE_FRESH_MS) {
        consider(f, instance);
        return;
    }
    if (f->owner->locate_queries >= LOCATE_QUERIES_MAX)
        return;
    GByteArray *const request = dialect_write_cache_query(instance->listed.addr);
    engine_query_t *const query = engine_query(f, instance_ref(instance), request, &limits, on_answer);
    query->next = f->locate.queries;
    f->locate.queries = query;
    f->locate.pending++;
    f->owner->locate_queries++;
    counter_add(&c_asked, 1);
}

void locate_set(forward_t *f, instance_t *instance)
{
    locate_cancel(f);
    f->locate.asked = true;
    f->locate.instance = instance_ref(instance);
}

/** Number of engines to query: in a small pool all, in a large one those behind the position where the scheduler starts
 *  its choice. An engine that a box chose locally may be missed then. */
static unsigned query_limit(const forward_t *f, const fleet_query_t *query)
{
    return fleet_count(f->owner->fleet, query) > LOCATE_POOL_FACTOR * LOCATE_QUERIES_MAX ? LOCATE_NEAREST_MAX
                                                                                         : LOCATE_QUERIES_MAX;
}

bool locate_begin(forward_t *f)
{
    if (!feature_is_enabled(FEATURE_CACHE_AFFINITY) || f->locate.asked || !f->facts.resume_after[0] ||
        f->facts.parts_n == 0)
        return false;
    if (forward_crash_count(f) > 0)
        return false; /* the engine that cached it has ended; the next is chosen with regard to its other requests */
    f->locate.asked = true;
    const fleet_query_t query = {
        .service = f->service, .stage = STAGE_DECODE, .version = version_required(f), .now = tc_time_now()};
    fleet_each_successor(f->owner->fleet, &query, f->fingerprint, query_limit(f, &query), query_engine, f);
    if (f->locate.pending > 0)
        return true;
    finish(f);
    return false;
}
