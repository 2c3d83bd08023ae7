/* One call to one back end: sending, reading its answer, and what the outcome means for the request. */

#include <assert.h>
#include <string.h>

#include "common/counter.h"
#include "common/histogram.h"
#include "common/mechanism.h"
#include "common/sabotage.h"
#include "forward/forward_internal.h"

HISTOGRAM_DEFINE(h_first, "trackcove_forward_first_event_ms", "From a request to the head of its stream")
HISTOGRAM_DEFINE(h_prefill, "trackcove_forward_prefill_ms", "From a prefill's sending to its result")
COUNTER_DEFINE(c_calls, "counter", "trackcove_forward_calls_total", "Calls to back ends, prefills included")
COUNTER_DEFINE(c_refused, "counter", "trackcove_forward_refused_total", "Calls that back ends did not run")
COUNTER_DEFINE(c_broken, "counter", "trackcove_forward_broken_total", "Calls without a whole answer")
COUNTER_DEFINE(c_spoiled, "counter", "trackcove_forward_spoiled_total", "Answers without proof of their origin")
COUNTER_DEFINE(c_wasted, "counter", "trackcove_forward_prefill_wasted_tokens_total",
               "Prompt tokens computed and not used by a decode engine")

/* ===== Ending a step ===== */

/** Take the step off its request. @param why for the log */
static void step_free(step_t *s, const char *why)
{
    forward_t *const f = s->request;
    stream_end(s, why);
    retry_end(f); /* a question on what could follow this call */
    loop_disarm(&f->patience);
    instance_end(s->instance, s->tokens, s->ends);
    instance_unref(s->instance);
    if (s->head)
        g_string_free(s->head, TRUE);
    g_byte_array_free(s->body, TRUE);
    f->step = NULL;
    g_free(s);
}

void step_cancel(forward_t *f, const char *why)
{
    if (!f->step)
        return;
    web_call_cancel(f->step->call);
    step_free(f->step, why);
}

/* ===== Prefill results ===== */

static void handle_forget(forward_t *f)
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
        upkeep_call(f->owner, holder, dialect_write_release(holder->listed.addr, f->handle.name));
    handle_forget(f);
}

/* ===== Looking ===== */

/** Whether the request may run on one more back end when it may have run on this one. */
static bool may_run_again(const forward_t *f)
{
    if (SABOTAGE_IS(SABOTAGE_RUN_TWICE))
        return f->runs == 0;
    if (f->begun && (f->unnamed || !mechanism_is_on(MECHANISM_RESUMPTION)))
        return false;
    return route_is_repeatable(f->route) && f->backends + !f->asked_again < f->route->max_attempts;
}

/** The back end that was asked last may have run the request. */
static void count_run(forward_t *f)
{
    f->runs++;
    f->backends += !f->asked_again;
    f->asked_again = false;
}

/** It is not tried again for this request. */
static void mark_tried(forward_t *f, instance_t *instance, dialect_op_t op)
{
    g_ptr_array_add(op == DIALECT_PREFILL ? f->tried_prefill : f->tried, instance_ref(instance));
}

/* ===== Outcomes ===== */

/** To another engine, the scheduler's choice if it chose the last one. */
static void go_elsewhere(forward_t *f)
{
    if (f->bad[0] && place_ask_again(f, f->bad, f->trouble))
        return;
    forward_go_on(f);
}

/** The request did not arrive, or was turned away: another back end may take it. */
static void not_run(step_t *s, const char *why, bool refused)
{
    forward_t *const f = s->request;
    const dialect_op_t op = s->op;
    const tc_time_t now = tc_time_now();
    forward_log(f, "not_run", why, s->status, s->instance);
    retry_note(f, op, refused ? ARRIVAL_REFUSED : ARRIVAL_NONE);
    f->asked_again = false;
    if (s->reply.wrong_instance)
        instance_outdated(s->instance, now);
    else if (refused)
        instance_refused(s->instance, now);
    else
        instance_failed(s->instance, now);
    mark_tried(f, s->instance, s->op);
    if (op == DIALECT_PREFILL)
        place_tell(f, PHASE_PREFILL, s->instance); /* the scheduler leaves it alone for a moment */
    if (op == DIALECT_DECODE && refused && f->handle.instance && now >= f->handle.until)
        handle_forget(f);
    codec_copy_string(f->bad, sizeof(f->bad), op == DIALECT_DECODE ? s->instance->listed.id : "");
    f->trouble = s->reply.wrong_instance ? TROUBLE_OUTDATED : (refused ? TROUBLE_FULL : TROUBLE_STALLED);
    step_free(s, why);
    if (refused)
        retry_then(f, go_elsewhere);
    else
        go_elsewhere(f);
}

