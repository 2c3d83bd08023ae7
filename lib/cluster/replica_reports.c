/* What the boxes that report here are told: which document there is, its pieces, the back ends, the other boxes and
 * their loads. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "backend/availability.h"
#include "cluster/known_members.h"
#include "cluster/replica_internal.h"
#include "common/counter.h"

COUNTER_DEFINE(c_reports, "counter", "trackcove_cluster_reports_total", "Reports of boxes answered")

/* ===== Constants ===== */

/** A new leader tells no list of boxes before all had the time to report to it. */
enum { ROSTER_SETTLE_MS = 1000 };

enum {
    SHORT_NEWS_BYTES = 512, /* news that are told at any time */
    LOAD_BYTES = 30,        /* of one load on its way, more or less */
    /* Between two answers to one box that tell the loads of engines: it needs them while it places alone. Loads of
     * other back ends, a few, are in each answer. */
    ENGINE_LOADS_MS = 1500,
    /* A back end that a box found to have ended is told as leaving for so long: the platform lists it for up to 4 s
     * more, and meanwhile another may have its address, which turns all away that is meant for it. On a day on which 45
     * ended, each box found it out by itself: 87 connections refused and 35 requests turned away in 12 s. */
    ENDED_MS = 4000
};

/** Of what may be told in a moment, this part is left for back ends, without which a box refuses every request, when it
 *  comes to boxes, and to loads of engines. */
static const double ENTRIES_KEPT = 0.5, LOADS_KEPT = 0.75;

/* ===== Back ends ===== */

static withdrawn_t *find_withdrawn(const replica_t *r, const char *id)
{
    for (guint i = 0; i < r->withdrawn->len; i++) {
        withdrawn_t *const w = &g_array_index(r->withdrawn, withdrawn_t, i);
        if (strcmp(w->id, id) == 0)
            return w;
    }
    return NULL;
}

/** Make the list as boxes and the scheduler get it: engines that change their role, and back ends that were withdrawn,
 *  are told as leaving. */
static void tell_backends(replica_t *r)
{
    backend_t *const list = list_copy(r->backends, r->backends_n * sizeof(*list));
    for (uint32_t i = 0; i < r->backends_n; i++)
        list[i].draining =
            list[i].draining || list_has_name(r->moving, r->moving_n, list[i].id) || find_withdrawn(r, list[i].id);
    (void)list_feed_set(r->told, list, r->backends_n);
    free(list);
    uint32_t n;
    const backend_t *const told = list_feed_list(r->told, &n);
    leader_sched_set_backends(r->placing, told, n, r->backends_fetched);
    r->is_told = true;
    r->told_at = tc_time_now();
}

/** Between two lists that are made since a few back ends are withdrawn, for each that there is: of 10,000 one list
 * tells those of 0.2 s. */
static const double TELL_EVERY_MS = 0.02;

void reports_tick(replica_t *r, tc_time_t now)
{
    if (!r->is_told && r->backends && (double)(now - r->told_at) >= TELL_EVERY_MS * r->backends_n)
        tell_backends(r);
}

/** A few back ends are to be told otherwise than before. */
static void tell_soon(replica_t *r)
{
    r->is_told = false;
    reports_tick(r, tc_time_now());
}

static bool is_as_read(const replica_t *r)
{
    return r->moving_n == 0 && r->withdrawn->len == 0;
}

void replica_set_backends(replica_t *r, const backend_t *list, uint32_t n, tc_time_t fetched)
{
    const bool same = r->backends_n == n && r->backends && memcmp(r->backends, list, n * sizeof(*list)) == 0;
    r->backends_fetched = fetched;
    if (same) {
        leader_sched_confirm_backends(r->placing, fetched);
        return;
    }
    /* The list as it was read is a state that boxes may have: from another control box, or read by themselves. */
    if (!is_as_read(r))
        (void)list_feed_set(r->told, list, n);
    free(r->backends);
    r->backends = list_copy(list, n * sizeof(*list));
    r->backends_n = n;
    tell_backends(r);
}

void reports_take_backends(replica_t *r)
{
    uint32_t n;
    const backend_t *const told = list_feed_list(r->told, &n);
    r->backends_fetched = list_mirror_time(r->follow.backends_mirror);
    free(r->backends);
    r->backends = list_copy(told, n * sizeof(*told));
    r->backends_n = n;
    leader_sched_set_backends(r->placing, told, n, r->backends_fetched);
}

