/** @file time.h
 * The one clock type: milliseconds.
 *
 * Cores take the time as an argument and never call these functions.
 */
#ifndef TRACKCOVE_COMMON_TIME_H
#define TRACKCOVE_COMMON_TIME_H

#include <stdint.h>

/* ===== Types ===== */

/** A point on the monotonic clock, or a span, in milliseconds. */
typedef int64_t tc_time_t;

/** Later than any time. */
#define TC_TIME_NEVER INT64_MAX

/* ===== Public functions ===== */

/** Now on the monotonic clock. Counts while the process is stopped by a signal. */
tc_time_t tc_time_now(void);

/** For how long the machine was suspended since it started: time that CLOCK_MONOTONIC leaves out. */
tc_time_t tc_time_suspended(void);

/** Wall clock in milliseconds since 1970; for logs and incarnation numbers only. */
int64_t tc_time_wall(void);

/** Sleep for a span. */
void tc_time_sleep(tc_time_t span);

#endif
