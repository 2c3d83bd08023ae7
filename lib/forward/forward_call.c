/* Calls to back ends: sends a request, reads the answer and decides from the outcome how the request continues. */

#include <assert.h>
#include <string.h>

#include "common/counter.h"
#include "common/feature.h"
#include "common/histogram.h"
#include "common/mutant.h"
#include "forward/forward_call.h"

HISTOGRAM_DEFINE(h_first, "trackcove_forward_first_event_ms", "From a request to the head of its stream")
HISTOGRAM_DEFINE(h_prefill, "trackcove_forward_prefill_ms", "From a prefill's sending to its result")
COUNTER_DEFINE(c_calls, "counter", "trackcove_forward_calls_total", "Calls to back ends, prefills included")
COUNTER_DEFINE(c_refused, "counter", "trackcove_forward_refused_total", "Calls that back ends did not run")
COUNTER_DEFINE(c_broken, "counter", "trackcove_forward_broken_total", "Calls without a whole answer")
COUNTER_DEFINE(c_wasted, "counter", "trackcove_forward_prefill_wasted_tokens_total",
               "Prompt tokens computed and not used by a decode engine")

/* ===== Ending a call ===== */

void call_destroy(backend_call_t *call, const char *why)
{
    stream_end(call, why);
    buffer_share_close(&call->buffer);
    instance_end(call->instance, call->tokens, call->ends);
    instance_unref(call->instance);
    if (call->head)
        g_string_free(call->head, TRUE);
    if (call->body)
        g_byte_array_free(call->body, TRUE);
    g_free(call);
}

/** Detaches the call from its request and frees it. @param why for the log */
static void call_free(backend_call_t *call, const char *why)
{
    forward_t *const f = call->request;
    retry_cancel(f); /* the query asked for what could follow this call */
    slot_end_call(call);
    loop_disarm(&f->call_timer);
    silence_on_call_end(call);
    f->call = NULL;
    call_destroy(call, why);
}

void call_cancel(forward_t *f, const char *why)
{
    if (!f->call)
        return;
    web_call_t *const http = f->call->http; /* NULL: its answer is held, see try_elsewhere */
    if (http && !web_call_sent(http))
        f->call->outcome = SLOT_OUTCOME_UNUSED;
    else if (http && f->call->head_seen)
        f->call->outcome = f->call->reply.not_run ? SLOT_OUTCOME_REFUSED : SLOT_OUTCOME_FAILED;
    if (http)
        web_call_cancel(http);
    f->call->http = NULL;
    call_free(f->call, why);
}

void call_abandon(forward_t *f)
{
    if (!f->call)
        return;
    f->call->outcome = SLOT_OUTCOME_CANCELLED;
    call_cancel(f, "connection closed");
}

/* ===== Prefill results ===== */

static void handle_clear(forward_t *f)
{
    instance_unref(f->handle.instance);
    g_free(f->handle.name);
    f->handle = (handle_t){0};
}

void handle_release(forward_t *f)
{
    if (!f->handle.instance)
        return;
    counter_add(&c_wasted, f->facts.prompt_tokens);
    instance_t *const holder = f->handle.instance;
    if (tc_time_now() < f->handle.until)
        cleanup_call(f->owner, holder, dialect_write_release(holder->listed.addr, f->handle.name));
    handle_clear(f);
}

/* ===== Runs ===== */

bool call_may_rerun(const forward_t *f)
{
    if (MUTANT_IS(MUTANT_RUN_TWICE))
        return f->runs == 0;
    if (f->begun && (f->has_unnamed_event || !feature_is_enabled(FEATURE_RESUMPTION)))
        return false;
    return route_is_repeatable(f->route) && f->backends + !f->repeats_engine < f->route->max_attempts;
}

void call_count_run(forward_t *f)
{
    f->runs++;
    f->backends += !f->repeats_engine;
    f->repeats_engine = false;
}

