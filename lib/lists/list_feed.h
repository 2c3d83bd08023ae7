/** @file list_feed.h
 * A list that other boxes keep copies of: told by what has changed since the state that a box has, and whole only to a
 * box whose state is no longer known. What is told is packed once, however many boxes it is told to; a long list
 * travels in pieces, so that nothing else waits long behind it. Pure.
 */
#ifndef TRACKCOVE_LISTS_LIST_FEED_H
#define TRACKCOVE_LISTS_LIST_FEED_H

/* ===== Dependencies ===== */

#include "lists/list.h"

/* ===== Constants ===== */

/** Bytes of one piece: 26 ms of a link of 10 Mbit/s, so that an event of a stream waits no longer behind it. */
#define LIST_PIECE_BYTES (32 * 1024)

/* ===== Types ===== */

typedef struct list_feed list_feed_t;

/* ===== Public functions ===== */

list_feed_t *list_feed_create(const list_kind_t *kind);
/** How many older states differences are told from, 1 to 32; 32 unless this is called, once and before the list is set.
 *  Each costs 100 bytes for each record that has changed since. */
void list_feed_keep_states(list_feed_t *feed, unsigned states);
void list_feed_destroy(list_feed_t *feed);
const list_kind_t *list_feed_kind(const list_feed_t *feed);

/** Take over a list's new state, in any order. @return whether it differs from the one before */
bool list_feed_set(list_feed_t *feed, const void *list, uint32_t n);
/** The same of a list in order of names, whose hash is known. @param list taken over */
void list_feed_replace(list_feed_t *feed, void *list, uint32_t n, uint64_t hash);

/** The list as it is. @return in order of names; owned by the feed until it is set again */
const void *list_feed_list(const list_feed_t *feed, uint32_t *n);
/** The record of that name, owned likewise; NULL: there is none. */
const void *list_feed_find(const list_feed_t *feed, const char *name);
/** Hash of the list, as list_hash; 0 before it was set. */
uint64_t list_feed_hash(const list_feed_t *feed);

/** What leads from the state that a box says it has to the present one; the body is owned by the feed until it is set
 *  again. */
list_news_t list_feed_update_since(list_feed_t *feed, uint64_t known);
/** The whole list, packed. @return owned likewise */
const char *list_feed_packed(list_feed_t *feed, size_t *size);
/** A piece of the whole list of that state, packed; data is owned likewise. Without data, and with whole 0, when that
 *  state is neither the present one nor one of the last that were asked for. */
msg_list_piece_t list_feed_piece(list_feed_t *feed, uint64_t hash, uint64_t offset);

#endif
