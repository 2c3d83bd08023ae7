#include "sched/sched.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/sched_internal.h"

/* ===== Helpers ===== */

void sched_engine_id(char *to, size_t size, const char *id, uint32_t attempt)
{
    snprintf(to, size, "%s.%u", id, attempt);
}

uint32_t sched_pieces(uint32_t prompt_tokens, uint32_t max_tokens)
{
    const uint64_t tokens = (uint64_t)prompt_tokens + max_tokens;
    const uint64_t pieces = (tokens + SCHED_PIECE_TOKENS - 1) / SCHED_PIECE_TOKENS;
    return pieces > 0 ? (uint32_t)pieces : 1;
}

sched_action_t *add_action(sched_t *s, sched_action_kind_t kind)
{
    queued_action_t *const item = g_new0(queued_action_t, 1);
    item->action.kind = kind;
    cds_list_add_tail(&item->node, &s->actions);
    return &item->action;
}

static msg_placed_t *answer(sched_t *s, request_t *r)
{
    assert(r->waiting); /* every waiting call is answered exactly once */
    r->waiting = false;
    sched_action_t *const action = add_action(s, SCHED_ACT_ANSWER);
    action->u.answer.token = r->token;
    codec_copy_string(action->u.answer.id, sizeof(action->u.answer.id), r->id);
    action->u.answer.placed.attempt = r->attempt;
    return &action->u.answer.placed;
}

static void refuse_token(sched_t *s, const char *id, sched_token_t token, const char *reason, double retry_ms)
{
    sched_action_t *const action = add_action(s, SCHED_ACT_ANSWER);
    action->u.answer.token = token;
    codec_copy_string(action->u.answer.id, sizeof(action->u.answer.id), id);
    msg_placed_t *const placed = &action->u.answer.placed;
    codec_copy_string(placed->reason, sizeof(placed->reason), reason);
    placed->retry_after_ms = retry_ms > 60000 || !(retry_ms >= 0) ? 60000 : (uint32_t)retry_ms;
    s->stats.refused++;
}

/* ===== Requests: life ===== */

static request_t *request_create(sched_t *s, const char *id)
{
    request_t *const r = g_new0(request_t, 1);
    codec_copy_string(r->id, sizeof(r->id), id);
    g_hash_table_insert(s->requests, r->id, r);
    return r;
}

static void request_forget(sched_t *s, request_t *r)
{
    assert(!r->decode && !r->link && !r->prefilling && !r->waiting); /* nothing may be left behind */
    g_hash_table_remove(s->requests, r->id);
    cds_list_del(&r->node);
    g_free(r->chain);
    g_free(r);
}

static void queue_insert(sched_t *s, request_t *r)
{
    struct cds_list_head *at = &s->queue;
    request_t *q;
    cds_list_for_each_entry_reverse(q, &s->queue, node) {
        if (q->priority < r->priority || (q->priority == r->priority && q->due <= r->due)) {
            at = &q->node;
            break;
        }
    }
    cds_list_add(&r->node, at);
    r->state = REQ_QUEUED;
    r->phase = PHASE_QUEUED;
    s->n_queue++;
}

static void queue_remove(sched_t *s, request_t *r)
{
    cds_list_del(&r->node);
    assert(s->n_queue > 0); /* it was counted when it was queued */
    s->n_queue--;
}

static void to_placed(sched_t *s, request_t *r)
{
    cds_list_add_tail(&r->node, &s->placed);
    r->state = REQ_PLACED;
    s->n_placed++;
}

static void leave_placed(sched_t *s, request_t *r)
{
    cds_list_del(&r->node);
    assert(s->n_placed > 0); /* it was counted when it was placed */
    s->n_placed--;
}

static void refuse_queued(sched_t *s, request_t *r, const char *reason, double retry_ms)
{
    queue_remove(s, r);
    refuse_token(s, r->id, r->token, reason, retry_ms);
    r->waiting = false;
    CDS_INIT_LIST_HEAD(&r->node);
    request_forget(s, r);
}

