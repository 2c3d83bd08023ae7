/** @file urgency.h
 * Maps the priority and rank of a request to the scale on which engines compare requests: 0 the most urgent, 9 the
 * least, URGENCY_MIDDLE when a call states none. The order of all pairs that a configuration can produce is kept; they
 * are spread around the middle, one step apart, and closer where there are more than ten.
 *
 * All boxes with the same configuration give the same values. Pure.
 */
#ifndef TRACKCOVE_COMMON_URGENCY_H
#define TRACKCOVE_COMMON_URGENCY_H

/* ===== Dependencies ===== */

#include <stdint.h>

/* ===== Constants ===== */

#define URGENCY_LEVELS 10
#define URGENCY_MIDDLE 5
/** Priorities from this one on count as equal. Operators use 0 to 9. */
#define URGENCY_PRIORITY_MAX 15

/* ===== Types ===== */

/** Set of priorities: bit N for priority N, the last one for URGENCY_PRIORITY_MAX and more. */
typedef uint16_t urgency_set_t;

/* ===== Public functions ===== */

/** Adds a priority to a set. */
urgency_set_t urgency_set_add(urgency_set_t set, uint32_t priority);
/** @param routes priorities of the service's routes: without a priority of the workspace, these are the priorities,
 * with rank 0; otherwise they are the ranks @param workspaces priorities that workspaces have @return 0 to 9 */
unsigned urgency_level(urgency_set_t routes, urgency_set_t workspaces, uint32_t priority, uint32_t rank);

#endif
