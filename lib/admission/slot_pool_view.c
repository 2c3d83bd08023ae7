/* Totals of a slot pool, the state of its back ends, and its part in the view of admission. */

#include <string.h>

#include "admission/admission_view.h"
#include "admission/slot_pool_internal.h"

slot_stats_t slot_pool_stats(const slot_pool_t *pool)
{
    slot_stats_t stats = {.queued = pool->queued,
                          .rate = slot_rate_get(&pool->ends, SLOT_RATE_MS, pool->now) * 1000,
                          .granted = pool->granted,
                          .refused = pool->refused,
                          .expired = pool->expired,
                          .unused = pool->unused,
                          .delay_ms = pool->delay_ms};
    const slot_backend_t *b;
    cds_list_for_each_entry(b, &pool->backends, node) {
        stats.backends++;
        stats.slots += slot_backend_is_usable(b) ? slot_backend_slots(b) : 0;
        stats.extra += slot_backend_is_usable(b) ? slot_backend_extra(pool, b, pool->now) : 0;
        stats.tickets += b->tickets;
        stats.unticketed += b->unticketed;
    }
    for (GSequenceIter *at = g_sequence_get_begin_iter(pool->classes); !g_sequence_iter_is_end(at);
         at = g_sequence_iter_next(at))
        stats.queued_late += ((const slot_class_t *)g_sequence_get(at))->counts[TIER_LATE];
    return stats;
}

static slot_backend_view_t view_backend(const slot_pool_t *pool, const slot_backend_t *b, tc_time_t now)
{
    slot_backend_view_t view = {.slots = slot_backend_slots(b),
                                .tickets = b->tickets,
                                .unticketed = b->unticketed,
                                .extra = slot_backend_extra(pool, b, now),
                                .failing = slot_backend_is_failing(b),
                                .pace = load_estimate_pace(&b->estimate, now)};
    view.service_ms = slot_backend_service_ms(pool, b, now) * 100 / MAX(view.pace, 1);
    codec_copy_string(view.backend, sizeof(view.backend), b->id);
    return view;
}

uint32_t slot_pool_list(const slot_pool_t *pool, slot_backend_view_t *views, uint32_t room, tc_time_t now)
{
    uint32_t n = 0;
    const slot_backend_t *b;
    cds_list_for_each_entry(b, &pool->backends, node) {
        if (n < room)
            views[n] = view_backend(pool, b, now);
        n++;
    }
    return n;
}

/* ===== View of admission ===== */

/** When the oldest queued request of a tier was queued; @p before if that is earlier. */
static tc_time_t oldest_of_tier(const slot_class_t *class, slot_tier_t tier, tc_time_t before)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, class->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const slot_group_t *const group = value;
        for (GSequenceIter *at = g_sequence_get_begin_iter(group->tiers[tier]); !g_sequence_iter_is_end(at);
             at = g_sequence_iter_next(at))
            before = MIN(before, ((const slot_request_t *)g_sequence_get(at))->arrived);
    }
    return before;
}

static void view_classes(const slot_pool_t *pool, admission_service_t *view, tc_time_t now)
{
    for (GSequenceIter *at = g_sequence_get_begin_iter(pool->classes); !g_sequence_iter_is_end(at);
         at = g_sequence_iter_next(at)) {
        const slot_class_t *const class = g_sequence_get(at);
        tc_time_t oldest = now;
        for (unsigned tier = 0; tier < TIER_COUNT; tier++)
            oldest = oldest_of_tier(class, tier, oldest);
        const admission_class_t entry = {.priority = class->priority,
                                         .rank = class->rank,
                                         .in_time = class->counts[TIER_IN_TIME],
                                         .yielded = class->counts[TIER_YIELDED],
                                         .late = class->counts[TIER_LATE],
                                         .oldest_ms = now - oldest};
        view->ranked |= view->queue->len > 0 && g_array_index(view->queue, admission_class_t, 0).rank != class->rank;
        g_array_append_val(view->queue, entry);
    }
}

void slot_pool_view(const slot_pool_t *pool, admission_service_t *view, tc_time_t now)
{
    const slot_stats_t stats = slot_pool_stats(pool);
    view->queued = stats.queued;
    view->queued_late = stats.queued_late;
    view->rate_s = stats.rate;
    view->granted = stats.granted;
    view->refused = stats.refused;
    view->expired = stats.expired;
    const slot_backend_t *b;
    cds_list_for_each_entry(b, &pool->backends, node) {
        const slot_backend_view_t entry = view_backend(pool, b, now);
        g_array_append_val(view->backends, entry);
    }
    view_classes(pool, view, now);
    admission_service_set_workspaces(view, pool->share);
    admission_service_set_returns(view, pool->returns);
}