/** The request ended by itself: its engines hold nothing more. */
static void finish(sched_t *s, request_t *r, tc_time_t now)
{
    leave_placed(s, r);
    /* Its engine keeps a finished stream for a while: remember where. */
    engine_t *const decode = r->decode;
    end_prefill_work(r);
    release_decode(s, r, now);
    r->state = REQ_FINISHED;
    r->phase = PHASE_FINISHED;
    r->phase_at = now;
    r->prefill = NULL;
    codec_copy_string(r->avoid, sizeof(r->avoid), decode ? decode->name : "");
    cds_list_add_tail(&r->node, &s->finished);
}

/** Take a placed request off its engines; they are told to cancel. */
static void withdraw(sched_t *s, request_t *r, bool engines_may_hold, tc_time_t now)
{
    leave_placed(s, r);
    if (engines_may_hold) {
        cancel_decode(s, r, now);
        cancel_prefill(s, r, now);
    }
    end_prefill_work(r);
    release_decode(s, r, now);
    r->prefill = NULL;
    CDS_INIT_LIST_HEAD(&r->node);
}

/* ===== Granting ===== */

static void grant(sched_t *s, request_t *r, const choice_t *choice, tc_time_t now)
{
    const bool replan = r->state == REQ_REPLANNING;
    reserve(s, r, choice, now);
    if (replan)
        r->state = REQ_PLACED;
    else
        to_placed(s, r);
    r->phase = replan ? PHASE_TRANSFER : PHASE_PREFILL;
    r->phase_at = now;
    r->lease_until = now + SCHED_LEASE_MS;
    r->avoid[0] = '\0';
    msg_placed_t *const placed = answer(s, r);
    placed->granted = true;
    codec_copy_string(placed->prefill, sizeof(placed->prefill), r->prefill->name);
    codec_copy_string(placed->decode, sizeof(placed->decode), r->decode->name);
    placed->pieces = r->pieces;
    placed->est_ttft_ms = choice->total_ms < 1e9 ? (uint32_t)choice->total_ms : 0;
    placed->candidates = choice->candidates;
    codec_copy_string(placed->reason, sizeof(placed->reason), replan ? "replanned" : "lowest estimate");
    s->stats.granted++;
}

/** Grant what can be granted, in order of priority and due time. */
static void dispatch(sched_t *s, tc_time_t now)
{
    if (now < s->admit_from)
        return;
    request_t *r, *next;
    cds_list_for_each_entry_safe(r, next, &s->queue, node) {
        const choice_t choice = choose_pair(s, r, false, now);
        if (!choice.decode)
            continue;
        if (now + (tc_time_t)choice.total_ms > r->due) {
            refuse_queued(s, r, "cannot meet the time to first token", estimate_wait(s, r, now));
            continue;
        }
        queue_remove(s, r);
        r->attempt = ++s->next_attempt;
        grant(s, r, &choice, now);
    }
}

/* ===== Admission ===== */

static uint32_t weight_of(const sched_t *s, const char *workspace)
{
    const gpointer weight = g_hash_table_lookup(s->weights, workspace);
    return weight ? GPOINTER_TO_UINT(weight) : 1;
}

/** Prompt tokens a workspace has waiting, by its weight. */
static double waiting_share(const sched_t *s, const char *workspace)
{
    double tokens = 0;
    const request_t *q;
    cds_list_for_each_entry(q, &s->queue, node)
        if (strcmp(q->workspace, workspace) == 0)
            tokens += q->prompt_tokens;
    return tokens / weight_of(s, workspace);
}

/** The last waiting request of the workspace that waits with most for its weight, if that is more than
 *  @p mine and the request is no more urgent than @p r. */
static request_t *shed_victim(const sched_t *s, const request_t *r, double mine)
{
    request_t *q, *victim = NULL;
    double most = mine;
    cds_list_for_each_entry_reverse(q, &s->queue, node) {
        if (q == r || q->priority < r->priority || strcmp(q->workspace, r->workspace) == 0)
            continue;
        const double share = waiting_share(s, q->workspace);
        if (share <= most)
            continue;
        most = share;
        victim = q;
    }
    return victim;
}

