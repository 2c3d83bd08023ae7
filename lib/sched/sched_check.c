/* Invariants, statistics and status views. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/sched_choose.h"
#include "sched/sched_returns.h"

/* ===== Invariants and views ===== */

/** Resets the counts that sched_check recomputes. */
static void clear_counts(const sched_t *s)
{
    for (guint i = 0; i < s->engine_list->len; i++)
        ((engine_t *)g_ptr_array_index(s->engine_list, i))->counted = (engine_counts_t){0};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        owner_t *const owner = value;
        owner->counted = 0;
        owner->digested = 0;
    }
}

static void count_placed(const sched_t *s)
{
    uint32_t n = 0;
    const request_t *r;
    cds_list_for_each_entry(r, &s->placed, node) {
        n++;
        assert(g_hash_table_lookup(s->requests, r->id) == r); /* one record per id */
        assert(r->state == REQ_PLACED);                       /* queued or placed, never both */
        r->owner->counted++;
        r->owner->digested ^= sched_digest(r->id, r->attempt);
        if (r->decode) {
            r->decode->counted.pieces += r->pieces;
            r->decode->counted.batch++;
            r->decode->counted.local_prefills += r->local_prefill;
            r->decode->counted.suspects += r->ends >= 1;
            r->decode->counted.suspects_twice += r->ends >= 2;
        }
        if (r->prefilling) {
            r->prefill->counted.prefills++;
            r->prefill->counted.suspects += r->prefill_ends >= 1;
            r->prefill->counted.suspects_twice += r->prefill_ends >= 2;
        }
    }
    assert(n == s->n_placed); /* the list is as long as counted */
}

static void count_cancelling(const sched_t *s)
{
    const cancelling_t *c;
    cds_list_for_each_entry(c, &s->cancelling, node)
        c->engine->counted.pieces += c->pieces;
}

static void check_queue(const sched_t *s)
{
    uint32_t queued = 0;
    const request_t *q;
    cds_list_for_each_entry(q, &s->queue, node) {
        queued++;
        assert(q->state == REQ_QUEUED && q->waiting && !q->decode &&
               !q->prefill); /* a queued request has no engines, so a refused one has not run */
    }
    assert(queued == s->n_queue);
}

static void check_engines(const sched_t *s)
{
    for (guint i = 0; i < s->engine_list->len; i++) {
        const engine_t *const e = g_ptr_array_index(s->engine_list, i);
        assert(e->counted.pieces == e->reserved); /* every reserved piece belongs to exactly one request or cancel */
        assert(e->counted.batch == e->batch);
        assert(e->counted.local_prefills == e->local_prefills && e->local_prefills <= 1);
        assert(e->counted.prefills == e->prefills);
        assert(e->counted.suspects == e->suspects && e->counted.suspects_twice == e->suspects_twice);
    }
}

/** A request that keeps an engine counts it once, and the least urgent ones keep no more than their part. */
static void check_kept(const sched_t *s)
{
    uint32_t kept = 0;
    for (guint i = 0; i < s->engine_list->len; i++)
        kept += engine_is_kept(s, g_ptr_array_index(s->engine_list, i));
    assert(kept == s->kept);
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->models);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const keep_t *const keep = &((const model_t *)value)->keep;
        assert(keep->by_last <= keep->kept && keep->by_last <= keep->decodes / KEPT_PART);
    }
}

/** The use of workspaces is that of all requests that are queued or have a decode engine. */
static void check_share(const sched_t *s)
{
    uint64_t queued = 0, running = 0;
    const request_t *r;
    cds_list_for_each_entry(r, &s->queue, node)
        queued += r->pieces;
    cds_list_for_each_entry(r, &s->placed, node)
        running += r->decode ? r->pieces : 0;
    const fair_share_use_t total = fair_share_total(s->share);
    assert((uint64_t)total.queued == queued && (uint64_t)total.running == running);
}

static void check_owners(const sched_t *s)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const owner_t *const owner = value;
        assert(owner->counted == owner->count);
        assert(owner->digested == owner->digest); /* a renewal by digest renews exactly what is placed */
    }
}

void sched_check(const sched_t *s)
{
    clear_counts(s);
    count_placed(s);
    count_cancelling(s);
    check_queue(s);
    check_engines(s);
    check_owners(s);
    check_kept(s);
    check_share(s);
}

static double longest_latency(const sched_t *s)
{
    double longest = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->models);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        if (model_has_latency(value))
            longest = MAX(longest, model_latency_ms(value));
    return longest;
}

sched_stats_t sched_stats(const sched_t *s)
{
    sched_stats_t stats = s->stats;
    stats.prefill_latency_ms = longest_latency(s);
    stats.queued = s->n_queue;
    stats.kept = s->kept;
    stats.placed = s->n_placed;
    stats.cancelling = s->n_cancelling;
    stats.engines = s->engine_list->len;
    return stats;
}

sched_load_t sched_load(const sched_t *s, tc_time_t now)
{
    sched_load_t load = {
        .queued = s->n_queue, .placed = s->n_placed, .free_rate = s->free_rate, .left_rate = left_rate(s)};
    for (guint i = 0; i < s->engine_list->len; i++) {
        const engine_t *const e = g_ptr_array_index(s->engine_list, i);
        if (!engine_usable(e, now))
            continue;
        if (e->role == ROLE_PREFILL) {
            load.prefills++;
            load.backlog_ms += engine_backlog(e, now);
            continue;
        }
        load.decodes++;
        load.decode_pieces += e->pieces;
        load.decode_taken += engine_taken(s, e, now);
    }
    return load;
}

uint32_t sched_list_engines(const sched_t *s, sched_engine_view_t *views, uint32_t room, tc_time_t now)
{
    for (guint i = 0; i < s->engine_list->len && i < room; i++) {
        const engine_t *const e = g_ptr_array_index(s->engine_list, i);
        sched_engine_view_t *const v = &views[i];
        *v = (sched_engine_view_t){.role = e->role,
                                   .pieces = e->pieces,
                                   .reserved = e->reserved,
                                   .batch = e->batch,
                                   .backlog_ms = (uint32_t)engine_backlog(e, now),
                                   .rate = e->rate * 1000,
                                   .up = !e->down,
                                   .leaving = e->leaving_config || e->leaving_platform || e->leaving_self};
        codec_copy_string(v->name, sizeof(v->name), e->name);
    }
    return s->engine_list->len;
}
