#include "request/scheduler.h"

#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#include "backend/engine.h"
#include "common/counter.h"
#include "common/log.h"

/* ===== Constants ===== */

enum {
    TICK_MS = 20,
    POLL_INTERVAL_MS = 1000, /* interval between polls of an engine's state */
    POLL_JITTER_MS = 100,    /* keeps polls of a cell's engines from synchronising */
    POLL_TIMEOUT_MS = 900,
    CANCEL_TIMEOUT_MS = 800
};

COUNTER_DEFINE(c_granted, "counter", "trackcove_sched_granted_total", "Placements granted")
COUNTER_DEFINE(c_refused, "counter", "trackcove_sched_refused_total", "Placements refused")
COUNTER_DEFINE(c_cancels, "counter", "trackcove_sched_cancels_total", "Cancels sent to engines")
COUNTER_DEFINE(c_hosted, "gauge", "trackcove_sched_cells_hosted", "Cells scheduled by this box")
COUNTER_DEFINE(c_cpu_us, "counter", "trackcove_sched_core_us_total", "Time spent in scheduler cores, us")

/* ===== Types ===== */

/** Polling state of one engine. */
typedef struct {
    char name[CODEC_STR_SIZE];
    bool pending;
    tc_time_t next;
} poll_t;

typedef struct {
    struct cds_list_head node;
    char cell[CODEC_STR_SIZE];
    uint64_t epoch;
    bool share; /* this box's share under policy "share", not a leased cell */
    tc_time_t until;
    bool suspended; /* the lease has expired: no action until it is extended or granted to another box */
    sched_t *core;
    GArray *polls; /* poll_t */
} hosted_cell_t;

struct scheduler {
    entry_t *entry;
    struct cds_list_head hosted;
    bool released;
};

/* ===== Hosting ===== */

static hosted_cell_t *find_hosted(const scheduler_t *s, const char *cell, uint64_t epoch)
{
    hosted_cell_t *h;
    cds_list_for_each_entry(h, &s->hosted, node)
        if (strcmp(h->cell, cell) == 0 && h->epoch == epoch)
            return h;
    return NULL;
}

static void log_hosting(const hosted_cell_t *h, const char *event)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, event);
    log_str(&line, "cell", h->cell);
    log_int(&line, "epoch", (int64_t)h->epoch);
    log_end(&line);
}

static void reply_fenced(scheduler_t *s, peer_call_t call)
{
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_FENCED, "schedule", s->entry->settings->box, "this box does not hold that lease");
    peer_reply_error(s->entry->net, call, &err);
}

/** Rejects all waiting requests, so that their entries ask the next holder of the lease. */
static void reply_fenced_to_waiting(scheduler_t *s, hosted_cell_t *h)
{
    sched_token_t token;
    while (sched_pop_waiting(h->core, &token))
        reply_fenced(s, (peer_call_t){.connection = token.a, .call = token.b});
}

static void drop_hosted(scheduler_t *s, hosted_cell_t *h)
{
    reply_fenced_to_waiting(s, h);
    log_hosting(h, "cell_dropped");
    counter_add(&c_hosted, -1);
    cds_list_del(&h->node);
    sched_destroy(h->core);
    g_array_free(h->polls, TRUE);
    free(h);
}

static void configure_cell(const scheduler_t *s, hosted_cell_t *h, tc_time_t now)
{
    const view_t *const view = s->entry->view.current;
    if (h->share)
        sched_set_share_count(h->core, view->n_members);
    sched_expect_reports(h->core, view->n_members);
    sched_configure(h->core, view_config(view), now);
    GArray *const polls = g_array_new(FALSE, TRUE, sizeof(poll_t));
    for (uint32_t i = 0; i < view_config(view)->engines_n; i++) {
        const engine_cfg_t *const e = &view_config(view)->engines[i];
        if (strcmp(e->cell, h->cell) != 0)
            continue;
        /* Polls a new engine at once: the requests that it already holds must be known before anything is granted. */
        poll_t fresh = {.next = now};
        codec_copy_string(fresh.name, sizeof(fresh.name), e->name);
        for (guint k = 0; k < h->polls->len; k++) {
            const poll_t *const old = &g_array_index(h->polls, poll_t, k);
            if (strcmp(old->name, e->name) == 0)
                fresh = *old;
        }
        g_array_append_val(polls, fresh);
        sched_set_engine_leaving(h->core, e->name, view_is_leaving(view, e->name), now);
    }
    g_array_free(h->polls, TRUE);
    h->polls = polls;
}

