/* What is known of each request, and what it comes to. */

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "cluster/quarantine_internal.h"
#include "common/counter.h"
#include "common/log.h"
#include "common/sabotage.h"

COUNTER_DEFINE(c_ends, "counter", "trackcove_quarantine_ends_total", "Ends of back ends held against requests")
COUNTER_DEFINE(c_cleared, "counter", "trackcove_quarantine_cleared_total", "Suspects that ran well")
COUNTER_DEFINE(c_entries, "gauge", "trackcove_quarantine_requests", "Requests of which an end is remembered")
COUNTER_DEFINE(c_held, "counter", "trackcove_quarantine_held_total", "Requests that came to be held")

/* ===== Constants ===== */

enum { SAME_MS = 1000 /* two ends of one back end within this time are one: it takes seconds to be there again */ };

/* ===== Requests ===== */

charge_t *quarantine_crash(const suspect_t *e, guint i)
{
    return &g_array_index(e->charges, charge_t, i);
}

static void charge_clear(gpointer charge)
{
    g_free(((charge_t *)charge)->name);
}

static void entry_free(suspect_t *e)
{
    g_array_free(e->charges, TRUE);
    g_free(e);
}

static suspect_t *find(const quarantine_t *q, uint64_t request)
{
    return g_hash_table_lookup(q->by_request, &request);
}

static void drop(quarantine_t *q, suspect_t *e)
{
    cds_list_del(&e->node);
    g_hash_table_remove(q->by_request, &e->request);
    entry_free(e);
    counter_set(&c_entries, g_hash_table_size(q->by_request));
}

/** The entry has changed: it is the newest, for reports and when room is needed. */
static void note_change(quarantine_t *q, suspect_t *e, tc_time_t at)
{
    e->seq = ++q->seq;
    e->heard_at = MAX(e->heard_at, at);
    cds_list_del(&e->node);
    cds_list_add_tail(&e->node, &q->entries);
    q->is_listed = false;
}

/** The one of which nothing was heard for longest; one that is held only when all are. */
static suspect_t *least_needed(const quarantine_t *q)
{
    suspect_t *e;
    cds_list_for_each_entry(e, &q->entries, node)
        if (e->held_since == 0)
            return e;
    return cds_list_first_entry(&q->entries, suspect_t, node);
}

static suspect_t *get(quarantine_t *q, uint64_t request)
{
    suspect_t *e = find(q, request);
    if (e)
        return e;
    if (g_hash_table_size(q->by_request) >= QUARANTINE_REQUESTS_MAX)
        drop(q, least_needed(q));
    e = g_new0(suspect_t, 1);
    e->request = request;
    e->charges = g_array_new(FALSE, FALSE, sizeof(charge_t));
    g_array_set_clear_func(e->charges, charge_clear);
    cds_list_add_tail(&e->node, &q->entries);
    g_hash_table_insert(q->by_request, &e->request, e);
    counter_set(&c_entries, g_hash_table_size(q->by_request));
    return e;
}

/* ===== Judging ===== */

static bool is_together(tc_time_t a, tc_time_t b)
{
    return ABS(a - b) <= QUARANTINE_CORRELATION_MS;
}

static bool ended_under(const suspect_t *e, uint64_t backend)
{
    for (guint i = 0; i < e->charges->len; i++)
        if (quarantine_crash(e, i)->end.backend == backend)
            return true;
    return false;
}

/** Whether so many back ends ended in that moment that no request is the cause. Those that ended under this one as well
 *  say nothing for it: it may have been sent from one to the next. */
static bool is_one_of_many(const quarantine_t *q, const suspect_t *e, const end_t *end)
{
    uint64_t others[QUARANTINE_CORRELATED_MIN];
    unsigned n = 0;
    for (unsigned i = 0; i < QUARANTINE_RECENT_MAX && n + 1 < QUARANTINE_CORRELATED_MIN; i++) {
        const end_t *const other = &q->recent[i];
        if (other->at == 0 || !is_together(other->at, end->at) || ended_under(e, other->backend))
            continue;
        bool known = false;
        for (unsigned k = 0; k < n; k++)
            known = known || others[k] == other->backend;
        if (!known)
            others[n++] = other->backend;
    }
    return n + 1 >= QUARANTINE_CORRELATED_MIN;
}

