#include "egress/path_table.h"

#include <assert.h>
#include <glib.h>

/** The path to one back end. */
typedef struct {
    tc_time_t failed_at;         /* last direct failure without an answer since; 0: none */
    tc_time_t unreachable_until; /* other boxes are not asked before then */
    unsigned broken;             /* connections in a row that broke before an answer */
    bool cut;                    /* another box reached the back end while this one could not */
    tc_time_t probed_at;
} entry_t;

struct path_table {
    GHashTable *entries; /* id -> entry_t */
    unsigned cut_count;
    bool cut_off;
    tc_time_t failing_since;      /* first failure since the last direct answer; 0: none */
    unsigned failed_since_answer; /* back ends that failed since then */
    unsigned cut_since_answer;    /* of these, those whose paths were found cut */
    tc_time_t probe_at;
};

path_table_t *path_table_create(void)
{
    path_table_t *const t = g_new0(path_table_t, 1);
    t->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return t;
}

void path_table_destroy(path_table_t *t)
{
    g_hash_table_destroy(t->entries);
    g_free(t);
}

static entry_t *find(const path_table_t *t, const char *backend)
{
    return g_hash_table_lookup(t->entries, backend);
}

static entry_t *find_or_add(path_table_t *t, const char *backend)
{
    entry_t *entry = find(t, backend);
    if (entry)
        return entry;
    entry = g_new0(entry_t, 1);
    g_hash_table_insert(t->entries, g_strdup(backend), entry);
    return entry;
}

/* ===== Decision ===== */

static bool is_suspect(const entry_t *entry, tc_time_t now)
{
    return entry->failed_at > 0 && now - entry->failed_at < PATH_SUSPECT_MS;
}

path_t path_table_choose(const path_table_t *t, const char *backend, tc_time_t now)
{
    const entry_t *const entry = find(t, backend);
    if (t->cut_off || (entry && entry->cut))
        return PATH_RELAY;
    if (!entry)
        return PATH_DIRECT;
    if (now < entry->unreachable_until)
        return PATH_DIRECT_ONLY;
    return is_suspect(entry, now) ? PATH_RELAY : PATH_DIRECT;
}

/* ===== Evidence ===== */

void path_table_record_failure(path_table_t *t, const char *backend, tc_time_t now)
{
    entry_t *const entry = find_or_add(t, backend);
    if (t->failing_since == 0)
        t->failing_since = now;
    t->failed_since_answer += entry->failed_at < t->failing_since;
    entry->failed_at = now;
}

void path_table_record_broken(path_table_t *t, const char *backend, tc_time_t now)
{
    if (++find_or_add(t, backend)->broken >= PATH_BROKEN_MAX)
        path_table_record_failure(t, backend, now);
}

static void clear_cut(path_table_t *t, entry_t *entry)
{
    t->cut_count -= entry->cut;
    entry->cut = false;
    entry->failed_at = 0;
    entry->broken = 0;
}

static void clear_all_cuts(path_table_t *t)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, t->entries);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        clear_cut(t, value);
    assert(t->cut_count == 0); /* counts the entries */
    t->cut_off = false;
}

/** A direct connection works: the failures before it were not those of a box that is cut off. */
static void end_failing(path_table_t *t)
{
    t->failing_since = 0;
    t->failed_since_answer = 0;
    t->cut_since_answer = 0;
}

void path_table_record_answer(path_table_t *t, const char *backend, tc_time_t opened_at)
{
    entry_t *const entry = find(t, backend);
    if (t->failing_since > 0 && opened_at > t->failing_since)
        end_failing(t);
    if (!entry || opened_at <= entry->failed_at)
        return;
    if (t->cut_off)
        clear_all_cuts(t);
    clear_cut(t, entry);
    entry->unreachable_until = 0;
}

void path_table_record_relayed(path_table_t *t, const char *backend, tc_time_t now)
{
    entry_t *const entry = find_or_add(t, backend);
    entry->unreachable_until = 0;
    if (entry->cut || !is_suspect(entry, now))
        return;
    if (t->cut_count == 0)
        t->probe_at = now + PATH_PROBE_MIN_MS;
    entry->cut = true;
    t->cut_count++;
    t->cut_since_answer++;
    if (t->failing_since > 0 && t->cut_since_answer >= PATH_CUT_OFF_BACKENDS)
        t->cut_off = true;
}

void path_table_record_unreachable(path_table_t *t, const char *backend, tc_time_t now)
{
    find_or_add(t, backend)->unreachable_until = now + PATH_UNREACHABLE_MS;
}

/* ===== Probes ===== */

const char *path_table_next_probe(path_table_t *t, tc_time_t now)
{
    GHashTableIter iter;
    gpointer key, value;
    const char *next = NULL;
    entry_t *oldest = NULL;
    if (t->cut_count == 0 || now < t->probe_at)
        return NULL;
    g_hash_table_iter_init(&iter, t->entries);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        entry_t *const entry = value;
        if (!entry->cut || (oldest && entry->probed_at >= oldest->probed_at))
            continue;
        oldest = entry;
        next = key;
    }
    assert(oldest); /* cut_count is not 0 */
    oldest->probed_at = now;
    const tc_time_t lasted = t->failing_since > 0 ? now - t->failing_since : 0;
    t->probe_at = now + CLAMP(lasted / 4, PATH_PROBE_MIN_MS, PATH_PROBE_MAX_MS);
    return next;
}

void path_table_record_healed(path_table_t *t, const char *backend)
{
    entry_t *const entry = find(t, backend);
    if (t->cut_off)
        clear_all_cuts(t);
    else if (entry)
        clear_cut(t, entry);
    end_failing(t);
}

void path_table_retain(path_table_t *t, bool (*is_listed)(void *arg, const char *backend), void *arg)
{
    GHashTableIter iter;
    gpointer key, value;
    g_hash_table_iter_init(&iter, t->entries);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (is_listed(arg, key))
            continue;
        clear_cut(t, value);
        g_hash_table_iter_remove(&iter);
    }
    t->cut_off = t->cut_off && t->cut_count > 0; /* probes need a cut path */
}

/* ===== State ===== */

bool path_table_has_cut(const path_table_t *t, const char *backend)
{
    const entry_t *const entry = find(t, backend);
    return entry && entry->cut;
}

unsigned path_table_cut_count(const path_table_t *t)
{
    return t->cut_count;
}

bool path_table_is_suspect(const path_table_t *t)
{
    return t->failed_since_answer >= PATH_CUT_OFF_BACKENDS;
}

bool path_table_is_cut_off(const path_table_t *t)
{
    return t->cut_off;
}
