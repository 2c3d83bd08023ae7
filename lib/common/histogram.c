#include "common/histogram.h"

#include <stdio.h>

static const tc_time_t bounds[HISTOGRAM_BUCKETS - 1] = HISTOGRAM_BOUNDS;
static histogram_t *first;

void histogram_register(histogram_t *h)
{
    h->next = first;
    first = h;
}

void histogram_add(histogram_t *h, tc_time_t span)
{
    int at = 0;
    while (at < HISTOGRAM_BUCKETS - 1 && span > bounds[at])
        at++;
    atomic_fetch_add_explicit(&h->buckets[at], 1, memory_order_relaxed);
    atomic_fetch_add_explicit(&h->sum, span, memory_order_relaxed);
}

/** Bytes left in a buffer of @p size after @p used; 0 when it is full. */
static size_t space_left(size_t used, size_t size)
{
    return used < size ? size - used : 0;
}

static size_t print_one(const histogram_t *h, char *to, size_t size)
{
    long long count = 0;
    size_t used = (size_t)snprintf(to, size, "# HELP %s %s\n# TYPE %s histogram\n", h->name, h->help, h->name);
    for (int i = 0; i < HISTOGRAM_BUCKETS; i++) {
        count += atomic_load_explicit(&h->buckets[i], memory_order_relaxed);
        char bound[24] = "+Inf";
        if (i < HISTOGRAM_BUCKETS - 1)
            snprintf(bound, sizeof(bound), "%lld", (long long)bounds[i]);
        used += (size_t)snprintf(space_left(used, size) ? to + used : NULL, space_left(used, size),
                                 "%s_bucket{le=\"%s\"} %lld\n", h->name, bound, count);
    }
    used += (size_t)snprintf(space_left(used, size) ? to + used : NULL, space_left(used, size),
                             "%s_sum %lld\n%s_count %lld\n", h->name,
                             (long long)atomic_load_explicit(&h->sum, memory_order_relaxed), h->name, count);
    return used;
}

size_t histogram_print(char *to, size_t size)
{
    size_t used = 0;
    for (const histogram_t *h = first; h; h = h->next)
        used += print_one(h, space_left(used, size) ? to + used : NULL, space_left(used, size));
    return used < size ? used : size;
}
