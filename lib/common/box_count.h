/** @file box_count.h
 * How many boxes share what all of them together may do: each has an equal part of it while nobody adds up.
 * No clock: the time goes in.
 */
#ifndef TRACKCOVE_COMMON_BOX_COUNT_H
#define TRACKCOVE_COMMON_BOX_COUNT_H

/* ===== Dependencies ===== */

#include "common/time.h"

/* ===== Constants ===== */

/** Boxes that a box reckons with until it has heard how many there are: after a restart of everything, each that took
 *  itself for the only one would take the whole for its own. */
#define BOX_COUNT_DEFAULT 90u

/* ===== Types ===== */

/** Zeroed before the first is heard of. */
typedef struct {
    unsigned n;     /* 0: never heard */
    tc_time_t seen; /* when that many were there last */
} box_count_t;

/* ===== Public functions ===== */

/** So many boxes are there now, this one included; 0: none was heard of, which changes nothing. A box that is missing,
 *  since it or the leader was cut off, may still spend its part, so it counts for one @p window more. */
void box_count_update(box_count_t *sharers, unsigned n, tc_time_t window, tc_time_t now);

/** How many share. @return BOX_COUNT_DEFAULT until the first is heard of */
unsigned box_count_get(const box_count_t *sharers);

#endif
