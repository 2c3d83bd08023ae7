/** @file control.h
 * The control box's shell: moves bytes between the network, the data folder and the cores.
 *
 * Everything runs in the loop's thread, except control_propose_wait and
 * control_read, by which the operators' interface comes in from its own threads.
 */
#ifndef TRACKCOVE_CONTROL_CONTROL_H
#define TRACKCOVE_CONTROL_CONTROL_H

/* ===== Dependencies ===== */

#include "control/members.h"
#include "control/raft.h"
#include "control/state.h"
#include "gen/schema.h"
#include "peer/peer.h"

/* ===== Types ===== */

typedef struct control control_t;

/** A look at the control box from its loop's thread. */
typedef struct {
    const state_t *state;
    const members_t *members;
    raft_view_t raft;
    const raft_members_t *voters;
    bool has_lease;
    tc_time_t now;
    const char *leader_http; /**< "" when unknown */
    uint64_t in_force;       /**< newest version known to be in force everywhere; only the leader knows */
    const char *laggard;
} control_view_t;

typedef void (*control_read_fn_t)(void *arg, const control_view_t *view);

/* ===== Public functions ===== */

/** Open the data folder and start. @return NULL with @p err */
control_t *control_create(loop_t *loop, const control_settings_t *settings, uint64_t incarnation, tc_err_t *err);

/** After loop_run returned: answer everyone who still waits and close the data folder. The rest of @p control
 *  stays, since threads of the operators' interface may still look at it. */
void control_stop(control_t *control);

/** Propose a command and wait until it is applied. From any thread but the loop's.
 * @param result filled on success; free with codec_free(&result_desc)
 * @return 0; TC_E_NOT_LEADER (not done); TC_E_FULL (not done); TC_E_BROKEN or TC_E_TIMEOUT (unknown: ask again with
 *  the same request id) */
int control_propose_wait(control_t *control, const command_t *command, result_t *result, tc_err_t *err);

/** Run @p fn with a view, in the loop's thread, and wait. From any thread but the loop's. */
void control_read(control_t *control, control_read_fn_t fn, void *arg);

#endif
