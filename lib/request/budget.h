/** @file budget.h
 * Retry budget. Retries are limited to a share of the traffic rather than to a count per request, so that they cannot
 * multiply the load when everything fails at once.
 */
#ifndef TRACKCOVE_REQUEST_BUDGET_H
#define TRACKCOVE_REQUEST_BUDGET_H

#include <stdatomic.h>
#include <stdbool.h>

/** Retry credit, in thousandths of an attempt. */
typedef struct {
    atomic_int credit;
} budget_t;

enum {
    BUDGET_ATTEMPT_COST = 1000,
    BUDGET_EARNED_PER_REQUEST = 200,      /* each request earns a fifth of a retry */
    BUDGET_MAX = 60 * BUDGET_ATTEMPT_COST /* covers all requests of one engine that fails */
};

static inline void budget_init(budget_t *budget)
{
    atomic_init(&budget->credit, BUDGET_MAX);
}

/** Credits the budget for one incoming request. */
static inline void budget_earn(budget_t *budget)
{
    if (atomic_load_explicit(&budget->credit, memory_order_relaxed) < BUDGET_MAX)
        atomic_fetch_add_explicit(&budget->credit, BUDGET_EARNED_PER_REQUEST, memory_order_relaxed);
}

/** Takes one retry from the budget. @return false when the credit does not cover one */
static inline bool budget_spend(budget_t *budget)
{
    int credit = atomic_load_explicit(&budget->credit, memory_order_relaxed);
    while (credit >= BUDGET_ATTEMPT_COST)
        if (atomic_compare_exchange_weak(&budget->credit, &credit, credit - BUDGET_ATTEMPT_COST))
            return true;
    return false;
}

#endif
