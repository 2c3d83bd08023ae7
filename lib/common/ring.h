/** @file ring.h
 * Consistent hashing of names. Boxes that search from the position of the same key find the same few names without
 * coordination, even while other names are added and removed. No I/O.
 */
#ifndef TRACKCOVE_COMMON_RING_H
#define TRACKCOVE_COMMON_RING_H

/* ===== Dependencies ===== */

#include <stdint.h>

/* ===== Public functions ===== */

/** Position of a name on the ring, distributed evenly over all 64-bit values. */
uint64_t ring_position(const char *name);

/** Distance on the ring from @p from up to @p position; wraps around. */
static inline uint64_t ring_distance(uint64_t from, uint64_t position)
{
    return position - from;
}

#endif
