/** @file list_budget.h
 * Token bucket for the bandwidth that a box spends on sending lists. A box that is refused an update asks again with
 * its next report. Pure.
 */
#ifndef TRACKCOVE_LISTS_LIST_BUDGET_H
#define TRACKCOVE_LISTS_LIST_BUDGET_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>

#include "common/time.h"

/* ===== Types ===== */

/** Before its first use everything but the rate is zero. */
typedef struct {
    double rate;  /**< bytes per second */
    double level; /**< bytes that may be sent now; below 0 after a message larger than the level */
    tc_time_t at; /**< time of the level */
} list_budget_t;

/* ===== Public functions ===== */

/** Take @p bytes from the budget, if they may be sent now. The bucket holds half a second's worth; a message passes
 *  whatever its size once the level is above the reserve, so that one larger than the bucket is not blocked forever.
 *  @param kept part of the bucket that is reserved for more urgent updates, 0 to 1 @return whether they may be sent */
bool list_budget_take(list_budget_t *budget, size_t bytes, double kept, tc_time_t now);

#endif
