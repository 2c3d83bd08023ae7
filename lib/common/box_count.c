#include "common/box_count.h"

void box_count_update(box_count_t *count, unsigned n, tc_time_t window, tc_time_t now)
{
    if (n == 0 || (n < count->n && now - count->seen <= window))
        return;
    count->n = n;
    count->seen = now;
}

unsigned box_count_get(const box_count_t *count)
{
    return count->n > 0 ? count->n : BOX_COUNT_DEFAULT;
}
