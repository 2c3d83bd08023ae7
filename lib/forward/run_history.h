/** @file run_history.h
 * When runs last went well, by fingerprint of the request or by key of a part of its prompt. This tells what is sound
 * from what crashes back ends. Of fixed size: an entry may be replaced by another one.
 *
 * No I/O, no clock.
 */
#ifndef TRACKCOVE_FORWARD_RUN_HISTORY_H
#define TRACKCOVE_FORWARD_RUN_HISTORY_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"

/* ===== Constants ===== */

enum {
    /** A run that went well this long before a crash shows that the crash has another cause, ms. */
    RUN_HISTORY_REMEMBERED_MS = 20 * 1000
};

/* ===== Types ===== */

typedef struct run_history run_history_t;

/* ===== Public functions ===== */

run_history_t *run_history_create(void);
void run_history_destroy(run_history_t *history);

/** A run went well. */
void run_history_add(run_history_t *history, uint64_t key, tc_time_t now);
/** Whether a run is known to have gone well. @param at set to the time of the last one, if so */
bool run_history_find(const run_history_t *history, uint64_t key, tc_time_t *at);
/** Whether the history alone excuses a crash at @p crashed, of a run that began at @p began. A run that went well
 * excuses one crash, and those of runs that were under way at that time: what went well before may be the cause from
 * some time on. @param since set to the time of the last run that went well, if so */
bool run_history_excuse(run_history_t *history, uint64_t key, tc_time_t began, tc_time_t crashed, tc_time_t *since);

#endif
