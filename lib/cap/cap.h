/** @file cap.h
 * Caps over all boxes: how much load of one subject, a workspace or a back end, all boxes together may admit, and by
 * how much they may exceed that. No I/O, no state.
 */
#ifndef TRACKCOVE_CAP_H
#define TRACKCOVE_CAP_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"

/* ===== Types ===== */

/** Unit of a usage cap. */
typedef enum {
    CAP_REQUESTS, /**< each request costs 1 */
    CAP_TOKENS    /**< a request costs its prompt tokens and the most that it may generate */
} cap_unit_t;

/** How much of a subject all boxes together may admit. */
typedef struct {
    cap_unit_t unit;
    double rate;         /**< units per second; 0: no limit */
    double burst;        /**< units in each window in addition to the rate */
    double default_cost; /**< CAP_TOKENS: units of a request without a token count */
} cap_t;

/** Accuracy that settings demand: each window admits at most (rate * window + burst) * (1 + overrun) + slack units. */
typedef struct {
    tc_time_t window; /**< ms; raised to CAP_WINDOW_MIN if shorter */
    double overrun;   /**< fraction, 0 or more */
    double slack;     /**< units, 0 or more */
    bool strict; /**< a box without a leader's reply admits no more than its share: the slack is too small for one more
                    request at each box */
} cap_rules_t;

/** Rules for the limits of requests to back ends. */
typedef struct {
    cap_rules_t advertised; /**< for the limits that back ends advertise */
    cap_rules_t cold;       /**< for the configured limits of cold back ends */
} limit_rules_t;

/* ===== Public functions ===== */

/** Cost of a request in units. @param tokens of its prompt and its output; 0: unknown */
double cap_cost(const cap_t *cap, uint64_t tokens);

/** Units that rate and burst allow in a window. */
double cap_window_units(const cap_rules_t *rules, double rate, double burst);

/** Units that the rules allow in a window beyond cap_window_units. */
double cap_tolerance(const cap_rules_t *rules, double rate, double burst);

#endif
