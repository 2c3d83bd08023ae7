/** @file list.h
 * Lists of plain records, as boxes tell them to each other: copies of them, a number that names a list's state, so that
 * a list that somebody has already is not sent again, and whether a list of names has one. Every function is pure.
 */
#ifndef TRACKCOVE_CLUSTER_LIST_H
#define TRACKCOVE_CLUSTER_LIST_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "gen/schema.h"

/* ===== Public functions ===== */

/** Hash of @p size bytes, never 0: 0 stands for having no list. The list's elements must have been zeroed before they
 *  were filled, padding included. */
uint64_t list_hash(const void *list, size_t size);

/** Copy of @p size bytes; never NULL, also of an empty list. To be freed with free. */
void *list_copy(const void *list, size_t size);

/** Whether one of the @p n entries has that name. @p list may be NULL when it has none. */
bool list_has_name(const leaving_cfg_t *list, uint32_t n, const char *name);

#endif
