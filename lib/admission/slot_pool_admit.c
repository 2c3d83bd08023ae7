/* Rates, and who is refused: a request that the rate of ends does not reach in time has to leave the queue at once,
 * late ones first, then the last one of the workspace with the largest use. */

#include <math.h>
#include <string.h>

#include "admission/slot_pool_internal.h"

/* ===== Rates ===== */

double slot_rate_get(const slot_rate_t *rate, double window_ms, tc_time_t now)
{
    return now > rate->at ? rate->per_ms * exp(-(double)(now - rate->at) / window_ms) : rate->per_ms;
}

void slot_rate_add(slot_rate_t *rate, double window_ms, tc_time_t now)
{
    rate->per_ms = slot_rate_get(rate, window_ms, now) + 1 / window_ms;
    rate->at = now;
}

/** Sums up slots and requests of the usable back ends, at most once per ms. */
static void update_expected(slot_pool_t *pool, tc_time_t now)
{
    if (pool->expected_at == now)
        return;
    pool->expected_at = now;
    pool->expected_per_ms = pool->backlog = pool->usable_slots = 0;
    const slot_backend_t *b;
    cds_list_for_each_entry(b, &pool->backends, node) {
        const double slots = slot_backend_slots(b), used = (double)b->tickets + b->unticketed;
        if (!slot_backend_is_usable(b))
            continue;
        /* It may answer the next probe: requests wait for that. */
        if (slot_backend_is_failing(b) || slot_backend_is_left(pool, b, now)) {
            pool->expected_per_ms += 1.0 / SLOT_PROBE_MS;
            pool->usable_slots += 1;
            continue;
        }
        pool->expected_per_ms += slots / slot_backend_service_ms(pool, b, now);
        pool->usable_slots += slots;
        pool->backlog += MAX(used - slots, 0);
    }
}

double slot_capacity(slot_pool_t *pool, tc_time_t now)
{
    if (pool->saturated)
        return slot_rate_get(&pool->capacity, SLOT_RATE_MS, now);
    update_expected(pool, now);
    return pool->expected_per_ms;
}

void slot_note_saturation(slot_pool_t *pool, tc_time_t now)
{
    const bool saturated = pool->queued > 0 && pool->full && slot_may_grant(pool);
    if (saturated && !pool->saturated) {
        update_expected(pool, now);
        pool->capacity.per_ms = pool->expected_per_ms; /* decays while measured ends replace it */
        pool->capacity.at = now;
    }
    pool->saturated = saturated;
}

/** Rate at which requests arrive that go before late ones of this class, over a wave of demand. */
static double wave_before(const slot_pool_t *pool, const slot_class_t *class, tc_time_t now)
{
    double sum = 0;
    for (GSequenceIter *at = g_sequence_get_begin_iter(pool->classes); !g_sequence_iter_is_end(at);
         at = g_sequence_iter_next(at)) {
        const slot_class_t *const other = g_sequence_get(at);
        sum += slot_rate_get(&other->wave, SLOT_WAVE_MS, now);
        if (other == class)
            break;
    }
    return sum;
}

/** Rate at which requests arrive that go before one of this class and tier. */
static double rate_before(const slot_pool_t *pool, const slot_class_t *class, slot_tier_t tier, tc_time_t now)
{
    double sum = 0;
    for (GSequenceIter *at = g_sequence_get_begin_iter(pool->classes); !g_sequence_iter_is_end(at);
         at = g_sequence_iter_next(at)) {
        const slot_class_t *const other = g_sequence_get(at);
        for (unsigned t = 0; t < (other == class ? tier : TIER_LATE); t++)
            sum += slot_rate_get(&other->arrivals[t], SLOT_RATE_MS, now);
        if (other == class)
            break;
    }
    return sum;
}

/** Ends per ms that serve this class and tier; 0 if more urgent requests take all. */
static double leftover(slot_pool_t *pool, const slot_class_t *class, slot_tier_t tier, tc_time_t now)
{
    const double capacity = slot_capacity(pool, now);
    const double before = tier == TIER_LATE ? wave_before(pool, class, now) : rate_before(pool, class, tier, now);
    const double left = capacity - before;
    return left > capacity * SLOT_LEFTOVER_MIN ? left : 0;
}

/** Expected time until a queued request is answered if it is granted in its turn, ms; infinite if never. @param margin
 *  factor of the service time */
static double expected_ms(slot_pool_t *pool, const slot_request_t *r, double margin, tc_time_t now)
{
    const double rate = leftover(pool, r->class, r->tier, now);
    if (rate <= 0)
        return INFINITY;
    update_expected(pool, now); /* requests beyond the slots of back ends are served before it */
    const double backlog = pool->backlog / slot_capacity(pool, now);
    const double service = pool->expected_per_ms > 0 ? pool->usable_slots / pool->expected_per_ms : pool->service_ms;
    return (slot_queue_ahead(pool, r) + 1) / rate + backlog + service * margin;
}

