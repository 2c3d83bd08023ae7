/* Rate limits of back ends, shared by all boxes: limits that back ends announce, and the limit for cold back ends. The
 * leader counts the requests of all boxes and permits each one; while it does not answer, this box's share of the limit
 * applies. */

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/counter.h"
#include "common/log.h"
#include "common/mutant.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_changes, "counter", "trackcove_forward_limit_changes_total",
               "Limits that back ends named, changed or no longer named, as this box heard")
COUNTER_DEFINE(c_closed, "counter", "trackcove_forward_limit_closed_total",
               "Times that a back end got a request no more for a while, since it has a limit")
COUNTER_DEFINE(c_own, "counter", "trackcove_forward_limit_own_total",
               "Requests to back ends with limits that this box sent by its own part")

/* ===== Constants ===== */

/** Timeout of the leader, which answers within a round trip. After it the box's own share of the limit applies. */
enum { ANSWER_TIMEOUT_MS = 100 };

/* ===== Known limits ===== */

static void log_limit(const instance_t *instance, const char *from)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "backend_limit");
    log_str(&line, "backend", instance->listed.id);
    log_str(&line, "addr", instance->listed.addr);
    log_str(&line, "from", from);
    log_int(&line, "set", instance->limit.is_set);
    log_num(&line, "limit_s", instance->limit.rate);
    log_end(&line);
}

/** Whether this box knows a newer and different limit than the leader. */
static bool is_newer_than_leader(const forwarder_t *fw, const instance_t *instance)
{
    const instance_limit_t *const own = &instance->limit;
    const limit_entry_t *const known = limit_table_find(fw->leader_limits, instance->listed.id);
    if (!known)
        return own->is_set;
    const bool same = own->is_set == known->is_set && own->rate == known->rate;
    return !same && own->seen_at > known->seen_at;
}

/** Whether this box knows a limit where the leader knows none. Other changes wait for the next report, since a back end
 *  may announce another limit with each answer. */
static bool is_urgent(const forwarder_t *fw, const instance_t *instance)
{
    const limit_entry_t *const known = limit_table_find(fw->leader_limits, instance->listed.id);
    return instance->limit.is_set && !(known && known->is_set) && is_newer_than_leader(fw, instance);
}

/** @param from source, for the log @return whether the limit has changed */
static bool apply_limit(instance_t *instance, const instance_limit_t *limit, const char *from)
{
    if (!instance_update_limit(instance, limit))
        return false;
    counter_add(&c_changes, 1);
    log_limit(instance, from);
    return true;
}

/** Whether the answer shows the limit or its absence: the back end itself answered, and did not fail. */
static bool is_backend_answer(const backend_call_t *call)
{
    return call->reply.limited || (call->reply.success && (call->reply.authentic || call->op == DIALECT_PREFILL));
}

void limit_update(const backend_call_t *call)
{
    if (!is_backend_answer(call))
        return;
    const instance_limit_t limit = {.is_set = call->reply.limited, .rate = call->reply.limit, .seen_at = tc_time_now()};
    forwarder_t *const fw = call->request->owner;
    if (apply_limit(call->instance, &limit, "its answer") && fw->scheduler && is_urgent(fw, call->instance))
        reporter_report_now(fw->scheduler); /* until the scheduler knows the limit, its placements exceed it */
}

void limit_apply_leader_list(forwarder_t *fw)
{
    GList *const entries = limit_table_entries(fw->leader_limits);
    for (const GList *at = entries; at; at = at->next) {
        const limit_entry_t *const e = at->data;
        instance_t *const instance = fleet_find(fw->fleet, e->backend);
        const instance_limit_t limit = {.is_set = e->is_set, .rate = e->rate, .seen_at = e->seen_at};
        if (instance)
            (void)apply_limit(instance, &limit, "the leader");
    }
    g_list_free(entries);
}

/* ===== Reports ===== */

static limit_news_t update_of(const instance_t *instance)
{
    limit_news_t update = {.is_set = instance->limit.is_set,
                           .rate = instance->limit.rate,
                           .age_ms = (uint64_t)(tc_time_now() - instance->limit.seen_at)};
    codec_copy_string(update.backend, sizeof(update.backend), instance->listed.id);
    return update;
}

/** @return limit_news_t, for free() */
static limit_news_t *list_updates(const forwarder_t *fw, uint32_t *n)
{
    limit_news_t *const list = calloc(fleet_size(fw->fleet) + 1, sizeof(*list));
    if (!list)
        abort();
    *n = 0;
    for (unsigned i = 0; i < fleet_size(fw->fleet); i++) {
        const instance_t *const instance = fleet_at(fw->fleet, i);
        if (is_newer_than_leader(fw, instance))
            list[(*n)++] = update_of(instance);
    }
    return list;
}

void limit_fill_report(forwarder_t *fw, msg_report_t *report)
{
    report->limits = list_updates(fw, &report->limits_n);
    report->limits_hash = fw->limits_hash;
    report->limits_used = cap_shares_report(fw->limits, &report->limits_used_n, tc_time_now());
    report->cold_used = cap_shares_report(fw->cold, &report->cold_used_n, tc_time_now());
}

static bool has_urgent_update(const forwarder_t *fw)
{
    for (unsigned i = 0; i < fleet_size(fw->fleet); i++)
        if (is_urgent(fw, fleet_at(fw->fleet, i)))
            return true;
    return false;
}