/** An engine whose answer was lost has the prompt still, unless it died with it: it is asked once more, which computes
 *  nothing anew. */
static void ask_same_engine(forward_t *f, instance_t *instance, dialect_op_t op)
{
    if (!mechanism_is_on(MECHANISM_SAME_ENGINE) || !f->split || f->repeated || instance->failures > 1) {
        mark_tried(f, instance, op);
        return;
    }
    f->repeated = true;
    if (op == DIALECT_PREFILL)
        codec_copy_string(f->placement.prefill, sizeof(f->placement.prefill), instance->listed.id);
    else
        locate_take(f, instance);
}

/** The engine has ended: another one is asked for, of the scheduler if it chose that one. */
static void leave_ended(forward_t *f, instance_t *instance, dialect_op_t op)
{
    mark_tried(f, instance, op);
    codec_copy_string(f->bad, sizeof(f->bad), op == DIALECT_PREFILL ? "" : instance->listed.id);
    f->trouble = TROUBLE_STALLED;
    if (op == DIALECT_PREFILL)
        place_tell(f, PHASE_PREFILL, instance); /* no box need find it out again */
}

/** Ends that count against a request that its box repeats by itself. After a second one its caller has to come back: a
 *  third would take what else runs on a back end along, and the caller may not. */
enum { REPEAT_ENDS = 2 };

/** Go on after a lost answer, if that is paid for. */
static void repeat(forward_t *f, dialect_op_t op, const char *why)
{
    if (op == DIALECT_PREFILL)
        retry_then(f, go_elsewhere);
    else if (!retry_owes(f, DIALECT_DECODE) || retry_spend(f))
        go_elsewhere(f);
    else
        forward_fail(f, why);
}

void step_looked(forward_t *f, instance_t *instance, bool ended)
{
    const dialect_op_t op = f->looks_at.op;
    if (ended && forward_ends(f) >= REPEAT_ENDS) {
        forward_fail(f, REASON_BACKEND_ENDED);
        return;
    }
    f->bad[0] = '\0'; /* of a call before */
    if (ended)
        leave_ended(f, instance, op);
    else
        ask_same_engine(f, instance, op);
    repeat(f, op, f->looks_at.why);
}

/** The back end may have run the request and its answer is lost. */
static void maybe_run(step_t *s, const char *why)
{
    forward_t *const f = s->request;
    const dialect_op_t op = s->op;
    counter_add(&c_broken, 1);
    forward_log(f, "answer_lost", why, s->status, s->instance);
    retry_note(f, op, ARRIVAL_TAKEN);
    instance_failed(s->instance, tc_time_now());
    look_t *const look = s->given_up ? NULL : look_begin(f, s->instance);
    if (op == DIALECT_PREFILL && s->given_up)
        place_tell(f, PHASE_PREFILL, s->instance); /* no box need find it out again */
    if (op == DIALECT_DECODE && f->handle.instance)
        handle_forget(f); /* taken, or about to lapse */
    if (s->given_up)
        mark_tried(f, s->instance, op);
    f->bad[0] = '\0';
    step_free(s, why);
    const bool again = op == DIALECT_PREFILL || may_run_again(f);
    if (op != DIALECT_PREFILL)
        count_run(f);
    if (!again)
        forward_fail(f, why);
    else if (look)
        look_wait(f, look, op, why);
    else
        repeat(f, op, why);
}

/** A run has ended well: whatever ended under the request before was not its doing. */
static void note_ran_well(const forward_t *f)
{
    if (forward_ends(f) > 0)
        quarantine_clear(f->owner->quarantine, f->fingerprint, tc_time_now());
}

/** A whole answer that the back end stands for, success or failure. */
static void deliver(step_t *s)
{
    forward_t *const f = s->request;
    const int status = s->status;
    web_answer(f->exchange, status, s->head->str, s->body->data, s->body->len);
    step_free(s, "answered");
    forward_done(f, status, "answered");
}

static void prefilled(step_t *s)
{
    forward_t *const f = s->request;
    char *const name = s->reply.success ? dialect_read_handle((const char *)s->body->data, s->body->len) : NULL;
    if (!name) {
        maybe_run(s, "prefill without a result");
        return;
    }
    instance_succeeded(s->instance);
    histogram_add(&h_prefill, tc_time_now() - s->began);
    forward_log(f, "prefilled", "prompt computed", s->status, s->instance);
    retry_note(f, DIALECT_PREFILL, ARRIVAL_TAKEN);
    f->handle = (handle_t){
        .instance = instance_ref(s->instance), .name = name, .until = tc_time_now() + f->settings->handle_ttl};
    place_tell(f, PHASE_TRANSFER, NULL);
    step_free(s, "prompt computed");
    forward_go_on(f);
}

