/** @file sched_sim.h
 * One cell's scheduler between fake entries, callers and engines, with an oracle for each promise.
 *
 * Entries die and freeze, messages get lost, engines restart and refuse cancels,
 * the scheduler itself is replaced. The oracle: engines' memory is never asked for
 * twice; what a live caller uses is never cancelled; every call is answered once;
 * when all callers are gone no engine holds anything.
 */
#ifndef TRACKCOVE_TESTS_SCHED_SIM_H
#define TRACKCOVE_TESTS_SCHED_SIM_H

#include "harness/chooser.h"

typedef struct {
    unsigned steps;   /* of 20 ms */
    bool freezes;     /* entries freeze and wake: engines may then refuse for want of memory */
    bool no_renewals; /* sabotage: live callers' reservations lapse */
} sched_sim_options_t;

typedef struct {
    uint64_t operations, checks, granted, refused, finished, cancels, restarts;
    const char *broken;
} sched_sim_result_t;

sched_sim_result_t sched_sim_run(const sched_sim_options_t *options, chooser_t *chooser);

#endif
