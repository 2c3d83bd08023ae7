/* State of engines, models and links, and the rates measured for them. */

#include <math.h>
#include <string.h>

#include "backend/load_reading.h"
#include "common/feature.h"
#include "sched/sched_choose.h"

/* ===== Engines ===== */

engine_t *engine_find(const sched_t *s, const char *name)
{
    return g_hash_table_lookup(s->engines, name);
}

bool engine_usable(const engine_t *e, tc_time_t now)
{
    const bool leaving = e->leaving_config || e->leaving_platform || e->leaving_self;
    return e->configured && !leaving && !e->down && now >= e->suspect_until && now >= e->outdated_until;
}

/** Whether there is an engine of the same role and model that is not left for its answers. */
static bool has_sound_engine(const engine_t *like, tc_time_t now)
{
    const GPtrArray *const engines = like->model ? like->model->pools[like->role].engines : NULL;
    for (guint i = 0; engines && i < engines->len; i++) {
        const engine_t *const e = g_ptr_array_index(engines, i);
        if (engine_usable(e, now) && spoil_record_allows(&e->spoiled, now))
            return true;
    }
    return false;
}

/** One that spoils its answers is used when there is no other. */
static bool is_left(const engine_t *e, tc_time_t now)
{
    return !spoil_record_allows(&e->spoiled, now) && has_sound_engine(e, now);
}

bool engine_grantable(const engine_t *e, tc_time_t now)
{
    return engine_usable(e, now) && e->grants_left > 0 && !is_left(e, now);
}

void engine_count_grant(engine_t *e)
{
    assert(e->grants_left > 0); /* promise: no more grants than the limit allows */
    if (e->grants_left == SCHED_NO_LIMIT)
        return;
    e->grants_left--;
    e->grants_made++;
}

uint32_t sched_limit_engine(sched_t *s, const char *name, uint32_t grants)
{
    engine_t *const e = engine_find(s, name);
    if (!e)
        return 0;
    const uint32_t made = e->grants_made;
    e->grants_made = 0;
    e->grants_left = grants;
    return made;
}

uint32_t engine_taken(const sched_t *s, const engine_t *e, tc_time_t now)
{
    const double age = (double)(now - e->hidden_at);
    const double left = s->request_held_ms > 0 && age < s->request_held_ms ? 1 - age / s->request_held_ms : 0;
    const uint32_t hidden = (uint32_t)(left * e->hidden_pieces);
    return e->reserved + (hidden > e->unknown_pieces ? hidden : e->unknown_pieces);
}

uint32_t engine_batch_limit(const sched_t *s, const engine_t *e)
{
    return e->max_batch / s->share_count > 0 ? e->max_batch / s->share_count : 1;
}

void engine_mark_full(engine_t *e, tc_time_t now)
{
    e->hidden_pieces = e->reserved <= e->pieces ? e->pieces - e->reserved + 1 : 0;
    e->hidden_at = now;
}

/** Time for which a stated pace counts. Other programs on the engine's machine change it about as often. */
enum { PACE_VALID_MS = 600 };

void engine_set_pace(engine_t *e, uint32_t pace, tc_time_t now)
{
    if (pace < LOAD_READING_PACE_MIN || pace > LOAD_READING_PACE_MAX)
        return;
    e->slowness = pace > LOAD_READING_PACE_USUAL ? (double)pace / LOAD_READING_PACE_USUAL - 1 : 0;
    e->slow_until = now + PACE_VALID_MS;
}

void engine_expire_pace(engine_t *e, tc_time_t now)
{
    if (now >= e->slow_until)
        e->slowness = 0;
}