/** Keep the queue to what can still meet its target: refuse early, and first whom there is most of. */
static void admit(sched_t *s, request_t *r, tc_time_t now)
{
    for (;;) {
        const double wait = estimate_wait(s, r, now);
        const bool late = now >= s->admit_from && (double)now + wait > (double)r->due;
        if (!late && s->n_queue <= s->targets.max_queue)
            return;
        request_t *const victim = shed_victim(s, r, waiting_share(s, r->workspace));
        if (victim && !isinf(wait)) {
            refuse_queued(s, victim, "shed: its workspace waits with most", wait);
            continue;
        }
        refuse_queued(s, r, late ? "cannot meet the time to first token" : "queue is full", wait);
        return;
    }
}

/** The same id again: hand over a running answer, or begin anew with what has not begun to answer. */
static bool take_over(sched_t *s, request_t *old, const msg_place_t *place, sched_token_t token, tc_time_t now)
{
    if (old->state == REQ_FINISHED) {
        const engine_t *const engine = engine_find(s, old->avoid);
        const bool known = engine && engine->configured && strcmp(place->avoid, old->avoid) != 0;
        if (!known) {
            request_forget(s, old);
            return false;
        }
        sched_action_t *const action = add_action(s, SCHED_ACT_ANSWER);
        action->u.answer.token = token;
        codec_copy_string(action->u.answer.id, sizeof(action->u.answer.id), old->id);
        action->u.answer.placed =
            (msg_placed_t){.granted = true, .resume = true, .attempt = old->attempt, .pieces = old->pieces};
        codec_copy_string(action->u.answer.placed.decode, CODEC_STR_SIZE, old->avoid);
        codec_copy_string(old->box, sizeof(old->box), place->box);
        s->stats.resumed++;
        return true;
    }
    if (old->waiting) {
        refuse_token(s, old->id, old->token, "superseded by the same request elsewhere", 0);
        old->waiting = false;
    }
    if (old->state == REQ_PLACED && old->phase == PHASE_DECODE && strcmp(place->avoid, old->decode->name) != 0) {
        codec_copy_string(old->box, sizeof(old->box), place->box);
        old->lease_until = now + SCHED_LEASE_MS;
        old->token = token;
        old->waiting = true;
        msg_placed_t *const placed = answer(s, old);
        placed->granted = true;
        placed->resume = true;
        codec_copy_string(placed->decode, sizeof(placed->decode), old->decode->name);
        codec_copy_string(placed->reason, sizeof(placed->reason), "taken over");
        placed->pieces = old->pieces;
        s->stats.resumed++;
        return true;
    }
    if (old->state == REQ_QUEUED) {
        queue_remove(s, old);
        CDS_INIT_LIST_HEAD(&old->node);
    } else {
        withdraw(s, old, true, now);
    }
    request_forget(s, old);
    return false;
}

void sched_place(sched_t *s, const msg_place_t *place, sched_token_t token, tc_time_t now)
{
    request_t *const old = g_hash_table_lookup(s->requests, place->id);
    if (old && take_over(s, old, place, token, now))
        return;
    request_t *const r = request_create(s, place->id);
    codec_copy_string(r->box, sizeof(r->box), place->box);
    codec_copy_string(r->workspace, sizeof(r->workspace), place->workspace);
    codec_copy_string(r->model, sizeof(r->model), place->model);
    codec_copy_string(r->avoid, sizeof(r->avoid), place->avoid);
    r->prompt_tokens = place->prompt_tokens;
    r->max_tokens = place->max_tokens;
    r->pieces = sched_pieces(place->prompt_tokens, place->max_tokens);
    r->priority = place->priority;
    r->repeatable = place->repeatable;
    r->chain = g_memdup2(place->chain, place->chain_n * sizeof(*place->chain));
    r->n_chain = place->chain_n;
    r->arrived = now;
    r->lease_until = now + SCHED_LEASE_MS;
    r->due = now + place->wait_ms;
    r->token = token;
    r->waiting = true;
    queue_insert(s, r);
    admit(s, r, now);
    dispatch(s, now);
    ask_cancels(s, now);
}

