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
    GHashTable *by_peer;         /* address -> buffer_group_t */
    struct cds_list_head ending; /* shares whose owners are to be told */
    loop_t *loop;
    loop_timer_t timer; /* deferred while there are any */
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
    assert(share->group); /* one that is to end is not counted */
    budget->bytes = budget->bytes - share->bytes + bytes;
    share->group->bytes = share->group->bytes - share->bytes + bytes;
    share->bytes = bytes;
    counter_set(&c_bytes, (int64_t)budget->bytes);
    if (budget->bytes > budget->peak) {
        budget->peak = budget->bytes;
        counter_set(&c_peak, (int64_t)budget->peak);
    }
}

static bool is_ending(const buffer_share_t *share)
{
    return !share->group;
}

static void join_group(buffer_share_t *share)
{
    share->group = group_of(share->budget, share->peer);
    share->bytes = 0;
    cds_list_add(&share->node, &share->group->shares);
}

static void leave_group(buffer_share_t *share)
{
    share_resize(share, 0);
    cds_list_del(&share->node);
    group_drop_empty(share->budget, share->group);
    share->group = NULL;
}

void buffer_share_open(buffer_share_t *share, buffer_budget_t *budget, const char *peer, buffer_end_fn_t end, void *arg)
{
    assert(!share->budget); /* its bytes would stay counted */
    *share = (buffer_share_t){.budget = budget, .end = end, .arg = arg};
    if (!budget)
        return;
    share->peer = g_strdup(peer);
    join_group(share);
}

void buffer_share_close(buffer_share_t *share)
{
    if (!share->budget)
        return;
    if (is_ending(share))
        cds_list_del(&share->node);
    else
        leave_group(share);
    share->budget = NULL;
    g_free(share->peer);
    share->peer = NULL;
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

/** Tells the owners. What they begin meanwhile may have others end, which are told as well. */
static void end_owners(void *arg)
{
    buffer_budget_t *const budget = arg;
    while (!cds_list_empty(&budget->ending)) {
        buffer_share_t *const share = cds_list_first_entry(&budget->ending, buffer_share_t, node);
        counter_add(&c_ended, 1);
        buffer_share_close(share);
        share->end(share->arg);
    }
}

static void schedule_end(buffer_share_t *share)
{
    buffer_budget_t *const budget = share->budget;
    const size_t bytes = share->bytes;
    leave_group(share);
    share->bytes = bytes;
    cds_list_add_tail(&share->node, &budget->ending);
    if (!budget->timer.armed)
        loop_defer(budget->loop, &budget->timer, end_owners, budget);
}

/** Has shares end until @p share may grow to @p bytes. @return false when it is the one to be ended */
static bool make_room(buffer_share_t *share, size_t bytes)
{
    const buffer_budget_t *const budget = share->budget;
    const size_t more = bytes - share->bytes;
    while (budget->bytes + more > budget->limit) {
        buffer_share_t *const largest = find_largest(find_largest_group(budget, share, more), share, more);
        if (largest == share) {
            counter_add(&c_ended, 1);
            return false;
        }
        schedule_end(largest);
    }
    return true;
}

/** A share that is to end goes on if its buffer has shrunk and there is room for the rest of it. */
static bool set_ending(buffer_share_t *share, size_t bytes)
{
    buffer_budget_t *const budget = share->budget;
    if (bytes > share->bytes) {
        counter_add(&c_ended, 1);
        buffer_share_close(share);
        return false;
    }
    share->bytes = bytes;
    if (budget->bytes + bytes > budget->limit)
        return true;
    cds_list_del(&share->node);
    join_group(share);
    share_resize(share, bytes);
    return true;
}

bool buffer_share_set(buffer_share_t *share, size_t bytes)
{
    const buffer_budget_t *const budget = share->budget;
    if (!budget)
        return true;
    if (is_ending(share))
        return set_ending(share, bytes);
    const bool exceeds = bytes > share->bytes && budget->bytes + (bytes - share->bytes) > budget->limit;
    if (exceeds && !make_room(share, bytes))
        return false;
    share_resize(share, bytes);
    return true;
}

/* ===== Budgets ===== */

buffer_budget_t *buffer_budget_create(loop_t *loop, size_t limit)
{
    buffer_budget_t *const budget = g_new0(buffer_budget_t, 1);
    budget->loop = loop;
    budget->limit = limit;
    CDS_INIT_LIST_HEAD(&budget->ending);
    CDS_INIT_LIST_HEAD(&budget->groups);
    budget->by_peer = g_hash_table_new(g_str_hash, g_str_equal);
    counter_set(&c_bytes, 0);
    counter_set(&c_peak, 0);
    counter_set(&c_limit, (int64_t)limit);
    return budget;
}

void buffer_budget_destroy(buffer_budget_t *budget)
{
    /* An open share would refer to freed memory. */
    assert(cds_list_empty(&budget->groups) && cds_list_empty(&budget->ending));
    loop_disarm(&budget->timer);
    g_hash_table_unref(budget->by_peer);
    g_free(budget);
}

size_t buffer_budget_bytes(const buffer_budget_t *budget)
{
    return budget->bytes;
}
