#include "cluster/leader_sched.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cluster/cold.h"
#include "common/counter.h"
#include "common/log.h"
#include "common/mechanism.h"
#include "common/retry_budget.h"
#include "lists/list.h"
#include "sched/sched.h"

COUNTER_DEFINE(c_granted, "counter", "trackcove_placing_granted_total", "Placements granted by the scheduler")
COUNTER_DEFINE(c_refused, "counter", "trackcove_placing_refused_total", "Placements refused by the scheduler")

COUNTER_DEFINE(c_over, "counter", "trackcove_placing_over_cap_total",
               "Requests refused since their workspace is over its usage cap")
COUNTER_DEFINE(c_limit_granted, "counter", "trackcove_limit_granted_total",
               "Requests to back ends with limits that the leader allowed a box")
COUNTER_DEFINE(c_limit_refused, "counter", "trackcove_limit_refused_total",
               "Requests to back ends with limits that the leader did not allow a box")
COUNTER_DEFINE(c_pieces, "gauge", "trackcove_placing_decode_pieces", "Memory of the decode engines that can be used")
COUNTER_DEFINE(c_taken, "gauge", "trackcove_placing_decode_taken", "Of it, what the scheduler takes for taken")

/* ===== Constants ===== */

enum {
    /* First guess of what an engine reads, a little below what the users' sheet says; learnt from then on. */
    PREFILL_TOKENS_S = 50000,
    /* A decode engine reads prompts at under half the pace and slows the streams it carries: only what has waited. */
    SOLO_AFTER_MS = 120,
    LOST_MAX = 256,
    LET_IN_MS = 5000, /* a request waits here for less than its aim; what is remembered for longer was lost */
    PICTURE_MS = 1000 /* between lines that tell what the scheduler takes engines for */
};
/** Moves of memory into another data centre take twice as long there and are priced double: they are counted dearer
 *  than they take, so that of two engines alike the near one is taken. */
static const double FAR_FACTOR = 0.1;
/** Part of an engine's memory that is handed out: what requests hold is reserved by its mean, so a full engine holds
 *  now more, now less than that, and turns a request away for whom memory was reserved. */
static const double MEMORY_SHARE = 0.94;
/** All engines are one cell: a placement costs some 10 us before 256 engines, hundreds a second a few hundredths of a
 *  core. */
static const char CELL[] = "main";

/* ===== Types ===== */

struct leader_sched {
    peer_net_t *net;
    sched_t *sched;           /* NULL while this box does not lead */
    quarantine_t *quarantine; /* or NULL */
    uint64_t term;
    tc_time_t picture_at;
    leader_sched_service_t *services;
    uint32_t services_n;
    backend_t *backends;
    uint32_t backends_n;
    evacuations_t evacuations;
    cold_rate_t *cold_rates;
    uint32_t cold_rates_n;
    cold_t *cold;
    retry_rules_t retries; /* for what is handed out here */
    GHashTable *budgets;   /* as retry_budgets_create; emptied when this box leads no more, since an older leader may
                              have handed out all of what a new one has */
    limits_t *limits;      /* of back ends */
    cap_ledger_t *caps;
    GHashTable *let_in;  /* request id -> let_in_t: let in, and not placed or refused yet */
    tc_time_t let_in_at; /* when old ones were dropped last */
};

/** A request that a usage cap let in. */
typedef struct {
    char workspace[CODEC_STR_SIZE];
    double units;
    tc_time_t at;
} let_in_t;

/* ===== Limits of back ends ===== */

static void on_take_limit(leader_sched_t *p, peer_call_t call, const msg_take_limit_t *take, tc_time_t now)
{
    tc_time_t after;
    const bool granted = limits_acquire(p->limits, p->sched, take, now, &after);
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
    peer_reply(p->net, call, MSG_TAKE_LIMIT_ACK, &ack);
}

/* ===== Configuration ===== */

static const leader_sched_service_t *service_of(const leader_sched_t *p, const char *name)
{
    for (uint32_t i = 0; i < p->services_n; i++)
        if (strcmp(p->services[i].service, name) == 0)
            return &p->services[i];
    return NULL;
}

