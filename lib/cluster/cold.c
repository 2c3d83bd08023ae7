#include "cluster/cold.h"

#include <glib.h>
#include <string.h>

/* ===== Constants ===== */

enum { LIST_LAG_MS = 2000 /* maximum lag of the platform's list of back ends */ };

/* ===== Types ===== */

/** A data centre whose evacuation has ended. */
typedef struct {
    char dc[CODEC_STR_SIZE];
    tc_time_t list_valid_from; /* lists read at or after this time say which of its back ends are cold */
} reopened_t;

struct cold {
    GArray *reopened; /* reopened_t */
};

/* ===== Public functions ===== */

cold_t *cold_create(void)
{
    cold_t *const c = g_new0(cold_t, 1);
    c->reopened = g_array_new(FALSE, TRUE, sizeof(reopened_t));
    return c;
}

void cold_destroy(cold_t *c)
{
    g_array_free(c->reopened, TRUE);
    g_free(c);
}

void cold_update_evacuations(cold_t *c, const evacuations_t *before, const evacuations_t *after, tc_time_t now)
{
    for (uint32_t i = 0; i < before->list_n; i++) {
        if (evacuations_has(after, before->list[i].dc))
            continue;
        reopened_t reopened = {.list_valid_from = now + LIST_LAG_MS};
        codec_copy_string(reopened.dc, sizeof(reopened.dc), before->list[i].dc);
        g_array_append_val(c->reopened, reopened);
    }
}

bool cold_update_list(cold_t *c, tc_time_t fetched)
{
    const guint n = c->reopened->len;
    for (guint i = n; i-- > 0;)
        if (fetched >= g_array_index(c->reopened, reopened_t, i).list_valid_from)
            g_array_remove_index_fast(c->reopened, i);
    return c->reopened->len != n;
}

bool cold_is(const cold_t *c, const backend_t *backend)
{
    if (backend->cold)
        return true;
    for (guint i = 0; i < c->reopened->len; i++)
        if (strcmp(g_array_index(c->reopened, reopened_t, i).dc, backend->dc) == 0)
            return true;
    return false;
}
