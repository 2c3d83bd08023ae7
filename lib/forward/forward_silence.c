#include "forward/forward_silence.h"

#include <assert.h>

#include "common/counter.h"
#include "common/mutant.h"
#include "forward/forward_call.h"

COUNTER_DEFINE(c_suspected, "counter", "trackcove_silent_runs_total",
               "Runs of streams suspected since they were silent")
COUNTER_DEFINE(c_replaced, "counter", "trackcove_silent_runs_replaced_total",
               "Silent runs that ended since another run had begun or was about to")
COUNTER_DEFINE(c_heard, "counter", "trackcove_silent_runs_heard_total",
               "Silent runs that went on before another one had begun")
COUNTER_DEFINE(c_kept, "counter", "trackcove_silent_runs_kept_total",
               "Silent runs that were kept since what was to replace them failed")
COUNTER_DEFINE(c_broken, "counter", "trackcove_silent_runs_broken_total",
               "Silent runs whose connection broke before another one had begun")

/* ===== Constants ===== */

enum {
    /* Time for which two engines may work on a request, in sum; the users' platform allows 400 ms. */
    OVERLAP_MS = 300
};

#define REASON_SILENT "stream is silent"

/* ===== Ending a kept run ===== */

bool silence_keeps(const backend_call_t *call)
{
    return call->request->silent.call == call;
}

/** @return the kept run, which is kept no longer */
static silent_run_t take_kept(forward_t *f)
{
    loop_disarm(&f->silent.limit);
    const silent_run_t kept = f->silent;
    f->silent = (silent_run_t){0};
    return kept;
}

/** Gives the slot of a kept run back. */
static void end_slot(forward_t *f, const silent_run_t *kept)
{
    const slot_t own = f->slot;
    f->slot = kept->slot;
    slot_end_call(kept->call);
    f->slot = own;
}

static void end_kept(forward_t *f, const char *why)
{
    const silent_run_t kept = take_kept(f);
    if (kept.call->http)
        web_call_cancel(kept.call->http);
    kept.call->http = NULL;
    kept.call->given_up = true;
    end_slot(f, &kept);
    call_destroy(kept.call, why);
}

/** Ends the kept run, and goes on with what replaces it. */
static void leave_kept(forward_t *f, const char *why)
{
    end_kept(f, why);
    if (f->call && stream_has_begun(f->call))
        silence_watch(f);
}

void silence_end(forward_t *f, const char *why)
{
    if (f->silent.call)
        end_kept(f, why);
}

void silence_on_replaced(forward_t *f)
{
    if (!f->silent.call)
        return;
    counter_add(&c_replaced, 1);
    forward_log(f, "run_replaced", "another run has begun", f->silent.call->status, f->silent.call->instance);
    leave_kept(f, REASON_SILENT);
}

void silence_exclude(forward_t *f)
{
    if (f->silent.call)
        call_exclude(f, f->silent.call->instance, f->silent.call->op);
}

/* ===== Going on with a kept run ===== */

/** Whether another engine may have begun to run the request. */
static bool is_sent_elsewhere(const forward_t *f)
{
    return f->call && f->call->http && f->call->op != DIALECT_PREFILL && web_call_sent(f->call->http);
}

/** Counts the call that was to replace the kept run, as far as it went. */
static void count_replacement(forward_t *f)
{
    backend_call_t *const call = f->call;
    if (!call || !call->http || !web_call_sent(call->http))
        return;
    call_record_arrival(call, ARRIVAL_TAKEN);
    if (call->op != DIALECT_PREFILL)
        call_count_run(f);
}

/** Drops what was to replace the kept run. */
static void drop_replacement(forward_t *f, const char *why)
{
    call_cancel(f, why);
    loop_disarm(&f->call_timer);
    retry_cancel(f);
    probe_leave(f);
    version_cancel(f);
    limit_cancel(f);
    slot_cancel(f);
    hold_release(f);
    locate_cancel(f);
    handle_release(f);
}

