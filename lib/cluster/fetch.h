/** @file fetch.h
 * Fetches the newest document that this box hears of, piece by piece, from whoever has it.
 *
 * One piece is under way at a time, so that a box never owes more than one and its link is shared fairly with callers.
 * A document that has begun to arrive is fetched to its end before a newer one is begun: under changes that follow
 * each other faster than they arrive, each box still moves on. What has arrived survives the death of the box that
 * it came from. Boxes spread over the control boxes, by a hash of their address, and fall back to whoever told them.
 *
 * Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_CLUSTER_FETCH_H
#define TRACKCOVE_CLUSTER_FETCH_H

/* ===== Dependencies ===== */

#include "cluster/document.h"
#include "common/time.h"
#include "peer/peer.h"

/* ===== Types ===== */

typedef struct fetch fetch_t;

/** Where a fetch gets its sources from and reports to. */
typedef struct {
    /** A document is here whole. @p document may be moved out by document_apply. */
    void (*on_complete)(void *arg, document_t *document, const char *from);
    /** Control boxes that are known. @return their peer addresses' number; borrowed until the loop's next turn */
    uint32_t (*sources)(void *arg, const raft_member_t **list);
    void *arg;
} fetch_events_t;

/* ===== Public functions ===== */

/** @param self peer address of this box, borrowed */
fetch_t *fetch_create(peer_net_t *net, const char *self, const fetch_events_t *events);
/** After loop_run returned, before the net is destroyed: calls under way end with it. */
void fetch_stop(fetch_t *fetch);
void fetch_destroy(fetch_t *fetch);

/** Box @p from has that document. @param held version that is here already */
void fetch_announce(fetch_t *fetch, const document_head_t *head, const char *from, uint64_t held);
/** Whether a document is on its way. */
bool fetch_is_busy(const fetch_t *fetch);
/** Let time pass; call every 50 ms or so. */
void fetch_tick(fetch_t *fetch, tc_time_t now);

#endif
