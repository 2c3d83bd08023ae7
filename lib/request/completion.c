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

/** One request being served: what outlives an attempt. */
typedef struct {
    entry_t *entry;
    const caller_request_t *request;
    caller_t caller;
    inflight_t inflight;
    char avoid[CODEC_STR_SIZE]; /* the engine that the last attempt failed on */
    bool claimed;
    bool touched; /* a back end may have begun work for it */
    uint32_t attempts;
    uint32_t prompt_tokens;
    uint32_t retry_after_ms; /* said by the last placement */
    int64_t place_us;        /* waited for the first placement */
    tc_err_t err;
} run_t;

/** One attempt on engines of one placement. It ends in one place, attempt(), and nothing of it is left then. */
typedef struct {
    run_t *run;
    placement_t placement;
    tc_time_t begin, due; /* due: when its first token is to be out */
    bool token_seen;      /* its first token came */
    bool differs;         /* it gave other tokens than an earlier one: nobody can go on with the answer */
    uint32_t dropped;     /* tokens of a prefill result that no decode engine used yet */
} attempt_t;

/** Reading one run of the answer, over one connection or, where that breaks, over several. Another run of the same
 * attempt, on another decode engine, gets its own. */
typedef struct {
    attempt_t *at;
    caller_cursor_t cursor;
    int rc; /* why its tokens were given up */
} prefill_lab_t;

typedef enum { NEXT_DONE, NEXT_RETRY, NEXT_FAIL } next_t;

/* ===== Small steps ===== */

static bool on_idle(void *arg)
{
    run_t *const run = arg;
    return !atomic_load(&run->inflight.lost) && caller_is_connected(&run->caller);
}

