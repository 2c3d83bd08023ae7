/** @file list_hash.h
 * A number that names the state of a list, so that a list that somebody has already is not sent again.
 */
#ifndef TRACKCOVE_CLUSTER_LIST_HASH_H
#define TRACKCOVE_CLUSTER_LIST_HASH_H

#include <stddef.h>
#include <stdint.h>

/** Hash of @p size bytes, never 0: 0 stands for having no list. The list's elements must have been zeroed before they
 *  were filled, padding included. */
uint64_t list_hash(const void *list, size_t size);

#endif
