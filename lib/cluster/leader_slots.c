#include "cluster/leader_slots.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/counter.h"
#include "common/feature.h"
#include "common/log.h"
#include "lists/list.h"

COUNTER_DEFINE(c_granted, "counter", "trackcove_slots_granted_total",
               "Slots of plain back ends that the leader granted")
COUNTER_DEFINE(c_refused, "counter", "trackcove_slots_refused_total",
               "Requests for a slot of a plain back end that the leader refused")
COUNTER_DEFINE(c_expired, "counter", "trackcove_slots_expired_total",
               "Queued requests for slots that were refused when their time was over")
COUNTER_DEFINE(c_queued, "gauge", "trackcove_slots_queued", "Requests that wait at the leader for a slot")
COUNTER_DEFINE(c_used, "gauge", "trackcove_slots_in_use", "Granted slots in use")
COUNTER_DEFINE(c_delay, "gauge", "trackcove_slots_delay_ms",
               "Mean delay of the messages about a slot, of the service with the longest")
COUNTER_DEFINE(c_extra, "gauge", "trackcove_slots_extra",
               "Requests that the leader may send to back ends beyond their slots")

/* ===== Constants ===== */

enum {
    TOTALS_INTERVAL_MS = 1000, /* between log lines with the totals of a pool */
    RETURNS_INTERVAL_MS = 1000 /* between calls of returns_tick */
};

/* ===== Types ===== */

/** The pool of one service. */
typedef struct {
    char service[CODEC_STR_SIZE];
    slot_pool_t *pool;
    returns_t *returns; /* NULL without FEATURE_RETURNS */
    uint64_t expired;   /* of the pool's stats, as counted so far */
} service_pool_t;

/** The last report of a box, for pools that are created after it. */
typedef struct {
    backend_load_t *loads;
    uint32_t n;
    tc_time_t at;
} box_loads_t;

struct leader_slots {
    peer_net_t *net;
    uint64_t term;
    tc_time_t term_at; /* when this box learned that it leads */
    bool held;
    uint32_t boxes;
    backend_t *backends; /* those in evacuated data centres are marked as draining */
    uint32_t backends_n;
    GHashTable *pools;   /* service -> service_pool_t */
    GHashTable *reports; /* box -> box_loads_t, of this term */
    tc_time_t totals_at, returns_at;
};

static void free_pool(gpointer value)
{
    service_pool_t *const p = value;
    slot_pool_destroy(p->pool);
    if (p->returns)
        returns_destroy(p->returns);
    g_free(p);
}

static void free_loads(gpointer value)
{
    free(((box_loads_t *)value)->loads);
    g_free(value);
}

/* ===== Log ===== */

static void log_decision(const service_pool_t *p, const slot_answer_t *answer)
{
    const msg_slot_taken_t *const taken = &answer->taken;
    log_line_t line;
    log_begin(&line, LOG_INFO, "slot");
    log_str(&line, "request", answer->id);
    log_str(&line, "service", p->service);
    log_int(&line, "granted", taken->granted);
    log_str(&line, "reason", taken->reason);
    log_str(&line, "backend", taken->backend);
    log_int(&line, "ticket", (int64_t)taken->ticket);
    log_int(&line, "queued", answer->queued);
    log_int(&line, "waited_ms", answer->waited_ms);
    if (answer->reading_ms != TC_TIME_NEVER)
        log_int(&line, "reading_age_ms", answer->reading_ms);
    if (taken->granted)
        log_int(&line, "extra", answer->extra);
    if (!taken->granted) {
        log_int(&line, "retry_after_ms", taken->retry_after_ms);
        log_int(&line, "promised", taken->promised);
    }
    log_end(&line);
}

static void log_totals(const service_pool_t *p, const slot_stats_t *stats)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "slots");
    log_str(&line, "service", p->service);
    log_int(&line, "backends", stats->backends);
    log_int(&line, "slots", stats->slots);
    log_int(&line, "tickets", stats->tickets);
    log_int(&line, "unticketed", stats->unticketed);
    log_int(&line, "queued", stats->queued);
    log_int(&line, "queued_late", stats->queued_late);
    log_num(&line, "delay_ms", stats->delay_ms);
    log_int(&line, "extra", stats->extra);
    log_num(&line, "ended_s", stats->rate);
    log_int(&line, "granted", (int64_t)stats->granted);
    log_int(&line, "refused", (int64_t)stats->refused);
    log_int(&line, "expired", (int64_t)stats->expired);
    log_int(&line, "unused", (int64_t)stats->unused);
    log_end(&line);
}

/* ===== Answers ===== */

/** Answers with an error, after which the box chooses a back end by itself. */
static void refuse_call(const leader_slots_t *l, peer_call_t call, const char *why)
{
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_REFUSED, "slot_take", "", "%s", why);
    peer_reply_error(l->net, call, &err);
}

