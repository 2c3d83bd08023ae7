/* The table of suspect requests, and the decision which of them are held. */

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "cluster/quarantine_internal.h"
#include "common/counter.h"
#include "common/log.h"
#include "common/mutant.h"

COUNTER_DEFINE(c_ends, "counter", "trackcove_quarantine_ends_total", "Ends of back ends held against requests")
COUNTER_DEFINE(c_cleared, "counter", "trackcove_quarantine_cleared_total", "Suspects that ran well")
COUNTER_DEFINE(c_entries, "gauge", "trackcove_quarantine_requests", "Requests of which an end is remembered")
COUNTER_DEFINE(c_held, "counter", "trackcove_quarantine_held_total", "Requests that came to be held")
COUNTER_DEFINE(c_part_ends, "counter", "trackcove_quarantine_part_ends_total",
               "Ends of back ends held against parts of prompts")
COUNTER_DEFINE(c_part_cleared, "counter", "trackcove_quarantine_part_cleared_total", "Suspect parts that ran well")
COUNTER_DEFINE(c_parts, "gauge", "trackcove_quarantine_parts", "Parts of prompts of which an end is remembered")
COUNTER_DEFINE(c_part_held, "counter", "trackcove_quarantine_part_held_total", "Parts of prompts that came to be held")
COUNTER_DEFINE(c_explained, "counter", "trackcove_quarantine_explained_total",
               "Ends of back ends that a held part explains, and that count against nothing else")

/* ===== Constants ===== */

enum {
    /* Crashes of one back end that are reported within this time are the same crash: a restart takes seconds. */
    SAME_CRASH_MS = 1000
};

/* ===== Requests ===== */

suspect_crash_t *quarantine_suspect_crash(const suspect_t *e, guint i)
{
    return &g_array_index(e->crashes, suspect_crash_t, i);
}

static void suspect_crash_clear(gpointer crash)
{
    g_free(((suspect_crash_t *)crash)->name);
}

static void entry_free(suspect_t *e)
{
    g_array_free(e->crashes, TRUE);
    g_free(e);
}

static suspect_t *find(const quarantine_t *q, uint64_t request)
{
    return g_hash_table_lookup(q->by_request, &request);
}

static void drop(quarantine_t *q, suspect_t *e)
{
    cds_list_del(&e->node);
    g_ptr_array_remove_fast(q->held, e);
    g_hash_table_remove(q->by_request, &e->request);
    entry_free(e);
    counter_set(q->of_parts ? &c_parts : &c_entries, g_hash_table_size(q->by_request));
}

/** Marks the entry as changed: it becomes the newest, for reports and for eviction. */
static void mark_changed(quarantine_t *q, suspect_t *e, tc_time_t at)
{
    e->seq = ++q->seq;
    e->updated_at = MAX(e->updated_at, at);
    cds_list_del(&e->node);
    cds_list_add_tail(&e->node, &q->entries);
    q->is_listed = false;
}

/** @return the entry without a change for the longest time; a held one only if all are held */
static suspect_t *find_evictable(const quarantine_t *q)
{
    suspect_t *e;
    cds_list_for_each_entry(e, &q->entries, node)
        if (e->held_since == 0)
            return e;
    return cds_list_first_entry(&q->entries, suspect_t, node);
}

static suspect_t *find_or_add(quarantine_t *q, uint64_t request)
{
    suspect_t *e = find(q, request);
    if (e)
        return e;
    if (g_hash_table_size(q->by_request) >= QUARANTINE_REQUESTS_MAX)
        drop(q, find_evictable(q));
    e = g_new0(suspect_t, 1);
    e->request = request;
    e->crashes = g_array_new(FALSE, FALSE, sizeof(suspect_crash_t));
    g_array_set_clear_func(e->crashes, suspect_crash_clear);
    cds_list_add_tail(&e->node, &q->entries);
    g_hash_table_insert(q->by_request, &e->request, e);
    counter_set(q->of_parts ? &c_parts : &c_entries, g_hash_table_size(q->by_request));
    return e;
}

/* ===== Judging ===== */

static bool is_same_time(tc_time_t a, tc_time_t b)
{
    return ABS(a - b) <= QUARANTINE_CORRELATION_MS;
}

static bool crashed_under(const suspect_t *e, uint64_t backend)
{
    for (guint i = 0; i < e->crashes->len; i++)
        if (quarantine_suspect_crash(e, i)->crash.backend == backend)
            return true;
    return false;
}

/** @return whether so many back ends crashed at that time that no request is the cause. Back ends that crashed under
 *  this request do not count: it may have been retried from one to the next. */
