#include "lists/list_budget.h"

#include <glib.h>

/** Capacity of the bucket, in seconds of its rate. */
static const double BURST_S = 0.5;

enum { MS_PER_S = 1000 };

bool list_budget_take(list_budget_t *b, size_t bytes, double kept, tc_time_t now)
{
    const double most = b->rate * BURST_S;
    b->level = MIN(b->level + b->rate * (double)(now - b->at) / MS_PER_S, most);
    b->at = now;
    if (b->level <= kept * most)
        return false;
    b->level -= (double)bytes;
    return true;
}
