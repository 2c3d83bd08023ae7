#include "cluster/leader_sched.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "admission/returns.h"
#include "backend/version_history.h"
#include "cluster/cold.h"
#include "cluster/leader_engines.h"
#include "cluster/leader_log.h"
#include "cluster/leader_slots.h"
#include "cluster/leader_streams.h"
#include "common/counter.h"
#include "common/feature.h"
#include "common/log.h"
#include "common/retry_budget.h"
#include "lists/list.h"
#include "sched/sched.h"

COUNTER_DEFINE(c_over, "counter", "trackcove_placing_over_cap_total",
               "Requests refused since their workspace is over its usage cap")
COUNTER_DEFINE(c_limit_granted, "counter", "trackcove_limit_granted_total",
               "Requests to back ends with limits that the leader allowed a box")
COUNTER_DEFINE(c_limit_refused, "counter", "trackcove_limit_refused_total",
               "Requests to back ends with limits that the leader did not allow a box")

COUNTER_DEFINE(c_resends_lent, "counter", "trackcove_retry_resends_lent_total",
               "Further arrivals after a refusal that the leader lent for plain services")
COUNTER_DEFINE(c_reruns_lent, "counter", "trackcove_retry_reruns_lent_total",
               "Further arrivals after a failure or a lost answer that the leader lent for plain services")

/* ===== Constants ===== */

enum {
    /* Time in the queue after which a request may be prefilled by a decode engine. A decode engine prefills at less
     * than half the rate and slows down its streams, so only requests that have waited are sent there. */
    SOLO_AFTER_MS = 120,
    LOST_MAX = 256, /* lost requests in the answer to one renewal */
    /* Time for which the record of an admitted request is kept beyond the request's patience: it is answered at the
     * next tick, or once a lapsed lease is held again. An older record belongs to a request that was lost. */
    ADMISSION_MARGIN_MS = 2000,
    ADMISSION_SWEEP_MS = 1000, /* between two removals of such records */
    PICTURE_INTERVAL_MS = 1000 /* between log lines with the scheduler's view of the engines */
};

/* ===== Types ===== */

struct leader_sched {
    peer_net_t *net;
    sched_t *sched;          /* NULL while this box does not lead */
    returns_t *returns;      /* NULL while this box does not lead, or by settings */
    returns_stats_t counted; /* part of its stats that the counters hold */
    leader_quarantine_t quarantine;
    stream_versions_t *streams; /* borrowed, or NULL */
    version_history_t *versions;
    uint64_t term;
    bool lease_held;
    tc_time_t picture_at; /* time of the next log line with the scheduler's view */
    leader_sched_service_t *services;
    uint32_t services_n;
    backend_t *backends;
    uint32_t backends_n;
    evacuations_t evacuations;
    cold_rate_t *cold_rates;
    uint32_t cold_rates_n;
    cold_t *cold;
    retry_rules_t retries; /* the leader's part */
    GHashTable *budgets;   /* as retry_budgets_create. Emptied when this box stops leading: before it leads again,
                              another leader may have handed out the whole budget */
    limits_t *limits;      /* of back ends */
    leader_slots_t *slots; /* of plain back ends */
    cap_ledger_t *caps;
    GHashTable *admitted;        /* request id -> admission_t: admitted, but neither placed nor refused yet */
    tc_time_t admitted_swept_at; /* time of the last removal of expired admissions */
};

/** A request that was admitted under its workspace's usage cap. */
typedef struct {
    char workspace[CODEC_STR_SIZE];
    double units;
    tc_time_t at;
    tc_time_t until; /* the request is answered by then */
} admission_t;

/* ===== Limits of back ends ===== */

