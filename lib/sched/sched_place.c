/* Placement: admission, granting in order, repeated calls, replans, and progress reports. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/feature.h"
#include "sched/sched_choose.h"
#include "sched/sched_returns.h"

/* ===== Grants ===== */

static const char *grant_reason(const request_t *r, bool replan)
{
    if (replan)
        return "replanned";
    if (r->kept)
        return "had kept an engine";
    return r->local_prefill ? "read by its decode engine" : "lowest estimate";
}

static void grant(sched_t *s, request_t *r, const choice_t *choice, tc_time_t now)
{
    const bool replan = r->state == REQ_REPLANNING;
    /* Promise: a stream that has begun is never given an engine of another version. */
    assert(engine_has_version(choice->decode, r));
    /* Promise: a box is never given an engine that accepts no calls of it. */
    assert(!owner_is_closed(r->owner, choice->decode, now));
    assert(replan || !choice->prefill || !owner_is_closed(r->owner, choice->prefill, now));
    s->granted_prefill_ms += choice->prefill ? model_occupied_ms(choice->prefill->model, choice->prefill_ms) : 0;
    reserve(s, r, choice, now);
    spoil_record_begin(&r->decode->spoiled, now);
    if (choice->prefill)
        spoil_record_begin(&choice->prefill->spoiled, now);
    r->spoiled_by = NULL;
    if (replan)
        r->state = REQ_PLACED;
    else
        placed_add(s, r);
    r->phase = replan ? PHASE_TRANSFER : PHASE_PREFILL;
    r->phase_at = now;
    r->granted_at = replan ? r->granted_at : now;
    r->lease_until = now + SCHED_LEASE_MS;
    r->avoid[0] = '\0';
    sched_answer_t *const answer = answer_call(s, r);
    msg_placed_t *const placed = &answer->placed;
    placed->granted = true;
    if (!replan) {
        fill_return_note(s, r, &answer->returned, now);
        record_served(s, r, now);
    }
    count_granted(s, r); /* the memory of a replanned request is freed twice */
    codec_copy_string(placed->prefill, sizeof(placed->prefill), r->prefill ? r->prefill->name : "");
    codec_copy_string(placed->decode, sizeof(placed->decode), r->decode->name);
    placed->pieces = r->pieces;
    placed->est_ttft_ms = choice->total_ms < 1e9 ? (uint32_t)choice->total_ms : 0;
    placed->candidates = choice->prefills + choice->decodes;
    codec_copy_string(placed->reason, sizeof(placed->reason), grant_reason(r, replan));
    s->stats.granted++;
    s->stats.granted_kept += r->kept && !replan;
}

void dispatch(sched_t *s, tc_time_t now)
{
    if (now < s->admit_from || s->suspended)
        return;
    begin_pass(s);
    request_t *r, *next;
    cds_list_for_each_entry_safe(r, next, &s->queue, node) {
        const choice_t choice = choose_queued(s, r, now);
        if (!choice.decode) {
            if (choice.no_memory)
                keep_engine(s, r, now);
            continue;
        }
        if (feature_is_enabled(FEATURE_EARLY_REFUSAL) && now + (tc_time_t)choice.total_ms > r->due) {
            if (!wait_on_late(s, r, now))
                refuse_for_room(s, r, "cannot meet the time to first token", estimate_wait(s, r, now), now);
            continue;
        }
        queue_remove(s, r);
        r->attempt = ++s->next_attempt;
        grant(s, r, &choice, now);
    }
}

/* ===== Calls ===== */

/** Handles a repeated id: resumes a request that is decoding or finished, and otherwise withdraws it so that it
 *  starts anew.
 *  @return whether the call has been resumed */
