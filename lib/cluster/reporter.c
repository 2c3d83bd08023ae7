/* Which box to ask, and when. */

#include "cluster/reporter.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cluster/reporter_internal.h"
#include "common/counter.h"
#include "common/log.h"

COUNTER_DEFINE(c_reports, "counter", "trackcove_report_calls_total", "Reports sent")
COUNTER_DEFINE(c_failed, "counter", "trackcove_report_failed_total", "Reports without an answer")
COUNTER_DEFINE(c_leader, "gauge", "trackcove_report_leader_heard", "Whether a leader answered the last report")

/* ===== Constants ===== */

enum {
    TICK_MS = 50,
    REPORT_PERIOD_MS = 300,    /* between reports: a fifth of ROSTER_TIMEOUT_MS */
    RETRY_MS = 100,            /* before the next control box is tried, when one was not the leader */
    REPORT_TIMEOUT_MS = 450,   /* for one report: an answer within reach takes a few ms */
    CONTROL_TIMEOUT_MS = 1000, /* without an answer of any control box; then other boxes are asked too */
    DISCOVERY_MS = 50,      /* first pause between queries to all control boxes while no document is known: short, since
                            every request is refused until then */
    DISCOVERY_MAX_MS = 800, /* limit of the doubling pause: without it, hundreds of boxes that start at once before
                            there is any document would send 20,000 queries per second to the control boxes */
    NEIGHBOUR_POLL_MS = 500, /* between queries to other boxes: about ten rounds spread an update to 300 boxes */
    FAILURES_MAX = 2         /* consecutive reports without an answer of the leader, after which another box is asked */
};

/* ===== Types ===== */

/** Context of a query to another box, a report or a side query. Freed when it ends. */
typedef struct {
    reporter_t *reporter;
    tc_time_t asked;
    bool wants_list; /* the answer may contain the list of back ends */
} query_t;

/* ===== Stalls of this box ===== */

/** By how much the timer is overdue: this box was suspended, or did not get a processor. */
static tc_time_t overdue(const reporter_t *r, tc_time_t now)
{
    return r->ticked > 0 ? MAX(now - r->ticked - TICK_MS, 0) : 0;
}

/* ===== Choice of the target ===== */

static uint32_t count_strings(char **list)
{
    return list ? g_strv_length(list) : 0;
}

/** Number of known control boxes: members, then seeds. */
static uint32_t count_controls(const reporter_t *r)
{
    return r->members_n + count_strings(r->controls);
}

static const char *control_at(const reporter_t *r, uint32_t at)
{
    return at < r->members_n ? r->members[at].peer : r->controls[at - r->members_n];
}

/** Choose the next target in turn: members and seeds, and other boxes when no control box answers. */
static void next_target(reporter_t *r, tc_time_t now)
{
    const uint32_t controls = count_controls(r);
    const uint32_t all = controls + (now - r->control_contact > CONTROL_TIMEOUT_MS ? count_strings(r->neighbours) : 0);
    r->failed = 0;
    for (uint32_t tries = 0; tries < all; tries++) {
        const uint32_t at = r->turn++ % all;
        const char *const addr = at < controls ? control_at(r, at) : r->neighbours[at - controls];
        if (strcmp(addr, r->self->peer_addr) == 0)
            continue;
        codec_copy_string(r->target, sizeof(r->target), addr);
        return;
    }
}

static void set_connected(reporter_t *r, bool connected)
{
    if (connected == r->connected)
        return;
    r->connected = connected;
    counter_set(&c_leader, connected);
    log_line_t line;
    log_begin(&line, connected ? LOG_INFO : LOG_WARN, connected ? "control_regained" : "control_lost");
    log_str(&line, "peer", r->target);
    log_int(&line, "version", (int64_t)r->in_force);
    log_end(&line);
}

/* ===== Queries ===== */

static void fill_report(const reporter_t *r, msg_report_t *report)
{
    *report = (msg_report_t){.self = *r->self, .without_backends = r->list_requested};
    lists_fill_report(r, report);
}

