/** @file chooser.h
 * Source of decisions for randomised tests: a seeded generator or the input bytes of a fuzzer.
 */
#ifndef TRACKCOVE_TESTS_CHOOSER_H
#define TRACKCOVE_TESTS_CHOOSER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
    GRand *random; /* NULL: decisions come from bytes */
    const uint8_t *bytes;
    size_t size, at; /* length of bytes; offset of the next one */
} chooser_t;

/** Returns a number in [0, n), or 0 when n is 0 or the fuzzer's bytes are used up. */
static inline uint32_t choose(chooser_t *c, uint32_t n)
{
    if (n <= 1)
        return 0;
    if (c->random)
        return (uint32_t)g_rand_int_range(c->random, 0, (gint32)n);
    uint32_t value = 0;
    for (int i = 0; i < (n > 256 ? 2 : 1) && c->at < c->size; i++)
        value = value << 8 | c->bytes[c->at++];
    return value % n;
}

/** Returns true with probability 1/n. */
static inline bool once_in(chooser_t *c, uint32_t n)
{
    return choose(c, n) == n - 1;
}

/** Whether decisions come from a fuzzer's bytes and these are used up. */
static inline bool chooser_empty(const chooser_t *c)
{
    return !c->random && c->at >= c->size;
}

#endif
