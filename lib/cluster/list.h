/** @file list.h
 * Lists of plain records, as boxes tell them to each other: copies of them, and a number that names a list's state, so
 * that a list that somebody has already is not sent again.
 */
#ifndef TRACKCOVE_CLUSTER_LIST_H
#define TRACKCOVE_CLUSTER_LIST_H

#include <stddef.h>
#include <stdint.h>

/** Hash of @p size bytes, never 0: 0 stands for having no list. The list's elements must have been zeroed before they
 *  were filled, padding included. */
uint64_t list_hash(const void *list, size_t size);

/** Copy of @p size bytes; never NULL, also of an empty list. To be freed with free. */
void *list_copy(const void *list, size_t size);

#endif
