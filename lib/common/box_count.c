#include "common/box_count.h"

void box_count_update(box_count_t *s, unsigned n, tc_time_t window, tc_time_t now)
{
    if (n == 0 || (n < s->n && now - s->seen <= window))
        return;
    s->n = n;
    s->seen = now;
}

unsigned box_count_get(const box_count_t *s)
{
    return s->n > 0 ? s->n : BOX_COUNT_DEFAULT;
}
