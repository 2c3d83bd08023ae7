/** @file limits.h
 * Limits of back ends for all boxes together, at the leader of the control boxes: those that they name, and what cold
 * ones bear. Which are known, and for each kind the one count of what all boxes send to each back end that has one.
 *
 * What they name comes from boxes, which tell what answers said. A new leader begins with nothing and hears it again
 * from each box. Counting is cap/cap_ledger.h's, with the back ends as subjects. No engine is granted by the scheduler
 * beyond its limit.
 *
 * Nothing here fails, blocks or reads the clock. Everything runs in the loop's thread.
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

/** This box begins to lead: nothing is known. */
void limits_reset(limits_t *limits, tc_time_t now);
/** Call every tick: what the scheduler granted on engines with limits is counted, and it is allowed what is left of
 *  them. @param sched borrowed, as in the calls below @param boxes as cap_ledger_set_boxes */
void limits_tick(limits_t *limits, sched_t *sched, unsigned boxes, tc_time_t now);
/** These back ends are listed: limits of others are forgotten. */
void limits_set_backends(limits_t *limits, const backend_t *list, uint32_t n, tc_time_t now);

/** The cold back ends, and what each bears of all boxes together; copied. */
void limits_set_cold(limits_t *limits, const cap_cfg_t *list, uint32_t n, tc_time_t now);

/** A box reports: take what answers told it and what it sent by itself, and fill in what it is to know, borrowed until
 *  the next call of any function. */
void limits_handle_report(limits_t *limits, sched_t *sched, const msg_report_t *report, msg_report_ack_t *ack,
                          tc_time_t now);
/** A box asks for one request. @param after when it may send one, ms from now, if it may not now */
bool limits_acquire(limits_t *limits, sched_t *sched, const msg_take_limit_t *take, tc_time_t now, tc_time_t *after);

#endif