static bool charge_counts(const quarantine_t *q, const suspect_t *e, charge_t *c, tc_time_t now)
{
    if (c->judged)
        return c->counts;
    c->counts = !is_one_of_many(q, e, &c->end);
    c->judged = now - c->end.at >= QUARANTINE_SETTLE_MS;
    return c->counts;
}

unsigned quarantine_count_crashes(const quarantine_t *q, const suspect_t *e, bool settled, tc_time_t now)
{
    unsigned n = 0;
    for (guint i = 0; i < e->charges->len; i++)
        n += charge_counts(q, e, quarantine_crash(e, i), now) && (!settled || quarantine_crash(e, i)->judged);
    return n;
}

static void log_request(const char *event, const suspect_t *e, unsigned ends)
{
    log_line_t line;
    log_begin(&line, LOG_WARN, event);
    log_hash(&line, "fingerprint", e->request);
    log_int(&line, "ends", ends);
    log_str(&line, "backend", e->charges->len > 0 ? quarantine_crash(e, e->charges->len - 1)->name : "");
    log_end(&line);
}

static void hold(quarantine_t *q, suspect_t *e, tc_time_t since)
{
    const bool news = e->held_since == 0;
    e->held_since = MAX(e->held_since, since);
    if (!news)
        return;
    q->version++;
    counter_add(&c_held, 1);
    log_request("request_held", e, QUARANTINE_CRASH_LIMIT);
}

/** The time of a request that was held is over: one more end would have it held again. */
static void release(quarantine_t *q, suspect_t *e, tc_time_t now)
{
    e->held_since = 0;
    while (quarantine_count_crashes(q, e, false, now) >= QUARANTINE_CRASH_LIMIT)
        g_array_remove_index(e->charges, 0);
    note_change(q, e, 0);
}

/** Hold it, or let it go, by what has settled. */
static void judge(quarantine_t *q, suspect_t *e, tc_time_t now)
{
    if (e->held_since > 0) {
        if (now - e->held_since >= QUARANTINE_HOLD_MS)
            release(q, e, now);
        return;
    }
    if (quarantine_count_crashes(q, e, true, now) < QUARANTINE_CRASH_LIMIT)
        return;
    hold(q, e, quarantine_crash(e, e->charges->len - 1)->end.at);
    note_change(q, e, 0);
}

static const suspect_request_t *find_suspect(const quarantine_t *q, uint64_t request)
{
    for (guint i = 0; i < q->suspects->len; i++) {
        const suspect_request_t *const s = &g_array_index(q->suspects, suspect_request_t, i);
        if (s->request == request)
            return s;
    }
    return NULL;
}

unsigned quarantine_crash_count(quarantine_t *q, uint64_t request, tc_time_t now)
{
    suspect_t *const e = find(q, request);
    if (SABOTAGE_IS(SABOTAGE_FORGET_ENDS))
        return 0;
    if (e)
        judge(q, e, now);
    if (e && e->held_since > 0)
        return QUARANTINE_CRASH_LIMIT;
    /* What the leader has heard of is in its list, with what others know: a run elsewhere may have cleared it. */
    const unsigned own = e && e->seq > q->heard_seq ? quarantine_count_crashes(q, e, false, now) : 0;
    const suspect_request_t *const told = find_suspect(q, request);
    const unsigned ends = told && told->ends > own ? told->ends : own;
    return MIN(ends, QUARANTINE_CRASH_LIMIT);
}

tc_time_t quarantine_remaining_ms(quarantine_t *q, uint64_t request, tc_time_t now)
{
    if (quarantine_crash_count(q, request, now) < QUARANTINE_CRASH_LIMIT)
        return 0;
    const suspect_t *const e = find(q, request);
    if (!e || e->held_since == 0)
        return QUARANTINE_SETTLE_MS; /* it is judged by then */
    return MAX(e->held_since + QUARANTINE_HOLD_MS - now, 1);
}

uint64_t quarantine_version(const quarantine_t *q)
{
    return q->version;
}

/* ===== What was found out ===== */

static void remember_recent(quarantine_t *q, const end_t *end)
{
    for (unsigned i = 0; i < QUARANTINE_RECENT_MAX; i++)
        if (q->recent[i].backend == end->backend && ABS(q->recent[i].at - end->at) < SAME_MS)
            return;
    q->recent[q->recent_at++ % QUARANTINE_RECENT_MAX] = *end;
}