bool forwarder_apply_limits(forwarder_t *fw, const msg_report_ack_t *ack)
{
    const tc_time_t now = tc_time_now();
    if (ack->limits.hash != fw->limits_hash) {
        limit_table_clear(fw->leader_limits);
        for (uint32_t i = 0; i < ack->limits.list_n; i++)
            (void)limit_table_update(fw->leader_limits, &ack->limits.list[i], now);
        limit_apply_leader_list(fw);
    }
    fw->limits_hash = ack->limits.hash;
    const bool is_new =
        cap_shares_apply_reply(fw->limits, ack->quarantine.term, ack->limits.caps, ack->limits.caps_n, now);
    (void)cap_shares_apply_reply(fw->cold, ack->quarantine.term, ack->limits.cold, ack->limits.cold_n, now);
    const bool has_streams = version_confirm_report(fw, ack);
    const bool has_parts = parts_take_ack(fw, ack);
    return is_new || has_streams || has_parts || has_urgent_update(fw);
}

/* ===== This box's share ===== */

/** Whether the limit for cold back ends applies. */
static bool is_cold(const forward_t *f, const instance_t *instance)
{
    return instance->cold && f->settings->cold_rate > 0;
}

/** One request to a back end as a charge to a cap. @param cap filled in; the result points to it */
static cap_request_t charge_of(const instance_t *instance, double rate, cap_t *cap)
{
    *cap = (cap_t){.unit = CAP_REQUESTS, .rate = MAX(rate, LIMIT_RATE_MIN)};
    return (cap_request_t){.name = instance->listed.id, .cap = cap, .units = 1, .leader_decides = true};
}

/** Records a request that the leader has counted, so that this box can report it to the next leader. */
static void record_sent(const forward_t *f, const instance_t *instance)
{
    cap_t cap;
    const tc_time_t now = tc_time_now();
    const cap_request_t named = charge_of(instance, instance->limit.rate, &cap);
    if (instance->limit.is_set)
        cap_shares_record(f->owner->limits, &named, now);
    const cap_request_t cold = charge_of(instance, f->settings->cold_rate, &cap);
    if (is_cold(f, instance))
        cap_shares_record(f->owner->cold, &cold, now);
}

static bool take_from(forwarder_t *fw, cap_shares_t *shares, const instance_t *instance, double rate, tc_time_t *after)
{
    cap_t cap;
    cap_decision_t decision;
    const cap_request_t charge = charge_of(instance, rate, &cap);
    const bool taken =
        cap_shares_take(shares, &charge, forward_boxes(fw), g_rand_double(fw->random), tc_time_now(), &decision);
    *after = decision.after;
    return taken;
}

/** @param after time until the box may send a request, ms, if it may not now */
static bool take_own_share(const forward_t *f, const instance_t *instance, tc_time_t *after)
{
    forwarder_t *const fw = f->owner;
    if (is_cold(f, instance) && !take_from(fw, fw->cold, instance, f->settings->cold_rate, after))
        return false;
    if (instance->limit.is_set && !take_from(fw, fw->limits, instance, instance->limit.rate, after))
        return false;
    counter_add(&c_own, 1);
    return true;
}

/* ===== Deciding ===== */

/** Closes the back end to requests of this box for @p after ms; the request continues elsewhere.
 *  @param instance a reference, taken over */
static void close_backend(forward_t *f, instance_t *instance, tc_time_t after, const char *why)
{
    counter_add(&c_closed, 1);
    instance->limited_until = tc_time_now() + MAX(after, 1);
    forward_log(f, "limit_closed", why, 0, instance);
    if (f->hold.instance == instance)
        hold_release(f);
    f->repeats_engine = false;
    instance_unref(instance);
    forward_continue(f);
}

/** @param instance a reference, taken over */
static void decide_locally(forward_t *f, dialect_op_t op, instance_t *instance)
{
    tc_time_t after;
    if (take_own_share(f, instance, &after))
        forward_send(f, op, instance);
    else
        close_backend(f, instance, after, "this box's share of the rate limit is used up");
}

static void on_answer(forward_t *f, int rc, uint32_t type, const void *message)
{
    instance_t *const instance = f->limit_wait.instance;
    const dialect_op_t op = f->limit_wait.op;
    f->limit_wait.instance = NULL;
    if (rc != TC_OK || type != MSG_TAKE_LIMIT_ACK) {
        decide_locally(f, op, instance);
        return;
    }
    const msg_take_limit_ack_t *const ack = message;
    if (!ack->granted) {
        close_backend(f, instance, ack->after_ms, "the rate limit is reached over all boxes");
        return;
    }
    record_sent(f, instance);
    forward_send(f, op, instance);
}

static bool query_leader(forward_t *f, dialect_op_t op, instance_t *instance)
{
    msg_take_limit_t message = {.limit = update_of(instance), .cold = is_cold(f, instance)};
    codec_copy_string(message.id, sizeof(message.id), f->facts.id);
    f->limit_wait.instance = instance;
    f->limit_wait.op = op;
    if (f->owner->scheduler &&
        leader_query(f, &f->limit_wait.query, MSG_TAKE_LIMIT, &message, ANSWER_TIMEOUT_MS, on_answer))
        return true;
    f->limit_wait.instance = NULL;
    return false;
}

void limit_send(forward_t *f, dialect_op_t op, instance_t *instance)
{
    const bool limited = instance->limit.is_set || is_cold(f, instance);
    if (!limited || MUTANT_IS(MUTANT_NO_LIMIT)) {
        forward_send(f, op, instance);
        return;
    }
    if (place_use_grant(f, op, instance)) {
        record_sent(f, instance);
        forward_send(f, op, instance);
        return;
    }
    if (!query_leader(f, op, instance))
        decide_locally(f, op, instance);
}

void limit_cancel(forward_t *f)
{
    leader_query_drop(&f->limit_wait.query);
    if (f->limit_wait.instance)
        instance_unref(f->limit_wait.instance);
    f->limit_wait.instance = NULL;
}
