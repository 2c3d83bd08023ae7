/** @file raft_internal.h
 * Declarations shared by raft.c, raft_log.c and raft_leader.c; the store uses entry_copy.
 */
#ifndef TRACKCOVE_CONTROL_RAFT_INTERNAL_H
#define TRACKCOVE_CONTROL_RAFT_INTERNAL_H

/* ===== Dependencies ===== */

#include <assert.h>
#include <glib.h>
#include <urcu/list.h>

#include "control/raft.h"

/* ===== Types ===== */

/** Number of rounds whose send time is kept, at most one round per millisecond. An acknowledgement of an older round
 *  is too old to extend a lease. */
enum { ROUND_HISTORY = 2048 };

/** Replication progress of another member, kept by the leader. */
typedef struct {
    uint64_t id;
    uint64_t next, match;
    uint64_t acked_seq;      /* newest round it acknowledged */
    tc_time_t acked_sent_at; /* send time of that round, -1 for none */
    tc_time_t sent_at;       /* send time of the last entries or snapshot piece, for resends */
    bool inflight;           /* entries or a snapshot piece are not acknowledged yet */
    uint64_t snapshot_offset;
    bool snapshotting;
} progress_t;

typedef struct {
    struct cds_list_head node;
    raft_action_t action;
} queued_t;

struct raft {
    uint64_t id, term, vote, leader;
    raft_role_t role;
    GPtrArray *log; /* log_entry_t*, entries after the snapshot */
    raft_image_t snapshot;
    raft_members_t members; /* newest in the log, committed or not, as Raft requires */
    uint64_t members_index;
    uint32_t target_voters; /* 0: no limit */
    uint64_t commit, applied;
    tc_time_t leader_heard_at; /* time of the last message of a leader, or of our start */
    tc_time_t election_at;
    tc_time_t heartbeat_at;
    tc_time_t leader_since, quorum_lost_since;
    uint64_t noop_index; /* leader only: index of the first entry of its term */
    GHashTable *votes;   /* ids that granted a vote in this election */
    GArray *peers;       /* progress_t, leader only */
    uint64_t seq;
    tc_time_t round_sent_at[ROUND_HISTORY]; /* send time of round seq, at [seq % ROUND_HISTORY] */
    GRand *random;
    struct cds_list_head actions;
    GByteArray *incoming; /* pieces of the snapshot that is being received */
    uint64_t incoming_index, incoming_term;
    char *outgoing; /* our snapshot, packed on first use */
    size_t outgoing_size;
};

/* ===== raft_log.c ===== */

uint64_t log_last_index(const raft_t *r);
uint64_t log_last_term(const raft_t *r);
/** @return borrowed; NULL when the log does not hold the entry, or only in the snapshot */
log_entry_t *log_at(const raft_t *r, uint64_t index);
void log_append(raft_t *r, uint64_t term, uint64_t index, uint32_t kind, const char *data, size_t size);
void log_truncate(raft_t *r, uint64_t from);
void entry_copy(log_entry_t *to, const log_entry_t *from);
void members_copy(raft_members_t *to, const raft_members_t *from);
/** Set the members from the newest members entry of the log, or from the snapshot. */
void members_refresh(raft_t *r);
void image_copy(raft_image_t *to, const raft_image_t *from);

/** The voter with the most advanced log among those that have acknowledged a round, 0 for none. */
uint64_t leader_successor(const raft_t *r);
/** Free the packed snapshot after a newer one was taken or installed. */
void discard_outgoing(raft_t *r);

/* ===== raft_leader.c ===== */

void leader_begin(raft_t *r, tc_time_t now);
void leader_send_all(raft_t *r, bool heartbeat, tc_time_t now);
void leader_on_append_ack(raft_t *r, const msg_append_ack_t *ack, tc_time_t now);
void leader_on_snapshot_ack(raft_t *r, const msg_snapshot_ack_t *ack, tc_time_t now);
void leader_advance_commit(raft_t *r, tc_time_t now);
tc_time_t leader_quorum_time(const raft_t *r, tc_time_t now);

/* ===== raft.c ===== */

raft_action_t *raft_add_action(raft_t *r, raft_action_kind_t kind);
/** @param message a struct of @p type, copied shallowly; the action owns its heap parts */
void raft_send(raft_t *r, uint64_t to, uint32_t type, const void *message, size_t size);
void raft_apply_committed(raft_t *r);
void raft_step_down(raft_t *r, uint64_t term, tc_time_t now);
uint32_t raft_majority(const raft_t *r);

#endif
