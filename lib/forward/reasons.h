/** @file reasons.h
 * Why a request was refused for want of room, as the log says it: read again by account.h.
 */
#ifndef TRACKCOVE_FORWARD_REASONS_H
#define TRACKCOVE_FORWARD_REASONS_H

#define REASON_REFUSED "refused by the scheduler"
#define REASON_NOT_IN_TIME "no room in time" /* the scheduler did not answer while waiting was of use */
#define REASON_NO_ROOM "no engine has room"  /* that was asked to set memory aside */

/** Back ends that are left have reached the limits that they name. */
#define REASON_LIMITED "back ends have reached their limits"

/** All back ends asked this box for no calls. */
#define REASON_BACKING_OFF "back ends asked for no calls"

/** All data centres with back ends for it are evacuated. */
#define REASON_EVACUATED "its data centres are evacuated"

/* Back ends ended under it: see cluster/quarantine.h. */
#define REASON_QUARANTINED "back ends ended whenever they ran it" /* it is sent to none */
#define REASON_BACKEND_ENDED "another back end ended under it"    /* this box repeats it no more */

#endif
