#include "request/service.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend/availability.h"
#include "backend/http_client.h"
#include "common/counter.h"
#include "common/log.h"
#include "request/caller.h"
#include "request/control_client.h"

/* ===== Constants ===== */

enum {
    ATTEMPTS_MAX = 3,
    CLAIM_TIMEOUT_MS = 1200,
    EJECT_FIRST_MS = 1000, /* ejection after the first failure; doubles with each further one */
    EJECT_MAX_MS = 30000,
    INITIAL_LATENCY_MS = 20,
    ID_MAX = 64
};

/** Weight of a new sample in the moving average of the latency. */
static const double LATENCY_EWMA_WEIGHT = 0.1;

COUNTER_DEFINE(c_calls, "counter", "trackcove_service_calls_total", "Calls of plain services")
COUNTER_DEFINE(c_ejected, "counter", "trackcove_service_ejections_total",
               "Workers of plain services ejected after failures")
COUNTER_DEFINE(c_unknown, "counter", "trackcove_service_unknown_total", "Service calls whose outcome is unknown")

static const char PREFIX[] = "/v1/services/";

/* ===== Workers ===== */

/** Statistics of a worker, from the calls of this box. */
typedef struct {
    uint32_t outstanding;
    double latency_ms;
    uint32_t failures; /* consecutive */
    tc_time_t ejected_until;
    availability_t availability;
} worker_stats_t;

static pthread_mutex_t stats_lock = PTHREAD_MUTEX_INITIALIZER;
static GHashTable *stats_by_worker; /* worker name -> worker_stats_t */

/** Call with stats_lock held. */
static worker_stats_t *get_stats(const char *worker)
{
    if (!stats_by_worker)
        stats_by_worker = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    worker_stats_t *stats = g_hash_table_lookup(stats_by_worker, worker);
    if (!stats) {
        stats = g_new0(worker_stats_t, 1);
        stats->latency_ms = INITIAL_LATENCY_MS;
        g_hash_table_insert(stats_by_worker, g_strdup(worker), stats);
    }
    return stats;
}

/** Chooses the worker with the lowest expected time to answer: outstanding calls of this box times the average latency.
 */
static bool choose_worker(const view_t *view, const service_cfg_t *service, const char *avoid, worker_cfg_t *chosen)
{
    const tc_time_t now = tc_time_now();
    const worker_cfg_t *best = NULL;
    double best_cost = 0;
    pthread_mutex_lock(&stats_lock);
    for (int pass = 0; pass < 2 && !best; pass++) { /* the second pass includes ejected workers */
        for (uint32_t i = 0; i < service->workers_n; i++) {
            const worker_cfg_t *const w = &service->workers[i];
            const worker_stats_t *const stats = get_stats(w->name);
            if (view_is_leaving(view, w->name) || strcmp(w->name, avoid) == 0 ||
                !availability_accepts(&stats->availability, CALL_NEW_WORK, now) ||
                (pass == 0 && now < stats->ejected_until))
                continue;
            const double cost = (stats->outstanding + 1) * stats->latency_ms;
            if (best && cost >= best_cost)
                continue;
            best = w;
            best_cost = cost;
        }
    }
    if (best) {
        get_stats(best->name)->outstanding++;
        *chosen = *best;
    }
    pthread_mutex_unlock(&stats_lock);
    return best != NULL;
}

static void record_worker_result(const char *worker, bool ok, tc_time_t retry_after, tc_time_t took)
{
    pthread_mutex_lock(&stats_lock);
    worker_stats_t *const stats = get_stats(worker);
    const availability_notice_t notice = {.retry_after = retry_after};
    stats->outstanding--;
    if (availability_update(&stats->availability, &notice, tc_time_now()))
        availability_log(worker, &notice);
    if (ok) {
        stats->failures = 0;
        stats->latency_ms += LATENCY_EWMA_WEIGHT * ((double)took - stats->latency_ms);
    } else {
        const tc_time_t eject_ms = (tc_time_t)EJECT_FIRST_MS << (stats->failures < 5 ? stats->failures : 5);
        stats->failures++;
        stats->ejected_until = tc_time_now() + (eject_ms < EJECT_MAX_MS ? eject_ms : EJECT_MAX_MS);
        counter_add(&c_ejected, 1);
    }
    pthread_mutex_unlock(&stats_lock);
}

/* ===== One call ===== */

typedef struct {
    entry_t *entry;
    struct mg_connection *conn;
    view_t *view;
    const service_cfg_t *service;
    char id[CODEC_STR_SIZE];
    bool repeatable, claimed, maybe_started;
    char *body;
    size_t body_size;
    http_result_t result;
    tc_err_t err;
} call_t;

static void log_worker_choice(const call_t *call, const char *worker)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "service_call");
    log_str(&line, "request", call->id);
    log_str(&line, "service", call->service->name);
    log_str(&line, "worker", worker);
    log_str(&line, "reason", "lowest outstanding calls times latency");
    log_end(&line);
}

