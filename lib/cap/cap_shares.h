/** @file cap_shares.h
 * Usage caps at one box: admission of requests that no leader places, and of all requests while no leader replies.
 *
 * While a leader replies, a box admits such requests until the leader states that their subject is over its cap, and
 * reports what it admitted. Without a leader it continues so for a short time for subjects that were far below their
 * caps. For the others, and after that time, it has a share of each cap: mostly by what it admitted last, and partly an
 * equal share, so that the shares of all boxes stay within the cap.
 *
 * No function fails, blocks or reads the clock. Runs in the loop's thread.
 */
#ifndef TRACKCOVE_CAP_SHARES_H
#define TRACKCOVE_CAP_SHARES_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "cap/cap.h"
#include "gen/schema.h"

/* ===== Types ===== */

typedef struct cap_shares cap_shares_t;

/** A request to admit. */
typedef struct {
    const char *name;
    const cap_t *cap; /**< with a rate above 0 */
    double units;
    bool leader_decides; /**< the leader admits such requests, but does not reply: it does not know of this one */
} cap_request_t;

/** Basis of a decision, for logs. */
typedef struct {
    const char *reason;  /**< a static string */
    tc_time_t state_age; /**< age of the last states from a leader, ms; TC_TIME_NEVER for none */
    double share_rate;   /**< this box's share, units per second; 0 if the leader's state decided */
    double level;        /**< units left of this share now */
    tc_time_t after;     /**< on refusal the delay for a retry, ms; else 0 */
} cap_decision_t;

/* ===== Public functions ===== */

cap_shares_t *cap_shares_create(const cap_rules_t *rules);
void cap_shares_destroy(cap_shares_t *shares);

/** Whether this box admits a request itself; if so, it is counted. @param boxes that share the cap, at least 1
 *  @param draw a random number from 0 to 1 @param decision set to the basis of the decision */
bool cap_shares_take(cap_shares_t *shares, const cap_request_t *request, unsigned boxes, double draw, tc_time_t now,
                     cap_decision_t *decision);
/** Whether the state that a leader sent lately names the subject as over its cap. Nothing is counted. @param decision
 * set to the basis of the decision if so */
bool cap_shares_is_over(const cap_shares_t *shares, const char *name, tc_time_t now, cap_decision_t *decision);
/** Records a request that the leader admitted. */
void cap_shares_record(cap_shares_t *shares, const cap_request_t *request, tc_time_t now);

/** Units that this box admitted itself and no leader knows of; for a new leader also all units of the last window,
 *  whoever admitted them. @return heap array for free(), its length in @p n */
cap_use_t *cap_shares_report(cap_shares_t *shares, uint32_t *n, tc_time_t now);
/** Applies the reply of that term's leader to the last report, with the states of the caps.
 *  @return whether the leader is new: it needs a full report at once */
bool cap_shares_apply_reply(cap_shares_t *shares, uint64_t term, const cap_state_t *list, uint32_t n, tc_time_t now);

#endif