static void stream_ended(step_t *s, web_end_t how)
{
    forward_t *const f = s->request;
    if (how == WEB_END_WHOLE && stream_is_whole(s)) {
        instance_succeeded(s->instance);
        note_ran_well(f);
        step_free(s, "streamed");
        web_end(f->exchange);
        forward_done(f, 200, "streamed");
        return;
    }
    maybe_run(s, "stream broke off");
}

/** Whether there is another back end that could go on, and @p fits it. */
static bool has_other(const step_t *s, bool (*fits)(forward_t *f, stage_t stage))
{
    forward_t *const f = s->request;
    g_ptr_array_add(f->tried, instance_ref(s->instance));
    const bool is = fits(f, f->split ? STAGE_DECODE : STAGE_NONE);
    g_ptr_array_set_size(f->tried, (gint)f->tried->len - 1);
    return is;
}

/** A failure that the back end stands for is tried once more elsewhere, where that is allowed and of use: at one that
 *  names no limit, which would not have it in the end. */
static bool try_elsewhere(step_t *s)
{
    forward_t *const f = s->request;
    if (!mechanism_is_on(MECHANISM_SECOND_TRY) || s->status < 500 || f->begun || !may_run_again(f) ||
        !has_other(s, forward_has_unlimited) || !retry_spend(f))
        return false;
    forward_log(f, "backend_failed", "tried once more elsewhere", s->status, s->instance);
    retry_note(f, s->op, ARRIVAL_TAKEN);
    count_run(f);
    mark_tried(f, s->instance, s->op);
    if (f->handle.instance)
        handle_forget(f);
    step_free(s, "tried once more elsewhere");
    forward_go_on(f);
    return true;
}

static void answered(step_t *s)
{
    forward_t *const f = s->request;
    if (s->reply.not_run) {
        counter_add(&c_refused, 1);
        not_run(s, "turned away", true);
        return;
    }
    if (s->op == DIALECT_PREFILL) {
        prefilled(s);
        return;
    }
    if (!s->reply.authentic) {
        counter_add(&c_spoiled, 1);
        maybe_run(s, "answer without proof of origin");
        return;
    }
    instance_succeeded(s->instance);
    note_ran_well(f);
    if (try_elsewhere(s))
        return;
    if (f->begun) {
        maybe_run(s, "stream could not be taken up");
        return;
    }
    deliver(s);
}

/* ===== Reports of the call ===== */

/** This box ends the call. */
static void give_up(step_t *s, const char *why)
{
    web_call_cancel(s->call);
    s->given_up = true;
    maybe_run(s, why);
}

static void on_prefill_late(void *arg)
{
    step_t *const s = ((forward_t *)arg)->step;
    assert(s); /* disarmed with the step */
    give_up(s, "prefill engine is silent");
}

static void watch_silence(forward_t *f);

/** The run is silent and another can follow: once all that this takes is paid for, it is given up. The silence is none
 *  while bytes wait to be read: this box stood still, or they came while the leader was asked. */
static void pay_and_give_up(forward_t *f)
{
    if (web_call_has_news(f->step->call)) {
        watch_silence(f);
        return;
    }
    /* This run counts, and so does the prompt that is read anew; without a prefill engine the run behind it reads it.
     */
    const bool prefills = f->split && f->retry.read && forward_has_any(f, STAGE_PREFILL);
    const unsigned before = f->retry.counted + 1 + prefills;
    if (before > f->retry.paid)
        retry_ask(f, pay_and_give_up, watch_silence);
    else
        give_up(f->step, "stream is silent");
}

/** Giving a run up ends it for good, so it is done only when another run can follow: else it is waited for. */
static void on_run_late(void *arg)
{
    forward_t *const f = arg;
    assert(f->step); /* disarmed with the step */
    if (has_other(f->step, forward_has_any))
        pay_and_give_up(f);
    else
        watch_silence(f);
}

/** A stream that may be taken up elsewhere is not waited for longer than its pauses allow. */
static void watch_silence(forward_t *f)
{
    const tc_time_t pauses = SILENT_PAUSES * f->route->gap_target;
    const tc_time_t limit = pauses > 0 ? pauses : f->owner->options.silence_timeout_ms;
    retry_end(f); /* what was asked of the leader was for a silence that is over */
    if (may_run_again(f))
        loop_arm(f->owner->loop, &f->patience, tc_time_now() + limit, on_run_late, f);
    else
        loop_disarm(&f->patience); /* of an event before */
}

