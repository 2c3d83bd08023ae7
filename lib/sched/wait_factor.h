/** @file wait_factor.h
 * How much longer requests of a size wait for memory than the estimate says. The estimate counts memory, wherever it is
 * free; a large request needs it on one engine, where smaller ones take what is freed.
 *
 * Pure: no I/O, no clock.
 */
#ifndef TRACKCOVE_SCHED_WAIT_FACTOR_H
#define TRACKCOVE_SCHED_WAIT_FACTOR_H

/* ===== Dependencies ===== */

#include <stdint.h>

#include "common/time.h"

/* ===== Constants ===== */

/** Sizes are told apart in steps of a factor of the square root of two, up to 65,536 pieces. */
#define WAIT_FACTOR_CLASSES 32
/** Largest factor: beyond it a request has no chance in any queue. */
#define WAIT_FACTOR_MAX 4.0
/** Shortest estimate that teaches something, ms: below it, ticks and round trips count for more. */
#define WAIT_FACTOR_MIN_MS 100
/** Without new waits a factor returns to 1 with this time constant, ms: it holds over the pause between two bursts. */
#define WAIT_FACTOR_MEMORY_MS 10000

/* ===== Types ===== */

/** Plain data; zero-initialised: all factors are 1. */
typedef struct {
    double excess[WAIT_FACTOR_CLASSES]; /**< factor less 1 */
    tc_time_t at[WAIT_FACTOR_CLASSES];  /**< time that it holds for */
} wait_factors_t;

/* ===== Public functions ===== */

/** A request of @p pieces got memory, or gave up, after @p waited_ms where the estimate without a factor was
 *  @p expected_ms. */
void wait_factor_learn(wait_factors_t *factors, uint32_t pieces, double expected_ms, double waited_ms, tc_time_t now);
/** @return 1 to WAIT_FACTOR_MAX */
double wait_factor(const wait_factors_t *factors, uint32_t pieces, tc_time_t now);

#endif
