/* Life cycle of a request in the scheduler: queued, placed, finished or withdrawn; and the answers to its calls. */

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sched/sched_internal.h"

sched_answer_t *answer_call(sched_t *s, request_t *r)
{
    assert(r->waiting); /* every waiting call is answered exactly once */
    r->waiting = false;
    sched_action_t *const action = add_action(s, SCHED_ACT_ANSWER);
    action->u.answer.token = r->token;
    codec_copy_string(action->u.answer.id, sizeof(action->u.answer.id), r->id);
    action->u.answer.placed.attempt = r->attempt;
    return &action->u.answer;
}

sched_answer_t *refuse_call(sched_t *s, const char *id, sched_token_t token, const char *reason, double retry_ms)
{
    sched_action_t *const action = add_action(s, SCHED_ACT_ANSWER);
    action->u.answer.token = token;
    codec_copy_string(action->u.answer.id, sizeof(action->u.answer.id), id);
    msg_placed_t *const placed = &action->u.answer.placed;
    codec_copy_string(placed->reason, sizeof(placed->reason), reason);
    placed->retry_after_ms = retry_ms > 60000 || !(retry_ms >= 0) ? 60000 : (uint32_t)retry_ms;
    s->stats.refused++;
    return &action->u.answer;
}

/* ===== Request records ===== */

request_t *request_create(sched_t *s, const char *id)
{
    request_t *const r = g_new0(request_t, 1);
    codec_copy_string(r->id, sizeof(r->id), id);
    r->dc = DC_UNKNOWN;
    g_hash_table_insert(s->requests, r->id, r);
    return r;
}

void request_free(sched_t *s, request_t *r)
{
    assert(!r->decode && !r->link && !r->prefilling && !r->waiting); /* no resource of it may remain in use */
    g_hash_table_remove(s->requests, r->id);
    cds_list_del(&r->node);
    g_free(r->chain);
    g_free(r);
}

int return_order(return_kind_t kind)
{
    switch (kind) {
    case RETURN_PROMISED: return 0;
    case RETURN_NEW: return 1;
    case RETURN_UNPROMISED: return 2;
    case RETURN_EARLY:
    default: return 3;
    }
}

int request_compare_urgency(const request_t *a, const request_t *b)
{
    if (a->priority != b->priority)
        return a->priority < b->priority ? -1 : 1;
    return a->rank < b->rank ? -1 : a->rank > b->rank;
}

int request_compare(const request_t *a, const request_t *b)
{
    const int urgency = request_compare_urgency(a, b);
    if (urgency != 0)
        return urgency;
    const bool a_bound = a->version[0] != '\0', b_bound = b->version[0] != '\0';
    if (a_bound != b_bound) /* others may use engines of any version */
        return a_bound ? -1 : 1;
    if (a->late != b->late)
        return a->late ? 1 : -1;
    if (a->returned != b->returned)
        return return_order(a->returned) - return_order(b->returned);
    return a->due < b->due ? -1 : a->due > b->due;
}

void queue_insert(sched_t *s, request_t *r)
{
    struct cds_list_head *at = &s->queue;
    request_t *q;
    cds_list_for_each_entry_reverse(q, &s->queue, node) {
        if (request_compare(q, r) <= 0) {
            at = &q->node;
            break;
        }
    }
    cds_list_add(&r->node, at);
    r->state = REQ_QUEUED;
    r->phase = PHASE_QUEUED;
    s->n_queue++;
    fair_share_add_queued(s->share, r->workspace, r->pieces);
}

void queue_remove(sched_t *s, request_t *r)
{
    cds_list_del(&r->node);
    assert(s->n_queue > 0); /* it was counted when it was queued */
    s->n_queue--;
    fair_share_remove_queued(s->share, r->workspace, r->pieces);
}

/* ===== Owners ===== */

bool owner_is_closed(const owner_t *owner, const engine_t *e, tc_time_t now)
{
    for (uint32_t i = 0; i < owner->closed_n; i++)
        if (owner->closed[i].engine == e && now < owner->closed[i].until)
            return true;
    return false;
}

