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
    ATTEMPTS_MAX = 4,        /* attempts per request, the first included */
    REPLANS_MAX = 2,         /* further decode engines tried for one prefill result */
    PREFILL_GRACE_MS = 3000, /* time beyond the first-token deadline after which a silent prefill engine has failed */
    HANDOVER_TIMEOUT_BASE_MS = 350, /* plus half the estimated time to first token; short enough for a second handover
                                       while the engine still holds the prefill result */
    TOKEN_GAP_TIMEOUT_MS = 3000,    /* a decode engine that sends no token for this long has failed */
    CLAIM_TIMEOUT_MS = 1200,
    BASELINE_FIRST_TOKEN_TIMEOUT_MS = 5000, /* baselines queue in the decode engine */
    CANCEL_TIMEOUT_MS = 500
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

/** State of one request across its attempts. */
typedef struct {
    entry_t *entry;
    const caller_request_t *request;
    caller_t caller;
    inflight_t inflight;
    char avoid[CODEC_STR_SIZE]; /* engine that the last attempt failed on, or "" */
    bool claimed;
    bool maybe_started; /* a back end may have started work on the request */
    uint32_t attempts;
    uint32_t prompt_tokens;
    uint32_t retry_after_ms; /* from the last placement */
    int64_t place_us;        /* wait for the first placement, us */
    tc_err_t err;
} completion_t;

/** One attempt on the engines of one placement. Only attempt() ends it, and releases everything it holds. */
typedef struct {
    completion_t *completion;
    placement_t placement;
    tc_time_t begin, due;           /* due: deadline of the first token */
    bool token_seen;                /* the first token has arrived */
    bool tokens_differ;             /* its tokens differ from those of an earlier run: the answer cannot be continued */
    uint32_t unused_prefill_tokens; /* prompt tokens computed for a prefill result that no decode engine has used */
} attempt_t;

/** Reader of one decode run, over one or, after broken connections, several connections. Each decode engine of an
 * attempt has its own reader. */
typedef struct {
    attempt_t *at;
    caller_cursor_t cursor;
    int rc; /* error of caller_send_tokens() */
} run_reader_t;

typedef enum { NEXT_DONE, NEXT_RETRY, NEXT_FAIL } next_t;

/* ===== Helpers ===== */

static bool on_idle(void *arg)
{
    completion_t *const completion = arg;
    return !atomic_load(&completion->inflight.lost) && caller_is_connected(&completion->caller);
}

static void update_phase(attempt_t *at, phase_t phase)
{
    completion_t *const completion = at->completion;
    const placement_t *const p = &at->placement;
    held_t held = {.attempt = p->attempt,
                   .phase = phase,
                   .pieces = p->pieces,
                   .prompt_tokens = completion->request->prompt_tokens,
                   .max_tokens = completion->request->max_tokens};
    codec_copy_string(held.prefill, sizeof(held.prefill), p->prefill.name);
    codec_copy_string(held.decode, sizeof(held.decode), p->decode.name);
    inflight_update(&completion->entry->inflight, &completion->inflight, &held);
}

static placer_request_t placer_request(const completion_t *completion)
{
    const caller_request_t *const r = completion->request;
    return (placer_request_t){.id = r->id,
                              .model = r->model,
                              .workspace = r->workspace,
                              .prompt_tokens = r->prompt_tokens,
                              .max_tokens = r->max_tokens,
                              .priority = r->priority,
                              .chain = r->chain,
                              .n_chain = r->n_chain,
                              .repeatable = r->repeatable,
                              .content_hash = r->content_hash};
}

