/** @file engines.h
 * The soak's fake workers: plain ones, prefill engines, and decode engines whose streams come at a pace, in parts that
 * end anywhere, and break off or stop within an event.
 */
#ifndef TRACKCOVE_TESTS_SOAK_ENGINES_H
#define TRACKCOVE_TESTS_SOAK_ENGINES_H

#include "platform/soak/world.h"

/** Make worker @p i of the world and the way to it. */
void engine_create(world_t *world, int i);
/** It stands still until @p until: it reads nothing and sends nothing, its connections stay. */
void engine_freeze(struct worker *worker, tc_time_t until);
/** Wake it, if it stands still. */
void engine_resume(struct worker *worker);
/** It has ended, and is there again with nothing of before. */
void engine_restart(struct worker *worker);
/** One that leaves ends; another one is there soon after. */
void engine_leave(struct worker *worker);
/** End it, and the way to it. */
void engine_destroy(struct worker *worker);

/** What lists of workers are asked for answers with; @p arg is the world. */
lab_reply_t engines_list(void *arg, const char *request);

#endif
