/* Placement: requests placements from the scheduler beside the leader, renews them, and reports the progress of
 * requests. */

#include <stdlib.h>
#include <string.h>

#include "common/counter.h"
#include "common/feature.h"
#include "common/histogram.h"
#include "forward/forward_internal.h"
#include "sched/sched.h"

HISTOGRAM_DEFINE(h_place, "trackcove_place_ms", "From a request to its placement by the scheduler")
COUNTER_DEFINE(c_granted, "counter", "trackcove_place_granted_total", "Placements that the scheduler granted")
COUNTER_DEFINE(c_refused, "counter", "trackcove_place_refused_total", "Placements that the scheduler refused")
COUNTER_DEFINE(c_alone, "counter", "trackcove_place_alone_total", "Placements that this box made without an answer")

/** Upper bound of the attempt numbers of local placements; schedulers use higher ones. */
enum { LOCAL_ATTEMPTS_MAX = 1000000 };
/** A leader that answered within this time is alive: two report intervals and the time of one answer. */
enum { LEADER_ALIVE_MS = 700 };
/** Callers give up a stream after a gap of GAP_LIMIT_MIN_MS, of GAP_LIMIT_LATENCY_TARGETS latency targets or of
 *  GAP_LIMIT_GAP_TARGETS gap targets of the route, whichever is longest. Documented by the users' platform. */
enum { GAP_LIMIT_MIN_MS = 2000, GAP_LIMIT_LATENCY_TARGETS = 4, GAP_LIMIT_GAP_TARGETS = 8 };
/** Part of that gap that resuming a stream takes at the new engine: about 200 ms to read the prompt again, and as much
 * for the placement and the first event of an engine with other requests. */
enum { RESUME_COST_MS = 400 };
/** Age up to which a stated pace is passed on to the scheduler, which counts it from its arrival: a quarter of the time
 *  for which paces last. */
enum { PACE_AGE_MAX_MS = 150 };
/** All engines form one cell. */
static const char CELL[] = "main";

/** Expected share of the output limit that a request generates, when its caller sends no hint. */
static const double DEFAULT_OUTPUT_SHARE = 0.4;
/** Share of its output for which a request holds memory, averaged over its life, as memory grows with every token. The
 *  average is enough: engines that run out of memory requeue a request, so the sum over all requests of an engine
 * counts and not the maximum of each. */
static const double MEAN_HELD_SHARE = 0.5;

uint32_t place_output_tokens(const dialect_request_t *facts)
{
    const double most = facts->output_tokens;
    const double likely = facts->output_hint > 0 ? facts->output_hint : DEFAULT_OUTPUT_SHARE * most;
    return (uint32_t)(MEAN_HELD_SHARE * (likely < most ? likely : most));
}

/* ===== Queries ===== */

/** Places locally; the next renewal reports the placement to the scheduler. */
static void place_locally(forward_t *f)
{
    counter_add(&c_alone, 1);
    f->placement.attempt = g_rand_int_range(f->owner->random, 1, LOCAL_ATTEMPTS_MAX);
    f->placement.prefill[0] = f->placement.decode[0] = f->placement.local_decode[0] = '\0';
    f->placement.prefill_granted = f->placement.decode_granted = false;
}

static void renew_soon(forwarder_t *fw);

void place_record_decode(forward_t *f, const instance_t *decode)
{
    if (!f->owner->scheduler || strcmp(f->placement.decode, decode->listed.id) == 0 ||
        strcmp(f->placement.local_decode, decode->listed.id) == 0)
        return;
    place_report(f, PHASE_FAILED, NULL); /* releases the engine that it was counted at */
    place_locally(f);
    codec_copy_string(f->placement.local_decode, sizeof(f->placement.local_decode), decode->listed.id);
    renew_soon(f->owner);
}

void place_return(forward_t *f, const instance_t *decode)
{
    leader_query_drop(&f->placement.query);
    f->placement.prefill_granted = f->placement.decode_granted = false;
    place_record_decode(f, decode);
}

