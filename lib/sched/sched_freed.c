#include "sched/sched_freed.h"

#include <string.h>

#include "sched/sched_returns.h"

/** Weight of the newest window in the moving average. */
static const double FREE_RATE_WEIGHT = 0.2;

void count_freed(sched_t *s, engine_t *e, double pieces)
{
    s->freed_pieces += pieces;
    e->freed[0] += pieces;
}

/** Takes back what an engine freed shortly before it became unusable, and starts its next window. Only for ranked
 *  models: the waits of other requests are estimated as before. */
static double take_back(engine_t *e, tc_time_t now)
{
    double lost = 0;
    const bool usable = engine_usable(e, now);
    if (e->was_usable && !usable && model_is_ranked(e->model, now))
        for (unsigned i = 0; i < FREED_WINDOWS; i++)
            lost += e->freed[i];
    e->was_usable = usable;
    memmove(e->freed + 1, e->freed, sizeof(e->freed) - sizeof(e->freed[0]));
    e->freed[0] = 0;
    return lost;
}

void update_free_rates(sched_t *s, tc_time_t now)
{
    const tc_time_t span = now - s->freed_at;
    if (span < FREED_WINDOW_MS)
        return;
    for (guint i = 0; i < s->engine_list->len; i++)
        s->freed_pieces -= take_back(g_ptr_array_index(s->engine_list, i), now);
    const double rate = MAX(s->freed_pieces, 0) / (double)span;
    /* Nothing is known before the first request finishes: an idle cell must not look like a full one. */
    if (s->free_rate > 0 || rate > 0)
        s->free_rate += FREE_RATE_WEIGHT * (rate - s->free_rate);
    update_left_rate(s, s->freed_pieces, span);
    s->freed_pieces = 0;
    s->freed_at = now;
}
