/* Slots of plain back ends: asks the leader for one, and returns it when the call that used it has ended. While the
 * leader does not answer, this box chooses back ends by itself; its reports count what it sends that way. */

#include <string.h>

#include "common/counter.h"
#include "common/feature.h"
#include "common/histogram.h"
#include "forward/forward_internal.h"

HISTOGRAM_DEFINE(h_slot, "trackcove_slot_wait_ms", "From a request to the slot that the leader granted it")
COUNTER_DEFINE(c_alone, "counter", "trackcove_slot_alone_total",
               "Calls to plain back ends that this box sent without an answer of the leader")
COUNTER_DEFINE(c_unusable, "counter", "trackcove_slot_unusable_total",
               "Slots that this box gave back, since it could not use the back end")

/** A query in flight. The transport cannot cancel it, so it outlives a request that ends. */
struct slot_query {
    forwarder_t *owner;
    forward_t *request; /* NULL once the request has ended */
    char id[CODEC_STR_SIZE], service[CODEC_STR_SIZE];
};

/* ===== Ending a slot ===== */

/** Names the slot in @p done and sends it. @param done outcome, time taken and stated load are set */
static void send_done(forwarder_t *fw, const char *id, const char *service, const char *backend, msg_slot_done_t *done)
{
    if (!reporter_leader_grants_slots(fw->scheduler))
        return; /* a slot of an earlier leader */
    codec_copy_string(done->id, sizeof(done->id), id);
    codec_copy_string(done->box, sizeof(done->box), fw->options.box);
    codec_copy_string(done->service, sizeof(done->service), service);
    codec_copy_string(done->backend, sizeof(done->backend), backend);
    reporter_notify_leader(fw->scheduler, MSG_SLOT_DONE, done);
}

static void give_back(forwarder_t *fw, const char *id, const char *service, const msg_slot_taken_t *taken)
{
    msg_slot_done_t done = {.ticket = taken->ticket, .outcome = SLOT_OUTCOME_UNUSED};
    send_done(fw, id, service, taken->backend, &done);
}

/** Withdraws the request from the leader's queue. */
static void withdraw(const forward_t *f)
{
    msg_slot_done_t done = {.outcome = SLOT_OUTCOME_UNUSED};
    send_done(f->owner, f->facts.id, f->service, "", &done);
}

static void clear_slot(forward_t *f)
{
    instance_unref(f->slot.instance);
    f->slot.instance = NULL;
    f->slot.ticket = 0;
}

/** Gives back the slot of the request without a call. */
static void return_unused(forward_t *f)
{
    msg_slot_done_t done = {.ticket = f->slot.ticket, .outcome = SLOT_OUTCOME_UNUSED};
    send_done(f->owner, f->facts.id, f->service, f->slot.instance->listed.id, &done);
    clear_slot(f);
}

/** Copies the load that the answer states; nothing when there was none. */
static void fill_load(msg_slot_done_t *done, const backend_call_t *call)
{
    const load_reading_t *const load = &call->reply.load;
    if (!feature_is_enabled(FEATURE_READINGS))
        return;
    done->stated = load->stated;
    done->running = load->running;
    done->waiting = load->waiting;
    done->slots = load->slots;
    done->pace = load->pace;
}

void slot_end_call(const backend_call_t *call)
{
    forward_t *const f = call->request;
    f->slot.alone = false;
    f->slot.returned[0] = '\0';
    if (f->slot.instance != call->instance)
        return; /* sent without a slot */
    msg_slot_done_t done = {.ticket = f->slot.ticket,
                            .outcome = call->outcome,
                            .took_ms = (uint32_t)(tc_time_now() - call->began),
                            .spoiled = call->spoiled};
    fill_load(&done, call);
    send_done(f->owner, f->facts.id, f->service, call->instance->listed.id, &done);
    clear_slot(f);
}

void slot_cancel(forward_t *f)
{
    if (f->slot.query) {
        f->slot.query->request = NULL;
        f->slot.query = NULL;
        withdraw(f);
    }
    if (f->slot.instance)
        return_unused(f);
}

/* ===== Back ends ===== */

/** Requirements on a back end for which the leader counts the requests of all boxes, so that this box's part of the
 *  connections does not matter. */