static hosted_cell_t *host_cell(scheduler_t *s, const char *cell, uint64_t epoch, bool share)
{
    const tc_time_t now = tc_time_now();
    hosted_cell_t *const h = calloc(1, sizeof(*h));
    if (!h)
        abort();
    codec_copy_string(h->cell, sizeof(h->cell), cell);
    h->epoch = epoch;
    h->share = share;
    h->polls = g_array_new(FALSE, TRUE, sizeof(poll_t));
    const sched_options_t options = {.cell = cell, .epoch = epoch, .share_count = 1, .rebuild = !share};
    h->core = sched_create(&options, now);
    cds_list_add(&h->node, &s->hosted);
    counter_add(&c_hosted, 1);
    configure_cell(s, h, now);
    log_hosting(h, "cell_hosted");
    return h;
}

static void host_shares(scheduler_t *s)
{
    const view_t *const view = s->entry->view.current;
    for (uint32_t i = 0; i < view_config(view)->engines_n; i++) {
        const char *const cell = view_config(view)->engines[i].cell;
        if (view_config(view)->policy == POLICY_SHARE && !find_hosted(s, cell, SCHEDULER_SHARE_EPOCH))
            host_cell(s, cell, SCHEDULER_SHARE_EPOCH, true)->until = TC_TIME_NEVER;
    }
}

void scheduler_configure(scheduler_t *s)
{
    hosted_cell_t *h;
    cds_list_for_each_entry(h, &s->hosted, node)
        configure_cell(s, h, tc_time_now());
    host_shares(s);
}

/** Drops a cell that was leased again under another epoch, to another box or to this one. */
static void drop_superseded(scheduler_t *s, const cell_lease_t *cell)
{
    hosted_cell_t *h, *next;
    cds_list_for_each_entry_safe(h, next, &s->hosted, node) {
        if (!h->share && strcmp(h->cell, cell->cell) == 0 && h->epoch != cell->epoch)
            drop_hosted(s, h);
    }
}

static void extend_lease(const scheduler_t *s, hosted_cell_t *h, tc_time_t until)
{
    const tc_time_t now = tc_time_now();
    if (h->suspended && now < until) {
        /* The epoch is unchanged, so no other box held the cell meanwhile: the state here is still valid. */
        h->suspended = false;
        sched_resume(h->core, now);
        configure_cell(s, h, now);
        log_hosting(h, "cell_resumed");
    }
    h->until = until;
}

void scheduler_update_leases(scheduler_t *s, const cell_lease_t *cells, uint32_t n, tc_time_t until)
{
    if (s->released || view_config(s->entry->view.current)->policy != POLICY_CELL)
        return;
    for (uint32_t i = 0; i < n; i++) {
        drop_superseded(s, &cells[i]);
        const bool ours =
            strcmp(cells[i].box, s->entry->settings->box) == 0 && cells[i].incarnation == s->entry->incarnation;
        if (!ours)
            continue;
        hosted_cell_t *h = find_hosted(s, cells[i].cell, cells[i].epoch);
        if (!h)
            h = host_cell(s, cells[i].cell, cells[i].epoch, false);
        extend_lease(s, h, until);
    }
}

void scheduler_release(scheduler_t *s)
{
    s->released = true;
    hosted_cell_t *h, *next;
    cds_list_for_each_entry_safe(h, next, &s->hosted, node)
        if (!h->share)
            drop_hosted(s, h);
}

/* ===== Calls to engines ===== */

typedef struct {
    scheduler_t *scheduler;
    char cell[CODEC_STR_SIZE];
    uint64_t epoch;
    char engine[CODEC_STR_SIZE];
    char url[CODEC_PATH_SIZE];
    char engine_id[ENGINE_ID_SIZE]; /* set for a cancel */
    engine_state_t state;           /* result of a poll */
    int rc;
    tc_time_t started_at;
} engine_job_t;