void call_uncount_run(forward_t *f, bool counted_backend)
{
    assert(f->runs > 0 && f->backends >= counted_backend); /* pairs with call_count_run */
    f->runs--;
    f->backends -= counted_backend;
    f->repeats_engine = !counted_backend;
}

void call_record_arrival(backend_call_t *call, arrival_t how)
{
    if (call->is_counted)
        return; /* when its run was suspected */
    call->is_counted = true;
    retry_record_arrival(call->request, call->op, how);
}

void call_exclude(forward_t *f, instance_t *instance, dialect_op_t op)
{
    g_ptr_array_add(op == DIALECT_PREFILL ? f->tried_prefill : f->tried, instance_ref(instance));
}

/* ===== Outcomes ===== */

/** Continues at another engine, chosen by the scheduler if it chose the last one. */
static void continue_elsewhere(forward_t *f)
{
    if (f->failed_decode[0] && place_replan(f, f->failed_decode, f->trouble))
        return;
    forward_continue(f);
}

/** Handles a call that did not reach the back end or was refused: another back end may take the request. */
static void handle_not_run(backend_call_t *call, const char *why, bool refused)
{
    forward_t *const f = call->request;
    const dialect_op_t op = call->op;
    const tc_time_t now = tc_time_now();
    forward_log(f, "not_run", why, call->status, call->instance);
    call_record_arrival(call, refused ? ARRIVAL_REFUSED : ARRIVAL_NONE);
    call->outcome = refused ? SLOT_OUTCOME_REFUSED : SLOT_OUTCOME_UNREACHABLE;
    f->repeats_engine = false;
    if (call->reply.wrong_instance)
        instance_outdated(call->instance, now);
    else if (refused)
        instance_refused(call->instance, now);
    else
        instance_failed(call->instance, now);
    call_exclude(f, call->instance, call->op);
    if (op == DIALECT_PREFILL)
        place_report(f, PHASE_PREFILL, call->instance); /* the scheduler avoids it for a moment */
    if (op == DIALECT_DECODE && refused && f->handle.instance && now >= f->handle.until)
        handle_clear(f);
    codec_copy_string(f->failed_decode, sizeof(f->failed_decode),
                      op == DIALECT_DECODE ? call->instance->listed.id : "");
    f->trouble = call->reply.wrong_instance ? TROUBLE_OUTDATED : (refused ? TROUBLE_FULL : TROUBLE_STALLED);
    call_free(call, why);
    if (silence_resume_if_heard(f, why))
        return;
    if (refused)
        retry_or_fail(f, RETRY_PURPOSE_REFUSED, continue_elsewhere);
    else
        continue_elsewhere(f);
}

/** Calls an engine whose answer was lost once more. Unless it has ended, it still caches the prompt and need not
 * compute it again. */
static void retry_same_engine(forward_t *f, instance_t *instance, dialect_op_t op)
{
    if (!feature_is_enabled(FEATURE_SAME_ENGINE_RETRY) || !f->split || f->same_engine_tried || instance->failures > 1) {
        call_exclude(f, instance, op);
        return;
    }
    f->same_engine_tried = true;
    if (op == DIALECT_PREFILL)
        codec_copy_string(f->placement.prefill, sizeof(f->placement.prefill), instance->listed.id);
    else
        locate_set(f, instance);
}

/** Excludes an engine that has ended. If the scheduler chose it, it is asked for another. */
static void exclude_ended(forward_t *f, instance_t *instance, dialect_op_t op)
{
    call_exclude(f, instance, op);
    codec_copy_string(f->failed_decode, sizeof(f->failed_decode), op == DIALECT_PREFILL ? "" : instance->listed.id);
    f->trouble = TROUBLE_STALLED;
    if (op == DIALECT_PREFILL)
        place_report(f, PHASE_PREFILL, instance); /* so that other boxes need not find out */
}