static void send_answers(const leader_slots_t *l, const service_pool_t *p)
{
    slot_answer_t answer;
    while (slot_pool_next_answer(p->pool, &answer)) {
        const peer_call_t call = {.connection = answer.token.a, .call = answer.token.b};
        if (answer.repeated) { /* the box waits for it no longer, unless two requests there have the same id */
            refuse_call(l, call, "superseded by another call of the same request");
            continue;
        }
        counter_add(answer.taken.granted ? &c_granted : &c_refused, 1);
        log_decision(p, &answer);
        peer_reply(l->net, call, MSG_SLOT_TAKEN, &answer.taken);
    }
}

/* ===== Pools ===== */

static bool has_slots(const leader_slots_t *l, const char *service)
{
    for (uint32_t i = 0; i < l->backends_n; i++)
        if (l->backends[i].slots > 0 && !l->backends[i].stage[0] && strcmp(l->backends[i].service, service) == 0)
            return true;
    return false;
}

/** Whether boxes reported requests at back ends of the service: another leader granted them, or boxes chose by
 *  themselves. */
static bool has_loads(const leader_slots_t *l, const char *service)
{
    bool found = false;
    GHashTable *const ids = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < l->backends_n; i++)
        if (strcmp(l->backends[i].service, service) == 0)
            g_hash_table_add(ids, l->backends[i].id);
    GHashTableIter at;
    gpointer value;
    g_hash_table_iter_init(&at, l->reports);
    while (!found && g_hash_table_iter_next(&at, NULL, &value)) {
        const box_loads_t *const report = value;
        for (uint32_t i = 0; i < report->n && !found; i++)
            found = report->loads[i].running > 0 && g_hash_table_contains(ids, report->loads[i].id);
    }
    g_hash_table_destroy(ids);
    return found;
}

static void apply_known_reports(const leader_slots_t *l, slot_pool_t *pool, tc_time_t now)
{
    GHashTableIter at;
    gpointer box, value;
    g_hash_table_iter_init(&at, l->reports);
    while (g_hash_table_iter_next(&at, &box, &value)) {
        const box_loads_t *const report = value;
        slot_pool_set_box_loads(pool, box, report->loads, report->n, now);
    }
}

/** The number of boxes is known once the first ones of a term have had the time to report. */
static void expect_boxes(const leader_slots_t *l, slot_pool_t *pool, tc_time_t now)
{
    if (now - l->term_at >= SLOT_REBUILD_MS && l->boxes > 0)
        slot_pool_expect_boxes(pool, l->boxes);
}

static service_pool_t *create_pool(const leader_slots_t *l, const char *service, tc_time_t now)
{
    service_pool_t *const p = g_new0(service_pool_t, 1);
    const bool rebuild = now - l->term_at < SLOT_REBUILD_MS || has_loads(l, service);
    codec_copy_string(p->service, sizeof(p->service), service);
    p->returns = feature_is_enabled(FEATURE_RETURNS) ? returns_create() : NULL;
    p->pool = slot_pool_create(service, rebuild, p->returns, now);
    slot_pool_suspend(p->pool, !l->held);
    slot_pool_set_backends(p->pool, l->backends, l->backends_n, now);
    apply_known_reports(l, p->pool, now);
    expect_boxes(l, p->pool, now);
    g_hash_table_insert(l->pools, p->service, p);
    return p;
}

/* ===== Events ===== */

void leader_slots_set_backends(leader_slots_t *l, const backend_t *list, uint32_t n, const evacuations_t *evacuations,
                               tc_time_t now)
{
    free(l->backends);
    l->backends = list_copy(list, n * sizeof(*list));
    l->backends_n = n;
    for (uint32_t i = 0; i < n; i++)
        l->backends[i].draining = list[i].draining || evacuations_has(evacuations, list[i].dc);
    GHashTableIter at;
    gpointer value;
    g_hash_table_iter_init(&at, l->pools);
    while (g_hash_table_iter_next(&at, NULL, &value)) {
        const service_pool_t *const p = value;
        slot_pool_set_backends(p->pool, l->backends, n, now);
        send_answers(l, p);
    }
}

void leader_slots_handle_report(leader_slots_t *l, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    ack->grants_slots = feature_is_enabled(FEATURE_SLOTS);
    box_loads_t *const kept = g_new0(box_loads_t, 1);
    *kept = (box_loads_t){
        .loads = list_copy(report->loads, report->loads_n * sizeof(*report->loads)), .n = report->loads_n, .at = now};
    g_hash_table_insert(l->reports, g_strdup(report->self.box), kept);
    GHashTableIter at;
    gpointer value;
    g_hash_table_iter_init(&at, l->pools);
    while (g_hash_table_iter_next(&at, NULL, &value)) {
        const service_pool_t *const p = value;
        slot_pool_set_box_loads(p->pool, report->self.box, report->loads, report->loads_n, now);
        send_answers(l, p);
    }
}

