/** @file cold.h
 * Back ends that have just started: they bear fewer requests a second than they will. The list of back ends says which;
 * of those in a data centre whose evacuation has ended they are taken for cold until a list that was read after that
 * says otherwise. Pure: the time goes in.
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

/** Other data centres are evacuated than before. */
void cold_update_evacuations(cold_t *cold, const evacuations_t *before, const evacuations_t *after, tc_time_t now);
/** The list of back ends, as it is now, was read at @p fetched. @return whether another one may be cold than before */
bool cold_update_list(cold_t *cold, tc_time_t fetched);
/** Whether the back end, as listed, is cold. */
bool cold_is(const cold_t *cold, const backend_t *backend);

#endif
