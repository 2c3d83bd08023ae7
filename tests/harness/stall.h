/** @file stall.h
 * Longest time for which the machine did not run the test's process: between two turns of its loop, less the processor
 * time that the process used. A loop that is kept busy does not count as stalled.
 */
#ifndef TRACKCOVE_TESTS_STALL_H
#define TRACKCOVE_TESTS_STALL_H

#include "common/time.h"
#include "peer/loop.h"

/** Its fields are private. */
typedef struct {
    loop_t *loop;
    tc_time_t turn, processor; /* at the last turn: time, and processor time used, ms */
    tc_time_t longest;
} stall_watch_t;

/** @param watch must stay in place until it is stopped */
void stall_watch_start(stall_watch_t *watch, loop_t *loop);
void stall_watch_stop(stall_watch_t *watch);
/** Longest stall since the last call, ms. */
tc_time_t stall_watch_take(stall_watch_t *watch);

#endif
