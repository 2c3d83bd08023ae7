#include "cluster/limits.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "cluster/limit_table.h"

/* ===== Constants ===== */

enum {
    /* How long boxes are told that a back end no longer declares a limit. Boxes that are cut off keep applying the
     * limit until then. */
    LIFTED_RETENTION_MS = 10000
};

struct limits {
    cap_ledger_t *declared; /* counts requests against declared limits */
    limit_table_t *table;   /* the declared limits */
    cap_ledger_t *cold;     /* counts requests against limits of cold back ends */
    GHashTable *cold_ids;   /* set of ids, owned: those cold now, or until the scheduler has been updated */
    GArray *exported;       /* limit_news_t, the list in the last acknowledgement */
};

/* ===== Engines ===== */

/** Counts what the scheduler has granted on an engine, and lets it grant what remains of the tighter limit. */
static void sync_engine(limits_t *l, sched_t *sched, const char *engine, tc_time_t now)
{
    const uint32_t granted = sched_limit_engine(sched, engine, SCHED_NO_LIMIT);
    cap_ledger_spend(l->declared, engine, granted, now);
    cap_ledger_spend(l->cold, engine, granted, now);
    const double room = MIN(cap_ledger_available(l->declared, engine, now), cap_ledger_available(l->cold, engine, now));
    if (!isinf(room))
        (void)sched_limit_engine(sched, engine, room > 0 ? (uint32_t)room : 0);
}

/** Does the same for all engines that have a limit, or had one recently. */
static void sync_engines(limits_t *l, sched_t *sched, tc_time_t now)
{
    GList *const entries = limit_table_entries(l->table);
    for (const GList *at = entries; at; at = at->next)
        sync_engine(l, sched, ((const limit_entry_t *)at->data)->backend, now);
    g_list_free(entries);
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, l->cold_ids);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        sync_engine(l, sched, id, now);
        if (isinf(cap_ledger_available(l->cold, id, now)))
            g_hash_table_iter_remove(&iter); /* no longer cold, and sync_engine has lifted the scheduler's limit */
    }
}

/* ===== Limits ===== */

static void add_cap(const limit_entry_t *e, GArray *caps)
{
    cap_cfg_t cap = {.rate = MAX(e->rate, LIMIT_RATE_MIN)};
    codec_copy_string(cap.name, sizeof(cap.name), e->backend);
    g_array_append_val(caps, cap);
}

/** Configures the ledger with the declared limits, after these have changed. */
static void configure_declared(limits_t *l, tc_time_t now)
{
    GArray *const caps = g_array_new(FALSE, TRUE, sizeof(cap_cfg_t));
    GList *const entries = limit_table_entries(l->table);
    for (const GList *at = entries; at; at = at->next)
        if (((const limit_entry_t *)at->data)->is_set)
            add_cap(at->data, caps);
    cap_ledger_configure(l->declared, (const cap_cfg_t *)(const void *)caps->data, caps->len, now);
    g_list_free(entries);
    g_array_free(caps, TRUE);
}

/** Applies limits that boxes have read from answers. @return whether a limit has changed */
static bool update_declared(limits_t *l, const limit_news_t *list, uint32_t n, tc_time_t now)
{
    bool changed = false;
    for (uint32_t i = 0; i < n; i++) {
        if (!list[i].is_set && !limit_table_find(l->table, list[i].backend))
            continue; /* a back end without an entry has no limit */
        changed = limit_table_update(l->table, &list[i], now) || changed;
    }
    if (changed)
        configure_declared(l, now);
    return changed;
}

void limits_set_cold(limits_t *l, const cap_cfg_t *list, uint32_t n, tc_time_t now)
{
    cap_ledger_configure(l->cold, list, n, now);
    for (uint32_t i = 0; i < n; i++)
        g_hash_table_add(l->cold_ids, g_strdup(list[i].name));
}

typedef struct {
    const backend_t *list;
    uint32_t n;
} backend_list_t;

static bool is_unlisted(void *arg, const limit_entry_t *e)
{
    const backend_list_t *const backends = arg;
    for (uint32_t i = 0; i < backends->n; i++)
        if (strcmp(backends->list[i].id, e->backend) == 0)
            return false;
    return true;
}

void limits_set_backends(limits_t *l, const backend_t *list, uint32_t n, tc_time_t now)
{
    backend_list_t backends = {.list = list, .n = n};
    if (limit_table_remove_if(l->table, is_unlisted, &backends) > 0)
        configure_declared(l, now);
}

