/* Leases of requests: entry boxes renew the requests they hold, and requests whose leases expire are withdrawn. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/sched_internal.h"

/* ===== Leases ===== */

/** Counts a request that its entry box holds and that this scheduler did not grant. */
static void adopt(sched_t *s, const msg_renew_t *renew, const held_t *held, tc_time_t now)
{
    engine_t *const decode = engine_find(s, held->decode);
    if (!decode || held->phase == PHASE_QUEUED || held->phase >= PHASE_FINISHED)
        return;
    request_t *const r = request_create(s, held->id);
    codec_copy_string(r->model_name, sizeof(r->model_name), decode->model->name);
    r->model = decode->model;
    set_owner(s, r, renew->box, held->attempt);
    if (held->attempt > s->next_attempt)
        s->next_attempt = held->attempt;
    r->prompt_tokens = held->prompt_tokens;
    r->max_tokens = held->max_tokens;
    r->pieces = held->pieces;
    r->content = held->content;
    r->phase = held->phase;
    r->lease_until = now + SCHED_LEASE_MS;
    r->decode = decode;
    r->prefill = engine_find(s, held->prefill);
    decode->reserved += r->pieces;
    count_decode(r);
    fair_share_add_running(s->share, r->workspace, r->pieces); /* its workspace is not known */
    placed_add(s, r);
    s->stats.adopted++;
}

/** Whether an unknown request may have been placed by another scheduler or box. Otherwise its lease has expired, and
 *  its engines were told to cancel it. */
static bool may_adopt(const sched_t *s, tc_time_t now)
{
    return s->adopt_unknown || (s->rebuilding && now < s->admit_from + SCHED_LEASE_MS);
}

/** Whether the box holds the attempt that a replan has replaced: its list was written before the thread that asked for
 *  the replan had recorded the answer, which takes long when the machine is busy. */
static bool awaits_replan(const request_t *r, const held_t *held)
{
    return held->attempt > 0 && held->attempt == r->replanned;
}

/** Whether the box that holds the request has placed it anew by itself. */
static bool has_moved(const request_t *r, const owner_t *owner, const held_t *held)
{
    return r->owner == owner && r->state == REQ_PLACED && !r->waiting && held->attempt > 0 &&
           held->attempt != r->attempt && !awaits_replan(r, held);
}

/** Renews by a list of all requests that the box holds; used when count and digest differ. */
static uint32_t renew_listed(sched_t *s, const msg_renew_t *renew, const owner_t *owner, held_t *lost, uint32_t room,
                             tc_time_t now)
{
    uint32_t n_lost = 0;
    for (uint32_t i = 0; i < renew->held_n; i++) {
        const held_t *const held = &renew->held[i];
        request_t *r = g_hash_table_lookup(s->requests, held->id);
        if (r && s->adopt_unknown && has_moved(r, owner, held)) {
            withdraw(s, r, false, now);
            request_free(s, r);
            r = NULL;
        }
        if (!r && held->attempt > 0 && may_adopt(s, now)) {
            adopt(s, renew, held, now);
            continue;
        }
        const bool mine = r && r->owner == owner;
        if (mine && (r->state == REQ_QUEUED || r->attempt == held->attempt || r->waiting || awaits_replan(r, held)))
            r->lease_until = now + SCHED_LEASE_MS;
        else if (held->attempt > 0 && n_lost < room && !(r && r->state == REQ_FINISHED && mine))
            lost[n_lost++] = *held;
    }
    return n_lost;
}

static bool all_engines_seen(const sched_t *s)
{
    for (guint i = 0; i < s->engine_list->len; i++) {
        const engine_t *const e = g_ptr_array_index(s->engine_list, i);
        if (e->configured && e->seen < s->rebuild_from)
            return false;
    }
    return true;
}

void end_rebuild_early(sched_t *s, tc_time_t now)
{
    if (now < s->admit_from && s->expected > 0 && s->reports >= s->expected && all_engines_seen(s))
        s->admit_from = now;
}

/** Notes that the box has renewed since the rebuild began, and ends the rebuild when all live boxes have. */
static void record_report(sched_t *s, owner_t *owner, tc_time_t now)
{
    if (owner->reported)
        return;
    owner->reported = true;
    s->reports++;
    end_rebuild_early(s, now);
}

void sched_expect_reports(sched_t *s, uint32_t boxes)
{
    s->expected = boxes;
}

uint32_t sched_renew(sched_t *s, const msg_renew_t *renew, held_t *lost, uint32_t room, bool *needs_list, tc_time_t now)
{
    owner_t *const owner = owner_get(s, renew->box);
    uint32_t n_lost = 0;
    /* Both sides count the same requests: all of them are renewed at once. */
    const bool same = owner->count == renew->count && owner->digest == renew->digest;
    *needs_list = !renew->listed && !same;
    if (renew->listed)
        n_lost = renew_listed(s, renew, owner, lost, room, now);
    else if (same)
        owner->lease_until = now + SCHED_LEASE_MS;
    if (!*needs_list)
        record_report(s, owner, now);
    owner->renewed_at = now;
    return n_lost;
}

void sched_resume(sched_t *s, tc_time_t now)
{
    s->admit_from = now + SCHED_REBUILD_MS;
    s->rebuilding = true;
    s->rebuild_from = now;
    s->reports = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        ((owner_t *)value)->reported = false;
    request_t *r;
    cds_list_for_each_entry(r, &s->placed, node)
        r->lease_until = s->admit_from + SCHED_LEASE_MS;
}

void sched_suspend(sched_t *s, bool suspended)
{
    s->suspended = suspended;
}

bool sched_pop_waiting(sched_t *s, sched_token_t *token)
{
    if (cds_list_empty(&s->queue))
        return false;
    request_t *const r = cds_list_first_entry(&s->queue, request_t, node);
    *token = r->token;
    r->waiting = false;
    queue_remove(s, r);
    CDS_INIT_LIST_HEAD(&r->node);
    request_free(s, r);
    return true;
}

void expire_leases(sched_t *s, tc_time_t now)
{
    request_t *r, *next;
    cds_list_for_each_entry_safe(r, next, &s->placed, node) {
        if (now < r->lease_until || now < r->owner->lease_until)
            continue;
        if (r->waiting) {
            refuse_call(s, r->id, r->token, "lease lapsed", 0);
            r->waiting = false;
        }
        withdraw(s, r, true, now);
        request_free(s, r);
        s->stats.lapsed++;
    }
    cds_list_for_each_entry_safe(r, next, &s->queue, node) {
        if (now >= r->lease_until && now >= r->owner->renewed_at + SCHED_LEASE_MS)
            refuse_queued(s, r, "its entry box is gone", 0);
    }
    cds_list_for_each_entry_safe(r, next, &s->finished, node) {
        if (now - r->phase_at < SCHED_FINISHED_MS)
            break; /* the list is sorted by time */
        request_free(s, r);
    }
}
