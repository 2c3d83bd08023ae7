/* Lists received from the leader while this box is a follower. It serves them to others, and starts with them when it
 * becomes the leader. */

#include <glib.h>

#include "cluster/replica_internal.h"

/* ===== Constants ===== */

enum {
    POLL_PERIOD_MS = 100,    /* short, so that a new list is here before most boxes learn of it and request it */
    POLL_TIMEOUT_MS = 450,   /* an answer within reach takes a few ms */
    PIECE_TIMEOUT_MS = 1000, /* the leader sends a full list to each of a few followers */
};

/* ===== Pieces ===== */

/** Context of a request for a piece. Freed by its answer. */
typedef struct {
    replica_t *replica;
    list_name_t list;
} piece_request_t;

static void fetch_lists(replica_t *r, tc_time_t now);

static void on_piece(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    const piece_request_t ask = *(piece_request_t *)arg;
    replica_t *const r = ask.replica;
    const tc_time_t now = tc_time_now();
    const msg_list_piece_t *const piece = rc == TC_OK && type == MSG_LIST_PIECE ? message : NULL;
    g_free(arg);
    (void)err; /* counted; the piece is requested again */
    if (ask.list == LIST_NAME_ENTRIES)
        (void)list_replica_add_piece(r->follow.entries_replica, piece, now);
    else if (list_replica_add_piece(r->follow.backends_replica, piece, now))
        reports_take_backends(r);
    fetch_lists(r, now);
}

static void fetch_list(replica_t *r, list_replica_t *copy, tc_time_t now)
{
    static const list_sources_t nobody = {.except = ""}; /* only the leader, which announced the list */
    list_request_t ask;
    if (r->follow.is_stopped || !list_replica_next_request(copy, &nobody, now, &ask))
        return;
    piece_request_t *const query = g_new(piece_request_t, 1);
    *query = (piece_request_t){.replica = r, .list = ask.message.list};
    peer_call(r->net, ask.addr, MSG_FETCH_LIST, &ask.message, PIECE_TIMEOUT_MS, on_piece, query);
}

static void fetch_lists(replica_t *r, tc_time_t now)
{
    fetch_list(r, r->follow.backends_replica, now);
    fetch_list(r, r->follow.entries_replica, now);
}

/* ===== Polling the leader ===== */

/** Context of a query to the leader. Freed by its answer. */
typedef struct {
    replica_t *replica;
    tc_time_t asked;
} query_t;

static void take_backends(replica_t *r, const msg_report_ack_t *ack, tc_time_t asked)
{
    list_replica_t *const copy = r->follow.backends_replica;
    const tc_time_t before = list_replica_time(copy);
    if (list_replica_receive(copy, &ack->backends, ack->peer, asked - (tc_time_t)ack->backends_age_ms) ||
        list_replica_time(copy) != before)
        reports_take_backends(r);
}

static void on_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    const query_t query = *(query_t *)arg;
    replica_t *const r = query.replica;
    const msg_report_ack_t *const ack = rc == TC_OK && type == MSG_REPORT_ACK ? message : NULL;
    g_free(arg);
    (void)err; /* the leader of that time is polled again soon */
    r->follow.waiting = false;
    if (!ack || !ack->leads || replica_retains_leadership(r))
        return;
    take_backends(r, ack, query.asked);
    (void)list_replica_receive(r->follow.entries_replica, &ack->entries, ack->peer, query.asked);
    fetch_lists(r, tc_time_now());
}

static void poll_leader(replica_t *r, const char *leader, tc_time_t now)
{
    msg_report_t report = {.backends_hash = list_publisher_hash(r->published),
                           .entries_hash = list_publisher_hash(r->follow.entries),
                           .evacuations_version = r->evacuations.version}; /* no http_addr: this box takes no callers */
    codec_copy_string(report.self.box, sizeof(report.self.box), r->self.name);
    codec_copy_string(report.self.peer_addr, sizeof(report.self.peer_addr), r->self.peer);
    query_t *const query = g_new(query_t, 1);
    *query = (query_t){.replica = r, .asked = now};
    r->follow.waiting = true;
    r->follow.poll_at = now + POLL_PERIOD_MS;
    peer_call(r->net, leader, MSG_REPORT, &report, POLL_TIMEOUT_MS, on_answer, query);
}

void follow_tick(replica_t *r, tc_time_t now)
{
    const raft_member_t *const leader = raft_find_member(r->raft, log_writer_leader(r->writer, r->raft));
    if (replica_retains_leadership(r) || !leader || leader->id == r->self.id)
        return;
    fetch_lists(r, now);
    if (!r->follow.waiting && now >= r->follow.poll_at)
        poll_leader(r, leader->peer, now);
}

/* ===== Requests of other boxes ===== */

void follow_answer_list(replica_t *r, peer_call_t call, const msg_fetch_list_t *asked, tc_time_t now)
{
    list_publisher_t *const entries = replica_retains_leadership(r) ? roster_list(r->roster, now) : r->follow.entries;
    list_publisher_t *const publisher = asked->list == LIST_NAME_ENTRIES ? entries : r->published;
    const msg_list_piece_t piece = list_publisher_piece(publisher, asked->hash, asked->offset);
    peer_reply(r->net, call, MSG_LIST_PIECE, &piece);
}

/* ===== Lifecycle ===== */

void follow_start(replica_t *r)
{
    r->follow.entries = list_publisher_create(&list_of_entries);
    r->follow.backends_replica = list_replica_create(r->published, r->self.peer);
    r->follow.entries_replica = list_replica_create(r->follow.entries, r->self.peer);
}

void follow_stop(replica_t *r)
{
    r->follow.is_stopped = true;
}

void follow_free(replica_t *r)
{
    list_replica_destroy(r->follow.backends_replica);
    list_replica_destroy(r->follow.entries_replica);
    list_publisher_destroy(r->follow.entries);
}
