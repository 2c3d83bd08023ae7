/** @file cap_shares.h
 * Usage caps at one box: what it lets in by itself, of requests that no leader places and while no leader answers.
 *
 * While a leader answers, a box lets such requests in until the leader says that their subject is over its cap, and
 * tells what it let in. Without a leader it goes on so for a moment for subjects that were far below their caps; for
 * the others, and after that moment, it has a part of each cap: what it let in last, mostly, and for the rest an equal
 * part, so that all boxes' parts together are the cap.
 *
 * Nothing here fails, blocks or reads the clock. Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_CAP_SHARES_H
#define TRACKCOVE_CAP_SHARES_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "cap/cap.h"
#include "gen/schema.h"

/* ===== Types ===== */

typedef struct cap_shares cap_shares_t;

/** A request as the caps see it. */
typedef struct {
    const char *name;
    const cap_t *cap; /**< with a rate above 0 */
    double units;
    bool leader_decides; /**< a leader decides on such ones, and does not answer: it was told of none of them */
} cap_request_t;

/** What a decision rests on, for logs. */
typedef struct {
    const char *reason;  /**< a constant */
    tc_time_t state_age; /**< since a leader told the state of the caps, TC_TIME_NEVER for never */
    double share_rate;   /**< units a second that this box may let in by itself; 0 while it goes by what it was told */
    double level;        /**< of these, what is left now */
    tc_time_t after;     /**< when a request that is refused would be let in, ms; 0 when it is not refused */
} cap_decision_t;

/* ===== Public functions ===== */

cap_shares_t *cap_shares_create(const cap_rules_t *rules);
void cap_shares_destroy(cap_shares_t *parts);

/** Whether this box lets a request in by itself; then it counts. @param boxes that share the cap, at least 1
 *  @param draw a random number from 0 to 1 */
bool cap_shares_take(cap_shares_t *parts, const cap_request_t *ask, unsigned boxes, double draw, tc_time_t now,
                     cap_decision_t *verdict);
/** The leader let a request in. */
void cap_shares_record(cap_shares_t *parts, const cap_request_t *ask, tc_time_t now);

/** What this box let in by itself and no leader has heard of; to a leader that is new all that it let in over the last
 *  window, whoever decided it. @return heap array for free(), its length in @p n */
cap_use_t *cap_shares_report(cap_shares_t *parts, uint32_t *n, tc_time_t now);
/** The leader of that term has answered the report that was made last, and told the state of the caps.
 *  @return whether it is a new one: it is to be told more at once */
bool cap_shares_apply_reply(cap_shares_t *parts, uint64_t term, const cap_state_t *list, uint32_t n, tc_time_t now);

#endif
