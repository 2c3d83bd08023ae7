/** @file reporter_internal.h
 * Shared by reporter.c (which box to ask, and when) and reporter_lists.c (the data that this box has: the document, the
 * back ends, the entry boxes, the control boxes; merging answers, and answering others); no other file includes it.
 */
#ifndef TRACKCOVE_CLUSTER_REPORTER_INTERNAL_H
#define TRACKCOVE_CLUSTER_REPORTER_INTERNAL_H

/* ===== Dependencies ===== */

#include "cluster/document.h"
#include "cluster/evacuations.h"
#include "cluster/fetch.h"
#include "cluster/missing.h"
#include "cluster/reporter.h"
#include "lists/list_replica.h"

/* ===== Types ===== */

struct reporter {
    loop_t *loop;
    peer_net_t *net;
    const entry_box_t *self;
    reporter_events_t events;
    quarantine_t *quarantine; /* or NULL */
    cap_shares_t *caps;       /* or NULL */
    char **controls;          /* seeds */
    char **neighbours;
    char leader[CODEC_STR_SIZE];
    char target[CODEC_STR_SIZE]; /* of the current report, or the next */
    unsigned turn;               /* round-robin position in the boxes to ask */
    unsigned failed;             /* consecutive failures at this target */
    bool waiting;
    bool list_requested; /* a query is in flight whose answer may contain the list of back ends: one at a time. A box
                            that has just started lacks the whole list, and a few copies of it at once would fill its
                            link for longer than the timeout of each */
    bool report_due;     /* something has changed since the current report was sent */
    tc_time_t next_at;
    tc_time_t discover_at; /* when all control boxes are asked, while nothing is known */
    tc_time_t discover_pause;
    tc_time_t poll_at;         /* earliest time of the next query to another box */
    tc_time_t control_contact; /* last answer of a control box */
    tc_time_t leader_contact;  /* last answer of a leader */
    tc_time_t stalled;         /* ms since that answer for which this box did not run */
    tc_time_t ticked;          /* last turn of the timer */
    tc_time_t leader_asked;    /* when the report was sent that it answered */
    bool connected;            /* the last report was answered by a leader */
    bool grants_slots;         /* which understands slot_take */
    bool finds_streams;        /* which understands stream_find */
    bool grants_trials;        /* which understands trial_take */

    /* Data of this box (reporter_lists.c). */
    document_t document; /* newest that was passed to the program */
    uint64_t in_force;   /* its version, or an older one until the program acts on it */
    uint64_t newest;     /* highest version that any box has announced */
    document_t pending;  /* a newer one that waits until document is in force; version 0 for none */
    evacuations_t evacuations;
    fetch_t *fetch; /* of a newer document */
    list_publisher_t *backends, *entries;
    list_replica_t *backends_replica, *entries_replica;
    raft_member_t *members; /* control boxes, as last received */
    uint32_t members_n;
    uint64_t members_hash;
    missing_t *missing; /* boxes that have disappeared from entries */
    bool is_stopped;    /* nothing is fetched any more */
};

/* ===== reporter_lists.c ===== */

/* Functions here set report_due when there is something to report at once; their callers check it. */

/** Start with no data. Call once the net exists. */
void lists_start(reporter_t *r);
/** Request the pieces of lists that are due. */
void lists_fetch(reporter_t *r, tc_time_t now);
/** Stop fetching. Call before the net is destroyed. */
void lists_stop(reporter_t *r);
/** Call after the net is destroyed. */
void lists_free(reporter_t *r);

/** Merge an answer from any box. @param asked when the query was sent */
void lists_take_ack(reporter_t *r, const msg_report_ack_t *ack, tc_time_t asked);
/** The program acts on the document last passed to it. */
void lists_document_applied(reporter_t *r);
/** Take over evacuations, if they are newer: the leader waits for this box to report them. */
void lists_take_evacuations(reporter_t *r, const evacuations_t *received);
/** Replace the known control boxes, unless the list is empty. */
void lists_take_members(reporter_t *r, const raft_member_t *members, uint32_t n);
/** Box @p from has announced that it has that document. */
void lists_receive_head(reporter_t *r, const document_head_t *head, const char *from);

/** Fill a report with the versions and hashes of this box's data. */
void lists_fill_report(const reporter_t *r, msg_report_t *report);
/** Answer another box's report with this box's data. */
void lists_answer(reporter_t *r, peer_call_t call, const msg_report_t *report);
void lists_answer_piece(reporter_t *r, peer_call_t call, const msg_fetch_piece_t *asked);
void lists_answer_list(reporter_t *r, peer_call_t call, const msg_fetch_list_t *asked);

#endif