static void on_take_limit(leader_sched_t *l, peer_call_t call, const msg_take_limit_t *take, tc_time_t now)
{
    tc_time_t after;
    const bool granted = limits_acquire(l->limits, l->sched, take, now, &after);
    const msg_take_limit_ack_t ack = {.granted = granted, .after_ms = granted ? 0 : (uint32_t)after};
    counter_add(granted ? &c_limit_granted : &c_limit_refused, 1);
    log_line_t line;
    log_begin(&line, LOG_INFO, "limit_taken");
    log_str(&line, "request", take->id);
    log_str(&line, "backend", take->limit.backend);
    log_num(&line, "limit_s", take->limit.rate);
    log_int(&line, "cold", take->cold);
    log_int(&line, "granted", granted);
    log_int(&line, "after_ms", ack.after_ms);
    log_end(&line);
    peer_reply(l->net, call, MSG_TAKE_LIMIT_ACK, &ack);
}

/* ===== Configuration ===== */

static void configure(leader_sched_t *l, tc_time_t now)
{
    const leader_engines_source_t source = {.services = l->services,
                                            .services_n = l->services_n,
                                            .backends = l->backends,
                                            .backends_n = l->backends_n,
                                            .evacuations = &l->evacuations};
    if (l->sched)
        leader_engines_configure(l->sched, &source, now);
}

void leader_sched_set_quarantine(leader_sched_t *l, const leader_quarantine_t *tables)
{
    l->quarantine = *tables;
}

void leader_sched_set_streams(leader_sched_t *l, stream_versions_t *streams)
{
    l->streams = streams;
}

void leader_sched_set_services(leader_sched_t *l, const leader_sched_service_t *list, uint32_t n)
{
    free(l->services);
    l->services = list_copy(list, n * sizeof(*list));
    l->services_n = n;
    configure(l, tc_time_now());
}

/* ===== Cold back ends ===== */

static double find_cold_rate(const leader_sched_t *l, const char *service)
{
    for (uint32_t i = 0; i < l->cold_rates_n; i++)
        if (strcmp(l->cold_rates[i].service, service) == 0)
            return l->cold_rates[i].rate;
    return 0;
}

/** Sets the limits of the back ends that are cold now. */
static void configure_cold(leader_sched_t *l)
{
    GArray *const caps = g_array_new(FALSE, TRUE, sizeof(cap_cfg_t));
    for (uint32_t i = 0; i < l->backends_n && l->cold_rates_n > 0; i++) {
        const backend_t *const b = &l->backends[i];
        cap_cfg_t cap = {.rate = cold_is(l->cold, b) ? find_cold_rate(l, b->service) : 0};
        codec_copy_string(cap.name, sizeof(cap.name), b->id);
        if (cap.rate > 0)
            g_array_append_val(caps, cap);
    }
    limits_set_cold(l->limits, (const cap_cfg_t *)(const void *)caps->data, caps->len, tc_time_now());
    g_array_free(caps, TRUE);
}

void leader_sched_set_cold_rates(leader_sched_t *l, const cold_rate_t *list, uint32_t n)
{
    free(l->cold_rates);
    l->cold_rates = list_copy(list, n * sizeof(*list));
    l->cold_rates_n = n;
    configure_cold(l);
}

/* ===== Back ends ===== */

void leader_sched_confirm_backends(leader_sched_t *l, tc_time_t fetched)
{
    if (cold_update_list(l->cold, fetched))
        configure_cold(l);
}

void leader_sched_set_backends(leader_sched_t *l, const backend_t *list, uint32_t n, tc_time_t fetched)
{
    const bool same = l->backends_n == n && l->backends && memcmp(l->backends, list, n * sizeof(*list)) == 0;
    if (same) {
        leader_sched_confirm_backends(l, fetched);
        return;
    }
    free(l->backends);
    l->backends = list_copy(list, n * sizeof(*list));
    l->backends_n = n;
    version_history_set_list(l->versions, list, n, tc_time_now());
    limits_set_backends(l->limits, list, n, tc_time_now());
    (void)cold_update_list(l->cold, fetched);
    configure_cold(l);
    configure(l, tc_time_now());
    leader_slots_set_backends(l->slots, list, n, &l->evacuations, tc_time_now());
}

void leader_sched_set_evacuations(leader_sched_t *l, const evacuations_t *evacuations)
{
    cold_update_evacuations(l->cold, &l->evacuations, evacuations, tc_time_now());
    evacuations_copy(&l->evacuations, evacuations);
    configure_cold(l);
    configure(l, tc_time_now());
    leader_slots_set_backends(l->slots, l->backends, l->backends_n, &l->evacuations, tc_time_now());
}