static bool is_engine(const leader_sched_t *p, const backend_t *b)
{
    return b->stage[0] && service_of(p, b->service);
}

static void fill_engine(const leader_sched_t *p, const backend_t *b, engine_cfg_t *e)
{
    const leader_sched_service_t *const s = service_of(p, b->service);
    codec_copy_string(e->name, sizeof(e->name), b->id);
    codec_copy_string(e->dc, sizeof(e->dc), b->dc);
    codec_copy_string(e->cell, sizeof(e->cell), CELL);
    codec_copy_string(e->model, sizeof(e->model), b->service);
    e->role = strcmp(b->stage, "prefill") == 0 ? ROLE_PREFILL : ROLE_DECODE;
    e->pieces = (uint32_t)(MEMORY_SHARE * s->memory_tokens / SCHED_SMALL_PIECE_TOKENS);
    e->max_batch = b->slots ? b->slots : s->slots;
    e->prefill_rate = PREFILL_TOKENS_S;
}

/** Links between every two data centres, and inside each. */
static void fill_links(const leader_sched_t *p, config_t *config)
{
    GHashTable *const dcs = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < p->backends_n; i++)
        g_hash_table_add(dcs, (char *)(uintptr_t)p->backends[i].dc);
    guint n;
    const char **const names = (const char **)g_hash_table_get_keys_as_array(dcs, &n);
    config->links = calloc((size_t)n * n + 1, sizeof(*config->links));
    if (!config->links)
        abort();
    const double rate = p->services_n > 0 ? p->services[0].link_tokens_s : 0;
    for (guint i = 0; i < n && rate > 0; i++) {
        for (guint k = i; k < n; k++) {
            link_cfg_t *const link = &config->links[config->links_n++];
            codec_copy_string(link->a, sizeof(link->a), names[i]);
            codec_copy_string(link->b, sizeof(link->b), names[k]);
            link->rate = (uint32_t)(rate * (i == k || !mechanism_is_on(MECHANISM_NEARNESS) ? 1 : FAR_FACTOR));
        }
    }
    g_free(names);
    g_hash_table_destroy(dcs);
}

static void configure(leader_sched_t *p, tc_time_t now)
{
    if (!p->sched)
        return;
    config_t config = {.targets = {.max_queue = 512}};
    config.engines = calloc(p->backends_n + 1, sizeof(*config.engines));
    config.leaving = calloc(p->backends_n + 1, sizeof(*config.leaving));
    if (!config.engines || !config.leaving)
        abort();
    for (uint32_t i = 0; i < p->backends_n; i++) {
        const backend_t *const b = &p->backends[i];
        if (!is_engine(p, b))
            continue;
        fill_engine(p, b, &config.engines[config.engines_n++]);
        if (b->draining || evacuations_has(&p->evacuations, b->dc))
            codec_copy_string(config.leaving[config.leaving_n++].name, CODEC_STR_SIZE, b->id);
    }
    fill_links(p, &config);
    sched_configure(p->sched, &config, now);
    /* The list is all that is heard of an engine beside what requests report. */
    sched_on_engine_list(p->sched, now);
    free(config.engines);
    free(config.leaving);
    free(config.links);
}

void leader_sched_set_quarantine(leader_sched_t *p, quarantine_t *quarantine)
{
    p->quarantine = quarantine;
}

void leader_sched_set_services(leader_sched_t *p, const leader_sched_service_t *list, uint32_t n)
{
    free(p->services);
    p->services = list_copy(list, n * sizeof(*list));
    p->services_n = n;
    configure(p, tc_time_now());
}

/* ===== Cold back ends ===== */

static double cold_rate_of(const leader_sched_t *p, const char *service)
{
    for (uint32_t i = 0; i < p->cold_rates_n; i++)
        if (strcmp(p->cold_rates[i].service, service) == 0)
            return p->cold_rates[i].rate;
    return 0;
}

