#include "forward/forward.h"

#include <assert.h>
#include <string.h>

#include "common/counter.h"
#include "common/histogram.h"
#include "common/log.h"
#include "forward/fingerprint.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_no_key, "counter", "trackcove_forward_key_refused_total",
               "Requests refused since they carry no key that is known")
COUNTER_DEFINE(c_unsure, "counter", "trackcove_forward_unsure_total",
               "Of requests without a route or a known key, those refused as not run: this box may not know the newest "
               "configuration")
COUNTER_DEFINE(c_no_route, "counter", "trackcove_forward_no_route_total", "Requests without a route")
COUNTER_DEFINE(c_no_service, "counter", "trackcove_forward_no_service_total",
               "Requests of a route that leads to no service")

/* ===== Constants ===== */

enum { STATUS_BAD_REQUEST = 400, STATUS_NO_KEY = 401, STATUS_NO_ROUTE = 404 };
/** Interval at which turns of the loop are noted. */
enum { TURN_NOTED_MS = 100 };

/* ===== Ending ===== */

static bool is_quarantined(const forward_t *f)
{
    return forward_crash_count(f) >= QUARANTINE_CRASH_LIMIT;
}

fleet_query_t forward_fleet_query(const forward_t *f, stage_t stage)
{
    return (fleet_query_t){.service = f->service,
                           .stage = stage,
                           .dc = f->owner->options.dc,
                           .tried = stage == STAGE_PREFILL ? f->tried_prefill : f->tried,
                           .version = stage == STAGE_PREFILL ? NULL : version_required(f),
                           .ends = forward_crash_count(f),
                           .connections = f->settings->max_connections,
                           .boxes = forward_boxes(f->owner),
                           .now = tc_time_now(),
                           .random = g_rand_int(f->owner->random)};
}

/** Jitter of the Retry-After of callers that are refused for the same reason, so that they do not return together. */
enum { REOPEN_JITTER_MS = 400 };

/** Fails a request for which no back end is left, or none that accepts work now. In the latter case Retry-After is set
 * to when one will. */
static void fail_without_backend(forward_t *f, stage_t stage)
{
    const fleet_query_t query = forward_fleet_query(f, stage);
    const tc_time_t until = fleet_next_available_at(f->owner->fleet, &query);
    if (until == TC_TIME_NEVER && f->owner->options.egress && egress_is_cut_off(f->owner->options.egress)) {
        forward_fail_after(f, REASON_CUT_OFF, RETRY_ELSEWHERE_MS);
        return;
    }
    if (until == TC_TIME_NEVER) {
        forward_fail(f, fleet_is_evacuated(f->owner->fleet, &query) ? REASON_EVACUATED : "no back end is left");
        return;
    }
    const tc_time_t spread = g_rand_int_range(f->owner->random, 0, REOPEN_JITTER_MS);
    const char *const why = fleet_closed_until(f->owner->fleet, &query) ? REASON_BACKING_OFF : REASON_LIMITED;
    forward_fail_after(f, why, until - query.now + spread);
}

static void on_limit(void *arg)
{
    forward_t *const f = arg;
    if (call_deliver_held(f))
        return;
    silence_end(f, "deadline exceeded");
    if (f->call && f->call->op != DIALECT_PREFILL && !f->call->reply.not_run && web_call_sent(f->call->http))
        f->runs++; /* a back end has the request and has not answered */
    forward_fail(f, "deadline exceeded");
}

static void on_caller_gone(void *arg)
{
    forward_abandon(arg);
}

/* ===== Deciding ===== */

instance_t *forward_choose(forward_t *f, stage_t stage)
{
    const fleet_query_t query = forward_fleet_query(f, stage);
    return fleet_choose(f->owner->fleet, &query);
}

/** Drops a reference that is not needed. @return whether there was one */
static bool drop_choice(instance_t *instance)
{
    if (instance)
        instance_unref(instance);
    return instance != NULL;
}

bool forward_has_any(forward_t *f, stage_t stage)
{
    return drop_choice(forward_choose(f, stage));
}

