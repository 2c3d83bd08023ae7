/** @file reasons.h
 * Reasons for refusing a request, as they stand in the log, where account.h reads them.
 */
#ifndef TRACKCOVE_FORWARD_REASONS_H
#define TRACKCOVE_FORWARD_REASONS_H

#define REASON_REFUSED "refused by the scheduler"
#define REASON_NOT_IN_TIME "no room in time" /* the scheduler did not answer while waiting was useful */
#define REASON_NO_ROOM "no engine has room"  /* none of the engines asked for a memory reservation */

/** The leader has no slot of a plain back end for the request. */
#define REASON_NO_SLOT "no slot of a back end in time"

/** This box reaches no back end, and no other box helps. Callers may return at once, to another box. */
#define REASON_CUT_OFF "this box reaches no back end"

/** This box ends, and no back end has begun the request. Another box may take it at once. */
#define REASON_STOPPING "this box is stopping"

/** The remaining back ends have reached their rate limits. */
#define REASON_LIMITED "back ends have reached their limits"

/** All back ends are backing off: they asked this box for no calls for a while. */
#define REASON_BACKING_OFF "back ends asked for no calls"

/** All data centres with back ends for the service are evacuated. */
#define REASON_EVACUATED "its data centres are evacuated"

/** Several software versions serve, and it is not known which one began the stream. */
#define REASON_VERSION_UNKNOWN "the version that began the stream is not known"

/** No back end of the software version that began the stream is left, nor expected to return. */
#define REASON_VERSION_GONE "none of the stream's version left"

/* Back ends ended while running the request, see cluster/quarantine.h. */
#define REASON_QUARANTINED "back ends ended whenever they ran it"          /* the request is quarantined */
#define REASON_PART_QUARANTINED "back ends end under a part of its prompt" /* that part is quarantined */
#define REASON_BACKEND_ENDED "another back end ended under it"             /* this box does not retry it again */

#endif