static engine_job_t *make_job(scheduler_t *s, const hosted_cell_t *h, const char *engine)
{
    const engine_cfg_t *const cfg = view_engine(s->entry->view.current, engine);
    if (!cfg)
        return NULL;
    engine_job_t *const job = calloc(1, sizeof(*job));
    if (!job)
        abort();
    job->scheduler = s;
    job->epoch = h->epoch;
    job->started_at = tc_time_now();
    codec_copy_string(job->cell, sizeof(job->cell), h->cell);
    codec_copy_string(job->engine, sizeof(job->engine), engine);
    codec_copy_string(job->url, sizeof(job->url), cfg->url);
    return job;
}

static void run_actions(scheduler_t *s, hosted_cell_t *h);

static void on_cancelled(void *arg)
{
    engine_job_t *const job = arg;
    hosted_cell_t *const h = find_hosted(job->scheduler, job->cell, job->epoch);
    if (h) {
        sched_cancelled(h->core, job->engine, job->engine_id, job->rc == TC_OK, tc_time_now());
        run_actions(job->scheduler, h);
    }
    free(job);
}

static void run_cancel(void *arg)
{
    engine_job_t *const job = arg;
    tc_err_t err = {0};
    job->rc = engine_cancel(job->engine, job->url, job->engine_id, CANCEL_TIMEOUT_MS, &err);
    if (job->rc < 0)
        log_failure(LOG_WARN, "cancel_failed", &err);
    loop_post(job->scheduler->entry->loop, on_cancelled, job);
}

static poll_t *find_poll(const hosted_cell_t *h, const char *engine)
{
    for (guint i = 0; i < h->polls->len; i++)
        if (strcmp(g_array_index(h->polls, poll_t, i).name, engine) == 0)
            return &g_array_index(h->polls, poll_t, i);
    return NULL;
}

/** Whether the engine's role, model and version are those of the configuration. */
static bool matches_config(const scheduler_t *s, const engine_job_t *job)
{
    const engine_cfg_t *const cfg = view_engine(s->entry->view.current, job->engine);
    return cfg && !job->state.loading && strcmp(job->state.role, role_names[cfg->role]) == 0 &&
           strcmp(job->state.model, cfg->model) == 0 && strcmp(job->state.version, cfg->version) == 0;
}

static void on_polled(void *arg)
{
    engine_job_t *const job = arg;
    scheduler_t *const s = job->scheduler;
    hosted_cell_t *const h = find_hosted(s, job->cell, job->epoch);
    poll_t *const poll = h ? find_poll(h, job->engine) : NULL;
    const tc_time_t now = tc_time_now();
    if (poll) {
        poll->pending = false;
        poll->next = now + POLL_INTERVAL_MS + (tc_time_t)(g_random_int() % POLL_JITTER_MS);
    }
    if (h && job->rc == TC_OK) {
        sched_engine_request_t *const held = calloc(job->state.n_held + 1, sizeof(*held));
        if (!held)
            abort();
        for (uint32_t i = 0; i < job->state.n_held; i++) {
            codec_copy_string(held[i].engine_id, sizeof(held[i].engine_id), job->state.held[i].id);
            held[i].pieces = job->state.held[i].pieces;
        }
        sched_on_engine_state(h->core, job->engine, job->state.incarnation,
                              job->state.leaving || !matches_config(s, job), held, job->state.n_held, job->started_at,
                              now);
        free(held);
    } else if (h) {
        sched_on_engine_timeout(h->core, job->engine, now);
    }
    if (h)
        run_actions(s, h);
    engine_state_free(&job->state);
    free(job);
}

static void run_poll(void *arg)
{
    engine_job_t *const job = arg;
    tc_err_t err = {0};
    job->rc = engine_state(job->engine, job->url, POLL_TIMEOUT_MS, &job->state, &err);
    loop_post(job->scheduler->entry->loop, on_polled, job);
}

static void poll_engines(scheduler_t *s, const hosted_cell_t *h, tc_time_t now)
{
    for (guint i = 0; i < h->polls->len; i++) {
        poll_t *const poll = &g_array_index(h->polls, poll_t, i);
        engine_job_t *const job = !poll->pending && now >= poll->next ? make_job(s, h, poll->name) : NULL;
        if (!job)
            continue;
        poll->pending = true;
        entry_run_job(s->entry, run_poll, job);
    }
}

