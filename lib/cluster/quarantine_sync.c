/* Exchange of the table's contents: reports from boxes to the leader, changes between control boxes, and the leader's
 * list of suspects for boxes. */

#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "cluster/quarantine_internal.h"

/* ===== Constants ===== */

enum {
    CHANGES_MAX = 64, /* requests in one message */
    /* Age at which the list of suspects is rebuilt even if no entry has changed: crashes settle and holds expire. */
    LIST_INTERVAL_MS = 100
};

/* ===== From box to leader ===== */

static void *alloc_list(size_t n, size_t size)
{
    void *const list = calloc(n, size);
    if (!list)
        abort();
    return list;
}

static void fill_entry(const suspect_t *e, quarantine_news_t *news, tc_time_t now)
{
    if (e->held_since > 0) {
        news->held[news->held_n++] =
            (request_age_t){.request = e->request, .age_ms = (uint64_t)(now - e->held_since), .trials = e->trials};
        return;
    }
    if (e->cleared_at > 0)
        news->cleared[news->cleared_n++] = (request_age_t){.request = e->request,
                                                           .age_ms = (uint64_t)(now - e->cleared_at),
                                                           .trials = e->released ? MAX(e->trials, 1) : 0};
    for (guint i = 0; i < e->crashes->len; i++) {
        const suspect_crash_t *const known = quarantine_suspect_crash(e, i);
        backend_end_t *const crash = &news->ends[news->ends_n++];
        crash->request = e->request;
        crash->by = known->by;
        crash->age_ms = (uint64_t)(now - known->crash.at);
        crash->ran_ms = (uint64_t)(known->crash.at - known->began);
        crash->lost = known->lost;
        crash->is_sound = e->is_sound;
        crash->completed_ms = e->is_sound ? (uint64_t)(now - e->completed_at) : 0;
        codec_copy_string(crash->backend, sizeof(crash->backend), known->name);
    }
}

uint64_t quarantine_seq(const quarantine_t *q)
{
    return q->seq;
}

uint64_t quarantine_fill_changes(const quarantine_t *q, uint64_t after, quarantine_news_t *news, tc_time_t now)
{
    *news = (quarantine_news_t){0};
    if (after >= q->seq)
        return q->seq;
    news->ends = alloc_list((size_t)CHANGES_MAX * QUARANTINE_CRASHES_KEPT, sizeof(*news->ends));
    news->cleared = alloc_list(CHANGES_MAX, sizeof(*news->cleared));
    news->held = alloc_list(CHANGES_MAX, sizeof(*news->held));
    unsigned n = 0;
    const suspect_t *e;
    cds_list_for_each_entry(e, &q->entries, node) {
        if (e->seq <= after)
            continue;
        if (n++ == CHANGES_MAX)
            return after;
        fill_entry(e, news, now);
        after = e->seq;
    }
    return q->seq;
}

void quarantine_fill_report(quarantine_t *q, quarantine_news_t *news, tc_time_t now)
{
    q->sent_seq = quarantine_fill_changes(q, q->confirmed_seq, news, now);
}

bool quarantine_confirm_report(quarantine_t *q, uint64_t term)
{
    const bool same = term == q->confirmed_term;
    q->confirmed_seq = same ? q->sent_seq : 0;
    q->confirmed_term = term;
    return q->confirmed_seq < q->seq;
}

