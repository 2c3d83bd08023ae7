#include "request/entry.h"

#include <stdlib.h>
#include <string.h>

#include "backend/http_client.h"
#include "common/counter.h"
#include "common/log.h"
#include "control/members.h"
#include "request/control_client.h"
#include "request/reports.h"
#include "request/scheduler.h"
#include "sched/sched.h"

/* ===== Constants ===== */

enum {
    STALL_THRESHOLD_MS = 800, /* a loop that has not run for this long means that the process was suspended: shorter
                                 than the lease of a request, longer than any delay under load */
    WATCHDOG_TICK_MS = 50,
    VERIFY_TIMEOUT_MS = 3000,
    VERIFY_POLL_MS = 5,
    WORKER_THREADS = 16,
    DRAIN_TICK_MS = 50,
    RENEW_TIMEOUT_MS = 400,
    CLOSE_GRACE_MS = 300 /* least time from the start of closing connections to the release of the cells */
};

COUNTER_DEFINE(c_stood_still, "counter", "trackcove_entry_stood_still_total", "Times this process stood still for long")
COUNTER_DEFINE(c_renews, "counter", "trackcove_entry_renewals_total", "Renewals by count and digest")
COUNTER_DEFINE(c_renew_lists, "counter", "trackcove_entry_renewal_lists_total",
               "Renewals by list, when counts differed")
COUNTER_DEFINE(c_renew_lost, "counter", "trackcove_entry_requests_lost_total",
               "Requests the scheduler no longer counts as ours")

/* ===== Workers ===== */

static void run_job(gpointer data, gpointer user)
{
    (void)user;
    job_t *const job = data;
    job->run(job->arg);
    free(job);
}

void entry_run_job(entry_t *e, void (*run)(void *arg), void *arg)
{
    job_t *const job = malloc(sizeof(*job));
    if (!job)
        abort();
    *job = (job_t){.run = run, .arg = arg};
    g_thread_pool_push(e->workers, job, NULL);
}

/* ===== Lease renewal ===== */

/** A renewal that waits for its reply. */
typedef struct {
    entry_t *entry;
    char cell[CODEC_STR_SIZE];
    char addr[CODEC_STR_SIZE];
    uint64_t epoch;
    bool listed;
} renewal_t;

static void send_renewal(entry_t *e, const char *cell, const char *addr, uint64_t epoch, bool listed);

static void log_lost(const held_t *held)
{
    log_line_t line;
    log_begin(&line, LOG_WARN, "request_lost");
    log_str(&line, "request", held->id);
    log_int(&line, "attempt", held->attempt);
    log_end(&line);
}

static void on_renewed(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    renewal_t *const renewal = arg;
    (void)err;
    if (rc == TC_OK && type == MSG_RENEW_ACK) {
        const msg_renew_ack_t *const ack = message;
        for (uint32_t i = 0; i < ack->lost_n; i++) {
            counter_add(&c_renew_lost, 1);
            log_lost(&ack->lost[i]);
            inflight_mark_lost(&renewal->entry->inflight, ack->lost[i].id, ack->lost[i].attempt);
        }
        if (renewal->listed)
            atomic_store(&renewal->entry->verifying, false); /* lost requests have been marked */
        if (ack->want_list)
            send_renewal(renewal->entry, renewal->cell, renewal->addr, renewal->epoch, true);
    }
    free(renewal);
}

static void send_renewal(entry_t *e, const char *cell, const char *addr, uint64_t epoch, bool listed)
{
    msg_renew_t renew = {.incarnation = e->incarnation, .epoch = epoch, .listed = listed};
    codec_copy_string(renew.cell, sizeof(renew.cell), cell);
    codec_copy_string(renew.box, sizeof(renew.box), e->settings->box);
    inflight_digest(&e->inflight, cell, &renew.count, &renew.digest);
    if (listed)
        renew.held_n = inflight_collect(&e->inflight, cell, &renew.held);
    renewal_t *const renewal = calloc(1, sizeof(*renewal));
    if (!renewal)
        abort();
    renewal->entry = e;
    renewal->epoch = epoch;
    renewal->listed = listed;
    codec_copy_string(renewal->cell, sizeof(renewal->cell), cell);
    codec_copy_string(renewal->addr, sizeof(renewal->addr), addr);
    if (listed || atomic_load(&e->inflight.count) > 0) {
        counter_add(listed ? &c_renew_lists : &c_renews, 1);
        peer_call(e->net, addr, MSG_RENEW, &renew, RENEW_TIMEOUT_MS, on_renewed, renewal);
    } else {
        free(renewal);
    }
    free(renew.held);
}

static void send_renewals(entry_t *e, bool listed);

static void on_renew_tick(void *arg)
{
    entry_t *const e = arg;
    send_renewals(e, atomic_load(&e->verifying));
}

void entry_renew_now(entry_t *e)
{
    send_renewals(e, true);
}

static void send_renewals(entry_t *e, bool listed)
{
    const view_t *const view = e->view.current;
    if (view_config(view)->policy == POLICY_SHARE)
        for (uint32_t i = 0; i < view_config(view)->engines_n; i++) {
            const char *const cell = view_config(view)->engines[i].cell;
            if (i == 0 || strcmp(cell, view_config(view)->engines[i - 1].cell) != 0)
                send_renewal(e, cell, e->settings->peer_listen, SCHEDULER_SHARE_EPOCH, listed);
        }
    else if (view_config(view)->policy == POLICY_CELL)
        for (uint32_t i = 0; i < view->n_cells; i++)
            send_renewal(e, view->cells[i].cell, view->cells[i].peer_addr, view->cells[i].epoch, listed);
}

