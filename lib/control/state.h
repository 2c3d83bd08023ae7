/** @file state.h
 * The replicated state: the accepted configuration, plans, results of operators' requests, claims, leases of cells,
 * draining boxes.
 *
 * Deterministic: the same commands in the same order give the same state and the
 * same results on every control box. No I/O, threads or clock.
 *
 * Invariants:
 *  - every accepted change increases the version by one, and no version reverts;
 *  - of two changes made for the same version one wins, and the other is refused with the name of the winner;
 *  - a resent request of an operator gets the result of the first one;
 *  - the claim on an id is won at most once, except after its holder reported that it did not run.
 */
#ifndef TRACKCOVE_CONTROL_STATE_H
#define TRACKCOVE_CONTROL_STATE_H

/* ===== Dependencies ===== */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** Number of changes kept, as history for operators and to send outdated boxes patches instead of the whole
 *  configuration. */
#define STATE_CHANGES_KEPT 2000
/** Largest JSON text of a configuration that a plan may lead to: a box that missed changes fetches the whole
 *  configuration in one frame, which holds at most 8 MB. */
#define STATE_CONFIG_MAX_BYTES (6 * 1024 * 1024)
/** Number of results kept for resent requests. */
#define STATE_ANSWERS_KEPT 5000
/** A claim is kept this long after it was made. A caller must not reuse an id within this time. */
#define STATE_CLAIM_KEEP_MS (15 * 60 * 1000)

/* ===== Types ===== */

typedef struct state state_t;

/* ===== Public functions ===== */

state_t *state_create(void);
void state_destroy(state_t *state);

/** Apply a packed command, as stored in the log. @param result filled; free with codec_free(&result_desc) */
void state_apply(state_t *state, const char *data, size_t size, result_t *result);

/** The whole state, packed. @return heap bytes for free() */
char *state_save(const state_t *state, size_t *size);

/** Replace the state with one packed by state_save. @return 0, or negative with the state unchanged */
int state_load(state_t *state, const char *data, size_t size);

uint64_t state_version(const state_t *state);

/** The accepted configuration as JSON text; borrowed until the next change. */
const char *state_config_text(const state_t *state);
/** The same, parsed; borrowed. */
const config_t *state_config(const state_t *state);

/** Get the patches after version @p from.
 * @param ack patches are filled in; free with codec_free(&msg_fetch_ack_desc)
 * @return false when some of them are no longer kept, or @p from is not a version of this state */
bool state_changes(const state_t *state, uint64_t from, msg_fetch_ack_t *ack);

/** Get the last @p room changes, newest first; borrowed. @return number filled */
uint32_t state_history(const state_t *state, const change_t **changes, uint32_t room);

const plan_record_t *state_find_plan(const state_t *state, const char *plan);
uint32_t state_plans(const state_t *state, const plan_record_t **plans, uint32_t room);

/** Result of the first execution of a request; borrowed, NULL when unknown. */
const result_t *state_find_answer(const state_t *state, const char *request_id);

const claim_record_t *state_find_claim(const state_t *state, const char *id);
uint32_t state_claim_count(const state_t *state);

const cell_lease_t *state_find_cell(const state_t *state, const char *cell);
/** Version of the leases of cells: changes with each of them, and is the same on all control boxes. */
uint64_t state_cells_version(const state_t *state);
uint32_t state_cells(const state_t *state, const cell_lease_t **cells, uint32_t room);

bool state_is_draining(const state_t *state, const char *box);

/** Check that a patch, applied to the accepted configuration, gives a valid configuration.
 * @param next set to the resulting configuration as JSON, new reference; may be NULL
 * @return 0, or negative with @p err */
int state_check_patch(const state_t *state, const char *patch, json_t **next, tc_err_t *err);

/** Check that a configuration is at most STATE_CONFIG_MAX_BYTES long. Called before a plan is proposed: commands in the
 *  log are applied whatever their size. @return 0, or TC_E_INVALID with @p err */
int state_check_size(const json_t *next, tc_err_t *err);

/** Compute the patch that restores the configuration of @p version. @return heap text, or NULL when it is not kept */
char *state_rollback_patch(const state_t *state, uint64_t version);

/** Pack a command for raft_propose. @return heap bytes for free() */
char *state_pack_command(const command_t *command, size_t *size);

#endif