/* ===== Load ===== */

const char *leader_sched_pool_load(const leader_sched_t *l, pool_load_t *load)
{
    if (!l->sched || l->services_n != 1)
        return ""; /* the scheduler's averages cover all engines: they are a service's only if there is just one */
    const sched_stats_t stats = sched_stats(l->sched);
    *load = (pool_load_t){
        .prefill = stats.prefill_load, .prefill_slow = stats.prefill_load_slow, .decode = stats.decode_load};
    return l->services[0].service;
}

admission_view_t *leader_sched_view(const leader_sched_t *l, bool held, tc_time_t now)
{
    if (!l->sched)
        return NULL;
    admission_view_t *const view = admission_view_create(held);
    for (uint32_t i = 0; i < l->services_n; i++)
        sched_view(l->sched, admission_view_add(view, l->services[i].service, ADMISSION_ENGINES), now);
    leader_slots_view(l->slots, view, now);
    return view;
}

bool leader_sched_accepts_calls(const leader_sched_t *l, const char *box, const char *engine, tc_time_t now)
{
    return !l->sched || sched_engine_accepts(l->sched, box, engine, now);
}

/* ===== Usage caps ===== */

void leader_sched_set_caps(leader_sched_t *l, const cap_cfg_t *list, uint32_t n)
{
    cap_ledger_configure(l->caps, list, n, tc_time_now());
}

void leader_sched_handle_report(leader_sched_t *l, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    if (!l->sched)
        return; /* the box reports its admissions again to the next leader */
    cap_ledger_apply_report(l->caps, report->self.box, report->self.incarnation, report->used, report->used_n, now);
    ack->caps = (cap_state_t *)(uintptr_t)cap_ledger_get_states(l->caps, &ack->caps_n, now);
    sched_set_notices(l->sched, report->self.box, report->notices, report->notices_n, now);
    limits_handle_report(l->limits, l->sched, report, ack, now);
    leader_slots_handle_report(l->slots, report, ack, now);
    ack->left_versions = version_history_list_left(l->versions, &ack->left_versions_n, now);
}

static void log_over_cap(const leader_sched_t *l, const msg_place_t *place, tc_time_t after, tc_time_t now)
{
    const cap_view_t view = cap_ledger_view(l->caps, place->cap, now);
    log_line_t line;
    log_begin(&line, LOG_INFO, "cap_refused");
    log_str(&line, "request", place->id);
    log_str(&line, "workspace", place->cap);
    log_int(&line, "units", (int64_t)place->cap_units);
    log_num(&line, "level", view.level);
    log_num(&line, "depth", view.depth);
    log_num(&line, "fills_units_s", view.rate);
    log_int(&line, "after_ms", after);
    log_end(&line);
}

/** Admits a request if its workspace is within its usage cap, else answers it. @return whether it is admitted */
static bool admit(leader_sched_t *l, peer_call_t call, const msg_place_t *place, tc_time_t now)
{
    if (place->cap_units == 0 || place->again)
        return true;
    tc_time_t after;
    if (cap_ledger_take(l->caps, place->cap, (double)place->cap_units, now, &after)) {
        admission_t *const entry = g_new0(admission_t, 1);
        const tc_time_t patience = place->patience_ms > 0 ? place->patience_ms : place->wait_ms; /* as the scheduler */
        *entry =
            (admission_t){.units = (double)place->cap_units, .at = now, .until = now + patience + ADMISSION_MARGIN_MS};
        codec_copy_string(entry->workspace, sizeof(entry->workspace), place->cap);
        g_hash_table_insert(l->admitted, g_strdup(place->id), entry);
        return true;
    }
    counter_add(&c_over, 1);
    log_over_cap(l, place, after, now);
    msg_placed_t placed = {.over_cap = true, .retry_after_ms = (uint32_t)after};
    codec_copy_string(placed.reason, sizeof(placed.reason), "its workspace is over its usage cap");
    peer_reply(l->net, call, MSG_PLACED, &placed);
    return false;
}

