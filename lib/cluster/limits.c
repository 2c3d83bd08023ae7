#include "cluster/limits.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "cluster/limit_table.h"

/* ===== Constants ===== */

enum {
    /* How long it is told that a back end names a limit no more: boxes that are cut off hold the limit until then. */
    LIFTED_KEPT_MS = 10000
};

struct limits {
    cap_ledger_t *ledger; /* of limits that they name */
    limit_table_t *known;
    cap_ledger_t *cold; /* of what cold ones bear */
    GHashTable *colds;  /* ids of those, owned */
    GArray *told;       /* limit_news_t, as told to a box last */
};

/* ===== Engines ===== */

/** Count what the scheduler granted on an engine, and allow it what is left. */
static void bind_engine(limits_t *l, sched_t *sched, const char *engine, tc_time_t now)
{
    const uint32_t granted = sched_limit_engine(sched, engine, SCHED_NO_LIMIT);
    cap_ledger_spend(l->ledger, engine, granted, now);
    cap_ledger_spend(l->cold, engine, granted, now);
    const double room = MIN(cap_ledger_available(l->ledger, engine, now), cap_ledger_available(l->cold, engine, now));
    if (!isinf(room))
        (void)sched_limit_engine(sched, engine, room > 0 ? (uint32_t)room : 0);
}

/** The same of all that have limits, or had one a while ago. */
static void bind_engines(limits_t *l, sched_t *sched, tc_time_t now)
{
    GList *const entries = limit_table_entries(l->known);
    for (const GList *at = entries; at; at = at->next)
        bind_engine(l, sched, ((const limit_entry_t *)at->data)->backend, now);
    g_list_free(entries);
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, l->colds);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        bind_engine(l, sched, id, now);
        if (isinf(cap_ledger_available(l->cold, id, now)))
            g_hash_table_iter_remove(&iter); /* it is cold no more, and the scheduler knows */
    }
}

/* ===== What is known ===== */

static void add_cap(const limit_entry_t *e, GArray *caps)
{
    cap_cfg_t cap = {.rate = MAX(e->rate, LIMIT_RATE_MIN)};
    codec_copy_string(cap.name, sizeof(cap.name), e->backend);
    g_array_append_val(caps, cap);
}

/** What is known has changed: count by it. */
static void apply(limits_t *l, tc_time_t now)
{
    GArray *const caps = g_array_new(FALSE, TRUE, sizeof(cap_cfg_t));
    GList *const entries = limit_table_entries(l->known);
    for (const GList *at = entries; at; at = at->next)
        if (((const limit_entry_t *)at->data)->is_set)
            add_cap(at->data, caps);
    cap_ledger_configure(l->ledger, (const cap_cfg_t *)(const void *)caps->data, caps->len, now);
    g_list_free(entries);
    g_array_free(caps, TRUE);
}

/** @return whether a limit has changed */
static bool hear(limits_t *l, const limit_news_t *list, uint32_t n, tc_time_t now)
{
    bool changed = false;
    for (uint32_t i = 0; i < n; i++) {
        if (!list[i].is_set && !limit_table_find(l->known, list[i].backend))
            continue; /* as of all that are not known */
        changed = limit_table_update(l->known, &list[i], now) || changed;
    }
    if (changed)
        apply(l, now);
    return changed;
}

void limits_set_cold(limits_t *l, const cap_cfg_t *list, uint32_t n, tc_time_t now)
{
    cap_ledger_configure(l->cold, list, n, now);
    for (uint32_t i = 0; i < n; i++)
        g_hash_table_add(l->colds, g_strdup(list[i].name));
}

/** A list of back ends. */
typedef struct {
    const backend_t *list;
    uint32_t n;
} listed_t;

static bool is_unlisted(void *arg, const limit_entry_t *e)
{
    const listed_t *const listed = arg;
    for (uint32_t i = 0; i < listed->n; i++)
        if (strcmp(listed->list[i].id, e->backend) == 0)
            return false;
    return true;
}

void limits_set_backends(limits_t *l, const backend_t *list, uint32_t n, tc_time_t now)
{
    listed_t listed = {.list = list, .n = n};
    if (limit_table_remove_if(l->known, is_unlisted, &listed) > 0)
        apply(l, now);
}

