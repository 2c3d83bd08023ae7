/* Choice of engines for a request, and estimates of how long it would wait. */

#include <math.h>
#include <string.h>

#include "sched/sched_choose.h"
#include "sched/sched_returns.h"

/* ===== Constants ===== */

/** Cost of each request in a decode engine's batch, as ms of the time to the first token: a larger batch slows every
 *  request in it. */
static const double BATCH_COST_MS = 3.0;
/** Cost of each other request on the engine under which a back end has ended, for a request of that kind. When one of
 * them ends its engine again, the others should not be there. Costs more than a full batch, so that they are spread
 * first. */
static const double SUSPECT_COST_MS = 1000.0;
/** Cost of a data centre other than the box's, since each event of the answer passes between the two: as much as one
 *  more request in the batch. */
static const double REMOTE_DC_COST_MS = 3.0;
/** Cost of a decode engine that states that its work takes twice the usual time; in proportion for other paces. As much
 *  as seven more requests in its batch, so that it is used only when the others are considerably fuller. */
static const double SLOW_COST_MS = 21.0;
/** A scan ends after this many candidates of a role, so that the cost of a placement does not grow with the number
 *  of engines. */
enum { CANDIDATES_LIMIT = 512 };

/* ===== Choice ===== */

static bool decode_fits(const sched_t *s, const engine_t *e, const request_t *r, tc_time_t now)
{
    return engine_taken(s, e, now) + r->pieces <= e->pieces && e->batch < engine_batch_limit(s, e);
}

/** Cost of running the request on the engine, in ms of the time to the first token. */
static double decode_cost(const engine_t *e, const request_t *r)
{
    const double suspect_cost = r->ends >= 1 ? SUSPECT_COST_MS * e->suspects : 0;
    return BATCH_COST_MS * e->batch + suspect_cost + SLOW_COST_MS * e->slowness;
}

/** A request under which two back ends have ended shares no engine with another under which one has ended. If a
 *  third back end ends, the request was alone there, and no other request is blamed. */
bool may_share_engine(const engine_t *e, const request_t *r)
{
    if (r->ends >= 2)
        return e->suspects == 0;
    return r->ends == 0 || e->suspects_twice == 0;
}

bool engine_has_version(const engine_t *e, const request_t *r)
{
    return !r->version[0] || !e->version[0] || strcmp(e->version, r->version) == 0;
}

static bool decode_candidate(const sched_t *s, const engine_t *e, const request_t *r, tc_time_t now)
{
    return e->role == ROLE_DECODE && engine_grantable(e, now) && now >= e->stalled_until && may_share_engine(e, r) &&
           engine_has_version(e, r) && !is_kept_from(s, e, r) && decode_fits(s, e, r, now);
}

static bool link_has_room(const link_t *link, const request_t *r)
{
    return !link || !link_is_long(link, r->prompt_tokens) || link->long_transfers < LONG_TRANSFERS_PER_LINK;
}

static void consider_prefill(sched_t *s, engine_t *e, const request_t *r, choice_t *choice, tc_time_t now)
{
    const double backlog = engine_backlog(e, now);
    if (!engine_grantable(e, now) || backlog > DISPATCH_WINDOW_MS || !may_share_engine(e, r))
        return;
    choice->prefills++;
    const double alone = engine_prefill_ms(e, r);
    dc_best_t *const best = &s->best[e->dc];
    if (best->prefill && best->prefill_cost <= backlog + alone)
        return;
    best->prefill = e;
    best->prefill_ms = alone;
    best->prefill_cost = backlog + alone;
}

static void consider_decode(sched_t *s, engine_t *e, const request_t *r, choice_t *choice, tc_time_t now)
{
    if (!decode_candidate(s, e, r, now))
        return;
    engine_expire_pace(e, now);
    choice->decodes++;
    dc_best_t *const best = &s->best[e->dc];
    if (!best->decode || decode_cost(e, r) < decode_cost(best->decode, r))
        best->decode = e;
}

/** Start of the scan. It follows the request's fingerprint, so that a later attempt at the same request begins at
 *  the same engines, and a box that looks for the engine that caches its prompt needs to ask only a few. */