static fleet_query_t slot_query_of(const forward_t *f)
{
    fleet_query_t query = forward_fleet_query(f, STAGE_NONE);
    query.connections = 0;
    return query;
}

/** Listed back ends of the service, by whether the request may be sent there. */
typedef struct {
    const fleet_query_t *query;
    GArray *excluded, *avoided; /* record_name_t */
    unsigned preferred;
} candidates_t;

static void add_name(GArray *names, const instance_t *instance)
{
    record_name_t name = {0};
    codec_copy_string(name.name, sizeof(name.name), instance->listed.id);
    g_array_append_val(names, name);
}

static void add_candidate(void *arg, instance_t *instance)
{
    candidates_t *const c = arg;
    if (!fleet_matches(instance, c->query))
        add_name(c->excluded, instance);
    else if (instance_is_avoided(instance, c->query->now))
        add_name(c->avoided, instance);
    else
        c->preferred++;
}

/** @return record_name_t: back ends that the request must not get; NULL when it can get none */
static GArray *list_excluded(const forward_t *f)
{
    const fleet_query_t query = slot_query_of(f);
    candidates_t c = {.query = &query,
                      .excluded = g_array_new(FALSE, FALSE, sizeof(record_name_t)),
                      .avoided = g_array_new(FALSE, FALSE, sizeof(record_name_t))};
    fleet_each_listed(f->owner->fleet, &query, add_candidate, &c);
    const bool any = c.preferred > 0 || c.avoided->len > 0;
    if (c.preferred > 0) /* else one that failed is better than none */
        g_array_append_vals(c.excluded, c.avoided->data, c.avoided->len);
    record_name_t unknown = {0};
    codec_copy_string(unknown.name, sizeof(unknown.name), f->slot.returned);
    if (unknown.name[0] && !fleet_find(f->owner->fleet, unknown.name)) /* this box has an older list than the leader */
        g_array_append_val(c.excluded, unknown);
    g_array_free(c.avoided, TRUE);
    if (any)
        return c.excluded;
    g_array_free(c.excluded, TRUE);
    return NULL;
}

static void add_slots(void *arg, instance_t *instance)
{
    *(unsigned *)arg += instance->listed.slots;
}

static bool has_listed_slots(const forward_t *f)
{
    const fleet_query_t query = slot_query_of(f);
    unsigned slots = 0;
    fleet_each_listed(f->owner->fleet, &query, add_slots, &slots);
    return slots > 0;
}

bool slot_is_active(const forward_t *f)
{
    const forwarder_t *const fw = f->owner;
    if (f->split || !fw->scheduler || !f->facts.id[0] || !feature_is_enabled(FEATURE_SLOTS))
        return false;
    if (f->slot.instance)
        return true;
    return (route_table_is_ranked(f->table, NULL) || fleet_is_shared(fw->fleet, f->service)) && has_listed_slots(f);
}

/* ===== Asking ===== */

static uint32_t ms_until(tc_time_t at, tc_time_t now)
{
    return at > now ? (uint32_t)(at - now) : 0;
}

static void fill_take(const forward_t *f, msg_slot_take_t *take)
{
    const tc_time_t now = tc_time_now();
    take->priority = f->priority;
    take->rank = f->rank;
    take->fingerprint = forward_is_recognisable(f) ? f->fingerprint : 0;
    take->wait_ms = ms_until(f->request.arrived + f->route->latency_target, now);
    take->patience_ms = MAX(ms_until(f->deadline, now), 1);
    take->caller_ms = (uint32_t)MAX(forward_caller_patience(f), 1);
    take->waited_ms = (uint32_t)(now - f->request.arrived);
    take->connections = f->settings->max_connections;
    codec_copy_string(take->id, sizeof(take->id), f->facts.id);
    codec_copy_string(take->box, sizeof(take->box), f->owner->options.box);
    codec_copy_string(take->service, sizeof(take->service), f->service);
    if (feature_is_enabled(FEATURE_DC_AFFINITY))
        codec_copy_string(take->dc, sizeof(take->dc), f->owner->options.dc);
    if (f->workspace && feature_is_enabled(FEATURE_WORKSPACE_SHARE))
        codec_copy_string(take->workspace, sizeof(take->workspace), f->workspace->name);
}

static void on_taken(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err);

/** Asks the leader. A repeated query keeps its position in the queue.
 *  @return false, with nothing done, when no leader is known or no back end can be used */