bool forward_has_unlimited(forward_t *f, stage_t stage)
{
    fleet_query_t query = forward_fleet_query(f, stage);
    query.exclude_limited = true;
    return drop_choice(fleet_choose(f->owner->fleet, &query));
}

/** Engine with the reservation, else the scheduler's choice, else a local one. */
static instance_t *choose_engine(forward_t *f, stage_t stage)
{
    if (stage == STAGE_DECODE && f->hold.instance)
        return instance_ref(f->hold.instance);
    instance_t *const chosen = place_chosen_engine(f, stage);
    return chosen ? chosen : forward_choose(f, stage);
}

/** Guarantee: a revoked key begins no run, even if its request arrived before the revocation and waited since. Runs in
 *  progress are not cut off. @return false, with the request refused and freed, when the key was revoked */
static bool is_still_allowed(forward_t *f)
{
    if (f->runs > 0 || f->begun || caller_is_allowed(f))
        return true;
    counter_add(&c_no_key, 1);
    const int status = caller_status(f->owner, STATUS_NO_KEY);
    forward_refuse(f, status, "its key was revoked", status == STATUS_NO_KEY ? 0 : RETRY_ELSEWHERE_MS);
    return false;
}

/** Stage of the engine that a call goes to; STAGE_NONE when the service has no engines. */
static stage_t stage_of_ask(const forward_t *f, dialect_op_t op)
{
    if (!f->split)
        return STAGE_NONE;
    return op == DIALECT_PREFILL ? STAGE_PREFILL : STAGE_DECODE;
}

/** @return false, with the request failed and freed, when no back end may run it */
static bool may_run(forward_t *f)
{
    /* Guarantee: a quarantined request is sent to no further back end, whichever box found out. */
    if (is_quarantined(f)) {
        forward_fail_quarantined(f);
        return false;
    }
    return is_still_allowed(f);
}

/** Charges the request to its workspace's usage cap. @return false, with the request failed and freed, when it may be
 *  sent to no back end */
static bool may_be_sent(forward_t *f)
{
    return may_run(f) && cap_check(f);
}

static void send_to(forward_t *f, dialect_op_t op, instance_t *instance)
{
    if (!instance)
        fail_without_backend(f, stage_of_ask(f, op));
    else if (may_be_sent(f))
        limit_send(f, op, instance);
    else
        instance_unref(instance);
}

void forward_send(forward_t *f, dialect_op_t op, instance_t *instance)
{
    const bool fits = op == DIALECT_PREFILL || instance_has_version(instance, version_required(f));
    if (!fits || !instance_accepts_work(instance, tc_time_now())) { /* changed since it was chosen */
        f->repeats_engine = false;
        instance_unref(instance);
        forward_continue(f);
        return;
    }
    if (op != DIALECT_PREFILL)
        f->arrivals++;
    if (op != DIALECT_PREFILL && f->split)
        place_record_decode(f, instance);
    call_begin(f, op, instance);
}

/** Sends a resumed stream to the engine that caches its prompt, if there is one. */
static bool send_to_located(forward_t *f)
{
    instance_t *const located = f->locate.instance;
    if (!located)
        return false;
    f->locate.instance = NULL; /* used once: if the engine cannot take it, the stream is placed like any other */
    if (!instance_accepts_work(located, tc_time_now())) {
        instance_unref(located);
        return false;
    }
    f->repeats_engine = f->same_engine_tried && f->runs > 0;
    send_to(f, DIALECT_SERVE, located);
    return true;
}

/** Reserves memory first when no scheduler chose the engine. @return true when the request continues later or has
 *  failed */
static bool wait_for_hold(forward_t *f)
{
    if (!place_is_local(f) || f->hold.instance)
        return false;
    if (hold_request(f))
        return true;
    if (f->hold.tries == 0)
        return false; /* the engines make no reservations, or there is none to ask */
    if (!hold_request_later(f))
        forward_fail_full(f, REASON_NO_ROOM);
    return true;
}

