/** @file read_schedule.h
 * Decides when a box reads the platform's list of back ends itself. Normally the leader reads it for all boxes. While
 * no leader distributes it, a few boxes read it and pass it on to the others, so that the calls of all boxes together
 * grow neither with their number nor with the length of the list. No I/O, no clock: the time and a random number are
 * passed in.
 */
#ifndef TRACKCOVE_FORWARD_READ_SCHEDULE_H
#define TRACKCOVE_FORWARD_READ_SCHEDULE_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"

/* ===== Constants ===== */

/** A list older than this is stale. Less than the time within which a leaving back end must get no more requests. */
#define READ_SCHEDULE_STALE_MS 2200

/* ===== Types ===== */

/** State of one box; zero-initialised. */
typedef struct {
    bool stale;
    tc_time_t next; /**< earliest time of the next read while the list is stale */
} read_schedule_t;

/** Cost of the reads of all boxes. */
typedef struct {
    uint32_t boxes; /**< number of boxes, this one included; 0 if unknown */
    unsigned calls; /**< that a read takes, at least 1 */
    double rate;    /**< calls per second that the platform accepts from all boxes together, above 0 */
} read_schedule_load_t;

/* ===== Public functions ===== */

/** Whether to read the list now; if so, it counts as read.
 * @param age of the list, in ms; TC_TIME_NEVER when this box has none
 * @param draw a random number */
bool read_schedule_is_due(read_schedule_t *schedule, tc_time_t age, const read_schedule_load_t *load, uint32_t draw,
                          tc_time_t now);

#endif
