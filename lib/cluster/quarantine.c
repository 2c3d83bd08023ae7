/* The table of suspect requests, and the decision which of them are held. */

#include <assert.h>
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
COUNTER_DEFINE(c_trials, "counter", "trackcove_quarantine_trials_total",
               "Trial runs that the leader granted to held requests and parts")
COUNTER_DEFINE(c_explained, "counter", "trackcove_quarantine_explained_total",
               "Ends of back ends that a held part explains, and that count against nothing else")

/* ===== Requests ===== */

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

/* ===== Logging ===== */

/** Begins a line about the entry. @param event of a request @param part_event of a part */
static void log_entry(const quarantine_t *q, const char *event, const char *part_event, const suspect_t *e,
                      log_line_t *line)
{
    log_begin(line, LOG_WARN, q->of_parts ? part_event : event);
    log_hash(line, q->of_parts ? "key" : "fingerprint", e->request);
    log_str(line, "backend", e->crashes->len > 0 ? quarantine_suspect_crash(e, e->crashes->len - 1)->name : "");
}

static void log_suspected(const quarantine_t *q, const suspect_t *e, tc_time_t now)
{
    log_line_t line;
    log_entry(q, "request_suspected", "part_suspected", e, &line);
    log_int(&line, "ends", quarantine_count_crashes(q, e, false, now));
    log_end(&line);
}

/** Names the crashes that decided it. Of a hold that another process decided, they may not be known. */
static void log_held(const quarantine_t *q, const suspect_t *e)
{
    log_line_t line;
    char *const crashes = quarantine_describe_crashes(q, e);
    log_entry(q, "request_held", "part_held", e, &line);
    log_int(&line, "ends", QUARANTINE_CRASH_LIMIT);
    if (e->is_sound)
        log_int(&line, "completed_before_ms", e->held_since - e->completed_at);
    log_str(&line, "crashes", crashes);
    log_end(&line);
    g_free(crashes);
}

/* ===== Explained crashes ===== */

