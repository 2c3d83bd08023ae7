/** @file raft_sim.h
 * Three or five replicated logs in one process over a fake link and fake disks, with an oracle.
 *
 * The link loses, delays, reorders, doubles and partitions; boxes crash (writes
 * not synced are gone), freeze, and lose their disks. The oracle is a map of
 * accepted versions: what was answered as accepted is in every later state, under
 * the same version; a resent request gets the same answer; at most one leader's
 * lease is valid.
 */
#ifndef TRACKCOVE_TESTS_RAFT_SIM_H
#define TRACKCOVE_TESTS_RAFT_SIM_H

#include "harness/chooser.h"

typedef struct {
    unsigned nodes; /* 3 or 5 */
    unsigned steps; /* of 10 ms */
    bool skip_sync; /* sabotage, to show that the checks can fail */
} raft_sim_options_t;

typedef struct {
    uint64_t operations, checks, accepted, crashes, lost_disks, elections;
    const char *violation; /* the promise that was broken, or NULL */
} raft_sim_result_t;

raft_sim_result_t raft_sim_run(const raft_sim_options_t *options, chooser_t *chooser);

#endif
