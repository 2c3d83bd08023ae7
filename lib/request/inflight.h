/** @file inflight.h
 * Requests whose callers this entry box holds: the ground for renewing their reservations.
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

/** One request; owned by the thread that serves it. */
typedef struct {
    struct cds_list_head node;
    char id[CODEC_STR_SIZE];
    char cell[CODEC_STR_SIZE];
    uint64_t content_hash; /* what is asked */
    held_t held;           /* guarded by the table's lock */
    atomic_bool lost;      /* somebody else has it now, or its lease lapsed: stop */
} inflight_t;

typedef struct {
    pthread_mutex_t lock;
    struct cds_list_head list;
    atomic_uint count;
} inflight_table_t;

/* ===== Public functions ===== */

void inflight_init(inflight_table_t *table);

/** Add @p item; an earlier one with the same id is marked lost, since the caller has come again.
 * @return false, and nothing is added, when the id is under way for another request */
bool inflight_add(inflight_table_t *table, inflight_t *item);
void inflight_remove(inflight_table_t *table, inflight_t *item);

/** Say where the request stands now. */
void inflight_update(inflight_table_t *table, inflight_t *item, const held_t *held);

/** Count and digest of a cell's placed requests, as sched_digest has it. */
void inflight_digest(inflight_table_t *table, const char *cell, uint32_t *count, uint64_t *digest);

/** Copies of all requests of a cell, in a heap array for free(). @return how many */
uint32_t inflight_collect(inflight_table_t *table, const char *cell, held_t **held);

/** Mark everything lost that was placed. */
void inflight_mark_all_lost(inflight_table_t *table);

/** Mark one attempt lost. */
void inflight_mark_lost(inflight_table_t *table, const char *id, uint32_t attempt);

#endif
