/** @file retry_budget.h
 * Retry budget of one service at one box: arrivals at back ends beyond the first of each request stay below a share
 * of the requests, plus this box's part of an allowance that all boxes have together.
 *
 * Counted over a sliding window in slices: further arrivals over the last 1 to 1.1 windows, requests over the last 0.9
 * to 1, so that no window, wherever it begins, holds more than is allowed. A box that has just started has seen
 * nothing, so it starts with its part of the allowance spent: others, or its
 * former life, may have spent it.
 *
 * Nothing here fails, blocks or reads the clock. Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_COMMON_RETRY_BUDGET_H
#define TRACKCOVE_COMMON_RETRY_BUDGET_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>

#include "common/time.h"

/* ===== Constants ===== */

enum {
    RETRY_SLICES = 10, /**< of a window */
    /** Slices that are kept: the newest one has only created, so one more than a window has covers a whole window at
     * any moment. With one less, what was allowed at the end of a slice was allowed again nine slices later: up to
     * twice the budget in a window (122 of 78 at worst, two bursts 9.01 s apart). */
    RETRY_SLICES_KEPT = RETRY_SLICES + 1
};

/** Of the budget of a service whose requests the scheduler places, the boxes have this part among themselves; the rest
 *  is handed out by the leader to whoever needs it. Failures come unevenly: with 92 boxes the whole, divided, was used
 *  up at some while most of it lay idle (126 prompts read for nothing on one day). */
#define RETRY_BOXES_SHARE 0.5

/* ===== Types ===== */

/** What settings allow. */
typedef struct {
    double ratio;     /**< extra arrivals a request, 0 or more */
    double allowance; /**< extra arrivals a window beside that, of all boxes, 0 or more */
    tc_time_t window; /**< ms, more than 0 */
} retry_rules_t;

/** What was counted in the window. By value; retry_budget_init before use. */
typedef struct {
    tc_time_t created;                    /**< when the budget was made */
    tc_time_t slice;                      /**< number of the newest slice, counted from time 0 */
    unsigned requests[RETRY_SLICES_KEPT]; /**< that came in, by slice number modulo RETRY_SLICES_KEPT */
    unsigned retries[RETRY_SLICES_KEPT];  /**< further arrivals that were allowed, the same */
} retry_budget_t;

/** What a decision rests on, for logs. */
typedef struct {
    unsigned requests; /**< counted in the window */
    unsigned retries;  /**< further arrivals that were allowed in it, */
    double limit;      /**< and how many may be */
} retry_budget_view_t;

/* ===== Rules ===== */

/** The same rules for a part of the budget. @param part from 0 to 1 */
retry_rules_t retry_rules_scale(const retry_rules_t *rules, double part);

/* ===== One service's budget ===== */

/** Begin counting: nothing has come in, and this box's part of the allowance is spent. */
void retry_budget_init(retry_budget_t *budget, tc_time_t now);
/** A request for the service came in. */
void retry_budget_add_request(retry_budget_t *budget, const retry_rules_t *rules, tc_time_t now);
/** Whether one more arrival is allowed; takes it. @param boxes how many share the allowance, at least 1 */
bool retry_budget_spend(retry_budget_t *budget, const retry_rules_t *rules, unsigned boxes, tc_time_t now);

/** What the next decision rests on. @param boxes as above */
retry_budget_view_t retry_budget_view(retry_budget_t *budget, const retry_rules_t *rules, unsigned boxes,
                                      tc_time_t now);

/* ===== Budgets by service ===== */

/** An empty table of them, for g_hash_table_destroy. */
GHashTable *retry_budgets_create(void);
/** The service's budget, made at its first use; borrowed until it is removed from the table. */
retry_budget_t *retry_budgets_get(GHashTable *budgets, const char *service, tc_time_t now);

#endif
