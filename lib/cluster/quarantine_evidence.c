/* Which crashes count against a suspect. */

#include "cluster/quarantine_internal.h"

suspect_crash_t *quarantine_suspect_crash(const suspect_t *e, guint i)
{
    return &g_array_index(e->crashes, suspect_crash_t, i);
}

suspect_crash_t *quarantine_find_crash(const suspect_t *e, const crash_t *crash)
{
    for (guint i = 0; i < e->crashes->len; i++) {
        suspect_crash_t *const known = quarantine_suspect_crash(e, i);
        if (known->crash.backend == crash->backend && ABS(known->crash.at - crash->at) < QUARANTINE_SAME_CRASH_MS)
            return known;
    }
    return NULL;
}

/* ===== Crashes at the same time ===== */

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

/** @param e NULL: count all back ends @return number of other back ends that crashed at that time, at most @p most.
 * Back ends that crashed under the request do not count: it may have been retried from one to the next. */
static unsigned count_others(const quarantine_t *q, const suspect_t *e, const crash_t *crash, unsigned most)
{
    uint64_t others[QUARANTINE_RECENT_MAX];
    unsigned n = 0;
    for (unsigned i = 0; i < QUARANTINE_RECENT_MAX && n < most; i++) {
        const crash_t *const other = &q->recent[i];
        if (other->at == 0 || other->backend == crash->backend || !is_same_time(other->at, crash->at) ||
            (e && crashed_under(e, other->backend)))
            continue;
        bool known = false;
        for (unsigned k = 0; k < n; k++)
            known = known || others[k] == other->backend;
        if (!known)
            others[n++] = other->backend;
    }
    return n;
}

/** @return whether so many back ends crashed at that time that no request is the cause */
static bool is_correlated_crash(const quarantine_t *q, const suspect_t *e, const crash_t *crash)
{
    const unsigned least = QUARANTINE_CORRELATED_MIN - 1;
    return count_others(q, e, crash, least) >= least;
}

static bool crash_counts(const quarantine_t *q, const suspect_t *e, suspect_crash_t *c, tc_time_t now)
{
    if (c->settled)
        return c->counts;
    c->counts = !is_correlated_crash(q, e, &c->crash);
    c->others_crashed = count_others(q, e, &c->crash, 1) > 0;
    /* Boxes can clear a part only once they are told of it, which may be long after the crash. */
    c->settled =
        q->of_parts ? now - c->known_at >= QUARANTINE_PART_SETTLE_MS : now - c->crash.at >= QUARANTINE_SETTLE_MS;
    return c->counts;
}

/* ===== Crashes that count ===== */

/** Whether no earlier crash came under the same request. Always true of requests, whose crashes name none. */
static bool is_first_of_request(const suspect_t *e, guint at)
{
    const uint64_t by = quarantine_suspect_crash(e, at)->by;
    for (guint i = 0; i < at && by != 0; i++)
        if (quarantine_suspect_crash(e, i)->by == by)
            return false;
    return true;
}

/** Whether a run went well within QUARANTINE_SOUND_MS before the newest crash. */
static bool is_known_sound(const suspect_t *e)
{
    const tc_time_t newest = quarantine_suspect_crash(e, e->crashes->len - 1)->crash.at;
    return e->is_sound && newest - e->completed_at <= QUARANTINE_SOUND_MS;
}

/** Whether two crashes may have a common cause beside a request that is known to be sound: its run was under way when
 * the first back end crashed, or back ends that did not run it crashed with the second one. */
static bool may_share_cause(const suspect_crash_t *first, const suspect_crash_t *second)
{
    return second->began <= first->crash.at ||
           (second->others_crashed && is_same_time(first->crash.at, second->crash.at));
}

unsigned quarantine_count_crashes(const quarantine_t *q, const suspect_t *e, bool settled, tc_time_t now)
{
    const suspect_crash_t *last = NULL; /* that counts */
    unsigned n = 0;
    for (guint i = 0; i < e->crashes->len; i++) {
        suspect_crash_t *const c = quarantine_suspect_crash(e, i);
        if (!crash_counts(q, e, c, now) || (settled && !c->settled) || !is_first_of_request(e, i))
            continue;
        if (last && is_known_sound(e) && may_share_cause(last, c))
            continue;
        last = c;
        n++;
    }
    return n;
}

bool quarantine_is_outweighed(const quarantine_t *q, const suspect_t *e)
{
    const suspect_t *other;
    if (!q->of_parts)
        return false;
    cds_list_for_each_entry(other, &q->entries, node) {
        bool all = other != e && other->held_since == 0 && other->crashes->len > e->crashes->len;
        for (guint i = 0; all && i < e->crashes->len; i++)
            all = quarantine_find_crash(other, &quarantine_suspect_crash(e, i)->crash) != NULL;
        if (all)
            return true;
    }
    return false;
}

/* ===== For the log ===== */

char *quarantine_describe_crashes(const quarantine_t *q, const suspect_t *e)
{
    GString *const text = g_string_new(NULL);
    for (guint i = 0; i < e->crashes->len; i++) {
        const suspect_crash_t *const c = quarantine_suspect_crash(e, i);
        const tc_time_t newest = quarantine_suspect_crash(e, e->crashes->len - 1)->crash.at;
        g_string_append_printf(text, "%s%s %" G_GINT64_FORMAT " ms ran=%" G_GINT64_FORMAT " lost=%u with=%u",
                               i > 0 ? "; " : "", c->name, (gint64)(c->crash.at - newest),
                               (gint64)(c->crash.at - c->began), c->lost,
                               count_others(q, NULL, &c->crash, QUARANTINE_RECENT_MAX));
    }
    return g_string_free(text, FALSE);
}
