/* Invariants, and views for status pages. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/sched_internal.h"

/* ===== Invariants and views ===== */

/** Counts and digests of owners are those of their placed requests. */
static void check_owners(const sched_t *s)
{
    GHashTable *const counts = g_hash_table_new(g_direct_hash, g_direct_equal);
    GHashTable *const digests = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    const request_t *r;
    cds_list_for_each_entry(r, &s->placed, node) {
        uint64_t *digest = g_hash_table_lookup(digests, r->owner);
        if (!digest) {
            digest = g_new0(uint64_t, 1);
            g_hash_table_insert(digests, r->owner, digest);
        }
        *digest ^= sched_digest(r->id, r->attempt);
        g_hash_table_insert(counts, r->owner,
                            GUINT_TO_POINTER(GPOINTER_TO_UINT(g_hash_table_lookup(counts, r->owner)) + 1));
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->owners);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const owner_t *const owner = value;
        const uint64_t *const digest = g_hash_table_lookup(digests, owner);
        assert(owner->count == GPOINTER_TO_UINT(g_hash_table_lookup(counts, owner)));
        assert(owner->digest == (digest ? *digest : 0)); /* a renewal by digest renews exactly what is placed */
        (void)digest;
    }
    g_hash_table_destroy(counts);
    g_hash_table_destroy(digests);
}

typedef struct {
    uint32_t pieces, batch, prefills, solos;
} tally_t;

static void tally_placed(const sched_t *s, GHashTable *tallies)
{
    uint32_t n = 0;
    const request_t *r;
    cds_list_for_each_entry(r, &s->placed, node) {
        n++;
        assert(g_hash_table_lookup(s->requests, r->id) == r); /* one record an id */
        assert(r->state == REQ_PLACED);                       /* queued or placed, never both */
        if (r->decode) {
            tally_t *const t = g_hash_table_lookup(tallies, r->decode);
            t->pieces += r->pieces;
            t->batch++;
            t->solos += r->solo;
        }
        if (r->prefilling)
            ((tally_t *)g_hash_table_lookup(tallies, r->prefill))->prefills++;
    }
    assert(n == s->n_placed); /* the count shown is the count kept */
}

void sched_check(const sched_t *s)
{
    GHashTable *const tallies = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    for (guint i = 0; i < s->engine_list->len; i++)
        g_hash_table_insert(tallies, g_ptr_array_index(s->engine_list, i), g_new0(tally_t, 1));
    tally_placed(s, tallies);
    check_owners(s);
    const cancelling_t *c;
    cds_list_for_each_entry(c, &s->cancelling, node) {
        tally_t *const t = g_hash_table_lookup(tallies, c->engine);
        t->pieces += c->pieces;
    }
    uint32_t queued = 0;
    const request_t *q;
    cds_list_for_each_entry(q, &s->queue, node) {
        queued++;
        assert(q->state == REQ_QUEUED && q->waiting && !q->decode && !q->prefill); /* a refusal has not run */
    }
    assert(queued == s->n_queue);
    for (guint i = 0; i < s->engine_list->len; i++) {
        const engine_t *const e = g_ptr_array_index(s->engine_list, i);
        const tally_t *const t = g_hash_table_lookup(tallies, e);
        assert(t->pieces == e->reserved); /* no piece is held by nobody, none is held twice */
        assert(t->batch == e->batch);
        assert(t->solos == e->solos && e->solos <= 1);
        assert(t->prefills == e->prefills);
        (void)t;
    }
    g_hash_table_destroy(tallies);
}

sched_stats_t sched_stats(const sched_t *s)
{
    sched_stats_t stats = s->stats;
    stats.queued = s->n_queue;
    stats.placed = s->n_placed;
    stats.cancelling = s->n_cancelling;
    stats.engines = s->engine_list->len;
    return stats;
}

sched_picture_t sched_picture(const sched_t *s, tc_time_t now)
{
    sched_picture_t picture = {.queued = s->n_queue, .placed = s->n_placed, .free_rate = s->free_rate};
    for (guint i = 0; i < s->engine_list->len; i++) {
        const engine_t *const e = g_ptr_array_index(s->engine_list, i);
        if (!engine_usable(e, now))
            continue;
        if (e->role == ROLE_PREFILL) {
            picture.prefills++;
            picture.backlog_ms += engine_backlog(e, now);
            continue;
        }
        picture.decodes++;
        picture.decode_pieces += e->pieces;
        picture.decode_taken += engine_taken(s, e, now);
    }
    return picture;
}

uint32_t sched_engines(const sched_t *s, sched_engine_view_t *views, uint32_t room, tc_time_t now)
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