static engine_request_t engine_request(const attempt_t *at, const engine_cfg_t *engine)
{
    const caller_request_t *const r = at->completion->request;
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

/** Baseline policies have no scheduler that releases engines, so each entry cancels its own requests. */
static void cancel_baseline(const placement_t *p, const engine_cfg_t *engine)
{
    tc_err_t err = {0};
    if (p->policy <= POLICY_LEAST_LOADED && engine->url[0])
        (void)engine_cancel(engine->name, engine->url, p->engine_id, CANCEL_TIMEOUT_MS, &err);
}

/** Ends an attempt that did not complete the answer. @param failed name of the engine that failed, or "" */
static void abort_attempt(attempt_t *at, const char *failed)
{
    completion_t *const completion = at->completion;
    counter_add(&c_dropped, at->unused_prefill_tokens);
    /* Before the report: the scheduler forgets the attempt with it, and answers a list that still names the attempt
     * with "lost", which ends the request instead of this attempt. */
    const held_t none = {.phase = PHASE_QUEUED};
    inflight_update(&completion->entry->inflight, &completion->inflight, &none);
    placer_report_progress(completion->entry, completion->request->id, &at->placement, PHASE_FAILED, 0, NULL, failed,
                           true);
    cancel_baseline(&at->placement, &at->placement.prefill);
    cancel_baseline(&at->placement, &at->placement.decode);
}

static void log_attempt_error(const attempt_t *at, const char *event)
{
    log_line_t line;
    log_begin(&line, LOG_WARN, event);
    log_str(&line, "request", at->completion->request->id);
    log_int(&line, "attempt", at->placement.attempt);
    log_err(&line, &at->completion->err);
    log_end(&line);
}

/** Whether the caller has disconnected or another entry owns the request now. */
static bool is_abandoned(const completion_t *completion)
{
    return completion->caller.http.broken || atomic_load(&completion->inflight.lost);
}

/* ===== Decode ===== */

static void on_first_token(attempt_t *at)
{
    at->token_seen = true;
    at->unused_prefill_tokens = 0; /* the decode engine has used the prefill result */
    update_phase(at, PHASE_DECODE);
    placer_report_progress(at->completion->entry, at->completion->request->id, &at->placement, PHASE_DECODE, 0, NULL,
                           "", false);
}

static bool on_tokens(void *arg, uint32_t position, const char *text, const char *finish)
{
    run_reader_t *const run_reader = arg;
    completion_t *const completion = run_reader->at->completion;
    if (!run_reader->at->token_seen)
        on_first_token(run_reader->at);
    if (run_reader->at->placement.policy >= POLICY_SHARE)
        entry_wait_verified(completion->entry);
    if (atomic_load(&completion->inflight.lost))
        return false;
    counter_add(&c_tokens, position - run_reader->cursor.position);
    run_reader->rc = caller_send_tokens(&completion->caller, &run_reader->cursor, position, text, finish);
    return run_reader->rc == TC_OK && !atomic_load(&completion->inflight.lost);
}

static bool on_reader_idle(void *arg)
{
    const run_reader_t *const run_reader = arg;
    return on_idle(run_reader->at->completion);
}

static engine_reader_t make_engine_reader(run_reader_t *run_reader, tc_time_t timeout)
{
    return (engine_reader_t){.on_token = on_tokens,
                             .on_idle = on_reader_idle,
                             .arg = run_reader,
                             .first_token_timeout = timeout,
                             .next_token_timeout = TOKEN_GAP_TIMEOUT_MS};
}

/** Resumes a stream whose connection broke: the engine keeps it, and reading continues after the last token of this
 * run, which may be behind what the caller has. Stops when a connection delivers no token. */
static int resume_broken_stream(run_reader_t *run_reader, int rc, tc_time_t timeout)
{
    attempt_t *const at = run_reader->at;
    const engine_request_t request = engine_request(at, &at->placement.decode);
    const engine_reader_t reader = make_engine_reader(run_reader, timeout);
    for (uint32_t before = 0;
         rc == TC_E_BROKEN && run_reader->cursor.position > before && !is_abandoned(at->completion);) {
        before = run_reader->cursor.position;
        rc = engine_resume(&request, before, &reader, &at->completion->err);
    }
    return rc;
}

/** Reads a run from its start to its end. @param prefill NULL when the run already exists on the engine */
static int read_run(attempt_t *at, const engine_prefill_t *prefill, tc_time_t timeout)
{
    run_reader_t run_reader = {.at = at, .rc = TC_OK};
    const engine_request_t request = engine_request(at, &at->placement.decode);
    const engine_reader_t reader = make_engine_reader(&run_reader, timeout);
    tc_err_t *const err = &at->completion->err;
    int rc = prefill ? engine_decode(&request, prefill->kv, &reader, err) : engine_resume(&request, 0, &reader, err);
    rc = resume_broken_stream(&run_reader, rc, timeout);
    at->tokens_differ = run_reader.rc == TC_E_CONFLICT;
    if (at->tokens_differ)
        return tc_err_set(err, TC_E_CONFLICT, "decode", at->placement.decode.name,
                          "a second run gave other tokens than the first: the answer cannot be continued");
    if (rc == TC_OK && !caller_is_complete(&at->completion->caller, &run_reader.cursor))
        return tc_err_set(err, TC_E_INVALID, "decode", at->placement.decode.name,
                          "the stream ended without the answer's last token");
    return rc;
}

/** Next step after a decode run that ended with @p rc. */
static next_t next_after_decode(const attempt_t *at, int rc)
{
    if (rc == TC_OK)
        return NEXT_DONE;
    return at->tokens_differ || is_abandoned(at->completion) || !at->completion->request->repeatable ? NEXT_FAIL
                                                                                                     : NEXT_RETRY;
}

/** Whether another decode engine may be tried with the same prefill result: no token has arrived, and a request that
 * must not run twice has not reached the first engine. */
static bool may_replan(const attempt_t *at, int rc)
{
    if (at->token_seen || is_abandoned(at->completion) || rc == TC_E_CONFLICT)
        return false;
    return rc == TC_E_UNREACHABLE || (at->completion->request->repeatable && (rc == TC_E_STALLED || rc == TC_E_FULL ||
                                                                              rc == TC_E_REFUSED || rc == TC_E_BROKEN));
}

static tc_time_t first_token_timeout(const attempt_t *at)
{
    if (at->placement.policy <= POLICY_LEAST_LOADED)
        return BASELINE_FIRST_TOKEN_TIMEOUT_MS;
    const tc_time_t since = tc_time_now() - at->begin;
    const tc_time_t estimate = at->placement.est_ttft_ms > since ? at->placement.est_ttft_ms : 0;
    return HANDOVER_TIMEOUT_BASE_MS + estimate / 2;
}

static next_t decode(attempt_t *at, const engine_prefill_t *prefill)
{
    completion_t *const completion = at->completion;
    int rc = read_run(at, prefill, first_token_timeout(at));
    for (int replans = 0; rc < 0 && replans < REPLANS_MAX && may_replan(at, rc); replans++) {
        log_attempt_error(at, "handover_failed");
        const placer_request_t request = placer_request(completion);
        const placement_t previous = at->placement;
        tc_err_t refused; /* discarded: the attempt reports the engine's error, not the refusal of a replan */
        if (placer_replan(completion->entry, &request, &at->placement, &refused) < 0)
            break;
        counter_add(&c_replans, 1);
        /* The previous engine knows the run by the engine id of the previous placement. */
        cancel_baseline(&previous, &previous.decode);
        update_phase(at, PHASE_TRANSFER);
        rc = read_run(at, prefill, first_token_timeout(at));
    }
    return next_after_decode(at, rc);
}

/* ===== One attempt ===== */

static next_t run_resumed_attempt(attempt_t *at)
{
    at->completion->maybe_started = true;
    update_phase(at, PHASE_DECODE);
    /* Reads from the start to compare the run with what the caller has; tokens that it has are not sent again. */
    return next_after_decode(at, read_run(at, NULL, HANDOVER_TIMEOUT_BASE_MS));
}

static next_t prefill_failed(attempt_t *at, int rc)
{
    log_attempt_error(at, "prefill_failed");
    if (is_abandoned(at->completion))
        return NEXT_FAIL;
    const bool not_started = rc == TC_E_UNREACHABLE || rc == TC_E_FULL;
    return not_started || at->completion->request->repeatable ? NEXT_RETRY : NEXT_FAIL;
}

static next_t run_new_attempt(attempt_t *at)
{
    completion_t *const completion = at->completion;
    update_phase(at, PHASE_PREFILL);
    const engine_request_t request = engine_request(at, &at->placement.prefill);
    engine_prefill_t prefill = {0};
    const tc_time_t begin = tc_time_now();
    const tc_time_t remaining = at->due > begin ? at->due - begin : 0;
    const int rc =
        engine_prefill(&request, remaining + PREFILL_GRACE_MS, on_idle, completion, &prefill, &completion->err);
    completion->maybe_started = completion->maybe_started || (rc != TC_E_UNREACHABLE && rc != TC_E_FULL);
    if (rc < 0)
        return prefill_failed(at, rc);
    completion->prompt_tokens = prefill.prompt_tokens;
    at->unused_prefill_tokens = prefill.computed_tokens;
    update_phase(at, PHASE_TRANSFER);
    placer_report_progress(completion->entry, completion->request->id, &at->placement, PHASE_TRANSFER,
                           (uint32_t)(tc_time_now() - begin), &prefill, "", false);
    const next_t next = decode(at, &prefill);
    json_decref(prefill.kv);
    return next;
}

/** Engine that the last error names, or "". The next attempt avoids it. */
static const char *failed_engine(const attempt_t *at)
{
    const completion_t *const completion = at->completion;
    const bool engine = strcmp(completion->err.peer, at->placement.prefill.name) == 0 ||
                        strcmp(completion->err.peer, at->placement.decode.name) == 0;
    return engine && !is_abandoned(completion) ? completion->err.peer : "";
}

static int place(attempt_t *at)
{
    completion_t *const completion = at->completion;
    const placer_request_t request = placer_request(completion);
    const gint64 begin = g_get_monotonic_time();
    const int rc = placer_place(completion->entry, &request, completion->avoid, at->due, on_idle, completion,
                                &at->placement, &completion->err);
    const int64_t waited = g_get_monotonic_time() - begin;
    counter_add(&c_place_us, waited);
    if (completion->attempts == 0)
        completion->place_us = waited;
    completion->retry_after_ms = at->placement.retry_after_ms;
    return rc;
}

/** Each attempt has the full time to its first token. A retry counts it from its own start. */
static attempt_t begin_attempt(completion_t *completion)
{
    const caller_request_t *const r = completion->request;
    const tc_time_t begin = completion->attempts == 0 ? r->arrived : tc_time_now();
    return (attempt_t){.completion = completion, .begin = begin, .due = begin + (r->due - r->arrived)};
}

static next_t attempt(completion_t *completion)
{
    attempt_t at = begin_attempt(completion);
    if (place(&at) < 0)
        return NEXT_FAIL;
    if (completion->attempts++ > 0)
        counter_add(&c_retries, 1);
    const next_t next = at.placement.resume ? run_resumed_attempt(&at) : run_new_attempt(&at);
    if (next == NEXT_DONE) {
        placer_report_progress(completion->entry, completion->request->id, &at.placement, PHASE_FINISHED, 0, NULL, "",
                               false);
        return next;
    }
    codec_copy_string(completion->avoid, sizeof(completion->avoid), failed_engine(&at));
    abort_attempt(&at, completion->avoid);
    return next;
}

/* ===== The whole request ===== */

static request_outcome_t failure_outcome(const completion_t *completion)
{
    if (is_abandoned(completion))
        return OUTCOME_CANCELLED;
    /* Guarantees that "not run" is reported only if no back end can have started. A resent request may have started
     * through another entry, which may no longer exist. */
    return completion->maybe_started || completion->caller.n_tokens > 0 || completion->request->resend
               ? OUTCOME_UNKNOWN
               : OUTCOME_NOT_RUN;
}

/** Claims the id of a request that must not run twice. @return OUTCOME_OK, or the outcome of the request */
static request_outcome_t claim(completion_t *completion)
{
    msg_claim_ack_t ack = {0};
    if (completion->request->repeatable)
        return OUTCOME_OK;
    const int rc = control_client_claim(completion->entry->control, completion->request->id, CLAIM_TIMEOUT_MS, &ack,
                                        &completion->err);
    completion->claimed = rc == TC_OK;
    if (rc == TC_OK)
        return OUTCOME_OK;
    /* Conflict: another claim exists, so the request may run or have run. Otherwise this box has sent nothing, so the
     * request has not run here. */
    return rc == TC_E_CONFLICT ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
}

static void finish_claim(const completion_t *completion, request_outcome_t outcome)
{
    if (completion->claimed)
        control_client_claim_end(completion->entry->control, completion->request->id,
                                 outcome == OUTCOME_NOT_RUN || !completion->maybe_started ? CLAIM_STATE_NOT_RUN
                                                                                          : CLAIM_STATE_DONE);
}

static void count_outcome(request_outcome_t outcome)
{
    switch (outcome) {
    case OUTCOME_OK: counter_add(&c_whole, 1); break;
    case OUTCOME_NOT_RUN: counter_add(&c_not_run, 1); break;
    case OUTCOME_CANCELLED: counter_add(&c_cancelled, 1); break;
    default: counter_add(&c_unknown, 1); break;
    }
}

static request_outcome_t run_attempts(completion_t *completion)
{
    const request_outcome_t claimed = claim(completion);
    if (claimed != OUTCOME_OK)
        return claimed;
    budget_earn(&completion->entry->budget);
    next_t next = attempt(completion);
    while (next == NEXT_RETRY && completion->attempts < ATTEMPTS_MAX && budget_spend(&completion->entry->budget))
        next = attempt(completion);
    return next == NEXT_DONE ? OUTCOME_OK : failure_outcome(completion);
}

static void finish(completion_t *completion, request_outcome_t outcome)
{
    finish_claim(completion, outcome);
    if (outcome == OUTCOME_OK)
        caller_finish(&completion->caller,
                      completion->prompt_tokens ? completion->prompt_tokens : completion->request->prompt_tokens);
    else
        caller_fail(&completion->caller, outcome, &completion->err, completion->retry_after_ms);
    count_outcome(outcome);
    log_line_t line;
    log_begin(&line, LOG_INFO, "answer");
    log_str(&line, "request", completion->request->id);
    log_str(&line, "end", caller_outcome_name(outcome));
    log_int(&line, "tokens", completion->caller.n_tokens);
    log_int(&line, "attempts", completion->attempts);
    log_int(&line, "place_us", completion->place_us);
    log_int(&line, "took_ms", tc_time_now() - completion->request->arrived);
    if (outcome != OUTCOME_OK)
        log_err(&line, &completion->err);
    log_end(&line);
}

static int serve(entry_t *entry, struct mg_connection *conn, const caller_request_t *request)
{
    completion_t *const completion = calloc(1, sizeof(*completion));
    if (!completion)
        abort();
    completion->entry = entry;
    completion->request = request;
    tc_err_set(&completion->err, TC_OK, "", NULL, "%s", "");
    caller_begin(&completion->caller, conn, request);
    codec_copy_string(completion->inflight.id, sizeof(completion->inflight.id), request->id);
    view_t *const view = view_acquire(&entry->view);
    const char *const cell = view_cell_for_model(view, request->model);
    codec_copy_string(completion->inflight.cell, sizeof(completion->inflight.cell), cell ? cell : "");
    view_release(view);
    completion->inflight.content_hash = request->content_hash;
    request_outcome_t outcome = OUTCOME_INVALID;
    if (inflight_add(&entry->inflight, &completion->inflight)) {
        outcome = run_attempts(completion);
        finish(completion, outcome);
        inflight_remove(&entry->inflight, &completion->inflight);
    } else {
        tc_err_set(&completion->err, TC_E_CONFLICT, "read request", "Idempotency-Key",
                   "the id belongs to another request");
        caller_fail(&completion->caller, outcome, &completion->err, 0);
    }
    caller_free(&completion->caller);
    free(completion);
    return outcome == OUTCOME_OK ? 200 : 503;
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
