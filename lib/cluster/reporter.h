/** @file reporter.h
 * A box's side of the control boxes: finds them from seeds, reports to their leader, and hears what is newer: the
 * document, the back ends, the other boxes, their loads.
 *
 * Control boxes are asked one after another until one answers as the leader; a
 * leader that is heard keeps being asked. What was heard is kept while nobody
 * answers: a box serves on with the newest it knows. A box that knows no document
 * yet asks all control boxes at once, and after a second without any of them other
 * boxes as well. Never goes back to an older document.
 *
 * Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_CLUSTER_REPORTER_H
#define TRACKCOVE_CLUSTER_REPORTER_H

/* ===== Dependencies ===== */

#include "cap/cap_shares.h"
#include "cluster/quarantine.h"
#include "gen/schema.h"
#include "peer/peer.h"

/* ===== Types ===== */

typedef struct reporter reporter_t;

/** What changed; each is called with what the reporter now holds, borrowed for the call. Any may be NULL. */
typedef struct {
    /** A newer document is here, borrowed until it is in force. @return whether it is in force now; if not,
     *  reporter_document_applied is to be called once it is, and until then no newer one is told */
    bool (*on_document)(void *arg, const document_t *document);
    void (*on_backends)(void *arg, const backend_t *list, uint32_t n);
    /** Other data centres are evacuated than before; they are in force when this returns. */
    void (*on_evacuations)(void *arg, const evacuations_t *evacuations);
    /** What all other boxes together have in flight, after each answer of a leader. */
    void (*on_loads)(void *arg, const backend_load_t *loads, uint32_t n, bool partial);
    /** Fill in what leaders are to know of back ends by their answers: limits, limits_hash, limits_used, notices. */
    void (*fill_report)(void *arg, msg_report_t *report);
    /** A leader answered that report: take what it tells of them. @return whether it is to be told more at once */
    bool (*take_limits)(void *arg, const msg_report_ack_t *ack);
    /** @return what this box has in flight, for free() */
    backend_load_t *(*loads)(void *arg, uint32_t *n);
    void *arg;
} reporter_events_t;

/** Where to begin; copied. */
typedef struct {
    const char *peer_listen;       /**< IP:port of this box for the others */
    const char *peer_bind;         /**< where that port is opened; NULL: there */
    const char *const *controls;   /**< peer addresses of control boxes to begin with, NULL at the end */
    const char *const *neighbours; /**< peer addresses of other boxes that may be asked, NULL at the end */
    quarantine_t *quarantine;      /**< borrowed: what it knows is told to leaders, and theirs to it; NULL for none */
    cap_shares_t *caps;            /**< the same */
} reporter_options_t;

/* ===== Public functions ===== */

/** @param self what is reported; borrowed and may change. @return NULL with @p err */
reporter_t *reporter_create(loop_t *loop, const entry_box_t *self, const reporter_options_t *options,
                            const reporter_events_t *events, tc_err_t *err);
/** After loop_run returned. */
void reporter_destroy(reporter_t *reporter);

/** New seeds, copied. */
void reporter_set_seeds(reporter_t *reporter, const char *const *controls, const char *const *neighbours);
/** The list of back ends is stale: ask for a newer one now, the leader while it is in touch, else any other box: what a
 *  few boxes read spreads from box to box. Call often; it keeps the pauses itself. */
void reporter_poll_neighbours(reporter_t *reporter, tc_time_t now);

/** Report at once: something changed that others should know. */
void reporter_report_now(reporter_t *reporter);

/** Version of the document that is in force here, 0 before the first. */
uint64_t reporter_version(const reporter_t *reporter);
/** Whether this box acts on the newest document that it can have heard of: a leader answered within the last @p age ms,
 *  and no box is known to have a newer one. */
bool reporter_is_current(const reporter_t *reporter, tc_time_t age);
/** The document that on_document told last is in force from now on. */
void reporter_document_applied(reporter_t *reporter);
/** The entry boxes that are held; borrowed until the loop's next turn. */
const entry_box_t *reporter_entries(const reporter_t *reporter, uint32_t *n);
/** How many boxes are missing from those: as missing_count. */
uint32_t reporter_missing_count(const reporter_t *reporter);
/** When the list of back ends was read from the platform, 0 for never. */
tc_time_t reporter_backends_time(const reporter_t *reporter);
/** Take a list that this box has read by itself, copied, unless the one that is held is as new.
 *  @param fetched when the reading began */
void reporter_set_backends(reporter_t *reporter, const backend_t *list, uint32_t n, tc_time_t fetched);
/** When a leader answered last, 0 for never. */
tc_time_t reporter_leader_contact_time(const reporter_t *reporter);
/** Call the leader of the control boxes. @param limit for the answer, ms
 *  @return false, with nothing done, when no leader answered the last report; else @p callback runs once, later, as
 *  with peer_call */
bool reporter_call_leader(reporter_t *reporter, uint32_t type, const void *message, tc_time_t limit,
                          peer_reply_t callback, void *arg);
/** Tell the leader, without an answer; dropped when no leader answered the last report. */
void reporter_notify_leader(reporter_t *reporter, uint32_t type, const void *message);

/** Where operators reach the leader, "" when unknown. */
const char *reporter_leader_http(const reporter_t *reporter);

#endif