/** Count what cold back ends get. */
static void configure_cold(leader_sched_t *p)
{
    GArray *const caps = g_array_new(FALSE, TRUE, sizeof(cap_cfg_t));
    for (uint32_t i = 0; i < p->backends_n && p->cold_rates_n > 0; i++) {
        const backend_t *const b = &p->backends[i];
        cap_cfg_t cap = {.rate = cold_is(p->cold, b) ? cold_rate_of(p, b->service) : 0};
        codec_copy_string(cap.name, sizeof(cap.name), b->id);
        if (cap.rate > 0)
            g_array_append_val(caps, cap);
    }
    limits_set_cold(p->limits, (const cap_cfg_t *)(const void *)caps->data, caps->len, tc_time_now());
    g_array_free(caps, TRUE);
}

void leader_sched_set_cold_rates(leader_sched_t *p, const cold_rate_t *list, uint32_t n)
{
    free(p->cold_rates);
    p->cold_rates = list_copy(list, n * sizeof(*list));
    p->cold_rates_n = n;
    configure_cold(p);
}

/* ===== Back ends ===== */

void leader_sched_confirm_backends(leader_sched_t *p, tc_time_t fetched)
{
    if (cold_update_list(p->cold, fetched))
        configure_cold(p);
}

void leader_sched_set_backends(leader_sched_t *p, const backend_t *list, uint32_t n, tc_time_t fetched)
{
    const bool same = p->backends_n == n && p->backends && memcmp(p->backends, list, n * sizeof(*list)) == 0;
    if (same) {
        leader_sched_confirm_backends(p, fetched);
        return;
    }
    free(p->backends);
    p->backends = list_copy(list, n * sizeof(*list));
    p->backends_n = n;
    limits_set_backends(p->limits, list, n, tc_time_now());
    (void)cold_update_list(p->cold, fetched);
    configure_cold(p);
    configure(p, tc_time_now());
}

void leader_sched_set_evacuations(leader_sched_t *p, const evacuations_t *evacuations)
{
    cold_update_evacuations(p->cold, &p->evacuations, evacuations, tc_time_now());
    evacuations_copy(&p->evacuations, evacuations);
    configure_cold(p);
    configure(p, tc_time_now());
}

/* ===== Work ===== */

const char *leader_sched_pool_work(const leader_sched_t *p, pool_load_t *work)
{
    if (!p->sched || p->services_n != 1)
        return ""; /* the averages are those of all engines together */
    const sched_stats_t stats = sched_stats(p->sched);
    *work = (pool_load_t){
        .prefill = stats.prefill_load, .prefill_slow = stats.prefill_load_slow, .decode = stats.decode_load};
    return p->services[0].service;
}

bool leader_sched_accepts_calls(const leader_sched_t *p, const char *box, const char *engine, tc_time_t now)
{
    return !p->sched || sched_engine_accepts(p->sched, box, engine, now);
}

/* ===== Usage caps ===== */

void leader_sched_set_caps(leader_sched_t *p, const cap_cfg_t *list, uint32_t n)
{
    cap_ledger_configure(p->caps, list, n, tc_time_now());
}

void leader_sched_handle_report(leader_sched_t *p, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    if (!p->sched)
        return; /* what it let in is told again to whoever leads */
    cap_ledger_apply_report(p->caps, report->self.box, report->self.incarnation, report->used, report->used_n, now);
    ack->caps = (cap_state_t *)(uintptr_t)cap_ledger_get_states(p->caps, &ack->caps_n, now);
    sched_set_notices(p->sched, report->self.box, report->notices, report->notices_n, now);
    limits_handle_report(p->limits, p->sched, report, ack, now);
}