/** Retries a request whose prompt is already read, or whose engine failed, after no engine had room. Room may become
 * free before the prefill result expires or the caller gives up. @return whether a retry is scheduled */
static bool retry_placement_soon(forward_t *f)
{
    if (!f->handle.instance && !f->begun && f->runs == 0)
        return false;
    if (!forward_retry_soon(f, f->handle.instance ? f->handle.until : place_wait_until(f)))
        return false;
    place_locally(f);
    if (version_restricts(f))
        f->placement.asked = false; /* the scheduler keeps a place for it among few engines */
    return true;
}

static void handle_placed(forward_t *f, const msg_placed_t *placed)
{
    if (placed->held) { /* the leader may not have judged it yet: its list tells whether it is held */
        forward_fail_quarantined(f);
        return;
    }
    if (placed->over_cap) {
        cap_refuse(f, placed->retry_after_ms);
        return;
    }
    if (!placed->granted && retry_placement_soon(f))
        return;
    if (!placed->granted) {
        counter_add(&c_refused, 1);
        returns_fail(f, placed);
        return;
    }
    cap_record_granted(f);
    counter_add(&c_granted, 1);
    histogram_add(&h_place, tc_time_now() - f->request.arrived);
    f->placement.attempt = placed->attempt;
    f->placement.local_prefill = !placed->prefill[0] && !f->handle.instance;
    f->placement.prefill_granted = placed->prefill[0] && !f->handle.instance;
    f->placement.decode_granted = true;
    if (placed->prefill[0])
        codec_copy_string(f->placement.prefill, sizeof(f->placement.prefill), placed->prefill);
    codec_copy_string(f->placement.decode, sizeof(f->placement.decode), placed->decode);
    forward_continue(f);
}

bool place_is_leader_alive(const forwarder_t *fw)
{
    return reporter_leader_silence(fw->scheduler) < LEADER_ALIVE_MS;
}

static bool query_placement(forward_t *f);

/** Repeats the query while waiting for room is useful. The scheduler is alive but has no room yet. */
static void wait_for_room(forward_t *f)
{
    if (!f->handle.instance && tc_time_now() < returns_wait_until(f) && query_placement(f))
        return;
    place_report(f, PHASE_FAILED, NULL);
    counter_add(&c_refused, 1);
    forward_fail_full(f, REASON_NOT_IN_TIME); /* a local placement would find no room either */
}

static void on_placed(forward_t *f, int rc, uint32_t type, const void *message)
{
    if (rc == TC_OK && type == MSG_PLACED) {
        handle_placed(f, message);
        return;
    }
    if (rc == TC_E_TIMEOUT && place_is_leader_alive(f->owner)) {
        wait_for_room(f);
        return;
    }
    if (rc == TC_E_TIMEOUT)
        place_report(f, PHASE_FAILED, NULL); /* the query may still be queued there */
    forward_log(f, "place_alone", "scheduler did not answer", 0, NULL);
    place_locally(f);
    forward_continue(f);
}

static bool query(forward_t *f, uint32_t type, const void *message)
{
    return leader_query(f, &f->placement.query, type, message, PLACE_TIMEOUT_MS, on_placed);
}

/** Fills in the workspace and the cost by its usage cap, which the leader checks together with the placement. */
static void place_fill_workspace(const forward_t *f, msg_place_t *place)
{
    if (!f->workspace)
        return;
    if (feature_is_enabled(FEATURE_WORKSPACE_SHARE))
        codec_copy_string(place->workspace, sizeof(place->workspace), f->workspace->name);
    codec_copy_string(place->cap, sizeof(place->cap), f->workspace->name);
    place->cap_units = f->cap_granted || !feature_is_enabled(FEATURE_CAP_LEADER) ? 0 : cap_units(f);
}

/** Gap between two events after which a caller gives up a stream. */
static tc_time_t caller_gap_limit(const route_t *route)
{
    const tc_time_t by_targets =
        MAX(GAP_LIMIT_LATENCY_TARGETS * route->latency_target, GAP_LIMIT_GAP_TARGETS * route->gap_target);
    return MAX((tc_time_t)GAP_LIMIT_MIN_MS, by_targets);
}