/* ===== Suspension of the process =====
 * A process that was suspended for longer than a lease resumes with answers in its buffers that another entry may have
 * sent in the meantime. No request may be answered twice, so no token is forwarded until the schedulers have confirmed
 * which requests this box still owns.
 */

static void on_watchdog_tick(void *arg)
{
    entry_t *const e = arg;
    const tc_time_t now = tc_time_now();
    if (now - atomic_load(&e->last_loop_run) > STALL_THRESHOLD_MS) {
        atomic_store(&e->verifying, atomic_load(&e->inflight.count) > 0);
        counter_add(&c_stood_still, 1);
        entry_renew_now(e);
    }
    atomic_store(&e->last_loop_run, now);
}

void entry_wait_verified(entry_t *e)
{
    const tc_time_t begin = tc_time_now();
    while (tc_time_now() - atomic_load(&e->last_loop_run) > STALL_THRESHOLD_MS || atomic_load(&e->verifying)) {
        if (tc_time_now() - begin > VERIFY_TIMEOUT_MS) {
            inflight_mark_all_lost(&e->inflight); /* not confirmed in time: other entries may own them */
            atomic_store(&e->verifying, false);
            return;
        }
        tc_time_sleep(VERIFY_POLL_MS);
    }
}

/* ===== Messages ===== */

static void on_message(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    entry_t *const e = arg;
    if (scheduler_handle_message(e->scheduler, call, type, message))
        return;
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_INVALID, "message", from, "an entry box does not take messages of type %u", type);
    peer_reply_error(e->net, call, &err);
}

/* ===== Planned stop ===== */

typedef struct {
    entry_t *entry;
    tc_time_t begin;
    bool closing, released;
    tc_time_t last_step_at;
} drain_t;

static drain_t drain; /* one per process */

static void on_drain_tick(void *arg)
{
    entry_t *const e = arg;
    if (!atomic_load(&e->draining))
        return;
    const tc_time_t now = tc_time_now();
    if (!drain.begin) {
        drain.begin = now;
        log_line_t line;
        log_begin(&line, LOG_INFO, "drain_begin");
        log_int(&line, "active", atomic_load(&e->active));
        log_end(&line);
    }
    /* Callers may still use a cached /v1/entries response: serve until it expires, plus two heartbeats. */
    const tc_time_t serve_until = drain.begin + e->settings->answer_keep_ms + 2 * MEMBERS_HEARTBEAT_MS;
    if (now < serve_until)
        return;
    if (!drain.closing) {
        drain.closing = true;
        drain.last_step_at = now;
        http_set_closing(true); /* each kept-alive connection closes after its next response */
    }
    const bool idle = atomic_load(&e->active) == 0 && now >= drain.last_step_at + CLOSE_GRACE_MS;
    const bool out_of_time = now >= drain.begin + e->settings->drain_limit_ms;
    if (!drain.released && (idle || out_of_time)) {
        drain.released = true;
        drain.last_step_at = now;
        scheduler_release(e->scheduler);
        control_client_release(e->control); /* the next heartbeat lets another box take over the cells at once */
        return;
    }
    if (drain.released && now >= drain.last_step_at + 2 * MEMBERS_HEARTBEAT_MS)
        loop_stop(e->loop);
}

void entry_drain(entry_t *e)
{
    atomic_store(&e->draining, true);
}

bool entry_may_serve(const entry_t *e)
{
    return tc_time_now() < atomic_load(&e->lease_until);
}

/* ===== Creation ===== */

entry_t *entry_create(loop_t *loop, const entry_settings_t *settings, tc_err_t *err)
{
    if (settings->control_n == 0) {
        tc_err_set(err, TC_E_INVALID, "read settings", "control", "at least one control box is needed");
        return NULL;
    }
    entry_t *const e = calloc(1, sizeof(*e));
    if (!e)
        abort();
    e->settings = settings;
    e->incarnation = (uint64_t)tc_time_wall();
    e->loop = loop;
    view_init(&e->view);
    inflight_init(&e->inflight);
    budget_init(&e->budget);
    http_client_init(settings->dc);
    const peer_options_t options = {.box = settings->box,
                                    .incarnation = e->incarnation,
                                    .listen = settings->peer_listen,
                                    .key_file = settings->cluster_key_file,
                                    .handler = on_message,
                                    .arg = e};
    e->net = peer_create(loop, &options, err);
    if (!e->net) {
        free(e);
        return NULL;
    }
    e->workers = g_thread_pool_new(run_job, NULL, WORKER_THREADS, FALSE, NULL);
    e->scheduler = scheduler_create(e);
    e->control = control_client_create(e);
    e->reports = reports_create(e);
    atomic_store(&e->last_loop_run, tc_time_now());
    loop_add_tick(loop, WATCHDOG_TICK_MS, on_watchdog_tick, e);
    loop_add_tick(loop, SCHED_RENEW_MS, on_renew_tick, e);
    loop_add_tick(loop, DRAIN_TICK_MS, on_drain_tick, e);
    return e;
}
