/* The scheduler's part in the view of admission. */

#include <string.h>

#include "admission/admission_view.h"
#include "sched/sched_internal.h"

/** Adds a request to the class that it is in; the queue is sorted by class. */
static void count_queued(admission_service_t *view, const request_t *r, tc_time_t now)
{
    admission_class_t *last =
        view->queue->len > 0 ? &g_array_index(view->queue, admission_class_t, view->queue->len - 1) : NULL;
    if (!last || last->priority != r->priority || last->rank != r->rank) {
        const admission_class_t entry = {.priority = r->priority, .rank = r->rank};
        g_array_append_val(view->queue, entry);
        last = &g_array_index(view->queue, admission_class_t, view->queue->len - 1);
    }
    last->in_time += !r->late;
    last->late += r->late;
    last->oldest_ms = MAX(last->oldest_ms, now - r->queued_at);
    view->queued++;
    view->queued_late += r->late;
}

void sched_view(const sched_t *s, admission_service_t *view, tc_time_t now)
{
    const model_t *const model = model_find(s, view->service);
    view->ranked = model && model_is_ranked(model, now);
    view->rate_s = s->free_rate * 1000;
    view->granted = s->stats.granted;
    view->refused = s->stats.refused;
    view->expired = s->stats.expired;
    const request_t *r;
    cds_list_for_each_entry(r, &s->queue, node)
        if (strcmp(r->model_name, view->service) == 0)
            count_queued(view, r, now);
    admission_service_set_workspaces(view, s->share);
    admission_service_set_returns(view, s->returns);
}
