/* Calls, time and dispatch of the slot pool. */

#include "admission/slot_pool.h"

#include <math.h>
#include <string.h>

#include "admission/slot_pool_internal.h"

/** Interval between full passes over the ends of the queues, ms. */
#define TICK_MS 10

/* ===== Requests ===== */

static guint hash_request(gconstpointer key)
{
    const slot_request_t *const r = key;
    return g_str_hash(r->id) * 31 + g_direct_hash(r->box);
}

static gboolean equal_requests(gconstpointer a, gconstpointer b)
{
    const slot_request_t *const x = a, *const y = b;
    return x->box == y->box && strcmp(x->id, y->id) == 0;
}

static slot_request_t *find_request(const slot_pool_t *pool, const slot_box_t *box, const char *id)
{
    const slot_request_t key = {.box = (slot_box_t *)box, .id = (char *)id};
    return g_hash_table_lookup(pool->requests, &key);
}

static slot_request_t *request_create(slot_pool_t *pool, slot_box_t *box, const msg_slot_take_t *take)
{
    slot_request_t *const r = g_new0(slot_request_t, 1);
    r->id = g_strdup(take->id);
    r->box = box;
    r->workspace = g_ref_string_new_intern(take->workspace);
    r->dc = g_ref_string_new_intern(take->dc);
    cds_list_add_tail(&r->box_node, &box->requests);
    g_hash_table_add(pool->requests, r);
    return r;
}

void slot_request_free(slot_pool_t *pool, slot_request_t *r)
{
    assert(!r->group && !r->holds); /* neither queued nor with a ticket */
    if (g_hash_table_lookup(pool->requests, r) == r)
        g_hash_table_remove(pool->requests, r);
    cds_list_del(&r->box_node);
    g_ref_string_release(r->workspace);
    g_ref_string_release(r->dc);
    g_free(r->id);
    g_free(r);
}

/* ===== Life cycle ===== */

slot_pool_t *slot_pool_create(const char *service, bool rebuild, returns_t *returns, tc_time_t now)
{
    slot_pool_t *const pool = g_new0(slot_pool_t, 1);
    codec_copy_string(pool->service, sizeof(pool->service), service);
    pool->returns = returns;
    pool->share = fair_share_create();
    pool->losses = loss_evidence_create();
    pool->created = pool->now = now;
    pool->rebuilding = rebuild;
    CDS_INIT_LIST_HEAD(&pool->backends);
    pool->backends_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    pool->boxes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, slot_box_free);
    pool->requests = g_hash_table_new(hash_request, equal_requests);
    pool->tickets = g_hash_table_new(g_int64_hash, g_int64_equal);
    pool->classes = g_sequence_new(slot_class_free);
    pool->waiting = g_sequence_new(NULL);
    pool->holding = g_sequence_new(NULL);
    g_queue_init(&pool->answers);
    /* Unlike a former leader's tickets on the same box, whose late ends must not count here. */
    pool->next_ticket = ((uint64_t)MAX(now, 0) << 20) + 1;
    pool->service_ms = SLOT_SERVICE_DEFAULT_MS;
    pool->best_at = pool->expected_at = TC_TIME_NEVER;
    pool->ticked = now;
    return pool;
}

static void drop_requests(slot_pool_t *pool, slot_box_t *box)
{
    slot_request_t *r, *next;
    cds_list_for_each_entry_safe(r, next, &box->requests, box_node) {
        if (r->holds) {
            slot_end_ticket(pool, r, SLOT_END_UNKNOWN, pool->now);
            continue;
        }
        slot_queue_remove(pool, r);
        slot_request_free(pool, r);
    }
}

void slot_pool_destroy(slot_pool_t *pool)
{
    GHashTableIter iter;
    gpointer value;
    slot_backend_t *b, *next;
    g_hash_table_iter_init(&iter, pool->boxes);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        drop_requests(pool, value);
    g_hash_table_destroy(pool->boxes);
    cds_list_for_each_entry_safe(b, next, &pool->backends, node) {
        g_ref_string_release(b->dc);
        g_free(b);
    }
    loss_evidence_destroy(pool->losses);
    g_hash_table_destroy(pool->backends_by_id);
    g_hash_table_destroy(pool->requests);
    g_hash_table_destroy(pool->tickets);
    g_sequence_free(pool->classes);
    g_sequence_free(pool->waiting);
    g_sequence_free(pool->holding);
    g_queue_clear_full(&pool->answers, g_free);
    fair_share_destroy(pool->share);
    g_free(pool);
}

/* ===== Dispatch ===== */

bool slot_may_grant(const slot_pool_t *pool)
{
    return !pool->suspended && !pool->rebuilding;
}

/** Back ends with room. */
static GPtrArray *find_free(const slot_pool_t *pool, tc_time_t now)
{
    GPtrArray *const found = g_ptr_array_new();
    slot_backend_t *b;
    cds_list_for_each_entry(b, &pool->backends, node)
        if (slot_backend_has_room(pool, b, now))
            g_ptr_array_add(found, b);
    return found;
}

