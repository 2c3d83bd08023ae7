/** @file slot_depth.h
 * Number of tickets that a back end gets beyond its slots, by the measured delay of messages. A ticket occupies no slot
 * while its grant, or the report of its end, is under way. By Little's law such tickets number completions per ms x
 * mean delay in ms, and a back end whose slots are all used completes slots / service time.
 *
 * Source of the delay are ended tickets: the time from the grant to the message that ends them, less the duration of
 * the call, which the box measures. A grant that comes later than the box waits for it is superseded by a repeated call
 * or a withdrawal, and its ticket ends without a call; it counts with all its time, since else the longest delays would
 * be missing. Tickets that no message ends do not count.
 *
 * Pure: no I/O, no clock. Not thread-safe.
 */
#ifndef TRACKCOVE_ADMISSION_SLOT_DEPTH_H
#define TRACKCOVE_ADMISSION_SLOT_DEPTH_H

/* ===== Dependencies ===== */

#include <stdint.h>

#include "common/time.h"

/* ===== Constants ===== */

/** Fewest tickets beyond the slots: the transfers between box and back end, which the measured duration of a call
 *  includes, and a round trip to the leader of a few ms. */
#define SLOT_EXTRA 1
/** Time constant of the average delay, ms: about as long as a change on a link lasts. */
#define SLOT_DEPTH_WINDOW_MS 1000.0
/** Longest delay that one ticket counts with, ms: a process that was suspended must not outweigh all others. */
#define SLOT_DEPTH_DELAY_MAX_MS 1000
/** A back end that refused a call beyond its slots and SLOT_EXTRA gets no more than these for this long, ms: the length
 *  of a burst. */
#define SLOT_REFUSED_MS 5000
/** After that its tickets grow by one per this time, ms. A refusal of the first one arrives within it, so that one call
 *  is refused and not as many as the delay allows. */
#define SLOT_DEPTH_STEP_MS 1000

/* ===== Types ===== */

/** Delays of the tickets of one pool, weighted by their age. Zeroed: none is known. Its fields are private. */
typedef struct {
    double sum_ms, count;
    tc_time_t at; /* of these sums */
} slot_depth_t;

/* ===== Public functions ===== */

/** Adds a ticket that a message of its box has ended. @param held_ms since its grant @param took_ms duration of its
 *  call as stated by the box, not trusted: one longer than @p held_ms gives a delay of 0 */
void slot_depth_add(slot_depth_t *depth, tc_time_t held_ms, uint32_t took_ms, tc_time_t now);
/** Mean delay of the tickets that ended lately, ms. One more ticket without delay counts, so that a single one has half
 *  the weight, and the average returns to 0 when none ends for several time constants. */
double slot_depth_delay_ms(const slot_depth_t *depth, tc_time_t now);

/** Tickets beyond the slots: SLOT_EXTRA and slots x delay / service time, at most the number of slots, but at least
 *  SLOT_EXTRA. Rounded to the nearest number, since rounding down leaves up to one ticket less than the delay needs.
 *  @param slots at least 1 @param service_ms at the present pace, more than 0
 *  @param refused_at when the back end last refused a call beyond its slots and SLOT_EXTRA; TC_TIME_NEVER: never */
uint32_t slot_depth_extra(uint32_t slots, double delay_ms, double service_ms, tc_time_t refused_at, tc_time_t now);

#endif
