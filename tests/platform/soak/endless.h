/** @file endless.h
 * Workers of the soak that write bytes without end, until the box closes: a body without a length, a chunked one, one
 * event, or lines of a head. What the boxes keep of them is limited by the check of their memory.
 */
#ifndef TRACKCOVE_TESTS_SOAK_ENDLESS_H
#define TRACKCOVE_TESTS_SOAK_ENDLESS_H

#include "platform/soak/world.h"

/** Has some workers of each kind answer so from now on. */
void endless_begin(world_t *world);
/** All workers answer as before. */
void endless_end(world_t *world);
/** Answer of such a worker to the request @p id, or a reply without bytes when it is none. */
lab_reply_t endless_answer(const struct worker *worker, const char *id);

#endif