static int call_worker(call_t *call, const worker_cfg_t *worker)
{
    const struct mg_request_info *const info = mg_get_request_info(call->conn);
    const char *const path = strchr(info->local_uri + sizeof(PREFIX) - 1, '/');
    char url[CODEC_PATH_SIZE * 4], id_header[CODEC_STR_SIZE + 32];
    snprintf(url, sizeof(url), "%s%s%s%s", worker->url, path ? path : "/", info->query_string ? "?" : "",
             info->query_string ? info->query_string : "");
    snprintf(id_header, sizeof(id_header), "Idempotency-Key: %s", call->id);
    const char *const headers[] = {id_header, NULL};
    const http_call_t http = {.url = url,
                              .method = info->request_method,
                              .body = call->body_size ? call->body : NULL,
                              .body_size = call->body_size,
                              .headers = headers,
                              .timeout = call->service->timeout_ms,
                              .peer = worker->name,
                              .step = "service call",
                              .no_resend = true};
    log_worker_choice(call, worker->name);
    const tc_time_t begin = tc_time_now();
    const int rc = http_call(&http, &call->result, &call->err);
    const bool answered = rc == TC_OK || rc == TC_E_REFUSED;
    record_worker_result(worker->name, answered, call->result.retry_after, tc_time_now() - begin);
    call->maybe_started = call->maybe_started || rc != TC_E_UNREACHABLE;
    return answered ? TC_OK : rc;
}

/** Tries workers until one answers or no further attempt is allowed. */
static int try_workers(call_t *call)
{
    char avoid[CODEC_STR_SIZE] = "";
    int rc = tc_err_set(&call->err, TC_E_UNREACHABLE, "choose worker", call->service->name, "no worker is left");
    for (int attempts = 0; attempts < ATTEMPTS_MAX; attempts++) {
        worker_cfg_t worker;
        if (attempts > 0 && !budget_spend(&call->entry->budget))
            break;
        if (!choose_worker(call->view, call->service, avoid, &worker))
            break;
        free(call->result.body);
        rc = call_worker(call, &worker);
        if (rc == TC_OK)
            return rc;
        /* Guarantees that a call that must not be repeated is resent only if no worker has received a byte of it. */
        if (!call->repeatable && rc != TC_E_UNREACHABLE)
            return rc;
        codec_copy_string(avoid, sizeof(avoid), worker.name);
    }
    return rc;
}

static request_outcome_t run(call_t *call)
{
    budget_earn(&call->entry->budget);
    if (!call->repeatable) {
        msg_claim_ack_t ack = {0};
        const int rc = control_client_claim(call->entry->control, call->id, CLAIM_TIMEOUT_MS, &ack, &call->err);
        if (rc == TC_E_CONFLICT)
            return OUTCOME_UNKNOWN;
        if (rc < 0)
            return OUTCOME_NOT_RUN;
        call->claimed = true;
    }
    const int rc = try_workers(call);
    const request_outcome_t outcome =
        rc == TC_OK ? OUTCOME_OK : (call->maybe_started ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN);
    if (call->claimed)
        control_client_claim_end(call->entry->control, call->id,
                                 call->maybe_started ? CLAIM_STATE_DONE : CLAIM_STATE_NOT_RUN);
    return outcome;
}

/* ===== The caller's side ===== */

static int send_answer(call_t *call, request_outcome_t outcome)
{
    enum { RETRY_AFTER_MS = 1000 };
    if (outcome == OUTCOME_OK)
        return http_send_text(call->conn, call->result.status, "application/json",
                              call->result.body ? call->result.body : "");
    if (outcome == OUTCOME_UNKNOWN)
        counter_add(&c_unknown, 1);
    log_failure(LOG_WARN, "service_failed", &call->err);
    return caller_refuse(call->conn, outcome, &call->err, outcome == OUTCOME_NOT_RUN ? RETRY_AFTER_MS : 0);
}

static bool read_id(call_t *call)
{
    const char *const id = http_header(call->conn, "Idempotency-Key");
    if (strlen(id) > ID_MAX)
        return false;
    codec_copy_string(call->id, sizeof(call->id), id);
    if (call->id[0])
        return true;
    unsigned char random[12];
    randombytes_buf(random, sizeof(random));
    sodium_bin2hex(call->id, sizeof(call->id), random, sizeof(random));
    return true;
}

static int serve(call_t *call)
{
    char name[CODEC_STR_SIZE] = "";
    const char *const rest = mg_get_request_info(call->conn)->local_uri + sizeof(PREFIX) - 1;
    snprintf(name, sizeof(name), "%.*s", (int)strcspn(rest, "/"), rest);
    call->service = view_service(call->view, name);
    if (!call->service || !read_id(call)) {
        tc_err_set(&call->err, TC_E_INVALID, "read request", name, "%s",
                   call->service ? "Idempotency-Key is too long" : "no such service");
        return caller_refuse(call->conn, OUTCOME_INVALID, &call->err, 0);
    }
    call->repeatable =
        call->service->repeatable && strcmp(http_header(call->conn, "X-Trackcove-Repeatable"), "no") != 0;
    call->body = http_read_body(call->conn, call->entry->settings->max_body_bytes, &call->body_size, &call->err);
    if (!call->body)
        return caller_refuse(call->conn, OUTCOME_INVALID, &call->err, 0);
    return send_answer(call, run(call));
}

int service_serve(entry_t *entry, struct mg_connection *conn)
{
    counter_add(&c_calls, 1);
    call_t call = {.entry = entry, .conn = conn, .view = view_acquire(&entry->view)};
    const int status = serve(&call);
    view_release(call.view);
    free(call.result.body);
    free(call.body);
    return status;
}