static bool is_held_with(const quarantine_t *q, const suspect_t *e, const crash_t *crash)
{
    for (guint i = 0; q && i < q->held->len; i++) {
        const suspect_t *const cause = g_ptr_array_index(q->held, i);
        if (cause != e && quarantine_find_crash(cause, crash))
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
            if (quarantine_find_crash(cause, &quarantine_suspect_crash(e, i)->crash))
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
    log_held(q, e);
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
    if (e->seq <= q->confirmed_seq)
        return; /* the leader judges it, which knows what other boxes have cleared */
    if (quarantine_count_crashes(q, e, true, now) < QUARANTINE_CRASH_LIMIT || quarantine_is_outweighed(q, e))
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
        if (q->recent[i].backend == crash->backend && ABS(q->recent[i].at - crash->at) < QUARANTINE_SAME_CRASH_MS)
            return;
    q->recent[q->recent_at++ % QUARANTINE_RECENT_MAX] = *crash;
}

/** A run of the request, or one that began to write on the part, went well at @p at. */
static void set_sound(suspect_t *e, tc_time_t at)
{
    e->completed_at = e->is_sound ? MAX(e->completed_at, at) : at;
    e->is_sound = true;
}

static void remove_suspect(quarantine_t *q, uint64_t request)
{
    const suspect_request_t *const listed = find_suspect(q, request);
    if (listed && (listed->ends < QUARANTINE_CRASH_LIMIT || q->of_parts))
        g_array_remove_index(q->suspects, (guint)(listed - (const suspect_request_t *)(const void *)q->suspects->data));
}

/** A run of it went well after its newest crash, a trial run or, of a part, one that was on its way: it is not the
 *  cause. */
static void release_sound(quarantine_t *q, suspect_t *e)
{
    log_line_t line;
    e->held_since = 0;
    e->released = true;
    g_ptr_array_remove_fast(q->held, e);
    q->version++;
    log_entry(q, "request_released", "part_released", e, &line);
    log_int(&line, "trials", e->trials);
    log_end(&line);
}

/** Drops the crashes before a run that went well at @p at. */
static void clear_crashes(quarantine_t *q, suspect_t *e, tc_time_t at)
{
    if (e->crashes->len > 0 && quarantine_suspect_crash(e, 0)->crash.at <= at)
        counter_add(q->of_parts ? &c_part_cleared : &c_cleared, 1);
    while (e->crashes->len > 0 && quarantine_suspect_crash(e, 0)->crash.at <= at)
        g_array_remove_index(e->crashes, 0);
    e->cleared_at = at;
    remove_suspect(q, e->request);
    mark_changed(q, e, at);
}

void quarantine_clear(quarantine_t *q, uint64_t request, tc_time_t at)
{
    suspect_t *const e = find_or_add(q, request);
    const bool held = e->held_since > 0;
    set_sound(e, at);
    if ((held && (!q->of_parts || at <= e->held_since)) || at <= e->cleared_at)
        return;
    if (held)
        release_sound(q, e);
    clear_crashes(q, e, at);
}

/** Removes a crash that counts for nothing beside the one before it, or else the oldest. */
static void remove_least(const suspect_t *e)
{
    guint at = 0;
    for (guint i = 1; i < e->crashes->len && at == 0; i++)
        if (quarantine_suspect_crash(e, i)->began <= quarantine_suspect_crash(e, i - 1)->crash.at)
            at = i;
    g_array_remove_index(e->crashes, at);
}

static void insert_crash(const suspect_t *e, suspect_crash_t entry)
{
    guint at = e->crashes->len;
    while (at > 0 && quarantine_suspect_crash(e, at - 1)->crash.at > entry.crash.at)
        at--;
    g_array_insert_val(e->crashes, at, entry);
    if (e->crashes->len > QUARANTINE_CRASHES_KEPT)
        remove_least(e);
}

/** Merges what another box has found out about a crash. */
static void merge_crash(quarantine_t *q, suspect_t *e, suspect_crash_t *known, const quarantine_crash_t *crash)
{
    const bool is_longer = crash->began < known->began;
    if (is_longer)
        known->began = crash->began;
    known->lost = MAX(known->lost, crash->lost);
    if (is_longer)
        mark_changed(q, e, 0);
}

bool quarantine_add_crash(quarantine_t *q, const quarantine_crash_t *crash, tc_time_t now)
{
    const crash_t key = {.backend = XXH3_64bits(crash->backend, strlen(crash->backend)), .at = crash->at};
    assert(crash->began <= crash->at); /* a run ends with its back end at the latest */
    if (crash->request == 0 || now - crash->at >= QUARANTINE_RETENTION_MS)
        return false;
    add_recent(q, &key);
    suspect_t *const e = find_or_add(q, crash->request);
    if (crash->is_sound)
        quarantine_clear(q, crash->request, crash->completed_at);
    suspect_crash_t *const known = quarantine_find_crash(e, &key);
    if (known)
        merge_crash(q, e, known, crash);
    if (known || crash->at <= e->cleared_at || is_explained(q, e, &key))
        return false;
    insert_crash(e, (suspect_crash_t){.crash = key,
                                      .name = g_strdup(crash->backend),
                                      .by = crash->by,
                                      .began = crash->began,
                                      .lost = crash->lost,
                                      .known_at = now});
    mark_changed(q, e, crash->at);
    counter_add(q->of_parts ? &c_part_ends : &c_ends, 1);
    log_suspected(q, e, now);
    judge(q, e, now);
    if (e->held_since > 0)
        explain_crashes(q, e);
    return true;
}

void quarantine_hold(quarantine_t *q, uint64_t request, tc_time_t since, tc_time_t now)
{
    if (request == 0 || now - since >= QUARANTINE_HOLD_MS)
        return;
    suspect_t *const e = find_or_add(q, request);
    const tc_time_t before = e->held_since;
    if (since <= e->cleared_at)
        return; /* it was released since */
    /* 0 means not held; the hold may be older than the clock of a machine that has just started. */
    hold(q, e, MAX(since, 1));
    if (before == 0)
        mark_changed(q, e, since);
}

void quarantine_apply_held(quarantine_t *q, const request_age_t *held, tc_time_t now)
{
    quarantine_hold(q, held->request, now - (tc_time_t)held->age_ms, now);
    suspect_t *const e = find(q, held->request);
    if (e)
        e->trials = MAX(e->trials, held->trials);
}

/* ===== Trial runs ===== */

/** @return when the next trial run may be granted, or TC_TIME_NEVER */
static tc_time_t trial_due(const suspect_t *e)
{
    tc_time_t wait = QUARANTINE_TRIAL_MS;
    for (unsigned i = 0; i < e->trials; i++)
        wait *= QUARANTINE_TRIAL_FACTOR;
    return e->trials < QUARANTINE_TRIALS_MAX ? e->held_since + wait : TC_TIME_NEVER;
}

bool quarantine_take_trial(quarantine_t *q, uint64_t request, tc_time_t now, tc_time_t *after)
{
    suspect_t *const e = find(q, request);
    *after = 0;
    if (!e || e->held_since == 0)
        return true; /* it was released meanwhile */
    const bool is_under_way = e->trial_at > 0 && now - e->trial_at < QUARANTINE_TRIAL_RUN_MS;
    const tc_time_t due = is_under_way ? e->trial_at + QUARANTINE_TRIAL_RUN_MS : trial_due(e);
    *after = due == TC_TIME_NEVER ? TC_TIME_NEVER : MAX(due - now, 0);
    if (*after > 0)
        return false;
    e->trials++;
    e->trial_at = now;
    q->version++; /* the number is kept on disk */
    mark_changed(q, e, 0);
    counter_add(&c_trials, 1);
    return true;
}

tc_time_t quarantine_trial_wait_ms(quarantine_t *q, uint64_t request, tc_time_t now)
{
    const suspect_t *const e = find(q, request);
    const tc_time_t due = e && e->held_since > 0 ? trial_due(e) : TC_TIME_NEVER;
    return due == TC_TIME_NEVER ? due : MAX(MAX(due, e->ask_at) - now, 0);
}

void quarantine_delay_trial(quarantine_t *q, uint64_t request, tc_time_t wait, tc_time_t now)
{
    suspect_t *const e = find(q, request);
    if (e)
        e->ask_at = now + MIN(wait, QUARANTINE_HOLD_MS);
}

void quarantine_release(quarantine_t *q, uint64_t request, tc_time_t at)
{
    suspect_t *const e = find(q, request);
    if (!e || e->held_since == 0 || at <= e->held_since)
        return;
    set_sound(e, at);
    release_sound(q, e);
    clear_crashes(q, e, at);
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
            list[(*n)++] =
                (request_age_t){.request = e->request, .age_ms = (uint64_t)(now - e->held_since), .trials = e->trials};
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
