/** @file reporter_internal.h
 * Shared by reporter.c (whom to ask, and when) and reporter_lists.c (what is held: the document, the back ends, the
 * boxes, the control boxes; taking answers over, and telling others); nobody else includes it.
 */
#ifndef TRACKCOVE_CLUSTER_REPORTER_INTERNAL_H
#define TRACKCOVE_CLUSTER_REPORTER_INTERNAL_H

/* ===== Dependencies ===== */

#include "cluster/document.h"
#include "cluster/evacuations.h"
#include "cluster/fetch.h"
#include "cluster/missing.h"
#include "cluster/reporter.h"
#include "lists/list_mirror.h"

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
    char target[CODEC_STR_SIZE]; /* of the report under way, or the next */
    unsigned turn;               /* through everyone who may know */
    unsigned failed;             /* in a row, at this target */
    bool waiting;
    bool list_asked; /* a question is under way that may bring the list of back ends: one at a time. A box that has
                        just started lacks the whole list, and a few of them at once would fill its link for longer
                        than it waits for any */
    bool hurry;      /* something changed since the report under way was sent */
    tc_time_t next_at;
    tc_time_t learn_at; /* when all are asked, while nothing is known */
    tc_time_t learn_pause;
    tc_time_t around_at; /* when another box may be asked */
    tc_time_t heard;     /* last answer of a control box */
    tc_time_t leader_heard;
    bool connected; /* a leader answered last */

    /* What is held (reporter_lists.c). */
    document_t document; /* newest that was told to the program */
    uint64_t in_force;   /* its version, or an older one until the program acts on it */
    uint64_t newest;     /* version that any box was heard to have */
    document_t later;    /* a newer one that waits for that; version 0 for none */
    evacuations_t evacuations;
    fetch_t *fetch; /* of a newer one */
    list_feed_t *backends, *entries;
    list_mirror_t *backends_mirror, *entries_mirror;
    raft_member_t *members; /* control boxes, as last told */
    uint32_t members_n;
    uint64_t members_hash;
    missing_t *missing; /* boxes that are no more among them */
    bool is_stopped;    /* nothing is fetched any more */
};

/* ===== reporter_lists.c ===== */

/* What is to be reported at once sets hurry: whoever calls looks at that. */

/** Begin with nothing; once the net is there. */
void lists_start(reporter_t *r);
/** Ask for pieces of lists that are due. */
void lists_fetch(reporter_t *r, tc_time_t now);
/** No document is fetched any more: before the net is destroyed. */
void lists_stop(reporter_t *r);
/** After the net is destroyed. */
void lists_free(reporter_t *r);

/** Take over all that an answer tells, whoever gave it. @param asked when the question was sent */
void lists_take_ack(reporter_t *r, const msg_report_ack_t *ack, tc_time_t asked);
/** The program acts on the document that it was told last. */
void lists_document_applied(reporter_t *r);
/** Take over evacuations, if they are newer: the leader waits to hear it. */
void lists_take_evacuations(reporter_t *r, const evacuations_t *told);
/** Take over who the control boxes are, unless the list is empty. */
void lists_take_members(reporter_t *r, const raft_member_t *members, uint32_t n);
/** Box @p from has that document. */
void lists_hear_head(reporter_t *r, const document_head_t *head, const char *from);

/** Say in a report what is held. */
void lists_fill_report(const reporter_t *r, msg_report_t *report);
/** Answer another box's report with what is held. */
void lists_answer(reporter_t *r, peer_call_t call, const msg_report_t *report);
void lists_answer_piece(reporter_t *r, peer_call_t call, const msg_fetch_piece_t *asked);
void lists_answer_list(reporter_t *r, peer_call_t call, const msg_fetch_list_t *asked);

#endif