double engine_backlog(const engine_t *e, tc_time_t now)
{
    const double left = e->backlog_ms - (double)(now - e->backlog_at);
    /* All prompts that are not reported done are still pending, except for the one being read. */
    const double behind = e->prefills > 1 ? e->pending_ms * (e->prefills - 1) / e->prefills : 0;
    if (!model_has_latency(e->model))
        return MAX(left, behind);
    /* A prompt is reported only the fixed latency after it was read; the next one has been read since. */
    return MAX(MAX(left, behind - model_latency_ms(e->model)), 0);
}

uint32_t engine_cached_pieces(const engine_t *e, const uint64_t *chain, uint32_t n)
{
    uint32_t found = 0;
    while (found < n) {
        bool hit = false;
        for (int i = 0; i < CACHE_SLOTS && !hit; i++)
            hit = e->cache[i].hash == chain[found] && e->cache[i].used > 0;
        if (!hit)
            break;
        found++;
    }
    return found;
}

void engine_cache_add(engine_t *e, const uint64_t *chain, uint32_t n, tc_time_t now)
{
    for (uint32_t k = 0; k < n && k < CACHE_SLOTS; k++) {
        cache_slot_t *slot = &e->cache[0];
        for (int i = 0; i < CACHE_SLOTS; i++) {
            if (e->cache[i].hash == chain[k]) {
                slot = &e->cache[i];
                break;
            }
            if (e->cache[i].used < slot->used)
                slot = &e->cache[i];
        }
        *slot = (cache_slot_t){.hash = chain[k], .used = now > 0 ? now : 1};
    }
}

double engine_prefill_ms(const engine_t *e, const request_t *r)
{
    const uint32_t cached = engine_cached_pieces(e, r->chain, r->n_chain) * SCHED_PIECE_TOKENS;
    const uint32_t left = cached < r->prompt_tokens ? r->prompt_tokens - cached : 1;
    return model_latency_ms(e->model) + left / e->rate;
}

/* ===== Prefill rates ===== */

enum {
    ENGINE_RATE_WINDOW_MS = 2000, /* of prefill time that an engine's rate is averaged over */
    MODEL_RATE_WINDOW_MS = 20000, /* of prefill time that a model's rate is averaged over, all engines together */
    ENGINE_PRIOR_MS = 300, /* weight of the model's rate in an engine's rate, as prefill time: about three prompts */
    MODEL_PRIOR_MS = 1000  /* weight of the configured rate in a model's rate, as prefill time */
};

static void rate_sum_add(rate_sum_t *sum, double tokens, double ms, double window_ms)
{
    sum->tokens += tokens;
    sum->ms += ms;
    if (sum->ms <= window_ms)
        return;
    sum->tokens *= window_ms / sum->ms;
    sum->ms = window_ms;
}

/** Rate of the sum, combined with a prior guess that counts as prior_ms of prefill time. */
static double rate_sum_estimate(const rate_sum_t *sum, double guess, double prior_ms)
{
    return (sum->tokens + guess * prior_ms) / (sum->ms + prior_ms);
}

void model_init_rate(model_t *m, double guess)
{
    if (m->rate > 0)
        return;
    m->rate = guess;
    m->rate_sum = (rate_sum_t){.tokens = guess * MODEL_PRIOR_MS, .ms = MODEL_PRIOR_MS};
}

/** Updates the rates of the engine and its model from a finished prompt. A prompt that queued behind others took the
 *  time since the previous one was done; measuring these too keeps the rate current while the engine is never idle.
 *  When only prompts on idle engines were measured, an engine added during a burst was taken to be as fast as
 *  configured: 7 engines that read at two thirds of that rate each had a backlog of one second after 4 s, while
 *  others were idle. */
