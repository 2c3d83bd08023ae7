/** @file retry_budget.h
 * Retry budget of one service at one box. Retries at back ends (arrivals beyond the first of each request) stay below a
 * share of the requests, plus this box's part of an allowance that all boxes have together.
 *
 * Counted over a sliding window in slices: retries over the last 1 to 1.1 windows, requests over the last 0.9 to 1, so
 * that no window, wherever it begins, holds more than is allowed. A box that has just started begins with its part of
 * the allowance spent, since other boxes, or its previous incarnation, may have spent it.
 *
 * The leader lends its part on demand. Of what it lends for plain services, arrivals after refusals get at most half,
 * so that requests whose back end failed still find some during a burst of refusals.
 *
 * Nothing here fails, blocks or reads the clock. All calls are made in the loop's thread.
 */
#ifndef TRACKCOVE_COMMON_RETRY_BUDGET_H
#define TRACKCOVE_COMMON_RETRY_BUDGET_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

enum {
    RETRY_SLICES = 10, /**< per window */
    /** Slices kept. The newest slice is incomplete, so one more than a window has is needed to cover a whole window at
     *  any time. With one less, what was spent at the end of a slice could be spent again nine slices later: up to
     * twice the budget in a window (122 of 78 at worst, with two bursts 9.01 s apart). */
    RETRY_SLICES_KEPT = RETRY_SLICES + 1
};

/** Part of the budget that is divided among the boxes, for a service whose requests the scheduler places; the leader
 *  grants the rest on demand. Failures are distributed unevenly: with the whole budget divided among 92 boxes, some ran
 *  out while most of it was unused (126 prefills wasted on one day). */
#define RETRY_BOXES_SHARE 0.5
/** Share of the leader's part that may be lent for arrivals after a refusal. */
#define RETRY_REFUSED_SHARE 0.5

/* ===== Types ===== */

/** Budget as set in the settings. */
typedef struct {
    double ratio;     /**< retries per request, 0 or more */
    double allowance; /**< additional retries per window, of all boxes together, 0 or more */
    tc_time_t window; /**< ms, more than 0 */
} retry_rules_t;

/** Counts of the window. Plain data, set up by retry_budget_init. */
typedef struct {
    tc_time_t created;                    /**< time of retry_budget_init */
    tc_time_t slice;                      /**< number of the newest slice, counted from time 0 */
    unsigned requests[RETRY_SLICES_KEPT]; /**< received, by slice number modulo RETRY_SLICES_KEPT */
    unsigned retries[RETRY_SLICES_KEPT];  /**< allowed, likewise */
    unsigned refused[RETRY_SLICES_KEPT];  /**< of these, lent after a refusal, likewise */
    bool leader_lends;                    /**< at a box: the leader lends a part of this budget, see forward_retry.c */
} retry_budget_t;

/** Inputs of a decision, for logs. */
typedef struct {
    unsigned requests; /**< counted in the window */
    unsigned retries;  /**< allowed in the window */
    unsigned refused;  /**< of these, lent after a refusal */
    double limit;      /**< retries that may be allowed in the window */
} retry_budget_view_t;

/* ===== Rules ===== */

/** The rules of a part of the budget. @param part from 0 to 1 */
retry_rules_t retry_rules_scale(const retry_rules_t *rules, double part);

/* ===== One service's budget ===== */

/** Starts counting, with no requests and this box's part of the allowance spent. */
void retry_budget_init(retry_budget_t *budget, tc_time_t now);
/** Counts a request for the service. */
void retry_budget_add_request(retry_budget_t *budget, const retry_rules_t *rules, tc_time_t now);
/** Spends one retry if it is allowed. @param boxes how many share the allowance, at least 1 */
bool retry_budget_spend(retry_budget_t *budget, const retry_rules_t *rules, unsigned boxes, tc_time_t now);

/** Lends one retry of the leader's part of a plain service's budget if it is allowed. Nothing is lent until the whole
 *  window lies after retry_budget_init: before it, an earlier leader may have lent its part, or boxes may have had all
 *  of the budget. @param rules of the leader's part */
bool retry_budget_lend(retry_budget_t *budget, const retry_rules_t *rules, retry_purpose_t purpose, tc_time_t now);

/** Inputs of the next decision. @param boxes as above */
retry_budget_view_t retry_budget_view(retry_budget_t *budget, const retry_rules_t *rules, unsigned boxes,
                                      tc_time_t now);

/* ===== Budgets by service ===== */

/** @return an empty table of budgets, released with g_hash_table_destroy */
GHashTable *retry_budgets_create(void);
/** The budget of a service, created on first use; borrowed until it is removed from the table. */
retry_budget_t *retry_budgets_get(GHashTable *budgets, const char *service, tc_time_t now);

#endif
