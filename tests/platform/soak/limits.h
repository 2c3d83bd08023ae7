/** @file limits.h
 * The soak's workers that name a limit for all boxes together, and whether they get more.
 */
#ifndef TRACKCOVE_TESTS_SOAK_LIMITS_H
#define TRACKCOVE_TESTS_SOAK_LIMITS_H

#include "platform/soak/world.h"

/** The worker names another limit from now on, or none any more, by lot. */
void limits_change(struct worker *worker);
/** It names none. */
void limits_remove(struct worker *worker);
/** It starts again: boxes have heard nothing of it yet. */
void limits_restart(struct worker *worker);
/** The header line of its answers, or "". @return for g_free */
char *limits_header(const struct worker *worker);
/** A request of that id reached it. */
void limits_arrived(struct worker *worker, const char *id);
/** What it answered to a request of that id, with that line. */
void limits_answered(struct worker *worker, const char *id, const lab_reply_t *answer);

#endif
