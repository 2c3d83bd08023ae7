/** @file cold.h
 * Tracks cold back ends: those that have just started and serve fewer requests per second than they will once warm.
 * The list of back ends marks them. After the evacuation of a data centre ends, all its back ends count as cold until
 * a list read after the end, allowing for the list's lag, says otherwise. No I/O; the caller passes the time.
 */
#ifndef TRACKCOVE_CLUSTER_COLD_H
#define TRACKCOVE_CLUSTER_COLD_H

/* ===== Dependencies ===== */

#include "cluster/evacuations.h"
#include "common/time.h"

/* ===== Types ===== */

typedef struct cold cold_t;

/* ===== Public functions ===== */

cold_t *cold_create(void);
void cold_destroy(cold_t *cold);

/** Applies a change of the evacuations: data centres in @p before but not in @p after have just reopened. */
void cold_update_evacuations(cold_t *cold, const evacuations_t *before, const evacuations_t *after, tc_time_t now);
/** Applies a list of back ends, changed or not, that was read at @p fetched.
 *  @return whether a reopened data centre is now judged by the list, so that cold_is may give other results */
bool cold_update_list(cold_t *cold, tc_time_t fetched);
/** @return whether the back end is cold, by its entry in the list or by its data centre */
bool cold_is(const cold_t *cold, const backend_t *backend);

#endif
