/** @file forward_version.h
 * The software version that a stream is bound to. Part of the forwarding module, as forward_internal.h, which includes
 * it.
 */
#ifndef TRACKCOVE_FORWARD_FORWARD_VERSION_H
#define TRACKCOVE_FORWARD_FORWARD_VERSION_H

/* ===== Dependencies ===== */

#include "forward/fleet.h"
#include "forward/forward.h"

/* ===== Types ===== */

typedef struct forward forward_t;
typedef struct leader_query leader_query_t;

/** The software version that a stream is bound to, which wrote its first event. */
typedef struct {
    char name[CODEC_STR_SIZE]; /* "": none, so that any may run it */
    bool is_resolved;          /* it is known whether an earlier attempt bound it, and to which version */
    leader_query_t *query;     /* in flight, or NULL */
    bool was_asked;            /* it did not know the stream, or did not answer */
    tc_time_t unknown_since;   /* when it first did not know the stream; 0: never */
} stream_binding_t;

/* ===== Functions ===== */

/** Finds out which version a stream that its caller takes up again is bound to, and ends it when that is unknown among
 *  several, or no back end of it is left. @return false when the request goes on at once; otherwise forward_continue or
 *  forward_fail follows */
bool version_resolve(forward_t *f);
/** The version that back ends of the request must have; NULL: any. */
const char *version_required(const forward_t *f);
/** Binds the stream to the version of the back end that wrote its first event. */
void version_bind(forward_t *f, const instance_t *instance);
/** Whether the request is bound to one of several versions that serve. */
bool version_restricts(const forward_t *f);
/** Waits for a back end of the stream's version while all of them are away and some are expected to return.
 *  @return whether forward_continue or forward_fail follows */
bool version_wait(forward_t *f);
/** Until when a stream that is bound may wait for an answer, or for a back end. */
tc_time_t version_wait_until(const forward_t *f);
/** Notes that the loop turns. What the box knew before the loop stood still counts as outdated. Call often. */
void version_note_turn(forwarder_t *fw);
/** Drops the query to the leader. */
void version_cancel(forward_t *f);
/** Fills in the streams of a report; list for free(). */
void version_fill_report(forwarder_t *fw, msg_report_t *report);
/** The leader has answered that report. @return whether another one should follow at once */
bool version_confirm_report(forwarder_t *fw, const msg_report_ack_t *ack);

#endif
