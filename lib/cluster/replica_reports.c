/* What the boxes that report here are told: which document there is, its pieces, the back ends, the other boxes and
 * their loads. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cluster/list.h"
#include "cluster/replica_internal.h"
#include "common/counter.h"

COUNTER_DEFINE(c_reports, "counter", "trackcove_cluster_reports_total", "Reports of boxes answered")

/* ===== Constants ===== */

/** A new leader tells no list of boxes before all had the time to report to it. */
enum { ROSTER_SETTLE_MS = 1000 };

/* ===== Back ends ===== */

/** Make the list as boxes and the scheduler get it: engines that change their role are told as leaving. */
static void tell_backends(replica_t *r)
{
    const size_t size = r->backends_n * sizeof(*r->backends);
    free(r->told);
    r->told = list_copy(r->backends, size);
    for (uint32_t i = 0; i < r->backends_n; i++)
        r->told[i].draining = r->told[i].draining || list_has_name(r->moving, r->moving_n, r->told[i].id);
    r->told_hash = list_hash(r->told, size);
    placing_set_backends(r->placing, r->told, r->backends_n);
}

void replica_set_backends(replica_t *r, const backend_t *list, uint32_t n, tc_time_t fetched)
{
    free(r->backends);
    r->backends = list_copy(list, n * sizeof(*list));
    r->backends_n = n;
    r->backends_fetched = fetched;
    tell_backends(r);
}

void replica_set_moving(replica_t *r, const leaving_cfg_t *list, uint32_t n)
{
    const bool same = r->moving_n == n && (n == 0 || memcmp(r->moving, list, n * sizeof(*list)) == 0);
    if (same)
        return;
    free(r->moving);
    r->moving = list_copy(list, n * sizeof(*list));
    r->moving_n = n;
    tell_backends(r);
}

static void add_backends(const replica_t *r, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now)
{
    if (r->backends_fetched == 0)
        return;
    ack->has_backends = true;
    ack->backends_age_ms = (uint64_t)(now - r->backends_fetched);
    ack->backends_hash = r->told_hash;
    if (report->backends_hash == r->told_hash)
        return;
    ack->backends = r->told;
    ack->backends_n = r->backends_n;
}

/* ===== Answers to reports ===== */

/** What only the leader knows. The lists of loads and boxes in @p ack are to be freed with free. */
static void add_boxes(replica_t *r, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t leader_since,
                      tc_time_t now)
{
    if (report->self.http_addr[0]) /* others only listen */
        roster_hear(r->roster, report, now);
    ack->loads = roster_loads(r->roster, report->self.box, &ack->loads_n);
    if (now - leader_since <= ROSTER_SETTLE_MS)
        return;
    ack->entries = roster_list(r->roster, &ack->entries_n, &ack->entries_hash);
    ack->has_entries = true;
    if (report->entries_hash == ack->entries_hash)
        ack->entries_n = 0;
}

void reports_answer(replica_t *r, peer_call_t call, const msg_report_t *report, tc_time_t now)
{
    counter_add(&c_reports, 1);
    const raft_member_t *const leader = raft_find_member(r->raft, log_writer_leader(r->writer, r->raft));
    const raft_members_t *const members = raft_members(r->raft);
    msg_report_ack_t ack = {.leads = replica_leads(r), .members = members->list, .members_n = members->list_n};
    codec_copy_string(ack.leader, sizeof(ack.leader), leader ? leader->peer : "");
    ack.head = document_head(&r->document);
    codec_copy_string(ack.peer, sizeof(ack.peer), r->self.peer);
    add_backends(r, report, &ack, now);
    if (ack.leads)
        add_boxes(r, report, &ack, raft_view(r->raft).leader_since, now);
    peer_reply(r->net, call, MSG_REPORT_ACK, &ack);
    free(ack.loads);
    free(ack.entries);
    offers_look(r, now);
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
    const msg_publish_t message = {.head = document_head(&r->document)};
    if (peer_addr[0])
        peer_send(r->net, peer_addr, MSG_PUBLISH, &message);
}

void reports_publish(replica_t *r)
{
    roster_each(r->roster, publish_to, r);
}
