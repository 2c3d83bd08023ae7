#include "request/completion.h"

#include <stdlib.h>
#include <string.h>

#include "common/counter.h"
#include "common/log.h"
#include "request/caller.h"
#include "request/control_client.h"
#include "request/placer.h"

/* ===== Constants ===== */

enum {
    ATTEMPTS_MAX = 4,        /* runs of one request, the first included */
    REPLANS_MAX = 2,         /* other decode engines tried for one prefill result */
    PREFILL_SLACK_MS = 3000, /* beyond the time to the first token, before a silent prefill engine is given up */
    TRANSFER_BASE_MS = 350,  /* a handover without a token after this, plus twice the estimate, is stalled: it leaves
                                time for another within the hold time of a prefill result */
    TOKEN_GAP_MS = 3000,     /* a decode engine silent for this long in the middle of an answer is lost */
    CLAIM_LIMIT_MS = 1200,
    BASELINE_STALL_MS = 5000, /* the baselines wait in the decode engine's queue */
    CANCEL_LIMIT_MS = 500
};

COUNTER_DEFINE(c_requests, "counter", "trackcove_requests_total", "Completions asked for")
COUNTER_DEFINE(c_whole, "counter", "trackcove_requests_whole_total", "Completions answered whole")
COUNTER_DEFINE(c_not_run, "counter", "trackcove_requests_not_run_total", "Completions refused as not run")
COUNTER_DEFINE(c_unknown, "counter", "trackcove_requests_unknown_total", "Completions whose outcome is unknown")
COUNTER_DEFINE(c_cancelled, "counter", "trackcove_requests_cancelled_total", "Completions whose caller left")
COUNTER_DEFINE(c_retries, "counter", "trackcove_request_retries_total", "Attempts after the first")
COUNTER_DEFINE(c_replans, "counter", "trackcove_request_replans_total",
               "Prefill results sent to a second decode engine")
COUNTER_DEFINE(c_tokens, "counter", "trackcove_tokens_total", "Tokens passed to callers")
COUNTER_DEFINE(c_place_us, "counter", "trackcove_place_wait_us_total", "Time requests waited for a placement, us")
COUNTER_DEFINE(c_dropped, "counter", "trackcove_prefill_tokens_dropped_total", "Prompt tokens computed and dropped")

/* ===== Types ===== */

/** One request being served. */
typedef struct {
    entry_t *entry;
    const caller_request_t *request;
    caller_t caller;
    inflight_t inflight;
    placement_t placement;
    char avoid[CODEC_STR_SIZE];
    bool claimed;
    bool touched;    /* a back end may have begun work for it */
    bool first_seen; /* the first token of this attempt came */
    uint32_t attempts;
    uint32_t prompt_tokens;
    int64_t place_us; /* waited for the first placement */
    uint32_t dropped; /* tokens of the prefill result under way */
    int token_rc;     /* why reading tokens was given up */
    tc_err_t err;
} run_t;

typedef enum { NEXT_DONE, NEXT_RETRY, NEXT_FAIL } next_t;

/* ===== Small steps ===== */

static bool on_idle(void *arg)
{
    run_t *const run = arg;
    return !atomic_load(&run->inflight.lost) && caller_there(&run->caller);
}

static void say_phase(run_t *run, phase_t phase)
{
    const placement_t *const p = &run->placement;
    held_t held = {.attempt = p->attempt,
                   .phase = phase,
                   .pieces = p->pieces,
                   .prompt_tokens = run->request->prompt_tokens,
                   .max_tokens = run->request->max_tokens};
    codec_copy_string(held.prefill, sizeof(held.prefill), p->prefill.name);
    codec_copy_string(held.decode, sizeof(held.decode), p->decode.name);
    inflight_update(&run->entry->inflight, &run->inflight, &held);
}

static placer_request_t placer_request(const run_t *run)
{
    const caller_request_t *const r = run->request;
    return (placer_request_t){.id = r->id,
                              .model = r->model,
                              .workspace = r->workspace,
                              .prompt_tokens = r->prompt_tokens,
                              .max_tokens = r->max_tokens,
                              .priority = r->priority,
                              .chain = r->chain,
                              .n_chain = r->n_chain,
                              .repeatable = r->repeatable,
                              .content = r->content};
}

static engine_request_t engine_request(const run_t *run, const engine_cfg_t *engine)
{
    const caller_request_t *const r = run->request;
    return (engine_request_t){.name = engine->name,
                              .url = engine->url,
                              .engine_id = run->placement.engine_id,
                              .model = r->model,
                              .prompt = r->prompt_json,
                              .prompt_size = r->prompt_json_size,
                              .salt = r->salt,
                              .max_tokens = r->max_tokens,
                              .priority = r->priority};
}

