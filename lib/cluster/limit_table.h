/** @file limit_table.h
 * Table of the rate limits that back ends declare in their answers, each for all boxes together. One entry per back
 * end; of two answers the newer one counts. No I/O, no clock.
 */
#ifndef TRACKCOVE_CLUSTER_LIMIT_TABLE_H
#define TRACKCOVE_CLUSTER_LIMIT_TABLE_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** Lower bound of the rate that is applied, in requests per second. A back end that declares less, or 0, still gets
 *  requests at this rate, since only its answers can raise the limit again. */
#define LIMIT_RATE_MIN 0.1

/* ===== Types ===== */

typedef struct limit_table limit_table_t;

/** Limit of one back end. */
typedef struct {
    char backend[CODEC_STR_SIZE];
    bool is_set;       /**< whether it declares a limit; false: it declared one before, and no longer does */
    double rate;       /**< requests per second, >= 0 */
    tc_time_t seen_at; /**< time of the answer that said so */
} limit_entry_t;

/** Predicate on one entry. */
typedef bool (*limit_entry_fn_t)(void *arg, const limit_entry_t *entry);

/* ===== Public functions ===== */

limit_table_t *limit_table_create(void);
void limit_table_destroy(limit_table_t *table);
/** Removes all entries. */
void limit_table_clear(limit_table_t *table);

/** Applies an update unless the entry is newer. @return whether a limit was added, removed or changed */
bool limit_table_update(limit_table_t *table, const limit_news_t *news, tc_time_t now);
/** Removes the entries for which @p fn returns true. @return their number */
unsigned limit_table_remove_if(limit_table_t *table, limit_entry_fn_t fn, void *arg);

/** @return the entry, borrowed until the table changes; NULL when there is none */
const limit_entry_t *limit_table_find(const limit_table_t *table, const char *backend);
/** @return all entries as limit_entry_t pointers, borrowed until the table changes; free the list with g_list_free */
GList *limit_table_entries(const limit_table_t *table);
/** @return all entries as limit_news_t for messages; free with g_array_free */
GArray *limit_table_export(const limit_table_t *table, tc_time_t now);
/** @return a hash of the names and limits of all entries, without their times; 0 for an empty table */
uint64_t limit_table_hash(const limit_table_t *table);

#endif
