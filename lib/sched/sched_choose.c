/* Which pair of engines, and whether a request can still make it. */

#include <math.h>
#include <string.h>

#include "sched/sched_internal.h"

/* ===== Constants ===== */

/** A decode engine's batch slows every request in it: what one more is taken to cost, in ms of first token. */
static const double BATCH_COST_MS = 3.0;
/** Part of the time to the first token that estimates may fill; the rest covers their error. */
static const double DUE_MARGIN = 0.85;

/* ===== Choice ===== */

static bool decode_fits(const sched_t *s, const engine_t *e, const request_t *r, tc_time_t now)
{
    const uint32_t batch_limit = e->max_batch / s->share_of > 0 ? e->max_batch / s->share_of : 1;
    return engine_taken(s, e, now) + r->pieces <= e->pieces && e->batch < batch_limit;
}

static bool decode_candidate(const sched_t *s, const engine_t *e, const request_t *r, tc_time_t now)
{
    return e->role == ROLE_DECODE && strcmp(e->model, r->model) == 0 && engine_usable(e, now) &&
           now >= e->stalled_until && strcmp(e->name, r->avoid) != 0 && decode_fits(s, e, r, now);
}

static bool prefill_candidate(const engine_t *e, const request_t *r, tc_time_t now)
{
    return e->role == ROLE_PREFILL && strcmp(e->model, r->model) == 0 && engine_usable(e, now) &&
           strcmp(e->name, r->avoid) != 0;
}

static bool link_takes(const link_t *link, const request_t *r)
{
    return !link || !link_is_long(link, r->prompt_tokens) || link->long_transfers < LONG_TRANSFERS_A_LINK;
}

/** Best decode engine behind one prefill engine. */
static void choose_decode(const sched_t *s, const request_t *r, engine_t *prefill, double before_ms, choice_t *best,
                          double *best_cost, tc_time_t now)
{
    for (guint i = 0; i < s->engine_list->len; i++) {
        engine_t *const decode = g_ptr_array_index(s->engine_list, i);
        if (!decode_candidate(s, decode, r, now))
            continue;
        link_t *const link = link_between(s, prefill->dc, decode->dc);
        if (!link_takes(link, r))
            continue;
        const double total = before_ms + link_ms(s, link, r->prompt_tokens) + TPOT_MS;
        const double cost = total + BATCH_COST_MS * decode->batch;
        best->candidates++;
        if (cost >= *best_cost)
            continue;
        *best_cost = cost;
        best->prefill = prefill;
        best->decode = decode;
        best->link = link;
        best->total_ms = total;
    }
}

choice_t choose_pair(const sched_t *s, const request_t *r, bool keep_prefill, tc_time_t now)
{
    choice_t best = {.reason = "no prefill engine is free"};
    double best_cost = INFINITY;
    if (keep_prefill) {
        best.reason = "no other decode engine has room";
        choose_decode(s, r, r->prefill, 0, &best, &best_cost, now);
        return best;
    }
    for (guint i = 0; i < s->engine_list->len; i++) {
        engine_t *const prefill = g_ptr_array_index(s->engine_list, i);
        if (!prefill_candidate(prefill, r, now))
            continue;
        const double backlog = engine_backlog(prefill, now);
        if (backlog > DISPATCH_WINDOW_MS)
            continue;
        best.reason = "no decode engine has room";
        const double alone = engine_prefill_ms(prefill, r);
        engine_t *const before = best.prefill;
        choose_decode(s, r, prefill, backlog + alone, &best, &best_cost, now);
        if (best.prefill != before)
            best.prefill_ms = alone;
    }
    return best;
}

/** A decode engine reads a prompt at this part of a prefill engine's pace, between the tokens of others. */
static const double SOLO_PACE = 0.4;

/** So many decode engines a prefill engine, or more: prompts wait for prefill engines while memory is free. Where the
 *  pools are in proportion, a burst runs out of both, and reading prompts on decode engines only slows their streams.
 */
enum { SHORT_OF_PREFILL = 3 };