void slot_set_return_rate(slot_pool_t *pool, tc_time_t now)
{
    double rate = slot_capacity(pool, now);
    for (GSequenceIter *at = g_sequence_get_begin_iter(pool->classes); !g_sequence_iter_is_end(at);
         at = g_sequence_iter_next(at))
        for (unsigned t = 0; t < TIER_LATE; t++)
            rate -= slot_rate_get(&((const slot_class_t *)g_sequence_get(at))->arrivals[t], SLOT_RATE_MS, now);
    returns_set_rate(pool->returns, MAX(rate, 0));
}

/* ===== Refusals ===== */

slot_answer_t *slot_answer(slot_pool_t *pool, const slot_request_t *r, tc_time_t now)
{
    slot_answer_t *const answer = g_new0(slot_answer_t, 1);
    answer->token = r->token;
    codec_copy_string(answer->id, sizeof(answer->id), r->id);
    answer->waited_ms = (uint32_t)MAX(now - r->arrived, 0);
    answer->queued = pool->queued;
    answer->reading_ms = TC_TIME_NEVER;
    g_queue_push_tail(&pool->answers, answer);
    return answer;
}

/** When the queue will be short again. */
static uint32_t retry_ms(slot_pool_t *pool, tc_time_t now)
{
    const double capacity = slot_capacity(pool, now);
    const double ms = capacity > 0 ? pool->queued / capacity : SLOT_RETRY_MIN_MS;
    return (uint32_t)CLAMP(ms, SLOT_RETRY_MIN_MS, SLOT_RETRY_MAX_MS);
}

void slot_refuse(slot_pool_t *pool, slot_request_t *r, const char *reason, tc_time_t now)
{
    slot_queue_remove(pool, r);
    slot_answer_t *const answer = slot_answer(pool, r, now);
    codec_copy_string(answer->taken.reason, sizeof(answer->taken.reason), reason);
    if (pool->returns) {
        const returns_request_t request = {.fingerprint = r->fingerprint,
                                           .arrived = r->arrived,
                                           .target = r->due,
                                           .patience_ms = MAX(r->caller_ends - now, 0),
                                           .units = 1};
        const returns_plan_t plan = returns_refuse(pool->returns, &request, now);
        answer->taken.retry_after_ms = (uint32_t)CLAMP(plan.after_ms, 0, SLOT_RETRY_MAX_MS);
        answer->taken.promised = plan.promised;
    } else {
        answer->taken.retry_after_ms = retry_ms(pool, now);
    }
    pool->refused++;
    slot_request_free(pool, r);
}

/** Whether no usable back end is left for a request. */
static bool has_no_backend(const slot_pool_t *pool, const slot_request_t *r)
{
    const slot_backend_t *b;
    cds_list_for_each_entry(b, &pool->backends, node)
        if (slot_backend_is_usable(b) && !slot_group_excludes(r->group, b))
            return false;
    return true;
}

/** Refuses a queued request if it cannot be served. @return whether it was refused */
static bool refuse_if_hopeless(slot_pool_t *pool, slot_request_t *r, const char *reason, tc_time_t now)
{
    if (r->kind == RETURN_PROMISED && slot_capacity(pool, now) > 0) /* room is set aside for it */
        return false;
    if (expected_ms(pool, r, 1, now) <= (double)(r->ends - now))
        return false;
    slot_refuse(pool, r, reason, now);
    return true;
}

/** Whether a request is expected to be answered in time. */
static bool is_reached(slot_pool_t *pool, const slot_request_t *r, double margin, tc_time_t now)
{
    return expected_ms(pool, r, margin, now) <= (double)(MIN(r->due, r->ends) - now);
}

/** Moves a request behind those in time, or to the late ones if it is not reached in time there either. It is refused
 * if the rate leaves nothing for it. */
static void yield_place(slot_pool_t *pool, slot_request_t *r, const char *reason, tc_time_t now)
{
    slot_queue_move(pool, r, TIER_YIELDED);
    if (!is_reached(pool, r, 1, now))
        slot_queue_move(pool, r, TIER_LATE);
    refuse_if_hopeless(pool, r, reason, now);
}

/** Last request in time of the workspace with the largest use; of equal ones the one with the last request. */
static slot_request_t *find_yielder(const slot_pool_t *pool, const slot_class_t *class)
{
    slot_request_t *chosen = NULL;
    double most = -1;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, class->spaces);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const slot_space_t *const space = value;
        const double level = fair_share_level(pool->share, space->workspace);
        slot_request_t *const r = g_sequence_get(g_sequence_iter_prev(g_sequence_get_end_iter(space->requests)));
        if (level > most || (level >= most && chosen && slot_goes_after(r, chosen))) {
            most = level;
            chosen = r;
        }
    }
    return chosen;
}

/** While the last request in time of a class is not reached in time, one of them yields. */
static void yield_places(slot_pool_t *pool, slot_class_t *class, tc_time_t now)
{
    const slot_request_t *last;
    while ((last = slot_queue_last(class, TIER_IN_TIME)) != NULL && !is_reached(pool, last, SLOT_REACH_MARGIN, now)) {
        slot_request_t *const r = find_yielder(pool, class);
        yield_place(pool, r, r == last ? SLOT_REASON_NOT_IN_TIME : SLOT_REASON_YIELDED, now);
    }
}

