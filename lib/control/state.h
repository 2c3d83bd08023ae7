/** @file state.h
 * The replicated state: the accepted configuration, plans, answers to operators' requests, claims, leases of cells.
 *
 * Deterministic: the same commands in the same order give the same state and the
 * same results on every control box. No I/O, threads or clock.
 *
 * What it keeps true:
 *  - versions grow by one with every accepted change and never go back;
 *  - of two changes made for the same version one wins, the other is told who did;
 *  - an operator's request that comes again gets its first answer;
 *  - the claim on an id is won at most once.
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

/** Changes kept: as history for operators, and so that boxes behind get changes rather than the whole. */
#define STATE_CHANGES_KEPT 2000
/** Largest configuration that a plan may lead to, bytes of its text: a box that missed changes fetches it whole, in one
 *  frame between our processes (8 MB). */
#define STATE_CONFIG_MAX_BYTES (6 * 1024 * 1024)
/** Answers kept for resends. */
#define STATE_ANSWERS_KEPT 5000
/** A claim is kept this long after it was made; a caller must not use an id again within this time. */
#define STATE_CLAIM_KEEP_MS (15 * 60 * 1000)

/* ===== Types ===== */

typedef struct state state_t;

/* ===== Public functions ===== */

state_t *state_create(void);
void state_destroy(state_t *state);

/** Apply a command as it lies in the log. @param result filled; free with codec_free(&result_desc) */
void state_apply(state_t *state, const char *data, size_t size, result_t *result);

/** The whole state, packed. @return heap bytes for free() */
char *state_save(const state_t *state, size_t *size);

/** Replace the state. */
int state_load(state_t *state, const char *data, size_t size);

uint64_t state_version(const state_t *state);

/** The accepted configuration as JSON text; borrowed until the next change. */
const char *state_config_text(const state_t *state);
/** The same, parsed; borrowed. */
const config_t *state_config(const state_t *state);

/** Changes after @p from; false when some of them are not kept any more.
 * @param ack patches are filled in; free with codec_free(&msg_fetch_ack_desc) */
bool state_changes(const state_t *state, uint64_t from, msg_fetch_ack_t *ack);

/** Newest @p room changes, newest first; borrowed. @return how many */
uint32_t state_history(const state_t *state, const change_t **changes, uint32_t room);

const plan_record_t *state_find_plan(const state_t *state, const char *plan);
uint32_t state_plans(const state_t *state, const plan_record_t **plans, uint32_t room);

/** First answer to a request, or NULL. */
const result_t *state_find_answer(const state_t *state, const char *request_id);

const claim_record_t *state_find_claim(const state_t *state, const char *id);
uint32_t state_claim_count(const state_t *state);

const cell_lease_t *state_find_cell(const state_t *state, const char *cell);
/** Changes with every change of the leases of cells, and is the same on all control boxes. */
uint64_t state_cells_version(const state_t *state);
uint32_t state_cells(const state_t *state, const cell_lease_t **cells, uint32_t room);

bool state_is_draining(const state_t *state, const char *box);

/** Whether a patch, applied to the accepted configuration, is a valid configuration.
 * @param next the resulting configuration as JSON, new reference, may be NULL */
int state_check_patch(const state_t *state, const char *patch, json_t **next, tc_err_t *err);

/** Whether a configuration that a plan leads to is small enough for every box to fetch. Asked before a plan is made:
 * what the log has accepted is applied whatever its size. */
int state_check_size(const json_t *next, tc_err_t *err);

/** The patch that leads back to the configuration of an old version. @return heap text or NULL when not kept */
char *state_rollback_patch(const state_t *state, uint64_t version);

/** Pack a command for raft_propose. @return heap bytes for free() */
char *state_pack_command(const command_t *command, size_t *size);

#endif