/** Back ends that may end under a request before this box stops retrying it. After the second one the caller has to
 *  retry: a third would abort everything else that runs on its back end, and the caller may not come back. */
enum { RETRY_CRASHES_MAX = 2 };

static void fail_lost(forward_t *f)
{
    forward_fail(f, f->retry.why);
}

void call_continue_lost(forward_t *f, dialect_op_t op, const char *why)
{
    f->retry.why = why;
    if (op == DIALECT_PREFILL)
        retry_or_fail(f, RETRY_PURPOSE_RERUN, continue_elsewhere);
    else if (!retry_is_unpaid(f, DIALECT_DECODE))
        continue_elsewhere(f);
    else
        retry_request_rerun(f, continue_elsewhere, fail_lost);
}

void call_resume_probed(forward_t *f, instance_t *instance, bool ended)
{
    const dialect_op_t op = f->probe_waiter.op;
    if (ended && forward_crash_count(f) >= RETRY_CRASHES_MAX) {
        forward_fail(f, REASON_BACKEND_ENDED);
        return;
    }
    f->failed_decode[0] = '\0'; /* of an earlier call */
    if (ended)
        exclude_ended(f, instance, op);
    else
        retry_same_engine(f, instance, op);
    call_continue_lost(f, op, f->probe_waiter.why);
}

/** Handles a lost answer; the back end may have run the request. */
static void handle_lost_answer(backend_call_t *call, const char *why)
{
    forward_t *const f = call->request;
    const dialect_op_t op = call->op;
    counter_add(&c_broken, 1);
    forward_log(f, "answer_lost", why, call->status, call->instance);
    call_record_arrival(call, ARRIVAL_TAKEN);
    instance_failed(call->instance, tc_time_now());
    probe_t *const probe = call->given_up ? NULL : probe_begin(call);
    if (op == DIALECT_PREFILL && call->given_up && !call->spoiled)
        place_report(f, PHASE_PREFILL, call->instance); /* so that other boxes need not find out */
    if (op == DIALECT_DECODE && f->handle.instance)
        handle_clear(f); /* taken, or about to expire */
    if (call->given_up)
        call_exclude(f, call->instance, op);
    f->failed_decode[0] = '\0';
    buffer_blame(call);
    call_free(call, why);
    const bool again = op == DIALECT_PREFILL || call_may_rerun(f);
    if (op != DIALECT_PREFILL)
        call_count_run(f);
    if (silence_resume_if_heard(f, why))
        return;
    if (!again)
        forward_fail(f, why);
    else if (probe)
        probe_wait(f, probe, op, why);
    else
        call_continue_lost(f, op, why);
}

/** Records a completed run: the request did not cause the earlier ends of back ends. */
static void record_completed(const forward_t *f)
{
    const tc_time_t now = tc_time_now();
    run_history_add(f->owner->completed, f->fingerprint, now);
    trial_complete(f);
    if (forward_crash_count(f) > 0)
        quarantine_clear(f->owner->quarantine, f->fingerprint, now);
}

/** Delivers a complete, authentic answer, success or failure. */
static void deliver(backend_call_t *call)
{
    forward_t *const f = call->request;
    const int status = call->status;
    buffer_share_close(&call->buffer); /* the exchange counts what its caller does not read */
    web_respond_owned(f->exchange, status, call->head->str, g_steal_pointer(&call->body));
    call_free(call, "answered");
    forward_finish(f, status, "answered");
}

static void handle_prefilled(backend_call_t *call)
{
    forward_t *const f = call->request;
    char *const name =
        call->reply.success ? dialect_read_handle((const char *)call->body->data, call->body->len) : NULL;
    if (!name) {
        if (call->reply.success)
            spoiled_record(call, SPOILED_PREFILL);
        handle_lost_answer(call, "prefill without a result");
        return;
    }
    spoiled_record_good(call);
    histogram_add(&h_prefill, tc_time_now() - call->began);
    forward_log(f, "prefilled", "prompt computed", call->status, call->instance);
    call_record_arrival(call, ARRIVAL_TAKEN);
    f->handle = (handle_t){
        .instance = instance_ref(call->instance), .name = name, .until = tc_time_now() + f->settings->handle_ttl};
    place_report(f, PHASE_TRANSFER, NULL);
    call_free(call, "prompt computed");
    forward_continue(f);
}