static void on_take(leader_slots_t *l, peer_call_t call, const msg_slot_take_t *take, tc_time_t now)
{
    const service_pool_t *p = g_hash_table_lookup(l->pools, take->service);
    if (!p && (!feature_is_enabled(FEATURE_SLOTS) || !has_slots(l, take->service))) {
        refuse_call(l, call, "the service has no listed slots");
        return;
    }
    if (!p)
        p = create_pool(l, take->service, now);
    slot_pool_take(p->pool, take, (slot_token_t){.a = call.connection, .b = call.call}, now);
    send_answers(l, p);
}

static void on_done(const leader_slots_t *l, const msg_slot_done_t *done, tc_time_t now)
{
    const service_pool_t *const p = g_hash_table_lookup(l->pools, done->service);
    if (!p)
        return; /* a slot that an earlier leader granted */
    slot_pool_done(p->pool, done, now);
    send_answers(l, p);
}

bool leader_slots_handles_type(uint32_t type)
{
    return type == MSG_SLOT_TAKE || type == MSG_SLOT_DONE;
}

void leader_slots_handle_message(leader_slots_t *l, peer_call_t call, uint32_t type, const void *message, tc_time_t now)
{
    if (type == MSG_SLOT_TAKE)
        on_take(l, call, message, now);
    else
        on_done(l, message, now);
}

/* ===== Life ===== */

static gboolean is_silent(gpointer box, gpointer value, gpointer arg)
{
    const tc_time_t *const now = arg;
    (void)box;
    return *now - ((const box_loads_t *)value)->at > SLOT_BOX_TIMEOUT_MS;
}

static void begin_term(leader_slots_t *l, uint64_t term, tc_time_t now)
{
    g_hash_table_remove_all(l->pools); /* waiting boxes ask the next leader, or choose by themselves */
    g_hash_table_remove_all(l->reports);
    counter_set(&c_queued, 0);
    counter_set(&c_used, 0);
    counter_set(&c_delay, 0);
    counter_set(&c_extra, 0);
    l->term = term;
    l->term_at = now;
}

/** @return whether @p at is due, and if so sets the next time */
static bool is_due(tc_time_t *at, tc_time_t interval, tc_time_t now)
{
    if (now < *at)
        return false;
    *at = now + interval;
    return true;
}

static void tick_pools(leader_slots_t *l, tc_time_t now)
{
    const bool totals = is_due(&l->totals_at, TOTALS_INTERVAL_MS, now);
    const bool returns = is_due(&l->returns_at, RETURNS_INTERVAL_MS, now);
    uint32_t queued = 0, used = 0, extra = 0;
    double delay_ms = 0;
    GHashTableIter at;
    gpointer value;
    g_hash_table_iter_init(&at, l->pools);
    while (g_hash_table_iter_next(&at, NULL, &value)) {
        service_pool_t *const p = value;
        slot_pool_suspend(p->pool, !l->held);
        expect_boxes(l, p->pool, now);
        if (p->returns && returns)
            returns_tick(p->returns, now);
        slot_pool_tick(p->pool, now);
        send_answers(l, p);
        const slot_stats_t stats = slot_pool_stats(p->pool);
        counter_add(&c_expired, (int64_t)(stats.expired - p->expired));
        p->expired = stats.expired;
        queued += stats.queued;
        used += stats.tickets;
        extra += stats.extra;
        delay_ms = MAX(delay_ms, stats.delay_ms);
        if (totals)
            log_totals(p, &stats);
    }
    counter_set(&c_queued, queued);
    counter_set(&c_used, used);
    counter_set(&c_delay, (int64_t)delay_ms);
    counter_set(&c_extra, extra);
}

void leader_slots_tick(leader_slots_t *l, uint64_t term, bool held, uint32_t boxes, tc_time_t now)
{
    if (term != l->term)
        begin_term(l, term, now);
    l->held = held;
    l->boxes = boxes;
    g_hash_table_foreach_remove(l->reports, is_silent, &now);
    if (term != 0)
        tick_pools(l, now);
}

void leader_slots_view(const leader_slots_t *l, admission_view_t *view, tc_time_t now)
{
    GList *const services = g_list_sort(g_hash_table_get_keys(l->pools), (GCompareFunc)strcmp);
    for (const GList *at = services; at; at = at->next) {
        const service_pool_t *const p = g_hash_table_lookup(l->pools, at->data);
        slot_pool_view(p->pool, admission_view_add(view, p->service, ADMISSION_SLOTS), now);
    }
    g_list_free(services);
}

leader_slots_t *leader_slots_create(peer_net_t *net)
{
    leader_slots_t *const l = g_new0(leader_slots_t, 1);
    l->net = net;
    l->pools = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
    l->reports = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_loads);
    return l;
}

void leader_slots_destroy(leader_slots_t *l)
{
    g_hash_table_destroy(l->pools);
    g_hash_table_destroy(l->reports);
    free(l->backends);
    g_free(l);
}