static void end_rebuild(slot_pool_t *pool, tc_time_t now)
{
    if (!pool->rebuilding)
        return;
    const bool all = pool->expected_boxes > 0 && pool->reported_boxes >= pool->expected_boxes;
    if (all || now - pool->created >= SLOT_REBUILD_MS)
        pool->rebuilding = false;
}

/** The request that gets a slot of @p b, which is the best for @p first, the first in order. If that would be late
 * there, the first one of its class that would be in time goes before it. */
static slot_request_t *choose_request(const slot_pool_t *pool, slot_request_t *first, const slot_backend_t *b,
                                      tc_time_t now)
{
    const tc_time_t end = now + (tc_time_t)ceil(slot_completion_ms(pool, b, now) * SLOT_GRANT_MARGIN);
    if (first->tier == TIER_LATE || first->due >= end)
        return first;
    slot_request_t *const other = slot_queue_first_due(first->class, TIER_YIELDED, b, end);
    return other ? other : first;
}

void slot_dispatch(slot_pool_t *pool, tc_time_t now)
{
    pool->now = now;
    pool->delay_ms = slot_depth_delay_ms(&pool->depth, now);
    end_rebuild(pool, now);
    if (pool->queued == 0) {
        slot_note_saturation(pool, now);
        return;
    }
    slot_refresh(pool, now);
    if (!slot_may_grant(pool)) {
        slot_note_saturation(pool, now);
        return;
    }
    GPtrArray *const found = find_free(pool, now);
    slot_backend_t **const list = (slot_backend_t **)found->pdata;
    slot_request_t *r;
    while (found->len > 0 && (r = slot_queue_first(pool, list, found->len)) != NULL) {
        slot_backend_t *const b = slot_choose(pool, r, list, found->len, now);
        slot_grant(pool, choose_request(pool, r, b, now), b, now);
        if (!slot_backend_has_room(pool, b, now))
            g_ptr_array_remove_fast(found, b);
    }
    pool->full = found->len == 0;
    g_ptr_array_free(found, TRUE);
    slot_note_saturation(pool, now);
}

/* ===== Calls ===== */

/** Answers a call that a newer one of the same request supersedes, or whose caller has left. */
static void answer_repeated(slot_pool_t *pool, const slot_request_t *r, slot_token_t token, tc_time_t now)
{
    slot_answer_t *const answer = slot_answer(pool, r, now);
    answer->token = token;
    answer->repeated = true;
}

/** Sets what a call states, for a request that is not in the queue. */
static void apply_take(slot_pool_t *pool, slot_request_t *r, const msg_slot_take_t *take, slot_token_t token,
                       tc_time_t now)
{
    r->token = token;
    r->fingerprint = take->fingerprint;
    r->due = now + take->wait_ms;
    r->ends = now + take->patience_ms;
    r->caller_ends = take->caller_ms > 0 ? now + take->caller_ms : r->ends;
    r->kind = RETURN_NEW;
    if (pool->returns && r->fingerprint) {
        const returns_match_t match = returns_find(pool->returns, r->fingerprint, now);
        r->kind = match.kind;
        if (match.kind != RETURN_NEW)
            r->due = MIN(r->due, match.target);
    }
    const bool in_time = take->wait_ms > 0 && (double)r->due >= (double)now + slot_best_ms(pool, now);
    r->tier = in_time ? TIER_IN_TIME : TIER_LATE;
    slot_queue_assign(pool, r, take);
}

/** A repeated call of a queued request: it keeps its position, unless it must not get other back ends than before. */
static void repeat_call(slot_pool_t *pool, slot_request_t *r, const msg_slot_take_t *take, slot_token_t token,
                        tc_time_t now)
{
    answer_repeated(pool, r, r->token, now);
    const tc_time_t due = r->due;
    const slot_tier_t tier = r->tier;
    const return_kind_t kind = r->kind;
    slot_queue_remove(pool, r);
    apply_take(pool, r, take, token, now);
    r->due = due;
    r->tier = tier;
    r->kind = kind;
    slot_queue_insert(pool, r);
    slot_dispatch(pool, now);
}

/** Refuses the last request in order while there are too many. */
static void limit_queue(slot_pool_t *pool, tc_time_t now)
{
    GSequenceIter *at = g_sequence_get_end_iter(pool->classes);
    while (pool->queued > SLOT_QUEUE_MAX && !g_sequence_iter_is_begin(at)) {
        at = g_sequence_iter_prev(at);
        slot_request_t *last = NULL;
        for (unsigned t = TIER_COUNT; t-- > 0 && !last;)
            last = slot_queue_last(g_sequence_get(at), t);
        if (last)
            slot_refuse(pool, last, SLOT_REASON_FULL, now);
    }
}

