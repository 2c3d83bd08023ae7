/** @file notices.h
 * Workers of the soak whose answers ask boxes to pause (Retry-After) or announce that they leave (Server-Leaving), and
 * the check that boxes then send no requests. The proxy of such a worker passes all data, so that boxes receive its
 * answers.
 */
#ifndef TRACKCOVE_TESTS_SOAK_NOTICES_H
#define TRACKCOVE_TESTS_SOAK_NOTICES_H

#include "platform/soak/world.h"

/** Creates the array of pauses of a worker. */
GArray *notices_create_pauses(void);
/** Makes the worker, at random, reject all requests for a while and ask each box to pause, or announce that it leaves.
 *  No effect while any worker does so. */
void notices_begin(struct worker *worker);
/** Stops rejecting requests. A worker that leaves goes on to leave. */
void notices_stop_rejecting(struct worker *worker);
/** Resets the worker's state, as it restarts. */
void notices_clear(struct worker *worker);
/** Whether the worker rejects requests or leaves, so that no faults may be injected at its proxy. */
bool notices_are_active(const struct worker *worker);
/** To be called on every tick. @return whether the worker has to end now, as it announced */
bool notices_tick(struct worker *worker);

/** Checks that the request @p id was allowed to reach the worker. */
void notices_arrived(struct worker *worker, const char *id);
/** Returns the rejection that asks the box to pause, or a reply without bytes when the worker accepts requests. */
lab_reply_t notices_refuse(struct worker *worker, const char *id);
/** Header line for the worker's answers, or "". */
const char *notices_header(const struct worker *worker);
/** Notes the worker's answer to the request @p id, which has the header line. */
void notices_answered(struct worker *worker, const char *id, const lab_reply_t *answer);

#endif