static bool is_correlated_crash(const quarantine_t *q, const suspect_t *e, const crash_t *crash)
{
    uint64_t others[QUARANTINE_CORRELATED_MIN];
    unsigned n = 0;
    for (unsigned i = 0; i < QUARANTINE_RECENT_MAX && n + 1 < QUARANTINE_CORRELATED_MIN; i++) {
        const crash_t *const other = &q->recent[i];
        if (other->at == 0 || !is_same_time(other->at, crash->at) || crashed_under(e, other->backend))
            continue;
        bool known = false;
        for (unsigned k = 0; k < n; k++)
            known = known || others[k] == other->backend;
        if (!known)
            others[n++] = other->backend;
    }
    return n + 1 >= QUARANTINE_CORRELATED_MIN;
}

static bool crash_counts(const quarantine_t *q, const suspect_t *e, suspect_crash_t *c, tc_time_t now)
{
    if (c->settled)
        return c->counts;
    c->counts = !is_correlated_crash(q, e, &c->crash);
    /* Boxes can clear a part only once they are told of it, which may be long after the crash. */
    c->settled =
        q->of_parts ? now - c->known_at >= QUARANTINE_PART_SETTLE_MS : now - c->crash.at >= QUARANTINE_SETTLE_MS;
    return c->counts;
}

/** Whether no earlier crash came under the same request. Always true of requests, whose crashes name none. */
static bool is_first_of_request(const suspect_t *e, guint at)
{
    const uint64_t by = quarantine_suspect_crash(e, at)->by;
    for (guint i = 0; i < at && by != 0; i++)
        if (quarantine_suspect_crash(e, i)->by == by)
            return false;
    return true;
}

unsigned quarantine_count_crashes(const quarantine_t *q, const suspect_t *e, bool settled, tc_time_t now)
{
    unsigned n = 0;
    for (guint i = 0; i < e->crashes->len; i++)
        n += crash_counts(q, e, quarantine_suspect_crash(e, i), now) &&
             (!settled || quarantine_suspect_crash(e, i)->settled) && is_first_of_request(e, i);
    return n;
}

/** @param event of a request @param part_event of a part */
static void log_entry(const quarantine_t *q, const char *event, const char *part_event, const suspect_t *e,
                      unsigned crashes)
{
    log_line_t line;
    log_begin(&line, LOG_WARN, q->of_parts ? part_event : event);
    log_hash(&line, q->of_parts ? "key" : "fingerprint", e->request);
    log_int(&line, "ends", crashes);
    log_str(&line, "backend", e->crashes->len > 0 ? quarantine_suspect_crash(e, e->crashes->len - 1)->name : "");
    log_end(&line);
}

/* ===== Explained crashes ===== */

static bool is_known_crash(const suspect_t *e, const crash_t *crash)
{
    for (guint i = 0; i < e->crashes->len; i++) {
        const crash_t *const other = &quarantine_suspect_crash(e, i)->crash;
        if (other->backend == crash->backend && ABS(other->at - crash->at) < SAME_CRASH_MS)
            return true;
    }
    return false;
}

static bool is_held_with(const quarantine_t *q, const suspect_t *e, const crash_t *crash)
{
    for (guint i = 0; q && i < q->held->len; i++) {
        const suspect_t *const cause = g_ptr_array_index(q->held, i);
        if (cause != e && is_known_crash(cause, crash))
            return true;
    }
    return false;
}

/** Whether a held part was among the requests of that crash. */
static bool is_explained(const quarantine_t *q, const suspect_t *e, const crash_t *crash)
{
    return (q->of_parts && is_held_with(q, e, crash)) || is_held_with(q->explained, e, crash);
}

static void remove_explained(quarantine_t *q, const suspect_t *cause)
{
    suspect_t *e, *next;
    cds_list_for_each_entry_safe(e, next, &q->entries, node) {
        const guint before = e->crashes->len;
        if (e == cause || e->held_since > 0)
            continue;
        for (guint i = e->crashes->len; i-- > 0;)
            if (is_known_crash(cause, &quarantine_suspect_crash(e, i)->crash))
                g_array_remove_index(e->crashes, i);
        counter_add(&c_explained, before - e->crashes->len);
        q->is_listed = q->is_listed && e->crashes->len == before;
    }
}

/** The crashes of a held part count against nothing else. */
static void explain_crashes(quarantine_t *q, const suspect_t *cause)
{
    if (!q->of_parts)
        return;
    remove_explained(q, cause);
    if (q->explains)
        remove_explained(q->explains, cause);
}

