/** @file list.h
 * Lists of plain records that are replicated between boxes: copying, hashing, sorting, and deltas between two states.
 * The first member of a record is its name, a string of CODEC_STR_SIZE bytes. Lists are sorted by name, so that equal
 * lists have equal hashes. Every function is pure.
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

/** A list that unpacks to more bytes is rejected as damaged. */
#define LIST_BYTES_MAX (64 * 1024 * 1024)

/* ===== Types ===== */

/** A kind of list. */
typedef struct {
    size_t record;             /**< size of a record in bytes */
    const codec_desc_t *delta; /**< of a list_delta_t with such records */
    list_name_t name;
} list_kind_t;

/** Delta between two states, with the layout of backend_delta_t and entry_delta_t. */
typedef struct {
    void *changed; /**< new and changed records, or the full list, sorted by name */
    uint32_t changed_n;
    record_name_t *gone; /**< names of removed records, sorted */
    uint32_t gone_n;
} list_delta_t;

extern const list_kind_t list_of_backends, list_of_entries;

/* ===== Public functions ===== */

/** Hash of @p size bytes, never 0, which stands for having no list. The list's elements must have been zeroed before
 * they were filled, padding included. */
uint64_t list_hash(const void *list, size_t size);

/** Copy of @p size bytes, to be freed with free; never NULL, even for an empty list. */
void *list_copy(const void *list, size_t size);

/** Whether one of the @p n entries has that name. @p list may be NULL when @p n is 0. */
bool list_has_name(const leaving_cfg_t *list, uint32_t n, const char *name);

/** Sort records by name; linear time when they are sorted already. */
void list_sort(void *list, uint32_t n, size_t record);
/** The record of that name, or NULL. @param list sorted by name */
const void *list_find(const void *list, uint32_t n, size_t record, const char *name);

/** Apply a delta. @param list sorted by name @return heap array to be freed with free, sorted by name */
void *list_apply(const void *list, uint32_t n, const list_delta_t *delta, size_t record, uint32_t *applied_n);

/** Pack a delta. @return heap bytes to be freed with free */
char *list_pack(const list_kind_t *kind, const list_delta_t *delta, size_t *size);
/** Unpack a delta. @param delta to be freed with codec_free @return 0, or negative with @p err */
int list_unpack(const list_kind_t *kind, const char *packed, size_t size, list_delta_t *delta, tc_err_t *err);

#endif
