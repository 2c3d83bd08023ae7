/* Admission: which requests are refused when not all that wait can be served in time. */

#include <math.h>
#include <string.h>

#include "common/feature.h"
#include "sched/sched_choose.h"
#include "sched/sched_returns.h"

static const char *reason_not_served(const request_t *r)
{
    return r->late ? "late, and too little memory is left over" : "cannot meet the time to first token";
}

/* ===== Requests without ranks ===== */

static uint32_t weight_of(const sched_t *s, const char *workspace)
{
    const gpointer weight = g_hash_table_lookup(s->weights, workspace);
    return weight ? GPOINTER_TO_UINT(weight) : 1;
}

/** Prompt tokens that a workspace has queued, divided by its weight. */
static double queued_tokens_per_weight(const sched_t *s, const char *workspace)
{
    double tokens = 0;
    const request_t *q;
    cds_list_for_each_entry(q, &s->queue, node)
        if (strcmp(q->workspace, workspace) == 0)
            tokens += q->prompt_tokens;
    return tokens / weight_of(s, workspace);
}

/** Last queued request of the workspace that has most queued for its weight, provided that this is more than @p mine
 *  and that the request is no more urgent than @p r. */
static request_t *shed_victim(const sched_t *s, const request_t *r, double mine)
{
    request_t *q, *victim = NULL;
    double most = mine;
    cds_list_for_each_entry_reverse(q, &s->queue, node) {
        if (q == r || q->late || q->priority < r->priority || strcmp(q->workspace, r->workspace) == 0)
            continue;
        const double share = queued_tokens_per_weight(s, q->workspace);
        if (share <= most)
            continue;
        most = share;
        victim = q;
    }
    return victim;
}

/** Queued request that is refused so that @p r can stay, or NULL. A full queue drops late requests first.
 *  @param late r cannot be served in time */
static request_t *choose_unranked_victim(const sched_t *s, const request_t *r, bool late)
{
    request_t *const last = late ? NULL : last_late(s);
    if (last || r->late)
        return last;
    return shed_victim(s, r, queued_tokens_per_weight(s, r->workspace));
}

/** Keeps the queue to requests that can still meet their target. Refuses early, and first from the workspace that
 *  has most queued for its weight. */
static void admit_unranked(sched_t *s, request_t *r, tc_time_t now)
{
    for (;;) {
        const double wait = estimate_wait(s, r, now);
        const bool late =
            feature_is_enabled(FEATURE_EARLY_REFUSAL) && now >= s->admit_from && (double)now + wait > (double)r->due;
        if (!late && s->n_queue <= s->targets.max_queue)
            return;
        request_t *const victim = choose_unranked_victim(s, r, late);
        if (victim && victim != r && !isinf(wait)) {
            refuse_for_room(s, victim, victim->late ? "queue is full" : "shed: its workspace waits with most", wait,
                            now);
            continue;
        }
        refuse_for_room(s, r, late ? reason_not_served(r) : "queue is full", wait, now);
        return;
    }
}

/* ===== Ranked requests ===== */

/* Refusing early gives a caller the time to come back; one that has waited for more than this part of its time has
 * lost it, and keeps its place. */
static const double SETTLED_PART = 0.5;

static bool is_settled(const request_t *r, tc_time_t now)
{
    return (double)(now - r->queued_at) > SETTLED_PART * (double)(r->due - r->queued_at);
}

/** Whether @p a yields before @p b: late ones first, then less urgent ones, then of late ones those without a promise,
 *  then those of the workspace with the larger use for its weight. Between equals the last in order yields. */
static bool yields_before(const sched_t *s, const request_t *a, const request_t *b)
{
    if (a->late != b->late)
        return a->late;
    const int urgency = request_compare_urgency(a, b);
    if (urgency != 0)
        return urgency > 0;
    if (a->late && a->returned != b->returned)
        return return_order(a->returned) > return_order(b->returned);
    return fair_share_level(s->share, a->workspace) > fair_share_level(s->share, b->workspace);
}

/** Request that yields so that @p r can be served, or @p r itself: one that is not more urgent. @param last only
 *  requests up to this one in the queue are considered, since later ones do not delay it; NULL: all */
static request_t *choose_victim(const sched_t *s, request_t *r, const request_t *last, tc_time_t now)
{
    request_t *q, *victim = NULL;
    cds_list_for_each_entry(q, &s->queue, node) {
        const bool may_yield = !q->yields && q->model == r->model && request_compare_urgency(q, r) >= 0 &&
                               (q == r || q->late || !is_settled(q, now));
        if (may_yield && (!victim || !yields_before(s, victim, q)))
            victim = q;
        if (q == last)
            break;
    }
    return victim;
}

