#include "cluster/stream_versions.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/counter.h"

COUNTER_DEFINE(c_streams, "gauge", "trackcove_stream_versions", "Streams whose software version is remembered")

/* ===== Types ===== */

typedef struct {
    struct cds_list_head node; /* in stream_versions_t.entries */
    uint64_t key;
    char *version; /* reference counted and shared, as g_ref_string_new_intern */
    tc_time_t at;
    uint64_t seq; /* of its last change */
} entry_t;

struct stream_versions {
    GHashTable *by_key;           /* &entry_t.key -> entry_t, owned by the list */
    struct cds_list_head entries; /* in the order of their last change */
    uint64_t seq;
    uint64_t sent_seq, confirmed_seq; /* of reports */
    uint64_t confirmed_term;
    bool shares; /* the last report listed changes, if there were any */
};

/* ===== Entries ===== */

uint64_t stream_versions_key(const char *attempt, uint64_t fingerprint)
{
    if (!attempt[0])
        return 0;
    const uint64_t key = XXH3_64bits_withSeed(attempt, strlen(attempt), fingerprint);
    return key ? key : 1;
}

static entry_t *find(const stream_versions_t *t, uint64_t key)
{
    return g_hash_table_lookup(t->by_key, &key);
}

static entry_t *oldest(const stream_versions_t *t)
{
    return cds_list_first_entry(&t->entries, entry_t, node);
}

static void drop(stream_versions_t *t, entry_t *e)
{
    cds_list_del(&e->node);
    g_hash_table_remove(t->by_key, &e->key);
    g_ref_string_release(e->version);
    g_free(e);
}

static entry_t *create(stream_versions_t *t, uint64_t key, const char *version)
{
    if (g_hash_table_size(t->by_key) >= STREAM_VERSIONS_MAX)
        drop(t, oldest(t));
    entry_t *const e = g_new0(entry_t, 1);
    e->key = key;
    e->version = g_ref_string_new_intern(version);
    cds_list_add_tail(&e->node, &t->entries);
    g_hash_table_insert(t->by_key, &e->key, e);
    return e;
}

void stream_versions_add(stream_versions_t *t, uint64_t key, const char *version, tc_time_t at, tc_time_t now)
{
    if (key == 0 || !version[0] || now - at >= STREAM_VERSIONS_KEEP_MS)
        return;
    entry_t *e = find(t, key);
    if (e && at <= e->at)
        return;
    if (!e)
        e = create(t, key, version);
    e->at = at;
    e->seq = ++t->seq;
    cds_list_del(&e->node);
    cds_list_add_tail(&e->node, &t->entries);
    counter_set(&c_streams, g_hash_table_size(t->by_key));
}

const char *stream_versions_find(const stream_versions_t *t, uint64_t key, tc_time_t now)
{
    const entry_t *const e = find(t, key);
    return e && now - e->at < STREAM_VERSIONS_KEEP_MS ? e->version : NULL;
}

void stream_versions_tick(stream_versions_t *t, tc_time_t now)
{
    entry_t *e, *next;
    cds_list_for_each_entry_safe(e, next, &t->entries, node) {
        if (now - e->at < STREAM_VERSIONS_KEEP_MS)
            break;
        drop(t, e);
    }
    counter_set(&c_streams, g_hash_table_size(t->by_key));
}

/* ===== Changes ===== */

uint64_t stream_versions_seq(const stream_versions_t *t)
{
    return t->seq;
}

uint64_t stream_versions_list_changes(const stream_versions_t *t, uint64_t after, stream_version_t **list, uint32_t *n,
                                      tc_time_t now)
{
    *n = 0;
    *list = NULL;
    if (after >= t->seq)
        return t->seq;
    *list = calloc(STREAM_VERSIONS_CHANGES_MAX, sizeof(**list));
    if (!*list)
        abort();
    const entry_t *e, *first = NULL;
    cds_list_for_each_entry_reverse(e, &t->entries, node) {
        if (e->seq <= after)
            break;
        first = e;
    }
    for (e = first; e && &e->node != &t->entries; e = cds_list_entry(e->node.next, entry_t, node)) {
        if (*n == STREAM_VERSIONS_CHANGES_MAX)
            return after;
        stream_version_t *const to = &(*list)[(*n)++];
        to->stream = e->key;
        to->age_ms = (uint64_t)MAX(now - e->at, 0);
        codec_copy_string(to->version, sizeof(to->version), e->version);
        after = e->seq;
    }
    return t->seq;
}

void stream_versions_apply(stream_versions_t *t, const stream_version_t *list, uint32_t n, tc_time_t now)
{
    for (uint32_t i = 0; i < n; i++) {
        const uint64_t age = MIN(list[i].age_ms, STREAM_VERSIONS_KEEP_MS);
        stream_versions_add(t, list[i].stream, list[i].version, now - (tc_time_t)age, now);
    }
}

void stream_versions_fill_report(stream_versions_t *t, bool shares, stream_version_t **list, uint32_t *n, tc_time_t now)
{
    t->shares = shares;
    t->sent_seq = t->confirmed_seq;
    *list = NULL;
    *n = 0;
    if (shares)
        t->sent_seq = stream_versions_list_changes(t, t->confirmed_seq, list, n, now);
}

bool stream_versions_confirm_report(stream_versions_t *t, uint64_t term)
{
    t->confirmed_seq = term == t->confirmed_term ? t->sent_seq : 0;
    t->confirmed_term = term;
    return t->shares && t->confirmed_seq < t->seq;
}

/* ===== Life ===== */

stream_versions_t *stream_versions_create(void)
{
    stream_versions_t *const t = g_new0(stream_versions_t, 1);
    t->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
    CDS_INIT_LIST_HEAD(&t->entries);
    return t;
}

void stream_versions_destroy(stream_versions_t *t)
{
    entry_t *e, *next;
    cds_list_for_each_entry_safe(e, next, &t->entries, node)
        drop(t, e);
    g_hash_table_destroy(t->by_key);
    g_free(t);
}
