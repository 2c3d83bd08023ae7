/** @file control_internal.h
 * Declarations shared by control.c and control_*.c; not included elsewhere.
 */
#ifndef TRACKCOVE_CONTROL_CONTROL_INTERNAL_H
#define TRACKCOVE_CONTROL_CONTROL_INTERNAL_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <urcu/list.h>

#include "control/control.h"
#include "control/log_writer.h"
#include "control/orders.h"
#include "control/planner.h"

/* ===== Constants ===== */

enum {
    TICK_MS = 20,
    JOIN_INTERVAL_MS = 300,     /* interval of join requests of a box that is not a voter */
    CELLS_INTERVAL_MS = 100,    /* interval at which the leader checks the cells' leases */
    PROPOSAL_TIMEOUT_MS = 5000, /* after this the outcome of a proposal is reported as unknown */
    BOOTSTRAP_CALL_TIMEOUT_MS = 1000
};

/* ===== Types ===== */

/** Called exactly once per proposal, when it is applied or has failed. @param result NULL on error */
typedef void (*proposal_done_fn_t)(void *arg, const result_t *result, const tc_err_t *err);

/** A proposed command that is not applied yet, identified by its log index and term. */
typedef struct {
    struct cds_list_head node;
    uint64_t index, term;
    tc_time_t deadline;
    proposal_done_fn_t done;
    void *arg;
} proposal_t;

struct control {
    loop_t *loop;
    peer_net_t *net;
    const control_settings_t *settings;
    raft_t *raft;
    log_writer_t *writer;
    state_t *state;
    members_t *members;
    planner_t *planner;
    raft_member_t self;
    struct cds_list_head proposals;
    GHashTable *senders; /* member id -> peer address, borrowed from the settings */
    bool was_leader;     /* whether this box led at the last tick */
    bool cell_pending, move_pending;
    uint64_t in_force;
    char laggard[CODEC_STR_SIZE];
    tc_time_t join_at, cells_at;
    uint32_t since_snapshot;
    uint64_t state_index;                        /* index of the last command applied to the state */
    uint32_t bootstrap_pending, bootstrap_empty; /* bootstrap calls outstanding; replies from empty boxes */
    bool bootstrapping;
};

/* ===== Shared functions ===== */

/** Propose a command. @p done runs exactly once, possibly before this returns. */
void control_propose(control_t *c, const command_t *command, proposal_done_fn_t done, void *arg);
/** End one proposal with error @p code. Frees @p p. */
void control_fail_proposal(proposal_t *p, int code, const char *detail);
/** End every pending proposal with TC_E_BROKEN: its outcome is unknown. */
void control_fail_proposals(control_t *c, const char *detail);
/** Whether this box leads, holds a valid lease, and its disk accepts writes. */
bool control_leads(const control_t *c, tc_time_t now);
/** Execute the actions of the log in order; nothing is sent or applied before it is synced to disk. */
void control_pump(control_t *c);
/** Replace the replicated state with that of a snapshot. */
void control_load_snapshot(control_t *c, const raft_image_t *image);
/** Run the leader's periodic work: cell leases, the planner, the version in force. Does nothing on a follower. */
void control_leader_tick(control_t *c, tc_time_t now);
/** Fill in @p view for the orders' thread. Called from that thread; blocks until the loop has run it. */
void control_get_orders_view(void *arg, orders_view_t *view);
/** Send join requests until this box is a voter; with found_cluster, bootstrap a new cluster if all boxes are empty. */
void control_join_or_bootstrap(control_t *c, tc_time_t now);
/** Handler for messages of the peer network. */
void control_on_message(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message);

#endif
