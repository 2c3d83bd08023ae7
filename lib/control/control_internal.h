/** @file control_internal.h
 * Shared by the files of the control box's shell; nobody else includes it.
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
    JOIN_INTERVAL_MS = 300,     /* a box that is no voter asks this often */
    CELLS_INTERVAL_MS = 100,    /* how often the leases of cells are looked at */
    PROPOSAL_TIMEOUT_MS = 5000, /* a proposal not applied by then has an unknown outcome */
    BOOTSTRAP_CALL_TIMEOUT_MS = 1000
};

/* ===== Types ===== */

/** Called once when a proposal was applied, or its outcome will not be known. @param result NULL on error */
typedef void (*proposal_done_fn_t)(void *arg, const result_t *result, const tc_err_t *err);

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
    GHashTable *senders; /* identity -> peer address, borrowed from the settings */
    bool was_leader;     /* whether we led at the last look */
    bool cell_pending, move_pending;
    uint64_t in_force;
    char laggard[CODEC_STR_SIZE];
    tc_time_t join_at, cells_at;
    uint32_t since_snapshot;
    uint64_t state_index;                        /* the state holds every command up to here */
    uint32_t bootstrap_pending, bootstrap_empty; /* answers to the founder's question */
    bool bootstrapping;
};

/* ===== Shared functions ===== */

/** Propose a command; @p done runs exactly once, perhaps before this returns. */
void control_propose(control_t *c, const command_t *command, proposal_done_fn_t done, void *arg);
/** End one proposal with an error. */
void control_fail_proposal(proposal_t *p, int code, const char *detail);
/** End every proposal that waits with an unknown outcome. */
void control_fail_proposals(control_t *c, const char *detail);
/** Whether this box leads, with its lease, and its disk takes writes. */
bool control_leads(const control_t *c, tc_time_t now);
/** Do what the log asks for, in order, synced before it is told or applied. */
void control_pump(control_t *c);
/** Replace the state by a snapshot's. */
void control_load_snapshot(control_t *c, const raft_image_t *image);
/** Look after what only the leader does. */
void control_leader_tick(control_t *c, tc_time_t now);
/** What the orders' thread must know; called from that thread. */
void control_get_orders_view(void *arg, orders_view_t *view);
/** Ask to be a member until this box is a voter; found a cluster if it is to. */
void control_join_or_bootstrap(control_t *c, tc_time_t now);
/** A message came in: the peer network's handler. */
void control_on_message(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message);

#endif
