/** @file raft.h
 * Replicated log: a pure state machine after the Raft algorithm (Ongaro and Ousterhout, 2014).
 *
 * Events go in with the time; actions come out of raft_next_action, to be done
 * in order. Whatever an action APPEND, TRUNCATE, META or SNAPSHOT asks to write
 * must be synced before a later SEND or APPLY is done: that is the whole rule
 * that keeps "accepted" true.
 *
 * With it: pre-vote, quorum check, leader lease on the boot clock, members
 * changed one at a time through non-voters, snapshots in pieces, entries in
 * bounded pieces. A member is named by the identity of its data folder, so a box
 * whose disk was lost is a new member.
 */
#ifndef TRACKCOVE_CONTROL_RAFT_H
#define TRACKCOVE_CONTROL_RAFT_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** A follower that hears no leader for between MIN and MAX stands for election. No vote is given within
 *  MIN of a leader's message, nor within MIN of a start. */
#define RAFT_ELECTION_MIN_MS 600
#define RAFT_ELECTION_MAX_MS 1200
#define RAFT_HEARTBEAT_MS 100
/** The leader's lease ends this long after the send time of a round that a majority answered. Less than
 *  RAFT_ELECTION_MIN_MS by more than clocks can drift in that time. */
#define RAFT_LEASE_MS 450
/** Bounds of one append message, and of one piece of a snapshot. 64 KB take 5 ms of a link of 100 Mbit/s: heartbeats
 * and leases wait no longer behind them. */
#define RAFT_APPEND_MAX_ENTRIES 64
#define RAFT_APPEND_MAX_BYTES (64 * 1024)
#define RAFT_SNAPSHOT_PIECE_BYTES (64 * 1024)

/* ===== Types ===== */

typedef struct raft raft_t;

typedef enum { RAFT_FOLLOWER, RAFT_PRE_CANDIDATE, RAFT_CANDIDATE, RAFT_LEADER } raft_role_t;

/** Kinds of log entries. */
enum { RAFT_NOOP = 0, RAFT_MEMBERS = 1, RAFT_COMMAND = 2 };

/** What a member had on disk when it started. */
typedef struct {
    uint64_t id;           /**< identity of the data folder, not 0 */
    uint64_t term, vote;   /**< synced before any answer that rests on them */
    raft_image_t snapshot; /**< last_index 0 for none; members of the founding or last snapshot */
    log_entry_t *entries;  /**< those behind the snapshot, in order */
    uint32_t n_entries;
    uint64_t seed; /**< for the jitter of elections */
} raft_start_t;

typedef enum {
    RAFT_ACT_META,           /**< write term and vote */
    RAFT_ACT_APPEND,         /**< append the entry to the log */
    RAFT_ACT_TRUNCATE,       /**< cut the log: entries from index on are gone */
    RAFT_ACT_SNAPSHOT,       /**< write the snapshot, start the log anew behind it, and load the state from it */
    RAFT_ACT_SEND,           /**< send a message to a member */
    RAFT_ACT_APPLY,          /**< apply a committed command to the state */
    RAFT_ACT_LEADERSHIP_LOST /**< leadership ended: proposals not yet applied have an unknown outcome */
} raft_action_kind_t;

typedef struct {
    raft_action_kind_t kind;
    uint64_t term, vote;       /**< META */
    uint64_t index;            /**< TRUNCATE */
    log_entry_t entry;         /**< APPEND, APPLY: owned by the action */
    raft_image_t snapshot;     /**< SNAPSHOT: owned by the action */
    uint64_t to;               /**< SEND: identity */
    char addr[CODEC_STR_SIZE]; /**< SEND: peer address */
    uint32_t type;             /**< SEND: message type */
    void *message;             /**< SEND: owned by the action */
} raft_action_t;

typedef struct {
    raft_role_t role;
    uint64_t id, term, leader, commit, applied, last_index, snapshot_index;
    tc_time_t leader_since;
} raft_view_t;

/* ===== Public functions ===== */

/** Start a member. Takes copies. */
raft_t *raft_create(const raft_start_t *start, tc_time_t now);
void raft_destroy(raft_t *raft);

/** Found a cluster with this member alone. Only for a member without any log entry. */
void raft_bootstrap(raft_t *raft, const raft_member_t *self, tc_time_t now);

/** Let time pass; call at least every 50 ms. */
void raft_tick(raft_t *raft, tc_time_t now);

/** A message came in. @param type MSG_VOTE ... MSG_SNAPSHOT_ACK, or MSG_YIELD */
void raft_receive(raft_t *raft, uint32_t type, const void *message, tc_time_t now);

/** Identity of the sender of a message of those types, 0 for others. A box that has just been added knows no
 *  members yet, so its shell must remember where a message came from to answer it. */
uint64_t raft_sender(uint32_t type, const void *message);

/** Give up leadership, and have the voter whose log is nearest stand at once: before a planned stop. Its election takes
 *  a round trip or two in place of the time after which a silent leader is given up.
 *  @return false when this member does not lead */
bool raft_resign(raft_t *raft, tc_time_t now);

/** Propose a command. @return its index, or TC_E_NOT_LEADER */
int64_t raft_propose(raft_t *raft, const char *data, size_t size, tc_time_t now);

/** A box asks to be a member: the leader adds it, catches it up, makes it a voter and removes the member of the
 *  same name that it replaces, one change at a time. Call again until raft_is_voter. */
void raft_join(raft_t *raft, const raft_member_t *member, tc_time_t now);

/** No more than @p wanted voters, 0 for any number: others stay non-voters, which have the log and take a voter's place
 *  when it falls silent. An odd number has a majority on one side of every cut in two. */
void raft_set_target_voters(raft_t *raft, uint32_t wanted);

/** Drop a voter that has been silent for a while, as long as more than @p wanted are left: a dead voter beside a newer
 *  one that took its work over would only make majorities larger. It joins again when it is back. Call now and then. */
void raft_remove_silent_voter(raft_t *raft, uint32_t wanted, tc_time_t now);

/** The state up to @p index is in @p state: the log before it may go. */
void raft_compact(raft_t *raft, uint64_t index, const char *state, size_t size);

/** Take the next action. @return false when there is none; else free it with raft_action_free */
bool raft_next_action(raft_t *raft, raft_action_t *action);
void raft_action_free(raft_action_t *action);

/** Whether this member leads and no other can: reads and leases may rest on it. */
bool raft_has_lease(const raft_t *raft, tc_time_t now);
/** For a leader that may act on its term: how long ago the newest question was sent that a majority has answered, in
 * ms; the lease holds while this is below RAFT_LEASE_MS. TC_TIME_NEVER for anybody else. */
tc_time_t raft_quorum_age(const raft_t *raft, tc_time_t now);

raft_view_t raft_view(const raft_t *raft);

/** Members as this member knows them; borrowed until the next call. */
const raft_members_t *raft_members(const raft_t *raft);
const raft_member_t *raft_find_member(const raft_t *raft, uint64_t id);
bool raft_is_voter(const raft_t *raft, uint64_t id);

/** Term of the entry at @p index, 0 when it is not in the log. */
uint64_t raft_term_at(const raft_t *raft, uint64_t index);

#endif