tc_time_t place_patience_end(const forward_t *f)
{
    if (f->event_at > 0) /* it waits for the next event, not for the first */
        return MIN(f->deadline, place_wait_until(f));
    return MIN(f->deadline, f->request.arrived + caller_gap_limit(f->route));
}

/** Sends a placement query. A repeated query with the same id keeps its position, as the queue is ordered by due time.
 */
static bool query_placement(forward_t *f)
{
    forwarder_t *const fw = f->owner;
    const tc_time_t now = tc_time_now();
    /* A stream that may go to few engines waits as long as its caller bears: nobody else can serve it. */
    const tc_time_t due = version_restricts(f) ? version_wait_until(f) : f->request.arrived + f->route->latency_target;
    const tc_time_t wait = due - now;
    msg_place_t place = {.prompt_tokens = f->facts.prompt_tokens,
                         .max_tokens = place_output_tokens(&f->facts),
                         .priority = f->priority,
                         .wait_ms = wait > 1 ? (uint32_t)wait : 1,
                         .waited_ms = (uint32_t)(now - f->request.arrived),
                         .repeatable = route_is_repeatable(f->route),
                         .fingerprint = f->fingerprint,
                         .ends = forward_crash_count(f),
                         .is_trial = f->trial.is_granted,
                         .again = f->placement.queries++ > 0,
                         .patience_ms = place_patience_end(f) > now ? (uint32_t)(place_patience_end(f) - now) : 1,
                         .caller_ms = (uint32_t)MAX(forward_caller_patience(f), 1),
                         .rank = f->rank,
                         .ranked = route_table_is_ranked(f->table, f->service)};
    codec_copy_string(place.cell, sizeof(place.cell), CELL);
    codec_copy_string(place.id, sizeof(place.id), f->facts.id);
    codec_copy_string(place.box, sizeof(place.box), fw->options.box);
    codec_copy_string(place.model, sizeof(place.model), f->service);
    if (feature_is_enabled(FEATURE_DC_AFFINITY))
        codec_copy_string(place.dc, sizeof(place.dc), fw->options.dc);
    if (version_restricts(f))
        codec_copy_string(place.version, sizeof(place.version), f->binding.name);
    place_fill_workspace(f, &place);
    return query(f, MSG_PLACE, &place);
}

tc_time_t place_wait_until(const forward_t *f)
{
    if (f->event_at > 0) /* the caller has part of the answer: wait until it would give up */
        return f->event_at + caller_gap_limit(f->route) - RESUME_COST_MS;
    return f->request.arrived + (tc_time_t)(PLACE_WAIT_TARGETS * (double)f->route->latency_target);
}

bool place_request(forward_t *f)
{
    if (f->placement.asked)
        return false;
    f->placement.asked = true;
    if (f->placement.attempt > 0)
        place_report(f, PHASE_FAILED, NULL); /* the engine that this box chose did not take the request */
    f->placement.attempt = 0;
    if (!f->owner->scheduler || !f->facts.id[0] || !feature_is_enabled(FEATURE_SCHEDULER))
        return false;
    if (query_placement(f))
        return true;
    place_locally(f);
    return false;
}

bool place_replan(forward_t *f, const char *bad, trouble_t trouble)
{
    if (!f->placement.decode[0])
        return false; /* the scheduler did not choose this engine, so it cannot replace it */
    msg_replan_t replan = {.attempt = f->placement.attempt, .trouble = trouble, .ends = forward_crash_count(f)};
    codec_copy_string(replan.cell, sizeof(replan.cell), CELL);
    codec_copy_string(replan.id, sizeof(replan.id), f->facts.id);
    codec_copy_string(replan.bad, sizeof(replan.bad), bad);
    if (version_restricts(f))
        codec_copy_string(replan.version, sizeof(replan.version), f->binding.name);
    f->placement.decode[0] = '\0';
    if (query(f, MSG_REPLAN, &replan))
        return true;
    place_locally(f);
    return false;
}