static void queue_request(slot_pool_t *pool, slot_request_t *r, tc_time_t now)
{
    slot_class_t *const class = r->class;
    const uint64_t order = r->order;
    slot_box_t *const box = r->box;
    char id[CODEC_STR_SIZE];
    codec_copy_string(id, sizeof(id), r->id);
    slot_queue_insert(pool, r);
    limit_queue(pool, now);
    slot_dispatch(pool, now);
    r = find_request(pool, box, id);
    if (r && !r->holds && r->order == order) {
        slot_admit(pool, r, now);
        r = find_request(pool, box, id);
    }
    if (r && r->order == order && r->tier < TIER_LATE) {
        slot_rate_add(&class->arrivals[r->tier], SLOT_RATE_MS, now);
        slot_rate_add(&class->wave, SLOT_WAVE_MS, now);
    }
}

void slot_pool_take(slot_pool_t *pool, const msg_slot_take_t *take, slot_token_t token, tc_time_t now)
{
    pool->now = now;
    slot_pool_set_connections(pool, take->connections);
    slot_box_t *const box = slot_box_get(pool, take->box, now);
    slot_request_t *r = find_request(pool, box, take->id);
    /* Calls that waited in a stalled process arrive together: their delays differ by as long as the stall. */
    const tc_time_t apart = take->again ? SLOT_STALL_MS : SLOT_SAME_MS;
    const bool same = r && ABS(now - take->waited_ms - r->received) <= apart;
    if (same && !r->holds) {
        repeat_call(pool, r, take, token, now);
        return;
    }
    if (same && take->again) { /* the answer with the ticket was lost */
        slot_depth_add(&pool->depth, now - r->granted, 0, now);
        slot_end_ticket(pool, r, SLOT_END_UNKNOWN, now);
    } else if (r) /* another request, or the end of the former call is under way: its ticket stays until then */
        g_hash_table_remove(pool->requests, r);
    r = request_create(pool, box, take);
    r->received = now - take->waited_ms;
    r->arrived = now;
    r->order = ++pool->next_order;
    apply_take(pool, r, take, token, now);
    queue_request(pool, r, now);
}

void slot_withdraw(slot_pool_t *pool, const msg_slot_done_t *done, tc_time_t now)
{
    const slot_box_t *const box = g_hash_table_lookup(pool->boxes, done->box);
    slot_request_t *const r = box ? find_request(pool, box, done->id) : NULL;
    if (!r)
        return;
    if (r->holds) { /* its box has not got the answer, and waits for it no longer */
        slot_depth_add(&pool->depth, now - r->granted, 0, now);
        slot_end_ticket(pool, r, SLOT_END_UNUSED, now);
        return;
    }
    slot_queue_remove(pool, r);
    answer_repeated(pool, r, r->token, now);
    slot_request_free(pool, r);
}

bool slot_pool_next_answer(slot_pool_t *pool, slot_answer_t *answer)
{
    slot_answer_t *const first = g_queue_pop_head(&pool->answers);
    if (!first)
        return false;
    *answer = *first;
    g_free(first);
    return true;
}

/* ===== Time ===== */

void slot_pool_expect_boxes(slot_pool_t *pool, uint32_t boxes)
{
    pool->expected_boxes = boxes;
}

void slot_pool_set_weight(slot_pool_t *pool, const char *workspace, uint32_t weight)
{
    fair_share_set_weight(pool->share, workspace, weight);
}

void slot_pool_suspend(slot_pool_t *pool, bool suspended)
{
    pool->suspended = suspended;
}

static void end_overdue_tickets(slot_pool_t *pool, tc_time_t now)
{
    GSequenceIter *at;
    while (!g_sequence_iter_is_end(at = g_sequence_get_begin_iter(pool->holding))) {
        slot_request_t *const r = g_sequence_get(at);
        if (r->ends > now)
            break;
        slot_end_ticket(pool, r, SLOT_END_UNKNOWN, now);
    }
}

static void end_silent_boxes(slot_pool_t *pool, tc_time_t now)
{
    GPtrArray *const silent = g_ptr_array_new();
    GHashTableIter iter;
    gpointer box;
    g_hash_table_iter_init(&iter, pool->boxes);
    while (g_hash_table_iter_next(&iter, NULL, &box))
        if (now - ((slot_box_t *)box)->seen >= SLOT_BOX_TIMEOUT_MS)
            g_ptr_array_add(silent, box);
    for (guint i = 0; i < silent->len; i++)
        slot_box_end(pool, silent->pdata[i], now);
    g_ptr_array_free(silent, TRUE);
}

void slot_pool_tick(slot_pool_t *pool, tc_time_t now)
{
    end_overdue_tickets(pool, now);
    end_silent_boxes(pool, now);
    if (now - pool->ticked >= TICK_MS) {
        pool->ticked = now;
        slot_dispatch(pool, now);
        slot_trim(pool, now);
        slot_queue_clean(pool, now);
        if (pool->returns)
            slot_set_return_rate(pool, now);
    }
    slot_dispatch(pool, now);
}
