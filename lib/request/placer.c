#include "request/placer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/log.h"
#include "request/reports.h"
#include "request/scheduler.h"
#include "sched/sched.h"

/* ===== Constants ===== */

enum {
    IDLE_INTERVAL_MS = 50,
    REPLAN_TIMEOUT_MS = 300, /* well below the time that engines hold a prefill result */
    REPLY_MARGIN_MS = 250,   /* the scheduler replies by the deadline; allows for the reply's network delay */
    RETRY_PAUSE_MS = 40      /* pause before the scheduler is looked up again */
};

/* ===== Waiting for the scheduler ===== */

/** A pending placement, shared by the waiting thread and the loop's thread. The last of the two frees it. */
typedef struct {
    entry_t *entry;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    bool done, abandoned;
    int rc;
    msg_placed_t placed;
    tc_err_t err;
    placement_t target; /* scheduler to which a late grant is returned */
    char id[CODEC_STR_SIZE];
} wait_t;

static void free_wait(wait_t *w)
{
    pthread_mutex_destroy(&w->lock);
    pthread_cond_destroy(&w->changed);
    free(w);
}

static void send_progress(entry_t *entry, const placement_t *p, const msg_progress_t *progress)
{
    if (p->scheduler[0])
        peer_send(entry->net, p->scheduler, MSG_PROGRESS, progress);
}

/** Releases a placement that the request's thread no longer waits for. @param attempt 0: it may still be queued */
static void release_placement(entry_t *entry, const char *id, const placement_t *target, uint32_t attempt)
{
    msg_progress_t progress = {.attempt = attempt, .phase = PHASE_FAILED, .epoch = target->epoch};
    codec_copy_string(progress.cell, sizeof(progress.cell), target->cell);
    codec_copy_string(progress.id, sizeof(progress.id), id);
    send_progress(entry, target, &progress);
}

static void on_placed(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    wait_t *const w = arg;
    pthread_mutex_lock(&w->lock);
    w->done = true;
    w->rc = rc;
    if (rc < 0)
        w->err = *err;
    else if (type == MSG_PLACED)
        w->placed = *(const msg_placed_t *)message;
    else
        w->rc = tc_err_set(&w->err, TC_E_INVALID, "place", w->target.scheduler, "unexpected reply");
    const bool abandoned = w->abandoned;
    pthread_cond_signal(&w->changed);
    pthread_mutex_unlock(&w->lock);
    if (!abandoned)
        return;
    if (w->rc == TC_OK && w->placed.granted)
        release_placement(w->entry, w->id, &w->target, w->placed.attempt);
    free_wait(w);
}

static wait_t *start_wait(entry_t *entry, const char *id, const placement_t *target)
{
    wait_t *const w = calloc(1, sizeof(*w));
    if (!w)
        abort();
    w->entry = entry;
    w->target = *target;
    codec_copy_string(w->id, sizeof(w->id), id);
    pthread_mutex_init(&w->lock, NULL);
    tc_cond_init(&w->changed);
    return w;
}

/** Whether the scheduler still holds its lease as far as this box knows. A partitioned box does not reply, so waiting
 * for it would last until the timeout. */
static bool lease_unchanged(entry_t *entry, const placement_t *target)
{
    if (target->policy != POLICY_CELL)
        return true;
    view_t *const view = view_acquire(&entry->view);
    const cell_lease_t *const cell = view_cell_lease(view, target->cell);
    const bool same = !cell || cell->epoch == target->epoch;
    view_release(view);
    return same;
}