/** Reads the prompt on a prefill engine, then decodes. Without a prefill engine the decode engine reads the prompt
 * itself, which is slower. */
static void send_to_engines(forward_t *f)
{
    const bool read = f->handle.instance || place_is_local_prefill(f);
    instance_t *const prefill = read ? NULL : choose_engine(f, STAGE_PREFILL);
    if (retry_is_unpaid(f, prefill ? DIALECT_PREFILL : DIALECT_DECODE)) {
        if (prefill)
            instance_unref(prefill);
        retry_or_fail(f, f->runs > 0 ? RETRY_PURPOSE_RERUN : RETRY_PURPOSE_REFUSED, forward_continue);
        return;
    }
    if (prefill && !drop_choice(choose_engine(f, STAGE_DECODE))) {
        instance_unref(prefill);
        fail_without_backend(f, STAGE_DECODE); /* the prefill would be wasted */
        return;
    }
    if (prefill) {
        f->placement.prefill_began = tc_time_now();
        send_to(f, DIALECT_PREFILL, prefill);
        return;
    }
    send_to(f, f->handle.instance ? DIALECT_DECODE : DIALECT_SERVE, choose_engine(f, STAGE_DECODE));
}

/** Whether the request cannot be served: all suitable engines are evacuated, or asked for no calls for longer than it
 * may wait. */
static bool is_unservable(const forward_t *f)
{
    const fleet_query_t query = forward_fleet_query(f, STAGE_DECODE);
    return fleet_is_evacuated(f->owner->fleet, &query) ||
           fleet_closed_until(f->owner->fleet, &query) >= place_wait_until(f);
}

/** Sends the request to a back end of a plain service, with a slot where the leader grants them. */
static void continue_plain(forward_t *f)
{
    if (!slot_is_active(f) || version_restricts(f)) { /* the leader's slots may be those of any version */
        send_to(f, DIALECT_SERVE, forward_choose(f, STAGE_NONE));
        return;
    }
    /* It is charged to the usage cap once it has a slot: a request that gets none uses nothing. One that is known to be
     * over the cap must take no slot from others. */
    if (!may_run(f) || !cap_allows_waiting(f))
        return;
    if (slot_request(f))
        return; /* continues when the leader has answered */
    send_to(f, DIALECT_SERVE, slot_pick_backend(f));
}

void forward_continue(forward_t *f)
{
    if (tc_time_now() >= f->deadline) {
        on_limit(f);
        return;
    }
    if (version_resolve(f) || version_wait(f))
        return; /* continues when the leader has answered, or a back end of its version is back */
    if (!f->split) {
        continue_plain(f);
        return;
    }
    hold_drop_unusable(f);
    if (is_unservable(f)) {
        fail_without_backend(f, STAGE_DECODE);
        return;
    }
    if (locate_begin(f))
        return; /* continues when the engines have answered */
    if (send_to_located(f))
        return;
    if (place_request(f))
        return; /* continues when the scheduler has answered */
    if (wait_for_hold(f))
        return; /* continues when an engine has answered, or after PLACE_RETRY_MS */
    send_to_engines(f);
}

static void on_retry(void *arg)
{
    forward_continue(arg);
}

bool forward_retry_soon(forward_t *f, tc_time_t until)
{
    const tc_time_t at = tc_time_now() + PLACE_RETRY_MS;
    if (at >= until)
        return false;
    g_ptr_array_set_size(f->tried, 0);
    silence_exclude(f);
    loop_arm(f->owner->loop, &f->call_timer, at, on_retry, f);
    return true;
}

/* ===== Beginning ===== */

static void refuse(web_exchange_t *exchange, const dialect_request_t *facts, int status, const char *why,
                   tc_time_t retry_after)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "refused");
    log_str(&line, "request", facts->id);
    log_str(&line, "why", why);
    log_int(&line, "status", status);
    log_end(&line);
    forward_answer_empty(exchange, status, status == STATUS_NOT_RUN ? retry_after : NO_RETRY_AFTER);
}

