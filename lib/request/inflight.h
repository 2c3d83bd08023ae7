/** @file inflight.h
 * Table of the requests that this entry box is serving; their reservations are renewed from it.
 */
#ifndef TRACKCOVE_REQUEST_INFLIGHT_H
#define TRACKCOVE_REQUEST_INFLIGHT_H

/* ===== Dependencies ===== */

#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <urcu/list.h>

#include "gen/schema.h"

/* ===== Types ===== */

/** One request. Owned by the thread that serves it. */
typedef struct {
    struct cds_list_head node;
    char id[CODEC_STR_SIZE];
    char cell[CODEC_STR_SIZE];
    uint64_t content_hash; /* caller_request_t.content_hash */
    held_t held;           /* state last reported; guarded by the table's lock */
    atomic_bool lost;      /* another entry owns it now, or its lease has expired: stop serving it */
} inflight_t;

typedef struct {
    pthread_mutex_t lock;
    struct cds_list_head list;
    atomic_uint count;
} inflight_table_t;

/* ===== Public functions ===== */

void inflight_init(inflight_table_t *table);

/** Adds @p item. An earlier request with the same id is marked lost, because the caller has resent it.
 * @return false, with nothing added, when a request with the same id and other content is in flight */
bool inflight_add(inflight_table_t *table, inflight_t *item);
void inflight_remove(inflight_table_t *table, inflight_t *item);

/** Records the current state of the request. */
void inflight_update(inflight_table_t *table, inflight_t *item, const held_t *held);

/** Count of a cell's placed requests that are not lost, and the XOR of their sched_digest(). */
void inflight_digest(inflight_table_t *table, const char *cell, uint32_t *count, uint64_t *digest);

/** Copies the requests of a cell that are not lost to a heap array, which the caller frees with free().
 * @return their number */
uint32_t inflight_collect(inflight_table_t *table, const char *cell, held_t **held);

/** Marks all placed requests lost. */
void inflight_mark_all_lost(inflight_table_t *table);

/** Marks one attempt of a request lost. */
void inflight_mark_lost(inflight_table_t *table, const char *id, uint32_t attempt);

#endif
