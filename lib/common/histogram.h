/** @file histogram.h
 * Latency histograms of our own, shown beside the counters as Prometheus text.
 *
 * Define one per module with HISTOGRAM_DEFINE; it registers itself before main.
 */
#ifndef TRACKCOVE_COMMON_HISTOGRAM_H
#define TRACKCOVE_COMMON_HISTOGRAM_H

/* ===== Dependencies ===== */

#include <stdatomic.h>
#include <stddef.h>

#include "common/time.h"

/* ===== Types ===== */

/** Upper bounds of the buckets, in ms; the last bucket has none. */
#define HISTOGRAM_BOUNDS                                                                                               \
    {                                                                                                                  \
        2, 5, 10, 25, 50, 100, 200, 300, 500, 900, 1500, 3000, 6000, 14000                                             \
    }
enum { HISTOGRAM_BUCKETS = 15 };

/** Counts of spans by length. Counted from any thread. */
typedef struct histogram {
    const char *name; /**< ends in _ms */
    const char *help;
    atomic_llong buckets[HISTOGRAM_BUCKETS];
    atomic_llong sum;
    struct histogram *next;
} histogram_t;

/* ===== Public functions ===== */

/** Define a static histogram @p var. */
#define HISTOGRAM_DEFINE(var, name_, help_)                                                                            \
    static histogram_t var = {.name = (name_), .help = (help_)};                                                       \
    __attribute__((constructor)) static void var##_register(void)                                                      \
    {                                                                                                                  \
        histogram_register(&var);                                                                                      \
    }

/** Called by HISTOGRAM_DEFINE, before main. */
void histogram_register(histogram_t *histogram);

/** Count one span, in ms. */
void histogram_add(histogram_t *histogram, tc_time_t span);

/** Write all as Prometheus text. @return bytes written, cut at @p size */
size_t histogram_print(char *to, size_t size);

#endif
