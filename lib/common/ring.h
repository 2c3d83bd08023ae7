/** @file ring.h
 * Names in a ring: where a choice among many begins by what is chosen for, boxes that know nothing of each other come
 * upon the same few names, also while others come and go. Pure.
 */
#ifndef TRACKCOVE_COMMON_RING_H
#define TRACKCOVE_COMMON_RING_H

/* ===== Dependencies ===== */

#include <stdint.h>

/* ===== Public functions ===== */

/** Place of a name, spread evenly over all numbers. */
uint64_t ring_position(const char *name);

/** How far @p place is behind @p from, once around at most. */
static inline uint64_t ring_distance(uint64_t from, uint64_t place)
{
    return place - from;
}

#endif