bool place_is_local(const forward_t *f)
{
    return !f->placement.decode[0];
}

/** Flag for a call to the engine of that stage that the leader counted and that has not been made yet. */
static bool *granted_flag(forward_t *f, stage_t stage)
{
    return stage == STAGE_PREFILL ? &f->placement.prefill_granted : &f->placement.decode_granted;
}

bool place_use_grant(forward_t *f, dialect_op_t op, const instance_t *instance)
{
    const stage_t stage = op == DIALECT_PREFILL ? STAGE_PREFILL : STAGE_DECODE;
    const char *const chosen = stage == STAGE_PREFILL ? f->placement.prefill : f->placement.decode;
    bool *const granted = granted_flag(f, stage);
    if (!*granted || strcmp(chosen, instance->listed.id) != 0)
        return false;
    *granted = false;
    return true;
}

instance_t *place_chosen_engine(const forward_t *f, stage_t stage)
{
    const char *const id = stage == STAGE_PREFILL ? f->placement.prefill : f->placement.decode;
    const GPtrArray *const tried = stage == STAGE_PREFILL ? f->tried_prefill : f->tried;
    instance_t *const instance = id[0] ? fleet_find(f->owner->fleet, id) : NULL;
    const bool granted = stage == STAGE_PREFILL ? f->placement.prefill_granted : f->placement.decode_granted;
    if (instance && !granted && tc_time_now() < instance->limited_until)
        return NULL;
    if (instance && stage == STAGE_DECODE && !instance_has_version(instance, version_required(f)))
        return NULL; /* a leader of an earlier build does not know versions */
    if (!instance || !instance_accepts_work(instance, tc_time_now()) ||
        g_ptr_array_find((GPtrArray *)(uintptr_t)tried, instance, NULL))
        return NULL;
    return instance_ref(instance);
}

bool place_is_local_prefill(const forward_t *f)
{
    instance_t *const chosen = f->placement.local_prefill ? place_chosen_engine(f, STAGE_DECODE) : NULL;
    if (!chosen)
        return false;
    instance_unref(chosen);
    return true;
}

/* ===== Progress ===== */

/** Pace that the request's decode engine stated just now to this box, percent; 0 for none. */
static uint32_t decode_pace(const forward_t *f)
{
    const char *const id = f->placement.decode[0] ? f->placement.decode : f->placement.local_decode;
    const instance_t *const decode = id[0] ? fleet_find(f->owner->fleet, id) : NULL;
    if (!decode || !feature_is_enabled(FEATURE_READINGS) ||
        load_estimate_age(&decode->load, tc_time_now()) > PACE_AGE_MAX_MS)
        return 0;
    return decode->reading.pace;
}

static void report(forward_t *f, phase_t phase, const instance_t *bad, bool spoiled)
{
    const forwarder_t *const fw = f->owner;
    if (!fw->scheduler || (!f->placement.asked && f->placement.attempt == 0))
        return;
    msg_progress_t progress = {
        .attempt = f->placement.attempt, .phase = phase, .pace = decode_pace(f), .spoiled = spoiled};
    codec_copy_string(progress.cell, sizeof(progress.cell), CELL);
    codec_copy_string(progress.id, sizeof(progress.id), f->facts.id);
    codec_copy_string(progress.box, sizeof(progress.box), fw->options.box);
    codec_copy_string(progress.bad, sizeof(progress.bad), bad ? bad->listed.id : "");
    if (phase == PHASE_DECODE && f->events > 0 && version_restricts(f)) {
        progress.stream = stream_versions_key(f->facts.id, f->fingerprint);
        codec_copy_string(progress.version, sizeof(progress.version), f->binding.name);
    }
    if (phase == PHASE_TRANSFER) {
        progress.took_ms = (uint32_t)(tc_time_now() - f->placement.prefill_began);
        progress.computed_tokens = f->facts.prompt_tokens;
    }
    reporter_notify_leader(fw->scheduler, MSG_PROGRESS, &progress);
}

