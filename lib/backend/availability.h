/** @file availability.h
 * Availability of a back end as its answers to one box state it: whether it is leaving, and until when it wants no
 * calls. No I/O, no clock: the time is passed in.
 */
#ifndef TRACKCOVE_BACKEND_AVAILABILITY_H
#define TRACKCOVE_BACKEND_AVAILABILITY_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/time.h"

/* ===== Constants ===== */

/** A back end that announces in an answer that it leaves is listed as leaving within this time. If a list that was read
 *  later shows it as ready, it has been restarted under the same name, or does not leave after all. */
#define AVAILABILITY_LISTED_MS 10000

/* ===== Types ===== */

/** Purpose of a call to a back end. */
typedef enum {
    CALL_NEW_WORK,   /**< a request, or a call that prepares one */
    CALL_MAINTENANCE /**< about work that it already has, e.g. to release memory */
} call_purpose_t;

/** Notice in one answer. */
typedef struct {
    bool leaving;          /**< the back end is leaving: it wants no new work */
    tc_time_t retry_after; /**< time for which it wants no calls of this box, ms; 0: not stated */
} availability_notice_t;

/** State by all answers so far; zero-initialised. */
typedef struct {
    tc_time_t leaving_since; /**< when it first announced that it leaves; 0: it did not */
    tc_time_t closed_until;  /**< it wants no calls of this box before then; 0: it never asked for that */
} availability_t;

/* ===== Public functions ===== */

/** Applies the notice of an answer received at @p now. If several answers ask for no calls, the latest end counts.
 *  @return whether the state has changed */
bool availability_update(availability_t *availability, const availability_notice_t *notice, tc_time_t now);

/** The list of back ends, read at @p fetched, shows it as ready. */
void availability_listed_ready(availability_t *availability, tc_time_t fetched);

/** Whether it accepts such a call now: none while it asked for no calls, and no new work once it has announced that it
 *  leaves. */
bool availability_accepts(const availability_t *availability, call_purpose_t purpose, tc_time_t now);

/** Logs a notice that changed the state. @param backend id of the back end */
void availability_log(const char *backend, const availability_notice_t *notice);

/** Remaining time for which it wants no calls of this box, ms; 0: it accepts calls. */
tc_time_t availability_closed_for(const availability_t *availability, tc_time_t now);

#endif
