/** @file load_reading.h
 * Load that back ends state in their answers, and an estimate of each back end's speed made from it.
 *
 * A statement is "running,waiting,slots" or "running,waiting,slots,pace". The pace is stated by back ends that share
 * their machine with other programs: the time that work takes now, in percent of the usual. It changes several times a
 * second. Source: the header of answers, which the adapter in platform/ names; it is not trusted.
 *
 * Pure: no I/O, no clock. Not thread-safe.
 */
#ifndef TRACKCOVE_BACKEND_LOAD_READING_H
#define TRACKCOVE_BACKEND_LOAD_READING_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"

/* ===== Constants ===== */

/** Largest number of requests or slots that a statement may name. */
#define LOAD_READING_COUNT_MAX 1000000u
/** Range of a stated pace, percent. */
#define LOAD_READING_PACE_MIN 10u
#define LOAD_READING_PACE_MAX 10000u
/** Pace of a back end that has its machine to itself, percent. */
#define LOAD_READING_PACE_USUAL 100u
/** Age from which a stated pace no longer counts, ms. Paces change more often than that. */
#define LOAD_READING_EXPIRY_MS 1000

/* ===== Types ===== */

/** What one answer stated. */
typedef struct {
    bool stated;      /**< false: nothing, or nothing that can be read; the rest is 0 */
    uint32_t running; /**< requests, the answered one included or not */
    uint32_t waiting; /**< requests */
    uint32_t slots;   /**< requests that it processes at once, more than 0 */
    uint32_t pace;    /**< percent; 0: not stated */
} load_reading_t;

/** Estimate of one back end. Plain data, set up by load_estimate_init; its fields are private. */
typedef struct {
    double pace;          /* percent, moving average */
    tc_time_t pace_at;    /* time of the newest reading with a pace; TC_TIME_NEVER: none */
    double service_ms;    /* at the usual pace, moving average; 0: unknown */
    tc_time_t reading_at; /* time of the newest reading; TC_TIME_NEVER: none */
    uint32_t slots;       /* as last stated; 0: never */
    uint32_t beyond;      /* requests there that the owner did not send, by the newest reading */
} load_estimate_t;

/* ===== Public functions ===== */

/** Parses a statement. @param text may be NULL @return with stated false unless it has three or four numbers in range
 */
load_reading_t load_reading_parse(const char *text);

void load_estimate_init(load_estimate_t *estimate);
/** Applies a reading. @param sent requests that the owner of the estimate has at the back end, as counted when the
 *  answer was made */
void load_estimate_add_reading(load_estimate_t *estimate, const load_reading_t *reading, uint32_t sent, tc_time_t now);
/** Applies the duration of an answered call that did not queue at the back end. @param took_ms more than 0 */
void load_estimate_add_answer(load_estimate_t *estimate, double took_ms, tc_time_t now);

/** Pace now, percent: returns to the usual one when no reading came for a while. */
double load_estimate_pace(const load_estimate_t *estimate, tc_time_t now);
/** Expected duration of a call that does not queue, at the present pace, ms. @param otherwise if nothing is known */
double load_estimate_service_ms(const load_estimate_t *estimate, double otherwise, tc_time_t now);
/** Requests at the back end that the owner did not send, by the newest reading; 0 without one. */
uint32_t load_estimate_others(const load_estimate_t *estimate);
/** Whether the back end has ever stated a pace. */
bool load_estimate_is_shared(const load_estimate_t *estimate);
/** Age of the newest reading; TC_TIME_NEVER for none. */
tc_time_t load_estimate_age(const load_estimate_t *estimate, tc_time_t now);

#endif
