/* Invariants of the slot pool. */

#include "admission/slot_pool_internal.h"

/** Recounted sums. */
typedef struct {
    uint32_t queued, holding;
} counts_t;

static void check_queued(const slot_pool_t *pool, const slot_request_t *r)
{
    assert(!r->holds && r->group && r->class); /* either queued or with a ticket */
    assert(g_sequence_get(r->in_tier) == r && g_sequence_get(r->by_end) == r);
    assert((r->space != NULL) == (r->tier == TIER_IN_TIME)); /* only these may have to yield */
    assert(g_sequence_iter_get_sequence(r->by_end) == pool->waiting);
}

static void check_holding(const slot_pool_t *pool, const slot_request_t *r)
{
    assert(r->holds && !r->group);                                    /* either queued or with a ticket */
    assert(r->ticket > 0 && r->ticket < pool->next_ticket);           /* given out once */
    assert(g_hash_table_lookup(pool->tickets, &r->ticket) == r);      /* ends by its number */
    assert(r->place->box == r->box);                                  /* ends with its box */
    assert(g_sequence_iter_get_sequence(r->by_end) == pool->holding); /* ends with its patience */
}

static void check_box(const slot_pool_t *pool, slot_box_t *box, counts_t *counts)
{
    const slot_request_t *r;
    cds_list_for_each_entry(r, &box->requests, box_node) {
        assert(r->box == box);
        if (r->holds)
            check_holding(pool, r);
        else
            check_queued(pool, r);
        counts->holding += r->holds;
        counts->queued += !r->holds;
    }
}

static counts_t check_requests(const slot_pool_t *pool)
{
    counts_t counts = {0};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, pool->boxes);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        check_box(pool, value, &counts);
    assert(g_hash_table_size(pool->requests) <= counts.queued + counts.holding); /* others have the same ids */
    return counts;
}

static uint32_t check_class(const slot_class_t *class)
{
    uint32_t counts[TIER_COUNT] = {0}, in_spaces = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, class->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        for (unsigned t = 0; t < TIER_COUNT; t++)
            counts[t] += (uint32_t)g_sequence_get_length(((slot_group_t *)value)->tiers[t]);
    g_hash_table_iter_init(&iter, class->spaces);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        in_spaces += (uint32_t)g_sequence_get_length(((slot_space_t *)value)->requests);
    for (unsigned t = 0; t < TIER_COUNT; t++)
        assert(counts[t] == class->counts[t]); /* counted at each change */
    assert(in_spaces == counts[TIER_IN_TIME]);
    return counts[TIER_IN_TIME] + counts[TIER_YIELDED] + counts[TIER_LATE];
}

static void check_backend(const slot_pool_t *pool, const slot_backend_t *b)
{
    uint32_t tickets = 0, in_places = 0, unticketed = 0;
    const slot_request_t *r;
    GHashTableIter iter;
    gpointer box;
    cds_list_for_each_entry(r, &b->requests, backend_node)
        tickets++;
    g_hash_table_iter_init(&iter, pool->boxes);
    while (g_hash_table_iter_next(&iter, NULL, &box)) {
        const slot_place_t *const place = g_hash_table_lookup(((slot_box_t *)box)->places, b);
        in_places += place ? place->tickets : 0;
        unticketed += place ? place->unticketed : 0;
    }
    assert(tickets == b->tickets && in_places == tickets && unticketed == b->unticketed);
    /* At the time of each grant; later reports may raise the unticketed ones, and slots and extra ones may shrink. */
    assert(b->tickets == 0 || b->tickets <= b->allowed);
    const uint32_t extra = slot_backend_extra(pool, b, pool->now);
    assert(extra >= SLOT_EXTRA && extra <= MAX(slot_backend_slots(b), SLOT_EXTRA)); /* whatever boxes state */
}

void slot_pool_check(const slot_pool_t *pool)
{
    const counts_t counts = check_requests(pool);
    uint32_t queued = 0;
    for (GSequenceIter *at = g_sequence_get_begin_iter(pool->classes); !g_sequence_iter_is_end(at);
         at = g_sequence_iter_next(at))
        queued += check_class(g_sequence_get(at));
    assert(queued == counts.queued && queued == pool->queued);
    assert(queued == (uint32_t)g_sequence_get_length(pool->waiting));
    assert(counts.holding == (uint32_t)g_sequence_get_length(pool->holding));
    assert(counts.holding == g_hash_table_size(pool->tickets));
    const slot_backend_t *b;
    cds_list_for_each_entry(b, &pool->backends, node)
        check_backend(pool, b);
}
