/* Requests that return after a refusal, and requests that are late: they wait for the memory that requests in time
 * leave over. Active for ranked requests of a scheduler that has a schedule of returns. */

#include <math.h>
#include <string.h>

#include "common/feature.h"
#include "sched/sched_choose.h"
#include "sched/sched_returns.h"

/* ===== Memory left over ===== */

/** Time constant of the rate left over. Promises hold for up to 5 s; with 1.2 s as many were broken as kept, since the
 *  sizes of some hundred requests do not average out. */
static const double LEFT_AVERAGE_MS = 2500;

double left_rate(const sched_t *s)
{
    return MAX(s->left_rate, 0);
}

void count_granted(sched_t *s, const request_t *r)
{
    if (!r->late)
        s->in_time_pieces += r->pieces;
}

/* In a full cell all that is freed is granted at once, so that the fluctuations of both cancel in the difference. */
void update_left_rate(sched_t *s, double freed, tc_time_t span)
{
    const double left = (freed - s->in_time_pieces) / (double)span;
    if (s->free_rate > 0) /* before that, no request has ended */
        s->left_rate += MIN((double)span / LEFT_AVERAGE_MS, 1) * (left - s->left_rate);
    s->in_time_pieces = 0;
    if (s->returns)
        returns_set_rate(s->returns, left_rate(s));
}

/* ===== Requests ===== */

static bool has_returns(const sched_t *s, const request_t *r)
{
    return s->returns && r->ranked;
}

/** Time that an idle engine takes to the first token. */
static tc_time_t read_time(const request_t *r)
{
    return isfinite(r->read_ms) ? (tc_time_t)r->read_ms : 0;
}

/** Lets the request wait for what requests in time leave over, until its caller gives up. */
static void make_late(request_t *r)
{
    r->late = true;
    r->returned = r->kind;
    r->due = r->patience_until - read_time(r);
}

tc_time_t last_grant_at(const sched_t *s, const request_t *r)
{
    return has_returns(s, r) && !r->late ? r->due - read_time(r) : r->due;
}

void recognise_return(sched_t *s, request_t *r, const msg_place_t *place, tc_time_t now)
{
    r->target = r->due;
    r->patience_until = now + (place->patience_ms > 0 ? place->patience_ms : place->wait_ms);
    r->caller_until = place->caller_ms > 0 ? now + place->caller_ms : r->patience_until;
    if (!has_returns(s, r))
        return;
    const returns_match_t match = returns_find(s->returns, r->fingerprint, r->queued_at);
    r->kind = match.kind;
    if (match.kind == RETURN_NEW)
        return;
    r->first_arrived = match.first_arrived;
    r->target = MIN(r->target, match.target);
    r->due = r->target;
    r->returned = match.kind == RETURN_EARLY ? RETURN_EARLY : RETURN_NEW; /* in time it competes as any other */
    if ((double)now + estimate_wait(s, r, now) > (double)r->target)
        make_late(r);
}

/** Learns from the wait of a request in time, which ends now. */
static void learn_wait(const request_t *r, tc_time_t now)
{
    if (r->model && !r->late)
        wait_factor_learn(&r->model->waits, r->pieces, r->expected_ms, (double)(now - r->queued_at), now);
}

bool waits_too_long(const sched_t *s, request_t *r, double wait, tc_time_t now)
{
    if (!has_returns(s, r) || r->late || !feature_is_enabled(FEATURE_EARLY_REFUSAL) || now < s->admit_from)
        return false;
    r->expected_ms = MAX(wait * DUE_MARGIN - r->read_ms, 0);
    const double factor = wait_factor(&r->model->waits, r->pieces, now);
    return (double)now + r->expected_ms * factor + r->read_ms > (double)r->due;
}

void record_served(sched_t *s, const request_t *r, tc_time_t now)
{
    if (!has_returns(s, r))
        return;
    learn_wait(r, now);
    returns_served(s->returns, r->fingerprint, r->queued_at);
}

void fill_return_note(const sched_t *s, const request_t *r, sched_return_t *note, tc_time_t now)
{
    if (!has_returns(s, r))
        return;
    *note = (sched_return_t){.known = true,
                             .kind = r->kind,
                             .late = r->late,
                             .first_age_ms = now - (r->kind == RETURN_NEW ? r->queued_at : r->first_arrived),
                             .left_rate = left_rate(s)};
}

/* ===== Refusals ===== */

void refuse_for_room(sched_t *s, request_t *r, const char *reason, double retry_ms, tc_time_t now)
{
    if (!has_returns(s, r)) {
        refuse_queued(s, r, reason, retry_ms);
        return;
    }
    const returns_request_t request = {.fingerprint = r->fingerprint,
                                       .arrived = r->queued_at,
                                       .target = r->target,
                                       .patience_ms = r->caller_until - now,
                                       .units = r->pieces};
    const returns_plan_t plan = returns_refuse(s->returns, &request, now);
    sched_return_t note;
    fill_return_note(s, r, &note, now);
    sched_answer_t *const answer = refuse_queued(s, r, reason, (double)plan.after_ms);
    answer->placed.promised = plan.promised;
    answer->returned = note;
}

bool wait_on_late(sched_t *s, request_t *r, tc_time_t now)
{
    if (!has_returns(s, r) || r->late)
        return false;
    learn_wait(r, now);
    queue_remove(s, r);
    make_late(r);
    queue_insert(s, r);
    const double wait = estimate_wait(s, r, now);
    if (feature_is_enabled(FEATURE_EARLY_REFUSAL) && (double)now + wait > (double)r->due)
        refuse_for_room(s, r, "late, and too little memory is left over", wait, now);
    return true;
}

request_t *last_late(const sched_t *s)
{
    request_t *q;
    cds_list_for_each_entry_reverse(q, &s->queue, node)
        if (q->late)
            return q;
    return NULL;
}
