/* Back ends with their slots, and tickets for them. */

#include <string.h>

#include "admission/slot_pool_internal.h"
#include "common/feature.h"

/* ===== Back ends ===== */

/** The lower one of a number and the limit of connections. */
static uint64_t limit_to_connections(const slot_backend_t *b, uint64_t n)
{
    return b->connections > 0 ? MIN(n, b->connections) : n;
}

uint32_t slot_backend_slots(const slot_backend_t *b)
{
    const uint32_t estimated = b->estimate.slots > 0 ? b->estimate.slots : SLOT_DEFAULT_SLOTS;
    return (uint32_t)limit_to_connections(b, b->listed_slots > 0 ? b->listed_slots : estimated);
}

void slot_pool_set_connections(slot_pool_t *pool, uint32_t connections)
{
    if (pool->connections == connections)
        return;
    pool->connections = connections;
    pool->expected_at = TC_TIME_NEVER;
    slot_backend_t *b;
    cds_list_for_each_entry(b, &pool->backends, node)
        b->connections = connections;
}

bool slot_backend_is_usable(const slot_backend_t *b)
{
    return b->listed && !b->draining;
}

bool slot_backend_is_failing(const slot_backend_t *b)
{
    return b->lost >= SLOT_LOST_MAX;
}

uint32_t slot_backend_extra(const slot_pool_t *pool, const slot_backend_t *b, tc_time_t now)
{
    if (!feature_is_enabled(FEATURE_SLOT_DEPTH))
        return SLOT_EXTRA;
    return slot_depth_extra(slot_backend_slots(b), pool->delay_ms, slot_backend_service_ms(pool, b, now), b->refused_at,
                            now);
}

/** Whether there is a back end that is neither failing nor left for its answers. */
static bool has_sound(const slot_pool_t *pool, tc_time_t now)
{
    const slot_backend_t *b;
    cds_list_for_each_entry(b, &pool->backends, node)
        if (slot_backend_is_usable(b) && !slot_backend_is_failing(b) && spoil_record_allows(&b->spoiled, now))
            return true;
    return false;
}

bool slot_backend_is_left(const slot_pool_t *pool, const slot_backend_t *b, tc_time_t now)
{
    return !spoil_record_allows(&b->spoiled, now) && has_sound(pool, now);
}

bool slot_backend_has_room(const slot_pool_t *pool, const slot_backend_t *b, tc_time_t now)
{
    const uint64_t slots = slot_backend_slots(b), used = (uint64_t)b->tickets + b->unticketed;
    if (!slot_backend_is_usable(b) || used >= limit_to_connections(b, UINT64_MAX))
        return false;
    if (used >= slots + SLOT_EXTRA && used >= slots + slot_backend_extra(pool, b, now))
        return false;
    if (slot_backend_is_left(pool, b, now))
        return false;
    return !slot_backend_is_failing(b) || (b->tickets == 0 && now >= b->probe_at);
}

double slot_backend_service_ms(const slot_pool_t *pool, const slot_backend_t *b, tc_time_t now)
{
    return MAX(load_estimate_service_ms(&b->estimate, pool->service_ms, now), 0.1);
}

double slot_best_ms(slot_pool_t *pool, tc_time_t now)
{
    if (pool->best_at == now)
        return pool->best_ms;
    double best = 0;
    slot_backend_t *b;
    cds_list_for_each_entry(b, &pool->backends, node) {
        const double ms = slot_backend_is_usable(b) ? slot_backend_service_ms(pool, b, now) : 0;
        if (ms > 0 && (best <= 0 || ms < best))
            best = ms;
    }
    pool->best_ms = best > 0 ? best : pool->service_ms;
    pool->best_at = now;
    return pool->best_ms;
}

/** Expected time until the first request of a full back end ends, ms. */
static double first_end_ms(const slot_backend_t *b, double service, tc_time_t now)
{
    const double usual = service / slot_backend_slots(b);
    if (b->tickets == 0)
        return usual;
    const slot_request_t *const oldest = cds_list_first_entry(&b->requests, slot_request_t, backend_node);
    const double left = oldest->started == TC_TIME_NEVER ? service : service - (double)(now - oldest->started);
    return left > 0 ? left : usual; /* overdue */
}

