/** @file leader_log.h
 * Log lines and counters of the scheduler on the leader: its view of the engines, its decisions, and the returns of
 * refused requests. Source: the statistics of sched/sched.h and admission/returns.h. Nothing here decides.
 */
#ifndef TRACKCOVE_CLUSTER_LEADER_LOG_H
#define TRACKCOVE_CLUSTER_LEADER_LOG_H

/* ===== Dependencies ===== */

#include "admission/returns.h"
#include "sched/sched.h"

/* ===== Public functions ===== */

/** Logs the scheduler's view of the engines, for comparison with what engines and entry boxes log, and sets its gauges.
 *  Call once per second. */
void leader_log_engines(const sched_t *sched, tc_time_t now);
/** Logs and counts one decision; a refusal with the view of the engines on which it is based. */
void leader_log_placed(const sched_t *sched, const sched_answer_t *answer, tc_time_t now);
/** Adds what has changed to the counters of returns. @param before as counted by the last call; all zero at first */
void leader_log_count_returns(const returns_stats_t *stats, const returns_stats_t *before);

#endif
