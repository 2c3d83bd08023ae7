/** @file notices.h
 * The soak's workers that ask boxes for no calls for a while, or say that they leave, in their answers, and whether
 * they get requests all the same. While one does its way is whole, so that boxes hear what it answered.
 */
#ifndef TRACKCOVE_TESTS_SOAK_NOTICES_H
#define TRACKCOVE_TESTS_SOAK_NOTICES_H

#include "platform/soak/world.h"

/** For a worker's rests. */
GArray *notices_create_pauses(void);
/** The worker turns all requests away for a while and asks each box for no more, or leaves, by lot; unless one does
 *  already. */
void notices_begin(struct worker *worker);
/** It asks for nothing any more; when it leaves it goes on with that. */
void notices_stop_rejecting(struct worker *worker);
/** It says nothing of the kind: it starts anew. */
void notices_clear(struct worker *worker);
/** Whether it does, so that its way is to be left alone. */
bool notices_are_active(const struct worker *worker);
/** Call every tick. @return whether it leaves and is to end now */
bool notices_tick(struct worker *worker);

/** A request of that id reached it. */
void notices_arrived(struct worker *worker, const char *id);
/** The refusal by which it asks the box that sent the request for no more, or one without bytes: it takes requests. */
lab_reply_t notices_refuse(struct worker *worker, const char *id);
/** The header line of its answers, or "". */
const char *notices_header(const struct worker *worker);
/** What it answered to a request of that id, with that line. */
void notices_answered(struct worker *worker, const char *id, const lab_reply_t *answer);

#endif
