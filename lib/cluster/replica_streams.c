/* Copies of the leader's table of streams at the other control boxes, so that the next leader knows the streams of
 * boxes that are gone. */

#include <stdlib.h>

#include "cluster/replica_internal.h"

/** Messages per tick. The rest follows at the next one. */
enum { MESSAGES_MAX = 8 };

static void send_changes(replica_t *r, tc_time_t now)
{
    msg_held_requests_t message = {0};
    r->streams_sent =
        stream_versions_list_changes(r->streams, r->streams_sent, &message.streams, &message.streams_n, now);
    const raft_members_t *const members = raft_members(r->raft);
    for (uint32_t i = 0; i < members->list_n && message.streams_n > 0; i++)
        if (members->list[i].id != r->self.id)
            peer_send(r->net, members->list[i].peer, MSG_HELD_REQUESTS, &message);
    free(message.streams);
}

void replica_streams_tick(replica_t *r, tc_time_t now)
{
    stream_versions_tick(r->streams, now);
    if (!replica_retains_leadership(r)) {
        r->streams_sent = stream_versions_seq(r->streams); /* what came from a leader, its members have */
        return;
    }
    for (int i = 0; i < MESSAGES_MAX && r->streams_sent < stream_versions_seq(r->streams); i++)
        send_changes(r, now);
}