/** Whether another part was among the requests of all these crashes and of more: the likelier cause. */
static bool is_outweighed(const quarantine_t *q, const suspect_t *e)
{
    const suspect_t *other;
    if (!q->of_parts)
        return false;
    cds_list_for_each_entry(other, &q->entries, node) {
        bool all = other != e && other->held_since == 0 && other->crashes->len > e->crashes->len;
        for (guint i = 0; all && i < e->crashes->len; i++)
            all = is_known_crash(other, &quarantine_suspect_crash(e, i)->crash);
        if (all)
            return true;
    }
    return false;
}

/* ===== Holding ===== */

static void hold(quarantine_t *q, suspect_t *e, tc_time_t since)
{
    const bool is_new = e->held_since == 0;
    e->held_since = MAX(e->held_since, since);
    e->released = false;
    if (!is_new)
        return;
    q->version++;
    counter_add(q->of_parts ? &c_part_held : &c_held, 1);
    g_ptr_array_add(q->held, e);
    log_entry(q, "request_held", "part_held", e, QUARANTINE_CRASH_LIMIT);
    explain_crashes(q, e);
}

/** Ends the hold of a request, and keeps so many crashes that one more would have it held again. */
static void release(quarantine_t *q, suspect_t *e, tc_time_t now)
{
    e->held_since = 0;
    g_ptr_array_remove_fast(q->held, e);
    while (quarantine_count_crashes(q, e, false, now) >= QUARANTINE_CRASH_LIMIT)
        g_array_remove_index(e->crashes, 0);
    mark_changed(q, e, 0);
}

unsigned quarantine_unheld_limit(const quarantine_t *q)
{
    return q->of_parts ? QUARANTINE_CRASH_LIMIT - 1 : QUARANTINE_CRASH_LIMIT;
}