/** Requests beyond the slots wait for the first end; further ones follow each other at a slot's share of the service
 *  time. */
double slot_completion_ms(const slot_pool_t *pool, const slot_backend_t *b, tc_time_t now)
{
    const double service = slot_backend_service_ms(pool, b, now);
    const double slots = slot_backend_slots(b), used = (double)b->tickets + b->unticketed;
    return used < slots ? service : service + first_end_ms(b, service, now) + service * (used - slots) / slots;
}

slot_backend_t *slot_choose(const slot_pool_t *pool, const slot_request_t *r, slot_backend_t *const *free_ones, guint n,
                            tc_time_t now)
{
    slot_backend_t *best = NULL;
    double best_cost = 0;
    for (guint i = 0; i < n; i++) {
        slot_backend_t *const b = free_ones[i];
        if (slot_group_excludes(r->group, b))
            continue;
        const double used = ((double)b->tickets + b->unticketed) / slot_backend_slots(b);
        const double far = strcmp(b->dc, r->dc) == 0 ? 0 : SLOT_SAME_DC;
        const double cost = slot_completion_ms(pool, b, now) * (1 + far + SLOT_SPREAD * used);
        if (!best || cost < best_cost) {
            best = b;
            best_cost = cost;
        }
    }
    return best;
}

void slot_backend_release(slot_pool_t *pool, slot_backend_t *b)
{
    if (b->listed || b->tickets > 0 || b->unticketed > 0)
        return;
    GHashTableIter iter;
    gpointer box;
    g_hash_table_iter_init(&iter, pool->boxes); /* places without requests may remain */
    while (g_hash_table_iter_next(&iter, NULL, &box))
        g_hash_table_remove(((slot_box_t *)box)->places, b);
    g_hash_table_remove(pool->backends_by_id, b->id);
    cds_list_del(&b->node);
    g_ref_string_release(b->dc);
    g_free(b);
}

static slot_backend_t *backend_get(slot_pool_t *pool, const char *id)
{
    slot_backend_t *b = g_hash_table_lookup(pool->backends_by_id, id);
    if (b)
        return b;
    b = g_new0(slot_backend_t, 1);
    codec_copy_string(b->id, sizeof(b->id), id);
    b->dc = g_ref_string_new_intern("");
    b->connections = pool->connections;
    load_estimate_init(&b->estimate);
    b->refused_at = TC_TIME_NEVER;
    CDS_INIT_LIST_HEAD(&b->requests);
    cds_list_add_tail(&b->node, &pool->backends);
    g_hash_table_insert(pool->backends_by_id, b->id, b);
    return b;
}

static void backend_update(slot_backend_t *b, const backend_t *listed)
{
    b->listed = true;
    b->draining = listed->draining;
    b->listed_slots = listed->slots;
    if (strcmp(b->dc, listed->dc) != 0) {
        g_ref_string_release(b->dc);
        b->dc = g_ref_string_new_intern(listed->dc);
    }
}

void slot_release_unlisted(slot_pool_t *pool)
{
    slot_backend_t *b, *next;
    if (!pool->has_unlisted)
        return;
    pool->has_unlisted = false;
    cds_list_for_each_entry_safe(b, next, &pool->backends, node) {
        pool->has_unlisted |= !b->listed && (b->tickets > 0 || b->unticketed > 0);
        slot_backend_release(pool, b);
    }
}

void slot_pool_set_backends(slot_pool_t *pool, const backend_t *list, uint32_t n, tc_time_t now)
{
    slot_backend_t *b;
    cds_list_for_each_entry(b, &pool->backends, node)
        b->listed = false;
    for (uint32_t i = 0; i < n; i++)
        if (strcmp(list[i].service, pool->service) == 0)
            backend_update(backend_get(pool, list[i].id), &list[i]);
    pool->has_unlisted = true;
    slot_release_unlisted(pool);
    pool->usable = 0;
    cds_list_for_each_entry(b, &pool->backends, node)
        pool->usable += slot_backend_is_usable(b);
    pool->listed = true;
    pool->best_at = pool->expected_at = TC_TIME_NEVER;
    slot_dispatch(pool, now);
}

