/** @file availability.h
 * What a back end says of itself in its answers to one box: that it leaves, and until when it wants no calls. Pure: the
 * time goes in.
 */
#ifndef TRACKCOVE_BACKEND_AVAILABILITY_H
#define TRACKCOVE_BACKEND_AVAILABILITY_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/time.h"

/* ===== Constants ===== */

/** A back end that says in its answers that it leaves is listed so within this time. One that a list read later shows
 *  as ready has been started again under its name, or goes on. */
#define AVAILABILITY_LISTED_MS 10000

/* ===== Types ===== */

/** What a call to a back end is about. */
typedef enum {
    CALL_NEW_WORK,   /**< a request, or a question that prepares one */
    CALL_MAINTENANCE /**< what it has already, e.g. memory that nobody will use */
} call_purpose_t;

/** What one answer says. */
typedef struct {
    bool leaving;          /**< the back end leaves: it wants no new work */
    tc_time_t retry_after; /**< it wants no call of this box for so long, ms; 0: it says nothing of that */
} availability_notice_t;

/** What all answers so far say. Zeroed: nothing. */
typedef struct {
    tc_time_t leaving_since; /**< when it first said that it leaves; 0: it did not */
    tc_time_t closed_until;  /**< it wants no call of this box before; 0: it never said so */
} availability_t;

/* ===== Public functions ===== */

/** Take what an answer says that came at @p now. Of several times that it asked for the latest end counts.
 *  @return whether anything has changed */
bool availability_update(availability_t *availability, const availability_notice_t *notice, tc_time_t now);

/** The list of back ends, as read at @p fetched, shows it as one that does not leave. */
void availability_listed_ready(availability_t *availability, tc_time_t fetched);

/** Whether it wants such a call now: while it wants none at all, and new work from when it said that it leaves, it is
 *  sent nothing. */
bool availability_accepts(const availability_t *availability, call_purpose_t purpose, tc_time_t now);

/** The line of the log for news. @param backend its id */
void availability_log(const char *backend, const availability_notice_t *notice);

/** Time left for which it wants no call of this box, ms; 0: it takes calls. */
tc_time_t availability_closed_for(const availability_t *availability, tc_time_t now);

#endif