/** Handles the scheduler's answer to an admitted request: a refused one has not run, so its units are returned. */
static void settle_admission(leader_sched_t *l, const sched_answer_t *answer, tc_time_t now)
{
    const admission_t *const entry = answer->repeated ? NULL : g_hash_table_lookup(l->admitted, answer->id);
    if (!entry)
        return;
    if (!answer->placed.granted)
        cap_ledger_refund(l->caps, entry->workspace, entry->units, entry->at, now);
    g_hash_table_remove(l->admitted, answer->id);
}

static gboolean is_expired(gpointer id, gpointer value, gpointer arg)
{
    const tc_time_t *const now = arg;
    (void)id;
    return *now > ((const admission_t *)value)->until;
}

static void tick_caps(leader_sched_t *l, uint32_t boxes, tc_time_t now)
{
    cap_ledger_set_boxes(l->caps, boxes, now);
    cap_ledger_tick(l->caps, now);
    if (now - l->admitted_swept_at < ADMISSION_SWEEP_MS)
        return;
    l->admitted_swept_at = now;
    g_hash_table_foreach_remove(l->admitted, is_expired, &now);
}

/* ===== Returns ===== */

static void start_returns(leader_sched_t *l)
{
    l->returns = feature_is_enabled(FEATURE_RETURNS) ? returns_create() : NULL;
    l->counted = (returns_stats_t){0};
}

static void drop_sched(leader_sched_t *l)
{
    if (l->sched)
        sched_destroy(l->sched);
    returns_destroy(l->returns);
    l->sched = NULL;
    l->returns = NULL;
}

/* ===== Actions ===== */

/** Logs the scheduler's view once per second. */
static void log_view(leader_sched_t *l, tc_time_t now)
{
    if (now < l->picture_at)
        return;
    l->picture_at = now + PICTURE_INTERVAL_MS;
    if (l->returns) {
        returns_tick(l->returns, now);
        const returns_stats_t stats = returns_stats(l->returns);
        leader_log_count_returns(&stats, &l->counted);
        l->counted = stats;
    }
    leader_log_engines(l->sched, now);
}

static void run_actions(leader_sched_t *l, tc_time_t now)
{
    sched_action_t action;
    while (l->sched && sched_next_action(l->sched, &action)) {
        switch (action.kind) {
        case SCHED_ACT_ANSWER:
            settle_admission(l, &action.u.answer, now);
            if (!action.u.answer.repeated)
                leader_log_placed(l->sched, &action.u.answer, now);
            peer_reply(l->net, (peer_call_t){.connection = action.u.answer.token.a, .call = action.u.answer.token.b},
                       MSG_PLACED, &action.u.answer.placed);
            break;
        case SCHED_ACT_CANCEL:
            /* Entry boxes cancel requests by closing the connection to the engine, so there is nothing to send. */
            sched_cancelled(l->sched, action.u.cancel.engine, action.u.cancel.engine_id, true, now);
            break;
        }
    }
}

/* ===== Renewals ===== */

static void on_renew(leader_sched_t *l, peer_call_t call, const msg_renew_t *renew, tc_time_t now)
{
    held_t lost[LOST_MAX];
    msg_renew_ack_t ack = {.epoch = l->term, .lost = lost};
    ack.lost_n = sched_renew(l->sched, renew, lost, LOST_MAX, &ack.want_list, now);
    peer_reply(l->net, call, MSG_RENEW_ACK, &ack);
}

/* ===== Retry budget ===== */

enum { LEADERS = 1 }; /* only the leader spends its part of the budget */

/** Counts a request by its first message. */
static void count_request(leader_sched_t *l, uint32_t type, const void *message, tc_time_t now)
{
    const char *service = NULL;
    if (type == MSG_PLACE && !((const msg_place_t *)message)->again)
        service = ((const msg_place_t *)message)->model;
    if (type == MSG_SLOT_TAKE && !((const msg_slot_take_t *)message)->again)
        service = ((const msg_slot_take_t *)message)->service;
    if (service)
        retry_budget_add_request(retry_budgets_get(l->budgets, service, now), &l->retries, now);
}

