/** @file list.h
 * Lists of plain records, as boxes tell them to each other: copies of them, a number that names a list's state, their
 * order, and what leads from one state to another. The first member of a record is its name, a string of CODEC_STR_SIZE
 * bytes; lists are in the order of names, so that equal lists have equal hashes. Every function is pure.
 */
#ifndef TRACKCOVE_LISTS_LIST_H
#define TRACKCOVE_LISTS_LIST_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/err.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** A list that unpacks to more bytes is taken for damaged. */
#define LIST_BYTES_MAX (64 * 1024 * 1024)

/* ===== Types ===== */

/** A kind of list. */
typedef struct {
    size_t record;             /**< size of a record */
    const codec_desc_t *delta; /**< of a list_delta_t with such records */
    list_name_t name;
} list_kind_t;

/** As backend_delta_t and entry_delta_t: what leads from one state to another. */
typedef struct {
    void *changed; /**< new and changed records, or all, in order of names */
    uint32_t changed_n;
    record_name_t *gone; /**< in order */
    uint32_t gone_n;
} list_delta_t;

extern const list_kind_t list_of_backends, list_of_entries;

/* ===== Public functions ===== */

/** Hash of @p size bytes, never 0: 0 stands for having no list. The list's elements must have been zeroed before they
 *  were filled, padding included. */
uint64_t list_hash(const void *list, size_t size);

/** Copy of @p size bytes; never NULL, also of an empty list. To be freed with free. */
void *list_copy(const void *list, size_t size);

/** Whether one of the @p n entries has that name. @p list may be NULL when it has none. */
bool list_has_name(const leaving_cfg_t *list, uint32_t n, const char *name);

/** Bring records into the order of names; cheap where they are. */
void list_sort(void *list, uint32_t n, size_t record);
/** The record of that name, or NULL. @param list in order of names */
const void *list_find(const void *list, uint32_t n, size_t record, const char *name);

/** A list after a delta. @param list in order of names @return heap array for free, in order of names */
void *list_apply(const void *list, uint32_t n, const list_delta_t *delta, size_t record, uint32_t *applied_n);

/** Pack a delta. @return heap bytes for free */
char *list_pack(const list_kind_t *kind, const list_delta_t *delta, size_t *size);
/** Read a packed delta. @param delta to be freed with codec_free @return 0, or negative with @p err */
int list_unpack(const list_kind_t *kind, const char *packed, size_t size, list_delta_t *delta, tc_err_t *err);

#endif
