/** @file leader_engines.h
 * Describes to the scheduler core the engines that the list of back ends holds, and the links between data centres.
 * Sources: the configured services with engines, the published list of back ends, the evacuated data centres.
 */
#ifndef TRACKCOVE_CLUSTER_LEADER_ENGINES_H
#define TRACKCOVE_CLUSTER_LEADER_ENGINES_H

/* ===== Dependencies ===== */

#include "cluster/evacuations.h"
#include "cluster/leader_sched.h"
#include "gen/schema.h"
#include "sched/sched.h"

/* ===== Constants ===== */

/** All engines are in one cell: a placement over 256 engines costs some 10 us, so hundreds of placements per second
 *  take a few hundredths of a core. */
#define LEADER_ENGINES_CELL "main"

/* ===== Types ===== */

/** What is known of the engines; borrowed. */
typedef struct {
    const leader_sched_service_t *services;
    uint32_t services_n;
    const backend_t *backends; /**< engines among them are those of @p services */
    uint32_t backends_n;
    const evacuations_t *evacuations;
} leader_engines_source_t;

/* ===== Public functions ===== */

/** Configures the scheduler, and marks all engines as up. */
void leader_engines_configure(sched_t *sched, const leader_engines_source_t *source, tc_time_t now);

#endif