static bool is_known(const suspect_t *e, const end_t *end)
{
    for (guint i = 0; i < e->charges->len; i++) {
        const end_t *const other = &quarantine_crash(e, i)->end;
        if (other->backend == end->backend && ABS(other->at - end->at) < SAME_MS)
            return true;
    }
    return false;
}

static void add_charge(suspect_t *e, const end_t *end, const char *name)
{
    const charge_t charge = {.end = *end, .name = g_strdup(name)};
    guint at = e->charges->len;
    while (at > 0 && quarantine_crash(e, at - 1)->end.at > end->at)
        at--;
    g_array_insert_val(e->charges, at, charge);
    if (e->charges->len > QUARANTINE_CRASHES_KEPT)
        g_array_remove_index(e->charges, 0);
}

bool quarantine_add_crash(quarantine_t *q, uint64_t request, const char *backend, tc_time_t at, tc_time_t now)
{
    const end_t end = {.backend = XXH3_64bits(backend, strlen(backend)), .at = at};
    if (request == 0 || now - at >= QUARANTINE_RETENTION_MS)
        return false;
    remember_recent(q, &end);
    suspect_t *const e = get(q, request);
    if (at <= e->cleared_at || is_known(e, &end))
        return false;
    add_charge(e, &end, backend);
    note_change(q, e, at);
    counter_add(&c_ends, 1);
    log_request("request_suspected", e, quarantine_count_crashes(q, e, false, now));
    judge(q, e, now);
    return true;
}

static void forget_suspect(quarantine_t *q, uint64_t request)
{
    const suspect_request_t *const told = find_suspect(q, request);
    if (told && told->ends < QUARANTINE_CRASH_LIMIT)
        g_array_remove_index(q->suspects, (guint)(told - (const suspect_request_t *)(const void *)q->suspects->data));
}

void quarantine_clear(quarantine_t *q, uint64_t request, tc_time_t at)
{
    suspect_t *const e = get(q, request);
    if (e->held_since > 0 || at <= e->cleared_at)
        return;
    if (e->charges->len > 0 && quarantine_crash(e, 0)->end.at <= at)
        counter_add(&c_cleared, 1);
    while (e->charges->len > 0 && quarantine_crash(e, 0)->end.at <= at)
        g_array_remove_index(e->charges, 0);
    e->cleared_at = at;
    forget_suspect(q, request);
    note_change(q, e, at);
}

void quarantine_hold(quarantine_t *q, uint64_t request, tc_time_t since, tc_time_t now)
{
    if (request == 0 || now - since >= QUARANTINE_HOLD_MS)
        return;
    suspect_t *const e = get(q, request);
    const tc_time_t before = e->held_since;
    hold(q, e, MAX(since, 1)); /* a machine that has just started may be younger than what it is told */
    if (before == 0)
        note_change(q, e, since);
}

/* ===== Time ===== */

void quarantine_tick(quarantine_t *q, tc_time_t now)
{
    suspect_t *e, *next;
    cds_list_for_each_entry_safe(e, next, &q->entries, node) {
        judge(q, e, now);
        if (e->held_since == 0 && now - e->heard_at >= QUARANTINE_RETENTION_MS)
            drop(q, e);
    }
}

request_age_t *quarantine_list_held(quarantine_t *q, uint32_t *n, tc_time_t now)
{
    request_age_t *const list = calloc(g_hash_table_size(q->by_request) + 1, sizeof(*list));
    if (!list)
        abort();
    *n = 0;
    const suspect_t *e;
    cds_list_for_each_entry(e, &q->entries, node)
        if (e->held_since > 0)
            list[(*n)++] = (request_age_t){.request = e->request, .age_ms = (uint64_t)(now - e->held_since)};
    return list;
}

/* ===== Life ===== */

quarantine_t *quarantine_create(void)
{
    quarantine_t *const q = g_new0(quarantine_t, 1);
    q->by_request = g_hash_table_new(g_int64_hash, g_int64_equal);
    q->suspects = g_array_new(FALSE, FALSE, sizeof(suspect_request_t));
    CDS_INIT_LIST_HEAD(&q->entries);
    return q;
}

void quarantine_destroy(quarantine_t *q)
{
    suspect_t *e, *next;
    cds_list_for_each_entry_safe(e, next, &q->entries, node)
        entry_free(e);
    g_hash_table_destroy(q->by_request);
    g_array_free(q->suspects, TRUE);
    g_free(q);
}
