/** @file service_time.h
 * Service time of requests as observed by this box. A stopping box uses it to accept only requests that it need not cut
 * off, so the estimate is an upper bound, derived from the slowest requests.
 */
#ifndef TRACKCOVE_FORWARD_SERVICE_TIME_H
#define TRACKCOVE_FORWARD_SERVICE_TIME_H

/* ===== Dependencies ===== */

#include "common/time.h"

/* ===== Types ===== */

/** Statistics of one service. Zero-initialized: no requests seen. */
typedef struct {
    unsigned seen;   /**< number of requests */
    double whole_ms; /**< longest recent request, from its arrival to the end of its answer */
    double event_ms; /**< time per event of the slowest recent stream */
    double density;  /**< largest number of events per token of the output limit. Engines generate a fixed number
                          of tokens per event, so one stream that reached its limit shows the true value */
} service_time_t;

/* ===== Public functions ===== */

/** Records a completely answered request. @param took in ms @param tokens output limit, and @p events of its answer; 0
 *  when it was no stream */
void service_time_record(service_time_t *stats, tc_time_t took, unsigned tokens, unsigned events);

/** Upper bound for a request that begins now, ms; TC_TIME_NEVER when there is too little data. */
tc_time_t service_time_estimate(const service_time_t *stats, unsigned tokens);

#endif