static guint first_in_pool(const pool_t *pool, const request_t *r)
{
    if (r->fingerprint == 0)
        return pool->from;
    guint low = 0, high = pool->engines->len;
    while (low < high) {
        const guint middle = (low + high) / 2;
        const engine_t *const e = g_ptr_array_index(pool->engines, middle);
        if (e->ring_position < r->fingerprint)
            low = middle + 1;
        else
            high = middle;
    }
    return low;
}

/** Considers the engines of one role. Without a fingerprint the scan starts where the last one ended, so that all
 *  engines get their turn. */
static void scan_pool(sched_t *s, role_t role, const request_t *r, choice_t *choice, tc_time_t now)
{
    const engine_t *const avoid = r->avoid[0] ? engine_find(s, r->avoid) : NULL;
    const uint32_t *const found = role == ROLE_DECODE ? &choice->decodes : &choice->prefills;
    pool_t *const pool = &r->model->pools[role];
    const guint n = pool->engines->len;
    const guint from = first_in_pool(pool, r);
    guint scanned = 0;
    for (; scanned < n && *found < CANDIDATES_LIMIT; scanned++) {
        engine_t *const e = g_ptr_array_index(pool->engines, (from + scanned) % n);
        if (e == avoid || owner_is_closed(r->owner, e, now))
            continue;
        if (role == ROLE_DECODE)
            consider_decode(s, e, r, choice, now);
        else
            consider_prefill(s, e, r, choice, now);
    }
    pool->from = n > 0 ? (from + scanned) % n : 0;
    s->stats.engines_scanned += scanned;
}

/** Finds the best engines of each data centre, and counts the candidates. */
static void scan_engines(sched_t *s, const request_t *r, bool keep_prefill, choice_t *choice, tc_time_t now)
{
    memset(s->best, 0, s->dcs->len * sizeof(*s->best));
    scan_pool(s, ROLE_DECODE, r, choice, now);
    if (!keep_prefill)
        scan_pool(s, ROLE_PREFILL, r, choice, now);
}

/** Cost of answering from data centre @p dc. */
static double box_cost(const request_t *r, uint32_t dc)
{
    return r->dc == DC_UNKNOWN || r->dc == dc ? 0 : REMOTE_DC_COST_MS;
}

/** Compares the pairs of a prefill engine with the best decode engine of each data centre. */
static void evaluate_decodes(const sched_t *s, const request_t *r, engine_t *prefill, const dc_best_t *from,
                             choice_t *choice)
{
    for (guint i = 0; i < s->dcs->len; i++) {
        engine_t *const decode = s->best[i].decode;
        link_t *const link = decode ? link_of(s, prefill->dc, i) : NULL;
        if (!decode || !link_has_room(link, r))
            continue;
        const double before_ms = from ? from->prefill_cost : 0;
        const double total = before_ms + link_transfer_ms(s, link, r->prompt_tokens) + TPOT_MS;
        const double cost = total + decode_cost(decode, r) + box_cost(r, i);
        if (cost >= choice->cost)
            continue;
        choice->cost = cost;
        choice->prefill = prefill;
        choice->prefill_ms = from ? from->prefill_ms : 0;
        choice->decode = decode;
        choice->link = link;
        choice->total_ms = total;
    }
}

choice_t choose_pair(sched_t *s, const request_t *r, bool keep_prefill, tc_time_t now)
{
    choice_t choice = {.cost = INFINITY};
    scan_engines(s, r, keep_prefill, &choice, now);
    if (keep_prefill) {
        choice.reason = "no other decode engine has room";
        evaluate_decodes(s, r, r->prefill, NULL, &choice);
        return choice;
    }
    choice.reason = choice.prefills > 0 ? "no decode engine has room" : "no prefill engine is free";
    for (guint i = 0; i < s->dcs->len; i++)
        if (s->best[i].prefill)
            evaluate_decodes(s, r, s->best[i].prefill, &s->best[i], &choice);
    return choice;
}

/* ===== Local prefill ===== */

/** Speed of prefill on a decode engine, between the tokens of its streams, as a fraction of a prefill engine's
 *  speed. */