/** Makes the kept run that of the request again. @return it; the events that it brought meanwhile are held */
static backend_call_t *take_back(forward_t *f, const char *why)
{
    count_replacement(f);
    drop_replacement(f, why);
    const silent_run_t kept = take_kept(f);
    backend_call_t *const call = kept.call;
    call_uncount_run(f, kept.counted_backend);
    f->slot = kept.slot;
    (void)g_ptr_array_remove(f->tried, call->instance);
    f->failed_decode[0] = '\0';
    f->call = call;
    if (f->split)
        place_return(f, call->instance);
    if (kept.has_event)
        instance_succeeded(call->instance);
    forward_log(f, "run_kept", why, call->status, call->instance);
    return call;
}

static void go_on(backend_call_t *call)
{
    silence_watch(call->request);
    (void)call_read_stream(call, "", 0); /* what it brought meanwhile */
}

bool silence_resume(forward_t *f, const char *why)
{
    if (!f->silent.call)
        return false;
    counter_add(&c_kept, 1);
    go_on(take_back(f, why));
    return true;
}

bool silence_resume_if_heard(forward_t *f, const char *why)
{
    return f->silent.has_event && silence_resume(f, why);
}

void silence_give_up(backend_call_t *call)
{
    counter_add(&c_broken, 1);
    leave_kept(call->request, call->excess);
}

void silence_on_data(backend_call_t *call, const char *data, size_t size)
{
    forward_t *const f = call->request;
    if (!buffer_reserve(call, size)) {
        silence_give_up(call);
        return;
    }
    const stream_held_t held = stream_hold(call, data, size);
    buffer_settle(call, 0);
    switch (held) {
    case STREAM_HELD_NOTHING: return;
    case STREAM_HELD_TOO_LARGE:
        spoiled_record(call, SPOILED_EVENT);
        buffer_exceeded(call, "event exceeds 4 MiB", call->run.partial->len);
        silence_give_up(call);
        return;
    case STREAM_HELD_EVENT:
    default: break;
    }
    f->silent.has_event = true;
    if (is_sent_elsewhere(f) && !f->call->reply.not_run)
        return; /* the other engine may have begun; decided by its answer, or when that is due */
    counter_add(&c_heard, 1);
    go_on(take_back(f, "silent run goes on"));
}

void silence_on_end(backend_call_t *call, web_result_t how)
{
    forward_t *const f = call->request;
    call->http = NULL;
    if (how == WEB_RESULT_COMPLETE && stream_holds_whole(call)) {
        counter_add(&c_heard, 1);
        (void)take_back(f, "silent run is complete");
        if (call_read_stream(call, "", 0))
            call_end_stream(call, how);
        return;
    }
    counter_add(&c_broken, 1);
    if (how == WEB_RESULT_INVALID)
        spoiled_record(call, call->excess ? SPOILED_LIMIT : SPOILED_HTTP);
    else
        (void)probe_begin(call);
    forward_log(f, "answer_lost", "silent run broke off", call->status, call->instance);
    leave_kept(f, "stream broke off");
}

/* ===== Replacing a silent run ===== */

static void on_limit_due(void *arg);

static void arm_limit(forward_t *f, tc_time_t span)
{
    loop_arm(f->owner->loop, &f->silent.limit, tc_time_now() + MAX(span, 0), on_limit_due, f);
}

/** The other engine works on the request from now on. */
static void begin_both(forward_t *f)
{
    if (f->silent.both_since > 0)
        return;
    f->silent.both_since = tc_time_now();
    arm_limit(f, OVERLAP_MS - f->silent.both_before);
}

void silence_on_sent(forward_t *f)
{
    if (!f->silent.call)
        return;
    if (f->call->op == DIALECT_DECODE)
        arm_limit(f, OVERLAP_MS); /* it begins once it has fetched the memory of the prompt */
    else
        begin_both(f); /* it reads the prompt */
}

void silence_on_begun(forward_t *f)
{
    if (f->silent.call)
        begin_both(f);
}