/* ===== Actions ===== */

static void log_decision(const hosted_cell_t *h, const char *id, const msg_placed_t *p)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, p->granted ? "placement" : "refusal");
    log_str(&line, "request", id);
    log_str(&line, "cell", h->cell);
    log_int(&line, "epoch", (int64_t)h->epoch);
    log_str(&line, "reason", p->reason);
    log_int(&line, "attempt", p->attempt);
    log_int(&line, "candidates", p->candidates);
    if (p->granted) {
        log_str(&line, "prefill", p->prefill);
        log_str(&line, "decode", p->decode);
        log_int(&line, "pieces", p->pieces);
        log_int(&line, "est_ttft_ms", p->est_ttft_ms);
        log_int(&line, "resume", p->resume);
    } else {
        log_int(&line, "retry_after_ms", p->retry_after_ms);
    }
    log_end(&line);
}

static void run_actions(scheduler_t *s, hosted_cell_t *h)
{
    sched_action_t action;
    if (h->suspended)
        return; /* deferred until the lease is extended, or dropped with the cell */
    while (sched_next_action(h->core, &action)) {
        if (action.kind == SCHED_ACT_ANSWER) {
            const peer_call_t call = {.connection = action.u.answer.token.a, .call = action.u.answer.token.b};
            counter_add(action.u.answer.placed.granted ? &c_granted : &c_refused, 1);
            log_decision(h, action.u.answer.id, &action.u.answer.placed);
            peer_reply(s->entry->net, call, MSG_PLACED, &action.u.answer.placed);
            continue;
        }
        engine_job_t *const job = make_job(s, h, action.u.cancel.engine);
        if (!job) { /* no longer configured: this cell does not release its requests any more */
            sched_cancelled(h->core, action.u.cancel.engine, action.u.cancel.engine_id, true, tc_time_now());
            continue;
        }
        counter_add(&c_cancels, 1);
        codec_copy_string(job->engine_id, sizeof(job->engine_id), action.u.cancel.engine_id);
        entry_run_job(s->entry, run_cancel, job);
    }
}

/* ===== Messages ===== */

/** The hosted cell, or NULL when this box does not hold a valid lease on it. */
static hosted_cell_t *find_active(scheduler_t *s, const char *cell, uint64_t epoch, tc_time_t now)
{
    hosted_cell_t *const h = find_hosted(s, cell, epoch);
    return h && now < h->until ? h : NULL;
}

static void on_renew(scheduler_t *s, hosted_cell_t *h, peer_call_t call, const msg_renew_t *renew, tc_time_t now)
{
    msg_renew_ack_t ack = {.epoch = h->epoch};
    ack.lost = calloc(renew->held_n + 1, sizeof(*ack.lost));
    if (!ack.lost)
        abort();
    ack.lost_n = sched_renew(h->core, renew, ack.lost, renew->held_n, &ack.want_list, now);
    peer_reply(s->entry->net, call, MSG_RENEW_ACK, &ack);
    codec_free(&msg_renew_ack_desc, &ack);
}

static void dispatch(scheduler_t *s, hosted_cell_t *h, peer_call_t call, uint32_t type, const void *message,
                     tc_time_t now)
{
    const sched_token_t token = {.a = call.connection, .b = call.call};
    switch (type) {
    case MSG_PLACE: sched_place(h->core, message, token, now); break;
    case MSG_REPLAN: sched_replan(h->core, message, token, now); break;
    case MSG_PROGRESS: sched_progress(h->core, message, now); break;
    default: on_renew(s, h, call, message, now); break;
    }
}

bool scheduler_handle_message(scheduler_t *s, peer_call_t call, uint32_t type, const void *message)
{
    const char *cell;
    uint64_t epoch;
    switch (type) {
    case MSG_PLACE:
        cell = ((const msg_place_t *)message)->cell;
        epoch = ((const msg_place_t *)message)->epoch;
        break;
    case MSG_REPLAN:
        cell = ((const msg_replan_t *)message)->cell;
        epoch = ((const msg_replan_t *)message)->epoch;
        break;
    case MSG_PROGRESS:
        cell = ((const msg_progress_t *)message)->cell;
        epoch = ((const msg_progress_t *)message)->epoch;
        break;
    case MSG_RENEW:
        cell = ((const msg_renew_t *)message)->cell;
        epoch = ((const msg_renew_t *)message)->epoch;
        break;
    default: return false;
    }
    const tc_time_t now = tc_time_now();
    const gint64 begin = g_get_monotonic_time();
    hosted_cell_t *const h = find_active(s, cell, epoch, now);
    if (h) {
        dispatch(s, h, call, type, message, now);
        counter_add(&c_cpu_us, g_get_monotonic_time() - begin);
        run_actions(s, h);
    } else {
        reply_fenced(s, call);
    }
    return true;
}

