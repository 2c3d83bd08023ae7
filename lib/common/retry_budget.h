/** @file retry_budget.h
 * Retry budget of one service at one box: arrivals at back ends beyond the first of each request stay below a share
 * of the requests, plus this box's part of an allowance that all boxes have together.
 *
 * Counted over a sliding window in slices. A box that has just started has seen
 * nothing, so it starts with its part of the allowance spent: others, or its
 * former life, may have spent it.
 */
#ifndef TRACKCOVE_COMMON_RETRY_BUDGET_H
#define TRACKCOVE_COMMON_RETRY_BUDGET_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/time.h"

/* ===== Types ===== */

enum { RETRY_SLICES = 10 };

/** Of the budget of a service whose requests the scheduler places, the boxes have this part among themselves; the rest
 *  is handed out by the leader to whoever needs it. Failures come unevenly: with 92 boxes the whole, divided, was used
 *  up at some while most of it lay idle (126 prompts read for nothing on one day). */
#define RETRY_BOXES_PART 0.5

/** What settings allow. */
typedef struct {
    double ratio;     /**< extra arrivals a request */
    double allowance; /**< extra arrivals a window beside that, of all boxes */
    tc_time_t window; /**< ms */
} retry_rules_t;

/** What was counted in the window. By value; retry_budget_init before use. */
typedef struct {
    tc_time_t begun; /**< when the budget was made */
    tc_time_t slice; /**< number of the newest slice */
    unsigned requests[RETRY_SLICES];
    unsigned extras[RETRY_SLICES];
} retry_budget_t;

/* ===== Public functions ===== */

/** Begin counting: nothing has come in, and this box's part of the allowance is spent. */
void retry_budget_init(retry_budget_t *budget, tc_time_t now);
/** A request for the service came in. */
void retry_budget_earn(retry_budget_t *budget, const retry_rules_t *rules, tc_time_t now);
/** Whether one more arrival is allowed; takes it. @param boxes how many share the allowance, at least 1 */
bool retry_budget_spend(retry_budget_t *budget, const retry_rules_t *rules, unsigned boxes, tc_time_t now);

#endif