static void drop_instance(void *instance)
{
    instance_unref(instance);
}

/** Refuses a request for something that is missing in the configuration. Callers do not retry after the final status,
 * so a box whose configuration may be outdated answers that the request has not run instead. */
static void refuse_unknown(forwarder_t *fw, web_exchange_t *exchange, const dialect_request_t *facts, int final,
                           const char *why)
{
    const int status = caller_status(fw, final);
    if (status != final)
        counter_add(&c_unsure, 1);
    refuse(exchange, facts, status, why, RETRY_ELSEWHERE_MS);
}

static forward_t *forward_create(forwarder_t *fw, web_exchange_t *exchange, const web_request_t *request,
                                 const dialect_request_t *facts, const route_t *route, const route_service_t *service,
                                 const workspace_t *workspace)
{
    forward_t *const f = g_new0(forward_t, 1);
    f->owner = fw;
    f->exchange = exchange;
    f->request = *request;
    f->facts = *facts;
    f->table = route_table_ref(fw->table);
    f->workspace = workspace;
    f->priority = workspace && workspace->has_priority ? workspace->priority : route->priority;
    f->rank = workspace && workspace->has_priority ? route->priority : 0;
    f->fingerprint = fingerprint_of(request, facts, workspace ? workspace->name : facts->credentials);
    f->route = route;
    f->service = service->name;
    f->settings = service;
    f->split = service->engines;
    f->tried = g_ptr_array_new_with_free_func(drop_instance);
    f->tried_prefill = g_ptr_array_new_with_free_func(drop_instance);
    f->last_event = g_strdup(facts->resume_after);
    const bool hurried = facts->caller_timeout > 0 && facts->caller_timeout < route->timeout;
    f->deadline = request->arrived + (hurried ? facts->caller_timeout : route->timeout) - ANSWER_MARGIN_MS;
    cds_list_add(&f->node, &fw->requests);
    fw->in_flight++;
    return f;
}

/* ===== Routing ===== */

bool forward_is_recognisable(const forward_t *f)
{
    return f->request.body->len > 0 || f->facts.parts_n > 0;
}

void forward_route(forwarder_t *fw, web_exchange_t *exchange, const web_request_t *request)
{
    dialect_request_t facts;
    dialect_read_request(request, &facts);
    if (fw->stop_begin_until && tc_time_now() >= fw->stop_begin_until) {
        refuse(exchange, &facts, STATUS_NOT_RUN, "this box is stopping", RETRY_ELSEWHERE_MS);
        return;
    }
    if (!fw->table) {
        refuse(exchange, &facts, STATUS_NOT_RUN, "no configuration received yet", RETRY_AFTER_MS);
        return;
    }
    const char *const host = web_headers_get(request->headers, "Host");
    if (!host) {
        refuse(exchange, &facts, STATUS_BAD_REQUEST, "no Host header", 0);
        return;
    }
    const route_t *const route = route_table_find(fw->table, host, request->target);
    if (!route) {
        counter_add(&c_no_route, 1);
        refuse_unknown(fw, exchange, &facts, STATUS_NO_ROUTE, "no route");
        return;
    }
    const caller_t caller = caller_identify(fw->table, route, &facts);
    if (caller.why) {
        counter_add(&c_no_key, 1);
        refuse_unknown(fw, exchange, &facts, STATUS_NO_KEY, caller.why);
        return;
    }
    const char *const chosen = route_pick_service(route, g_rand_double(fw->random));
    const route_service_t *const service = chosen ? route_table_service(fw->table, chosen) : NULL;
    if (!service) { /* a control box of another build accepted the table */
        counter_add(&c_no_service, 1);
        refuse(exchange, &facts, STATUS_NOT_RUN, "the route leads to no service", RETRY_AFTER_MS);
        return;
    }
    forward_t *const f = forward_create(fw, exchange, request, &facts, route, service, caller.workspace);
    forward_log_routed(f);
    if (!stop_allows(f)) {
        forward_fail_after(f, "this box stops before the request would end", RETRY_ELSEWHERE_MS);
        return;
    }
    if (is_quarantined(f) && !trial_is_due(f)) {
        forward_fail_quarantined(f);
        return;
    }
    retry_earn(f);
    web_on_disconnect(exchange, on_caller_gone, f);
    loop_arm(fw->loop, &f->limit, f->deadline, on_limit, f);
    if (is_quarantined(f))
        trial_request(f);
    else
        forward_continue(f);
}

