/* Usage caps of workspaces. The leader checks them together with the placement of a stream; for other requests this box
 * checks its share of the cap. */

#include "common/counter.h"
#include "common/log.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_refused, "counter", "trackcove_forward_cap_refused_total",
               "Requests refused since their workspace is over its usage cap")
COUNTER_DEFINE(c_own, "counter", "trackcove_forward_cap_own_total",
               "Requests of workspaces with usage caps that this box let in by itself")

enum { STATUS_OVER_CAP = 429 };

static bool has_cap(const forward_t *f)
{
    return f->workspace && f->workspace->cap.rate > 0;
}

double cap_units(const forward_t *f)
{
    if (!has_cap(f))
        return 0;
    const uint64_t tokens = (uint64_t)f->facts.prompt_tokens + f->facts.output_tokens;
    return cap_cost(&f->workspace->cap, f->facts.has_token_count ? tokens : 0);
}

static cap_request_t charge_of(const forward_t *f)
{
    return (cap_request_t){.name = f->workspace->name,
                           .cap = &f->workspace->cap,
                           .units = cap_units(f),
                           .leader_decides = f->placement.asked};
}

static void log_refused(const forward_t *f, const cap_decision_t *decision)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "cap_refused");
    log_str(&line, "request", f->facts.id);
    log_str(&line, "workspace", f->workspace->name);
    log_str(&line, "why", decision->reason);
    log_num(&line, "units", cap_units(f));
    log_num(&line, "cap_units_s", f->workspace->cap.rate);
    if (decision->state_age != TC_TIME_NEVER)
        log_int(&line, "told_age_ms", decision->state_age);
    if (decision->share_rate > 0) {
        log_num(&line, "part_units_s", decision->share_rate);
        log_num(&line, "part_level", decision->level);
    }
    log_int(&line, "after_ms", decision->after);
    log_end(&line);
}

static void refuse(forward_t *f, const cap_decision_t *decision)
{
    counter_add(&c_refused, 1);
    log_refused(f, decision);
    forward_refuse(f, STATUS_OVER_CAP, "its workspace is over its usage cap", decision->after);
}

bool cap_allows_waiting(forward_t *f)
{
    cap_decision_t decision;
    if (f->cap_granted || !has_cap(f) ||
        !cap_shares_is_over(f->owner->caps, f->workspace->name, tc_time_now(), &decision))
        return true;
    refuse(f, &decision);
    return false;
}

bool cap_check(forward_t *f)
{
    if (f->cap_granted || !has_cap(f))
        return true;
    forwarder_t *const fw = f->owner;
    const cap_request_t charge = charge_of(f);
    cap_decision_t decision;
    if (!cap_shares_take(fw->caps, &charge, forward_boxes(fw), g_rand_double(fw->random), tc_time_now(), &decision)) {
        refuse(f, &decision);
        return false;
    }
    counter_add(&c_own, 1);
    f->cap_granted = true;
    return true;
}

void cap_record_granted(forward_t *f)
{
    if (f->cap_granted || !has_cap(f))
        return;
    f->cap_granted = true;
    const cap_request_t charge = charge_of(f);
    cap_shares_record(f->owner->caps, &charge, tc_time_now());
}

void cap_refuse(forward_t *f, tc_time_t after)
{
    const cap_decision_t decision = {
        .reason = "the usage cap is reached over all boxes", .state_age = 0, .after = after};
    refuse(f, &decision);
}
