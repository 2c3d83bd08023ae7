/** @file box_count.h
 * Number of boxes that share a common budget. Without a leader that does the accounting, each box has an equal part.
 * Reads no clock: the caller passes the time.
 */
#ifndef TRACKCOVE_COMMON_BOX_COUNT_H
#define TRACKCOVE_COMMON_BOX_COUNT_H

/* ===== Dependencies ===== */

#include "common/time.h"

/* ===== Constants ===== */

/** Number assumed until the real one is known. After a restart of all boxes, a box that assumed to be alone would take
 *  the whole budget for itself, as would all others. */
#define BOX_COUNT_DEFAULT 90u

/* ===== Types ===== */

/** Zeroed before the first update. */
typedef struct {
    unsigned n;     /* 0: not known yet */
    tc_time_t seen; /* when n boxes were last reported */
} box_count_t;

/* ===== Public functions ===== */

/** Records that @p n boxes are present, this one included; 0 means unknown and changes nothing. A lower number takes
 *  effect only one @p window later: a box that is missing because it or the leader was cut off may still spend its
 *  part. */
void box_count_update(box_count_t *count, unsigned n, tc_time_t window, tc_time_t now);

/** @return the number of boxes, or BOX_COUNT_DEFAULT while it is unknown */
unsigned box_count_get(const box_count_t *count);

#endif
