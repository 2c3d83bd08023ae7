/* Reservations. Only this file changes engine_t.reserved, .batch, .backlog and link_t.outstanding. */

#include <stdio.h>
#include <string.h>

#include "sched/sched_choose.h"
#include "sched/sched_freed.h"

/* ===== Reservation ===== */

static void reserve_link(request_t *r, link_t *link)
{
    r->link = link;
    r->link_tokens = r->prompt_tokens;
    if (!link)
        return;
    link->outstanding += r->link_tokens;
    r->long_transfer = link_is_long(link, r->link_tokens);
    if (r->long_transfer)
        link->long_transfers++;
}

static void count_suspect(engine_t *e, uint32_t ends)
{
    e->suspects += ends >= 1;
    e->suspects_twice += ends >= 2;
}

static void uncount_suspect(engine_t *e, uint32_t ends)
{
    assert(e->suspects >= (ends >= 1) && e->suspects_twice >= (ends >= 2)); /* they were counted before */
    e->suspects -= ends >= 1;
    e->suspects_twice -= ends >= 2;
}

void count_decode(request_t *r)
{
    r->decode->batch++;
    count_suspect(r->decode, r->ends);
}

void uncount_decode(request_t *r)
{
    assert(r->decode->batch > 0); /* one for every request placed on it */
    r->decode->batch--;
    uncount_suspect(r->decode, r->ends);
}

void reserve(sched_t *s, request_t *r, const choice_t *choice, tc_time_t now)
{
    engine_t *const d = choice->decode;
    /* Promise: two requests never hold the same piece. */
    assert(d->reserved + r->pieces <= d->pieces);
    engine_count_grant(d);
    d->reserved += r->pieces;
    r->decode = d;
    count_decode(r);
    fair_share_add_running(s->share, r->workspace, r->pieces);
    reserve_link(r, choice->link);
    engine_t *const p = choice->prefill;
    if (!p) {                                          /* local prefill */
        assert(!r->prefill && d->local_prefills == 0); /* one at a time, and only if no prefill engine has started */
        r->local_prefill = true;
        d->local_prefills++;
        return;
    }
    if (r->prefill == p)
        return; /* a replan: the prefill is done */
    engine_count_grant(p);
    /* A prompt behind others starts as soon as they are done; its fixed part overlaps with their prefill. */
    const double fixed_ms = p->prefills == 0 && !model_has_latency(p->model) ? PREFILL_BASE_MS : 0;
    r->pending_ms = MAX(choice->prefill_ms - model_latency_ms(p->model), 0);
    p->backlog_ms = engine_backlog(p, now) + r->pending_ms + fixed_ms;
    p->backlog_at = now;
    p->pending_ms += r->pending_ms;
    p->alone = p->prefills == 0 ? r : NULL;
    p->prefills++;
    r->prefill = p;
    r->prefilling = true;
    r->prefill_ends = r->ends;
    count_suspect(p, r->prefill_ends);
    r->predicted_cached = engine_cached_pieces(p, r->chain, r->n_chain) * s->piece_tokens;
    engine_cache_add(p, r->chain, r->n_chain, now);
}

/* ===== Release ===== */

void end_prefill_work(request_t *r, tc_time_t now)
{
    if (!r->prefilling)
        return;
    assert(r->prefill && r->prefill->prefills > 0); /* prefilling is set only together with the count */
    engine_t *const p = r->prefill;
    r->prefilling = false;
    p->alone = NULL;
    p->prefills--;
    uncount_suspect(p, r->prefill_ends);
    p->pending_ms = p->prefills > 0 ? MAX(p->pending_ms - r->pending_ms, 0) : 0;
    /* The remaining work starts now, whatever was expected before; where the latency is modelled apart, it started
     * when this prompt had been read. */
    p->backlog_ms = model_has_latency(p->model) ? MAX(p->pending_ms - model_latency_ms(p->model), 0) : p->pending_ms;
    p->backlog_at = now;
}

void end_local_prefill(request_t *r)
{
    if (!r->local_prefill)
        return;
    assert(r->decode && r->decode->local_prefills > 0); /* local_prefill is set only together with the count */
    r->local_prefill = false;
    r->decode->local_prefills--;
}

void end_transfer(request_t *r)
{
    link_t *const link = r->link;
    r->link = NULL;
    if (!link)
        return;
    link->outstanding -= r->link_tokens;
    if (link->outstanding < 0.5)
        link->outstanding = 0;
    if (!r->long_transfer)
        return;
    assert(link->long_transfers > 0); /* counted when the link was taken */
    link->long_transfers--;
}

static void free_pieces(engine_t *e, uint32_t pieces)
{
    assert(e->reserved >= pieces); /* every piece given back was reserved */
    e->reserved -= pieces;
}

void release_decode(sched_t *s, request_t *r, tc_time_t now)
{
    end_transfer(r);
    end_local_prefill(r);
    if (!r->decode)
        return;
    free_pieces(r->decode, r->pieces);
    uncount_decode(r);
    fair_share_remove_running(s->share, r->workspace, r->pieces);
    count_freed(s, r->decode, r->pieces);
    r->decode = NULL;
}

void add_cancelling(sched_t *s, engine_t *e, const char *engine_id, uint32_t pieces, tc_time_t now)
{
    cancelling_t *const c = g_new0(cancelling_t, 1);
    c->engine = e;
    codec_copy_string(c->engine_id, sizeof(c->engine_id), engine_id);
    c->pieces = pieces;
    c->next_try = now;
    e->reserved += pieces;
    cds_list_add_tail(&c->node, &s->cancelling);
    s->n_cancelling++;
}

void cancel_decode(sched_t *s, request_t *r, tc_time_t now)
{
    engine_t *const e = r->decode;
    if (!e)
        return;
    char engine_id[CODEC_STR_SIZE + 16];
    sched_engine_id(engine_id, sizeof(engine_id), r->id, r->attempt);
    release_decode(s, r, now);
    count_freed(s, e, -(double)r->pieces);
    add_cancelling(s, e, engine_id, r->pieces, now);
}

void cancel_prefill(sched_t *s, request_t *r, tc_time_t now)
{
    if (!r->prefill)
        return;
    char engine_id[CODEC_STR_SIZE + 16];
    sched_engine_id(engine_id, sizeof(engine_id), r->id, r->attempt);
    end_prefill_work(r, now);
    add_cancelling(s, r->prefill, engine_id, 0, now);
    r->prefill = NULL;
}

void remove_cancelling(sched_t *s, cancelling_t *c)
{
    free_pieces(c->engine, c->pieces);
    count_freed(s, c->engine, c->pieces);
    cds_list_del(&c->node);
    g_free(c);
    s->n_cancelling--;
}

void send_cancels(sched_t *s, tc_time_t now)
{
    cancelling_t *c;
    cds_list_for_each_entry(c, &s->cancelling, node) {
        if (c->asked || now < c->next_try)
            continue;
        c->asked = true;
        sched_action_t *const action = add_action(s, SCHED_ACT_CANCEL);
        codec_copy_string(action->u.cancel.engine, sizeof(action->u.cancel.engine), c->engine->name);
        codec_copy_string(action->u.cancel.engine_id, sizeof(action->u.cancel.engine_id), c->engine_id);
    }
}