void forwarder_handle(void *arg, web_exchange_t *exchange, const web_request_t *request)
{
    forwarder_t *const fw = arg;
    if (!early_queue(fw, exchange, request))
        forward_route(fw, exchange, request);
}

/* ===== Life cycle ===== */

static void on_turn(void *arg)
{
    version_note_turn(arg);
}

forwarder_t *forwarder_create(loop_t *loop, fleet_t *fleet, web_client_t *client, const forwarder_options_t *options)
{
    forwarder_t *const fw = g_new0(forwarder_t, 1);
    fw->loop = loop;
    fw->fleet = fleet;
    fw->client = client;
    fw->options = *options;
    fw->budgets = retry_budgets_create();
    fw->quarantine = quarantine_create();
    fw->parts = quarantine_create_parts(fw->quarantine);
    fw->completed = run_history_create();
    fw->part_begins = run_history_create();
    fw->streams = stream_versions_create();
    fw->caps = cap_shares_create(&options->caps);
    fw->limits = cap_shares_create(&options->limits.advertised);
    fw->cold = cap_shares_create(&options->limits.cold);
    fw->leader_limits = limit_table_create();
    fw->service_times = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fw->random = g_rand_new();
    fw->created = fw->seen_at = tc_time_now();
    loop_add_tick(loop, TURN_NOTED_MS, on_turn, fw);
    CDS_INIT_LIST_HEAD(&fw->requests);
    CDS_INIT_LIST_HEAD(&fw->early);
    CDS_INIT_LIST_HEAD(&fw->probes);
    CDS_INIT_LIST_HEAD(&fw->cleanups);
    return fw;
}

void forwarder_destroy(forwarder_t *fw)
{
    assert(fw->in_flight == 0); /* requests point to the forwarder */
    loop_remove_ticks(fw->loop, fw);
    loop_disarm(&fw->renewal);
    probes_destroy(fw);
    cleanups_destroy(fw);
    route_table_unref(fw->table);
    g_hash_table_destroy(fw->budgets);
    quarantine_destroy(fw->parts);
    run_history_destroy(fw->part_begins);
    run_history_destroy(fw->completed);
    quarantine_destroy(fw->quarantine);
    stream_versions_destroy(fw->streams);
    cap_shares_destroy(fw->caps);
    cap_shares_destroy(fw->limits);
    cap_shares_destroy(fw->cold);
    limit_table_destroy(fw->leader_limits);
    g_hash_table_destroy(fw->service_times);
    g_rand_free(fw->random);
    g_free(fw);
}

void forwarder_set_routes(forwarder_t *fw, route_table_t *table)
{
    route_table_unref(fw->table);
    fw->table = table ? route_table_ref(table) : NULL;
}

void forwarder_set_scheduler(forwarder_t *fw, reporter_t *reporter)
{
    fw->scheduler = reporter;
    place_start_renewal(fw);
}

void forwarder_set_boxes(forwarder_t *fw, unsigned boxes)
{
    box_count_update(&fw->sharers, boxes, fw->options.retries.window, tc_time_now());
}

unsigned forward_boxes(const forwarder_t *fw)
{
    return fw->scheduler ? box_count_get(&fw->sharers) : 1; /* without a leader there are no other boxes to learn of */
}

quarantine_t *forwarder_quarantine(forwarder_t *fw)
{
    return fw->quarantine;
}

cap_shares_t *forwarder_caps(forwarder_t *fw)
{
    return fw->caps;
}

unsigned forwarder_in_flight(const forwarder_t *fw)
{
    return fw->in_flight;
}
