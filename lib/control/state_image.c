/* Packing and unpacking of the whole replicated state, for snapshots. */

#include <stdlib.h>
#include <string.h>

#include "control/state_internal.h"

/* ===== Snapshots ===== */

static void *copy_table(GHashTable *table, size_t size, uint32_t *n)
{
    *n = g_hash_table_size(table);
    char *const items = calloc(*n + 1, size);
    if (!items)
        abort();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table);
    for (uint32_t i = 0; g_hash_table_iter_next(&iter, NULL, &value); i++)
        memcpy(items + i * size, value, size);
    return items;
}

static void *copy_queue(const GQueue *queue, size_t size, uint32_t *n)
{
    *n = queue->length;
    char *const items = calloc(*n + 1, size);
    if (!items)
        abort();
    uint32_t i = 0;
    for (const GList *l = queue->head; l; l = l->next, i++)
        memcpy(items + i * size, l->data, size);
    return items;
}

char *state_save(const state_t *s, size_t *size)
{
    /* Shallow copies: the image borrows all texts, so only its lists are freed. */
    state_image_t image = {.version = s->version,
                           .config = (char *)(uintptr_t)state_config_text(s),
                           .config_n = (uint32_t)strlen(state_config_text(s))};
    image.changes = copy_queue(&s->changes, sizeof(change_t), &image.changes_n);
    image.answers = copy_queue(&s->answers, sizeof(answered_t), &image.answers_n);
    image.plans = copy_table(s->plans, sizeof(plan_record_t), &image.plans_n);
    image.claims = copy_queue(&s->claim_order, sizeof(claim_record_t), &image.claims_n);
    image.cells = copy_table(s->cells, sizeof(cell_lease_t), &image.cells_n);
    image.drains = copy_table(s->drains, sizeof(drain_record_t), &image.drains_n);
    char *const data = codec_pack_bytes(&state_image_desc, &image, size);
    free(image.changes);
    free(image.answers);
    free(image.plans);
    free(image.claims);
    free(image.cells);
    free(image.drains);
    return data;
}

/** Move an item of a list of the image into a heap record of its own. */
#define MOVE_ITEM(index, list, type) ((type *)memcpy(g_new(type, 1), &(list)[index], sizeof(type)))

static void move_image(state_t *s, state_image_t *image)
{
    s->version = image->version;
    for (uint32_t i = 0; i < image->changes_n; i++)
        g_queue_push_tail(&s->changes, MOVE_ITEM(i, image->changes, change_t));
    for (uint32_t i = 0; i < image->answers_n; i++) {
        answered_t *const item = MOVE_ITEM(i, image->answers, answered_t);
        g_queue_push_tail(&s->answers, item);
        g_hash_table_insert(s->answers_by_id, item->request_id, item);
    }
    for (uint32_t i = 0; i < image->plans_n; i++) {
        plan_record_t *const plan = MOVE_ITEM(i, image->plans, plan_record_t);
        g_hash_table_insert(s->plans, plan->plan, plan);
    }
    for (uint32_t i = 0; i < image->claims_n; i++) {
        claim_record_t *const claim = MOVE_ITEM(i, image->claims, claim_record_t);
        g_hash_table_insert(s->claims, claim->id, claim);
        g_queue_push_tail(&s->claim_order, claim);
    }
    for (uint32_t i = 0; i < image->cells_n; i++) {
        cell_lease_t *const cell = MOVE_ITEM(i, image->cells, cell_lease_t);
        g_hash_table_insert(s->cells, cell->cell, cell);
    }
    for (uint32_t i = 0; i < image->drains_n; i++) {
        drain_record_t *const drain = MOVE_ITEM(i, image->drains, drain_record_t);
        g_hash_table_insert(s->drains, drain->box, drain);
    }
    /* The texts of these items now belong to the state. */
    image->changes_n = image->answers_n = image->plans_n = 0;
}

int state_load(state_t *s, const char *data, size_t size)
{
    state_image_t image;
    if (codec_unpack_bytes(&state_image_desc, &image, data, size, NULL) < 0)
        return TC_E_CORRUPT;
    json_t *const config = json_loadb(image.config ? image.config : "{}", image.config_n, 0, NULL);
    const int rc = config ? state_set_config(s, config, NULL) : TC_E_CORRUPT;
    json_decref(config);
    if (rc == TC_OK) {
        state_clear(s);
        move_image(s, &image);
    }
    codec_free(&state_image_desc, &image);
    return rc;
}