static void log_over_cap(const leader_sched_t *p, const msg_place_t *place, tc_time_t after, tc_time_t now)
{
    const cap_view_t view = cap_ledger_view(p->caps, place->cap, now);
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

/** Whether the request's workspace is within its cap; if not, it is answered. */
static bool let_in(leader_sched_t *p, peer_call_t call, const msg_place_t *place, tc_time_t now)
{
    if (place->cap_units == 0 || place->again)
        return true;
    tc_time_t after;
    if (cap_ledger_take(p->caps, place->cap, (double)place->cap_units, now, &after)) {
        let_in_t *const entry = g_new0(let_in_t, 1);
        *entry = (let_in_t){.units = (double)place->cap_units, .at = now};
        codec_copy_string(entry->workspace, sizeof(entry->workspace), place->cap);
        g_hash_table_insert(p->let_in, g_strdup(place->id), entry);
        return true;
    }
    counter_add(&c_over, 1);
    log_over_cap(p, place, after, now);
    msg_placed_t placed = {.over_cap = true, .retry_after_ms = (uint32_t)after};
    codec_copy_string(placed.reason, sizeof(placed.reason), "its workspace is over its usage cap");
    peer_reply(p->net, call, MSG_PLACED, &placed);
    return false;
}

/** The scheduler has answered: one that it refused has not run, so its workspace has its units back. */
static void settle(leader_sched_t *p, const sched_answer_t *answer, tc_time_t now)
{
    const let_in_t *const entry = answer->repeated ? NULL : g_hash_table_lookup(p->let_in, answer->id);
    if (!entry)
        return;
    if (!answer->placed.granted)
        cap_ledger_refund(p->caps, entry->workspace, entry->units, now);
    g_hash_table_remove(p->let_in, answer->id);
}

static gboolean is_lost(gpointer id, gpointer value, gpointer arg)
{
    const tc_time_t *const now = arg;
    (void)id;
    return *now - ((const let_in_t *)value)->at > LET_IN_MS;
}

static void tick_caps(leader_sched_t *p, uint32_t boxes, tc_time_t now)
{
    cap_ledger_set_boxes(p->caps, boxes, now);
    cap_ledger_tick(p->caps, now);
    if (now - p->let_in_at < LET_IN_MS)
        return;
    p->let_in_at = now;
    g_hash_table_foreach_remove(p->let_in, is_lost, &now);
}

/* ===== Actions ===== */

/** What the scheduler takes engines for: the inputs of its refusals. */
static void log_picture(log_line_t *line, const sched_load_t *load)
{
    log_int(line, "prefills", load->prefills);
    log_int(line, "decodes", load->decodes);
    log_int(line, "queued", load->queued);
    log_int(line, "placed", load->placed);
    log_int(line, "decode_pieces", load->decode_pieces);
    log_int(line, "decode_taken", load->decode_taken);
    log_int(line, "prefill_backlog_ms", (int64_t)load->backlog_ms);
    log_int(line, "freed_pieces_s", (int64_t)(load->free_rate * 1000));
}

/** A line a second: what the scheduler believes, for comparison with what engines and entry boxes say. */
static void log_engines(leader_sched_t *p, tc_time_t now)
{
    if (now < p->picture_at)
        return;
    p->picture_at = now + PICTURE_MS;
    const sched_load_t load = sched_load(p->sched, now);
    const sched_stats_t stats = sched_stats(p->sched);
    counter_set(&c_taken, load.decode_taken);
    counter_set(&c_pieces, load.decode_pieces);
    log_line_t line;
    log_begin(&line, LOG_INFO, "engines");
    log_picture(&line, &load);
    log_int(&line, "adopted", (int64_t)stats.adopted);
    log_int(&line, "lapsed", (int64_t)stats.lapsed);
    log_end(&line);
}

static void log_placed(const leader_sched_t *p, const sched_answer_t *answer, tc_time_t now)
{
    const msg_placed_t *const placed = &answer->placed;
    log_line_t line;
    log_begin(&line, LOG_INFO, "placement");
    log_str(&line, "request", answer->id);
    log_int(&line, "granted", placed->granted);
    log_str(&line, "reason", placed->reason);
    log_str(&line, "prefill", placed->prefill);
    log_str(&line, "decode", placed->decode);
    log_int(&line, "attempt", placed->attempt);
    log_int(&line, "candidates", placed->candidates);
    log_int(&line, "est_ttft_ms", placed->est_ttft_ms);
    if (!placed->granted) {
        const sched_load_t load = sched_load(p->sched, now);
        log_int(&line, "retry_after_ms", placed->retry_after_ms);
        log_picture(&line, &load);
    }
    log_end(&line);
}

static void note_decision(const leader_sched_t *p, const sched_answer_t *answer, tc_time_t now)
{
    counter_add(answer->placed.granted ? &c_granted : &c_refused, 1);
    log_placed(p, answer, now);
}

static void pump(leader_sched_t *p, tc_time_t now)
{
    sched_action_t action;
    while (p->sched && sched_next_action(p->sched, &action)) {
        switch (action.kind) {
        case SCHED_ACT_ANSWER:
            settle(p, &action.u.answer, now);
            if (!action.u.answer.repeated)
                note_decision(p, &action.u.answer, now);
            peer_reply(p->net, (peer_call_t){.connection = action.u.answer.token.a, .call = action.u.answer.token.b},
                       MSG_PLACED, &action.u.answer.placed);
            break;
        case SCHED_ACT_CANCEL:
            /* Entry boxes end requests by closing their connections: nothing is left to cancel. */
            sched_cancelled(p->sched, action.u.cancel.engine, action.u.cancel.engine_id, true, now);
            break;
        }
    }
}

/* ===== Renewals ===== */

static void on_renew(leader_sched_t *p, peer_call_t call, const msg_renew_t *renew, tc_time_t now)
{
    held_t lost[LOST_MAX];
    msg_renew_ack_t ack = {.epoch = p->term, .lost = lost};
    ack.lost_n = sched_renew(p->sched, renew, lost, LOST_MAX, &ack.want_list, now);
    peer_reply(p->net, call, MSG_RENEW_ACK, &ack);
}

/* ===== Retry budget ===== */

static void on_retry(leader_sched_t *p, peer_call_t call, const msg_retry_t *retry, tc_time_t now)
{
    enum { ALONE = 1 }; /* the leader shares its part of the allowance with nobody */
    retry_budget_t *const budget = retry_budgets_get(p->budgets, retry->service, now);
    const retry_budget_view_t view = retry_budget_view(budget, &p->retries, ALONE, now);
    const msg_retry_ack_t ack = {.granted = retry_budget_spend(budget, &p->retries, ALONE, now)};
    log_line_t line;
    log_begin(&line, LOG_INFO, "retry_lent");
    log_str(&line, "request", retry->id);
    log_int(&line, "granted", ack.granted);
    log_int(&line, "window_requests", view.requests);
    log_int(&line, "window_extras", view.extras);
    log_num(&line, "window_limit", view.limit);
    log_end(&line);
    peer_reply(p->net, call, MSG_RETRY_ACK, &ack);
}

/* ===== Messages ===== */

/** How many back ends ended under a request, as this box or the one that asks knows. */
static unsigned count_ends(leader_sched_t *p, uint64_t fingerprint, unsigned told, tc_time_t now)
{
    const unsigned known = p->quarantine && fingerprint ? quarantine_crash_count(p->quarantine, fingerprint, now) : 0;
    return MAX(known, told);
}

/** It is to be sent to no back end: its box refuses it. */
static void refuse_held(const leader_sched_t *p, peer_call_t call, const char *id)
{
    msg_placed_t placed = {.held = true};
    codec_copy_string(placed.reason, sizeof(placed.reason), "back ends ended whenever they ran it");
    log_line_t line;
    log_begin(&line, LOG_INFO, "placement");
    log_str(&line, "request", id);
    log_int(&line, "granted", false);
    log_str(&line, "reason", placed.reason);
    log_end(&line);
    peer_reply(p->net, call, MSG_PLACED, &placed);
}

static void refuse_call(const leader_sched_t *p, peer_call_t call, const char *why)
{
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_NOT_LEADER, "place", "", "%s", why);
    peer_reply_error(p->net, call, &err);
}