void replica_set_role_changes(replica_t *r, const leaving_cfg_t *list, uint32_t n)
{
    const bool same = r->moving_n == n && (n == 0 || memcmp(r->moving, list, n * sizeof(*list)) == 0);
    if (same)
        return;
    free(r->moving);
    r->moving = list_copy(list, n * sizeof(*list));
    r->moving_n = n;
    tell_soon(r);
}

static void withdraw(replica_t *r, const char *backend, tc_time_t until, bool by_list)
{
    withdrawn_t *const known = find_withdrawn(r, backend);
    if (known) {
        known->by_list = known->by_list || by_list;
        known->until = MAX(known->until, until);
        return;
    }
    withdrawn_t fresh = {.until = until, .by_list = by_list};
    codec_copy_string(fresh.id, sizeof(fresh.id), backend);
    g_array_append_val(r->withdrawn, fresh);
    tell_soon(r);
}

/** A box found that a back end ended. */
static void on_end(void *arg, const char *backend, tc_time_t at)
{
    replica_t *const r = arg;
    if (r->backends_fetched > 0 && tc_time_now() < at + ENDED_MS)
        withdraw(r, backend, at + ENDED_MS, false);
}

/** Take what answers told a box of back ends that leave. */
static void take_notices(replica_t *r, const msg_report_t *report, tc_time_t now)
{
    for (uint32_t i = 0; i < report->notices_n; i++) {
        const backend_notice_t *const notice = &report->notices[i];
        const tc_time_t until = now - (tc_time_t)notice->leaving_age_ms + AVAILABILITY_LISTED_MS;
        if (notice->leaving && r->backends_fetched > 0 && r->backends_fetched < until)
            withdraw(r, notice->backend, until, true);
    }
}

/** Whether it stands in a data centre that is evacuated. */
static bool is_evacuated(const replica_t *r, const char *backend)
{
    const backend_t *const listed = r->evacuations.list_n > 0 ? list_feed_find(r->told, backend) : NULL;
    return listed && evacuations_has(&r->evacuations, listed->dc);
}

bool replica_takes_calls(const replica_t *r, const char *box, const char *backend, call_purpose_t purpose)
{
    const bool leaves = purpose == CALL_NEW_WORK && (find_withdrawn(r, backend) || is_evacuated(r, backend));
    return !leaves && leader_sched_accepts_calls(r->placing, box, backend, tc_time_now());
}

static bool is_over(const replica_t *r, const withdrawn_t *w, tc_time_t now)
{
    return now >= w->until && (!w->by_list || r->backends_fetched >= w->until);
}

void reports_expire_withdrawn(replica_t *r, tc_time_t now)
{
    const guint before = r->withdrawn->len;
    for (guint i = r->withdrawn->len; i-- > 0;)
        if (is_over(r, &g_array_index(r->withdrawn, withdrawn_t, i), now))
            g_array_remove_index_fast(r->withdrawn, i);
    if (r->withdrawn->len != before)
        tell_soon(r);
}

/* ===== Lists within their share of the link ===== */

/** News as far as they may be told now: a box that is told nothing asks again with its next report. A whole list that
 * is to be fetched costs its reader's pieces, from wherever. @param kept as list_budget_take */
static list_news_t within_budget(replica_t *r, list_news_t news, double kept, tc_time_t now)
{
    const bool told = news.body_n <= SHORT_NEWS_BYTES || list_budget_take(&r->budget, news.body_n, kept, now);
    return told ? news : (list_news_t){0};
}

static void add_backends(replica_t *r, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    if (r->backends_fetched == 0 || report->without_backends)
        return;
    ack->backends = within_budget(r, list_feed_update_since(r->told, report->backends_hash), 0, now);
    ack->backends_age_ms = (uint64_t)(now - r->backends_fetched);
}

static void add_entries(replica_t *r, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    list_feed_t *const list = roster_list(r->roster, now);
    ack->entries = within_budget(r, list_feed_update_since(list, report->entries_hash), ENTRIES_KEPT, now);
}

/* ===== Answers to reports ===== */

static roster_kind_t kind_of(void *arg, const char *id)
{
    const backend_t *const listed = list_feed_find(((const replica_t *)arg)->told, id);
    if (!listed || !listed->stage[0])
        return ROSTER_PLAIN;
    return strcmp(listed->stage, "prefill") == 0 ? ROSTER_PREFILL : ROSTER_DECODE;
}