void place_report(forward_t *f, phase_t phase, const instance_t *bad)
{
    report(f, phase, bad, false);
}

void place_report_spoiled(forward_t *f, const instance_t *bad)
{
    report(f, PHASE_PREFILL, bad, true); /* the first phase changes none that the scheduler knows */
}

void place_finish(forward_t *f)
{
    leader_query_drop(&f->placement.query);
    if (f->split)
        place_report(f, f->events > 0 ? PHASE_FINISHED : PHASE_FAILED, NULL);
}

/* ===== Renewal ===== */

static bool is_counted(const forward_t *f)
{
    return f->split && f->placement.attempt > 0 && !f->placement.query;
}

static phase_t phase_of(const forward_t *f)
{
    if (f->begun)
        return PHASE_DECODE;
    return f->handle.instance ? PHASE_TRANSFER : PHASE_PREFILL;
}

static void fill_held(const forward_t *f, held_t *held)
{
    codec_copy_string(held->id, sizeof(held->id), f->facts.id);
    held->attempt = f->placement.attempt;
    held->phase = phase_of(f);
    held->prompt_tokens = f->facts.prompt_tokens;
    held->max_tokens = place_output_tokens(&f->facts);
    held->pieces = sched_pieces_of(SCHED_SMALL_PIECE_TOKENS, held->prompt_tokens, held->max_tokens);
    codec_copy_string(held->prefill, sizeof(held->prefill), f->placement.prefill);
    const char *const own = f->hold.instance ? f->hold.instance->listed.id : f->placement.local_decode;
    codec_copy_string(held->decode, sizeof(held->decode), f->placement.decode[0] ? f->placement.decode : own);
}

static void send_renewal(forwarder_t *fw, bool listed);

static void on_renewed(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    forwarder_t *const fw = arg;
    (void)err; /* the next renewal follows anyway */
    if (rc != TC_OK || type != MSG_RENEW_ACK)
        return;
    const msg_renew_ack_t *const ack = message;
    if (ack->want_list)
        send_renewal(fw, true);
    for (uint32_t i = 0; i < ack->lost_n; i++) {
        forward_t *f;
        cds_list_for_each_entry(f, &fw->requests, node)
            if (strcmp(f->facts.id, ack->lost[i].id) == 0 && f->placement.attempt == ack->lost[i].attempt)
                f->placement.attempt = 0; /* the request continues, but the scheduler no longer counts it */
    }
}

static void send_renewal(forwarder_t *fw, bool listed)
{
    msg_renew_t renew = {.incarnation = fw->options.incarnation, .listed = listed};
    codec_copy_string(renew.cell, sizeof(renew.cell), CELL);
    codec_copy_string(renew.box, sizeof(renew.box), fw->options.box);
    renew.held = calloc(fw->in_flight + 1, sizeof(*renew.held));
    if (!renew.held)
        abort();
    const forward_t *f;
    cds_list_for_each_entry(f, &fw->requests, node) {
        if (!is_counted(f))
            continue;
        renew.count++;
        renew.digest ^= sched_digest(f->facts.id, f->placement.attempt);
        if (listed)
            fill_held(f, &renew.held[renew.held_n++]);
    }
    if (renew.count > 0 || fw->has_counted || listed)
        (void)reporter_call_leader(fw->scheduler, MSG_RENEW, &renew, RENEW_MS, on_renewed, fw);
    fw->has_counted = renew.count > 0;
    free(renew.held);
}

static void on_renewal(void *arg)
{
    forwarder_t *const fw = arg;
    send_renewal(fw, fw->renews_soon);
    fw->renews_soon = false;
    loop_arm(fw->loop, &fw->renewal, tc_time_now() + RENEW_MS, on_renewal, fw);
}

static void renew_soon(forwarder_t *fw)
{
    if (fw->renews_soon)
        return;
    fw->renews_soon = true;
    loop_arm(fw->loop, &fw->renewal, tc_time_now() + RENEW_SOON_MS, on_renewal, fw);
}

void place_start_renewal(forwarder_t *fw)
{
    on_renewal(fw);
}