void engine_update_rate(engine_t *e, const msg_progress_t *progress, bool alone, tc_time_t now)
{
    if (alone)
        prefill_fit_add(&e->model->fit, &e->samples, progress->computed_tokens, progress->took_ms);
    else
        prefill_fit_add_queued(&e->model->fit, progress->took_ms);
    const double prefill_ms = (double)progress->took_ms - model_latency_ms(e->model);
    const double since_ms = e->last_prefill_at > 0 ? (double)(now - e->last_prefill_at) : INFINITY;
    e->last_prefill_at = now;
    const bool queued = since_ms < prefill_ms;
    /* A single prompt this short says nothing about the rate: its time is mostly the fixed part. */
    if (!queued && (progress->computed_tokens < SCHED_PIECE_TOKENS / 2 || prefill_ms < 1))
        return;
    const double ms = queued ? since_ms : prefill_ms;
    rate_sum_add(&e->rate_sum, progress->computed_tokens, ms, ENGINE_RATE_WINDOW_MS);
    rate_sum_add(&e->model->rate_sum, progress->computed_tokens, ms, MODEL_RATE_WINDOW_MS);
    e->model->rate = e->model->rate_sum.tokens / e->model->rate_sum.ms;
    e->rate = rate_sum_estimate(&e->rate_sum, e->model->rate, ENGINE_PRIOR_MS);
}

/* ===== Models ===== */

bool model_has_latency(const model_t *m)
{
    return prefill_fit_is_known(&m->fit) && feature_is_enabled(FEATURE_PREFILL_LATENCY);
}

double model_latency_ms(const model_t *m)
{
    return model_has_latency(m) ? prefill_fit_latency(&m->fit) : PREFILL_BASE_MS;
}

double model_occupied_ms(const model_t *m, double prefill_ms)
{
    return model_has_latency(m) ? MAX(prefill_ms - model_latency_ms(m), 0) : prefill_ms;
}

model_t *model_find(const sched_t *s, const char *name)
{
    return g_hash_table_lookup(s->models, name);
}

/* ===== Data centres and links ===== */

uint32_t dc_find(const sched_t *s, const char *name)
{
    for (guint i = 0; i < s->dcs->len; i++)
        if (strcmp(g_ptr_array_index(s->dcs, i), name) == 0)
            return i;
    return DC_UNKNOWN;
}

uint32_t dc_get_or_add(sched_t *s, const char *name)
{
    const uint32_t known = dc_find(s, name);
    if (known != DC_UNKNOWN)
        return known;
    g_ptr_array_add(s->dcs, g_strdup(name));
    return s->dcs->len - 1;
}

void links_rebuild_index(sched_t *s)
{
    const guint n = s->dcs->len;
    g_free(s->best);
    s->best = g_new0(dc_best_t, n + 1);
    g_free(s->link_of);
    s->link_of = g_new0(link_t *, (gsize)n * n + 1);
    for (guint a = 0; a < n; a++)
        for (guint b = 0; b < n; b++)
            s->link_of[a * n + b] = link_between(s, g_ptr_array_index(s->dcs, a), g_ptr_array_index(s->dcs, b));
}

link_t *link_of(const sched_t *s, uint32_t a, uint32_t b)
{
    assert(a < s->dcs->len && b < s->dcs->len); /* both are indexes of sched_t.dcs */
    return s->link_of[a * s->dcs->len + b];
}

link_t *link_between(const sched_t *s, const char *a, const char *b)
{
    for (guint i = 0; i < s->links->len; i++) {
        link_t *const link = g_ptr_array_index(s->links, i);
        if ((strcmp(link->a, a) == 0 && strcmp(link->b, b) == 0) ||
            (strcmp(link->a, b) == 0 && strcmp(link->b, a) == 0))
            return link;
    }
    return NULL;
}

bool link_is_long(const link_t *link, double tokens)
{
    return tokens >= LONG_TRANSFER_TOKENS && tokens / link->rate >= LONG_TRANSFER_MS;
}

double link_transfer_ms(const sched_t *s, const link_t *link, double tokens)
{
    if (!link)
        return tokens * 1000.0 / FALLBACK_LINK_RATE;
    /* A share does not know the transfers of the other shares, so it counts on its own part of the link only. */
    return (link->outstanding + tokens) / (link->rate / s->share_count);
}