static void on_place(leader_sched_t *p, peer_call_t call, const msg_place_t *place, tc_time_t now)
{
    if (!place->again)
        retry_budget_earn(retry_budgets_get(p->budgets, place->model, now), &p->retries, now);
    msg_place_t known = *place; /* its lists are borrowed */
    known.ends = count_ends(p, place->fingerprint, place->ends, now);
    if (known.ends >= QUARANTINE_CRASH_LIMIT) {
        refuse_held(p, call, place->id);
        return;
    }
    if (!p->backends) {
        refuse_call(p, call, "this box has no list of back ends yet"); /* boxes that have one place by themselves */
        return;
    }
    if (!let_in(p, call, place, now))
        return;
    sched_place(p->sched, &known, (sched_token_t){.a = call.connection, .b = call.call}, now);
}

bool leader_sched_handles_type(uint32_t type)
{
    return type == MSG_PLACE || type == MSG_REPLAN || type == MSG_PROGRESS || type == MSG_RENEW || type == MSG_RETRY ||
           type == MSG_TAKE_LIMIT;
}

void leader_sched_handle_message(leader_sched_t *p, peer_call_t call, uint32_t type, const void *message, tc_time_t now)
{
    const sched_token_t token = {.a = call.connection, .b = call.call};
    if (!p->sched) {
        refuse_call(p, call, "this box does not lead");
        return;
    }
    switch (type) {
    case MSG_PLACE: on_place(p, call, message, now); break;
    case MSG_RETRY: on_retry(p, call, message, now); break;
    case MSG_TAKE_LIMIT: on_take_limit(p, call, message, now); break;
    case MSG_REPLAN: sched_replan(p->sched, message, token, now); break;
    case MSG_PROGRESS: sched_progress(p->sched, message, now); break;
    default: on_renew(p, call, message, now); break;
    }
    pump(p, now);
}

