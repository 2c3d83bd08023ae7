/** @file raft.h
 * Replicated log: the Raft algorithm (Ongaro and Ousterhout, 2014) as a state machine without I/O, threads or clock.
 *
 * Events are passed in with the time; raft_next_action returns the actions, which
 * the caller executes in order. What an action META, APPEND, TRUNCATE or SNAPSHOT
 * writes must be synced before a later SEND or APPLY is executed. An accepted
 * command is durable only if the caller keeps this rule.
 *
 * Extensions: pre-vote, check of the quorum, leader lease on the boot clock,
 * membership changes of one member at a time through non-voters, snapshots sent in
 * pieces, append messages of bounded size. A member is identified by its data
 * directory, so a box whose disk was lost joins as a new member.
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

/** Election timeout: a follower without a message of the leader starts an election after a random time between MIN and
 *  MAX. A member grants no vote within MIN of a leader's message or of its own start. */
#define RAFT_ELECTION_MIN_MS 600
#define RAFT_ELECTION_MAX_MS 1200
/** Interval of the leader's heartbeats. */
#define RAFT_HEARTBEAT_MS 100
/** The leader's lease expires this long after the send time of the last round that a majority acknowledged. Shorter
 * than RAFT_ELECTION_MIN_MS by more than clocks can drift in that time. */
#define RAFT_LEASE_MS 450
/** Maximum number of entries in an append message. */
#define RAFT_APPEND_MAX_ENTRIES 64
/** An append message takes no further entry once its data has this size. 64 KB occupy a link of 100 Mbit/s for 5 ms,
 *  which bounds the delay of heartbeats and leases queued behind them. */
#define RAFT_APPEND_MAX_BYTES (64 * 1024)
/** Size of one piece of a snapshot, for the same reason. */
#define RAFT_SNAPSHOT_PIECE_BYTES (64 * 1024)

/* ===== Types ===== */

typedef struct raft raft_t;

typedef enum { RAFT_FOLLOWER, RAFT_PRE_CANDIDATE, RAFT_CANDIDATE, RAFT_LEADER } raft_role_t;

/** Kinds of log entries, stored in log_entry_t.kind. */
enum { RAFT_NOOP = 0, RAFT_MEMBERS = 1, RAFT_COMMAND = 2 };

/** What a member has on disk when it starts. */
typedef struct {
    uint64_t id;           /**< identity of the data directory, not 0 */
    uint64_t term, vote;   /**< synced before any reply that depends on them */
    raft_image_t snapshot; /**< last_index 0 for none; holds the members as of that index */
    log_entry_t *entries;  /**< entries after the snapshot, in order */
    uint32_t n_entries;
    uint64_t seed; /**< of the random election timeouts */
} raft_start_t;

typedef enum {
    RAFT_ACT_META,           /**< write term and vote */
    RAFT_ACT_APPEND,         /**< append the entry to the log */
    RAFT_ACT_TRUNCATE,       /**< remove the entries from index on */
    RAFT_ACT_SNAPSHOT,       /**< write the snapshot, drop the log up to it, and load the state from it */
    RAFT_ACT_SEND,           /**< send a message to a member */
    RAFT_ACT_APPLY,          /**< apply a committed command to the state */
    RAFT_ACT_LEADERSHIP_LOST /**< leadership ended: the outcome of proposals not yet applied is unknown */
} raft_action_kind_t;

typedef struct {
    raft_action_kind_t kind;
    uint64_t term, vote;       /**< META */
    uint64_t index;            /**< TRUNCATE */
    log_entry_t entry;         /**< APPEND, APPLY: owned by the action */
    raft_image_t snapshot;     /**< SNAPSHOT: owned by the action */
    uint64_t to;               /**< SEND: member id */
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

/** Start a member. Copies @p start. */
raft_t *raft_create(const raft_start_t *start, tc_time_t now);
void raft_destroy(raft_t *raft);

/** Start a new cluster with this member as its only voter. The log must be empty. */
void raft_bootstrap(raft_t *raft, const raft_member_t *self, tc_time_t now);

/** Run timers: elections, heartbeats, check of the quorum. Call at least every 50 ms. */
void raft_tick(raft_t *raft, tc_time_t now);

/** Process a message of another member. @param type MSG_VOTE ... MSG_SNAPSHOT_ACK, or MSG_YIELD */
void raft_receive(raft_t *raft, uint32_t type, const void *message, tc_time_t now);

/** Member id of the sender of a message of those types, 0 for others. A box that has just been added knows no members
 *  yet, so its caller must store the address that a message came from in order to reply. */
uint64_t raft_sender(uint32_t type, const void *message);

/** Transfer leadership before a planned stop: step down, and let the voter whose log is most advanced start an election
 *  at once. The election takes one or two round trips instead of an election timeout.
 *  @return false when this member does not lead */
bool raft_resign(raft_t *raft, tc_time_t now);

/** Append a command that raft_replicate sends. Commands that belong together are appended first and replicated once, so
 *  that they are synced together. @return its index, or TC_E_NOT_LEADER */
int64_t raft_append(raft_t *raft, const char *data, size_t size);
/** Send what was appended. Call after raft_append, before the next action is taken. */
void raft_replicate(raft_t *raft, tc_time_t now);

/** Append and replicate one command. @return its index, or TC_E_NOT_LEADER */
int64_t raft_propose(raft_t *raft, const char *data, size_t size, tc_time_t now);

/** Process a join request. The leader adds the box as a non-voter, sends it the log, removes the member that it
 * replaces (same name, or a silent voter) and makes it a voter, one change per call. Call again until raft_is_voter. */
void raft_join(raft_t *raft, const raft_member_t *member, tc_time_t now);

/** Limit the number of voters, 0 for no limit. Other members stay non-voters, which receive the log and replace a voter
 *  that falls silent. With an odd number, one side of every partition in two has a majority. */
void raft_set_target_voters(raft_t *raft, uint32_t wanted);

/** Remove a voter that has been silent for a while, if there are more than @p wanted voters: a dead voter whose
 *  replacement is already a voter only makes majorities larger. It joins again when it is back. Call periodically. */
void raft_remove_silent_voter(raft_t *raft, uint32_t wanted, tc_time_t now);

/** Replace the log up to @p index by a snapshot. @param state packed state as of @p index, copied */
void raft_compact(raft_t *raft, uint64_t index, const char *state, size_t size);

/** Take the next action; free it with raft_action_free. @return false when there is none */
bool raft_next_action(raft_t *raft, raft_action_t *action);
void raft_action_free(raft_action_t *action);

/** Whether this member leads and no other member can: it may serve reads and grant leases. */
bool raft_has_lease(const raft_t *raft, tc_time_t now);
/** Age in ms of the newest round that a majority has acknowledged; the lease is valid while it is below RAFT_LEASE_MS.
 *  TC_TIME_NEVER unless this member leads and has committed an entry of its term. */
tc_time_t raft_quorum_age(const raft_t *raft, tc_time_t now);

raft_view_t raft_view(const raft_t *raft);

/** Members as this member knows them; borrowed until the next call. */
const raft_members_t *raft_members(const raft_t *raft);
const raft_member_t *raft_find_member(const raft_t *raft, uint64_t id);
bool raft_is_voter(const raft_t *raft, uint64_t id);

/** Term of the entry at @p index, 0 when the log does not hold it. */
uint64_t raft_term_at(const raft_t *raft, uint64_t index);

#endif
