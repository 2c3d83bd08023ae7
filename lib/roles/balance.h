/** @file balance.h
 * How many of a service's engines should compute prompts: a pure function of what its two pools have to do.
 *
 * The prefill pool is kept as small as a burst allows, since a prefill engine
 * holds no request's memory while it is idle, and memory is what bursts run out
 * of. Work is counted in engines: 2.5 means that two and a half engines would be
 * busy all the time.
 *
 * Pure: no I/O, clock or state.
 */
#ifndef TRACKCOVE_ROLES_BALANCE_H
#define TRACKCOVE_ROLES_BALANCE_H

/* ===== Dependencies ===== */

#include <stdint.h>

/* ===== Types ===== */

/** What the two pools of a service have to do, in engines that would be busy all the time: moving averages. */
typedef struct {
    double prefill;      /**< prompts that are read, as of the last seconds */
    double prefill_slow; /**< the same over as long as memory takes to follow: for comparison with it */
    double decode;       /**< memory or places taken, whichever is more */
} pool_load_t;

/** The two pools of one service, engines that are about to change counted where they go. */
typedef struct {
    uint32_t prefills, decodes; /**< engines of each role */
    pool_load_t load;
} role_pools_t;

/* ===== Public functions ===== */

/** Engines that should compute prompts: the present number, one more or one fewer. Never takes an engine from a pool
 *  that would then not bear a loss. */
uint32_t balance_target_prefills(const role_pools_t *pools);

#endif
