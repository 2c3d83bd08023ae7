/* Lists as the leader tells them, while this box does not lead: what it serves to others, and begins with when it comes
 * to lead. */

#include <glib.h>

#include "cluster/replica_internal.h"

/* ===== Constants ===== */

enum {
    ASK_EVERY_MS = 100,    /* a new list is here before most boxes hear of it and ask */
    ASK_LIMIT_MS = 450,    /* an answer in reach takes a few ms */
    PIECE_LIMIT_MS = 1000, /* the leader has a whole list for each of a few */
};

/* ===== Pieces ===== */

/** A question for a piece. Freed by its answer. */
typedef struct {
    replica_t *replica;
    list_name_t list;
} piece_ask_t;

static void fetch_lists(replica_t *r, tc_time_t now);

static void on_piece(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    const piece_ask_t ask = *(piece_ask_t *)arg;
    replica_t *const r = ask.replica;
    const tc_time_t now = tc_time_now();
    const msg_list_piece_t *const piece = rc == TC_OK && type == MSG_LIST_PIECE ? message : NULL;
    g_free(arg);
    (void)err; /* counted; it is asked for again */
    if (ask.list == LIST_NAME_ENTRIES)
        (void)list_mirror_add_piece(r->follow.entries_mirror, piece, now);
    else if (list_mirror_add_piece(r->follow.backends_mirror, piece, now))
        reports_take_backends(r);
    fetch_lists(r, now);
}

static void fetch_list(replica_t *r, list_mirror_t *m, tc_time_t now)
{
    static const list_sources_t nobody = {.but = ""}; /* but the leader, who tells of the list */
    list_request_t ask;
    if (r->follow.is_stopped || !list_mirror_next_request(m, &nobody, now, &ask))
        return;
    piece_ask_t *const question = g_new(piece_ask_t, 1);
    *question = (piece_ask_t){.replica = r, .list = ask.message.list};
    peer_call(r->net, ask.addr, MSG_FETCH_LIST, &ask.message, PIECE_LIMIT_MS, on_piece, question);
}

static void fetch_lists(replica_t *r, tc_time_t now)
{
    fetch_list(r, r->follow.backends_mirror, now);
    fetch_list(r, r->follow.entries_mirror, now);
}

/* ===== The leader ===== */

/** A question to the leader. Freed by its answer. */
typedef struct {
    replica_t *replica;
    tc_time_t asked;
} question_t;

static void take_backends(replica_t *r, const msg_report_ack_t *ack, tc_time_t asked)
{
    list_mirror_t *const m = r->follow.backends_mirror;
    const tc_time_t before = list_mirror_time(m);
    if (list_mirror_receive(m, &ack->backends, ack->peer, asked - (tc_time_t)ack->backends_age_ms) ||
        list_mirror_time(m) != before)
        reports_take_backends(r);
}

static void on_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    const question_t question = *(question_t *)arg;
    replica_t *const r = question.replica;
    const msg_report_ack_t *const ack = rc == TC_OK && type == MSG_REPORT_ACK ? message : NULL;
    g_free(arg);
    (void)err; /* the leader is asked again soon, whoever that is then */
    r->follow.waiting = false;
    if (!ack || !ack->leads || replica_retains_leadership(r))
        return;
    take_backends(r, ack, question.asked);
    (void)list_mirror_receive(r->follow.entries_mirror, &ack->entries, ack->peer, question.asked);
    fetch_lists(r, tc_time_now());
}

static void ask_leader(replica_t *r, const char *leader, tc_time_t now)
{
    msg_report_t report = {.backends_hash = list_feed_hash(r->told),
                           .entries_hash = list_feed_hash(r->follow.entries),
                           .evacuations_version = r->evacuations.version}; /* it names no address for callers */
    codec_copy_string(report.self.box, sizeof(report.self.box), r->self.name);
    codec_copy_string(report.self.peer_addr, sizeof(report.self.peer_addr), r->self.peer);
    question_t *const question = g_new(question_t, 1);
    *question = (question_t){.replica = r, .asked = now};
    r->follow.waiting = true;
    r->follow.ask_at = now + ASK_EVERY_MS;
    peer_call(r->net, leader, MSG_REPORT, &report, ASK_LIMIT_MS, on_answer, question);
}

void follow_tick(replica_t *r, tc_time_t now)
{
    const raft_member_t *const leader = raft_find_member(r->raft, log_writer_leader(r->writer, r->raft));
    if (replica_retains_leadership(r) || !leader || leader->id == r->self.id)
        return;
    fetch_lists(r, now);
    if (!r->follow.waiting && now >= r->follow.ask_at)
        ask_leader(r, leader->peer, now);
}

/* ===== What others are told ===== */

void follow_answer_list(replica_t *r, peer_call_t call, const msg_fetch_list_t *asked, tc_time_t now)
{
    list_feed_t *const entries = replica_retains_leadership(r) ? roster_list(r->roster, now) : r->follow.entries;
    list_feed_t *const feed = asked->list == LIST_NAME_ENTRIES ? entries : r->told;
    const msg_list_piece_t piece = list_feed_piece(feed, asked->hash, asked->offset);
    peer_reply(r->net, call, MSG_LIST_PIECE, &piece);
}

/* ===== Life ===== */

void follow_start(replica_t *r)
{
    r->follow.entries = list_feed_create(&list_of_entries);
    r->follow.backends_mirror = list_mirror_create(r->told, r->self.peer);
    r->follow.entries_mirror = list_mirror_create(r->follow.entries, r->self.peer);
}

void follow_stop(replica_t *r)
{
    r->follow.is_stopped = true;
}

void follow_free(replica_t *r)
{
    list_mirror_destroy(r->follow.backends_mirror);
    list_mirror_destroy(r->follow.entries_mirror);
    list_feed_destroy(r->follow.entries);
}
