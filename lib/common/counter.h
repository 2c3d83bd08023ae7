/** @file counter.h
 * Process-wide counters, exported as Prometheus text at /metrics.
 *
 * Define one per module with COUNTER_DEFINE; it registers the counter before main.
 */
#ifndef TRACKCOVE_COMMON_COUNTER_H
#define TRACKCOVE_COMMON_COUNTER_H

/* ===== Dependencies ===== */

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

/* ===== Types ===== */

/** A counter (only grows) or gauge (set). Any thread. */
typedef struct counter {
    const char *name; /**< with its unit as suffix, e.g. trackcove_placed_total */
    const char *help;
    const char *type; /**< "counter" or "gauge" */
    atomic_llong value;
    struct counter *next;
} counter_t;

/* ===== Public functions ===== */

/** Define a static counter @p var. */
#define COUNTER_DEFINE(var, type_, name_, help_)                                                                       \
    static counter_t var = {.name = (name_), .help = (help_), .type = (type_)};                                        \
    __attribute__((constructor)) static void var##_register(void)                                                      \
    {                                                                                                                  \
        counter_register(&var);                                                                                        \
    }

void counter_register(counter_t *counter);

static inline void counter_add(counter_t *counter, int64_t n)
{
    atomic_fetch_add_explicit(&counter->value, n, memory_order_relaxed);
}

static inline void counter_set(counter_t *counter, int64_t n)
{
    atomic_store_explicit(&counter->value, n, memory_order_relaxed);
}

/** Writes all counters as Prometheus text. @return bytes written; counters that do not fit into @p size are left out */
size_t counter_print(char *to, size_t size);

/** @return the value of the counter with this name, or -1. For tests and status pages. */
int64_t counter_read(const char *name);

#endif