/** Waits for the reply. Frees @p w, or leaves that to on_placed() when the wait is abandoned. */
static int finish_wait(wait_t *w, placer_idle_fn_t on_idle, void *arg, msg_placed_t *placed, tc_err_t *err)
{
    pthread_mutex_lock(&w->lock);
    while (!w->done) {
        tc_cond_wait_for(&w->changed, &w->lock, IDLE_INTERVAL_MS);
        if (w->done)
            break;
        pthread_mutex_unlock(&w->lock);
        const bool connected = !on_idle || on_idle(arg);
        const bool lease_valid = lease_unchanged(w->entry, &w->target);
        pthread_mutex_lock(&w->lock);
        if ((connected && lease_valid) || w->done)
            continue;
        w->abandoned = true;
        entry_t *const entry = w->entry;
        const placement_t target = w->target;
        char id[CODEC_STR_SIZE];
        codec_copy_string(id, sizeof(id), w->id);
        pthread_mutex_unlock(&w->lock);
        release_placement(entry, id, &target, 0); /* the request may still be queued */
        if (!connected)
            return tc_err_set(err, TC_E_CANCELLED, "place", target.scheduler, "the caller is gone");
        return tc_err_set(err, TC_E_FENCED, "place", target.scheduler, "another box has the cell now");
    }
    const int rc = w->rc;
    *placed = w->placed;
    *err = w->err;
    pthread_mutex_unlock(&w->lock);
    free_wait(w);
    return rc;
}

/* ===== Scheduled policies ===== */

/** Fills in the engines that the scheduler chose. */
static int apply_placement(entry_t *entry, const char *id, const msg_placed_t *placed, placement_t *p, tc_err_t *err)
{
    view_t *const view = view_acquire(&entry->view);
    const engine_cfg_t *const prefill = view_engine(view, placed->prefill);
    const engine_cfg_t *const decode = view_engine(view, placed->decode);
    const bool known = decode && (prefill || placed->resume);
    if (known) {
        p->decode = *decode;
        if (prefill)
            p->prefill = *prefill;
    }
    view_release(view);
    p->attempt = placed->attempt;
    p->pieces = placed->pieces;
    p->est_ttft_ms = placed->est_ttft_ms;
    p->resume = placed->resume;
    sched_engine_id(p->engine_id, sizeof(p->engine_id), id, p->attempt);
    if (known)
        return TC_OK;
    release_placement(entry, id, p, p->attempt); /* the configuration here is older than the scheduler's */
    return tc_err_set(err, TC_E_NOT_FOUND, "place", placed->decode, "engine is not in our configuration yet");
}

static int request_placement(entry_t *entry, const placer_request_t *r, const char *avoid, tc_time_t remaining,
                             placer_idle_fn_t on_idle, void *arg, placement_t *p, tc_err_t *err)
{
    msg_place_t place = {.epoch = p->epoch,
                         .prompt_tokens = r->prompt_tokens,
                         .max_tokens = r->max_tokens,
                         .priority = r->priority,
                         .wait_ms = (uint32_t)remaining,
                         .repeatable = r->repeatable,
                         .content = r->content_hash,
                         .chain = (uint64_t *)(uintptr_t)r->chain,
                         .chain_n = r->n_chain};
    codec_copy_string(place.cell, sizeof(place.cell), p->cell);
    codec_copy_string(place.id, sizeof(place.id), r->id);
    codec_copy_string(place.box, sizeof(place.box), entry->settings->box);
    codec_copy_string(place.model, sizeof(place.model), r->model);
    codec_copy_string(place.workspace, sizeof(place.workspace), r->workspace);
    codec_copy_string(place.avoid, sizeof(place.avoid), avoid);
    wait_t *const w = start_wait(entry, r->id, p);
    peer_call(entry->net, p->scheduler, MSG_PLACE, &place, remaining + REPLY_MARGIN_MS, on_placed, w);
    msg_placed_t placed = {0};
    TC_CHECK(finish_wait(w, on_idle, arg, &placed, err));
    if (placed.granted)
        return apply_placement(entry, r->id, &placed, p, err);
    p->retry_after_ms = placed.retry_after_ms;
    codec_copy_string(p->reason, sizeof(p->reason), placed.reason);
    return tc_err_set(err, TC_E_REFUSED, "place", p->scheduler, "%s", placed.reason);
}

