/* Whom to ask, and when. */

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
    EVERY_MS = 300,      /* between reports: a fifth of the time after which a box that says nothing is left out */
    AGAIN_MS = 100,      /* to the next control box, when one did not lead */
    LIMIT_MS = 450,      /* for one report: an answer in reach takes a few ms */
    ALONE_MS = 1000,     /* without any control box for so long, other boxes are asked too */
    LEARN_MS = 50,       /* between questions to all control boxes at once while no document is known: until then every
                             request is refused. */
    LEARN_MOST_MS = 800, /* The pause doubles up to this: hundreds of boxes that start at once, before there is any
                            document, would ask control 20,000 times a second */
    AROUND_MS = 500, /* between questions to other boxes: what one knows is known to 300 after some ten such rounds */
    FAILED_MAX = 2   /* reports that a leader may leave unanswered before another box is asked */
};

/* ===== Types ===== */

/** One question to another box: a report, or one beside the reports. Freed by its end. */
typedef struct {
    reporter_t *reporter;
    tc_time_t asked;
    bool brings; /* the answer may have the list of back ends */
} question_t;

/* ===== Whom to ask ===== */

static uint32_t count_strings(char **list)
{
    return list ? g_strv_length(list) : 0;
}

/** Control boxes that are known: members, then seeds. */
static uint32_t count_controls(const reporter_t *r)
{
    return r->members_n + count_strings(r->controls);
}

static const char *control_at(const reporter_t *r, uint32_t at)
{
    return at < r->members_n ? r->members[at].peer : r->controls[at - r->members_n];
}

/** The next one who may know, in turn: members and seeds, and other boxes when control is out of reach. */
static void next_target(reporter_t *r, tc_time_t now)
{
    const uint32_t controls = count_controls(r);
    const uint32_t all = controls + (now - r->heard > ALONE_MS ? count_strings(r->neighbours) : 0);
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

/* ===== Questions ===== */

static void fill_report(const reporter_t *r, msg_report_t *report)
{
    *report = (msg_report_t){.self = *r->self, .without_backends = r->list_asked};
    lists_fill_report(r, report);
}

static void ask(reporter_t *r, const char *addr, const msg_report_t *report, peer_reply_t fn)
{
    question_t *const question = g_new(question_t, 1);
    *question = (question_t){.reporter = r, .asked = tc_time_now(), .brings = !report->without_backends};
    r->list_asked = true;
    counter_add(&c_reports, 1);
    peer_call(r->net, addr, MSG_REPORT, report, LIMIT_MS, fn, question);
}

/** @param arg the question, which is freed */
static question_t end_question(void *arg)
{
    const question_t question = *(question_t *)arg;
    g_free(arg);
    if (question.brings)
        question.reporter->list_asked = false;
    return question;
}

/* ===== Reports ===== */

/** The report under way has no answer. */
static void report_failed(reporter_t *r, tc_time_t now)
{
    counter_add(&c_failed, 1);
    if (r->connected && ++r->failed < FAILED_MAX)
        return; /* one answer may be lost */
    set_connected(r, false);
    r->leader[0] = '\0';
    next_target(r, now);
}

/** Whom to report to next, and when, after an answer. */
static void follow(reporter_t *r, const msg_report_ack_t *ack, tc_time_t now)
{
    if (ack->leads) {
        r->next_at = now + EVERY_MS;
    } else if (ack->leader[0] && strcmp(ack->leader, r->target) != 0) {
        codec_copy_string(r->target, sizeof(r->target), ack->leader);
        r->next_at = now;
    } else {
        next_target(r, now);
    }
}

static void on_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    const question_t question = end_question(arg);
    reporter_t *const r = question.reporter;
    const tc_time_t now = tc_time_now();
    (void)err; /* counted; a lasting loss is logged once */
    r->waiting = false;
    r->next_at = now + AGAIN_MS;
    if (rc != TC_OK || type != MSG_REPORT_ACK) {
        report_failed(r, now);
        return;
    }
    const msg_report_ack_t *const ack = message;
    r->failed = 0;
    lists_take_ack(r, ack, question.asked);
    if (ack->leads && r->quarantine && quarantine_confirm_report(r->quarantine, ack->quarantine.term))
        r->hurry = true;
    if (ack->leads && r->caps && cap_shares_apply_reply(r->caps, ack->quarantine.term, ack->caps, ack->caps_n, now))
        r->hurry = true;
    if (ack->leads && r->events.take_limits && r->events.take_limits(r->events.arg, ack))
        r->hurry = true;
    if (ack->leads && r->events.on_loads)
        r->events.on_loads(r->events.arg, ack->loads, ack->loads_n, ack->loads_partial);
    codec_copy_string(r->leader, sizeof(r->leader), ack->leads ? r->target : ack->leader);
    if (ack->leads || ack->members_hash != 0)
        r->heard = now;
    set_connected(r, ack->leads);
    if (ack->leads)
        r->leader_heard = now;
    follow(r, ack, now);
    if (r->hurry)
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
    r->hurry = false;
    ask(r, r->target, &report, on_answer);
    codec_free(&quarantine_news_desc, &report.quarantine);
    free(report.loads);
    free(report.used);
    free(report.limits);
    free(report.limits_used);
    free(report.cold_used);
    free(report.notices);
}

