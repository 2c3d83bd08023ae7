#include "common/sharers.h"

void sharers_hear(sharers_t *s, unsigned n, tc_time_t window, tc_time_t now)
{
    if (n == 0 || (n < s->n && now - s->seen <= window))
        return;
    s->n = n;
    s->seen = now;
}

unsigned sharers_count(const sharers_t *s)
{
    return s->n > 0 ? s->n : SHARERS_UNKNOWN;
}