/** The baselines have no scheduler that frees engines: each entry cancels for itself. */
static void cancel_alone(const run_t *run)
{
    const placement_t *const p = &run->placement;
    tc_err_t err = {0};
    if (p->policy > POLICY_LEAST_LOADED)
        return;
    if (p->prefill.url[0])
        (void)engine_cancel(p->prefill.name, p->prefill.url, p->engine_id, CANCEL_LIMIT_MS, &err);
    if (p->decode.url[0])
        (void)engine_cancel(p->decode.name, p->decode.url, p->engine_id, CANCEL_LIMIT_MS, &err);
}

/** This attempt is over without a whole answer. */
static void give_up_attempt(run_t *run, const char *bad)
{
    counter_add(&c_dropped, run->dropped);
    run->dropped = 0;
    placer_progress(run->entry, run->request->id, &run->placement, PHASE_FAILED, 0, NULL, bad, true);
    cancel_alone(run);
    const held_t none = {.phase = PHASE_QUEUED};
    inflight_update(&run->entry->inflight, &run->inflight, &none);
}

static void log_trouble(const run_t *run, const char *event)
{
    log_line_t line;
    log_begin(&line, LOG_WARN, event);
    log_str(&line, "request", run->request->id);
    log_int(&line, "attempt", run->placement.attempt);
    log_err(&line, &run->err);
    log_end(&line);
}

/** Whether the error says that the caller left or that the request is somebody else's now. */
static bool nobody_waits(const run_t *run)
{
    return run->caller.http.broken || atomic_load(&run->inflight.lost);
}

/* ===== Decode ===== */

static bool on_token(void *arg, uint32_t place, const char *text, const char *finish)
{
    run_t *const run = arg;
    if (!run->first_seen) {
        run->first_seen = true;
        run->dropped = 0; /* decode uses the prefill result */
        say_phase(run, PHASE_DECODE);
        placer_progress(run->entry, run->request->id, &run->placement, PHASE_DECODE, 0, NULL, "", false);
    }
    if (run->placement.policy >= POLICY_SHARE)
        entry_await_verified(run->entry);
    if (atomic_load(&run->inflight.lost))
        return false;
    counter_add(&c_tokens, 1);
    run->token_rc = caller_token(&run->caller, place, text, finish);
    return run->token_rc == TC_OK && !atomic_load(&run->inflight.lost);
}

static engine_reader_t reader_for(run_t *run, tc_time_t first_limit)
{
    return (engine_reader_t){
        .on_token = on_token, .on_idle = on_idle, .arg = run, .first_limit = first_limit, .next_limit = TOKEN_GAP_MS};
}

/** What a decode that did not end well means. */
static next_t judge_decode(run_t *run, int rc)
{
    if (rc == TC_OK)
        return NEXT_DONE;
    if (run->token_rc == TC_E_CONFLICT)
        tc_err_set(&run->err, TC_E_CONFLICT, "decode", run->placement.decode.name,
                   "a second run gave other tokens than the first: the answer cannot be continued");
    const bool lost_race = run->token_rc == TC_E_CONFLICT || nobody_waits(run);
    return lost_race || !run->request->repeatable ? NEXT_FAIL : NEXT_RETRY;
}

/** The connection broke in the middle: the engine keeps the stream, so fetch the rest from it. */
static int try_resume(run_t *run, tc_time_t first_limit)
{
    const engine_request_t request = engine_request(run, &run->placement.decode);
    const engine_reader_t reader = reader_for(run, first_limit);
    run->token_rc = TC_OK;
    return engine_resume(&request, run->caller.places, &reader, &run->err);
}

static int decode_once(run_t *run, const engine_prefill_t *prefill, tc_time_t first_limit)
{
    const engine_request_t request = engine_request(run, &run->placement.decode);
    const engine_reader_t reader = reader_for(run, first_limit);
    run->first_seen = false;
    run->token_rc = TC_OK;
    int rc = engine_decode(&request, prefill->kv, &reader, &run->err);
    if (rc == TC_E_BROKEN && run->first_seen && !nobody_waits(run))
        rc = try_resume(run, first_limit);
    return rc;
}

/** Whether another decode engine may be tried with the same prefill result: no token came, and, if the request
 *  must not run twice, the first engine has seen nothing. */
static bool may_replan(const run_t *run, int rc)
{
    if (run->first_seen || nobody_waits(run) || rc == TC_E_CONFLICT)
        return false;
    return rc == TC_E_UNREACHABLE || (run->request->repeatable && (rc == TC_E_STALLED || rc == TC_E_FULL ||
                                                                   rc == TC_E_REFUSED || rc == TC_E_BROKEN));
}

