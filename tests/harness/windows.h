/** @file windows.h
 * Independent check of a retry budget: no window, wherever it starts, holds more retries at back ends than the requests
 * of that window, or of one before it, allow.
 */
#ifndef TRACKCOVE_TESTS_WINDOWS_H
#define TRACKCOVE_TESTS_WINDOWS_H

#include <glib.h>

#include "common/retry_budget.h"

/** @param requests tc_time_t, arrivals of requests @param extras tc_time_t, arrivals of their retries,
 *  @return retries above the allowance in the worst window; at most 0 if no window exceeds it */
double windows_max_excess(const GArray *requests, const GArray *extras, const retry_rules_t *rules);

#endif
