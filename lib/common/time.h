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

/** A point on the clock that goes on whatever happens to the process, or a span, in milliseconds. */
typedef int64_t tc_time_t;

/** Later than any time. */
#define TC_TIME_NEVER INT64_MAX

/* ===== Public functions ===== */

/** Now, on CLOCK_BOOTTIME: it never jumps, and counts while the process is stopped and while the machine is suspended.
 *  Leases, votes and time limits rest on it: by CLOCK_MONOTONIC a leader back from a suspension would take its lease
 * for held, though its successor was elected long ago. */
tc_time_t tc_time_now(void);
/** The same with fractions, to measure with. */
double tc_time_exact(void);

/** For how long the machine was suspended since it started: time that CLOCK_MONOTONIC leaves out. */
tc_time_t tc_time_suspended(void);

/** Wall clock in milliseconds since 1970; for logs and incarnation numbers only. */
int64_t tc_time_wall(void);

/** Sleep for a span. */
void tc_time_sleep(tc_time_t span);

/** Make a condition for tc_cond_wait_for. */
void tc_cond_init(pthread_cond_t *cond);
/** Wait for it, or for a short span: a jump of the time of day makes that no longer. May wake early. */
void tc_cond_wait_for(pthread_cond_t *cond, pthread_mutex_t *lock, tc_time_t span);

#endif