static bool resume_or_replace(sched_t *s, request_t *old, const msg_place_t *place, sched_token_t token, tc_time_t now)
{
    if (old->state == REQ_FINISHED) {
        const engine_t *const engine = engine_find(s, old->avoid);
        const bool known = engine && engine->configured && strcmp(place->avoid, old->avoid) != 0;
        if (!known) {
            request_free(s, old);
            return false;
        }
        sched_action_t *const action = add_action(s, SCHED_ACT_ANSWER);
        action->u.answer.token = token;
        codec_copy_string(action->u.answer.id, sizeof(action->u.answer.id), old->id);
        action->u.answer.placed =
            (msg_placed_t){.granted = true, .resume = true, .attempt = old->attempt, .pieces = old->pieces};
        codec_copy_string(action->u.answer.placed.decode, CODEC_STR_SIZE, old->avoid);
        set_owner(s, old, place->box, old->attempt);
        s->stats.resumed++;
        return true;
    }
    if (old->waiting) {
        refuse_call(s, old->id, old->token, "superseded by the same request elsewhere", 0);
        old->waiting = false;
    }
    if (old->state == REQ_PLACED && old->phase == PHASE_DECODE && strcmp(place->avoid, old->decode->name) != 0) {
        set_owner(s, old, place->box, old->attempt);
        old->lease_until = now + SCHED_LEASE_MS;
        old->token = token;
        old->waiting = true;
        msg_placed_t *const placed = &answer_call(s, old)->placed;
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
    request_free(s, old);
    return false;
}

/** Whether the box repeats the call of a queued request because it has had no answer for a while. Nothing else has
 *  changed. */
static bool is_repeated_call(const request_t *old, const msg_place_t *place)
{
    return old->state == REQ_QUEUED && strcmp(old->owner->name, place->box) == 0 &&
           strcmp(old->avoid, place->avoid) == 0;
}

/** Keeps the request's place in the queue without a new admission check: in a burst hundreds of requests wait, and
 *  each repeats its call every 220 ms. */
static void keep_queued(sched_t *s, request_t *r, sched_token_t token, tc_time_t now)
{
    refuse_call(s, r->id, r->token, "asked on", 0)->repeated = true;
    r->token = token;
    r->lease_until = now + SCHED_LEASE_MS;
}

static bool is_queued(const sched_t *s, const char *id)
{
    const request_t *const r = g_hash_table_lookup(s->requests, id);
    return r && r->state == REQ_QUEUED;
}

void sched_place(sched_t *s, const msg_place_t *place, sched_token_t token, tc_time_t now)
{
    request_t *const old = g_hash_table_lookup(s->requests, place->id);
    if (old && old->content != place->content) { /* promise: nobody gets the answer to another caller's request */
        refuse_call(s, place->id, token, "the id belongs to another request", 0);
        return;
    }
    if (old && is_repeated_call(old, place)) {
        keep_queued(s, old, token, now);
        return;
    }
    if (old && resume_or_replace(s, old, place, token, now))
        return;
    request_t *const r = request_create(s, place->id);
    set_owner(s, r, place->box, 0);
    codec_copy_string(r->workspace, sizeof(r->workspace), place->workspace);
    codec_copy_string(r->model_name, sizeof(r->model_name), place->model);
    r->model = model_find(s, place->model);
    codec_copy_string(r->avoid, sizeof(r->avoid), place->avoid);
    codec_copy_string(r->version, sizeof(r->version), place->version);
    r->prompt_tokens = place->prompt_tokens;
    r->max_tokens = place->max_tokens;
    r->pieces = sched_pieces_of(s->piece_tokens, place->prompt_tokens, place->max_tokens);
    r->priority = place->priority;
    r->ranked = place->ranked;
    r->rank = place->ranked ? place->rank : 0;
    if (r->ranked && r->model)
        r->model->ranked_until = now + MODEL_RANKED_MS;
    r->content = place->content;
    r->fingerprint = place->fingerprint;
    r->dc = dc_find(s, place->dc);
    r->ends = place->ends;
    r->chain = g_memdup2(place->chain, place->chain_n * sizeof(*place->chain));
    r->n_chain = place->chain_n;
    r->lease_until = now + SCHED_LEASE_MS;
    r->due = now + place->wait_ms;
    r->queued_at = now - place->waited_ms;
    r->token = token;
    r->waiting = true;
    recognise_return(s, r, place, now);
    queue_insert(s, r);
    if (s->n_queue == 1)
        dispatch(s, now); /* nothing is ahead of it, so a wait has to be estimated only if it is not granted at once */
    if (is_queued(s, place->id)) {
        admit(s, r, now);
        dispatch(s, now);
    }
    if (is_queued(s, place->id) && now >= s->admit_from && !feature_is_enabled(FEATURE_QUEUE))
        refuse_for_room(s, r, "no room at once", 0, now);
    send_cancels(s, now);
}

/** Whether only boxes in doubt have lost calls at the engine. */
static bool is_cleared(const sched_t *s, const engine_t *e)
{
    return loss_evidence_count(s->losses, e->name) == 0;
}

/** When the engine last answered another box. */
static tc_time_t answered_others_at(const engine_t *e, const char *box)
{
    const bool is_last = e->answered && strcmp(e->answered->name, box) == 0;
    return is_last ? e->answered_before : e->answered_at;
}

/** Records a call that a box lost at an engine. @return whether it counts against the engine: a box that reaches no
 *  engine says nothing about them, and what it has said before is withdrawn */
static bool record_loss(sched_t *s, const char *box, const engine_t *bad, tc_time_t now)
{
    const bool doubted = loss_evidence_is_in_doubt(s->losses, box);
    loss_evidence_add_loss(s->losses, box, bad->name);
    if (!loss_evidence_is_in_doubt(s->losses, box))
        return now - answered_others_at(bad, box) >= CONTRADICTED_MS;
    for (guint i = 0; i < s->engine_list->len && !doubted; i++) {
        engine_t *const e = g_ptr_array_index(s->engine_list, i);
        e->suspect_until = is_cleared(s, e) ? 0 : e->suspect_until;
        e->stalled_until = is_cleared(s, e) ? 0 : e->stalled_until;
    }
    return false;
}

/** An engine has answered a call of the request's box. */
static void record_answer(sched_t *s, const request_t *r, engine_t *e, tc_time_t now)
{
    loss_evidence_add_answer(s->losses, r->owner->name, e->name);
    if (e->answered != r->owner)
        e->answered_before = e->answered_at;
    e->answered = r->owner;
    e->answered_at = now;
}

/** Records what a refusal says about the engine. Call while the request is still counted there. */
static void record_refusal(sched_t *s, const request_t *r, const msg_replan_t *replan, tc_time_t now)
{
    engine_t *const bad = engine_find(s, replan->bad);
    if (!bad)
        return;
    switch (replan->trouble) {
    case TROUBLE_FULL:
        if (feature_is_enabled(FEATURE_CORRECTION))
            engine_mark_full(bad, now);
        else
            bad->stalled_until = now + STALL_AVOID_MS;
        s->reconcile_until = now + RECONCILE_MS;
        record_answer(s, r, bad, now);
        break;
    case TROUBLE_OUTDATED:
        bad->outdated_until = now + OUTDATED_AVOID_MS;
        record_answer(s, r, bad, now);
        break;
    case TROUBLE_STALLED:
    default:
        if (record_loss(s, r->owner->name, bad, now))
            bad->stalled_until = now + STALL_AVOID_MS;
        break;
    }
}

void sched_replan(sched_t *s, const msg_replan_t *replan, sched_token_t token, tc_time_t now)
{
    request_t *const r = g_hash_table_lookup(s->requests, replan->id);
    const bool current = r && r->state == REQ_PLACED && r->attempt == replan->attempt && r->prefill && !r->waiting;
    if (!current) {
        refuse_call(s, replan->id, token, "no such attempt", 0);
        return;
    }
    record_refusal(s, r, replan, now);
    cancel_decode(s, r, now);
    codec_copy_string(r->version, sizeof(r->version), replan->version);
    r->ends = MAX(r->ends, replan->ends); /* not counted on any engine at this point */
    codec_copy_string(r->avoid, sizeof(r->avoid), replan->bad);
    r->token = token;
    r->waiting = true;
    choice_t choice = {.reason = "nothing is granted now"};
    if (!s->suspended)
        choice = choose_pair(s, r, true, now);
    if (choice.decode) {
        r->state = REQ_REPLANNING;
        r->replanned = r->attempt;
        /* A new attempt number, so that late tokens of the stalled engine are not taken for those of the new one. */
        set_owner(s, r, r->owner->name, ++s->next_attempt);
        grant(s, r, &choice, now);
        s->stats.replanned++;
    } else {
        /* There is no other engine: the attempt ends here, and the prefill engine may drop what it keeps for it. */
        r->waiting = false;
        refuse_call(s, r->id, token, choice.reason, 0);
        withdraw(s, r, true, now);
        request_free(s, r);
    }
    send_cancels(s, now);
}

/* ===== Progress ===== */

/** An engine has spoiled an answer to a request of a box. A box whose path spoils whatever passes it says nothing about
 *  engines. */
static void engine_spoiled(sched_t *s, const msg_progress_t *p, tc_time_t now)
{
    engine_t *const e = engine_find(s, p->bad);
    request_t *const r = g_hash_table_lookup(s->requests, p->id);
    if (!e || !feature_is_enabled(FEATURE_EJECTION))
        return;
    loss_evidence_add_loss(s->losses, p->box, e->name);
    if (loss_evidence_is_in_doubt(s->losses, p->box))
        return;
    const bool granted = r && r->state == REQ_PLACED && (r->prefill == e || r->decode == e);
    const uint64_t key = r && r->fingerprint ? r->fingerprint : g_str_hash(p->id);
    s->stats.left += spoil_record_add_spoiled(&e->spoiled, key, granted ? r->phase_at : now, now);
    if (granted)
        r->spoiled_by = e;
}

/** An engine has answered a call of the request well. */
static void engine_answered(const request_t *r, engine_t *e, tc_time_t now)
{
    if (r->spoiled_by != e) /* otherwise another engine answered in its place */
        (void)spoil_record_add_good(&e->spoiled, r->phase_at, now);
}

static void engine_failed(sched_t *s, const msg_progress_t *p, tc_time_t now)
{
    engine_t *const e = engine_find(s, p->bad);
    if (!e || (p->box[0] && !record_loss(s, p->box, e, now)))
        return;
    e->suspect_until = now + ((tc_time_t)SUSPECT_MS << e->failures);
    if (e->failures < SUSPECT_DOUBLINGS_MAX)
        e->failures++;
}

/** Whether the request's box abandoned it before the grant reached the box. Otherwise the grant would hold its
 *  engines until the lease expired. */
static bool was_abandoned(const request_t *r, const msg_progress_t *p)
{
    return p->phase == PHASE_FAILED && p->attempt == 0 && p->box[0] && strcmp(r->owner->name, p->box) == 0;
}

void sched_progress(sched_t *s, const msg_progress_t *p, tc_time_t now)
{
    if (p->bad[0] && p->spoiled)
        engine_spoiled(s, p, now);
    else if (p->bad[0])
        engine_failed(s, p, now);
    request_t *const r = g_hash_table_lookup(s->requests, p->id);
    if (r && r->state == REQ_QUEUED && p->phase == PHASE_FAILED && p->attempt == 0) {
        refuse_queued(s, r, "the caller is gone", 0);
        return;
    }
    if (!r || r->state != REQ_PLACED || (r->attempt != p->attempt && !was_abandoned(r, p)))
        return; /* late message of an attempt that is over */
    r->lease_until = now + SCHED_LEASE_MS;
    if (r->decode)
        engine_set_pace(r->decode, p->pace, now);
    switch (p->phase) {
    case PHASE_TRANSFER:
        if (r->prefilling && r->spoiled_by != r->prefill) { /* otherwise another engine read it */
            r->prefill->failures = 0;
            record_answer(s, r, r->prefill, now);
            engine_answered(r, r->prefill, now);
            engine_update_rate(r->prefill, p, r->prefill->alone == r, now);
            s->stats.cache_predicted += r->predicted_cached;
            s->stats.cache_actual += p->cached_tokens;
        }
        end_prefill_work(r, now);
        r->phase = PHASE_TRANSFER;
        break;
    case PHASE_DECODE:
        end_prefill_work(r, now);
        end_transfer(r);
        end_local_prefill(r);
        r->phase = PHASE_DECODE;
        if (r->decode && r->spoiled_by != r->decode) {
            r->decode->failures = 0;
            record_answer(s, r, r->decode, now);
        }
        break;
    case PHASE_FINISHED:
        if (r->decode)
            engine_answered(r, r->decode, now);
        finish_request(s, r, now);
        break;
    case PHASE_FAILED:
        withdraw(s, r, p->held, now);
        request_free(s, r);
        break;
    default: break;
    }
    dispatch(s, now);
    send_cancels(s, now);
}
