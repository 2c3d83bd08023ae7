/** @file list_publisher.h
 * Publishes a list that other boxes keep copies of: sends the delta from the state that a box has, and the full list
 * only to a box whose state is no longer known. Each update is packed once, however many boxes it is sent to. A long
 * list is sent in pieces, so that no other message waits long behind it. Pure.
 */
#ifndef TRACKCOVE_LISTS_LIST_FEED_H
#define TRACKCOVE_LISTS_LIST_FEED_H

/* ===== Dependencies ===== */

#include "lists/list.h"

/* ===== Constants ===== */

/** Size of one piece: 26 ms on a link of 10 Mbit/s, the longest that an event of a stream waits behind it. */
#define LIST_PIECE_BYTES (32 * 1024)

/* ===== Types ===== */

typedef struct list_publisher list_publisher_t;

/* ===== Public functions ===== */

list_publisher_t *list_publisher_create(const list_kind_t *kind);
/** Set the number of older states that deltas are made from, 1 to 32; 32 by default. Call once, before the list is set.
 *  Each state takes 100 bytes for each record that has changed since. */
void list_publisher_keep_states(list_publisher_t *publisher, unsigned states);
void list_publisher_destroy(list_publisher_t *publisher);
const list_kind_t *list_publisher_kind(const list_publisher_t *publisher);

/** Set the list, in any order; copied. @return whether it differs from the one before */
bool list_publisher_set(list_publisher_t *publisher, const void *list, uint32_t n);
/** Set a list that is sorted by name and whose hash is known. @param list heap array, now owned by the publisher */
void list_publisher_replace(list_publisher_t *publisher, void *list, uint32_t n, uint64_t hash);

/** The current list. @return sorted by name; owned by the publisher, valid until it is set again */
const void *list_publisher_list(const list_publisher_t *publisher, uint32_t *n);
/** The record of that name, or NULL; valid as long as the list. */
const void *list_publisher_find(const list_publisher_t *publisher, const char *name);
/** Hash of the list, as list_hash; 0 before it is set. */
uint64_t list_publisher_hash(const list_publisher_t *publisher);

/** Update from the state with hash @p known to the current one: a delta, the full list, or only its packed size when it
 *  has to be fetched in pieces. The body is owned by the publisher, valid until the list is set again. */
list_news_t list_publisher_update_since(list_publisher_t *publisher, uint64_t known);
/** The full list, packed. @return owned by the publisher, valid until the list is set again */
const char *list_publisher_packed(list_publisher_t *publisher, size_t *size);
/** A piece of the full packed list of the state with that hash; data is owned by the publisher, valid until the list is
 * set again. Without data, and with whole 0, when that state is neither the current one nor one of the last that were
 *  requested. */
msg_list_piece_t list_publisher_piece(list_publisher_t *publisher, uint64_t hash, uint64_t offset);

#endif
