#include "request/inflight.h"

#include <stdlib.h>
#include <string.h>

#include "sched/sched.h"

void inflight_init(inflight_table_t *table)
{
    pthread_mutex_init(&table->lock, NULL);
    CDS_INIT_LIST_HEAD(&table->list);
    atomic_init(&table->count, 0);
}

/** Call with the lock held. */
static bool id_is_free(const inflight_table_t *table, const inflight_t *item)
{
    const inflight_t *other;
    cds_list_for_each_entry(other, &table->list, node) {
        if (strcmp(other->id, item->id) == 0 && other->content_hash != item->content_hash)
            return false;
    }
    return true;
}

bool inflight_add(inflight_table_t *table, inflight_t *item)
{
    codec_copy_string(item->held.id, sizeof(item->held.id), item->id);
    pthread_mutex_lock(&table->lock);
    const bool added = id_is_free(table, item);
    inflight_t *other;
    cds_list_for_each_entry(other, &table->list, node) {
        if (added && strcmp(other->id, item->id) == 0)
            atomic_store(&other->lost, true);
    }
    if (added) {
        cds_list_add(&item->node, &table->list);
        atomic_fetch_add(&table->count, 1);
    }
    pthread_mutex_unlock(&table->lock);
    return added;
}

void inflight_remove(inflight_table_t *table, inflight_t *item)
{
    pthread_mutex_lock(&table->lock);
    cds_list_del(&item->node);
    pthread_mutex_unlock(&table->lock);
    atomic_fetch_sub(&table->count, 1);
}

void inflight_update(inflight_table_t *table, inflight_t *item, const held_t *held)
{
    pthread_mutex_lock(&table->lock);
    item->held = *held;
    codec_copy_string(item->held.id, sizeof(item->held.id), item->id);
    item->held.content = item->content_hash;
    pthread_mutex_unlock(&table->lock);
}

void inflight_digest(inflight_table_t *table, const char *cell, uint32_t *count, uint64_t *digest)
{
    *count = 0;
    *digest = 0;
    pthread_mutex_lock(&table->lock);
    const inflight_t *item;
    cds_list_for_each_entry(item, &table->list, node) {
        if (item->held.attempt == 0 || atomic_load(&item->lost) || strcmp(item->cell, cell) != 0)
            continue;
        (*count)++;
        *digest ^= sched_digest(item->id, item->held.attempt);
    }
    pthread_mutex_unlock(&table->lock);
}

uint32_t inflight_collect(inflight_table_t *table, const char *cell, held_t **held)
{
    uint32_t n = 0;
    pthread_mutex_lock(&table->lock);
    /* The count is updated outside the lock and may lag the list by a few. */
    const uint32_t capacity = atomic_load(&table->count) + 64;
    held_t *const list = calloc(capacity, sizeof(*list));
    if (!list)
        abort();
    const inflight_t *item;
    cds_list_for_each_entry(item, &table->list, node) {
        if (n < capacity && !atomic_load(&item->lost) && strcmp(item->cell, cell) == 0)
            list[n++] = item->held;
    }
    pthread_mutex_unlock(&table->lock);
    *held = list;
    return n;
}

void inflight_mark_all_lost(inflight_table_t *table)
{
    pthread_mutex_lock(&table->lock);
    inflight_t *item;
    cds_list_for_each_entry(item, &table->list, node) {
        if (item->held.attempt > 0)
            atomic_store(&item->lost, true);
    }
    pthread_mutex_unlock(&table->lock);
}

void inflight_mark_lost(inflight_table_t *table, const char *id, uint32_t attempt)
{
    pthread_mutex_lock(&table->lock);
    inflight_t *item;
    cds_list_for_each_entry(item, &table->list, node) {
        if (strcmp(item->id, id) == 0 && item->held.attempt == attempt)
            atomic_store(&item->lost, true);
    }
    pthread_mutex_unlock(&table->lock);
}