static bool has_expired(void *arg, const limit_entry_t *e)
{
    const tc_time_t *const now = arg;
    return !e->is_set && *now - e->seen_at > LIFTED_RETENTION_MS;
}

/* ===== Boxes ===== */

/** Fills in the state of the limits for a box. @param hash of the list that the box has: the list of declared limits is
 *  left out when it is still the same */
static void fill_ack(limits_t *l, uint64_t hash, msg_report_ack_t *ack, tc_time_t now)
{
    ack->limits.caps = (cap_state_t *)(uintptr_t)cap_ledger_get_states(l->declared, &ack->limits.caps_n, now);
    ack->limits.cold = (cap_state_t *)(uintptr_t)cap_ledger_get_states(l->cold, &ack->limits.cold_n, now);
    ack->limits.hash = limit_table_hash(l->table);
    if (hash == ack->limits.hash)
        return;
    g_array_free(l->exported, TRUE);
    l->exported = limit_table_export(l->table, now);
    ack->limits.list = (limit_news_t *)(void *)l->exported->data;
    ack->limits.list_n = l->exported->len;
}

/** Updates the scheduler's limits on the engines to which a box has sent requests on its own. */
static void sync_used_engines(limits_t *l, sched_t *sched, const cap_use_t *used, uint32_t n, tc_time_t now)
{
    for (uint32_t i = 0; i < n; i++)
        sync_engine(l, sched, used[i].name, now);
}

void limits_handle_report(limits_t *l, sched_t *sched, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    const bool changed = update_declared(l, report->limits, report->limits_n, now);
    cap_ledger_apply_report(l->cold, report->self.box, report->self.incarnation, report->cold_used, report->cold_used_n,
                            now);
    cap_ledger_apply_report(l->declared, report->self.box, report->self.incarnation, report->limits_used,
                            report->limits_used_n, now);
    if (changed)
        sync_engines(l, sched, now);
    sync_used_engines(l, sched, report->limits_used, report->limits_used_n, now);
    sync_used_engines(l, sched, report->cold_used, report->cold_used_n, now);
    fill_ack(l, report->limits_hash, ack, now);
}

/** Counts one request against both kinds of limits if both allow it. @return whether they do */
static bool acquire_both(limits_t *l, const char *backend, bool cold, tc_time_t now, tc_time_t *after)
{
    if (!cap_ledger_take(l->declared, backend, 1, now, after))
        return false;
    if (!cold || cap_ledger_take(l->cold, backend, 1, now, after))
        return true;
    cap_ledger_refund(l->declared, backend, 1, now, now);
    return false;
}

bool limits_acquire(limits_t *l, sched_t *sched, const msg_take_limit_t *take, tc_time_t now, tc_time_t *after)
{
    (void)update_declared(l, &take->limit, 1, now);  /* without waiting for the box's next report */
    sync_engine(l, sched, take->limit.backend, now); /* counts the scheduler's grants first */
    const bool taken = acquire_both(l, take->limit.backend, take->cold, now, after);
    sync_engine(l, sched, take->limit.backend, now);
    return taken;
}

/* ===== Life ===== */

void limits_reset(limits_t *l, tc_time_t now)
{
    limit_table_clear(l->table);
    configure_declared(l, now);
    cap_ledger_start_term(l->declared, now);
    cap_ledger_start_term(l->cold, now);
}

void limits_tick(limits_t *l, sched_t *sched, unsigned boxes, tc_time_t now)
{
    cap_ledger_set_boxes(l->declared, boxes, now);
    cap_ledger_set_boxes(l->cold, boxes, now);
    cap_ledger_tick(l->declared, now);
    cap_ledger_tick(l->cold, now);
    sync_engines(l, sched, now);
    (void)limit_table_remove_if(l->table, has_expired, &now); /* lifted limits: the ledger does not contain them */
}

limits_t *limits_create(const limit_rules_t *rules)
{
    limits_t *const l = g_new0(limits_t, 1);
    l->declared = cap_ledger_create(&rules->advertised);
    l->cold = cap_ledger_create(&rules->cold);
    l->cold_ids = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    l->table = limit_table_create();
    l->exported = g_array_new(FALSE, TRUE, sizeof(limit_news_t));
    return l;
}

void limits_destroy(limits_t *l)
{
    cap_ledger_destroy(l->declared);
    cap_ledger_destroy(l->cold);
    g_hash_table_destroy(l->cold_ids);
    limit_table_destroy(l->table);
    g_array_free(l->exported, TRUE);
    g_free(l);
}
