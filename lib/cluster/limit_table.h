/** @file limit_table.h
 * Limits that back ends name for all boxes together, as somebody knows them: of two answers the newer one counts.
 * No I/O, no clock.
 */
#ifndef TRACKCOVE_CLUSTER_LIMIT_TABLE_H
#define TRACKCOVE_CLUSTER_LIMIT_TABLE_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** A back end that takes less, or nothing, gets so many requests a second all the same: only its answers tell that it
 *  takes more again. */
#define LIMIT_RATE_MIN 0.1

/* ===== Types ===== */

typedef struct limit_table limit_table_t;

/** What is known of one back end. */
typedef struct {
    char backend[CODEC_STR_SIZE];
    bool is_set;       /**< it names a limit; else it named one before */
    double rate;       /**< requests a second, 0 or more */
    tc_time_t seen_at; /**< when it answered so */
} limit_entry_t;

/** Decides on one entry. */
typedef bool (*limit_entry_fn_t)(void *arg, const limit_entry_t *entry);

/* ===== Public functions ===== */

limit_table_t *limit_table_create(void);
void limit_table_destroy(limit_table_t *table);
/** Know nothing. */
void limit_table_clear(limit_table_t *table);

/** Take news. @return whether what is known has changed */
bool limit_table_update(limit_table_t *table, const limit_news_t *news, tc_time_t now);
/** Drop the entries for which @p fn says so. @return how many */
unsigned limit_table_remove_if(limit_table_t *table, limit_entry_fn_t fn, void *arg);

/** Borrowed until the table changes; NULL when nothing is known. */
const limit_entry_t *limit_table_find(const limit_table_t *table, const char *backend);
/** All entries, borrowed until the table changes. @return limit_entry_t pointers, for g_list_free */
GList *limit_table_entries(const limit_table_t *table);
/** All as news. @return limit_news_t, for g_array_free */
GArray *limit_table_export(const limit_table_t *table, tc_time_t now);
/** Of all entries, whenever they were heard; 0: there are none. */
uint64_t limit_table_hash(const limit_table_t *table);

#endif