bool leader_sched_is_uncertain(const leader_sched_t *p, tc_time_t now)
{
    return p->sched && sched_needs_reconcile(p->sched, now);
}

void leader_sched_update_engine(leader_sched_t *p, const char *engine, const sched_engine_request_t *held, uint32_t n,
                                tc_time_t now)
{
    if (!p->sched)
        return;
    sched_set_engine_requests(p->sched, engine, held, n, now);
    pump(p, now);
}

/* ===== Life ===== */

void leader_sched_tick(leader_sched_t *p, const leader_sched_lease_t *lease, uint32_t boxes, tc_time_t now)
{
    const uint64_t term = lease->term;
    if (p->sched && term != p->term) {
        sched_destroy(p->sched); /* whoever waits asks the next leader, or places by itself */
        p->sched = NULL;
        g_hash_table_remove_all(p->budgets);
    }
    if (!p->sched && term != 0) {
        cap_ledger_start_term(p->caps, now);
        limits_reset(p->limits, now);
        g_hash_table_remove_all(p->let_in);
        const sched_options_t options = {.cell = CELL,
                                         .epoch = term,
                                         .piece_tokens = SCHED_SMALL_PIECE_TOKENS,
                                         .local_prefill_after_ms = mechanism_is_on(MECHANISM_SOLO) ? SOLO_AFTER_MS : 0,
                                         .rebuild = true,
                                         .adopt_unknown = mechanism_is_on(MECHANISM_ADOPTION)};
        p->sched = sched_create(&options, now);
        p->term = term;
        configure(p, now);
    }
    if (!p->sched)
        return;
    sched_suspend(p->sched, !lease->held);
    sched_expect_reports(p->sched, boxes);
    sched_tick(p->sched, now);
    pump(p, now);
    tick_caps(p, boxes, now);
    limits_tick(p->limits, p->sched, boxes, now);
    log_engines(p, now);
}

leader_sched_t *leader_sched_create(peer_net_t *net, const retry_rules_t *retries, const cap_rules_t *caps,
                                    const limit_rules_t *limits)
{
    leader_sched_t *const p = g_new0(leader_sched_t, 1);
    p->net = net;
    p->retries = retry_rules_part(retries, mechanism_is_on(MECHANISM_RETRY_LENDING) ? 1 - RETRY_BOXES_PART : 0);
    p->budgets = retry_budgets_create();
    p->caps = cap_ledger_create(caps);
    p->limits = limits_create(limits);
    p->cold = cold_create();
    p->let_in = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return p;
}

void leader_sched_destroy(leader_sched_t *p)
{
    if (p->sched)
        sched_destroy(p->sched);
    g_hash_table_destroy(p->budgets);
    g_hash_table_destroy(p->let_in);
    cap_ledger_destroy(p->caps);
    limits_destroy(p->limits);
    cold_destroy(p->cold);
    codec_free(&evacuations_desc, &p->evacuations);
    free(p->cold_rates);
    free(p->services);
    free(p->backends);
    g_free(p);
}
