/** @file cap.h
 * Caps over all boxes: how much of one subject, a workspace or a back end, all boxes together may let in, and by how
 * much the sum may miss that. Pure.
 */
#ifndef TRACKCOVE_CAP_H
#define TRACKCOVE_CAP_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"

/* ===== Types ===== */

/** What a usage cap is counted in. */
typedef enum {
    CAP_REQUESTS, /**< each request is one */
    CAP_TOKENS    /**< a request is the tokens of its prompt and the most it may generate */
} cap_unit_t;

/** How much of a subject all boxes together may let in. */
typedef struct {
    cap_unit_t unit;
    double rate;         /**< units a second; 0: there is no limit */
    double burst;        /**< units beside that */
    double default_cost; /**< CAP_TOKENS: units of a request that says nothing of tokens */
} cap_t;

/** What settings allow: within each window no more than (rate x window + burst) x (1 + overrun) + slack is let in. */
typedef struct {
    tc_time_t window; /**< ms; at least CAP_WINDOW_MIN is counted over */
    double overrun;   /**< a part, 0 or more */
    double slack;     /**< units, 0 or more */
    bool strict; /**< a box without a leader's answer lets in no more than its part: the slack is too small for each
                    box to let in one request more */
} cap_rules_t;

/** What settings allow of requests to back ends. */
typedef struct {
    cap_rules_t advertised; /**< beyond the limits that they name */
    cap_rules_t cold;       /**< beyond what the configuration says that cold ones bear */
} limit_rules_t;

/* ===== Public functions ===== */

/** Units of a request. @param tokens of its prompt and its output; 0: it says nothing of them */
double cap_cost(const cap_t *cap, uint64_t tokens);

/** Units of a window by rate and burst. */
double cap_window_units(const cap_rules_t *rules, double rate, double burst);

/** Units in a window beyond those. */
double cap_tolerance(const cap_rules_t *rules, double rate, double burst);

#endif
