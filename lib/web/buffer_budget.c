#include "web/buffer_budget.h"

#include <assert.h>
#include <glib.h>

#include "common/counter.h"

COUNTER_DEFINE(c_bytes, "gauge", "trackcove_answer_buffered_bytes", "Bytes of answers that are buffered")
COUNTER_DEFINE(c_peak, "gauge", "trackcove_answer_buffered_peak_bytes", "Most bytes of answers buffered at a time")
COUNTER_DEFINE(c_limit, "gauge", "trackcove_answer_buffered_limit_bytes",
               "Limit of trackcove_answer_buffered_bytes, from the memory of the box")
COUNTER_DEFINE(c_ended, "counter", "trackcove_answer_buffer_ended_total",
               "Answers ended since those of all back ends together reached that limit")

/* ===== Types ===== */

struct buffer_group {
    struct cds_list_head node; /* in budget->groups */
    struct cds_list_head shares;
    char *peer; /* key in budget->by_peer; NULL: a group of one share */
    size_t bytes;
};

struct buffer_budget {
    size_t limit, bytes, peak;
    struct cds_list_head groups;
    GHashTable *by_peer; /* address -> buffer_group_t */
    bool ending;         /* an owner is being ended: what it does meanwhile ends no other */
};

/* ===== Groups ===== */

static buffer_group_t *group_add(buffer_budget_t *budget, const char *peer)
{
    buffer_group_t *const group = g_new0(buffer_group_t, 1);
    CDS_INIT_LIST_HEAD(&group->shares);
    cds_list_add(&group->node, &budget->groups);
    group->peer = g_strdup(peer);
    if (peer)
        g_hash_table_insert(budget->by_peer, group->peer, group);
    return group;
}

static buffer_group_t *group_of(buffer_budget_t *budget, const char *peer)
{
    buffer_group_t *const group = peer ? g_hash_table_lookup(budget->by_peer, peer) : NULL;
    return group ? group : group_add(budget, peer);
}

static void group_drop_empty(buffer_budget_t *budget, buffer_group_t *group)
{
    if (!cds_list_empty(&group->shares))
        return;
    if (group->peer)
        g_hash_table_remove(budget->by_peer, group->peer);
    cds_list_del(&group->node);
    g_free(group->peer);
    g_free(group);
}

/* ===== Shares ===== */

static void share_resize(buffer_share_t *share, size_t bytes)
{
    buffer_budget_t *const budget = share->budget;
    budget->bytes = budget->bytes - share->bytes + bytes;
    share->group->bytes = share->group->bytes - share->bytes + bytes;
    share->bytes = bytes;
    counter_set(&c_bytes, (int64_t)budget->bytes);
    if (budget->bytes > budget->peak) {
        budget->peak = budget->bytes;
        counter_set(&c_peak, (int64_t)budget->peak);
    }
}

void buffer_share_open(buffer_share_t *share, buffer_budget_t *budget, const char *peer, buffer_end_fn_t end, void *arg)
{
    assert(!share->budget); /* its bytes would stay counted */
    *share = (buffer_share_t){.budget = budget, .end = end, .arg = arg};
    if (!budget)
        return;
    share->group = group_of(budget, peer);
    cds_list_add(&share->node, &share->group->shares);
}

void buffer_share_close(buffer_share_t *share)
{
    if (!share->budget)
        return;
    share_resize(share, 0);
    cds_list_del(&share->node);
    group_drop_empty(share->budget, share->group);
    share->budget = NULL;
    share->group = NULL;
}

/* ===== Limit ===== */

/** Group that holds most. @param grown its group is to hold @p more bytes */
static buffer_group_t *find_largest_group(const buffer_budget_t *budget, const buffer_share_t *grown, size_t more)
{
    buffer_group_t *group, *largest = grown->group;
    cds_list_for_each_entry(group, &budget->groups, node) {
        const size_t most = largest->bytes + (largest == grown->group ? more : 0);
        if (group != grown->group && group->bytes > most)
            largest = group;
    }
    return largest;
}

static buffer_share_t *find_largest(const buffer_group_t *group, buffer_share_t *grown, size_t more)
{
    buffer_share_t *share, *largest = group == grown->group ? grown : NULL;
    cds_list_for_each_entry(share, &group->shares, node) {
        const size_t most = largest ? largest->bytes + (largest == grown ? more : 0) : 0;
        if (share != grown && share->bytes > most)
            largest = share;
    }
    return largest;
}

/** Ends shares until @p share may grow to @p bytes. @return false when it is the one to be ended */
static bool make_room(buffer_share_t *share, size_t bytes)
{
    buffer_budget_t *const budget = share->budget;
    const size_t more = bytes - share->bytes;
    bool may_grow = true;
    budget->ending = true;
    while (may_grow && budget->bytes + more > budget->limit) {
        buffer_share_t *const largest = find_largest(find_largest_group(budget, share, more), share, more);
        counter_add(&c_ended, 1);
        may_grow = largest != share;
        if (may_grow) {
            buffer_share_close(largest);
            largest->end(largest->arg);
        }
    }
    budget->ending = false;
    return may_grow;
}

bool buffer_share_set(buffer_share_t *share, size_t bytes)
{
    buffer_budget_t *const budget = share->budget;
    if (!budget)
        return true;
    const bool grows = bytes > share->bytes && budget->bytes + (bytes - share->bytes) > budget->limit;
    if (grows && !budget->ending && !make_room(share, bytes))
        return false;
    share_resize(share, bytes);
    return true;
}

/* ===== Budgets ===== */

buffer_budget_t *buffer_budget_create(size_t limit)
{
    buffer_budget_t *const budget = g_new0(buffer_budget_t, 1);
    budget->limit = limit;
    CDS_INIT_LIST_HEAD(&budget->groups);
    budget->by_peer = g_hash_table_new(g_str_hash, g_str_equal);
    counter_set(&c_bytes, 0);
    counter_set(&c_peak, 0);
    counter_set(&c_limit, (int64_t)limit);
    return budget;
}

void buffer_budget_destroy(buffer_budget_t *budget)
{
    assert(cds_list_empty(&budget->groups)); /* an open share would refer to freed memory */
    g_hash_table_unref(budget->by_peer);
    g_free(budget);
}

size_t buffer_budget_bytes(const buffer_budget_t *budget)
{
    return budget->bytes;
}
