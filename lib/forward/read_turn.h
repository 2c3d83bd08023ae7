/** @file read_turn.h
 * When a box reads the platform's list of back ends by itself. Ordinarily the leader reads it for all; while nobody
 * tells it, some boxes read it and the others hear of it from them, so that the calls of all boxes together do not grow
 * with their number. Pure: the time and the lot go in.
 */
#ifndef TRACKCOVE_FORWARD_READ_TURN_H
#define TRACKCOVE_FORWARD_READ_TURN_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"

/* ===== Constants ===== */

/** A list older than this is stale: within the time in which a leaving back end must be left alone. */
#define READ_TURN_STALE_MS 2200

/* ===== Types ===== */

/** Zeroed before its first use. */
typedef struct {
    bool stale;
    tc_time_t next; /**< not before then, once stale */
} read_turn_t;

/* ===== Public functions ===== */

/** Whether to read the list now; it counts as read then.
 * @param age of the list, in ms; TC_TIME_NEVER when this box has none
 * @param boxes how many boxes there are, this one included; 0 when it has heard of none
 * @param draw by lot */
bool read_turn_is_due(read_turn_t *turn, tc_time_t age, uint32_t boxes, uint32_t draw, tc_time_t now);

#endif
