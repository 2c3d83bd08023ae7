/** @file leader_streams.h
 * The leader's answers about streams that callers take up again.
 */
#ifndef TRACKCOVE_CLUSTER_LEADER_STREAMS_H
#define TRACKCOVE_CLUSTER_LEADER_STREAMS_H

/* ===== Dependencies ===== */

#include "cluster/stream_versions.h"
#include "peer/peer.h"

/* ===== Public functions ===== */

/** Answers which software version began a stream. @param streams NULL: no stream is known */
void leader_streams_answer(const stream_versions_t *streams, peer_net_t *net, peer_call_t call,
                           const msg_stream_find_t *find, tc_time_t now);

#endif
