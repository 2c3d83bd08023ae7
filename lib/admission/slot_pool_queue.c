/* Order of waiting requests: classes by priority and rank; within a class tiers by urgency; within a tier due time, or
 * arrival for late ones. A class keeps one sequence per tier and set of tried back ends, so that requests that cannot
 * use the free slot are passed over without walking along them. */

#include <stdlib.h>
#include <string.h>

#include "admission/slot_pool_internal.h"

/* ===== Comparison ===== */

static gint compare_u64(uint64_t a, uint64_t b)
{
    return (a > b) - (a < b);
}

static gint compare_times(tc_time_t a, tc_time_t b)
{
    return (a > b) - (a < b);
}

gint slot_compare_ends(gconstpointer a, gconstpointer b, gpointer unused)
{
    const slot_request_t *const x = a, *const y = b;
    return x->ends != y->ends ? compare_times(x->ends, y->ends) : compare_u64(x->order, y->order);
}

gint slot_compare_classes(gconstpointer a, gconstpointer b, gpointer unused)
{
    const slot_class_t *const x = a, *const y = b;
    return x->priority != y->priority ? compare_u64(x->priority, y->priority) : compare_u64(x->rank, y->rank);
}

static gint compare_due(gconstpointer a, gconstpointer b, gpointer unused)
{
    const slot_request_t *const x = a, *const y = b;
    return x->due != y->due ? compare_times(x->due, y->due) : compare_u64(x->order, y->order);
}

/** Late requests: promised returns first, early ones last. */
static gint compare_late(gconstpointer a, gconstpointer b, gpointer unused)
{
    static const unsigned standing[] = {
        [RETURN_PROMISED] = 0, [RETURN_NEW] = 1, [RETURN_UNPROMISED] = 1, [RETURN_EARLY] = 2};
    const slot_request_t *const x = a, *const y = b;
    if (standing[x->kind] != standing[y->kind])
        return standing[x->kind] < standing[y->kind] ? -1 : 1;
    return compare_u64(x->order, y->order);
}

static GCompareDataFunc tier_order(slot_tier_t tier)
{
    return tier == TIER_LATE ? compare_late : compare_due;
}

/* ===== Classes and groups ===== */

static void space_free(gpointer data)
{
    slot_space_t *const space = data;
    g_sequence_free(space->requests);
    g_ref_string_release(space->workspace);
    g_free(space);
}

static void group_free(gpointer data)
{
    slot_group_t *const group = data;
    for (unsigned t = 0; t < TIER_COUNT; t++)
        g_sequence_free(group->tiers[t]);
    g_strfreev(group->ids);
    g_free(group->tried);
    g_free(group);
}

void slot_class_free(gpointer data)
{
    slot_class_t *const class = data;
    g_hash_table_destroy(class->groups);
    g_hash_table_destroy(class->spaces);
    g_free(class);
}

slot_class_t *slot_class_get(slot_pool_t *pool, uint32_t priority, uint32_t rank)
{
    slot_class_t key = {.priority = priority, .rank = rank};
    GSequenceIter *const found = g_sequence_lookup(pool->classes, &key, slot_compare_classes, NULL);
    if (found)
        return g_sequence_get(found);
    slot_class_t *const class = g_new0(slot_class_t, 1);
    class->priority = priority;
    class->rank = rank;
    class->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, group_free);
    class->spaces = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, space_free);
    g_sequence_insert_sorted(pool->classes, class, slot_compare_classes, NULL);
    return class;
}

static uint32_t class_count(const slot_class_t *class)
{
    return class->counts[TIER_IN_TIME] + class->counts[TIER_YIELDED] + class->counts[TIER_LATE];
}

void slot_queue_clean(slot_pool_t *pool, tc_time_t now)
{
    GSequenceIter *at = g_sequence_get_begin_iter(pool->classes);
    while (!g_sequence_iter_is_end(at)) {
        GSequenceIter *const next = g_sequence_iter_next(at);
        const slot_class_t *const class = g_sequence_get(at);
        if (class_count(class) == 0 && slot_rate_get(&class->wave, SLOT_WAVE_MS, now) < 1e-5)
            g_sequence_remove(at);
        at = next;
    }
}