/** Whether the listed back ends of the service are plain ones. */
static bool is_plain(const leader_sched_t *l, const char *service)
{
    for (uint32_t i = 0; i < l->backends_n; i++)
        if (strcmp(l->backends[i].service, service) == 0)
            return !l->backends[i].stage[0];
    return false;
}

/** Without the lease another leader may lend the same part of a plain service's budget. */
static bool lend_plain(const leader_sched_t *l, retry_budget_t *budget, retry_purpose_t purpose, tc_time_t now)
{
    if (!l->lease_held || !retry_budget_lend(budget, &l->retries, purpose, now))
        return false;
    counter_add(purpose == RETRY_PURPOSE_REFUSED ? &c_resends_lent : &c_reruns_lent, 1);
    return true;
}

static void on_retry(leader_sched_t *l, peer_call_t call, const msg_retry_t *retry, tc_time_t now)
{
    retry_budget_t *const budget = retry_budgets_get(l->budgets, retry->service, now);
    const retry_budget_view_t view = retry_budget_view(budget, &l->retries, LEADERS, now);
    const bool plain = is_plain(l, retry->service) && feature_is_enabled(FEATURE_RETRY_PURPOSE);
    const msg_retry_ack_t ack = {.granted = plain ? lend_plain(l, budget, retry->purpose, now)
                                                  : retry_budget_spend(budget, &l->retries, LEADERS, now)};
    log_line_t line;
    log_begin(&line, LOG_INFO, "retry_lent");
    log_str(&line, "request", retry->id);
    log_str(&line, "service", retry->service);
    log_str(&line, "purpose", retry_purpose_names[retry->purpose]);
    log_int(&line, "granted", ack.granted);
    log_int(&line, "window_requests", view.requests);
    log_int(&line, "window_extras", view.retries);
    log_int(&line, "window_refused", view.refused);
    log_num(&line, "window_limit", view.limit);
    log_end(&line);
    peer_reply(l->net, call, MSG_RETRY_ACK, &ack);
}

/* ===== Messages ===== */

static void refuse_call(const leader_sched_t *l, peer_call_t call, const char *why)
{
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_NOT_LEADER, "place", "", "%s", why);
    peer_reply_error(l->net, call, &err);
}

static void on_place(leader_sched_t *l, peer_call_t call, const msg_place_t *place, tc_time_t now)
{
    msg_place_t request = *place; /* shallow copy: its lists are borrowed */
    request.ends = leader_quarantine_count(&l->quarantine, place, now);
    if (request.ends >= QUARANTINE_CRASH_LIMIT) {
        leader_quarantine_refuse(l->net, call, place->id);
        return;
    }
    if (!l->backends) {
        refuse_call(l, call, "this box has no list of back ends yet"); /* boxes that have one place on their own */
        return;
    }
    if (!admit(l, call, place, now))
        return;
    sched_place(l->sched, &request, (sched_token_t){.a = call.connection, .b = call.call}, now);
}

static void on_progress(leader_sched_t *l, const msg_progress_t *progress, tc_time_t now)
{
    if (l->streams)
        stream_versions_add(l->streams, progress->stream, progress->version, now, now);
    sched_progress(l->sched, progress, now);
}

bool leader_sched_handles_type(uint32_t type)
{
    return type == MSG_PLACE || type == MSG_REPLAN || type == MSG_PROGRESS || type == MSG_RENEW || type == MSG_RETRY ||
           type == MSG_TAKE_LIMIT || type == MSG_STREAM_FIND || type == MSG_TRIAL_TAKE ||
           leader_slots_handles_type(type);
}

