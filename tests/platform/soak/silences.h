/** @file silences.h
 * Workers of the soak that fall silent for longer than a stream's silence timeout and go on, singly and in staggered
 * groups, beside planned work: changes of the configuration, SIGHUP and restarts of boxes. Nothing else disturbs the
 * boxes meanwhile, so each whole request must get an answer or a refusal.
 */
#ifndef TRACKCOVE_TESTS_SOAK_SILENCES_H
#define TRACKCOVE_TESTS_SOAK_SILENCES_H

#include "platform/soak/world.h"

/** Begins the silences. */
void silences_begin(world_t *world);
/** Has workers fall silent and boxes be restarted, when it is time. No effect outside of the silences. */
void silences_drive(world_t *world, tc_time_t now);
/** Ends the silences: all workers answer. */
void silences_end(world_t *world);
/** Checks a request that was not served. @param box that it was sent to @param began when it was sent */
void silences_check(world_t *world, int box, const char *id, tc_time_t began, const lab_call_t *call);

#endif
