/** @file sched_freed.h
 * Rates at which memory of decode engines comes free, which waits are estimated from. Private to the scheduler.
 *
 * When engines end, their requests end with them, and the boxes report that before the list of back ends shows it. What
 * they held is lost, not freed: counted as a rate, it would let hundreds of requests wait for memory that never comes.
 */
#ifndef TRACKCOVE_SCHED_SCHED_FREED_H
#define TRACKCOVE_SCHED_SCHED_FREED_H

/* ===== Dependencies ===== */

#include "sched/sched_internal.h"

/* ===== Functions ===== */

/** Counts memory that a request gave back. @param pieces negative: that was counted too early */
void count_freed(sched_t *s, engine_t *e, double pieces);
/** Updates the rates every FREED_WINDOW_MS. Visits all engines then. */
void update_free_rates(sched_t *s, tc_time_t now);

#endif