void slot_admit(slot_pool_t *pool, slot_request_t *r, tc_time_t now)
{
    if (!slot_may_grant(pool))
        return;
    if (has_no_backend(pool, r)) {
        slot_refuse(pool, r, SLOT_REASON_NO_BACKEND, now);
        return;
    }
    if (r->tier == TIER_IN_TIME)
        yield_places(pool, r->class, now);
    else
        refuse_if_hopeless(pool, r, SLOT_REASON_NOT_IN_TIME, now);
}

/* ===== Passes over the queue ===== */

/** Moves the first requests of a tier that cannot meet their targets any more. */
static void demote_late(slot_pool_t *pool, slot_group_t *group, slot_tier_t tier, tc_time_t now)
{
    const double soonest = (double)now + slot_best_ms(pool, now);
    slot_request_t *r;
    while ((r = slot_group_first(group, tier)) != NULL && (double)r->due < soonest)
        slot_queue_move(pool, r, TIER_LATE);
}

/** Refuses requests whose patience ends before they could be answered. */
static void refuse_expired(slot_pool_t *pool, tc_time_t now)
{
    const double soonest = (double)now + (slot_may_grant(pool) ? slot_best_ms(pool, now) : 0);
    GSequenceIter *at;
    while (!g_sequence_iter_is_end(at = g_sequence_get_begin_iter(pool->waiting))) {
        slot_request_t *const r = g_sequence_get(at);
        if ((double)r->ends > soonest)
            break;
        pool->expired++;
        slot_refuse(pool, r, SLOT_REASON_PATIENCE, now);
    }
}

void slot_refresh(slot_pool_t *pool, tc_time_t now)
{
    refuse_expired(pool, now);
    for (GSequenceIter *at = g_sequence_get_begin_iter(pool->classes); !g_sequence_iter_is_end(at);
         at = g_sequence_iter_next(at)) {
        const slot_class_t *const class = g_sequence_get(at);
        GHashTableIter iter;
        gpointer group;
        if (class->counts[TIER_IN_TIME] + class->counts[TIER_YIELDED] == 0)
            continue;
        g_hash_table_iter_init(&iter, class->groups);
        while (g_hash_table_iter_next(&iter, NULL, &group)) {
            demote_late(pool, group, TIER_IN_TIME, now);
            demote_late(pool, group, TIER_YIELDED, now);
        }
    }
}

/** Refuses from the end of a tier what the rate does not reach. */
static void trim_tier(slot_pool_t *pool, slot_class_t *class, slot_tier_t tier, tc_time_t now)
{
    slot_request_t *last;
    while ((last = slot_queue_last(class, tier)) != NULL &&
           refuse_if_hopeless(pool, last, SLOT_REASON_NOT_IN_TIME, now))
        continue;
}

/** Refuses those whose patience ends first, as far as the rate does not reach them. */
static void trim_first(slot_pool_t *pool, tc_time_t now)
{
    GSequenceIter *at;
    while (!g_sequence_iter_is_end(at = g_sequence_get_begin_iter(pool->waiting)) &&
           refuse_if_hopeless(pool, g_sequence_get(at), SLOT_REASON_NOT_IN_TIME, now))
        continue;
}

static void collect(gpointer data, gpointer list)
{
    g_ptr_array_add(list, data);
}

/** Refuses the requests of groups that exclude all usable back ends. */
static void trim_groups(slot_pool_t *pool, const slot_class_t *class, tc_time_t now)
{
    GPtrArray *const hopeless = g_ptr_array_new();
    GHashTableIter iter;
    gpointer group;
    g_hash_table_iter_init(&iter, class->groups);
    while (g_hash_table_iter_next(&iter, NULL, &group))
        if (((slot_group_t *)group)->ids_n >= pool->usable)
            for (unsigned t = 0; t < TIER_COUNT; t++)
                if (slot_group_first(group, t) && has_no_backend(pool, slot_group_first(group, t)))
                    g_sequence_foreach(((slot_group_t *)group)->tiers[t], collect, hopeless);
    for (guint i = 0; i < hopeless->len; i++)
        slot_refuse(pool, hopeless->pdata[i], SLOT_REASON_NO_BACKEND, now);
    g_ptr_array_free(hopeless, TRUE);
}

void slot_trim(slot_pool_t *pool, tc_time_t now)
{
    if (!slot_may_grant(pool))
        return;
    for (GSequenceIter *at = g_sequence_get_begin_iter(pool->classes); !g_sequence_iter_is_end(at);
         at = g_sequence_iter_next(at)) {
        slot_class_t *const class = g_sequence_get(at);
        trim_groups(pool, class, now);
        yield_places(pool, class, now);
        trim_tier(pool, class, TIER_LATE, now);
        trim_tier(pool, class, TIER_YIELDED, now);
    }
    trim_first(pool, now);
}