void quarantine_apply_changes(quarantine_t *q, const quarantine_news_t *news, tc_time_t now,
                              void (*on_crash)(void *arg, const char *backend, tc_time_t at), void *arg)
{
    for (uint32_t i = 0; i < news->cleared_n; i++) {
        const tc_time_t at = now - (tc_time_t)news->cleared[i].age_ms;
        if (news->cleared[i].trials > 0)
            quarantine_release(q, news->cleared[i].request, at);
        quarantine_clear(q, news->cleared[i].request, at);
    }
    for (uint32_t i = 0; i < news->held_n; i++)
        quarantine_apply_held(q, &news->held[i], now);
    for (uint32_t i = 0; i < news->ends_n; i++) {
        const backend_end_t *const end = &news->ends[i];
        const tc_time_t at = now - (tc_time_t)end->age_ms;
        const quarantine_crash_t crash = {.request = end->request,
                                          .by = end->by,
                                          .backend = end->backend,
                                          .at = at,
                                          .began = at - (tc_time_t)end->ran_ms,
                                          .lost = end->lost,
                                          .is_sound = end->is_sound,
                                          .completed_at = now - (tc_time_t)end->completed_ms};
        if (quarantine_add_crash(q, &crash, now) && on_crash)
            on_crash(arg, end->backend, at);
    }
}

/* ===== From leader to box ===== */

/** Orders by number of crashes, highest first, then by age, newest first. */
static gint compare_suspects(gconstpointer a, gconstpointer b)
{
    const suspect_request_t *const one = a, *const two = b;
    if (one->ends != two->ends)
        return one->ends > two->ends ? -1 : 1;
    return one->age_ms < two->age_ms ? -1 : one->age_ms > two->age_ms;
}

/** Hashes the fields on which boxes act, without the ages, which change all the time. */
static uint64_t hash_suspects(const GArray *list)
{
    uint64_t hash = 1;
    for (guint i = 0; i < list->len; i++) {
        const suspect_request_t *const s = &g_array_index(list, suspect_request_t, i);
        hash += XXH3_64bits_withSeed(&s->request, sizeof(s->request), 2U * s->ends + s->is_pending);
    }
    return hash ? hash : 1;
}

static void list_suspects(quarantine_t *q, tc_time_t now)
{
    g_array_set_size(q->suspects, 0);
    suspect_t *e;
    cds_list_for_each_entry(e, &q->entries, node) {
        const bool is_held = e->held_since > 0;
        const unsigned crashes = is_held ? QUARANTINE_CRASH_LIMIT : quarantine_count_crashes(q, e, false, now);
        const unsigned shown = is_held ? crashes : MIN(crashes, quarantine_unheld_limit(q));
        const suspect_request_t s = {.request = e->request,
                                     .ends = shown,
                                     .is_pending = !is_held && shown >= QUARANTINE_CRASH_LIMIT,
                                     .age_ms = (uint64_t)(now - e->updated_at)};
        if (crashes > 0 || e->released)
            g_array_append_val(q->suspects, s);
    }
    g_array_sort(q->suspects, compare_suspects);
    if (q->suspects->len > QUARANTINE_SUSPECTS_MAX)
        g_array_set_size(q->suspects, QUARANTINE_SUSPECTS_MAX);
    q->suspects_hash = hash_suspects(q->suspects);
}

const suspect_request_t *quarantine_suspects(quarantine_t *q, uint32_t *n, uint64_t *hash, tc_time_t now)
{
    if (!q->is_listed || now - q->listed_at >= LIST_INTERVAL_MS) {
        quarantine_tick(q, now);
        list_suspects(q, now);
        q->is_listed = true;
        q->listed_at = now;
    }
    *n = q->suspects->len;
    *hash = q->suspects_hash;
    return (const suspect_request_t *)(const void *)q->suspects->data;
}

void quarantine_apply_suspects(quarantine_t *q, const suspect_request_t *list, uint32_t n, uint64_t hash, tc_time_t now)
{
    g_array_set_size(q->suspects, 0);
    g_array_append_vals(q->suspects, list, n);
    q->suspects_hash = hash;
    for (uint32_t i = 0; i < n; i++) {
        const tc_time_t at = now - (tc_time_t)list[i].age_ms;
        if (list[i].ends >= QUARANTINE_CRASH_LIMIT && !list[i].is_pending)
            quarantine_hold(q, list[i].request, at, now);
        else if (list[i].ends == 0)
            quarantine_release(q, list[i].request, at);
    }
}

uint64_t quarantine_suspects_hash(const quarantine_t *q)
{
    return q->suspects_hash;
}
