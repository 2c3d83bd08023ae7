#include "backend/loss_evidence.h"

#include <glib.h>
#include <stdint.h>

/** Losses of a box. */
typedef struct {
    GHashTable *counts; /* back end -> losses in a row there, above 0 */
    GHashTable *streak; /* set of back ends at which calls were lost since the box's last answer */
    uint64_t since;     /* answers of all boxes, before the first of the streak */
} losses_t;

struct loss_evidence {
    GHashTable *boxes; /* name -> losses_t, only those with losses or a streak */
    uint64_t answers;
};

static void losses_free(gpointer data)
{
    losses_t *const losses = data;
    g_hash_table_destroy(losses->counts);
    g_hash_table_destroy(losses->streak);
    g_free(losses);
}

loss_evidence_t *loss_evidence_create(void)
{
    loss_evidence_t *const e = g_new0(loss_evidence_t, 1);
    e->boxes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, losses_free);
    return e;
}

void loss_evidence_destroy(loss_evidence_t *e)
{
    g_hash_table_destroy(e->boxes);
    g_free(e);
}

/** A box with a streak has no answer of its own since it began, so these are answers of others. */
static bool is_in_doubt(const loss_evidence_t *e, const losses_t *losses)
{
    return g_hash_table_size(losses->streak) >= LOSS_DOUBT_BACKENDS && e->answers > losses->since;
}

static losses_t *get_losses(loss_evidence_t *e, const char *box)
{
    losses_t *losses = g_hash_table_lookup(e->boxes, box);
    if (losses)
        return losses;
    losses = g_new0(losses_t, 1);
    losses->counts = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    losses->streak = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_insert(e->boxes, g_strdup(box), losses);
    return losses;
}

void loss_evidence_add_loss(loss_evidence_t *e, const char *box, const char *backend)
{
    losses_t *const losses = get_losses(e, box);
    const unsigned before = GPOINTER_TO_UINT(g_hash_table_lookup(losses->counts, backend));
    if (g_hash_table_size(losses->streak) == 0)
        losses->since = e->answers;
    g_hash_table_insert(losses->counts, g_strdup(backend), GUINT_TO_POINTER(before + 1));
    g_hash_table_add(losses->streak, g_strdup(backend));
}

void loss_evidence_add_answer(loss_evidence_t *e, const char *box, const char *backend)
{
    GHashTableIter iter;
    gpointer value;
    losses_t *const own = g_hash_table_lookup(e->boxes, box);
    e->answers++;
    if (own)
        g_hash_table_remove_all(own->streak);
    g_hash_table_iter_init(&iter, e->boxes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        losses_t *const losses = value;
        g_hash_table_remove(losses->counts, backend);
        if (g_hash_table_size(losses->counts) == 0 && g_hash_table_size(losses->streak) == 0)
            g_hash_table_iter_remove(&iter);
    }
}

void loss_evidence_forget(loss_evidence_t *e, const char *box)
{
    g_hash_table_remove(e->boxes, box);
}

unsigned loss_evidence_count(const loss_evidence_t *e, const char *backend)
{
    GHashTableIter iter;
    gpointer value;
    unsigned count = 0;
    g_hash_table_iter_init(&iter, e->boxes);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        if (!is_in_doubt(e, value))
            count += GPOINTER_TO_UINT(g_hash_table_lookup(((losses_t *)value)->counts, backend));
    return count;
}

bool loss_evidence_is_in_doubt(const loss_evidence_t *e, const char *box)
{
    const losses_t *const losses = g_hash_table_lookup(e->boxes, box);
    return losses && is_in_doubt(e, losses);
}

bool loss_evidence_is_empty(const loss_evidence_t *e)
{
    return g_hash_table_size(e->boxes) == 0;
}
