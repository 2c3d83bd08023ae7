/** @file service_time.h
 * How long requests of a service take, as this box has seen it: for a box that stops, which must not begin what it
 * would have to cut off. Slow ones count: the question is how long a request may take, not how long it will.
 */
#ifndef TRACKCOVE_FORWARD_SERVICE_TIME_H
#define TRACKCOVE_FORWARD_SERVICE_TIME_H

/* ===== Dependencies ===== */

#include "common/time.h"

/* ===== Types ===== */

/** Of one service. Zeroed: nothing was seen. */
typedef struct {
    unsigned seen;   /**< requests */
    double whole_ms; /**< the longest lately, from its arrival to the end of its answer */
    double event_ms; /**< the slowest stream lately: time for each of its events */
    double density;  /**< most events for each token that a stream might have generated. Engines generate a fixed
                          number of tokens an event, so a stream that generated all it might shows it for good */
} service_time_t;

/* ===== Public functions ===== */

/** A request was answered whole. @param tokens that it might have generated at most, and @p events that its answer had:
 *  0 when it was no stream */
void service_time_record(service_time_t *stats, tc_time_t took, unsigned tokens, unsigned events);

/** Time that a request which begins now may need, ms; TC_TIME_NEVER when nothing tells. */
tc_time_t service_time_estimate(const service_time_t *stats, unsigned tokens);

#endif
