/** @file control.h
 * The control box: connects the peer network and the data directory to the replicated log and its state.
 *
 * Everything runs in the loop's thread, except control_propose_wait and
 * control_read, which the threads of the operators' HTTP interface call.
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

/** Read-only view of the control box, valid only during the call of a control_read_fn_t. */
typedef struct {
    const state_t *state;
    const members_t *members;
    raft_view_t raft;
    const raft_members_t *voters;
    bool has_lease;
    tc_time_t now;
    const char *leader_http; /**< HTTP address of the leader, "" when unknown */
    uint64_t in_force; /**< newest configuration version that every live lease holder acts on; set on the leader only */
    const char *laggard; /**< a box that may still act on an older version, "" for none */
} control_view_t;

typedef void (*control_read_fn_t)(void *arg, const control_view_t *view);

/* ===== Public functions ===== */

/** Open the data directory and start. @p loop and @p settings must outlive the control box.
 * @param incarnation start number of this process
 * @return NULL with @p err */
control_t *control_create(loop_t *loop, const control_settings_t *settings, uint64_t incarnation, tc_err_t *err);

/** Fail all pending proposals and close the data directory. Call it after loop_run has returned. @p control itself is
 *  not freed, since threads of the operators' interface may still read it. */
void control_stop(control_t *control);

/** Propose a command and wait until it is applied. Must not be called from the loop's thread.
 * @param result filled on success; free with codec_free(&result_desc)
 * @return 0; TC_E_NOT_LEADER or TC_E_FULL: the command was not executed; TC_E_BROKEN or TC_E_TIMEOUT: the outcome is
 *  unknown, retry with the same request id */
int control_propose_wait(control_t *control, const command_t *command, result_t *result, tc_err_t *err);

/** Run @p fn with a view in the loop's thread and wait for it. Must not be called from the loop's thread. */
void control_read(control_t *control, control_read_fn_t fn, void *arg);

#endif
