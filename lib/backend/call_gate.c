#include "backend/call_gate.h"

#include <glib.h>

struct call_gate {
    GHashTable *known; /* id -> availability_t */
    call_gate_check_fn_t fn;
    void *arg;
};

bool call_gate_accepts(const call_gate_t *g, const char *backend, call_purpose_t purpose, tc_time_t now)
{
    const availability_t *const known = g_hash_table_lookup(g->known, backend);
    return (!known || availability_accepts(known, purpose, now)) && (!g->fn || g->fn(g->arg, backend, purpose));
}

void call_gate_update(call_gate_t *g, const char *backend, const availability_notice_t *notice, tc_time_t now)
{
    if (!notice->leaving && notice->retry_after == 0)
        return;
    availability_t *known = g_hash_table_lookup(g->known, backend);
    if (!known) {
        known = g_new0(availability_t, 1);
        g_hash_table_insert(g->known, g_strdup(backend), known);
    }
    if (availability_update(known, notice, now))
        availability_log(backend, notice);
}

void call_gate_set_list(call_gate_t *g, const backend_t *list, uint32_t n, tc_time_t fetched)
{
    GHashTable *const kept = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    for (uint32_t i = 0; i < n && g_hash_table_size(g->known) > 0; i++) {
        char *id;
        availability_t *known;
        if (!g_hash_table_steal_extended(g->known, list[i].id, (gpointer *)&id, (gpointer *)&known))
            continue;
        if (!list[i].draining)
            availability_listed_ready(known, fetched);
        g_hash_table_insert(kept, id, known);
    }
    g_hash_table_destroy(g->known);
    g->known = kept;
}

call_gate_t *call_gate_create(call_gate_check_fn_t fn, void *arg)
{
    call_gate_t *const g = g_new0(call_gate_t, 1);
    g->known = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g->fn = fn;
    g->arg = arg;
    return g;
}

void call_gate_destroy(call_gate_t *g)
{
    g_hash_table_destroy(g->known);
    g_free(g);
}