/* ===== Tickets ===== */

/** Marks the first requests in order as started, as far as there are slots. */
static void start_requests(slot_backend_t *b, tc_time_t now)
{
    const uint64_t slots = slot_backend_slots(b);
    uint64_t n = b->unticketed;
    slot_request_t *r;
    cds_list_for_each_entry(r, &b->requests, backend_node) {
        if (n++ >= slots)
            break;
        if (r->started == TC_TIME_NEVER)
            r->started = now;
    }
}

void slot_grant(slot_pool_t *pool, slot_request_t *r, slot_backend_t *b, tc_time_t now)
{
    /* Never more tickets than slots and the extra ones, less unticketed requests. */
    assert(slot_backend_has_room(pool, b, now));
    slot_answer_t *const answer = slot_answer(pool, r, now);
    slot_queue_remove(pool, r);
    r->holds = true;
    r->ticket = pool->next_ticket++;
    r->granted = now;
    r->started = TC_TIME_NEVER;
    r->place = slot_place_get(r->box, b);
    r->by_end = g_sequence_insert_sorted(pool->holding, r, slot_compare_ends, NULL);
    g_hash_table_insert(pool->tickets, &r->ticket, r);
    cds_list_add_tail(&r->backend_node, &b->requests);
    cds_list_add_tail(&r->place_node, &r->place->requests);
    r->place->tickets++;
    answer->extra = slot_backend_extra(pool, b, now);
    b->allowed = limit_to_connections(b, (uint64_t)slot_backend_slots(b) + answer->extra);
    b->tickets++;
    spoil_record_begin(&b->spoiled, now);
    start_requests(b, now);
    fair_share_add_running(pool->share, r->workspace, 1);
    if (pool->returns && r->fingerprint)
        returns_served(pool->returns, r->fingerprint, r->arrived);
    pool->granted++;
    answer->taken.granted = true;
    answer->taken.ticket = r->ticket;
    codec_copy_string(answer->taken.backend, sizeof(answer->taken.backend), b->id);
    answer->queued = pool->queued;
    answer->reading_ms = load_estimate_age(&b->estimate, now);
}

void slot_end_ticket(slot_pool_t *pool, slot_request_t *r, slot_end_t how, tc_time_t now)
{
    slot_backend_t *const b = r->place->backend;
    g_hash_table_remove(pool->tickets, &r->ticket);
    g_sequence_remove(r->by_end);
    cds_list_del(&r->backend_node);
    cds_list_del(&r->place_node);
    r->place->tickets--;
    b->tickets--;
    slot_place_apply_end(r->place, r, how, now);
    start_requests(b, now);
    fair_share_remove_running(pool->share, r->workspace, 1);
    r->holds = false;
    slot_request_free(pool, r);
    slot_backend_release(pool, b);
}

/** Notes that a back end refused a call while it had more than its slots and the one extra request: it does not queue
 *  that many. With fewer it refuses for another reason. */
static void note_refusal(slot_backend_t *b, tc_time_t now)
{
    if ((uint64_t)b->tickets + b->unticketed > (uint64_t)slot_backend_slots(b) + SLOT_EXTRA)
        b->refused_at = now;
}

/** Updates the losses of all back ends: the doubt in a box changes those of several. */
static void update_losses(slot_pool_t *pool)
{
    slot_backend_t *b;
    cds_list_for_each_entry(b, &pool->backends, node)
        b->lost = loss_evidence_count(pool->losses, b->id);
}

/** A back end has spoiled an answer. A box whose path spoils whatever passes it says nothing about back ends. */
static void note_spoiled(const slot_pool_t *pool, slot_backend_t *b, const slot_request_t *r, tc_time_t now)
{
    const uint64_t key = r->fingerprint ? r->fingerprint : g_str_hash(r->id);
    if (feature_is_enabled(FEATURE_EJECTION) && !loss_evidence_is_in_doubt(pool->losses, r->box->name))
        (void)spoil_record_add_spoiled(&b->spoiled, key, r->granted, now);
}

