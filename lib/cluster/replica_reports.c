/* Answers to the reports of boxes: the head of the document and its pieces, the back ends, the other boxes and their
 * loads. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "backend/availability.h"
#include "cluster/known_members.h"
#include "cluster/replica_internal.h"
#include "common/counter.h"

COUNTER_DEFINE(c_reports, "counter", "trackcove_cluster_reports_total", "Reports of boxes answered")

/* ===== Constants ===== */

enum {
    SMALL_UPDATE_BYTES = 512, /* updates up to this size are sent without regard to the budget */
    LOAD_BYTES = 30,          /* approximate size of one load in a message */
    /* Between two answers to one box with the loads of engines, which it needs while it places requests by itself. The
     * loads of other back ends are few, and are in each answer. */
    ENGINE_LOADS_PERIOD_MS = 1500,
    /* How long a back end that has ended is published as leaving. The platform lists it for up to 4 s more, and
     * meanwhile another may have its address and reject all requests for it. When each box had to find this out by
     * itself, 45 ends cost 87 refused connections and 35 rejected requests in 12 s. */
    ENDED_LEAVING_MS = 4000
};

/** Part of the budget that lists of boxes leave to the list of back ends, without which a box refuses every request. */
static const double ENTRIES_RESERVE = 0.5;
/** Part of the budget that loads of engines leave to both lists. */
static const double LOADS_RESERVE = 0.75;

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

/** Build the list for boxes and the scheduler: engines that change their role, and withdrawn back ends, are published
 * as leaving. */
static void publish_backends(replica_t *r)
{
    backend_t *const list = list_copy(r->backends, r->backends_n * sizeof(*list));
    for (uint32_t i = 0; i < r->backends_n; i++) {
        const withdrawn_t *const withdrawn = find_withdrawn(r, list[i].id);
        list[i].ended = !list[i].draining && withdrawn && !withdrawn->by_list;
        list[i].draining =
            list[i].draining || list_has_name(r->role_changes, r->role_changes_n, list[i].id) || withdrawn;
    }
    (void)list_publisher_set(r->published, list, r->backends_n);
    free(list);
    uint32_t n;
    const backend_t *const published = list_publisher_list(r->published, &n);
    leader_sched_set_backends(r->leader_sched, published, n, r->backends_fetched);
    r->is_published = true;
    r->published_at = tc_time_now();
}

/** Minimum interval between two lists when single back ends change, per back end in the list: with 10,000 of them a
 * list collects the changes of 0.2 s. */
static const double PUBLISH_MS_PER_BACKEND = 0.02;

void reports_tick(replica_t *r, tc_time_t now)
{
    if (!r->is_published && r->backends && (double)(now - r->published_at) >= PUBLISH_MS_PER_BACKEND * r->backends_n)
        publish_backends(r);
}

/** Publish changes of single back ends once the minimum interval has passed. */
static void schedule_publish(replica_t *r)
{
    r->is_published = false;
    reports_tick(r, tc_time_now());
}

static bool is_unmodified(const replica_t *r)
{
    return r->role_changes_n == 0 && r->withdrawn->len == 0;
}

void replica_set_backends(replica_t *r, const backend_t *list, uint32_t n, tc_time_t fetched)
{
    const bool same = r->backends_n == n && r->backends && memcmp(r->backends, list, n * sizeof(*list)) == 0;
    r->backends_fetched = fetched;
    if (same) {
        leader_sched_confirm_backends(r->leader_sched, fetched);
        return;
    }
    /* Boxes may have the list as it was read: from another control box, or because they read it themselves. */
    if (!is_unmodified(r))
        (void)list_publisher_set(r->published, list, n);
    free(r->backends);
    r->backends = list_copy(list, n * sizeof(*list));
    r->backends_n = n;
    publish_backends(r);
}

void reports_take_backends(replica_t *r)
{
    uint32_t n;
    const backend_t *const published = list_publisher_list(r->published, &n);
    r->backends_fetched = list_replica_time(r->follow.backends_replica);
    free(r->backends);
    r->backends = list_copy(published, n * sizeof(*published));
    r->backends_n = n;
    leader_sched_set_backends(r->leader_sched, published, n, r->backends_fetched);
}

void replica_set_role_changes(replica_t *r, const leaving_cfg_t *list, uint32_t n)
{
    const bool same = r->role_changes_n == n && (n == 0 || memcmp(r->role_changes, list, n * sizeof(*list)) == 0);
    if (same)
        return;
    free(r->role_changes);
    r->role_changes = list_copy(list, n * sizeof(*list));
    r->role_changes_n = n;
    schedule_publish(r);
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
    schedule_publish(r);
}

/** A box has reported the end of a back end. */
static void on_backend_end(void *arg, const char *backend, tc_time_t at)
{
    replica_t *const r = arg;
    if (r->backends_fetched > 0 && tc_time_now() < at + ENDED_LEAVING_MS)
        withdraw(r, backend, at + ENDED_LEAVING_MS, false);
}

/** Take the notices of leaving back ends that a box has found in answers. */
static void take_notices(replica_t *r, const msg_report_t *report, tc_time_t now)
{
    for (uint32_t i = 0; i < report->notices_n; i++) {
        const backend_notice_t *const notice = &report->notices[i];
        const tc_time_t until = now - (tc_time_t)notice->leaving_age_ms + AVAILABILITY_LISTED_MS;
        if (notice->leaving && r->backends_fetched > 0 && r->backends_fetched < until)
            withdraw(r, notice->backend, until, true);
    }
}

/** Whether the back end is in an evacuated data centre. */
static bool is_evacuated(const replica_t *r, const char *backend)
{
    const backend_t *const listed = r->evacuations.list_n > 0 ? list_publisher_find(r->published, backend) : NULL;
    return listed && evacuations_has(&r->evacuations, listed->dc);
}

