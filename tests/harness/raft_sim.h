/** @file raft_sim.h
 * Simulation of three or five replicated logs in one process, with a fake network and fake disks, checked by an oracle.
 *
 * The network drops, delays, reorders, duplicates and partitions messages; boxes
 * crash (unsynced writes are lost), freeze, and lose their disks. The oracle keeps
 * a map of the accepted versions and checks that a change reported as accepted is
 * in every later state under the same version, that a resent request gets the same
 * result, and that at most one leader's lease is valid at a time.
 */
#ifndef TRACKCOVE_TESTS_RAFT_SIM_H
#define TRACKCOVE_TESTS_RAFT_SIM_H

#include "harness/chooser.h"

typedef struct {
    unsigned nodes; /* 3 or 5 */
    unsigned steps; /* number of steps with faults, 10 ms each */
    bool skip_sync; /* never sync the fake disks, to show that the checks can fail */
} raft_sim_options_t;

typedef struct {
    uint64_t operations, checks, accepted, crashes, lost_disks, elections;
    const char *violation; /* the first invariant that was violated, NULL for none */
} raft_sim_result_t;

/** Run one simulation with the random choices of @p chooser. */
raft_sim_result_t raft_sim_run(const raft_sim_options_t *options, chooser_t *chooser);

#endif
