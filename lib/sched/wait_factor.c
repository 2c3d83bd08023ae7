#include "sched/wait_factor.h"

#include <math.h>

/** Weight of one wait: large requests are few, so some three of them set the factor of their size. */
static const double WEIGHT = 0.3;

static unsigned class_of(uint32_t pieces)
{
    const double steps = 2 * log2(pieces > 0 ? pieces : 1);
    return steps < WAIT_FACTOR_CLASSES ? (unsigned)steps : WAIT_FACTOR_CLASSES - 1;
}

static double excess_at(const wait_factors_t *factors, unsigned class, tc_time_t now)
{
    const double age = (double)(now - factors->at[class]);
    return factors->excess[class] * exp(-(age > 0 ? age : 0) / WAIT_FACTOR_MEMORY_MS);
}

void wait_factor_learn(wait_factors_t *factors, uint32_t pieces, double expected_ms, double waited_ms, tc_time_t now)
{
    if (!(expected_ms >= WAIT_FACTOR_MIN_MS) || isinf(expected_ms))
        return;
    const unsigned class = class_of(pieces);
    const double excess = excess_at(factors, class, now);
    const double ratio = fmin(fmax(waited_ms, 0) / expected_ms, WAIT_FACTOR_MAX);
    factors->excess[class] = excess + WEIGHT * (ratio - 1 - excess);
    factors->at[class] = now;
}

double wait_factor(const wait_factors_t *factors, uint32_t pieces, tc_time_t now)
{
    return 1 + fmax(excess_at(factors, class_of(pieces), now), 0);
}