static bool is_short_of_prefill(const sched_t *s, const request_t *r, tc_time_t now)
{
    uint32_t prefills = 0, decodes = 0;
    for (guint i = 0; i < s->engine_list->len; i++) {
        const engine_t *const e = g_ptr_array_index(s->engine_list, i);
        if (strcmp(e->model, r->model) != 0 || !engine_usable(e, now))
            continue;
        prefills += e->role == ROLE_PREFILL;
        decodes += e->role == ROLE_DECODE;
    }
    return decodes >= SHORT_OF_PREFILL * prefills;
}

choice_t choose_solo(const sched_t *s, const request_t *r, tc_time_t now)
{
    choice_t best = {.reason = "no prefill engine is free"};
    if (s->solo_after == 0 || now - r->queued_at < s->solo_after || !is_short_of_prefill(s, r, now))
        return best;
    for (guint i = 0; i < s->engine_list->len; i++) {
        engine_t *const e = g_ptr_array_index(s->engine_list, i);
        if (!decode_candidate(s, e, r, now) || e->solos > 0)
            continue;
        best.candidates++;
        if (best.decode && best.decode->batch <= e->batch)
            continue;
        best.decode = e;
        best.total_ms = engine_prefill_ms(e, r) / SOLO_PACE + TPOT_MS;
    }
    return best;
}

/* ===== Estimates ===== */

/** Whether @p a is served before @p b. */
static bool ahead_of(const request_t *a, const request_t *b)
{
    return a->priority != b->priority ? a->priority < b->priority : a->due <= b->due;
}

/** Least time in which any engine could prefill the request, with what it has cached. */
static double least_prefill_ms(const sched_t *s, const request_t *r, tc_time_t now)
{
    double least = INFINITY;
    const bool may_solo = s->solo_after > 0 && is_short_of_prefill(s, r, now);
    for (guint i = 0; i < s->engine_list->len; i++) {
        const engine_t *const e = g_ptr_array_index(s->engine_list, i);
        const bool solo = may_solo && e->role == ROLE_DECODE && strcmp(e->model, r->model) == 0;
        if (!prefill_candidate(e, r, now) && !(solo && engine_usable(e, now)))
            continue;
        const double alone = engine_prefill_ms(e, r) / (solo ? SOLO_PACE : 1);
        least = alone < least ? alone : least;
    }
    return least;
}

/** Room and work of the engines that serve a model. */
typedef struct {
    double free_pieces, backlog_ms;
    double prefills; /* in prefill engines; decode engines that read prompts count for a part */
} supply_t;

static supply_t supply_for(const sched_t *s, const request_t *r, tc_time_t now)
{
    supply_t supply = {0};
    const bool solo = s->solo_after > 0 && is_short_of_prefill(s, r, now);
    for (guint i = 0; i < s->engine_list->len; i++) {
        const engine_t *const e = g_ptr_array_index(s->engine_list, i);
        if (strcmp(e->model, r->model) != 0 || !engine_usable(e, now))
            continue;
        if (e->role == ROLE_DECODE) {
            const uint32_t taken = engine_taken(s, e, now);
            supply.free_pieces += taken < e->pieces ? e->pieces - taken : 0;
            supply.prefills += solo ? SOLO_PACE : 0;
        } else {
            supply.prefills++;
            supply.backlog_ms += engine_backlog(e, now);
        }
    }
    return supply;
}

double estimate_wait(const sched_t *s, request_t *r, tc_time_t now)
{
    const supply_t supply = supply_for(s, r, now);
    r->work_ms = least_prefill_ms(s, r, now);
    if (supply.prefills <= 0)
        return INFINITY;
    double work_ms = supply.backlog_ms, need = r->pieces;
    const request_t *q;
    cds_list_for_each_entry(q, &s->queue, node) {
        if (q == r || !ahead_of(q, r))
            continue;
        work_ms += q->work_ms;
        need += q->pieces;
    }
    const double prefill_wait = work_ms / supply.prefills;
    const double missing = need - supply.free_pieces;
    const double memory_wait = missing > 0 && s->free_rate > 0 ? missing / s->free_rate : 0;
    const double wait = prefill_wait > memory_wait ? prefill_wait : memory_wait;
    return (wait + r->work_ms + TPOT_MS) / DUE_MARGIN;
}