static tc_time_t first_token_limit(const run_t *run)
{
    if (run->placement.policy <= POLICY_LEAST_LOADED)
        return BASELINE_STALL_MS;
    const tc_time_t since = tc_time_now() - run->request->arrived;
    const tc_time_t left = run->placement.est_ttft_ms > since ? run->placement.est_ttft_ms : 0;
    return TRANSFER_BASE_MS + left / 2;
}

static next_t decode(run_t *run, const engine_prefill_t *prefill)
{
    int rc = decode_once(run, prefill, first_token_limit(run));
    for (int replans = 0; rc < 0 && replans < REPLANS_MAX && may_replan(run, rc); replans++) {
        log_trouble(run, "handover_failed");
        const placer_request_t request = placer_request(run);
        if (placer_replan(run->entry, &request, &run->placement, &run->err) < 0)
            break;
        counter_add(&c_replans, 1);
        say_phase(run, PHASE_TRANSFER);
        rc = decode_once(run, prefill, first_token_limit(run));
    }
    return judge_decode(run, rc);
}

/* ===== One attempt ===== */

static next_t resume_attempt(run_t *run)
{
    run->touched = true;
    run->first_seen = false;
    say_phase(run, PHASE_DECODE);
    /* From the start, so that what the caller has and what comes fit together; places it has are not sent again. */
    const int rc = try_resume(run, TRANSFER_BASE_MS);
    return judge_decode(run, rc);
}

static next_t prefill_failed(run_t *run, int rc)
{
    log_trouble(run, "prefill_failed");
    if (nobody_waits(run))
        return NEXT_FAIL;
    const bool unseen = rc == TC_E_UNREACHABLE || rc == TC_E_FULL;
    return unseen || run->request->repeatable ? NEXT_RETRY : NEXT_FAIL;
}

static next_t fresh_attempt(run_t *run)
{
    say_phase(run, PHASE_PREFILL);
    const engine_request_t request = engine_request(run, &run->placement.prefill);
    engine_prefill_t prefill = {0};
    const tc_time_t begin = tc_time_now();
    const tc_time_t left = run->request->due > begin ? run->request->due - begin : 0;
    const int rc = engine_prefill(&request, left + PREFILL_SLACK_MS, on_idle, run, &prefill, &run->err);
    run->touched = run->touched || (rc != TC_E_UNREACHABLE && rc != TC_E_FULL);
    if (rc < 0)
        return prefill_failed(run, rc);
    run->prompt_tokens = prefill.prompt_tokens;
    run->dropped = prefill.computed_tokens;
    say_phase(run, PHASE_TRANSFER);
    placer_progress(run->entry, run->request->id, &run->placement, PHASE_TRANSFER, (uint32_t)(tc_time_now() - begin),
                    &prefill, "", false);
    const next_t next = decode(run, &prefill);
    json_decref(prefill.kv);
    return next;
}

/** Which engine the last error is about: it is not chosen again at once. */
static const char *blamed(const run_t *run)
{
    const bool engine = strcmp(run->err.peer, run->placement.prefill.name) == 0 ||
                        strcmp(run->err.peer, run->placement.decode.name) == 0;
    return engine && !nobody_waits(run) ? run->err.peer : "";
}

static int place(run_t *run)
{
    const placer_request_t request = placer_request(run);
    const tc_time_t now = tc_time_now();
    const gint64 begin = g_get_monotonic_time();
    /* A second attempt gets as much time as the first had. */
    const tc_time_t due = run->attempts == 0 ? run->request->due : now + (run->request->due - run->request->arrived);
    const int rc = placer_place(run->entry, &request, run->avoid, due, on_idle, run, &run->placement, &run->err);
    const int64_t waited = g_get_monotonic_time() - begin;
    counter_add(&c_place_us, waited);
    if (run->attempts == 0)
        run->place_us = waited;
    return rc;
}

static next_t attempt(run_t *run)
{
    if (place(run) < 0)
        return NEXT_FAIL;
    if (run->attempts++ > 0)
        counter_add(&c_retries, 1);
    const next_t next = run->placement.resume ? resume_attempt(run) : fresh_attempt(run);
    if (next == NEXT_DONE) {
        placer_progress(run->entry, run->request->id, &run->placement, PHASE_FINISHED, 0, NULL, "", false);
        return next;
    }
    codec_copy_string(run->avoid, sizeof(run->avoid), blamed(run));
    give_up_attempt(run, run->avoid);
    return next;
}

