/** @file read_schedule.h
 * When a box reads the platform's list of back ends by itself. Ordinarily the leader reads it for all; while nobody
 * tells it, some boxes read it and the others hear of it from them, so that the calls of all boxes together grow
 * neither with their number nor with the length of the list. Pure: the time and the lot go in.
 */
#ifndef TRACKCOVE_FORWARD_READ_SCHEDULE_H
#define TRACKCOVE_FORWARD_READ_SCHEDULE_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"

/* ===== Constants ===== */

/** A list older than this is stale: within the time in which a leaving back end must be left alone. */
#define READ_SCHEDULE_STALE_MS 2200

/* ===== Types ===== */

/** Zeroed before its first use. */
typedef struct {
    bool stale;
    tc_time_t next; /**< not before then, once stale */
} read_schedule_t;

/** What the readings of all boxes cost. */
typedef struct {
    uint32_t boxes; /**< how many there are, this one included; 0 when it has heard of none */
    unsigned calls; /**< that a reading takes, at least 1 */
    double rate;    /**< calls a second that the platform takes from all boxes together, above 0 */
} read_schedule_load_t;

/* ===== Public functions ===== */

/** Whether to read the list now; it counts as read then.
 * @param age of the list, in ms; TC_TIME_NEVER when this box has none
 * @param draw by lot */
bool read_schedule_is_due(read_schedule_t *turn, tc_time_t age, const read_schedule_load_t *load, uint32_t draw,
                          tc_time_t now);

#endif