static void on_tick(void *arg)
{
    scheduler_t *const s = arg;
    const tc_time_t now = tc_time_now();
    hosted_cell_t *h;
    cds_list_for_each_entry(h, &s->hosted, node) {
        if (now >= h->until && !h->suspended) {
            h->suspended = true; /* another box may act for the cell from now on */
            reply_fenced_to_waiting(s, h);
            log_hosting(h, "cell_suspended");
        }
        if (h->suspended)
            continue;
        sched_tick(h->core, now);
        run_actions(s, h);
        poll_engines(s, h, now);
    }
}

/* ===== Status and creation ===== */

uint32_t scheduler_collect_loads(scheduler_t *s, cell_load_t **loads)
{
    uint32_t capacity = 0, n = 0;
    const hosted_cell_t *h;
    cds_list_for_each_entry(h, &s->hosted, node)
        capacity++;
    *loads = calloc(capacity + 1, sizeof(**loads));
    if (!*loads)
        abort();
    cds_list_for_each_entry(h, &s->hosted, node) {
        if (h->share)
            continue;
        const sched_stats_t stats = sched_stats(h->core);
        cell_load_t *const load = &(*loads)[n++];
        codec_copy_string(load->cell, sizeof(load->cell), h->cell);
        load->epoch = h->epoch;
        load->prefill_busy = stats.prefill_busy;
        load->decode_busy = stats.decode_busy;
        load->refused = stats.refused;
    }
    return n;
}

void scheduler_describe(scheduler_t *s, json_t *out)
{
    enum { VIEWS_MAX = 512 };
    sched_engine_view_t *const views = calloc(VIEWS_MAX, sizeof(*views));
    const hosted_cell_t *h;
    cds_list_for_each_entry(h, &s->hosted, node) {
        const sched_stats_t st = sched_stats(h->core);
        json_t *const engines = json_array();
        const uint32_t n = views ? sched_list_engines(h->core, views, VIEWS_MAX, tc_time_now()) : 0;
        for (uint32_t i = 0; i < n && i < VIEWS_MAX; i++)
            json_array_append_new(engines, json_pack("{s:s,s:s,s:i,s:i,s:i,s:i,s:f,s:b,s:b}", "name", views[i].name,
                                                     "role", role_names[views[i].role], "pieces", (int)views[i].pieces,
                                                     "reserved", (int)views[i].reserved, "batch", (int)views[i].batch,
                                                     "backlog_ms", (int)views[i].backlog_ms, "rate", views[i].rate,
                                                     "up", views[i].up, "leaving", views[i].leaving));
        json_array_append_new(out, json_pack("{s:s,s:I,s:b,s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:o}", "cell",
                                             h->cell, "epoch", (json_int_t)h->epoch, "share", h->share, "queued",
                                             (int)st.queued, "placed", (int)st.placed, "cancelling", (int)st.cancelling,
                                             "granted", (json_int_t)st.granted, "refused", (json_int_t)st.refused,
                                             "resumed", (json_int_t)st.resumed, "replanned", (json_int_t)st.replanned,
                                             "lapsed", (json_int_t)st.lapsed, "orphans", (json_int_t)st.orphans,
                                             "cache_predicted", (json_int_t)st.cache_predicted, "cache_actual",
                                             (json_int_t)st.cache_actual, "engines", engines));
    }
    free(views);
}

scheduler_t *scheduler_create(entry_t *entry)
{
    scheduler_t *const s = calloc(1, sizeof(*s));
    if (!s)
        abort();
    s->entry = entry;
    CDS_INIT_LIST_HEAD(&s->hosted);
    loop_add_tick(entry->loop, TICK_MS, on_tick, s);
    return s;
}