static const double LOCAL_PREFILL_SPEED = 0.4;

/** Decode engines per prefill engine from which on local prefill is used: prompts then wait for prefill engines
 *  while memory is free. With balanced pools a burst exhausts both, and local prefill would only slow the streams. */
enum { DECODES_PER_PREFILL_MIN = 3 };

static bool is_short_of_prefill(uint32_t prefills, uint32_t decodes)
{
    return decodes >= DECODES_PER_PREFILL_MIN * prefills;
}

/** Time until a decode engine has read the prompt. A latency that is modelled apart does not depend on its speed. */
static double local_prefill_ms(const engine_t *e, const request_t *r)
{
    const double all_ms = engine_prefill_ms(e, r), occupied_ms = model_occupied_ms(e->model, all_ms);
    return all_ms - occupied_ms + occupied_ms / LOCAL_PREFILL_SPEED;
}

choice_t choose_local_prefill(sched_t *s, const request_t *r, tc_time_t now)
{
    choice_t best = {.reason = "no prefill engine is free"};
    const engine_t *const avoid = r->avoid[0] ? engine_find(s, r->avoid) : NULL;
    uint32_t prefills = 0, decodes = 0;
    s->stats.engines_scanned += s->engine_list->len;
    for (guint i = 0; i < s->engine_list->len; i++) {
        engine_t *const e = g_ptr_array_index(s->engine_list, i);
        if (e->model != r->model || !engine_usable(e, now) || owner_is_closed(r->owner, e, now))
            continue;
        prefills += e->role == ROLE_PREFILL;
        decodes += e->role == ROLE_DECODE;
        if (e == avoid || e->local_prefills > 0 || !decode_candidate(s, e, r, now))
            continue;
        engine_expire_pace(e, now);
        best.decodes++;
        if (!best.decode || decode_cost(e, r) < decode_cost(best.decode, r))
            best.decode = e;
    }
    if (!is_short_of_prefill(prefills, decodes))
        best.decode = NULL;
    if (best.decode)
        best.total_ms = local_prefill_ms(best.decode, r) + TPOT_MS;
    return best;
}

/* ===== A pass over the queue ===== */

void begin_pass(sched_t *s)
{
    s->pass++;
    s->kept = 0;
}

/** Clears the model's findings at the first request of the model in a pass. */
static void reset_pass_findings(const sched_t *s, model_t *model)
{
    if (model->pass == s->pass)
        return;
    model->pass = s->pass;
    model->no_prefill = false;
    model->no_decode_from = UINT32_MAX;
    model->no_local_prefill_from = UINT32_MAX;
}

/** Whether a request that gets nothing shows that later requests of its model and size get nothing either: it avoids
 *  no engine, no engine is closed to its box, no link limit applies to it, it may share engines with all others, and
 *  engines of any version may decode it. */
static bool is_representative(const request_t *r)
{
    return !r->avoid[0] && !r->version[0] && r->owner->closed_n == 0 && r->ends == 0 &&
           r->prompt_tokens < LONG_TRANSFER_TOKENS;
}

static choice_t choose_pair_in_pass(sched_t *s, const request_t *r, model_t *model, tc_time_t now)
{
    if (model->no_prefill || r->pieces >= model->no_decode_from)
        return (choice_t){.reason = model->no_prefill ? "no prefill engine is free" : "no decode engine has room",
                          .no_memory = !model->no_prefill};
    choice_t choice = choose_pair(s, r, false, now);
    choice.no_memory = choice.prefills > 0 && choice.decodes == 0;
    if (choice.decode || !is_representative(r))
        return choice;
    model->no_prefill = choice.prefills == 0;
    if (choice.decodes == 0)
        model->no_decode_from = r->pieces;
    return choice;
}

/** Whether the same request is placed already. One under which a back end has ended runs on one engine at a time. */
static bool runs_already(const sched_t *s, const request_t *r)
{
    const request_t *other;
    if (r->ends == 0 || r->fingerprint == 0)
        return false;
    cds_list_for_each_entry(other, &s->placed, node)
        if (other->fingerprint == r->fingerprint && other != r)
            return true;
    return false;
}