static void send_query(reporter_t *r, const char *addr, const msg_report_t *report, peer_reply_t fn)
{
    query_t *const query = g_new(query_t, 1);
    *query = (query_t){.reporter = r, .asked = tc_time_now(), .wants_list = !report->without_backends};
    r->list_requested = true;
    counter_add(&c_reports, 1);
    peer_call(r->net, addr, MSG_REPORT, report, REPORT_TIMEOUT_MS, fn, query);
}

/** @param arg the query, freed here */
static query_t end_query(void *arg)
{
    const query_t query = *(query_t *)arg;
    g_free(arg);
    if (query.wants_list)
        query.reporter->list_requested = false;
    return query;
}

/* ===== Reports ===== */

/** The current report has failed. */
static void report_failed(reporter_t *r, tc_time_t now)
{
    counter_add(&c_failed, 1);
    if (r->connected && ++r->failed < FAILURES_MAX)
        return; /* a single answer may be lost */
    set_connected(r, false);
    r->leader[0] = '\0';
    next_target(r, now);
}

/** Choose the target and time of the next report, after an answer. */
static void choose_next_report(reporter_t *r, const msg_report_ack_t *ack, tc_time_t now)
{
    if (ack->leads) {
        r->next_at = now + REPORT_PERIOD_MS;
    } else if (ack->leader[0] && strcmp(ack->leader, r->target) != 0) {
        codec_copy_string(r->target, sizeof(r->target), ack->leader);
        r->next_at = now;
    } else {
        next_target(r, now);
    }
}

static void on_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    const query_t query = end_query(arg);
    reporter_t *const r = query.reporter;
    const tc_time_t now = tc_time_now();
    (void)err; /* counted; a loss of connection is logged once */
    r->waiting = false;
    r->next_at = now + RETRY_MS;
    if (rc != TC_OK || type != MSG_REPORT_ACK) {
        report_failed(r, now);
        return;
    }
    const msg_report_ack_t *const ack = message;
    r->failed = 0;
    if (ack->leads && r->events.take_versions)
        r->events.take_versions(r->events.arg, ack);
    lists_take_ack(r, ack, query.asked);
    if (ack->leads && r->quarantine && quarantine_confirm_report(r->quarantine, ack->quarantine.term))
        r->report_due = true;
    if (ack->leads && r->caps && cap_shares_apply_reply(r->caps, ack->quarantine.term, ack->caps, ack->caps_n, now))
        r->report_due = true;
    if (ack->leads && r->events.take_limits && r->events.take_limits(r->events.arg, ack))
        r->report_due = true;
    if (ack->leads && r->events.on_loads)
        r->events.on_loads(r->events.arg, ack->loads, ack->loads_n, ack->loads_partial);
    codec_copy_string(r->leader, sizeof(r->leader), ack->leads ? r->target : ack->leader);
    if (ack->leads || ack->members_hash != 0)
        r->control_contact = now;
    r->grants_slots = ack->leads && ack->grants_slots;
    r->finds_streams = ack->leads && ack->finds_streams;
    r->grants_trials = ack->leads && ack->grants_trials;
    set_connected(r, ack->leads);
    if (ack->leads) {
        r->leader_contact = now;
        r->stalled = -overdue(r, now); /* which the next turn of the timer adds: it was before this answer */
        r->leader_asked = query.asked;
    }
    choose_next_report(r, ack, now);
    if (r->report_due)
        r->next_at = now;
}

static void send_report(reporter_t *r)
{
    msg_report_t report;
    fill_report(r, &report);
    if (r->events.loads)
        report.loads = r->events.loads(r->events.arg, &report.loads_n);
    if (r->quarantine)
        quarantine_fill_report(r->quarantine, &report.quarantine, tc_time_now());
    if (r->caps)
        report.used = cap_shares_report(r->caps, &report.used_n, tc_time_now());
    if (r->events.fill_report)
        r->events.fill_report(r->events.arg, &report);
    r->waiting = true;
    r->report_due = false;
    send_query(r, r->target, &report, on_answer);
    codec_free(&quarantine_news_desc, &report.quarantine);
    free(report.loads);
    free(report.used);
    free(report.limits);
    free(report.limits_used);
    free(report.cold_used);
    free(report.notices);
    free(report.streams);
    codec_free(&quarantine_news_desc, &report.parts);
}

