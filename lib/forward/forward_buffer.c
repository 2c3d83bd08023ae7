/* Limits on what calls read. The client ends a call whose answer exceeds a limit of its own; here are the limits that
 * depend on the request. */

#include "common/counter.h"
#include "common/log.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_over, "counter", "trackcove_forward_over_limit_total",
               "Calls ended since their answers exceeded a limit in bytes, by the lines answer_over_limit")

void buffer_limit_answer(backend_call_t *call)
{
    const bool forwarded = call->op != DIALECT_PREFILL && !call->reply.not_run;
    web_call_limit_body(call->http, forwarded ? ANSWER_MAX_BYTES : RESULT_MAX_BYTES);
}

void buffer_exceeded(void *arg, const char *kind, uint64_t bytes)
{
    backend_call_t *const call = arg;
    static const char *const ops[] = {[DIALECT_PREFILL] = "prefill", [DIALECT_DECODE] = "decode"};
    counter_add(&c_over, 1);
    call->excess = kind;
    call->given_up = true;
    log_line_t line;
    log_begin(&line, LOG_WARN, "answer_over_limit");
    log_str(&line, "request", call->request->facts.id);
    log_str(&line, "why", kind);
    log_str(&line, "backend", call->instance->listed.id);
    log_str(&line, "addr", call->instance->listed.addr);
    log_str(&line, "op", call->op < G_N_ELEMENTS(ops) && ops[call->op] ? ops[call->op] : "serve");
    log_int(&line, "bytes", (int64_t)bytes);
    log_end(&line);
}