static int compare_names(const void *a, const void *b)
{
    return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/** Sorted ids, each followed by a line break. */
static char *tried_key(const msg_slot_take_t *take)
{
    const char **const names = g_new0(const char *, take->tried_n + 1);
    for (uint32_t i = 0; i < take->tried_n; i++)
        names[i] = take->tried[i].name;
    if (take->tried_n > 0)
        qsort(names, take->tried_n, sizeof(*names), compare_names);
    GString *const key = g_string_new(NULL);
    for (uint32_t i = 0; i < take->tried_n; i++)
        if (i == 0 || strcmp(names[i], names[i - 1]) != 0)
            g_string_append_printf(key, "%s\n", names[i]);
    g_free(names);
    return g_string_free(key, FALSE);
}

void slot_queue_assign(slot_pool_t *pool, slot_request_t *r, const msg_slot_take_t *take)
{
    r->class = slot_class_get(pool, take->priority, take->rank);
    char *const key = tried_key(take);
    r->group = g_hash_table_lookup(r->class->groups, key);
    if (r->group) {
        g_free(key);
        return;
    }
    slot_group_t *const group = g_new0(slot_group_t, 1);
    group->tried = key;
    group->ids = g_strsplit(key, "\n", -1);
    group->ids_n = g_strv_length(group->ids);
    for (unsigned t = 0; t < TIER_COUNT; t++)
        group->tiers[t] = g_sequence_new(NULL);
    g_hash_table_insert(r->class->groups, group->tried, group);
    r->group = group;
}

bool slot_group_excludes(const slot_group_t *group, const slot_backend_t *b)
{
    for (guint i = 0; i < group->ids_n; i++)
        if (strcmp(group->ids[i], b->id) == 0)
            return true;
    return false;
}

slot_request_t *slot_group_first(const slot_group_t *group, slot_tier_t tier)
{
    GSequenceIter *const at = g_sequence_get_begin_iter(group->tiers[tier]);
    return g_sequence_iter_is_end(at) ? NULL : g_sequence_get(at);
}

static slot_request_t *group_last(const slot_group_t *group, slot_tier_t tier)
{
    GSequenceIter *const end = g_sequence_get_end_iter(group->tiers[tier]);
    return g_sequence_iter_is_begin(end) ? NULL : g_sequence_get(g_sequence_iter_prev(end));
}

static bool group_is_empty(const slot_group_t *group)
{
    for (unsigned t = 0; t < TIER_COUNT; t++)
        if (!g_sequence_is_empty(group->tiers[t]))
            return false;
    return true;
}

/* ===== Requests ===== */

static void space_insert(slot_request_t *r)
{
    r->space = g_hash_table_lookup(r->class->spaces, r->workspace);
    if (!r->space) {
        r->space = g_new0(slot_space_t, 1);
        r->space->workspace = g_ref_string_acquire(r->workspace);
        r->space->requests = g_sequence_new(NULL);
        g_hash_table_insert(r->class->spaces, r->space->workspace, r->space);
    }
    r->in_space = g_sequence_insert_sorted(r->space->requests, r, compare_due, NULL);
}

static void space_remove(slot_request_t *r)
{
    g_sequence_remove(r->in_space);
    if (g_sequence_is_empty(r->space->requests))
        g_hash_table_remove(r->class->spaces, r->workspace);
    r->space = NULL;
}

/** Counts or uncounts the request as queued use of its workspace. Late ones do not count: they wait for what is left
 *  over, and must not make the requests in time of their workspace yield. */
static void count_use(slot_pool_t *pool, const slot_request_t *r, bool add)
{
    if (r->tier == TIER_LATE)
        return;
    if (add)
        fair_share_add_queued(pool->share, r->workspace, 1);
    else
        fair_share_remove_queued(pool->share, r->workspace, 1);
}

static void tier_insert(slot_pool_t *pool, slot_request_t *r)
{
    count_use(pool, r, true);
    r->in_tier = g_sequence_insert_sorted(r->group->tiers[r->tier], r, tier_order(r->tier), NULL);
    r->class->counts[r->tier]++;
    if (r->tier == TIER_IN_TIME)
        space_insert(r);
}

static void tier_remove(slot_pool_t *pool, slot_request_t *r)
{
    count_use(pool, r, false);
    if (r->tier == TIER_IN_TIME)
        space_remove(r);
    g_sequence_remove(r->in_tier);
    r->class->counts[r->tier]--;
}

void slot_queue_insert(slot_pool_t *pool, slot_request_t *r)
{
    tier_insert(pool, r);
    r->by_end = g_sequence_insert_sorted(pool->waiting, r, slot_compare_ends, NULL);
    pool->queued++;
}

void slot_queue_remove(slot_pool_t *pool, slot_request_t *r)
{
    tier_remove(pool, r);
    g_sequence_remove(r->by_end);
    pool->queued--;
    if (group_is_empty(r->group))
        g_hash_table_remove(r->class->groups, r->group->tried);
    r->group = NULL;
}

void slot_queue_move(slot_pool_t *pool, slot_request_t *r, slot_tier_t tier)
{
    tier_remove(pool, r);
    r->tier = tier;
    tier_insert(pool, r);
}

/* ===== Positions ===== */

/** Requests of a tier that go before @p r. */
static uint32_t count_before(const slot_request_t *r)
{
    uint32_t n = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, r->class->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const slot_group_t *const group = value;
        GSequenceIter *const at =
            group == r->group ? r->in_tier
                              : g_sequence_search(group->tiers[r->tier], (gpointer)r, tier_order(r->tier), NULL);
        n += (uint32_t)g_sequence_iter_get_position(at);
    }
    return n;
}

