/** @file limits.h
 * Rate limits of back ends for all boxes together, kept by the leader of the control boxes. There are two kinds:
 * limits that back ends declare in their answers, and configured limits of cold back ends. For each kind one ledger
 * counts the requests that all boxes send to each limited back end.
 *
 * Declared limits are reported by the boxes, which read them from answers. A new leader starts without any and learns
 * them from the boxes' reports. The ledgers are those of cap/cap_ledger.h, with back ends as subjects. The scheduler
 * never grants requests on an engine beyond its limits.
 *
 * No function fails, blocks or reads the clock. Not thread-safe: everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_CLUSTER_LIMITS_H
#define TRACKCOVE_CLUSTER_LIMITS_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "cap/cap_ledger.h"
#include "gen/schema.h"
#include "sched/sched.h"

/* ===== Types ===== */

typedef struct limits limits_t;

/* ===== Public functions ===== */

/** @param rules copied */
limits_t *limits_create(const limit_rules_t *rules);
void limits_destroy(limits_t *limits);

/** Forgets all declared limits and restarts the ledgers. Call when this box becomes leader. */
void limits_reset(limits_t *limits, tc_time_t now);
/** Counts what the scheduler has granted on limited engines, and lets it grant what remains. Call every tick.
 *  @param sched borrowed, as in the calls below @param boxes number of reporting boxes, as cap_ledger_set_boxes */
void limits_tick(limits_t *limits, sched_t *sched, unsigned boxes, tc_time_t now);
/** Sets the current back ends; declared limits of others are dropped. */
void limits_set_backends(limits_t *limits, const backend_t *list, uint32_t n, tc_time_t now);

/** Sets the cold back ends and the limit of each, for all boxes together; copied. */
void limits_set_cold(limits_t *limits, const cap_cfg_t *list, uint32_t n, tc_time_t now);

/** Handles a box's report: applies the limits that it read from answers, counts the requests that it sent on its own,
 *  and fills in the state of the limits for it. @param ack its lists are borrowed until the next call of any function
 */
void limits_handle_report(limits_t *limits, sched_t *sched, const msg_report_t *report, msg_report_ack_t *ack,
                          tc_time_t now);
/** Handles a box's query whether it may send one request; if so, the request is counted.
 *  @param after set when it may not: time until it may ask again, ms */
bool limits_acquire(limits_t *limits, sched_t *sched, const msg_take_limit_t *take, tc_time_t now, tc_time_t *after);

#endif
