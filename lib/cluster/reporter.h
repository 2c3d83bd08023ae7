/** @file reporter.h
 * A box's client of the control boxes: finds them from seeds, reports to their leader, and receives updates: the
 * document, the back ends, the other boxes and their loads.
 *
 * Control boxes are tried one after another until one answers as the leader; reports then keep going to the leader.
 * While none answers, the box goes on with the newest data that it has. A box without a document asks all control boxes
 * at once, and after a second without an answer other boxes as well. It never goes back to an older document.
 *
 * Everything runs in the thread of the event loop.
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

/** Callbacks; each gets the reporter's current data, borrowed for the call. Any may be NULL. */
typedef struct {
    /** A newer document has arrived; borrowed until it is in force. @return true: it is in force now; false:
     *  reporter_document_applied has to be called once it is, and no newer document is passed on until then */
    bool (*on_document)(void *arg, const document_t *document);
    void (*on_backends)(void *arg, const backend_t *list, uint32_t n);
    /** The set of evacuated data centres has changed, and is in force when this returns. */
    void (*on_evacuations)(void *arg, const evacuations_t *evacuations);
    /** What all other boxes together have in flight, after each answer of a leader. */
    void (*on_loads)(void *arg, const backend_load_t *loads, uint32_t n, bool partial);
    /** Fill in what back ends' answers have shown: limits, limits_hash, limits_used, notices. */
    void (*fill_report)(void *arg, msg_report_t *report);
    /** A leader has answered, before its lists are taken over: versions of back ends that have left them. */
    void (*take_versions)(void *arg, const msg_report_ack_t *ack);
    /** A leader has answered that report: take over its limits. @return whether to report again at once */
    bool (*take_limits)(void *arg, const msg_report_ack_t *ack);
    /** @return what this box has in flight, to be freed with free */
    backend_load_t *(*loads)(void *arg, uint32_t *n);
    void *arg;
} reporter_events_t;

/** Addresses and shared state to start with; strings are copied. */
typedef struct {
    const char *peer_listen;       /**< IP:port under which the others know this box */
    const char *peer_bind;         /**< address to bind instead of peer_listen; NULL: peer_listen */
    const char *const *controls;   /**< seeds: peer addresses of control boxes, NULL-terminated */
    const char *const *neighbours; /**< peer addresses of other boxes that may be asked, NULL-terminated */
    quarantine_t *quarantine;      /**< borrowed: exchanged with leaders in both directions; NULL for none */
    cap_shares_t *caps;            /**< the same */
} reporter_options_t;

/* ===== Public functions ===== */

/** @param self what is reported; borrowed, and may change. @return NULL with @p err */
reporter_t *reporter_create(loop_t *loop, const entry_box_t *self, const reporter_options_t *options,
                            const reporter_events_t *events, tc_err_t *err);
/** Call after loop_run has returned. */
void reporter_destroy(reporter_t *reporter);

/** Replace the seeds; copied. */
void reporter_set_seeds(reporter_t *reporter, const char *const *controls, const char *const *neighbours);
/** Ask for a newer list of back ends, because the present one is stale: the leader while it is connected, else any
 *  other box, so that what a few boxes have read spreads from box to box. Call often; the calls are rate-limited here.
 */
void reporter_poll_neighbours(reporter_t *reporter, tc_time_t now);

/** Report at once, because something that others need has changed. */
void reporter_report_now(reporter_t *reporter);

/** Version of the document that is in force on this box, 0 before the first. */
uint64_t reporter_version(const reporter_t *reporter);
/** Whether this box acts on the newest document that it can know of: a leader has answered within the last @p age ms,
 *  and no box is known to have a newer one. */
bool reporter_is_current(const reporter_t *reporter, tc_time_t age);
/** The document last passed to on_document is in force from now on. */
void reporter_document_applied(reporter_t *reporter);
/** The known entry boxes; borrowed until the loop's next turn. */
const entry_box_t *reporter_entries(const reporter_t *reporter, uint32_t *n);
/** Number of boxes missing from the known entry boxes: as missing_count. */
uint32_t reporter_missing_count(const reporter_t *reporter);
/** When the list of back ends was read from the platform, 0 for never. */
tc_time_t reporter_backends_time(const reporter_t *reporter);
/** Set a list that this box has read itself, copied, unless the present one is as new.
 *  @param fetched when the reading began */
void reporter_set_backends(reporter_t *reporter, const backend_t *list, uint32_t n, tc_time_t fetched);
/** When a leader last answered, 0 for never. */
tc_time_t reporter_leader_contact_time(const reporter_t *reporter);
/** How long no leader has answered, ms, without the time for which this box itself did not run: an answer that could
 *  not be read is no silence of the leader. Very long before the first answer. */
tc_time_t reporter_leader_silence(const reporter_t *reporter);
/** When the report was sent that a leader answered last, 0 for never: what the leader said is at least as new. */
tc_time_t reporter_leader_asked_time(const reporter_t *reporter);
/** Call the leader of the control boxes. @param limit time limit for the answer, ms
 *  @return false, with nothing done, when no leader answered the last report; else @p callback runs once, later, as
 *  with peer_call */
bool reporter_call_leader(reporter_t *reporter, uint32_t type, const void *message, tc_time_t limit,
                          peer_reply_t callback, void *arg);
/** Whether the leader that answered the last report understands slot_take and slot_done. One of an older version closes
 *  the connection on a message type that it does not know. */
bool reporter_leader_grants_slots(const reporter_t *reporter);
/** The same for stream_find. */
bool reporter_leader_finds_streams(const reporter_t *reporter);
/** The same for trial_take. */
bool reporter_leader_grants_trials(const reporter_t *reporter);
/** Send the leader a message without an answer; dropped when no leader answered the last report. */
void reporter_notify_leader(reporter_t *reporter, uint32_t type, const void *message);

/** Address at which operators reach the leader, "" when unknown. */
const char *reporter_leader_http(const reporter_t *reporter);

#endif