/** Sets the scheduler to ask. @return false while no holder of the lease is known */
static bool find_scheduler(entry_t *entry, placement_t *p)
{
    if (p->policy == POLICY_SHARE) {
        codec_copy_string(p->scheduler, sizeof(p->scheduler), entry->settings->peer_listen);
        p->epoch = SCHEDULER_SHARE_EPOCH;
        return true;
    }
    view_t *const view = view_acquire(&entry->view);
    const cell_lease_t *const cell = view_cell_lease(view, p->cell);
    if (cell) {
        codec_copy_string(p->scheduler, sizeof(p->scheduler), cell->peer_addr);
        p->epoch = cell->epoch;
    }
    view_release(view);
    return cell != NULL;
}

static int place_scheduled(entry_t *entry, const placer_request_t *r, const char *avoid, tc_time_t due,
                           placer_idle_fn_t on_idle, void *arg, placement_t *p, tc_err_t *err)
{
    for (;;) {
        const tc_time_t remaining = due - tc_time_now();
        if (remaining <= 0) {
            p->retry_after_ms = 1000;
            codec_copy_string(p->reason, sizeof(p->reason), "no scheduler answered in time");
            return tc_err_set(err, TC_E_REFUSED, "place", p->cell, "%s", p->reason);
        }
        int rc = TC_E_NOT_FOUND;
        if (find_scheduler(entry, p))
            rc = request_placement(entry, r, avoid, remaining, on_idle, arg, p, err);
        /* Only a reply of the scheduler is final. After any other failure nothing was sent to an engine, so the next
         * scheduler may be asked. */
        if (rc == TC_OK || rc == TC_E_REFUSED || rc == TC_E_CANCELLED)
            return rc;
        if (on_idle && !on_idle(arg))
            return tc_err_set(err, TC_E_CANCELLED, "place", p->cell, "the caller is gone");
        tc_time_sleep(RETRY_PAUSE_MS);
    }
}

/* ===== Baselines ===== */

/** Load of an engine by its last report; lower is better. 0 without a report. */
static double load_score(entry_t *entry, const engine_cfg_t *e)
{
    engine_load_t load;
    if (!reports_get_load(entry->reports, e->name, &load))
        return 0;
    return e->role == ROLE_PREFILL ? load.queue : (double)load.queue * 1000 - load.pieces_free;
}

static const engine_cfg_t *choose_engine(entry_t *entry, const view_t *view, const char *model, role_t role,
                                         const char *avoid, bool by_load)
{
    const engine_cfg_t *best = NULL;
    double best_value = 0;
    for (uint32_t i = 0; i < view_config(view)->engines_n; i++) {
        const engine_cfg_t *const e = &view_config(view)->engines[i];
        if (e->role != role || strcmp(e->model, model) != 0 || strcmp(e->name, avoid) == 0 ||
            view_is_leaving(view, e->name))
            continue;
        const double value = (by_load ? load_score(entry, e) : 0) + g_random_double() * 0.5; /* breaks ties at random */
        if (best && value >= best_value)
            continue;
        best = e;
        best_value = value;
    }
    return best;
}

static int place_baseline(entry_t *entry, const placer_request_t *r, const char *avoid, placement_t *p, tc_err_t *err)
{
    static atomic_uint attempts;
    const bool by_load = p->policy == POLICY_LEAST_LOADED;
    view_t *const view = view_acquire(&entry->view);
    const engine_cfg_t *const prefill = choose_engine(entry, view, r->model, ROLE_PREFILL, avoid, by_load);
    const engine_cfg_t *const decode = choose_engine(entry, view, r->model, ROLE_DECODE, avoid, by_load);
    if (prefill && decode) {
        p->prefill = *prefill;
        p->decode = *decode;
    }
    view_release(view);
    if (!prefill || !decode)
        return tc_err_set(err, TC_E_REFUSED, "place", r->model, "no engine is left to choose");
    p->attempt = atomic_fetch_add(&attempts, 1) + 1;
    p->pieces = sched_pieces(r->prompt_tokens, r->max_tokens);
    sched_engine_id(p->engine_id, sizeof(p->engine_id), r->id, p->attempt);
    log_line_t line;
    log_begin(&line, LOG_INFO, "placement");
    log_str(&line, "request", r->id);
    log_str(&line, "reason", policy_names[p->policy]);
    log_str(&line, "prefill", p->prefill.name);
    log_str(&line, "decode", p->decode.name);
    log_end(&line);
    return TC_OK;
}

