#include "cluster/limits.h"

#include <glib.h>
#include <string.h>

#include "cluster/limit_table.h"

/* ===== Constants ===== */

enum {
    /* How long it is told that a back end names a limit no more: boxes that are cut off hold the limit until then. */
    LIFTED_KEPT_MS = 10000
};

struct limits {
    cap_ledger_t *ledger;
    limit_table_t *known;
    GArray *told; /* limit_news_t, as told to a box last */
};

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

static void hear(limits_t *l, const limit_news_t *list, uint32_t n, tc_time_t now)
{
    bool changed = false;
    for (uint32_t i = 0; i < n; i++) {
        if (!list[i].is_set && !limit_table_find(l->known, list[i].backend))
            continue; /* as of all that are not known */
        changed = limit_table_hear(l->known, &list[i], now) || changed;
    }
    if (changed)
        apply(l, now);
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

void limits_list(limits_t *l, const backend_t *list, uint32_t n, tc_time_t now)
{
    listed_t listed = {.list = list, .n = n};
    if (limit_table_drop(l->known, is_unlisted, &listed) > 0)
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
    ack->limits.caps = (cap_state_t *)(uintptr_t)cap_ledger_tell(l->ledger, &ack->limits.caps_n, now);
    ack->limits.hash = limit_table_hash(l->known);
    if (hash == ack->limits.hash)
        return;
    g_array_free(l->told, TRUE);
    l->told = limit_table_news(l->known, now);
    ack->limits.list = (limit_news_t *)(void *)l->told->data;
    ack->limits.list_n = l->told->len;
}

void limits_take_report(limits_t *l, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    hear(l, report->limits, report->limits_n, now);
    cap_ledger_hear(l->ledger, report->self.box, report->self.incarnation, report->limits_used, report->limits_used_n,
                    now);
    tell(l, report->limits_hash, ack, now);
}

bool limits_take(limits_t *l, const limit_news_t *limit, tc_time_t now, tc_time_t *after)
{
    hear(l, limit, 1, now); /* before a report tells of it */
    return cap_ledger_take(l->ledger, limit->backend, 1, now, after);
}

/* ===== Engines ===== */

static void bind_engine(limits_t *l, sched_t *sched, const limit_entry_t *e, tc_time_t now)
{
    const uint32_t granted = sched_limit_engine(sched, e->backend, SCHED_NO_LIMIT);
    if (!e->is_set)
        return;
    cap_ledger_spend(l->ledger, e->backend, granted, now);
    const double room = cap_ledger_room(l->ledger, e->backend, now);
    (void)sched_limit_engine(sched, e->backend, room > 0 ? (uint32_t)room : 0);
}

void limits_bind_engines(limits_t *l, sched_t *sched, tc_time_t now)
{
    GList *const entries = limit_table_entries(l->known);
    for (const GList *at = entries; at; at = at->next)
        bind_engine(l, sched, at->data, now);
    g_list_free(entries);
}

/* ===== Life ===== */

void limits_begin(limits_t *l, tc_time_t now)
{
    limit_table_clear(l->known);
    apply(l, now);
    cap_ledger_begin(l->ledger, now);
}

void limits_tick(limits_t *l, unsigned boxes, tc_time_t now)
{
    cap_ledger_set_boxes(l->ledger, boxes, now);
    cap_ledger_tick(l->ledger, now);
    (void)limit_table_drop(l->known, is_long_lifted, &now); /* which count for nothing */
}

limits_t *limits_create(const cap_rules_t *rules)
{
    limits_t *const l = g_new0(limits_t, 1);
    l->ledger = cap_ledger_create(rules);
    l->known = limit_table_create();
    l->told = g_array_new(FALSE, TRUE, sizeof(limit_news_t));
    return l;
}

void limits_destroy(limits_t *l)
{
    cap_ledger_destroy(l->ledger);
    limit_table_destroy(l->known);
    g_array_free(l->told, TRUE);
    g_free(l);
}