bool replica_takes_calls(const replica_t *r, const char *box, const char *backend, call_purpose_t purpose)
{
    const bool leaves = purpose == CALL_NEW_WORK && (find_withdrawn(r, backend) || is_evacuated(r, backend));
    return !leaves && leader_sched_accepts_calls(r->leader_sched, box, backend, tc_time_now());
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
        schedule_publish(r);
}

/* ===== Lists within the bandwidth budget ===== */

/** The update, or none when the budget is spent: the box then asks again with its next report. Pieces of a full list
 * are not charged here: the box fetches them itself, from any box. @param kept as list_budget_take */
static list_news_t within_budget(replica_t *r, list_news_t update, double kept, tc_time_t now)
{
    const bool fits = update.body_n <= SMALL_UPDATE_BYTES || list_budget_take(&r->budget, update.body_n, kept, now);
    return fits ? update : (list_news_t){0};
}

static void add_backends(replica_t *r, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    if (r->backends_fetched == 0 || report->without_backends)
        return;
    ack->backends = within_budget(r, list_publisher_update_since(r->published, report->backends_hash), 0, now);
    ack->backends_age_ms = (uint64_t)(now - r->backends_fetched);
}

static void add_entries(replica_t *r, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    list_publisher_t *const list = roster_list(r->roster, now);
    ack->entries = within_budget(r, list_publisher_update_since(list, report->entries_hash), ENTRIES_RESERVE, now);
}

/* ===== Answers to reports ===== */

static roster_kind_t kind_of(void *arg, const char *id)
{
    const backend_t *const listed = list_publisher_find(((const replica_t *)arg)->published, id);
    if (!listed || !listed->stage[0])
        return ROSTER_PLAIN;
    return strcmp(listed->stage, "prefill") == 0 ? ROSTER_PREFILL : ROSTER_DECODE;
}

/** Add what the other boxes have in flight; loads of engines only periodically and within the budget. The list is to be
 * freed with free. */
static void add_loads(replica_t *r, const char *box, msg_report_ack_t *ack, tc_time_t now)
{
    const bool wanted = roster_engine_loads_due(r->roster, box, ENGINE_LOADS_PERIOD_MS, now);
    const roster_loads_t loads = roster_loads(r->roster, box, kind_of, r, wanted);
    const size_t bytes = (size_t)(loads.n - loads.plain_n) * LOAD_BYTES;
    const bool engines = wanted && list_budget_take(&r->budget, bytes, LOADS_RESERVE, now);
    ack->loads_partial = !engines;
    ack->loads = loads.list;
    ack->loads_n = engines ? loads.n : loads.plain_n;
    if (engines)
        roster_engine_loads_sent(r->roster, box, now);
}

/** Add the suspects of a table when they differ from those that the box has. Each end of a back end adds about ten. */
static void add_suspects(quarantine_t *q, uint64_t known, quarantine_ack_t *ack, tc_time_t now)
{
    uint32_t n;
    uint64_t hash;
    const suspect_request_t *const list = quarantine_suspects(q, &n, &hash, now);
    if (hash == known)
        return;
    ack->hash = hash;
    ack->suspects = (suspect_request_t *)(uintptr_t)list;
    ack->suspects_n = n;
}

/** Add what only the leader knows, for boxes that take callers. The list of loads in @p ack is to be freed with free.
 */
static void add_usage(replica_t *r, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    roster_update(r->roster, report, now);
    add_loads(r, report->self.box, ack, now);
    add_suspects(r->requests.table, report->suspects_hash, &ack->quarantine, now);
    add_suspects(r->parts.table, report->parts_hash, &ack->parts, now);
    leader_sched_handle_report(r->leader_sched, report, ack, now);
}

/** Add what only the leader knows. The list of loads in @p ack is to be freed with free. */
static void add_leader_data(replica_t *r, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t leader_since,
                            tc_time_t now)
{
    if (report->self.http_addr[0]) /* the others take no callers */
        add_usage(r, report, ack, now);
    if (now - leader_since > ROSTER_SETTLE_MS)
        add_entries(r, report, ack, now);
    ack->quarantine.term = ack->parts.term = raft_view(r->raft).term;
}

/** Take what a box has found out about streams and parts of prompts. */
static void take_news(replica_t *r, const msg_report_t *report, tc_time_t now)
{
    stream_versions_apply(r->streams, report->streams, report->streams_n, now);
    quarantine_apply_changes(r->parts.table, &report->parts, now, NULL, NULL);
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
        quarantine_apply_changes(r->requests.table, &report->quarantine, now, on_backend_end,
                                 r); /* may change the list of back ends */
    if (ack.leads)
        take_notices(r, report, now); /* the same */
    if (ack.leads)
        take_news(r, report, now);
    ack.finds_streams = ack.grants_trials = ack.leads;
    add_backends(r, report, &ack, now);
    if (ack.leads)
        add_leader_data(r, report, &ack, raft_view(r->raft).leader_since, now);
    peer_reply(r->net, call, MSG_REPORT_ACK, &ack);
    free(ack.loads);
    free(ack.left_versions);
    replica_quarantine_tick(
        r, now); /* from now on what the box has reported survives the loss of the box and of this leader */
    proposals_check(r, now);
}

void reports_answer_piece(replica_t *r, peer_call_t call, const msg_fetch_piece_t *asked)
{
    const bool before = asked->version == r->previous.version && r->previous.body;
    const msg_piece_t message = {.piece = document_piece(before ? &r->previous : &r->document, asked)};
    peer_reply(r->net, call, MSG_PIECE, &message);
}

/* ===== Notifications ===== */

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
