/** @file time.h
 * The one clock type: milliseconds.
 *
 * Cores take the time as an argument and never call these functions.
 */
#ifndef TRACKCOVE_COMMON_TIME_H
#define TRACKCOVE_COMMON_TIME_H

#include <pthread.h>
#include <stdint.h>

/* ===== Types ===== */

/** A point in time on the clock of tc_time_now, or a duration, in milliseconds. */
typedef int64_t tc_time_t;

/** Later than any time. */
#define TC_TIME_NEVER INT64_MAX

/* ===== Public functions ===== */

/** Current time on CLOCK_BOOTTIME, which never jumps and advances while the process is stopped or the machine is
 *  suspended. Leases, votes and timeouts depend on it: with CLOCK_MONOTONIC, a leader that resumes from suspension
 * would still consider its lease valid although its successor was elected long ago. */
tc_time_t tc_time_now(void);
/** As tc_time_now, with fractions of a millisecond, for measurements. */
double tc_time_exact(void);

/** How long the machine has been suspended since boot, in ms: the time that CLOCK_MONOTONIC leaves out. */
tc_time_t tc_time_suspended(void);

/** Wall clock in milliseconds since 1970. Only for logs and incarnation numbers. */
int64_t tc_time_wall(void);

/** Sleeps for @p span ms; a signal may end it early. */
void tc_time_sleep(tc_time_t span);

/** Initialises a condition variable for tc_cond_wait_for. */
void tc_cond_init(pthread_cond_t *cond);
/** Waits for the condition, at most for @p span ms. Jumps of the wall clock do not matter. Spurious wake-ups occur. */
void tc_cond_wait_for(pthread_cond_t *cond, pthread_mutex_t *lock, tc_time_t span);

#endif