static bool is_long_lifted(void *arg, const limit_entry_t *e)
{
    const tc_time_t *const now = arg;
    return !e->is_set && *now - e->seen_at > LIFTED_KEPT_MS;
}

/* ===== Boxes ===== */

/** @param hash of what the box was told before */
static void tell(limits_t *l, uint64_t hash, msg_report_ack_t *ack, tc_time_t now)
{
    ack->limits.caps = (cap_state_t *)(uintptr_t)cap_ledger_get_states(l->ledger, &ack->limits.caps_n, now);
    ack->limits.cold = (cap_state_t *)(uintptr_t)cap_ledger_get_states(l->cold, &ack->limits.cold_n, now);
    ack->limits.hash = limit_table_hash(l->known);
    if (hash == ack->limits.hash)
        return;
    g_array_free(l->told, TRUE);
    l->told = limit_table_export(l->known, now);
    ack->limits.list = (limit_news_t *)(void *)l->told->data;
    ack->limits.list_n = l->told->len;
}

/** What boxes sent there by themselves has been counted. */
static void bind_used(limits_t *l, sched_t *sched, const cap_use_t *used, uint32_t n, tc_time_t now)
{
    for (uint32_t i = 0; i < n; i++)
        bind_engine(l, sched, used[i].name, now);
}

void limits_handle_report(limits_t *l, sched_t *sched, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    const bool changed = hear(l, report->limits, report->limits_n, now);
    cap_ledger_apply_report(l->cold, report->self.box, report->self.incarnation, report->cold_used, report->cold_used_n,
                            now);
    cap_ledger_apply_report(l->ledger, report->self.box, report->self.incarnation, report->limits_used,
                            report->limits_used_n, now);
    if (changed)
        bind_engines(l, sched, now);
    bind_used(l, sched, report->limits_used, report->limits_used_n, now);
    bind_used(l, sched, report->cold_used, report->cold_used_n, now);
    tell(l, report->limits_hash, ack, now);
}

/** @return whether both kinds of limits allow it; then it counts by both */
static bool take_both(limits_t *l, const char *backend, bool cold, tc_time_t now, tc_time_t *after)
{
    if (!cap_ledger_take(l->ledger, backend, 1, now, after))
        return false;
    if (!cold || cap_ledger_take(l->cold, backend, 1, now, after))
        return true;
    cap_ledger_refund(l->ledger, backend, 1, now);
    return false;
}

bool limits_acquire(limits_t *l, sched_t *sched, const msg_take_limit_t *take, tc_time_t now, tc_time_t *after)
{
    (void)hear(l, &take->limit, 1, now);             /* before a report tells of it */
    bind_engine(l, sched, take->limit.backend, now); /* what was granted there counts first */
    const bool taken = take_both(l, take->limit.backend, take->cold, now, after);
    bind_engine(l, sched, take->limit.backend, now);
    return taken;
}

/* ===== Life ===== */

void limits_reset(limits_t *l, tc_time_t now)
{
    limit_table_clear(l->known);
    apply(l, now);
    cap_ledger_start_term(l->ledger, now);
    cap_ledger_start_term(l->cold, now);
}

void limits_tick(limits_t *l, sched_t *sched, unsigned boxes, tc_time_t now)
{
    cap_ledger_set_boxes(l->ledger, boxes, now);
    cap_ledger_set_boxes(l->cold, boxes, now);
    cap_ledger_tick(l->ledger, now);
    cap_ledger_tick(l->cold, now);
    bind_engines(l, sched, now);
    (void)limit_table_remove_if(l->known, is_long_lifted, &now); /* which count for nothing */
}

limits_t *limits_create(const limit_rules_t *rules)
{
    limits_t *const l = g_new0(limits_t, 1);
    l->ledger = cap_ledger_create(&rules->advertised);
    l->cold = cap_ledger_create(&rules->cold);
    l->colds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    l->known = limit_table_create();
    l->told = g_array_new(FALSE, TRUE, sizeof(limit_news_t));
    return l;
}

void limits_destroy(limits_t *l)
{
    cap_ledger_destroy(l->ledger);
    cap_ledger_destroy(l->cold);
    g_hash_table_destroy(l->colds);
    limit_table_destroy(l->known);
    g_array_free(l->told, TRUE);
    g_free(l);
}
