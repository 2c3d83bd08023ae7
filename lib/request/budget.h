/** @file budget.h
 * Retry budget: second attempts are a share of the traffic, not a count a request, so that retries cannot
 * multiply the load when everything fails at once.
 */
#ifndef TRACKCOVE_REQUEST_BUDGET_H
#define TRACKCOVE_REQUEST_BUDGET_H

#include <stdatomic.h>
#include <stdbool.h>

/** In thousandths of an attempt. */
typedef struct {
    atomic_int credit;
} budget_t;

enum {
    BUDGET_ATTEMPT_COST = 1000,
    BUDGET_EARNED_PER_REQUEST = 200,      /* a request earns a fifth of a second attempt */
    BUDGET_MAX = 60 * BUDGET_ATTEMPT_COST /* enough for all requests of an engine that dies */
};

static inline void budget_init(budget_t *budget)
{
    atomic_init(&budget->credit, BUDGET_MAX);
}

/** A request came. */
static inline void budget_earn(budget_t *budget)
{
    if (atomic_load_explicit(&budget->credit, memory_order_relaxed) < BUDGET_MAX)
        atomic_fetch_add_explicit(&budget->credit, BUDGET_EARNED_PER_REQUEST, memory_order_relaxed);
}

/** Whether a second attempt may be made; takes it from the budget. */
static inline bool budget_spend(budget_t *budget)
{
    int credit = atomic_load_explicit(&budget->credit, memory_order_relaxed);
    while (credit >= BUDGET_ATTEMPT_COST)
        if (atomic_compare_exchange_weak(&budget->credit, &credit, credit - BUDGET_ATTEMPT_COST))
            return true;
    return false;
}

#endif