void sched_replan(sched_t *s, const msg_replan_t *replan, sched_token_t token, tc_time_t now)
{
    request_t *const r = g_hash_table_lookup(s->requests, replan->id);
    const bool current = r && r->state == REQ_PLACED && r->attempt == replan->attempt && r->prefill && !r->waiting;
    if (!current) {
        refuse_token(s, replan->id, token, "no such attempt", 0);
        return;
    }
    cancel_decode(s, r, now);
    codec_copy_string(r->avoid, sizeof(r->avoid), replan->bad);
    r->token = token;
    r->waiting = true;
    const choice_t choice = choose_pair(s, r, true, now);
    if (choice.decode) {
        r->state = REQ_REPLANNING;
        /* A new number, so that tokens of the stalled engine, should it wake, are not taken for the new one's. */
        r->attempt = ++s->next_attempt;
        grant(s, r, &choice, now);
        s->stats.replanned++;
    } else {
        /* Nowhere to go: the attempt ends here, and what the prefill engine keeps for it may go too. */
        r->waiting = false;
        refuse_token(s, r->id, token, choice.reason, 0);
        withdraw(s, r, true, now);
        request_forget(s, r);
    }
    ask_cancels(s, now);
}

/* ===== Progress ===== */

static void engine_failed(sched_t *s, const char *name, tc_time_t now)
{
    engine_t *const e = engine_find(s, name);
    if (e)
        e->suspect_until = now + SUSPECT_MS;
}

void sched_progress(sched_t *s, const msg_progress_t *p, tc_time_t now)
{
    if (p->bad[0])
        engine_failed(s, p->bad, now);
    request_t *const r = g_hash_table_lookup(s->requests, p->id);
    if (r && r->state == REQ_QUEUED && p->phase == PHASE_FAILED && p->attempt == 0) {
        refuse_queued(s, r, "the caller is gone", 0);
        return;
    }
    if (!r || r->state != REQ_PLACED || r->attempt != p->attempt)
        return; /* late news of an attempt that is over */
    r->lease_until = now + SCHED_LEASE_MS;
    switch (p->phase) {
    case PHASE_TRANSFER:
        if (r->prefilling) {
            engine_learn_rate(r->prefill, r->est_prefill_ms, p);
            end_prefill_work(r);
        }
        r->phase = PHASE_TRANSFER;
        break;
    case PHASE_DECODE:
        end_prefill_work(r);
        end_transfer(r);
        r->phase = PHASE_DECODE;
        break;
    case PHASE_FINISHED: finish(s, r, now); break;
    case PHASE_FAILED:
        withdraw(s, r, p->held, now);
        request_forget(s, r);
        break;
    default: break;
    }
    dispatch(s, now);
    ask_cancels(s, now);
}

/* ===== Leases ===== */

/** A request this scheduler did not grant: its entry box holds it since before. */
static void adopt(sched_t *s, const msg_renew_t *renew, const held_t *held, tc_time_t now)
{
    engine_t *const decode = engine_find(s, held->decode);
    if (!decode || held->phase == PHASE_QUEUED || held->phase >= PHASE_FINISHED)
        return;
    request_t *const r = request_create(s, held->id);
    codec_copy_string(r->box, sizeof(r->box), renew->box);
    codec_copy_string(r->model, sizeof(r->model), decode->model);
    r->attempt = held->attempt;
    if (held->attempt > s->next_attempt)
        s->next_attempt = held->attempt;
    r->prompt_tokens = held->prompt_tokens;
    r->max_tokens = held->max_tokens;
    r->pieces = held->pieces;
    r->adopted = true;
    r->phase = held->phase;
    r->lease_until = now + SCHED_LEASE_MS;
    r->decode = decode;
    r->prefill = engine_find(s, held->prefill);
    decode->reserved += r->pieces;
    decode->batch++;
    to_placed(s, r);
}

uint32_t sched_renew(sched_t *s, const msg_renew_t *renew, held_t *lost, uint32_t room, tc_time_t now)
{
    uint32_t n_lost = 0;
    for (uint32_t i = 0; i < renew->held_n; i++) {
        const held_t *const held = &renew->held[i];
        request_t *const r = g_hash_table_lookup(s->requests, held->id);
        /* Only while rebuilding is an unknown request news; later it is one whose lease lapsed. */
        if (!r && now < s->admit_from + SCHED_LEASE_MS && held->attempt > 0 && s->rebuilding) {
            adopt(s, renew, held, now);
            continue;
        }
        const bool mine = r && strcmp(r->box, renew->box) == 0;
        if (mine && (r->state == REQ_QUEUED || r->attempt == held->attempt || r->waiting))
            r->lease_until = now + SCHED_LEASE_MS;
        else if (held->attempt > 0 && n_lost < room && !(r && r->state == REQ_FINISHED && mine))
            lost[n_lost++] = *held;
    }
    return n_lost;
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
    request_forget(s, r);
    return true;
}