bool sched_engine_accepts(const sched_t *s, const char *box, const char *engine, tc_time_t now)
{
    const owner_t *const owner = g_hash_table_lookup(s->owners, box);
    const engine_t *const e = engine_find(s, engine);
    return !owner || !e || !owner_is_closed(owner, e, now);
}

void sched_set_notices(sched_t *s, const char *box, const backend_notice_t *list, uint32_t n, tc_time_t now)
{
    owner_t *const owner = n > 0 ? owner_get(s, box) : g_hash_table_lookup(s->owners, box);
    if (!owner)
        return;
    g_free(owner->closed);
    owner->closed = n > 0 ? g_new0(closed_engine_t, n) : NULL;
    owner->closed_n = 0;
    for (uint32_t i = 0; i < n; i++) {
        const engine_t *const e = list[i].closed_ms > 0 ? engine_find(s, list[i].backend) : NULL;
        if (e)
            owner->closed[owner->closed_n++] = (closed_engine_t){e, now + (tc_time_t)list[i].closed_ms};
    }
}

void owner_free(void *owner)
{
    g_free(((owner_t *)owner)->closed);
    g_free(owner);
}

owner_t *owner_get(sched_t *s, const char *box)
{
    owner_t *owner = g_hash_table_lookup(s->owners, box);
    if (owner)
        return owner;
    owner = g_new0(owner_t, 1);
    codec_copy_string(owner->name, sizeof(owner->name), box);
    g_hash_table_insert(s->owners, owner->name, owner);
    return owner;
}

static void count_owned(const request_t *r, bool add)
{
    r->owner->count += add ? 1u : -1u;
    r->owner->digest ^= sched_digest(r->id, r->attempt);
}

void set_owner(sched_t *s, request_t *r, const char *box, uint32_t attempt)
{
    const bool counted = r->state == REQ_PLACED || r->state == REQ_REPLANNING;
    if (counted)
        count_owned(r, false);
    r->owner = owner_get(s, box);
    r->attempt = attempt;
    if (counted)
        count_owned(r, true);
}

/* ===== Lists ===== */

void placed_add(sched_t *s, request_t *r)
{
    cds_list_add_tail(&r->node, &s->placed);
    r->state = REQ_PLACED;
    count_owned(r, true);
    s->n_placed++;
}

static void placed_remove(sched_t *s, request_t *r)
{
    cds_list_del(&r->node);
    assert(s->n_placed > 0); /* it was counted when it was placed */
    count_owned(r, false);
    s->n_placed--;
}

sched_answer_t *refuse_queued(sched_t *s, request_t *r, const char *reason, double retry_ms)
{
    queue_remove(s, r);
    sched_answer_t *const answer = refuse_call(s, r->id, r->token, reason, retry_ms);
    r->waiting = false;
    CDS_INIT_LIST_HEAD(&r->node);
    request_free(s, r);
    return answer;
}

/** Weight of one request in the moving average of request_held_ms. */
static const double HELD_WEIGHT = 0.05;

void finish_request(sched_t *s, request_t *r, tc_time_t now)
{
    placed_remove(s, r);
    /* The engine keeps a finished stream for a while: remember which engine it is. */
    engine_t *const decode = r->decode;
    if (r->granted_at > 0)
        s->request_held_ms +=
            (s->request_held_ms > 0 ? HELD_WEIGHT : 1) * ((double)(now - r->granted_at) - s->request_held_ms);
    end_prefill_work(r, now);
    release_decode(s, r, now);
    r->state = REQ_FINISHED;
    r->phase = PHASE_FINISHED;
    r->phase_at = now;
    r->prefill = NULL;
    codec_copy_string(r->avoid, sizeof(r->avoid), decode ? decode->name : "");
    cds_list_add_tail(&r->node, &s->finished);
}

void withdraw(sched_t *s, request_t *r, bool engines_may_hold, tc_time_t now)
{
    placed_remove(s, r);
    if (engines_may_hold) {
        cancel_decode(s, r, now);
        cancel_prefill(s, r, now);
    }
    end_prefill_work(r, now);
    release_decode(s, r, now);
    r->prefill = NULL;
    CDS_INIT_LIST_HEAD(&r->node);
    r->state = REQ_FINISHED; /* it is counted nowhere any more */
}
