#include "cluster/limit_table.h"

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

struct limit_table {
    GHashTable *by_backend; /* limit_entry_t.backend -> limit_entry_t */
};

/* ===== Entries ===== */

static limit_entry_t *find(const limit_table_t *t, const char *backend)
{
    return g_hash_table_lookup(t->by_backend, backend);
}

static limit_entry_t *add(limit_table_t *t, const char *backend)
{
    limit_entry_t *const e = g_new0(limit_entry_t, 1);
    codec_copy_string(e->backend, sizeof(e->backend), backend);
    g_hash_table_insert(t->by_backend, e->backend, e);
    return e;
}

bool limit_table_update(limit_table_t *t, const limit_news_t *news, tc_time_t now)
{
    const tc_time_t seen_at = now - (tc_time_t)news->age_ms;
    limit_entry_t *const known = find(t, news->backend);
    if (known && seen_at < known->seen_at)
        return false;
    const bool same = known && known->is_set == news->is_set && known->rate == news->rate;
    limit_entry_t *const e = known ? known : add(t, news->backend);
    e->is_set = news->is_set;
    e->rate = news->rate;
    e->seen_at = seen_at;
    return !same;
}

unsigned limit_table_remove_if(limit_table_t *t, limit_entry_fn_t fn, void *arg)
{
    GHashTableIter iter;
    gpointer value;
    unsigned dropped = 0;
    g_hash_table_iter_init(&iter, t->by_backend);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (!fn(arg, value))
            continue;
        g_hash_table_iter_remove(&iter);
        dropped++;
    }
    return dropped;
}

/* ===== Queries ===== */

const limit_entry_t *limit_table_find(const limit_table_t *t, const char *backend)
{
    return find(t, backend);
}

GList *limit_table_entries(const limit_table_t *t)
{
    return g_hash_table_get_values(t->by_backend);
}

GArray *limit_table_export(const limit_table_t *t, tc_time_t now)
{
    GArray *const list = g_array_new(FALSE, TRUE, sizeof(limit_news_t));
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, t->by_backend);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const limit_entry_t *const e = value;
        limit_news_t news = {.is_set = e->is_set, .rate = e->rate, .age_ms = (uint64_t)(now - e->seen_at)};
        codec_copy_string(news.backend, sizeof(news.backend), e->backend);
        g_array_append_val(list, news);
    }
    return list;
}

static uint64_t hash_entry(const limit_entry_t *e)
{
    const uint64_t seed = XXH3_64bits_withSeed(e->backend, strlen(e->backend), e->is_set);
    return XXH3_64bits_withSeed(&e->rate, sizeof(e->rate), seed);
}

uint64_t limit_table_hash(const limit_table_t *t)
{
    GHashTableIter iter;
    gpointer value;
    uint64_t hash = 0;
    g_hash_table_iter_init(&iter, t->by_backend);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        hash ^= hash_entry(value);
    return hash;
}

/* ===== Life ===== */

void limit_table_clear(limit_table_t *t)
{
    g_hash_table_remove_all(t->by_backend);
}

limit_table_t *limit_table_create(void)
{
    limit_table_t *const t = g_new0(limit_table_t, 1);
    t->by_backend = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return t;
}

void limit_table_destroy(limit_table_t *t)
{
    g_hash_table_destroy(t->by_backend);
    g_free(t);
}