choice_t choose_queued(sched_t *s, const request_t *r, tc_time_t now)
{
    model_t *const model = r->model;
    if (!model)
        return (choice_t){.reason = "no prefill engine is free"};
    if (runs_already(s, r))
        return (choice_t){.reason = "the same runs already, and a back end has ended under it"};
    reset_pass_findings(s, model);
    const choice_t pair = choose_pair_in_pass(s, r, model, now);
    if (pair.decode || s->local_prefill_after_ms == 0 || now - r->queued_at < s->local_prefill_after_ms ||
        r->pieces >= model->no_local_prefill_from)
        return pair;
    const choice_t local = choose_local_prefill(s, r, now);
    if (!local.decode && is_representative(r))
        model->no_local_prefill_from = r->pieces;
    return local.decode ? local : pair;
}

/* ===== Estimates ===== */

supply_t supply_for(sched_t *s, const request_t *r, tc_time_t now)
{
    const engine_t *const avoid = r->avoid[0] ? engine_find(s, r->avoid) : NULL;
    supply_t supply = {.least_ms = INFINITY};
    double least_local_ms = INFINITY;
    uint32_t prefills = 0, decodes = 0;
    s->stats.engines_scanned += s->engine_list->len;
    for (guint i = 0; i < s->engine_list->len; i++) {
        const engine_t *const e = g_ptr_array_index(s->engine_list, i);
        if (e->model != r->model || !engine_grantable(e, now))
            continue;
        if (e->role == ROLE_DECODE && !engine_has_version(e, r))
            continue;
        if (e->role == ROLE_DECODE) {
            const uint32_t taken = engine_taken(s, e, now);
            supply.free_pieces += taken < e->pieces ? e->pieces - taken : 0;
            decodes++;
            if (s->local_prefill_after_ms > 0)
                least_local_ms = MIN(least_local_ms, local_prefill_ms(e, r));
        } else {
            prefills++;
            supply.backlog_ms += engine_backlog(e, now);
            if (e != avoid)
                supply.least_ms = MIN(supply.least_ms, engine_prefill_ms(e, r));
        }
    }
    supply.prefills = prefills;
    if (s->local_prefill_after_ms > 0 && is_short_of_prefill(prefills, decodes)) {
        supply.prefills += LOCAL_PREFILL_SPEED * decodes;
        supply.least_ms = MIN(supply.least_ms, least_local_ms);
    }
    return supply;
}

/** Time until @p missing pieces are free. While nothing is known of the rate, they count as free at once.
 *  @param left_over only memory that requests in time leave over counts */
static double memory_wait_ms(const sched_t *s, double missing, bool left_over)
{
    if (missing <= 0 || s->free_rate <= 0)
        return 0;
    const double rate = left_over ? left_rate(s) : s->free_rate;
    return rate > 0 ? missing / rate : INFINITY;
}

double wait_behind(const sched_t *s, const supply_t *supply, double work_ms, double need, double own_ms, bool left_over)
{
    if (supply->prefills <= 0)
        return INFINITY;
    const double prefill_wait = work_ms / supply->prefills;
    const double memory_wait = memory_wait_ms(s, need - supply->free_pieces, left_over);
    const double wait = prefill_wait > memory_wait ? prefill_wait : memory_wait;
    return wait + own_ms + TPOT_MS;
}

double estimate_wait_of(const sched_t *s, const request_t *r, const supply_t *supply)
{
    double work_ms = supply->backlog_ms, need = r->pieces;
    const request_t *q;
    cds_list_for_each_entry(q, &s->queue, node) {
        if (q == r || request_compare(q, r) > 0)
            continue;
        work_ms += q->work_ms;
        need += q->pieces;
    }
    return wait_behind(s, supply, work_ms, need, supply->least_ms, r->late) / DUE_MARGIN;
}

double estimate_wait(sched_t *s, request_t *r, tc_time_t now)
{
    const supply_t supply = supply_for(s, r, now);
    r->work_ms = r->model ? model_occupied_ms(r->model, supply.least_ms) : supply.least_ms;
    r->read_ms = supply.least_ms + TPOT_MS;
    return estimate_wait_of(s, r, &supply);
}