uint32_t slot_queue_ahead(const slot_pool_t *pool, const slot_request_t *r)
{
    uint32_t n = 0;
    for (GSequenceIter *at = g_sequence_get_begin_iter(pool->classes); !g_sequence_iter_is_end(at);
         at = g_sequence_iter_next(at)) {
        const slot_class_t *const class = g_sequence_get(at);
        if (class == r->class)
            break;
        n += class_count(class);
    }
    for (unsigned t = 0; t < r->tier; t++)
        n += r->class->counts[t];
    return n + count_before(r);
}

bool slot_goes_after(const slot_request_t *r, const slot_request_t *other)
{
    return tier_order(r->tier)(r, other, NULL) > 0;
}

static bool may_use_any(const slot_group_t *group, slot_backend_t *const *free_ones, guint n)
{
    if (n > group->ids_n)
        return true;
    for (guint i = 0; i < n; i++)
        if (!slot_group_excludes(group, free_ones[i]))
            return true;
    return false;
}

static slot_request_t *class_first(const slot_class_t *class, slot_tier_t tier, slot_backend_t *const *free_ones,
                                   guint n)
{
    slot_request_t *first = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, class->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        slot_request_t *const r = slot_group_first(value, tier);
        if (r && (!first || tier_order(tier)(r, first, NULL) < 0) && may_use_any(value, free_ones, n))
            first = r;
    }
    return first;
}

slot_request_t *slot_queue_first(const slot_pool_t *pool, slot_backend_t *const *free_ones, guint n)
{
    for (GSequenceIter *at = g_sequence_get_begin_iter(pool->classes); !g_sequence_iter_is_end(at);
         at = g_sequence_iter_next(at)) {
        const slot_class_t *const class = g_sequence_get(at);
        for (unsigned t = 0; t < TIER_COUNT; t++) {
            slot_request_t *const first = class->counts[t] > 0 ? class_first(class, t, free_ones, n) : NULL;
            if (first)
                return first;
        }
    }
    return NULL;
}

static slot_request_t *tier_first_due(const slot_class_t *class, slot_tier_t tier, const slot_backend_t *b,
                                      tc_time_t due)
{
    const slot_request_t key = {.due = due}; /* before all that are due then, which have higher numbers */
    slot_request_t *first = NULL;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, class->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const slot_group_t *const group = value;
        GSequenceIter *const at = g_sequence_search(group->tiers[tier], (gpointer)&key, compare_due, NULL);
        slot_request_t *const r = g_sequence_iter_is_end(at) ? NULL : g_sequence_get(at);
        if (r && (!first || compare_due(r, first, NULL) < 0) && !slot_group_excludes(group, b))
            first = r;
    }
    return first;
}

slot_request_t *slot_queue_first_due(const slot_class_t *class, slot_tier_t last, const slot_backend_t *b,
                                     tc_time_t due)
{
    slot_request_t *first = NULL;
    for (unsigned t = 0; t <= last && !first; t++)
        first = class->counts[t] > 0 ? tier_first_due(class, t, b, due) : NULL;
    return first;
}

slot_request_t *slot_queue_last(const slot_class_t *class, slot_tier_t tier)
{
    slot_request_t *last = NULL;
    GHashTableIter iter;
    gpointer value;
    if (class->counts[tier] == 0)
        return NULL;
    g_hash_table_iter_init(&iter, class->groups);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        slot_request_t *const r = group_last(value, tier);
        if (r && (!last || tier_order(tier)(r, last, NULL) > 0))
            last = r;
    }
    return last;
}
