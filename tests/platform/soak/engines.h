/** @file engines.h
 * The soak's fake workers: plain workers, prefill engines, and decode engines. Decode engines send their streams with
 * delays, in pieces of arbitrary size, and may truncate or stall them within an event.
 */
#ifndef TRACKCOVE_TESTS_SOAK_ENGINES_H
#define TRACKCOVE_TESTS_SOAK_ENGINES_H

#include "platform/soak/world.h"

/** Creates worker @p i of the world and the proxy before it. */
void engine_create(world_t *world, int i);
/** Suspends the worker until @p until: it neither reads nor sends, and its connections stay open. */
void engine_freeze(struct worker *worker, tc_time_t until);
/** Resumes the worker if it is suspended. */
void engine_resume(struct worker *worker);
/** Restarts a worker that has crashed, without its previous state, and under a new id in half of the cases or when it
 * had announced that it leaves. */
void engine_restart(struct worker *worker);
/** Ends a worker that announced that it leaves; a new one replaces it within 3 s. */
void engine_leave(struct worker *worker);
/** Stops the worker and its proxy. */
void engine_destroy(struct worker *worker);

/** Script of the list of back ends: answers with all workers. @p arg is the world. */
lab_reply_t engines_list(void *arg, const char *request);

#endif
