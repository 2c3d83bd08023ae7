#include "cluster/missing.h"

#include <glib.h>
#include <string.h>

/* ===== Types ===== */

typedef struct {
    char box[CODEC_STR_SIZE];
    tc_time_t since;
} missing_box_t;

struct missing {
    GHashTable *boxes; /* name -> missing_box_t, owned */
};

/* ===== Lifecycle ===== */

missing_t *missing_create(void)
{
    missing_t *const m = g_new0(missing_t, 1);
    m->boxes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return m;
}

void missing_destroy(missing_t *m)
{
    g_hash_table_destroy(m->boxes);
    g_free(m);
}

/* ===== Updates ===== */

static void add(missing_t *m, const char *box, tc_time_t now)
{
    missing_box_t *const gone = g_new0(missing_box_t, 1);
    codec_copy_string(gone->box, sizeof(gone->box), box);
    gone->since = now;
    g_hash_table_replace(m->boxes, gone->box, gone);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer now)
{
    (void)key;
    return *(const tc_time_t *)now - ((const missing_box_t *)value)->since >= MISSING_TIMEOUT_MS;
}

void missing_update(missing_t *m, const entry_box_t *before, uint32_t before_n, const entry_box_t *after,
                    uint32_t after_n, tc_time_t now)
{
    uint32_t i = 0;
    for (uint32_t k = 0; k < after_n; k++) {
        for (; i < before_n && strcmp(before[i].box, after[k].box) < 0; i++)
            if (!before[i].leaving)
                add(m, before[i].box, now);
        i += i < before_n && strcmp(before[i].box, after[k].box) == 0;
        g_hash_table_remove(m->boxes, after[k].box);
    }
    for (; i < before_n; i++)
        if (!before[i].leaving)
            add(m, before[i].box, now);
    g_hash_table_foreach_remove(m->boxes, is_expired, &now);
}

uint32_t missing_count(const missing_t *m, tc_time_t now)
{
    uint32_t n = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, m->boxes);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        n += now - ((const missing_box_t *)value)->since < MISSING_TIMEOUT_MS;
    return n;
}
