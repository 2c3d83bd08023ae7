/** @file list_budget.h
 * How much of its link a box gives to telling lists: whoever is told nothing now asks again soon. Pure.
 */
#ifndef TRACKCOVE_LISTS_LIST_BUDGET_H
#define TRACKCOVE_LISTS_LIST_BUDGET_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>

#include "common/time.h"

/* ===== Types ===== */

/** Zeroed but for the rate before its first use. */
typedef struct {
    double rate;  /**< bytes a second */
    double level; /**< bytes that may be told now */
    tc_time_t at; /**< of the level */
} list_budget_t;

/* ===== Public functions ===== */

/** Whether so many bytes may be told now; then they are taken. At most half a second's worth adds up. What is larger
 *  than that passes when the budget is full.
 *  @param kept part of what may add up that is left for more urgent news, 0 to 1 */
bool list_budget_take(list_budget_t *budget, size_t bytes, double kept, tc_time_t now);

#endif