static web_verdict_t on_head(void *arg, const web_head_t *head)
{
    step_t *const s = arg;
    forward_t *const f = s->request;
    dialect_reply_t reply;
    dialect_read_reply(head, f->facts.id, &reply);
    notice_hear(f->owner, s->instance, head); /* a late answer of another request comes from the same back end */
    if (!reply.matches_request)
        return WEB_SKIP;
    s->reply = reply;
    s->head_seen = true;
    s->status = head->status;
    limit_hear(s);
    if (s->op == DIALECT_PREFILL || s->reply.not_run)
        return WEB_TAKE;
    s->head = dialect_forward_headers(head);
    const bool streams = f->route->kind == ROUTE_STREAM && s->reply.success && s->reply.authentic;
    if (streams && f->handle.instance)
        handle_forget(f); /* the decode engine has it */
    if (streams && !f->begun) {
        f->begun = true;
        forward_log(f, "streaming", "first bytes", head->status, s->instance);
        histogram_add(&h_first, tc_time_now() - f->request.arrived);
        place_tell(f, PHASE_DECODE, NULL);
        web_begin(f->exchange, head->status, s->head->str);
    }
    if (streams) {
        stream_begin(s);
        watch_silence(f);
    }
    return WEB_TAKE;
}

static void on_data(void *arg, const char *data, size_t size)
{
    step_t *const s = arg;
    if (!stream_has_begun(s)) {
        g_byte_array_append(s->body, (const guint8 *)data, (guint)size);
        return;
    }
    switch (stream_take(s, data, size)) {
    case STREAM_TAKEN: watch_silence(s->request); break;
    case STREAM_REPEATED: give_up(s, "run does not go on behind the last event"); break;
    case STREAM_TOO_LARGE: forward_fail(s->request, "event is too large"); break; /* it would be on every engine */
    }
}

static void on_end(void *arg, web_end_t how)
{
    step_t *const s = arg;
    s->call = NULL;
    if (how == WEB_END_UNSENT)
        not_run(s, "no connection", false);
    else if (stream_has_begun(s)) /* which a refusal never is */
        stream_ended(s, how);
    else if (how == WEB_END_WHOLE)
        answered(s);
    else if (how == WEB_END_CUT && s->reply.not_run)
        not_run(s, "turned away", true);
    else
        maybe_run(s, how == WEB_END_CUT ? "answer broke off" : "connection broke");
}

/* ===== Sending ===== */

/** Kept connections may close at any moment, so only what may be sent again goes over them. */
static bool may_reuse(const forward_t *f, dialect_op_t op)
{
    return op == DIALECT_PREFILL || route_is_repeatable(f->route);
}

void step_begin(forward_t *f, dialect_op_t op, instance_t *instance)
{
    assert(!f->step); /* one call at a time: a request never runs on two back ends by our will */
    const tc_time_t now = tc_time_now();
    assert(instance_accepts_work(instance, now)); /* promise: none to a back end that leaves or asked for no calls */
    counter_add(&c_calls, 1);
    step_t *const s = g_new0(step_t, 1);
    s->request = f;
    s->op = op;
    s->instance = instance;
    s->tokens = op == DIALECT_DECODE ? 0 : f->facts.prompt_tokens;
    s->body = g_byte_array_new();
    s->began = now;
    const dialect_call_t step = {.op = op,
                                 .instance = instance->listed.id,
                                 .time_left = f->deadline - now,
                                 .priority = f->priority,
                                 .handle_at = f->handle.instance ? f->handle.instance->listed.addr : NULL,
                                 .handle = f->handle.name,
                                 .hold = f->hold.instance == instance ? f->hold.name : NULL,
                                 .resume_after = f->last_event,
                                 .strips_credentials = f->table->workspaces != NULL,
                                 .workspace = f->workspace ? f->workspace->name : NULL};
    const web_sink_t sink = {.on_head = on_head, .on_data = on_data, .on_end = on_end, .arg = s};
    GByteArray *const request = dialect_write_request(&f->request, instance->listed.addr, &step);
    f->step = s;
    if (f->hold.instance == instance)
        hold_forget(f); /* it serves once */
    s->ends = forward_ends(f);
    instance_begin(instance, s->tokens, s->ends);
    forward_log(f, "send", op == DIALECT_PREFILL ? "prefill" : (op == DIALECT_DECODE ? "decode" : "serve"), 0,
                instance);
    s->call = web_call(f->owner->client, instance->listed.addr, request, may_reuse(f, op), CONNECT_MS, &sink);
    if (op == DIALECT_PREFILL)
        loop_arm(f->owner->loop, &f->patience, now + PREFILL_LIMIT_MS, on_prefill_late, f);
}