static bool query_leader(forward_t *f)
{
    forwarder_t *const fw = f->owner;
    GArray *const excluded = list_excluded(f);
    if (!excluded)
        return false;
    msg_slot_take_t take = {
        .again = f->slot.asked, .tried = (record_name_t *)(void *)excluded->data, .tried_n = excluded->len};
    fill_take(f, &take);
    slot_query_t *const query = g_new0(slot_query_t, 1);
    query->owner = fw;
    query->request = f;
    codec_copy_string(query->id, sizeof(query->id), take.id);
    codec_copy_string(query->service, sizeof(query->service), take.service);
    f->slot.query = query;
    const bool sent = reporter_call_leader(fw->scheduler, MSG_SLOT_TAKE, &take, PLACE_TIMEOUT_MS, on_taken, query);
    g_array_free(excluded, TRUE);
    f->slot.asked = f->slot.asked || sent;
    if (!sent) {
        f->slot.query = NULL;
        g_free(query);
    }
    return sent;
}

static bool is_usable(const forward_t *f, const instance_t *instance)
{
    const fleet_query_t query = slot_query_of(f);
    return fleet_matches(instance, &query);
}

/** Records that this box could not use a slot there. The leader is asked once more: until all boxes know a new back
 * end, it grants many slots there, and requests sent without slots would overload the others. */
static void record_unusable(forward_t *f, const char *backend)
{
    counter_add(&c_unusable, 1);
    f->slot.alone = f->slot.returned[0] != '\0';
    codec_copy_string(f->slot.returned, sizeof(f->slot.returned), backend);
}

bool slot_request(forward_t *f)
{
    if (f->slot.instance && !is_usable(f, f->slot.instance)) {
        forward_log(f, "slot_unused", "this box cannot use the back end", 0, f->slot.instance);
        record_unusable(f, f->slot.instance->listed.id);
        return_unused(f);
    }
    if (f->slot.instance || f->slot.alone)
        return false;
    if (reporter_leader_grants_slots(f->owner->scheduler) && place_is_leader_alive(f->owner) && query_leader(f))
        return true;
    f->slot.alone = true;
    return false;
}

instance_t *slot_pick_backend(forward_t *f)
{
    if (f->slot.instance)
        return instance_ref(f->slot.instance);
    instance_t *const chosen = forward_choose(f, STAGE_NONE);
    counter_add(&c_alone, chosen != NULL);
    return chosen;
}

/* ===== Answers ===== */

static void handle_taken(forward_t *f, const msg_slot_taken_t *taken)
{
    if (!taken->granted) {
        forward_fail_until(f, REASON_NO_SLOT, MAX(taken->retry_after_ms, 1));
        return;
    }
    instance_t *const instance = fleet_find(f->owner->fleet, taken->backend);
    if (instance) {
        histogram_add(&h_slot, tc_time_now() - f->request.arrived);
        f->slot.instance = instance_ref(instance);
        f->slot.ticket = taken->ticket;
    } else {
        forward_log(f, "slot_unused", "this box does not know the back end", 0, NULL);
        record_unusable(f, taken->backend);
        give_back(f->owner, f->facts.id, f->service, taken);
    }
    forward_continue(f);
}

/** Asks again while the leader is alive: the request is queued there. Otherwise this box chooses by itself. */
static void handle_no_answer(forward_t *f, int rc)
{
    if (rc == TC_E_TIMEOUT && place_is_leader_alive(f->owner) && query_leader(f))
        return;
    if (rc == TC_E_TIMEOUT)
        withdraw(f);
    forward_log(f, "slot_alone", "the leader did not answer", 0, NULL);
    f->slot.alone = true;
    forward_continue(f);
}

static void on_taken(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    slot_query_t *const query = arg;
    forward_t *const f = query->request;
    const msg_slot_taken_t *const taken = rc == TC_OK && type == MSG_SLOT_TAKEN ? message : NULL;
    (void)err; /* it only matters that there is no answer */
    if (f)
        f->slot.query = NULL;
    if (f && taken)
        handle_taken(f, taken);
    else if (f)
        handle_no_answer(f, rc);
    else if (taken && taken->granted)
        give_back(query->owner, query->id, query->service, taken);
    g_free(query);
}