void call_end_stream(backend_call_t *call, web_result_t how)
{
    forward_t *const f = call->request;
    if (how == WEB_RESULT_COMPLETE && stream_at_boundary(call)) {
        spoiled_record_good(call);
        record_completed(f);
        call->outcome = SLOT_OUTCOME_ANSWERED;
        call_free(call, "streamed");
        silence_end(f, "another run is complete"); /* its log line needs the exchange */
        web_end_response(f->exchange);
        forward_finish(f, 200, "streamed");
        return;
    }
    handle_lost_answer(call, "stream broke off");
}

bool call_has_other(const backend_call_t *call, bool (*fits)(forward_t *f, stage_t stage))
{
    forward_t *const f = call->request;
    g_ptr_array_add(f->tried, instance_ref(call->instance));
    const bool is = fits(f, f->split ? STAGE_DECODE : STAGE_NONE);
    g_ptr_array_set_size(f->tried, (gint)f->tried->len - 1);
    return is;
}

static bool can_try_elsewhere(const backend_call_t *call)
{
    const forward_t *const f = call->request;
    return feature_is_enabled(FEATURE_FAILURE_RETRY) && call->status >= 500 && !f->begun && call_may_rerun(f) &&
           call_has_other(call, forward_has_unlimited);
}

static void deliver_held(forward_t *f)
{
    deliver(f->call);
}

bool call_deliver_held(forward_t *f)
{
    if (!f->call || f->call->http)
        return false;
    deliver_held(f);
    return true;
}

static void rerun_elsewhere(forward_t *f)
{
    backend_call_t *const call = f->call;
    if (!can_try_elsewhere(call)) { /* changed while the leader was queried */
        deliver(call);
        return;
    }
    forward_log(f, "backend_failed", "retried at another back end", call->status, call->instance);
    call_record_arrival(call, ARRIVAL_TAKEN);
    call_count_run(f);
    call_exclude(f, call->instance, call->op);
    if (f->handle.instance)
        handle_clear(f);
    call_free(call, "retried at another back end");
    forward_continue(f);
}

/** Retries an authentic failure once at another back end, if allowed. Only back ends without a rate limit are used,
 * since one with a limit might refuse the request in the end. The answer is held while the leader is queried for the
 * budget, and delivered when there is none. */
static bool try_elsewhere(backend_call_t *call)
{
    if (!can_try_elsewhere(call))
        return false;
    slot_end_call(call); /* free while the leader is queried */
    retry_request_rerun(call->request, rerun_elsewhere, deliver_held);
    return true;
}

static void handle_answer(backend_call_t *call)
{
    forward_t *const f = call->request;
    if (call->reply.not_run) {
        counter_add(&c_refused, 1);
        handle_not_run(call, "refused by the back end", true);
        return;
    }
    if (call->op == DIALECT_PREFILL) {
        handle_prefilled(call);
        return;
    }
    if (!call->reply.authentic) {
        spoiled_record(call, SPOILED_UNPROVEN);
        handle_lost_answer(call, "answer without proof of origin");
        return;
    }
    spoiled_record_good(call);
    record_completed(f);
    call->outcome = call->reply.success ? SLOT_OUTCOME_ANSWERED : SLOT_OUTCOME_FAILED;
    if (call->reply.success)
        parts_begun(f);
    if (try_elsewhere(call))
        return;
    if (f->begun) {
        handle_lost_answer(call, "stream could not be resumed");
        return;
    }
    deliver(call);
}

