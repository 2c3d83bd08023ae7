/** @file sched_returns.h
 * Requests that return after a refusal, and late ones. Private to the scheduler. Without a schedule of returns
 * (sched_options_t), and for requests that are not ranked, nothing is late and refusals are as without this module.
 */
#ifndef TRACKCOVE_SCHED_SCHED_RETURNS_H
#define TRACKCOVE_SCHED_SCHED_RETURNS_H

/* ===== Dependencies ===== */

#include "sched/sched_internal.h"

/* ===== Functions ===== */

/** Fills in how the request relates to earlier refusals; its rank and due time are set before. */
void recognise_return(sched_t *s, request_t *r, const msg_place_t *place, tc_time_t now);
/** Whether a request that arrives will wait too long for its size, although the estimate says it can be in time.
 *  @param wait estimate_wait */
bool waits_too_long(const sched_t *s, request_t *r, double wait, tc_time_t now);
/** A request was granted: it is not expected to return. */
void record_served(sched_t *s, const request_t *r, tc_time_t now);
/** Refuses a queued request for lack of room. A ranked one is told when to return by the schedule, any other
 *  @p retry_ms. */
void refuse_for_room(sched_t *s, request_t *r, const char *reason, double retry_ms, tc_time_t now);
/** A queued request cannot meet its target any more: a ranked one waits on as late, or is refused when too little room
 *  is left over. @return false when it is not ranked, or late already: the caller refuses it */
bool wait_on_late(sched_t *s, request_t *r, tc_time_t now);
/** Time from which a grant is no use: a ranked request would be late by then, any other is overdue. */
tc_time_t last_grant_at(const sched_t *s, const request_t *r);
/** Last late request of the queue, or NULL. */
request_t *last_late(const sched_t *s);
/** Rate at which memory is freed beyond what is granted to requests in time, pieces per ms. */
double left_rate(const sched_t *s);
/** Counts what a request is granted. */
void count_granted(sched_t *s, const request_t *r);
/** Updates the rate left over. @param freed pieces since the last call, @p span ago */
void update_left_rate(sched_t *s, double freed, tc_time_t span);
void fill_return_note(const sched_t *s, const request_t *r, sched_return_t *note, tc_time_t now);

#endif
