/** @file leader_quarantine.h
 * How the leader answers boxes that ask about requests in quarantine: placements and trial runs.
 */
#ifndef TRACKCOVE_CLUSTER_LEADER_QUARANTINE_H
#define TRACKCOVE_CLUSTER_LEADER_QUARANTINE_H

/* ===== Dependencies ===== */

#include "cluster/quarantine.h"
#include "peer/peer.h"

/* ===== Types ===== */

/** The tables, borrowed. NULL: without them only the crash counts in the boxes' requests are used. */
typedef struct {
    quarantine_t *requests;
    quarantine_t *parts; /**< of prompts */
} leader_quarantine_t;

/* ===== Public functions ===== */

/** @return number of back ends that crashed under a request that is to be placed: the larger of this box's and the
 * asking box's count. A trial run is counted as the asking box does. */
unsigned leader_quarantine_count(const leader_quarantine_t *tables, const msg_place_t *place, tc_time_t now);
/** Answers that the request is in quarantine: its box refuses it. */
void leader_quarantine_refuse(peer_net_t *net, peer_call_t call, const char *id);
/** Answers a box that asks for a trial run. */
void leader_quarantine_answer_trial(const leader_quarantine_t *tables, peer_net_t *net, peer_call_t call,
                                    const msg_trial_take_t *take, tc_time_t now);

#endif
