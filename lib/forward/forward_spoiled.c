/* Answers that back ends have spoiled: bytes came, but they are no answer. Unlike a broken connection, this says
 * nothing about the path to the back end, nor that it has ended. */

#include <glib.h>

#include "common/counter.h"
#include "common/feature.h"
#include "common/log.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_http, "counter", "trackcove_forward_spoiled_http_total", "Answers that are not valid HTTP")
COUNTER_DEFINE(c_unproven, "counter", "trackcove_forward_spoiled_total", "Answers without proof of their origin")
COUNTER_DEFINE(c_prefill, "counter", "trackcove_forward_spoiled_prefills_total",
               "Successes of prefill engines without a result")
COUNTER_DEFINE(c_limit, "counter", "trackcove_forward_spoiled_limit_total", "Answers beyond a limit in bytes")
COUNTER_DEFINE(c_event, "counter", "trackcove_forward_spoiled_events_total", "Streams with an event beyond its limit")
COUNTER_DEFINE(c_left, "counter", "trackcove_forward_backends_left_total",
               "Times that this box left a back end for its answers")

/** Counts the answer. @return its kind, for the log */
static const char *count_kind(spoiled_kind_t kind)
{
    switch (kind) {
    case SPOILED_HTTP: counter_add(&c_http, 1); return "not valid HTTP";
    case SPOILED_UNPROVEN: counter_add(&c_unproven, 1); return "no proof of origin";
    case SPOILED_PREFILL: counter_add(&c_prefill, 1); return "prefill without a result";
    case SPOILED_LIMIT: counter_add(&c_limit, 1); return "beyond its limit in bytes";
    case SPOILED_EVENT:
    default: counter_add(&c_event, 1); return "event beyond its limit";
    }
}

/** The same for all attempts at a request, as far as they can be told from other requests. */
static uint64_t request_key(const forward_t *f)
{
    return forward_is_recognisable(f) ? f->fingerprint : f->fingerprint ^ g_str_hash(f->facts.id);
}

static void log_left(const instance_t *instance, bool left)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, left ? "backend_left" : "backend_taken_back");
    log_str(&line, "backend", instance->listed.id);
    log_str(&line, "addr", instance->listed.addr);
    log_int(&line, "periods", instance->spoiled.periods);
    log_end(&line);
}

void spoiled_record(backend_call_t *call, spoiled_kind_t kind)
{
    forward_t *const f = call->request;
    instance_t *const instance = call->instance;
    forward_log(f, "answer_spoiled", count_kind(kind), call->status, instance);
    (void)probe_begin(call); /* it may have ended with that answer; the request need not wait to know */
    call->given_up = call->spoiled = true;
    if (f->split)
        place_report_spoiled(f, instance); /* so that other boxes need not find out */
    if (!feature_is_enabled(FEATURE_EJECTION))
        return;
    if (spoil_record_add_spoiled(&instance->spoiled, request_key(f), call->began, tc_time_now())) {
        counter_add(&c_left, 1);
        log_left(instance, true);
    }
}

void spoiled_record_good(const backend_call_t *call)
{
    instance_t *const instance = call->instance;
    instance_succeeded(instance);
    if (spoil_record_add_good(&instance->spoiled, call->began, tc_time_now()))
        log_left(instance, false);
}
