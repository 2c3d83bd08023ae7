/** @file limits.h
 * Workers of the soak that announce a request rate limit for all boxes together, and the check that it is kept.
 */
#ifndef TRACKCOVE_TESTS_SOAK_LIMITS_H
#define TRACKCOVE_TESTS_SOAK_LIMITS_H

#include "platform/soak/world.h"

/** Removes the worker's limit, or sets a random one when it has none. */
void limits_change(struct worker *worker);
/** Removes the worker's limit. */
void limits_remove(struct worker *worker);
/** Resets what was recorded, as the worker restarts: no box has received its limit yet. */
void limits_restart(struct worker *worker);
/** Header line for the worker's answers, or "". Free with g_free(). */
char *limits_header(const struct worker *worker);
/** Notes and checks that the request @p id reached the worker. */
void limits_arrived(struct worker *worker, const char *id);
/** Notes the worker's answer to the request @p id, which has the header line. */
void limits_answered(struct worker *worker, const char *id, const lab_reply_t *answer);

#endif