/** Send a report that is due. Otherwise it is sent after the answer to the current one, or once there is a target. */
static void report_if_due(reporter_t *r)
{
    if (r->report_due && !r->waiting && r->target[0])
        send_report(r);
}

/* ===== Discovery ===== */

static bool is_member(const reporter_t *r, const char *addr)
{
    for (uint32_t i = 0; i < r->members_n; i++)
        if (strcmp(r->members[i].peer, addr) == 0)
            return true;
    return false;
}

/** Answer to a side query. Whether that box is the leader is left to the next report. */
static void on_side_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    const query_t query = end_query(arg);
    if (rc == TC_OK && type == MSG_REPORT_ACK) {
        lists_take_ack(query.reporter, message, query.asked);
        report_if_due(query.reporter);
        return;
    }
    (void)err; /* a box that is down or has no data: the others are asked as well */
    counter_add(&c_failed, 1);
}

/** Send a side query: what another box knows, outside the sequence of reports. */
static void query_box(reporter_t *r, const char *addr)
{
    msg_report_t report;
    fill_report(r, &report);
    send_query(r, addr, &report, on_side_answer);
}

/** Ask all control boxes at once: a box that has just started serves nothing until it has a document and the back ends,
 *  so that it does not try one box after the other. */
static void query_all_controls(reporter_t *r, tc_time_t now)
{
    r->discover_pause = r->discover_pause ? MIN(2 * r->discover_pause, DISCOVERY_MAX_MS) : DISCOVERY_MS;
    r->discover_at = now + r->discover_pause;
    const uint32_t controls = count_controls(r);
    const uint32_t first = g_random_int(); /* this one is also asked for the back ends */
    for (uint32_t n = 0; n < controls; n++) {
        const uint32_t i = (first % controls + n) % controls;
        const char *const addr = control_at(r, i);
        const bool asked = i >= r->members_n && is_member(r, addr);
        if (asked || strcmp(addr, r->self->peer_addr) == 0)
            continue; /* a seed that is a member too, or this box */
        query_box(r, addr);
    }
}

/** Whether the document or the back ends are missing, without which this box refuses every request. */
static bool lacks_data(const reporter_t *r)
{
    const bool fetching = r->document.body_n == 0 && fetch_is_busy(r->fetch);
    return !fetching && (r->document.body_n == 0 || (r->events.on_backends && reporter_backends_time(r) == 0));
}

void reporter_poll_neighbours(reporter_t *r, tc_time_t now)
{
    if (now < r->poll_at)
        return;
    r->poll_at = now + NEIGHBOUR_POLL_MS;
    if (r->connected) {
        reporter_report_now(r);
        return;
    }
    uint32_t n;
    const entry_box_t *const entries = reporter_entries(r, &n);
    const entry_box_t *const other = n > 0 ? &entries[g_random_int() % n] : NULL;
    if (!other || strcmp(other->peer_addr, r->self->peer_addr) == 0)
        return;
    query_box(r, other->peer_addr);
}

/* ===== Timer ===== */

static void on_tick(void *arg)
{
    reporter_t *const r = arg;
    const tc_time_t now = tc_time_now();
    r->stalled += overdue(r, now);
    r->ticked = now;
    if (lacks_data(r) && now >= r->discover_at)
        query_all_controls(r, now);
    fetch_tick(r->fetch, now);
    lists_fetch(r, now);
    if (r->waiting || now < r->next_at)
        return;
    if (!r->target[0])
        next_target(r, now);
    if (r->target[0])
        send_report(r);
}

/* ===== Answering other boxes ===== */

/** A control box without members asks to join: this box is no member, but knows the members. */
static void answer_join(reporter_t *r, peer_call_t call)
{
    const msg_join_ack_t ack = {.members = r->members, .members_n = r->members_n};
    peer_reply(r->net, call, MSG_JOIN_ACK, &ack);
}

