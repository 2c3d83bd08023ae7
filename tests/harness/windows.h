/** @file windows.h
 * The promise of a retry budget, judged from outside: no window, wherever it begins, holds more further arrivals at
 * back ends than its requests, or those of a window before it, allow.
 */
#ifndef TRACKCOVE_TESTS_WINDOWS_H
#define TRACKCOVE_TESTS_WINDOWS_H

#include <glib.h>

#include "common/retry_budget.h"

/** @param requests, extras tc_time_t: when requests came, and their further arrivals
 *  @return by how many arrivals the worst window goes beyond what is allowed; at most 0 when none does */
double windows_worst_excess(const GArray *requests, const GArray *extras, const retry_rules_t *rules);

#endif