/** Holds the request by its settled crashes, or releases it when its time is over. */
static void judge(quarantine_t *q, suspect_t *e, tc_time_t now)
{
    if (e->held_since > 0) {
        if (now - e->held_since >= QUARANTINE_HOLD_MS)
            release(q, e, now);
        return;
    }
    if (q->of_parts && e->seq <= q->confirmed_seq)
        return; /* the leader judges it, which knows what other boxes have cleared */
    if (quarantine_count_crashes(q, e, true, now) < QUARANTINE_CRASH_LIMIT || is_outweighed(q, e))
        return;
    hold(q, e, quarantine_suspect_crash(e, e->crashes->len - 1)->crash.at);
    mark_changed(q, e, 0);
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

bool quarantine_is_empty(const quarantine_t *q)
{
    return q->suspects->len == 0 && g_hash_table_size(q->by_request) == 0;
}

unsigned quarantine_crash_count(quarantine_t *q, uint64_t request, tc_time_t now)
{
    suspect_t *const e = find(q, request);
    if (MUTANT_IS(MUTANT_FORGET_ENDS))
        return 0;
    if (e)
        judge(q, e, now);
    if (e && e->held_since > 0)
        return QUARANTINE_CRASH_LIMIT;
    /* Crashes that the leader has confirmed are in its list, merged with other boxes' reports: a run elsewhere may have
     * cleared them. So own ones count only until they are confirmed. */
    const unsigned own = e && e->seq > q->confirmed_seq ? quarantine_count_crashes(q, e, false, now) : 0;
    const suspect_request_t *const listed = find_suspect(q, request);
    const unsigned crashes = listed && listed->ends > own ? listed->ends : own;
    return MIN(crashes, quarantine_unheld_limit(q));
}

tc_time_t quarantine_remaining_ms(quarantine_t *q, uint64_t request, tc_time_t now)
{
    if (quarantine_crash_count(q, request, now) < QUARANTINE_CRASH_LIMIT)
        return 0;
    const suspect_t *const e = find(q, request);
    if (!e || e->held_since == 0)
        return QUARANTINE_SETTLE_MS; /* the crash will be judged by then */
    return MAX(e->held_since + QUARANTINE_HOLD_MS - now, 1);
}

uint64_t quarantine_version(const quarantine_t *q)
{
    return q->version;
}

/* ===== Updates ===== */

static void add_recent(quarantine_t *q, const crash_t *crash)
{
    for (unsigned i = 0; i < QUARANTINE_RECENT_MAX; i++)
        if (q->recent[i].backend == crash->backend && ABS(q->recent[i].at - crash->at) < SAME_CRASH_MS)
            return;
    q->recent[q->recent_at++ % QUARANTINE_RECENT_MAX] = *crash;
}

/** @param entry without its name */
static void insert_crash(suspect_t *e, suspect_crash_t entry, const char *name)
{
    const crash_t *const crash = &entry.crash;
    entry.name = g_strdup(name);
    guint at = e->crashes->len;
    while (at > 0 && quarantine_suspect_crash(e, at - 1)->crash.at > crash->at)
        at--;
    g_array_insert_val(e->crashes, at, entry);
    if (e->crashes->len > QUARANTINE_CRASHES_KEPT)
        g_array_remove_index(e->crashes, 0);
}

bool quarantine_add_crash(quarantine_t *q, uint64_t request, const char *backend, tc_time_t at, tc_time_t now)
{
    return quarantine_add_part_crash(q, request, 0, backend, at, now);
}

bool quarantine_add_part_crash(quarantine_t *q, uint64_t request, uint64_t by, const char *backend, tc_time_t at,
                               tc_time_t now)
{
    const crash_t crash = {.backend = XXH3_64bits(backend, strlen(backend)), .at = at};
    if (request == 0 || now - at >= QUARANTINE_RETENTION_MS)
        return false;
    add_recent(q, &crash);
    suspect_t *const e = find_or_add(q, request);
    if (at <= e->cleared_at || is_known_crash(e, &crash) || is_explained(q, e, &crash))
        return false;
    insert_crash(e, (suspect_crash_t){.crash = crash, .by = by, .known_at = now}, backend);
    mark_changed(q, e, at);
    counter_add(q->of_parts ? &c_part_ends : &c_ends, 1);
    log_entry(q, "request_suspected", "part_suspected", e, quarantine_count_crashes(q, e, false, now));
    judge(q, e, now);
    if (e->held_since > 0)
        explain_crashes(q, e);
    return true;
}

static void remove_suspect(quarantine_t *q, uint64_t request)
{
    const suspect_request_t *const listed = find_suspect(q, request);
    if (listed && (listed->ends < QUARANTINE_CRASH_LIMIT || q->of_parts))
        g_array_remove_index(q->suspects, (guint)(listed - (const suspect_request_t *)(const void *)q->suspects->data));
}

/** A part that is held began well after its newest crash, in a run that was on its way: it is not the cause. */
static void release_sound(quarantine_t *q, suspect_t *e)
{
    e->held_since = 0;
    e->released = true;
    g_ptr_array_remove_fast(q->held, e);
    q->version++;
    log_line_t line;
    log_begin(&line, LOG_WARN, "part_released");
    log_hash(&line, "key", e->request);
    log_end(&line);
}

void quarantine_clear(quarantine_t *q, uint64_t request, tc_time_t at)
{
    suspect_t *const e = find_or_add(q, request);
    const bool held = e->held_since > 0;
    if ((held && (!q->of_parts || at <= e->held_since)) || at <= e->cleared_at)
        return;
    if (held)
        release_sound(q, e);
    if (e->crashes->len > 0 && quarantine_suspect_crash(e, 0)->crash.at <= at)
        counter_add(q->of_parts ? &c_part_cleared : &c_cleared, 1);
    while (e->crashes->len > 0 && quarantine_suspect_crash(e, 0)->crash.at <= at)
        g_array_remove_index(e->crashes, 0);
    e->cleared_at = at;
    remove_suspect(q, request);
    mark_changed(q, e, at);
}

void quarantine_hold(quarantine_t *q, uint64_t request, tc_time_t since, tc_time_t now)
{
    if (request == 0 || now - since >= QUARANTINE_HOLD_MS)
        return;
    suspect_t *const e = find_or_add(q, request);
    const tc_time_t before = e->held_since;
    if (q->of_parts && since <= e->cleared_at)
        return; /* it was released since */
    /* 0 means not held; the hold may be older than the clock of a machine that has just started. */
    hold(q, e, MAX(since, 1));
    if (before == 0)
        mark_changed(q, e, since);
}

/* ===== Time ===== */

void quarantine_tick(quarantine_t *q, tc_time_t now)
{
    suspect_t *e, *next;
    cds_list_for_each_entry_safe(e, next, &q->entries, node) {
        judge(q, e, now);
        if (e->held_since == 0 && now - e->updated_at >= QUARANTINE_RETENTION_MS)
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
    q->held = g_ptr_array_new();
    CDS_INIT_LIST_HEAD(&q->entries);
    return q;
}

quarantine_t *quarantine_create_parts(quarantine_t *requests)
{
    quarantine_t *const q = quarantine_create();
    q->of_parts = true;
    q->explains = requests;
    if (requests)
        requests->explained = q;
    return q;
}

void quarantine_destroy(quarantine_t *q)
{
    suspect_t *e, *next;
    cds_list_for_each_entry_safe(e, next, &q->entries, node)
        entry_free(e);
    g_hash_table_destroy(q->by_request);
    g_array_free(q->suspects, TRUE);
    g_ptr_array_free(q->held, TRUE);
    if (q->explains)
        q->explains->explained = NULL;
    if (q->explained)
        q->explained->explains = NULL;
    g_free(q);
}
