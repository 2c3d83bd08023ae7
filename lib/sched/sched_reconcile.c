/* Compares what engines report to hold with what is reserved: restarts, orphaned requests, confirmed cancels. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/sched_internal.h"

/* ===== Reports of engines ===== */

/** Drops everything that the engine held before it restarted. */
static void engine_restarted(sched_t *s, engine_t *e, tc_time_t now)
{
    cancelling_t *c, *next;
    cds_list_for_each_entry_safe(c, next, &s->cancelling, node)
        if (c->engine == e)
            remove_cancelling(s, c);
    memset(e->cache, 0, sizeof(e->cache));
    e->suspect_until = 0;
}

static orphan_t *orphan_find(const sched_t *s, const engine_t *e, const char *engine_id)
{
    orphan_t *x;
    cds_list_for_each_entry(x, &s->orphans, node)
        if (x->engine == e && strcmp(x->engine_id, engine_id) == 0)
            return x;
    return NULL;
}

static bool is_accounted(const sched_t *s, const engine_t *e, const char *engine_id)
{
    const cancelling_t *c;
    cds_list_for_each_entry(c, &s->cancelling, node)
        if (c->engine == e && strcmp(c->engine_id, engine_id) == 0)
            return true;
    char id[CODEC_STR_SIZE + 16];
    codec_copy_string(id, sizeof(id), engine_id);
    char *const dot = strrchr(id, '.');
    if (!dot)
        return false;
    *dot = '\0';
    const request_t *const r = g_hash_table_lookup(s->requests, id);
    return r && r->attempt == strtoul(dot + 1, NULL, 10) && (r->state == REQ_PLACED);
}

/** Finds ids on the engine that no live request accounts for, and cancels them after ORPHAN_GRACE_MS. */
static void reconcile(sched_t *s, engine_t *e, const sched_engine_request_t *held, uint32_t n, tc_time_t now)
{
    orphan_t *x, *next;
    cds_list_for_each_entry(x, &s->orphans, node)
        x->seen_now = false;
    for (uint32_t i = 0; i < n; i++) {
        if (is_accounted(s, e, held[i].engine_id))
            continue;
        x = orphan_find(s, e, held[i].engine_id);
        if (!x) {
            x = g_new0(orphan_t, 1);
            x->engine = e;
            codec_copy_string(x->engine_id, sizeof(x->engine_id), held[i].engine_id);
            x->first_seen = now;
            cds_list_add_tail(&x->node, &s->orphans);
        }
        x->seen_now = true;
        x->pieces = e->role == ROLE_DECODE ? held[i].pieces : 0;
        if (now - x->first_seen < ORPHAN_GRACE_MS || now < s->admit_from + ORPHAN_GRACE_MS)
            continue;
        x->seen_now = false; /* dropped below; it is counted as cancelling from here on */
        add_cancelling(s, e, held[i].engine_id, e->role == ROLE_DECODE ? held[i].pieces : 0, now);
        s->stats.orphans++;
    }
    e->unknown_pieces = 0;
    cds_list_for_each_entry_safe(x, next, &s->orphans, node) {
        if (x->engine != e)
            continue;
        if (x->seen_now) {
            e->unknown_pieces += x->pieces;
            continue;
        }
        cds_list_del(&x->node);
        g_free(x);
    }
}

/** Whether the request that an engine reports under this id is counted there. Reports are up to one second old, so
 *  they still contain requests that have ended since. */
static bool is_counted(const sched_t *s, const engine_t *e, const char *id)
{
    const request_t *const r = g_hash_table_lookup(s->requests, id);
    if (!r)
        return false;
    switch (r->state) {
    case REQ_QUEUED: return false;
    case REQ_PLACED:
    case REQ_REPLANNING: return r->decode == e || r->prefill == e;
    case REQ_FINISHED:
    default: return true;
    }
}

bool sched_needs_reconcile(const sched_t *s, tc_time_t now)
{
    if (now < s->reconcile_until)
        return true;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const tc_time_t silent = now - ((const owner_t *)value)->renewed_at;
        if (silent > BOX_SILENT_MS && silent < BOX_GONE_MS)
            return true;
    }
    return false;
}

void sched_set_engine_requests(sched_t *s, const char *name, const sched_engine_request_t *held, uint32_t n,
                               tc_time_t now)
{
    engine_t *const e = engine_find(s, name);
    if (!e)
        return;
    e->unknown_pieces = 0;
    for (uint32_t i = 0; i < n; i++)
        if (!is_counted(s, e, held[i].engine_id))
            e->unknown_pieces += held[i].pieces;
    dispatch(s, now);
}

/** Marks the engine as up. Clears its suspect state unless the query was sent before the engine became suspect. */
static void engine_mark_up(sched_t *s, engine_t *e, uint64_t incarnation, bool leaving, tc_time_t asked, tc_time_t now)
{
    if (e->incarnation != 0 && e->incarnation != incarnation)
        engine_restarted(s, e, now);
    e->incarnation = incarnation;
    e->misses = 0;
    e->down = false;
    e->leaving_self = leaving;
    e->seen = now;
    if (asked >= e->suspect_until - SUSPECT_MS && now >= e->suspect_until - SUSPECT_MS / 2)
        e->suspect_until = 0;
}

void sched_on_engine_state(sched_t *s, const char *name, uint64_t incarnation, bool leaving,
                           const sched_engine_request_t *held, uint32_t n_held, tc_time_t asked, tc_time_t now)
{
    engine_t *const e = engine_find(s, name);
    if (!e)
        return;
    engine_mark_up(s, e, incarnation, leaving, asked, now);
    if (!s->adopt_unknown) /* otherwise sched_set_engine_requests does this */
        reconcile(s, e, held, n_held, now);
    end_rebuild_early(s, now);
    dispatch(s, now);
    send_cancels(s, now);
}

void sched_on_engine_list(sched_t *s, tc_time_t now)
{
    enum { LISTED = 1 }; /* a list carries no incarnations */
    for (guint i = 0; i < s->engine_list->len; i++) {
        engine_t *const e = g_ptr_array_index(s->engine_list, i);
        if (!e->configured)
            continue;
        engine_mark_up(s, e, LISTED, false, now, now);
        if (!s->adopt_unknown)
            reconcile(s, e, NULL, 0, now);
    }
    end_rebuild_early(s, now);
    dispatch(s, now);
    send_cancels(s, now);
}

void sched_on_engine_timeout(sched_t *s, const char *name, tc_time_t now)
{
    engine_t *const e = engine_find(s, name);
    if (e && ++e->misses >= DOWN_AFTER_MISSES)
        e->down = true;
}

void sched_set_engine_leaving(sched_t *s, const char *name, bool leaving, tc_time_t now)
{
    engine_t *const e = engine_find(s, name);
    if (e)
        e->leaving_platform = leaving;
}

void sched_cancelled(sched_t *s, const char *engine, const char *engine_id, bool confirmed, tc_time_t now)
{
    cancelling_t *c, *next;
    cds_list_for_each_entry_safe(c, next, &s->cancelling, node) {
        if (strcmp(c->engine->name, engine) != 0 || strcmp(c->engine_id, engine_id) != 0)
            continue;
        if (confirmed) {
            remove_cancelling(s, c);
        } else {
            c->asked = false;
            c->next_try = now + CANCEL_RETRY_MS;
        }
        break;
    }
    dispatch(s, now);
    send_cancels(s, now);
}