/** First request, from @p r on in the order of the queue, that can't be served in time any more. Requests behind
 *  @p r are judged without a margin: they were admitted with one, and estimates vary. */
static request_t *first_unservable(const sched_t *s, const request_t *r, const supply_t *supply, tc_time_t now)
{
    double work_ms = supply->backlog_ms, need = 0;
    const double latency_ms = supply->least_ms - r->work_ms;
    bool reached = false;
    request_t *q;
    cds_list_for_each_entry(q, &s->queue, node) {
        if (q->yields)
            continue;
        need += q->pieces;
        reached = reached || q == r;
        if (reached && q->model == r->model && (q == r || !is_settled(q, now))) {
            const double wait = wait_behind(s, supply, work_ms, need, q->work_ms + latency_ms, q == r && r->late);
            if ((double)now + wait / (q == r ? DUE_MARGIN : 1) > (double)q->due)
                return q;
        }
        work_ms += q->work_ms;
    }
    return NULL;
}

static void set_yields(sched_t *s, request_t *r, bool yields)
{
    r->yields = yields;
    if (yields)
        fair_share_remove_queued(s->share, r->workspace, r->pieces);
    else
        fair_share_add_queued(s->share, r->workspace, r->pieces);
}

/** Most pieces that yield to one request, as a multiple of its own: a drop of the rate at which memory is freed makes
 *  many admitted requests late at once, and one arrival must not refuse them all. */
enum { YIELDED_MAX = 4 };

/** Chooses who yields to the request @p r. @return whether @p r can stay */
static bool choose_yielding(sched_t *s, request_t *r, const supply_t *supply, tc_time_t now)
{
    const bool estimates = feature_is_enabled(FEATURE_EARLY_REFUSAL) && now >= s->admit_from;
    uint32_t full = s->n_queue > s->targets.max_queue ? s->n_queue - s->targets.max_queue : 0;
    uint32_t pieces = 0;
    for (;;) {
        request_t *const late = estimates ? first_unservable(s, r, supply, now) : NULL;
        /* What r displaces needs no more room than r: whoever was late before stays where it is. */
        if (full == 0 && (!late || (late != r && pieces >= r->pieces)))
            return true;
        request_t *const victim = late ? choose_victim(s, late, late, now) : choose_victim(s, r, NULL, now);
        if (!victim || victim == r || pieces >= YIELDED_MAX * r->pieces)
            return false;
        set_yields(s, victim, true);
        pieces += victim->pieces;
        full -= full > 0;
    }
}

static void refuse_yielding(sched_t *s, request_t *r, const request_t *by, double retry_ms, tc_time_t now)
{
    const char *reason = "yields: its workspace uses most for its weight";
    if (r->late) {
        reason = "yields: it is late already";
        s->stats.yielded_late++;
    } else if (request_compare_urgency(by, r) < 0) {
        reason = "yields: more urgent ones take its place";
        s->stats.yielded_urgency++;
    } else {
        s->stats.yielded_share++;
    }
    refuse_for_room(s, r, reason, retry_ms, now);
}

/** Refuses on arrival, or when a later request takes the place: of those that cannot all be served in time, late ones,
 *  then those of the workspace with most queued and running for its weight. */
static void admit_ranked(sched_t *s, request_t *r, tc_time_t now)
{
    const supply_t supply = supply_for(s, r, now);
    r->work_ms = model_occupied_ms(r->model, supply.least_ms);
    r->read_ms = supply.least_ms + TPOT_MS;
    const double wait = estimate_wait_of(s, r, &supply);
    const bool stays = !isinf(wait) && !waits_too_long(s, r, wait, now) && choose_yielding(s, r, &supply, now);
    request_t *q, *next;
    cds_list_for_each_entry_safe(q, next, &s->queue, node) {
        if (!q->yields)
            continue;
        set_yields(s, q, false);
        if (stays)
            refuse_yielding(s, q, r, wait, now);
    }
    if (!stays)
        refuse_for_room(s, r, s->n_queue > s->targets.max_queue ? "queue is full" : reason_not_served(r), wait, now);
}

/* ===== Both ===== */

void admit(sched_t *s, request_t *r, tc_time_t now)
{
    if (r->model && model_is_ranked(r->model, now) && feature_is_enabled(FEATURE_FAIR_SHARE))
        admit_ranked(s, r, now);
    else
        admit_unranked(s, r, now);
}
