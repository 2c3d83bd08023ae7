/* Limits on what calls read and buffer. The client ends a call whose answer exceeds a limit of its own; here are the
 * limits that depend on the request, and the count of what all calls buffer. */

#include "common/counter.h"
#include "common/log.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_over, "counter", "trackcove_forward_over_limit_total",
               "Calls ended since their answers exceeded a limit in bytes, by the lines answer_over_limit")

/** An event above this size leaves a buffer that is freed once it was forwarded. */
enum { BUFFER_KEEP_BYTES = 64 * 1024 };

static const char memory_excess[] = "answers of all back ends exceed the memory for them";

static const GByteArray *buffer_of(const backend_call_t *call)
{
    return stream_has_begun(call) ? call->run.partial : call->body;
}

/** Ends the call that buffers most. An answer that is held for the leader's word on another run is complete. */
static void on_ended(void *arg)
{
    backend_call_t *const call = arg;
    if (call_deliver_held(call->request))
        return;
    buffer_exceeded(call, memory_excess, buffer_of(call)->len);
    if (silence_keeps(call))
        silence_give_up(call);
    else
        call_give_up(call, call->excess);
}

void buffer_begin(backend_call_t *call)
{
    buffer_share_open(&call->buffer, web_client_budget(call->request->owner->client), call->instance->listed.addr,
                      on_ended, call);
}

void buffer_limit_answer(backend_call_t *call)
{
    const bool forwarded = call->op != DIALECT_PREFILL && !call->reply.not_run;
    web_call_limit_body(call->http, forwarded ? ANSWER_MAX_BYTES : RESULT_MAX_BYTES);
}

bool buffer_reserve(backend_call_t *call, size_t size)
{
    const size_t bytes = buffer_of(call)->len + size;
    if (buffer_share_set(&call->buffer, bytes))
        return true;
    buffer_exceeded(call, memory_excess, bytes);
    return false;
}

void buffer_settle(backend_call_t *call, size_t forwarded)
{
    GByteArray *const partial = call->run.partial;
    if (forwarded > BUFFER_KEEP_BYTES) {
        call->run.partial = g_byte_array_sized_new(partial->len);
        g_byte_array_append(call->run.partial, partial->data, partial->len);
        g_byte_array_unref(partial);
    }
    (void)buffer_share_set(&call->buffer, call->run.partial->len); /* it does not grow */
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

void buffer_blame(const backend_call_t *call)
{
    forward_t *const f = call->request;
    if (!call->excess || call->op != DIALECT_DECODE)
        return;
    /* Calls to an engine that writes without end are short, so it would look free to the scheduler. */
    codec_copy_string(f->failed_decode, sizeof(f->failed_decode), call->instance->listed.id);
    f->trouble = TROUBLE_STALLED;
}
