#include "admission/fair_share.h"

#include <assert.h>
#include <glib.h>

/* ===== Types ===== */

typedef struct {
    double queued, running;
} use_t;

struct fair_share {
    GHashTable *uses;    /* workspace -> use_t, only those with any use */
    GHashTable *weights; /* workspace -> weight, only those that are not 1 */
    use_t total;
};

/** Units smaller than this are rounding errors of sums. */
static const double UNITS_ERROR = 1e-6;

/* ===== Lifecycle ===== */

fair_share_t *fair_share_create(void)
{
    fair_share_t *const share = g_new0(fair_share_t, 1);
    share->uses = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    share->weights = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return share;
}

void fair_share_destroy(fair_share_t *share)
{
    if (!share)
        return;
    g_hash_table_destroy(share->uses);
    g_hash_table_destroy(share->weights);
    g_free(share);
}

/* ===== Use ===== */

void fair_share_set_weight(fair_share_t *share, const char *workspace, uint32_t weight)
{
    assert(weight >= 1); /* the caller's promise */
    if (weight == 1)
        g_hash_table_remove(share->weights, workspace);
    else
        g_hash_table_replace(share->weights, g_strdup(workspace), GUINT_TO_POINTER(weight));
}

static void change(fair_share_t *share, const char *workspace, double queued, double running)
{
    use_t *use = g_hash_table_lookup(share->uses, workspace);
    if (!use) {
        use = g_new0(use_t, 1);
        g_hash_table_insert(share->uses, g_strdup(workspace), use);
    }
    use->queued += queued;
    use->running += running;
    share->total.queued += queued;
    share->total.running += running;
    assert(use->queued > -UNITS_ERROR && use->running > -UNITS_ERROR); /* what is removed was added */
    if (use->queued < UNITS_ERROR && use->running < UNITS_ERROR)
        g_hash_table_remove(share->uses, workspace);
}

void fair_share_add_queued(fair_share_t *share, const char *workspace, double units)
{
    change(share, workspace, units, 0);
}

void fair_share_remove_queued(fair_share_t *share, const char *workspace, double units)
{
    change(share, workspace, -units, 0);
}

void fair_share_add_running(fair_share_t *share, const char *workspace, double units)
{
    change(share, workspace, 0, units);
}

void fair_share_remove_running(fair_share_t *share, const char *workspace, double units)
{
    change(share, workspace, 0, -units);
}

/* ===== Comparison ===== */

fair_share_use_t fair_share_use(const fair_share_t *share, const char *workspace)
{
    const use_t *const use = g_hash_table_lookup(share->uses, workspace);
    const uint32_t weight = GPOINTER_TO_UINT(g_hash_table_lookup(share->weights, workspace));
    return (fair_share_use_t){
        .queued = use ? use->queued : 0, .running = use ? use->running : 0, .weight = MAX(weight, 1)};
}

fair_share_use_t fair_share_total(const fair_share_t *share)
{
    return (fair_share_use_t){.queued = share->total.queued, .running = share->total.running, .weight = 1};
}

double fair_share_level(const fair_share_t *share, const char *workspace)
{
    const fair_share_use_t use = fair_share_use(share, workspace);
    return (use.queued + use.running) / use.weight;
}

bool fair_share_precedes(const fair_share_t *share, const char *mine, double units, const char *other)
{
    const fair_share_use_t use = fair_share_use(share, mine);
    return (use.queued + use.running + units) / use.weight < fair_share_level(share, other);
}

void fair_share_foreach(const fair_share_t *share, fair_share_fn_t fn, void *arg)
{
    GHashTableIter at;
    gpointer workspace;
    g_hash_table_iter_init(&at, share->uses);
    while (g_hash_table_iter_next(&at, &workspace, NULL)) {
        const fair_share_use_t use = fair_share_use(share, workspace);
        fn(arg, workspace, &use);
    }
}

uint32_t fair_share_count(const fair_share_t *share)
{
    return g_hash_table_size(share->uses);
}
