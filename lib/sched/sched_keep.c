/* Engines that requests without room keep for themselves. Without this, smaller requests behind a large one take each
 * piece of memory that is freed, and the large one waits until it is overdue. */

#include "common/feature.h"
#include "sched/sched_choose.h"

/* ===== Heap of free engines ===== */

/** An engine and its free pieces, which may have become fewer since. */
typedef struct {
    engine_t *engine;
    uint32_t pieces;
} free_engine_t;

static void sift_down(GArray *heap, guint at)
{
    free_engine_t *const items = (free_engine_t *)(void *)heap->data;
    for (;;) {
        guint most = at;
        for (guint child = 2 * at + 1; child <= 2 * at + 2 && child < heap->len; child++)
            if (items[child].pieces > items[most].pieces)
                most = child;
        if (most == at)
            return;
        const free_engine_t item = items[at];
        items[at] = items[most];
        items[most] = item;
        at = most;
    }
}

static void remove_first(GArray *heap)
{
    g_array_remove_index_fast(heap, 0); /* the last item takes its place */
    sift_down(heap, 0);
}

static uint32_t free_pieces(const sched_t *s, const engine_t *e, tc_time_t now)
{
    const uint32_t taken = engine_taken(s, e, now);
    return taken < e->pieces ? e->pieces - taken : 0;
}

/** Collects the engines that may be kept. Those with a full batch have no use for more memory. */
static void fill_heap(sched_t *s, const model_t *model, keep_t *keep, tc_time_t now)
{
    const pool_t *const pool = &model->pools[ROLE_DECODE];
    g_array_set_size(keep->free, 0);
    keep->decodes = 0;
    guint scanned = 0;
    for (; scanned < pool->engines->len && keep->decodes < KEEP_ENGINES_MAX; scanned++) {
        engine_t *const e = g_ptr_array_index(pool->engines, scanned);
        if (!engine_grantable(e, now) || now < e->stalled_until)
            continue;
        keep->decodes++;
        if (e->batch >= engine_batch_limit(s, e))
            continue;
        const free_engine_t item = {e, free_pieces(s, e, now)};
        g_array_append_val(keep->free, item);
    }
    s->stats.engines_scanned += scanned;
    for (guint i = keep->free->len / 2; i-- > 0;)
        sift_down(keep->free, i);
}

/** Takes the acceptable engine with the most free memory out of the heap. Others before it are dropped for this pass.
 *  @return NULL for none */
static engine_t *take_freest(const sched_t *s, GArray *heap, const request_t *r, tc_time_t now)
{
    const engine_t *const avoid = r->avoid[0] ? engine_find(s, r->avoid) : NULL;
    while (heap->len > 0) {
        free_engine_t *const first = &g_array_index(heap, free_engine_t, 0);
        engine_t *const e = first->engine;
        const uint32_t pieces = free_pieces(s, e, now);
        if (pieces < first->pieces) { /* a grant of this pass has used some */
            first->pieces = pieces;
            sift_down(heap, 0);
            continue;
        }
        remove_first(heap);
        if (e != avoid && e->pieces >= r->pieces && may_share_engine(e, r) && engine_has_version(e, r) &&
            !owner_is_closed(r->owner, e, now) && e->batch < engine_batch_limit(s, e))
            return e;
    }
    return NULL;
}

/* ===== Keeping ===== */

bool model_is_ranked(const model_t *m, tc_time_t now)
{
    return now < m->ranked_until;
}

bool engine_is_kept(const sched_t *s, const engine_t *e)
{
    return e->kept_pass != 0 && e->kept_pass == s->pass;
}

bool is_kept_from(const sched_t *s, const engine_t *e, const request_t *r)
{
    return r->state == REQ_QUEUED && engine_is_kept(s, e);
}

/** Starts the pass for the model. */
static void reset_keep(sched_t *s, const model_t *model, keep_t *keep, tc_time_t now)
{
    keep->pass = s->pass;
    keep->kept = 0;
    keep->by_last = 0;
    if (!keep->free)
        keep->free = g_array_new(FALSE, FALSE, sizeof(free_engine_t));
    fill_heap(s, model, keep, now);
    const request_t *q;
    cds_list_for_each_entry_reverse(q, &s->queue, node) {
        if (q->model != model)
            continue;
        keep->last_priority = q->priority;
        keep->last_rank = q->rank;
        return;
    }
}

static bool is_least_urgent(const keep_t *keep, const request_t *r)
{
    return r->priority == keep->last_priority && r->rank == keep->last_rank;
}

void keep_engine(sched_t *s, request_t *r, tc_time_t now)
{
    if (!model_is_ranked(r->model, now) || !feature_is_enabled(FEATURE_ENGINE_KEEPING))
        return;
    keep_t *const keep = &r->model->keep;
    if (keep->pass != s->pass)
        reset_keep(s, r->model, keep, now);
    const bool last = is_least_urgent(keep, r);
    if (last && keep->by_last >= keep->decodes / KEPT_PART)
        return;
    engine_t *const e = take_freest(s, keep->free, r, now);
    if (!e)
        return;
    e->kept_pass = s->pass;
    r->kept = true;
    s->kept++;
    keep->kept++;
    keep->by_last += last;
}

void keep_free(keep_t *keep)
{
    if (keep->free)
        g_array_free(keep->free, TRUE);
}