/** Else it goes out when the answer to the one under way is here, or there is somebody to report to. */
static void report_if_hurried(reporter_t *r)
{
    if (r->hurry && !r->waiting && r->target[0])
        send_report(r);
}

/* ===== Learning ===== */

static bool is_member(const reporter_t *r, const char *addr)
{
    for (uint32_t i = 0; i < r->members_n; i++)
        if (strcmp(r->members[i].peer, addr) == 0)
            return true;
    return false;
}

/** What a box that was asked beside the reports knows. Whether it leads is for the next report to find out. */
static void on_hearsay(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    const question_t question = end_question(arg);
    if (rc == TC_OK && type == MSG_REPORT_ACK) {
        lists_take_ack(question.reporter, message, question.asked);
        report_if_hurried(question.reporter);
        return;
    }
    (void)err; /* a box that is down or knows nothing: the others are asked as well */
    counter_add(&c_failed, 1);
}

/** Ask a box beside the reports. */
static void ask_beside(reporter_t *r, const char *addr)
{
    msg_report_t report;
    fill_report(r, &report);
    ask(r, addr, &report, on_hearsay);
}

/** A box that has just started is of no use before it knows a document and the back ends: it does not wait for one box
 *  after the other. */
static void ask_all(reporter_t *r, tc_time_t now)
{
    r->learn_pause = r->learn_pause ? MIN(2 * r->learn_pause, LEARN_MOST_MS) : LEARN_MS;
    r->learn_at = now + r->learn_pause;
    const uint32_t controls = count_controls(r);
    const uint32_t first = g_random_int(); /* the one that is asked for the back ends too */
    for (uint32_t n = 0; n < controls; n++) {
        const uint32_t i = (first % controls + n) % controls;
        const char *const addr = control_at(r, i);
        const bool asked = i >= r->members_n && is_member(r, addr);
        if (asked || strcmp(addr, r->self->peer_addr) == 0)
            continue; /* a seed that is a member too, or this box */
        ask_beside(r, addr);
    }
}

/** Whether this box has just started: until it has a document and knows back ends, it refuses every request. */
static bool lacks_something(const reporter_t *r)
{
    const bool fetching = r->document.body_n == 0 && fetch_is_busy(r->fetch);
    return !fetching && (r->document.body_n == 0 || (r->events.on_backends && reporter_backends_time(r) == 0));
}

void reporter_poll_neighbours(reporter_t *r, tc_time_t now)
{
    if (now < r->around_at)
        return;
    r->around_at = now + AROUND_MS;
    if (r->connected) {
        reporter_report_now(r);
        return;
    }
    uint32_t n;
    const entry_box_t *const entries = reporter_entries(r, &n);
    const entry_box_t *const other = n > 0 ? &entries[g_random_int() % n] : NULL;
    if (!other || strcmp(other->peer_addr, r->self->peer_addr) == 0)
        return;
    ask_beside(r, other->peer_addr);
}

/* ===== Time ===== */

static void on_tick(void *arg)
{
    reporter_t *const r = arg;
    const tc_time_t now = tc_time_now();
    if (lacks_something(r) && now >= r->learn_at)
        ask_all(r, now);
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

/** A control box that knows nobody asks: this box can't take it in, but knows who can. */
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
        lists_hear_head(r, &((const msg_publish_t *)message)->head, from);
        lists_take_evacuations(r, &((const msg_publish_t *)message)->evacuations);
        report_if_hurried(r);
        break;
    case MSG_FETCH_PIECE: lists_answer_piece(r, call, message); break;
    case MSG_FETCH_LIST: lists_answer_list(r, call, message); break;
    case MSG_REPORT: lists_answer(r, call, message); break;
    case MSG_JOIN: answer_join(r, call); break;
    case MSG_JOIN_ACK: /* unasked: a control box tells who the members are */
        lists_take_members(r, ((const msg_join_ack_t *)message)->members, ((const msg_join_ack_t *)message)->members_n);
        break;
    default: break; /* of a newer version of this program */
    }
}

/* ===== To the leader ===== */

tc_time_t reporter_leader_contact_time(const reporter_t *r)
{
    return r->leader_heard;
}

bool reporter_call_leader(reporter_t *r, uint32_t type, const void *message, tc_time_t limit, peer_reply_t callback,
                          void *arg)
{
    if (!r->connected)
        return false;
    peer_call(r->net, r->leader, type, message, limit, callback, arg);
    return true;
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

/* ===== Reporting at once ===== */

void reporter_report_now(reporter_t *r)
{
    r->hurry = true;
    report_if_hurried(r);
}

void reporter_document_applied(reporter_t *r)
{
    lists_document_applied(r);
    report_if_hurried(r);
}

/* ===== Life ===== */

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
    r->heard = tc_time_now();
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
