/** @file list_replica.h
 * A box's copy of a list that is published elsewhere: applies updates, and fetches the full list in pieces when it has
 * no state that a delta applies to.
 *
 * At most one piece is in flight, so that the link is shared fairly with callers. Pieces come from boxes that serve
 * lists, chosen by a hash of this box's address, and, when those lack the list or do not answer, from the box that
 * announced it. The pieces that have arrived stay valid when the box that sent them fails.
 *
 * Pure: takes messages and the time, returns requests.
 */
#ifndef TRACKCOVE_LISTS_LIST_MIRROR_H
#define TRACKCOVE_LISTS_LIST_MIRROR_H

/* ===== Dependencies ===== */

#include "common/time.h"
#include "lists/list_publisher.h"

/* ===== Types ===== */

typedef struct list_replica list_replica_t;

/** Boxes that serve lists, in any order; borrowed for the call. */
typedef struct {
    const raft_member_t *list;
    uint32_t n;
    const char *except; /**< peer address of a box that is asked only when there is no other, or "" */
} list_sources_t;

/** A request to another box. */
typedef struct {
    char addr[CODEC_STR_SIZE];
    msg_fetch_list_t message;
} list_request_t;

/* ===== Public functions ===== */

/** @param publisher holds the copy, borrowed @param self peer address of this box, copied */
list_replica_t *list_replica_create(list_publisher_t *publisher, const char *self);
void list_replica_destroy(list_replica_t *replica);

/** Set a list that this box has made itself, as of @p as_of. @param list in any order @return whether it has changed */
bool list_replica_set(list_replica_t *replica, const void *list, uint32_t n, tc_time_t as_of);
/** Apply another box's update. @param from its peer address @param as_of time of the state that it describes; an update
 *  older than the present copy is ignored @return whether the list has changed */
bool list_replica_receive(list_replica_t *replica, const list_news_t *update, const char *from, tc_time_t as_of);
/** Time of the state that the copy holds; 0 before the first. */
tc_time_t list_replica_time(const list_replica_t *replica);

/** The next request, if one is due. It then counts as sent, and list_replica_add_piece has to be called with its
 * answer.
 *  @param ask filled in @return false when none is due */
bool list_replica_next_request(list_replica_t *replica, const list_sources_t *sources, tc_time_t now,
                               list_request_t *ask);
/** Take the answer to the last request. @param piece NULL: no answer @return whether the list has changed */
bool list_replica_add_piece(list_replica_t *replica, const msg_list_piece_t *piece, tc_time_t now);
/** Whether a full list is being fetched. */
bool list_replica_is_fetching(const list_replica_t *replica);

#endif
