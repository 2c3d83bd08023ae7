/* The retry budget: this box's own part first, then the part that the leader hands out to whoever needs it. */

#include <string.h>

#include "common/counter.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_lent, "counter", "trackcove_retry_lent_total", "Further arrivals allowed by the leader's part")
COUNTER_DEFINE(c_denied, "counter", "trackcove_retry_denied_total", "Requests given up since the budget was used up")

enum { ANSWER_MS = 100 /* the leader answers within a round trip; without it the budget is used up */ };

/** A question under way. Outlives its request when the caller leaves. */
struct retry_call {
    forward_t *request; /* NULL once it has ended */
    void (*then)(forward_t *f);
};

/* ===== This box's part ===== */

/** The rules for this box: services whose requests the scheduler places share their budget with its part. */
static retry_rules_t rules_of(const forward_t *f)
{
    const bool shared = f->split && f->owner->scheduler;
    return retry_rules_part(&f->owner->options.retries, shared ? RETRY_BOXES_PART : 1);
}

void retry_earn(forward_t *f)
{
    const retry_rules_t rules = rules_of(f);
    const tc_time_t now = tc_time_now();
    retry_budget_earn(retry_budgets_get(f->owner->budgets, f->service, now), &rules, now);
}

bool forward_may_retry(forward_t *f)
{
    const retry_rules_t rules = rules_of(f);
    const tc_time_t now = tc_time_now();
    return retry_budget_spend(retry_budgets_get(f->owner->budgets, f->service, now), &rules, f->owner->boxes, now);
}

/* ===== The leader's part ===== */

static void give_up(forward_t *f)
{
    counter_add(&c_denied, 1);
    forward_fail(f, "retry budget is used up");
}

static void on_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    retry_call_t *const call = arg;
    forward_t *const f = call->request;
    void (*const then)(forward_t *) = call->then;
    (void)err; /* no answer is no */
    g_free(call);
    if (!f)
        return;
    f->retrying = NULL;
    if (rc == TC_OK && type == MSG_RETRY_ACK && ((const msg_retry_ack_t *)message)->granted) {
        counter_add(&c_lent, 1);
        then(f);
        return;
    }
    give_up(f);
}

void retry_then(forward_t *f, void (*then)(forward_t *f))
{
    if (forward_may_retry(f)) {
        then(f);
        return;
    }
    forwarder_t *const fw = f->owner;
    msg_retry_t message = {0};
    codec_copy_string(message.id, sizeof(message.id), f->facts.id);
    codec_copy_string(message.service, sizeof(message.service), f->service);
    retry_call_t *const call = g_new0(retry_call_t, 1);
    call->request = f;
    call->then = then;
    f->retrying = call;
    if (f->split && fw->scheduler &&
        reporter_call_leader(fw->scheduler, MSG_RETRY, &message, ANSWER_MS, on_answer, call))
        return;
    f->retrying = NULL;
    g_free(call);
    give_up(f);
}

void retry_end(forward_t *f)
{
    if (f->retrying)
        f->retrying->request = NULL;
    f->retrying = NULL;
}
