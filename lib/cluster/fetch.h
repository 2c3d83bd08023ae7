/** @file fetch.h
 * Fetches the newest document announced to this box, in pieces, from any box that has it.
 *
 * At most one piece is in flight, so that the link is shared fairly with callers. A document that has begun to arrive
 * is fetched to its end before a newer one is started: a box still makes progress when documents change faster than
 * they arrive. The pieces that have arrived stay valid when the box that sent them fails. Boxes are distributed over
 * the control boxes by a hash of their own address, and fall back to the box that announced the document.
 *
 * Everything runs in the thread of the event loop.
 */
#ifndef TRACKCOVE_CLUSTER_FETCH_H
#define TRACKCOVE_CLUSTER_FETCH_H

/* ===== Dependencies ===== */

#include "cluster/document.h"
#include "common/time.h"
#include "peer/peer.h"

/* ===== Types ===== */

typedef struct fetch fetch_t;

/** Callbacks of a fetch. */
typedef struct {
    /** A document has arrived completely. @p document may be moved out by document_apply. */
    void (*on_complete)(void *arg, document_t *document, const char *from);
    /** The known control boxes. @return their number; @p list is borrowed until the loop's next turn */
    uint32_t (*sources)(void *arg, const raft_member_t **list);
    void *arg;
} fetch_events_t;

/* ===== Public functions ===== */

/** @param self peer address of this box, borrowed @param events copied */
fetch_t *fetch_create(peer_net_t *net, const char *self, const fetch_events_t *events);
/** Call after loop_run has returned and before the net is destroyed, which ends the calls in flight. */
void fetch_stop(fetch_t *fetch);
void fetch_destroy(fetch_t *fetch);

/** Box @p from has that document. @param held version that this box already has */
void fetch_announce(fetch_t *fetch, const document_head_t *head, const char *from, uint64_t held);
/** Whether a document is being fetched. */
bool fetch_is_busy(const fetch_t *fetch);
/** Retry when due; call about every 50 ms. */
void fetch_tick(fetch_t *fetch, tc_time_t now);

#endif