/** What the other boxes have in flight, at engines now and then, as far as the budget goes. The list is to be freed
 * with free. */
static void add_loads(replica_t *r, const char *box, msg_report_ack_t *ack, tc_time_t now)
{
    const bool wanted = roster_engine_loads_due(r->roster, box, ENGINE_LOADS_MS, now);
    const roster_loads_t loads = roster_loads(r->roster, box, kind_of, r, wanted);
    const size_t bytes = (size_t)(loads.n - loads.plain_n) * LOAD_BYTES;
    const bool engines = wanted && list_budget_take(&r->budget, bytes, LOADS_KEPT, now);
    ack->loads_partial = !engines;
    ack->loads = loads.list;
    ack->loads_n = engines ? loads.n : loads.plain_n;
    if (engines)
        roster_engine_loads_sent(r->roster, box, now);
}

/** Suspects are told anew whenever they differ from those that the box has: one back end that ends makes some ten. */
static void add_suspects(replica_t *r, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    uint32_t n;
    uint64_t hash;
    const suspect_request_t *const list = quarantine_suspects(r->quarantine, &n, &hash, now);
    if (hash == report->suspects_hash)
        return;
    ack->quarantine.hash = hash;
    ack->quarantine.suspects = (suspect_request_t *)(uintptr_t)list;
    ack->quarantine.suspects_n = n;
}

/** What only the leader knows, for boxes that take callers. The list of loads in @p ack is to be freed with free. */
static void add_uses(replica_t *r, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    roster_update(r->roster, report, now);
    add_loads(r, report->self.box, ack, now);
    add_suspects(r, report, ack, now);
    leader_sched_handle_report(r->placing, report, ack, now);
}

/** What only the leader knows. The list of loads in @p ack is to be freed with free. */
static void add_boxes(replica_t *r, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t leader_since,
                      tc_time_t now)
{
    if (report->self.http_addr[0]) /* others only listen */
        add_uses(r, report, ack, now);
    if (now - leader_since > ROSTER_SETTLE_MS)
        add_entries(r, report, ack, now);
    ack->quarantine.term = raft_view(r->raft).term;
}

void reports_answer(replica_t *r, peer_call_t call, const msg_report_t *report, tc_time_t now)
{
    counter_add(&c_reports, 1);
    const raft_member_t *const leader = raft_find_member(r->raft, log_writer_leader(r->writer, r->raft));
    const raft_members_t *const members = raft_members(r->raft);
    msg_report_ack_t ack = {.leads = replica_retains_leadership(r),
                            .members_hash = known_members_hash(members->list, members->list_n)};
    if (ack.members_hash != report->members_hash) {
        ack.members = members->list; /* borrowed */
        ack.members_n = members->list_n;
    }
    codec_copy_string(ack.leader, sizeof(ack.leader), leader ? leader->peer : "");
    ack.head = document_head(&r->document);
    if (report->evacuations_version < r->evacuations.version)
        ack.evacuations = r->evacuations; /* borrowed */
    codec_copy_string(ack.peer, sizeof(ack.peer), r->self.peer);
    if (ack.leads)
        quarantine_apply_changes(r->quarantine, &report->quarantine, now, on_end,
                                 r); /* may change the list told below, */
    if (ack.leads)
        take_notices(r, report, now); /* as well */
    add_backends(r, report, &ack, now);
    if (ack.leads)
        add_boxes(r, report, &ack, raft_view(r->raft).leader_since, now);
    peer_reply(r->net, call, MSG_REPORT_ACK, &ack);
    free(ack.loads);
    held_tick(r, now); /* what the box found out outlives it and this leader from now on */
    proposals_check(r, now);
}

void reports_answer_piece(replica_t *r, peer_call_t call, const msg_fetch_piece_t *asked)
{
    const bool before = asked->version == r->previous.version && r->previous.body;
    const msg_piece_t message = {.piece = document_piece(before ? &r->previous : &r->document, asked)};
    peer_reply(r->net, call, MSG_PIECE, &message);
}

/* ===== News ===== */

static void publish_to(void *arg, const char *peer_addr)
{
    const replica_t *const r = arg;
    const msg_publish_t message = {.head = document_head(&r->document), .evacuations = r->evacuations};
    if (peer_addr[0])
        peer_send(r->net, peer_addr, MSG_PUBLISH, &message);
}

void reports_publish(replica_t *r)
{
    roster_for_each(r->roster, publish_to, r);
}