static void say_phase(attempt_t *at, phase_t phase)
{
    run_t *const run = at->run;
    const placement_t *const p = &at->placement;
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

static engine_request_t engine_request(const attempt_t *at, const engine_cfg_t *engine)
{
    const caller_request_t *const r = at->run->request;
    return (engine_request_t){.name = engine->name,
                              .url = engine->url,
                              .engine_id = at->placement.engine_id,
                              .model = r->model,
                              .prompt = r->prompt_json,
                              .prompt_size = r->prompt_json_size,
                              .salt = r->salt,
                              .max_tokens = r->max_tokens,
                              .priority = r->priority};
}

/** The baselines have no scheduler that frees engines: each entry cancels for itself. */
static void cancel_alone(const placement_t *p, const engine_cfg_t *engine)
{
    tc_err_t err = {0};
    if (p->policy <= POLICY_LEAST_LOADED && engine->url[0])
        (void)engine_cancel(engine->name, engine->url, p->engine_id, CANCEL_LIMIT_MS, &err);
}

/** The attempt is over without a whole answer. */
static void give_up(attempt_t *at, const char *bad)
{
    run_t *const run = at->run;
    counter_add(&c_dropped, at->dropped);
    placer_report_progress(run->entry, run->request->id, &at->placement, PHASE_FAILED, 0, NULL, bad, true);
    cancel_alone(&at->placement, &at->placement.prefill);
    cancel_alone(&at->placement, &at->placement.decode);
    const held_t none = {.phase = PHASE_QUEUED};
    inflight_update(&run->entry->inflight, &run->inflight, &none);
}

static void log_trouble(const attempt_t *at, const char *event)
{
    log_line_t line;
    log_begin(&line, LOG_WARN, event);
    log_str(&line, "request", at->run->request->id);
    log_int(&line, "attempt", at->placement.attempt);
    log_err(&line, &at->run->err);
    log_end(&line);
}

/** Whether the error says that the caller left or that the request is somebody else's now. */
static bool nobody_waits(const run_t *run)
{
    return run->caller.http.broken || atomic_load(&run->inflight.lost);
}

/* ===== Decode ===== */

static void on_first_token(attempt_t *at)
{
    at->token_seen = true;
    at->dropped = 0; /* decode uses the prefill result */
    say_phase(at, PHASE_DECODE);
    placer_report_progress(at->run->entry, at->run->request->id, &at->placement, PHASE_DECODE, 0, NULL, "", false);
}

static bool on_tokens(void *arg, uint32_t place, const char *text, const char *finish)
{
    prefill_lab_t *const reading = arg;
    run_t *const run = reading->at->run;
    if (!reading->at->token_seen)
        on_first_token(reading->at);
    if (reading->at->placement.policy >= POLICY_SHARE)
        entry_wait_verified(run->entry);
    if (atomic_load(&run->inflight.lost))
        return false;
    counter_add(&c_tokens, place - reading->cursor.place);
    reading->rc = caller_send_tokens(&run->caller, &reading->cursor, place, text, finish);
    return reading->rc == TC_OK && !atomic_load(&run->inflight.lost);
}

static bool on_reading_idle(void *arg)
{
    const prefill_lab_t *const reading = arg;
    return on_idle(reading->at->run);
}

static engine_reader_t reader_for(prefill_lab_t *reading, tc_time_t first_limit)
{
    return (engine_reader_t){.on_token = on_tokens,
                             .on_idle = on_reading_idle,
                             .arg = reading,
                             .first_token_timeout = first_limit,
                             .next_token_timeout = TOKEN_GAP_MS};
}

/** Connections break and the engine keeps the stream: the rest is fetched from it, behind what this run brought, which
 * may be less than the caller has. As long as each connection brings something. */
static int read_on(prefill_lab_t *reading, int rc, tc_time_t first_limit)
{
    attempt_t *const at = reading->at;
    const engine_request_t request = engine_request(at, &at->placement.decode);
    const engine_reader_t reader = reader_for(reading, first_limit);
    for (uint32_t before = 0; rc == TC_E_BROKEN && reading->cursor.place > before && !nobody_waits(at->run);) {
        before = reading->cursor.place;
        rc = engine_resume(&request, before, &reader, &at->run->err);
    }
    return rc;
}

/** Read a run from its start to its end. @param prefill NULL when the engine has the run already */
static int read_run(attempt_t *at, const engine_prefill_t *prefill, tc_time_t first_limit)
{
    prefill_lab_t reading = {.at = at, .rc = TC_OK};
    const engine_request_t request = engine_request(at, &at->placement.decode);
    const engine_reader_t reader = reader_for(&reading, first_limit);
    tc_err_t *const err = &at->run->err;
    int rc = prefill ? engine_decode(&request, prefill->kv, &reader, err) : engine_resume(&request, 0, &reader, err);
    rc = read_on(&reading, rc, first_limit);
    at->differs = reading.rc == TC_E_CONFLICT;
    if (at->differs)
        return tc_err_set(err, TC_E_CONFLICT, "decode", at->placement.decode.name,
                          "a second run gave other tokens than the first: the answer cannot be continued");
    if (rc == TC_OK && !caller_is_complete(&at->run->caller, &reading.cursor))
        return tc_err_set(err, TC_E_INVALID, "decode", at->placement.decode.name,
                          "the stream ended without the answer's last token");
    return rc;
}

/** What a decode that did not end well means. */
static next_t judge_decode(const attempt_t *at, int rc)
{
    if (rc == TC_OK)
        return NEXT_DONE;
    return at->differs || nobody_waits(at->run) || !at->run->request->repeatable ? NEXT_FAIL : NEXT_RETRY;
}

/** Whether another decode engine may be tried with the same prefill result: no token came, and, if the request
 *  must not run twice, the first engine has seen nothing. */
static bool may_replan(const attempt_t *at, int rc)
{
    if (at->token_seen || nobody_waits(at->run) || rc == TC_E_CONFLICT)
        return false;
    return rc == TC_E_UNREACHABLE || (at->run->request->repeatable && (rc == TC_E_STALLED || rc == TC_E_FULL ||
                                                                       rc == TC_E_REFUSED || rc == TC_E_BROKEN));
}

static tc_time_t first_token_limit(const attempt_t *at)
{
    if (at->placement.policy <= POLICY_LEAST_LOADED)
        return BASELINE_STALL_MS;
    const tc_time_t since = tc_time_now() - at->begin;
    const tc_time_t left = at->placement.est_ttft_ms > since ? at->placement.est_ttft_ms : 0;
    return TRANSFER_BASE_MS + left / 2;
}

static next_t decode(attempt_t *at, const engine_prefill_t *prefill)
{
    run_t *const run = at->run;
    int rc = read_run(at, prefill, first_token_limit(at));
    for (int replans = 0; rc < 0 && replans < REPLANS_MAX && may_replan(at, rc); replans++) {
        log_trouble(at, "handover_failed");
        const placer_request_t request = placer_request(run);
        const placement_t left = at->placement;
        tc_err_t refused; /* the attempt fails on the engine, not on whoever refuses another */
        if (placer_replan(run->entry, &request, &at->placement, &refused) < 0)
            break;
        counter_add(&c_replans, 1);
        cancel_alone(&left, &left.decode); /* known there by an id that goes with the placement */
        say_phase(at, PHASE_TRANSFER);
        rc = read_run(at, prefill, first_token_limit(at));
    }
    return judge_decode(at, rc);
}

/* ===== One attempt ===== */

static next_t resume_attempt(attempt_t *at)
{
    at->run->touched = true;
    say_phase(at, PHASE_DECODE);
    /* From the start, so that what the caller has and what comes fit together; places it has are not sent again. */
    return judge_decode(at, read_run(at, NULL, TRANSFER_BASE_MS));
}

static next_t prefill_failed(attempt_t *at, int rc)
{
    log_trouble(at, "prefill_failed");
    if (nobody_waits(at->run))
        return NEXT_FAIL;
    const bool unseen = rc == TC_E_UNREACHABLE || rc == TC_E_FULL;
    return unseen || at->run->request->repeatable ? NEXT_RETRY : NEXT_FAIL;
}

static next_t fresh_attempt(attempt_t *at)
{
    run_t *const run = at->run;
    say_phase(at, PHASE_PREFILL);
    const engine_request_t request = engine_request(at, &at->placement.prefill);
    engine_prefill_t prefill = {0};
    const tc_time_t begin = tc_time_now();
    const tc_time_t left = at->due > begin ? at->due - begin : 0;
    const int rc = engine_prefill(&request, left + PREFILL_SLACK_MS, on_idle, run, &prefill, &run->err);
    run->touched = run->touched || (rc != TC_E_UNREACHABLE && rc != TC_E_FULL);
    if (rc < 0)
        return prefill_failed(at, rc);
    run->prompt_tokens = prefill.prompt_tokens;
    at->dropped = prefill.computed_tokens;
    say_phase(at, PHASE_TRANSFER);
    placer_report_progress(run->entry, run->request->id, &at->placement, PHASE_TRANSFER,
                           (uint32_t)(tc_time_now() - begin), &prefill, "", false);
    const next_t next = decode(at, &prefill);
    json_decref(prefill.kv);
    return next;
}

/** Which engine the last error is about: it is not chosen again at once. */
static const char *blamed(const attempt_t *at)
{
    const run_t *const run = at->run;
    const bool engine =
        strcmp(run->err.peer, at->placement.prefill.name) == 0 || strcmp(run->err.peer, at->placement.decode.name) == 0;
    return engine && !nobody_waits(run) ? run->err.peer : "";
}

static int place(attempt_t *at)
{
    run_t *const run = at->run;
    const placer_request_t request = placer_request(run);
    const gint64 begin = g_get_monotonic_time();
    const int rc = placer_place(run->entry, &request, run->avoid, at->due, on_idle, run, &at->placement, &run->err);
    const int64_t waited = g_get_monotonic_time() - begin;
    counter_add(&c_place_us, waited);
    if (run->attempts == 0)
        run->place_us = waited;
    run->retry_after_ms = at->placement.retry_after_ms;
    return rc;
}

/** A second attempt has as much time as the first had, counted from its own beginning. */
static attempt_t begin_attempt(run_t *run)
{
    const caller_request_t *const r = run->request;
    const tc_time_t begin = run->attempts == 0 ? r->arrived : tc_time_now();
    return (attempt_t){.run = run, .begin = begin, .due = begin + (r->due - r->arrived)};
}

static next_t attempt(run_t *run)
{
    attempt_t at = begin_attempt(run);
    if (place(&at) < 0)
        return NEXT_FAIL;
    if (run->attempts++ > 0)
        counter_add(&c_retries, 1);
    const next_t next = at.placement.resume ? resume_attempt(&at) : fresh_attempt(&at);
    if (next == NEXT_DONE) {
        placer_report_progress(run->entry, run->request->id, &at.placement, PHASE_FINISHED, 0, NULL, "", false);
        return next;
    }
    codec_copy_string(run->avoid, sizeof(run->avoid), blamed(&at));
    give_up(&at, run->avoid);
    return next;
}

/* ===== The whole request ===== */

static request_outcome_t failed_end(const run_t *run)
{
    if (nobody_waits(run))
        return OUTCOME_CANCELLED;
    /* Promise: "not run" only if no back end can have begun. */
    /* A request sent before, perhaps through an entry that is gone, may have begun there. */
    return run->touched || run->caller.places > 0 || run->request->resend ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

/** Claim the id of a request that must not run twice. @return OUTCOME_OK or how it ends */
static request_outcome_t claim(run_t *run)
{
    msg_claim_ack_t ack = {0};
    if (run->request->repeatable)
        return OUTCOME_OK;
    const int rc = control_client_claim(run->entry->control, run->request->id, CLAIM_LIMIT_MS, &ack, &run->err);
    run->claimed = rc == TC_OK;
    if (rc == TC_OK)
        return OUTCOME_OK;
    /* Taken by someone: it may run or have run. Not reachable: this box has sent nothing, so it has not run here. */
    return rc == TC_E_CONFLICT ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

static void end_claim(const run_t *run, request_outcome_t end)
{
    if (run->claimed)
        control_client_claim_end(run->entry->control, run->request->id,
                                 end == OUTCOME_NOT_RUN || !run->touched ? CLAIM_STATE_NOT_RUN : CLAIM_STATE_DONE);
}

static void count_end(request_outcome_t end)
{
    switch (end) {
    case OUTCOME_OK: counter_add(&c_whole, 1); break;
    case OUTCOME_NOT_RUN: counter_add(&c_not_run, 1); break;
    case OUTCOME_CANCELLED: counter_add(&c_cancelled, 1); break;
    default: counter_add(&c_unknown, 1); break;
    }
}

static request_outcome_t run_attempts(run_t *run)
{
    const request_outcome_t claimed = claim(run);
    if (claimed != OUTCOME_OK)
        return claimed;
    budget_earn(&run->entry->budget);
    next_t next = attempt(run);
    while (next == NEXT_RETRY && run->attempts < ATTEMPTS_MAX && budget_spend(&run->entry->budget))
        next = attempt(run);
    return next == NEXT_DONE ? OUTCOME_OK : failed_end(run);
}

static void finish(run_t *run, request_outcome_t end)
{
    end_claim(run, end);
    if (end == OUTCOME_OK)
        caller_finish(&run->caller, run->prompt_tokens ? run->prompt_tokens : run->request->prompt_tokens);
    else
        caller_fail(&run->caller, end, &run->err, run->retry_after_ms);
    count_end(end);
    log_line_t line;
    log_begin(&line, LOG_INFO, "answer");
    log_str(&line, "request", run->request->id);
    log_str(&line, "end", caller_outcome_name(end));
    log_int(&line, "tokens", run->caller.places);
    log_int(&line, "attempts", run->attempts);
    log_int(&line, "place_us", run->place_us);
    log_int(&line, "took_ms", tc_time_now() - run->request->arrived);
    if (end != OUTCOME_OK)
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
    const char *const cell = view_cell_for_model(view, request->model);
    codec_copy_string(run->inflight.cell, sizeof(run->inflight.cell), cell ? cell : "");
    view_release(view);
    run->inflight.content = request->content;
    request_outcome_t end = OUTCOME_INVALID;
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
    return end == OUTCOME_OK ? 200 : 503;
}

int completion_serve(entry_t *entry, struct mg_connection *conn, bool chat)
{
    caller_request_t request;
    tc_err_t err = {0};
    counter_add(&c_requests, 1);
    if (caller_read(entry, conn, chat, &request, &err) < 0)
        return caller_refuse(conn, OUTCOME_INVALID, &err, 0);
    const int status = serve(entry, conn, &request);
    caller_request_free(&request);
    return status;
}