static void on_message(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    reporter_t *const r = arg;
    switch (type) {
    case MSG_PUBLISH:
        lists_receive_head(r, &((const msg_publish_t *)message)->head, from);
        lists_take_evacuations(r, &((const msg_publish_t *)message)->evacuations);
        report_if_due(r);
        break;
    case MSG_FETCH_PIECE: lists_answer_piece(r, call, message); break;
    case MSG_FETCH_LIST: lists_answer_list(r, call, message); break;
    case MSG_REPORT: lists_answer(r, call, message); break;
    case MSG_JOIN: answer_join(r, call); break;
    case MSG_JOIN_ACK: /* unsolicited: a control box announces the members */
        lists_take_members(r, ((const msg_join_ack_t *)message)->members, ((const msg_join_ack_t *)message)->members_n);
        break;
    default: break; /* sent by a newer version of this program */
    }
}

/* ===== Calls to the leader ===== */

tc_time_t reporter_leader_contact_time(const reporter_t *r)
{
    return r->leader_contact;
}

tc_time_t reporter_leader_silence(const reporter_t *r)
{
    const tc_time_t now = tc_time_now();
    return now - r->leader_contact - r->stalled - overdue(r, now);
}

tc_time_t reporter_leader_asked_time(const reporter_t *r)
{
    return r->leader_asked;
}

bool reporter_call_leader(reporter_t *r, uint32_t type, const void *message, tc_time_t limit, peer_reply_t callback,
                          void *arg)
{
    if (!r->connected)
        return false;
    peer_call(r->net, r->leader, type, message, limit, callback, arg);
    return true;
}

bool reporter_leader_grants_slots(const reporter_t *r)
{
    return r->connected && r->grants_slots;
}

bool reporter_leader_finds_streams(const reporter_t *r)
{
    return r->connected && r->finds_streams;
}

bool reporter_leader_grants_trials(const reporter_t *r)
{
    return r->connected && r->grants_trials;
}

void reporter_notify_leader(reporter_t *r, uint32_t type, const void *message)
{
    if (r->connected)
        peer_send(r->net, r->leader, type, message);
}

const char *reporter_leader_http(const reporter_t *r)
{
    for (uint32_t i = 0; i < r->members_n; i++)
        if (strcmp(r->members[i].peer, r->leader) == 0)
            return r->members[i].http;
    return "";
}

/* ===== Immediate reports ===== */

void reporter_report_now(reporter_t *r)
{
    r->report_due = true;
    report_if_due(r);
}

void reporter_document_applied(reporter_t *r)
{
    lists_document_applied(r);
    report_if_due(r);
}

/* ===== Lifecycle ===== */

void reporter_set_seeds(reporter_t *r, const char *const *controls, const char *const *neighbours)
{
    g_strfreev(r->controls);
    g_strfreev(r->neighbours);
    r->controls = g_strdupv((char **)(uintptr_t)controls);
    r->neighbours = g_strdupv((char **)(uintptr_t)neighbours);
}

reporter_t *reporter_create(loop_t *loop, const entry_box_t *self, const reporter_options_t *options,
                            const reporter_events_t *events, tc_err_t *err)
{
    reporter_t *const r = g_new0(reporter_t, 1);
    r->loop = loop;
    r->self = self;
    r->events = *events;
    r->quarantine = options->quarantine;
    r->caps = options->caps;
    r->turn = g_random_int();
    r->missing = missing_create();
    r->control_contact = tc_time_now();
    reporter_set_seeds(r, options->controls, options->neighbours);
    const peer_options_t peer_options = {.box = self->box,
                                         .incarnation = self->incarnation,
                                         .listen = options->peer_listen,
                                         .bind = options->peer_bind,
                                         .key_file = "",
                                         .handler = on_message,
                                         .arg = r};
    r->net = peer_create(loop, &peer_options, err);
    if (!r->net) {
        reporter_destroy(r);
        return NULL;
    }
    lists_start(r);
    loop_add_tick(loop, TICK_MS, on_tick, r);
    return r;
}

void reporter_destroy(reporter_t *r)
{
    loop_remove_ticks(r->loop, r);
    lists_stop(r);
    if (r->net)
        peer_destroy(r->net);
    lists_free(r);
    g_strfreev(r->controls);
    g_strfreev(r->neighbours);
    g_free(r);
}
