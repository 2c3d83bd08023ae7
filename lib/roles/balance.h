/** @file balance.h
 * Computes how many of a service's engines should be prefill engines, from the load of its two pools.
 *
 * The prefill pool is kept as small as bursts allow: an idle prefill engine holds no request's memory, and memory
 * is what bursts run out of. Load is counted in engines: 2.5 means that two and a half engines would be busy all
 * the time.
 *
 * Pure: no I/O, clock or state.
 */
#ifndef TRACKCOVE_ROLES_BALANCE_H
#define TRACKCOVE_ROLES_BALANCE_H

/* ===== Dependencies ===== */

#include <stdint.h>

/* ===== Types ===== */

/** Load of the two pools of a service, as the number of engines that would be busy all the time. Moving averages. */
typedef struct {
    double prefill; /**< prompts read, averaged over the last seconds */
    double
        prefill_slow; /**< the same, averaged over the time that memory takes to follow; for comparison with decode */
    double decode;    /**< memory or batch places taken, whichever is more */
} pool_load_t;

/** The two pools of one service. An engine that is changing its role counts in the pool it goes to. */
typedef struct {
    uint32_t prefills, decodes; /**< engines per role */
    pool_load_t load;
} role_pools_t;

/* ===== Public functions ===== */

/** Number of engines that should be prefill engines: the present number, one more or one fewer. Never takes an
 *  engine from a pool that could then not bear the loss of one. */
uint32_t balance_target_prefills(const role_pools_t *pools);

#endif