/* ===== Reports of the call ===== */

void call_give_up(backend_call_t *call, const char *why)
{
    if (call->http)
        web_call_cancel(call->http);
    call->http = NULL;
    call->given_up = true;
    handle_lost_answer(call, why);
}

static void on_prefill_timeout(void *arg)
{
    backend_call_t *const call = ((forward_t *)arg)->call;
    assert(call); /* disarmed with the call */
    call_give_up(call, "prefill engine did not answer in time");
}

static web_head_action_t on_head(void *arg, const web_head_t *head)
{
    backend_call_t *const call = arg;
    forward_t *const f = call->request;
    dialect_reply_t reply;
    dialect_read_reply(head, f->facts.id, &reply);
    call->instance->heard_at = tc_time_now();
    notice_apply(f->owner, call->instance, head); /* even the late answer of another request comes from this back end */
    if (!reply.matches_request)
        return WEB_HEAD_SKIP;
    call->reply = reply;
    call->head_seen = true;
    call->status = head->status;
    limit_update(call);
    buffer_limit_answer(call);
    if (call->op == DIALECT_PREFILL || call->reply.not_run)
        return WEB_HEAD_ACCEPT;
    call->head = dialect_forward_headers(head);
    const bool streams = f->route->kind == ROUTE_STREAM && call->reply.success && call->reply.authentic;
    if (streams && f->handle.instance)
        handle_clear(f); /* the decode engine has it */
    if (streams && !f->begun) {
        f->begun = true;
        forward_log(f, "streaming", "first bytes", head->status, call->instance);
        histogram_add(&h_first, tc_time_now() - f->request.arrived);
        place_report(f, PHASE_DECODE, NULL);
        web_begin_response(f->exchange, head->status, call->head->str);
    }
    if (streams) {
        web_call_limit_body(call->http, 0); /* each event has its limit */
        stream_begin(call);
        silence_on_begun(f);
        silence_watch(f);
    }
    return WEB_HEAD_ACCEPT;
}

bool call_read_stream(backend_call_t *call, const char *data, size_t size)
{
    forward_t *const f = call->request;
    const unsigned before = call->run.answers;
    const stream_result_t result = stream_feed(call, data, size);
    const bool answers = call->run.answers > before;
    if (answers)
        silence_on_replaced(f);
    switch (result) {
    case STREAM_OK:
        if (answers || stream_is_receiving(call)) /* comments alone are no progress */
            silence_watch(f);
        return true;
    case STREAM_REPEATED: call_give_up(call, "run does not continue after the last event"); break;
    case STREAM_TOO_LARGE:
        spoiled_record(call, SPOILED_EVENT);
        buffer_exceeded(call, "event exceeds 4 MiB", call->run.partial->len);
        call_give_up(call, call->excess);
        break;
    }
    return false;
}

static void on_data(void *arg, const char *data, size_t size)
{
    backend_call_t *const call = arg;
    call->instance->heard_at = tc_time_now();
    if (silence_keeps(call)) {
        silence_on_data(call, data, size);
        return;
    }
    if (!buffer_reserve(call, size))
        call_give_up(call, call->excess);
    else if (stream_has_begun(call))
        (void)call_read_stream(call, data, size);
    else
        g_byte_array_append(call->body, (const guint8 *)data, (guint)size);
}