/* ===== The whole request ===== */

static end_t failed_end(const run_t *run)
{
    if (nobody_waits(run))
        return END_CANCELLED;
    /* Promise: "not run" only if no back end can have begun. */
    /* A request sent before, perhaps through an entry that is gone, may have begun there. */
    return run->touched || run->caller.places > 0 || run->request->resend ? END_OUTCOME_UNKNOWN : END_NOT_RUN;
}

/** Claim the id of a request that must not run twice. @return END_OK or how it ends */
static end_t claim(run_t *run)
{
    msg_claim_ack_t ack = {0};
    if (run->request->repeatable)
        return END_OK;
    const int rc = control_client_claim(run->entry->control, run->request->id, CLAIM_LIMIT_MS, &ack, &run->err);
    run->claimed = rc == TC_OK;
    if (rc == TC_OK)
        return END_OK;
    /* Taken by someone: it may run or have run. Not reachable: this box has sent nothing, so it has not run here. */
    return rc == TC_E_CONFLICT ? END_OUTCOME_UNKNOWN : END_NOT_RUN;
}

static void end_claim(const run_t *run, end_t end)
{
    if (run->claimed)
        control_client_claim_end(run->entry->control, run->request->id,
                                 end == END_NOT_RUN || !run->touched ? CLAIM_STATE_NOT_RUN : CLAIM_STATE_DONE);
}

static void count_end(end_t end)
{
    switch (end) {
    case END_OK: counter_add(&c_whole, 1); break;
    case END_NOT_RUN: counter_add(&c_not_run, 1); break;
    case END_CANCELLED: counter_add(&c_cancelled, 1); break;
    default: counter_add(&c_unknown, 1); break;
    }
}

static end_t run_attempts(run_t *run)
{
    const end_t claimed = claim(run);
    if (claimed != END_OK)
        return claimed;
    budget_earn(&run->entry->budget);
    next_t next = attempt(run);
    while (next == NEXT_RETRY && run->attempts < ATTEMPTS_MAX && budget_spend(&run->entry->budget))
        next = attempt(run);
    return next == NEXT_DONE ? END_OK : failed_end(run);
}

static void finish(run_t *run, end_t end)
{
    end_claim(run, end);
    if (end == END_OK)
        caller_finish(&run->caller, run->prompt_tokens ? run->prompt_tokens : run->request->prompt_tokens);
    else
        caller_fail(&run->caller, end, &run->err, run->placement.retry_after_ms);
    count_end(end);
    log_line_t line;
    log_begin(&line, LOG_INFO, "answer");
    log_str(&line, "request", run->request->id);
    log_str(&line, "end", caller_end_name(end));
    log_int(&line, "tokens", run->caller.places);
    log_int(&line, "attempts", run->attempts);
    log_int(&line, "place_us", run->place_us);
    log_int(&line, "took_ms", tc_time_now() - run->request->arrived);
    if (end != END_OK)
        log_err(&line, &run->err);
    log_end(&line);
}

static int serve(entry_t *entry, struct mg_connection *conn, const caller_request_t *request)
{
    run_t *const run = calloc(1, sizeof(*run));
    if (!run)
        abort();
    run->entry = entry;
    run->request = request;
    tc_err_set(&run->err, TC_OK, "", NULL, "%s", "");
    caller_begin(&run->caller, conn, request);
    codec_copy_string(run->inflight.id, sizeof(run->inflight.id), request->id);
    view_t *const view = view_acquire(&entry->view);
    const char *const cell = view_cell_for(view, request->model);
    codec_copy_string(run->inflight.cell, sizeof(run->inflight.cell), cell ? cell : "");
    view_release(view);
    run->inflight.content = request->content;
    end_t end = END_INVALID;
    if (inflight_add(&entry->inflight, &run->inflight)) {
        end = run_attempts(run);
        finish(run, end);
        inflight_remove(&entry->inflight, &run->inflight);
    } else {
        tc_err_set(&run->err, TC_E_CONFLICT, "read request", "Idempotency-Key", "the id belongs to another request");
        caller_fail(&run->caller, end, &run->err, 0);
    }
    caller_free(&run->caller);
    free(run);
    return end == END_OK ? 200 : 503;
}

int completion_serve(entry_t *entry, struct mg_connection *conn, bool chat)
{
    caller_request_t request;
    tc_err_t err = {0};
    counter_add(&c_requests, 1);
    if (caller_read(entry, conn, chat, &request, &err) < 0)
        return caller_refuse(conn, END_INVALID, &err, 0);
    const int status = serve(entry, conn, &request);
    caller_request_free(&request);
    return status;
}
