/* The retry budget: first this box's own share, then the share that the leader lends on demand. */

#include <string.h>

#include "common/counter.h"
#include "common/feature.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_lent, "counter", "trackcove_retry_lent_total", "Further arrivals allowed by the leader's part")
COUNTER_DEFINE(c_denied, "counter", "trackcove_retry_denied_total", "Further arrivals that the budget did not allow")

/* ===== Constants ===== */

/** Timeout of the leader, which answers within a round trip. After it the budget counts as used up. */
enum { ANSWER_TIMEOUT_MS = 100 };

/* ===== This box's share ===== */

static retry_budget_t *budget_of(const forward_t *f)
{
    return retry_budgets_get(f->owner->budgets, f->service, tc_time_now());
}

static bool lending_is_enabled(const forward_t *f)
{
    return f->owner->scheduler && feature_is_enabled(FEATURE_RETRY_LENDING) &&
           (f->split || feature_is_enabled(FEATURE_RETRY_PURPOSE));
}

/** Whether the leader lends part of the service's budget, which it does for services that the scheduler places, and for
 * plain services whose slots it has granted. */
static bool leader_shares_budget(const forward_t *f)
{
    return lending_is_enabled(f) && (f->split || budget_of(f)->leader_lends);
}

static retry_rules_t rules_of(const forward_t *f)
{
    return retry_rules_scale(&f->owner->options.retries, leader_shares_budget(f) ? RETRY_BOXES_SHARE : 1);
}

void retry_earn(forward_t *f)
{
    /* Kept for good: the leader may have lent its part by requests that are still in the window, so this box must not
     * take that part back when slots are no longer granted. */
    if (lending_is_enabled(f) && !f->split && slot_is_active(f))
        budget_of(f)->leader_lends = true;
    const retry_rules_t rules = rules_of(f);
    retry_budget_add_request(budget_of(f), &rules, tc_time_now());
}

bool retry_spend(forward_t *f)
{
    const retry_rules_t rules = rules_of(f);
    if (!retry_budget_spend(budget_of(f), &rules, forward_boxes(f->owner), tc_time_now()))
        return false;
    f->retry.paid++;
    return true;
}

/* ===== Arrivals of a request ===== */

void retry_record_arrival(forward_t *f, dialect_op_t op, arrival_t how)
{
    const bool first_prefill = op == DIALECT_PREFILL && how == ARRIVAL_TAKEN && !f->retry.prefilled;
    f->retry.prefilled = f->retry.prefilled || first_prefill;
    if (how != ARRIVAL_NONE && !first_prefill)
        f->retry.counted++;
}

bool retry_is_unpaid(const forward_t *f, dialect_op_t op)
{
    const unsigned before = f->retry.counted + (op == DIALECT_PREFILL && f->retry.prefilled);
    return before >
           f->retry.paid; /* the first arrival is free, so as many as came before the next one must be paid for */
}

/* ===== The leader's share ===== */

static void fail_used_up(forward_t *f)
{
    forward_fail(f, "retry budget is used up");
}

static void deny(forward_t *f)
{
    counter_add(&c_denied, 1);
    f->retry.on_denied(f);
}

/** A missing answer counts as a denial. */
static void on_answer(forward_t *f, int rc, uint32_t type, const void *message)
{
    if (rc != TC_OK || type != MSG_RETRY_ACK || !((const msg_retry_ack_t *)message)->granted) {
        deny(f);
        return;
    }
    counter_add(&c_lent, 1);
    f->retry.paid++;
    f->retry.on_granted(f);
}

static bool query_leader(forward_t *f, retry_purpose_t purpose)
{
    msg_retry_t message = {.purpose = purpose};
    codec_copy_string(message.id, sizeof(message.id), f->facts.id);
    codec_copy_string(message.service, sizeof(message.service), f->service);
    return leader_query(f, &f->retry.query, MSG_RETRY, &message, ANSWER_TIMEOUT_MS, on_answer);
}

void retry_request(forward_t *f, retry_purpose_t purpose, void (*on_granted)(forward_t *f),
                   void (*on_denied)(forward_t *f))
{
    if (retry_spend(f)) {
        on_granted(f);
        return;
    }
    f->retry.on_granted = on_granted;
    f->retry.on_denied = on_denied;
    if (!leader_shares_budget(f) || !query_leader(f, purpose))
        deny(f);
}

void retry_request_rerun(forward_t *f, void (*on_granted)(forward_t *f), void (*on_denied)(forward_t *f))
{
    if (!f->split && leader_shares_budget(f))
        retry_request(f, RETRY_PURPOSE_RERUN, on_granted, on_denied);
    else if (retry_spend(f))
        on_granted(f);
    else
        on_denied(f);
}

void retry_or_fail(forward_t *f, retry_purpose_t purpose, void (*on_granted)(forward_t *f))
{
    retry_request(f, purpose, on_granted, fail_used_up);
}

void retry_cancel(forward_t *f)
{
    leader_query_drop(&f->retry.query);
}