void silence_on_call_end(const backend_call_t *call)
{
    silent_run_t *const silent = &call->request->silent;
    loop_disarm(&silent->limit);
    if (silent->both_since > 0 && !call->reply.not_run)
        silent->both_before += tc_time_now() - silent->both_since;
    silent->both_since = 0;
}

/** Whether the other engine works on the request: it has sent the head of an answer, or it was to read the prompt and
 *  has sent something to this box since. One that has sent nothing may be silent itself. */
static bool is_at_work(const backend_call_t *call)
{
    if (!call->http || !web_call_sent(call->http) || call->reply.not_run)
        return false;
    return stream_has_begun(call) || (call->op != DIALECT_DECODE && call->instance->heard_at > call->began);
}

/** The other engine has had the request for a while and has sent no event. */
static void on_limit_due(void *arg)
{
    forward_t *const f = arg;
    assert(f->call); /* disarmed with the call */
    if (is_at_work(f->call)) {
        counter_add(&c_replaced, 1);
        forward_log(f, "run_replaced", "another engine has begun", f->silent.call->status, f->silent.call->instance);
        leave_kept(f, REASON_SILENT);
        return;
    }
    if (!f->silent.has_event) {
        arm_limit(f, OVERLAP_MS);
        return;
    }
    instance_failed(f->call->instance, tc_time_now());
    call_exclude(f, f->call->instance, f->call->op);
    (void)silence_resume(f, "other engine did not answer in time");
}

/** Keeps the silent run and looks for another engine. */
static void replace_silent(forward_t *f)
{
    backend_call_t *const call = f->call;
    const dialect_op_t op = call->op;
    assert(!f->silent.call); /* a run is watched only while no other one is kept */
    counter_add(&c_suspected, 1);
    f->silences++;
    forward_log_silence(f);
    call_record_arrival(call, ARRIVAL_TAKEN);
    instance_failed(call->instance, tc_time_now());
    call_exclude(f, call->instance, call->op);
    loop_disarm(&f->call_timer);
    f->silent = (silent_run_t){.call = call, .slot = f->slot, .counted_backend = !f->repeats_engine};
    f->slot = (slot_t){.asked = f->slot.asked};
    call_count_run(f);
    f->call = NULL;
    f->failed_decode[0] = '\0';
    if (MUTANT_IS(MUTANT_END_SILENT_RUN))
        end_kept(f, REASON_SILENT);
    call_continue_lost(f, op, REASON_SILENT);
}

/** Replaces a silent run once the retry budget covers another one. The run is not silent while bytes wait to be read:
 *  this box was suspended, or they arrived while the leader was queried. */
static void replace_when_granted(forward_t *f)
{
    if (web_call_has_input(f->call->http)) {
        silence_watch(f);
        return;
    }
    /* This run counts, and so does a second prefill; without a prefill engine the next run reads the prompt. */
    const bool prefills = f->split && f->retry.prefilled && forward_has_any(f, STAGE_PREFILL);
    const unsigned before = f->retry.counted + !f->call->is_counted + prefills;
    if (before > f->retry.paid)
        retry_request(f, RETRY_PURPOSE_RERUN, replace_when_granted, silence_watch);
    else
        replace_silent(f);
}

/** Replaces a silent run only when another can follow; otherwise waits on. */
static void on_run_silent(void *arg)
{
    forward_t *const f = arg;
    assert(f->call); /* disarmed with the call */
    if (call_has_other(f->call, forward_has_any))
        replace_when_granted(f);
    else
        silence_watch(f);
}

void silence_watch(forward_t *f)
{
    const tc_time_t pauses = SILENCE_GAP_TARGETS * f->route->gap_target;
    const tc_time_t limit = pauses > 0 ? pauses : f->owner->options.silence_timeout_ms;
    retry_cancel(f); /* the query to the leader concerned a silence that is over */
    if (call_may_rerun(f) && !f->silent.call)
        loop_arm(f->owner->loop, &f->call_timer, tc_time_now() + limit, on_run_silent, f);
    else
        loop_disarm(&f->call_timer); /* armed for an earlier event */
}