/* ===== Public functions ===== */

int placer_place(entry_t *entry, const placer_request_t *request, const char *avoid, tc_time_t due,
                 placer_idle_fn_t on_idle, void *arg, placement_t *placement, tc_err_t *err)
{
    memset(placement, 0, sizeof(*placement));
    view_t *const view = view_acquire(&entry->view);
    const char *const cell = view_cell_for_model(view, request->model);
    placement->policy = view_config(view)->policy;
    codec_copy_string(placement->cell, sizeof(placement->cell), cell ? cell : "");
    view_release(view);
    if (!cell)
        return tc_err_set(err, TC_E_NOT_FOUND, "place", request->model, "no engine serves this model");
    switch (placement->policy) {
    case POLICY_RANDOM:
    case POLICY_LEAST_LOADED: return place_baseline(entry, request, avoid, placement, err);
    case POLICY_SHARE:
    case POLICY_CELL: return place_scheduled(entry, request, avoid, due, on_idle, arg, placement, err);
    case POLICY_COUNT: break;
    }
    return tc_err_set(err, TC_E_INVALID, "place", NULL, "unknown policy");
}

static int replan_baseline(entry_t *entry, const placer_request_t *r, placement_t *p, tc_err_t *err)
{
    placement_t other = *p;
    TC_CHECK(place_baseline(entry, r, p->decode.name, &other, err));
    other.prefill = p->prefill;
    *p = other;
    return TC_OK;
}

int placer_replan(entry_t *entry, const placer_request_t *request, placement_t *placement, tc_err_t *err)
{
    if (placement->policy <= POLICY_LEAST_LOADED)
        return replan_baseline(entry, request, placement, err);
    msg_replan_t replan = {.attempt = placement->attempt, .epoch = placement->epoch};
    codec_copy_string(replan.cell, sizeof(replan.cell), placement->cell);
    codec_copy_string(replan.id, sizeof(replan.id), request->id);
    codec_copy_string(replan.bad, sizeof(replan.bad), placement->decode.name);
    wait_t *const w = start_wait(entry, request->id, placement);
    peer_call(entry->net, placement->scheduler, MSG_REPLAN, &replan, REPLAN_TIMEOUT_MS, on_placed, w);
    msg_placed_t placed = {0};
    TC_CHECK(finish_wait(w, NULL, NULL, &placed, err));
    if (!placed.granted)
        return tc_err_set(err, TC_E_REFUSED, "replan", placement->scheduler, "%s", placed.reason);
    return apply_placement(entry, request->id, &placed, placement, err);
}

void placer_report_progress(entry_t *entry, const char *id, const placement_t *placement, phase_t phase,
                            uint32_t took_ms, const engine_prefill_t *prefill, const char *failed_engine, bool held)
{
    if (placement->policy <= POLICY_LEAST_LOADED)
        return;
    msg_progress_t progress = {
        .attempt = placement->attempt, .phase = phase, .took_ms = took_ms, .held = held, .epoch = placement->epoch};
    if (prefill) {
        progress.computed_tokens = prefill->computed_tokens;
        progress.cached_tokens = prefill->cached_tokens;
    }
    codec_copy_string(progress.cell, sizeof(progress.cell), placement->cell);
    codec_copy_string(progress.id, sizeof(progress.id), id);
    codec_copy_string(progress.bad, sizeof(progress.bad), failed_engine);
    send_progress(entry, placement, &progress);
}
