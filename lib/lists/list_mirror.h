/** @file list_mirror.h
 * A box's copy of a list that is kept elsewhere: follows what it is told, and fetches the whole list, piece by piece,
 * when it has nothing that differences lead from.
 *
 * One piece is under way at a time, so that a box never owes more than one and its link is shared fairly with callers.
 * Pieces come from boxes that serve lists, spread over them by a hash of this box's address, and, when those lack the
 * list or do not answer, from whoever told of it. What has arrived survives the death of the box that it came from.
 *
 * Pure: messages and the time go in, questions come out.
 */
#ifndef TRACKCOVE_LISTS_LIST_MIRROR_H
#define TRACKCOVE_LISTS_LIST_MIRROR_H

/* ===== Dependencies ===== */

#include "common/time.h"
#include "lists/list_feed.h"

/* ===== Types ===== */

typedef struct list_mirror list_mirror_t;

/** Boxes that serve lists, in any order. Borrowed for the call. */
typedef struct {
    const raft_member_t *list;
    uint32_t n;
    const char *but; /**< peer address of one that is asked only when there is no other, or "" */
} list_sources_t;

/** A question to another box. */
typedef struct {
    char addr[CODEC_STR_SIZE];
    msg_fetch_list_t message;
} list_request_t;

/* ===== Public functions ===== */

/** @param feed what the copy is kept in, borrowed @param self peer address of this box, copied */
list_mirror_t *list_mirror_create(list_feed_t *feed, const char *self);
void list_mirror_destroy(list_mirror_t *mirror);

/** This box has made the list by itself, as of @p as_of. @param list in any order @return whether it has changed */
bool list_mirror_set(list_mirror_t *mirror, const void *list, uint32_t n, tc_time_t as_of);
/** Another box has told of it. @param from its peer address @param as_of the list was what it tells then; older news
 *  than what is here changes nothing @return whether the list has changed */
bool list_mirror_receive(list_mirror_t *mirror, const list_news_t *news, const char *from, tc_time_t as_of);
/** As of when the list is what it is; 0 for never. */
tc_time_t list_mirror_time(const list_mirror_t *mirror);

/** The next question, if one is due: it counts as asked, and is to be answered by list_mirror_add_piece.
 *  @param ask filled in @return false when none is due */
bool list_mirror_next_request(list_mirror_t *mirror, const list_sources_t *sources, tc_time_t now, list_request_t *ask);
/** Its answer. @param piece NULL: there was none @return whether the list has changed */
bool list_mirror_add_piece(list_mirror_t *mirror, const msg_list_piece_t *piece, tc_time_t now);
/** Whether a whole list is on its way. */
bool list_mirror_is_fetching(const list_mirror_t *mirror);

#endif