static void on_end(void *arg, web_result_t how)
{
    backend_call_t *const call = arg;
    if (silence_keeps(call)) {
        silence_on_end(call, how);
        return;
    }
    call->http = NULL;
    if (how == WEB_RESULT_INVALID)
        spoiled_record(call, call->excess ? SPOILED_LIMIT : SPOILED_HTTP);
    if (how == WEB_RESULT_NOT_SENT)
        handle_not_run(call, "connection to the back end failed", false);
    else if (call->excess && !call->reply.not_run)
        handle_lost_answer(call, call->excess);
    else if (stream_has_begun(call)) /* a refusal is never streamed */
        call_end_stream(call, how);
    else if (how == WEB_RESULT_COMPLETE)
        handle_answer(call);
    else if (how != WEB_RESULT_NO_RESPONSE && call->reply.not_run)
        handle_not_run(call, "refused by the back end", true);
    else if (how == WEB_RESULT_INVALID)
        handle_lost_answer(call, "answer is not valid HTTP");
    else
        handle_lost_answer(call, how == WEB_RESULT_TRUNCATED ? "answer broke off" : "connection to the back end broke");
}

/* ===== Sending ===== */

/** Kept-alive connections may close at any time, so only requests that may be sent again use them. */
static bool may_reuse_connection(const forward_t *f, dialect_op_t op)
{
    return op == DIALECT_PREFILL || route_is_repeatable(f->route);
}

/** Engines admit more urgent requests first when their memory is short. Only for ranked services: where
 *  all requests are equally urgent, the order would be by chance. */
static void set_urgency(const forward_t *f, dialect_call_t *params)
{
    params->has_urgency = f->settings->engines && feature_is_enabled(FEATURE_ENGINE_KEEPING) &&
                          route_table_is_ranked(f->table, f->service);
    if (params->has_urgency)
        params->urgency = route_table_urgency(f->table, f->service, f->priority, f->rank);
}

void call_begin(forward_t *f, dialect_op_t op, instance_t *instance)
{
    assert(!f->call); /* one call at a time: a request never runs on two back ends deliberately */
    const tc_time_t now = tc_time_now();
    assert(instance_accepts_work(instance,
                                 now)); /* guarantee: no call to a back end that is leaving or asked for no calls */
    /* Guarantee: a stream with events goes on at the software version that wrote the first of them. */
    assert(op == DIALECT_PREFILL || instance_has_version(instance, version_required(f)));
    counter_add(&c_calls, 1);
    backend_call_t *const call = g_new0(backend_call_t, 1);
    call->request = f;
    call->op = op;
    call->instance = instance;
    call->tokens = op == DIALECT_DECODE ? 0 : f->facts.prompt_tokens;
    call->body = g_byte_array_new();
    call->began = now;
    call->outcome = SLOT_OUTCOME_LOST;
    buffer_begin(call);
    dialect_call_t params = {.op = op,
                             .instance = instance->listed.id,
                             .time_left = f->deadline - now,
                             .handle_at = f->handle.instance ? f->handle.instance->listed.addr : NULL,
                             .handle = f->handle.name,
                             .hold = f->hold.instance == instance ? f->hold.name : NULL,
                             .resume_after = f->last_event,
                             .strips_credentials = f->table->workspaces != NULL,
                             .workspace = f->workspace ? f->workspace->name : NULL};
    set_urgency(f, &params);
    const web_sink_t sink = {
        .on_head = on_head, .on_data = on_data, .on_excess = buffer_exceeded, .on_end = on_end, .arg = call};
    GByteArray *const request = dialect_write_request(&f->request, instance->listed.addr, &params);
    f->call = call;
    if (f->hold.instance == instance)
        hold_clear(f); /* a reservation serves one call */
    call->ends = forward_crash_count(f);
    instance_begin(instance, call->tokens, call->ends);
    spoil_record_begin(&instance->spoiled, now);
    forward_log(f, "send", op == DIALECT_PREFILL ? "prefill" : (op == DIALECT_DECODE ? "decode" : "serve"), 0,
                instance);
    call->http = web_call(f->owner->client, instance->listed.addr, request, may_reuse_connection(f, op),
                          CONNECT_TIMEOUT_MS, &sink);
    if (op == DIALECT_PREFILL)
        loop_arm(f->owner->loop, &f->call_timer, now + PREFILL_TIMEOUT_MS, on_prefill_timeout, f);
    else
        silence_on_sent(f);
}
