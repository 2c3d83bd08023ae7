/** @file histogram.h
 * Process-wide latency histograms, exported with the counters as Prometheus text.
 *
 * Define one per module with HISTOGRAM_DEFINE; it registers the histogram before main.
 */
#ifndef TRACKCOVE_COMMON_HISTOGRAM_H
#define TRACKCOVE_COMMON_HISTOGRAM_H

/* ===== Dependencies ===== */

#include <stdatomic.h>
#include <stddef.h>

#include "common/time.h"

/* ===== Types ===== */

/** Upper bounds of the buckets, in ms; the last bucket is unbounded. */
#define HISTOGRAM_BOUNDS                                                                                               \
    {                                                                                                                  \
        2, 5, 10, 25, 50, 100, 200, 300, 500, 900, 1500, 3000, 6000, 14000                                             \
    }
enum { HISTOGRAM_BUCKETS = 15 };

/** Counts of durations by bucket. Any thread. */
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

/** Counts one duration, in ms. */
void histogram_add(histogram_t *histogram, tc_time_t span);

/** Writes all histograms as Prometheus text. @return bytes written, truncated at @p size */
size_t histogram_print(char *to, size_t size);

#endif
