/* Answers that back ends have spoiled: bytes came, but they are no answer. Unlike a broken connection, this says
 * nothing about the path to the back end, nor that it has ended. */

#include "common/counter.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_http, "counter", "trackcove_forward_spoiled_http_total", "Answers that are not valid HTTP")
COUNTER_DEFINE(c_unproven, "counter", "trackcove_forward_spoiled_total", "Answers without proof of their origin")
COUNTER_DEFINE(c_prefill, "counter", "trackcove_forward_spoiled_prefills_total",
               "Successes of prefill engines without a result")
COUNTER_DEFINE(c_event, "counter", "trackcove_forward_spoiled_events_total", "Streams with an event beyond its limit")

/** Counts the answer. @return its kind, for the log */
static const char *count_kind(spoiled_kind_t kind)
{
    switch (kind) {
    case SPOILED_HTTP: counter_add(&c_http, 1); return "not valid HTTP";
    case SPOILED_UNPROVEN: counter_add(&c_unproven, 1); return "no proof of origin";
    case SPOILED_PREFILL: counter_add(&c_prefill, 1); return "prefill without a result";
    case SPOILED_EVENT:
    default: counter_add(&c_event, 1); return "event beyond its limit";
    }
}

void spoiled_record(backend_call_t *call, spoiled_kind_t kind)
{
    forward_log(call->request, "answer_spoiled", count_kind(kind), call->status, call->instance);
}