static void lapse(sched_t *s, tc_time_t now)
{
    request_t *r, *next;
    cds_list_for_each_entry_safe(r, next, &s->placed, node) {
        if (now < r->lease_until)
            continue;
        if (r->waiting) {
            refuse_token(s, r->id, r->token, "lease lapsed", 0);
            r->waiting = false;
        }
        withdraw(s, r, true, now);
        request_forget(s, r);
        s->stats.lapsed++;
    }
    cds_list_for_each_entry_safe(r, next, &s->queue, node) {
        if (now >= r->lease_until)
            refuse_queued(s, r, "its entry box is gone", 0);
    }
    cds_list_for_each_entry_safe(r, next, &s->finished, node) {
        if (now - r->phase_at < SCHED_FINISHED_MS)
            break; /* the list is in order of time */
        request_forget(s, r);
    }
}

/* ===== Engines' own word ===== */

/** The engine restarted: whatever it held is gone. */
static void engine_restarted(sched_t *s, engine_t *e, tc_time_t now)
{
    cancelling_t *c, *next;
    cds_list_for_each_entry_safe(c, next, &s->cancelling, node)
        if (c->engine == e)
            drop_cancelling(s, c);
    memset(e->cache, 0, sizeof(e->cache));
    e->suspect_until = 0;
}

static stranger_t *stranger_find(const sched_t *s, const engine_t *e, const char *engine_id)
{
    stranger_t *x;
    cds_list_for_each_entry(x, &s->strangers, node)
        if (x->engine == e && strcmp(x->engine_id, engine_id) == 0)
            return x;
    return NULL;
}

static bool accounted_for(const sched_t *s, const engine_t *e, const char *engine_id)
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

/** Look for ids on the engine that no live caller stands behind, and have them cancelled after a grace. */
static void reconcile(sched_t *s, engine_t *e, const sched_holding_t *held, uint32_t n, tc_time_t now)
{
    stranger_t *x, *next;
    cds_list_for_each_entry(x, &s->strangers, node)
        x->seen_now = false;
    for (uint32_t i = 0; i < n; i++) {
        if (accounted_for(s, e, held[i].engine_id))
            continue;
        x = stranger_find(s, e, held[i].engine_id);
        if (!x) {
            x = g_new0(stranger_t, 1);
            x->engine = e;
            codec_copy_string(x->engine_id, sizeof(x->engine_id), held[i].engine_id);
            x->first_seen = now;
            cds_list_add_tail(&x->node, &s->strangers);
        }
        x->seen_now = true;
        x->pieces = e->role == ROLE_DECODE ? held[i].pieces : 0;
        if (now - x->first_seen < ORPHAN_GRACE_MS || now < s->admit_from + ORPHAN_GRACE_MS)
            continue;
        x->seen_now = false; /* drops it below: from here on it is counted as cancelling */
        add_cancelling(s, e, held[i].engine_id, e->role == ROLE_DECODE ? held[i].pieces : 0, true, now);
        s->stats.orphans++;
    }
    e->foreign = 0;
    cds_list_for_each_entry_safe(x, next, &s->strangers, node) {
        if (x->engine != e)
            continue;
        if (x->seen_now) {
            e->foreign += x->pieces;
            continue;
        }
        cds_list_del(&x->node);
        g_free(x);
    }
}

void sched_engine_seen(sched_t *s, const char *name, uint64_t incarnation, bool leaving, const sched_holding_t *held,
                       uint32_t n_held, tc_time_t asked, tc_time_t now)
{
    engine_t *const e = engine_find(s, name);
    if (!e)
        return;
    if (e->incarnation != 0 && e->incarnation != incarnation)
        engine_restarted(s, e, now);
    e->incarnation = incarnation;
    e->misses = 0;
    e->down = false;
    e->leaving_self = leaving;
    e->seen = now;
    if (asked >= e->suspect_until - SUSPECT_MS && now >= e->suspect_until - SUSPECT_MS / 2)
        e->suspect_until = 0;
    reconcile(s, e, held, n_held, now);
    dispatch(s, now);
    ask_cancels(s, now);
}