void leader_sched_handle_message(leader_sched_t *l, peer_call_t call, uint32_t type, const void *message, tc_time_t now)
{
    const sched_token_t token = {.a = call.connection, .b = call.call};
    if (l->sched)
        count_request(l, type, message, now);
    if (!l->sched) {
        refuse_call(l, call, "this box does not lead");
        return;
    }
    if (leader_slots_handles_type(type)) {
        leader_slots_handle_message(l->slots, call, type, message, now);
        return;
    }
    switch (type) {
    case MSG_PLACE: on_place(l, call, message, now); break;
    case MSG_RETRY: on_retry(l, call, message, now); break;
    case MSG_TRIAL_TAKE: leader_quarantine_answer_trial(&l->quarantine, l->net, call, message, now); break;
    case MSG_TAKE_LIMIT: on_take_limit(l, call, message, now); break;
    case MSG_STREAM_FIND: leader_streams_answer(l->streams, l->net, call, message, now); break;
    case MSG_REPLAN: sched_replan(l->sched, message, token, now); break;
    case MSG_PROGRESS: on_progress(l, message, now); break;
    default: on_renew(l, call, message, now); break;
    }
    run_actions(l, now);
}

bool leader_sched_needs_reconcile(const leader_sched_t *l, tc_time_t now)
{
    return l->sched && sched_needs_reconcile(l->sched, now);
}

void leader_sched_update_engine(leader_sched_t *l, const char *engine, const sched_engine_request_t *held, uint32_t n,
                                tc_time_t now)
{
    if (!l->sched)
        return;
    sched_set_engine_requests(l->sched, engine, held, n, now);
    run_actions(l, now);
}

/* ===== Life ===== */

void leader_sched_tick(leader_sched_t *l, const leader_sched_lease_t *lease, uint32_t boxes, tc_time_t now)
{
    const uint64_t term = lease->term;
    l->lease_held = lease->held;
    if (l->sched && term != l->term) {
        drop_sched(l); /* waiting boxes ask the next leader, or place on their own */
        g_hash_table_remove_all(l->budgets);
    }
    if (!l->sched && term != 0) {
        cap_ledger_start_term(l->caps, now);
        limits_reset(l->limits, now);
        g_hash_table_remove_all(l->admitted);
        start_returns(l);
        const sched_options_t options = {.cell = LEADER_ENGINES_CELL,
                                         .epoch = term,
                                         .piece_tokens = SCHED_SMALL_PIECE_TOKENS,
                                         .local_prefill_after_ms =
                                             feature_is_enabled(FEATURE_LOCAL_PREFILL) ? SOLO_AFTER_MS : 0,
                                         .rebuild = true,
                                         .adopt_unknown = feature_is_enabled(FEATURE_ADOPTION),
                                         .returns = l->returns};
        l->sched = sched_create(&options, now);
        l->term = term;
        configure(l, now);
    }
    leader_slots_tick(l->slots, term, lease->held, boxes, now);
    if (!l->sched)
        return;
    sched_suspend(l->sched, !lease->held);
    sched_expect_reports(l->sched, boxes);
    sched_tick(l->sched, now);
    run_actions(l, now);
    tick_caps(l, boxes, now);
    limits_tick(l->limits, l->sched, boxes, now);
    log_view(l, now);
}

leader_sched_t *leader_sched_create(peer_net_t *net, const retry_rules_t *retries, const cap_rules_t *caps,
                                    const limit_rules_t *limits)
{
    leader_sched_t *const l = g_new0(leader_sched_t, 1);
    l->net = net;
    l->retries = retry_rules_scale(retries, feature_is_enabled(FEATURE_RETRY_LENDING) ? 1 - RETRY_BOXES_SHARE : 0);
    l->budgets = retry_budgets_create();
    l->caps = cap_ledger_create(caps);
    l->limits = limits_create(limits);
    l->slots = leader_slots_create(net);
    l->cold = cold_create();
    l->versions = version_history_create();
    l->admitted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return l;
}

void leader_sched_destroy(leader_sched_t *l)
{
    drop_sched(l);
    g_hash_table_destroy(l->budgets);
    g_hash_table_destroy(l->admitted);
    cap_ledger_destroy(l->caps);
    limits_destroy(l->limits);
    leader_slots_destroy(l->slots);
    cold_destroy(l->cold);
    version_history_destroy(l->versions);
    codec_free(&evacuations_desc, &l->evacuations);
    free(l->cold_rates);
    free(l->services);
    free(l->backends);
    g_free(l);
}