/** Counts calls in a row without an answer. One that was not sent by choice, or that this side cancelled, shows
 * nothing.
 */
static void note_outcome(slot_pool_t *pool, slot_backend_t *b, const slot_request_t *r, slot_outcome_t outcome,
                         tc_time_t now)
{
    const bool had_losses = !loss_evidence_is_empty(pool->losses);
    switch (outcome) {
    case SLOT_OUTCOME_LOST:
    case SLOT_OUTCOME_UNREACHABLE:
        loss_evidence_add_loss(pool->losses, r->box->name, b->id);
        b->probe_at = now + SLOT_PROBE_MS;
        break;
    case SLOT_OUTCOME_REFUSED:
        loss_evidence_add_answer(pool->losses, r->box->name, b->id);
        note_refusal(b, now);
        break;
    case SLOT_OUTCOME_ANSWERED:
    case SLOT_OUTCOME_FAILED: loss_evidence_add_answer(pool->losses, r->box->name, b->id); break;
    case SLOT_OUTCOME_UNUSED:
    case SLOT_OUTCOME_CANCELLED:
    default: return;
    }
    if (had_losses || !loss_evidence_is_empty(pool->losses))
        update_losses(pool);
}

/** Applies what the answer of a back end stated, and how long it took. */
static void apply_reading(slot_pool_t *pool, const msg_slot_done_t *done, const slot_request_t *r, tc_time_t now)
{
    slot_backend_t *const b = g_hash_table_lookup(pool->backends_by_id, done->backend);
    if (!b)
        return;
    const load_reading_t reading = {.stated = done->stated,
                                    .running = done->running,
                                    .waiting = done->waiting,
                                    .slots = done->slots,
                                    .pace = done->pace};
    if (done->stated)
        load_estimate_add_reading(&b->estimate, &reading, b->tickets + b->unticketed, now);
    if (r)
        note_outcome(pool, b, r, done->outcome, now);
    if (r && done->outcome == SLOT_OUTCOME_LOST && done->spoiled)
        note_spoiled(pool, b, r, now);
    else if (r && (done->outcome == SLOT_OUTCOME_ANSWERED || done->outcome == SLOT_OUTCOME_FAILED))
        (void)spoil_record_add_good(&b->spoiled, r->granted, now);
    if (!r || done->outcome != SLOT_OUTCOME_ANSWERED || r->started == TC_TIME_NEVER)
        return;
    /* A request that had to wait for a slot there was started by the end of another one. */
    const bool waited = r->started > r->granted;
    const double took = waited ? (double)MIN(now - r->started, (tc_time_t)done->took_ms) : done->took_ms;
    if (took <= 0)
        return;
    load_estimate_add_answer(&b->estimate, took, now);
    pool->service_ms += (took - pool->service_ms) / 8;
}

void slot_pool_done(slot_pool_t *pool, const msg_slot_done_t *done, tc_time_t now)
{
    slot_request_t *r = done->ticket ? g_hash_table_lookup(pool->tickets, &done->ticket) : NULL;
    if (r && (strcmp(r->id, done->id) != 0 || strcmp(r->box->name, done->box) != 0))
        r = NULL; /* another leader's ticket of the same number */
    apply_reading(pool, done, r, now);
    if (r) {
        slot_depth_add(&pool->depth, now - r->granted, done->took_ms, now);
        const bool unused = done->outcome == SLOT_OUTCOME_UNUSED || done->outcome == SLOT_OUTCOME_UNREACHABLE;
        pool->unused += unused;
        if (!unused) {
            slot_rate_add(&pool->ends, SLOT_RATE_MS, now);
            slot_rate_add(&pool->capacity, SLOT_RATE_MS, now);
        }
        slot_end_ticket(pool, r, unused ? SLOT_END_UNUSED : SLOT_END_DONE, now);
    } else if (done->ticket == 0 && done->outcome == SLOT_OUTCOME_UNUSED) {
        slot_withdraw(pool, done, now);
    }
    slot_dispatch(pool, now);
}