void sched_engine_missed(sched_t *s, const char *name, tc_time_t now)
{
    engine_t *const e = engine_find(s, name);
    if (e && ++e->misses >= MISSES_DOWN)
        e->down = true;
}

void sched_engine_leaving(sched_t *s, const char *name, bool leaving, tc_time_t now)
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
            drop_cancelling(s, c);
        } else {
            c->asked = false;
            c->next_try = now + CANCEL_RETRY_MS;
        }
        break;
    }
    dispatch(s, now);
    ask_cancels(s, now);
}

/* ===== Time ===== */

enum { FREE_RATE_WINDOW_MS = 250 };
static const double FREE_RATE_LEARN = 0.2;

static void learn_free_rate(sched_t *s, tc_time_t now)
{
    const tc_time_t span = now - s->freed_at;
    if (span < FREE_RATE_WINDOW_MS)
        return;
    const double rate = (s->freed_pieces > 0 ? s->freed_pieces : 0) / (double)span;
    /* Before the first request finishes nothing is known: an idle cell must not look like a full one. */
    if (s->free_rate > 0 || rate > 0)
        s->free_rate += FREE_RATE_LEARN * (rate - s->free_rate);
    s->freed_pieces = 0;
    s->freed_at = now;
}

static void refuse_overdue(sched_t *s, tc_time_t now)
{
    request_t *r, *next;
    cds_list_for_each_entry_safe(r, next, &s->queue, node) {
        if (now >= r->due)
            refuse_queued(s, r, "no engines became free in time", estimate_wait(s, r, now));
    }
}

void sched_tick(sched_t *s, tc_time_t now)
{
    learn_free_rate(s, now);
    if (now >= s->admit_from)
        lapse(s, now);
    refuse_overdue(s, now);
    dispatch(s, now);
    ask_cancels(s, now);
    sched_check(s);
}

/* ===== Configuration ===== */

static void configure_engine(sched_t *s, const engine_cfg_t *cfg)
{
    engine_t *e = engine_find(s, cfg->name);
    if (!e) {
        e = g_new0(engine_t, 1);
        codec_copy_string(e->name, sizeof(e->name), cfg->name);
        e->rate = cfg->prefill_rate / 1000.0 / s->share_of;
        g_hash_table_insert(s->engines, e->name, e);
        g_ptr_array_add(s->engine_list, e);
    }
    const bool other = e->model[0] && (e->role != cfg->role || strcmp(e->model, cfg->model) != 0 ||
                                       strcmp(e->version, cfg->version) != 0);
    if (other) {
        memset(e->cache, 0, sizeof(e->cache));
        e->leaving_self = true; /* until its state page shows that it has become what it is to be */
    }
    codec_copy_string(e->version, sizeof(e->version), cfg->version);
    codec_copy_string(e->dc, sizeof(e->dc), cfg->dc);
    codec_copy_string(e->model, sizeof(e->model), cfg->model);
    e->role = cfg->role;
    e->pieces = cfg->pieces / s->share_of;
    e->max_batch = cfg->max_batch;
    e->configured = true;
    e->leaving_config = false;
}

static void configure_links(sched_t *s, const config_t *config)
{
    for (uint32_t i = 0; i < config->links_n; i++) {
        const link_cfg_t *const cfg = &config->links[i];
        link_t *link = link_between(s, cfg->a, cfg->b);
        if (!link) {
            link = g_new0(link_t, 1);
            g_ptr_array_add(s->links, link);
        }
        codec_copy_string(link->name, sizeof(link->name), cfg->name);
        codec_copy_string(link->a, sizeof(link->a), cfg->a);
        codec_copy_string(link->b, sizeof(link->b), cfg->b);
        link->rate = cfg->rate / 1000.0;
    }
}

void sched_set_share(sched_t *s, uint32_t share_of)
{
    s->share_of = share_of > 0 ? share_of : 1;
}

void sched_configure(sched_t *s, const config_t *config, tc_time_t now)
{
    s->targets = config->targets;
    for (guint i = 0; i < s->engine_list->len; i++)
        ((engine_t *)g_ptr_array_index(s->engine_list, i))->configured = false;
    for (uint32_t i = 0; i < config->engines_n; i++)
        if (strcmp(config->engines[i].cell, s->cell) == 0)
            configure_engine(s, &config->engines[i]);
    configure_links(s, config);
    for (uint32_t i = 0; i < config->leaving_n; i++) {
        engine_t *const e = engine_find(s, config->leaving[i].name);
        if (e)
            e->leaving_config = true;
    }
    g_hash_table_remove_all(s->weights);
    for (uint32_t i = 0; i < config->workspaces_n; i++)
        g_hash_table_insert(s->weights, g_strdup(config->workspaces[i].name),
                            GUINT_TO_POINTER(config->workspaces[i].weight));
}

/* ===== Life ===== */

sched_t *sched_create(const sched_options_t *options, tc_time_t now)
{
    sched_t *const s = g_new0(sched_t, 1);
    codec_copy_string(s->cell, sizeof(s->cell), options->cell);
    s->epoch = options->epoch;
    s->share_of = options->share_of > 0 ? options->share_of : 1;
    s->rebuilding = options->rebuild;
    s->admit_from = options->rebuild ? now + SCHED_REBUILD_MS : now;
    s->requests = g_hash_table_new(g_str_hash, g_str_equal);
    s->engines = g_hash_table_new(g_str_hash, g_str_equal);
    s->engine_list = g_ptr_array_new_with_free_func(g_free);
    s->links = g_ptr_array_new_with_free_func(g_free);
    s->weights = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    CDS_INIT_LIST_HEAD(&s->queue);
    CDS_INIT_LIST_HEAD(&s->placed);
    CDS_INIT_LIST_HEAD(&s->finished);
    CDS_INIT_LIST_HEAD(&s->cancelling);
    CDS_INIT_LIST_HEAD(&s->strangers);
    CDS_INIT_LIST_HEAD(&s->actions);
    s->freed_at = now;
    s->tpot_ms = DEFAULT_TPOT_MS;
    /* Attempts of different epochs differ, whatever a box that held the lease before may still send. */
    s->next_attempt = (uint32_t)((options->epoch % 4000) * 1000000);
    s->targets.max_queue = 512;
    return s;
}

static void free_requests(struct cds_list_head *list)
{
    request_t *r, *next;
    cds_list_for_each_entry_safe(r, next, list, node) {
        g_free(r->chain);
        g_free(r);
    }
}

void sched_destroy(sched_t *s)
{
    sched_action_t action;
    while (sched_next_action(s, &action)) {
    }
    free_requests(&s->queue);
    free_requests(&s->placed);
    free_requests(&s->finished);
    cancelling_t *c, *c_next;
    cds_list_for_each_entry_safe(c, c_next, &s->cancelling, node)
        g_free(c);
    stranger_t *x, *x_next;
    cds_list_for_each_entry_safe(x, x_next, &s->strangers, node)
        g_free(x);
    g_hash_table_destroy(s->requests);
    g_hash_table_destroy(s->engines);
    g_ptr_array_free(s->engine_list, TRUE);
    g_ptr_array_free(s->links, TRUE);
    g_hash_table_destroy(s->weights);
    g_free(s);
}

bool sched_next_action(sched_t *s, sched_action_t *action)
{
    if (cds_list_empty(&s->actions))
        return false;
    queued_action_t *const item = cds_list_first_entry(&s->actions, queued_action_t, node);
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the analyzer does not see cds_list_del take the item out */
    *action = item->action;
    cds_list_del(&item->node);
    g_free(item);
    return true;
}

/* ===== Invariants and views ===== */

typedef struct {
    uint32_t pieces, batch, prefills;
    bool over; /* something adopted or foreign stands on it */
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
            t->over = t->over || r->adopted;
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
    const cancelling_t *c;
    cds_list_for_each_entry(c, &s->cancelling, node) {
        tally_t *const t = g_hash_table_lookup(tallies, c->engine);
        t->pieces += c->pieces;
        t->over = t->over || c->foreign;
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
