/** @file replica_internal.h
 * Shared by replica.c (the log and its state machine), replica_view.c (queries of the log's state), replica_proposals.c
 * (documents and evacuations until they are in force), replica_members.c (membership), replica_reports.c (answers to
 * reports), replica_follow.c (lists received from the leader), replica_saved_list.c (the list in the data folder),
 * replica_quarantine.c (quarantined requests) and replica_streams.c (versions that began streams); no other file
 * includes it.
 */
#ifndef TRACKCOVE_CLUSTER_REPLICA_INTERNAL_H
#define TRACKCOVE_CLUSTER_REPLICA_INTERNAL_H

/* ===== Dependencies ===== */

#include <urcu/list.h>

#include "cluster/evacuations.h"
#include "cluster/quarantine.h"
#include "cluster/replica.h"
#include "cluster/roster.h"
#include "cluster/stream_versions.h"
#include "control/log_writer.h"
#include "lists/list_budget.h"
#include "lists/list_replica.h"

/* ===== Constants ===== */

/** Within this time all boxes report to a new leader: until then it sends no list of boxes, ms. */
enum { ROSTER_SETTLE_MS = 1000 };

/* ===== Types ===== */

/** A back end that has ended, or has announced itself that it is leaving. */
typedef struct {
    char id[CODEC_STR_SIZE];
    tc_time_t until; /* published as leaving until then */
    bool by_list;    /* and beyond, until a list read after that time shows otherwise */
} withdrawn_t;

/** What a proposal waits for. */
typedef enum {
    PROPOSAL_LOGGED,   /**< for its last entry to be committed by a majority */
    PROPOSAL_COMMITTED /**< for every live box to act on it */
} proposal_state_t;

/** What an operator proposes. */
typedef enum { PROPOSAL_DOCUMENT, PROPOSAL_EVACUATION } proposal_kind_t;

/** A pending proposal. */
typedef struct {
    struct cds_list_head node;
    proposal_kind_t kind;
    proposal_state_t state;
    uint64_t version;     /**< of the document, or of the evacuations once the order is committed */
    uint64_t index, term; /**< of its last entry, while that is not committed */
    tc_time_t begun, deadline;
    bool left_behind; /**< a box that was there fell silent before it acted on it */
    replica_done_t done;
    void *arg;
} replica_proposal_t;

/** Lists received from the leader while this box is a follower. */
typedef struct {
    list_publisher_t *entries;
    list_replica_t *backends_replica, *entries_replica; /* backends_replica writes to replica_t.published */
    tc_time_t poll_at;
    bool waiting, is_stopped;
} follow_t;

/** A quarantine that is kept on disk and sent to the other members. */
typedef struct {
    quarantine_t *table;
    const char *file_name;   /**< in the data folder */
    uint64_t saved;          /**< quarantine_version that is on disk */
    tc_time_t save_at;       /**< earliest time of the next write of it */
    tc_time_t replicated_at; /**< when it was last sent to the other members */
    uint64_t sent;           /**< quarantine_seq up to which changes were sent */
    uint64_t resent;         /**< up to which they were sent again, for members that were away */
} kept_quarantine_t;

struct replica {
    loop_t *loop;
    peer_net_t *net;
    replica_options_t options;
    char **seeds;
    raft_t *raft;
    log_writer_t *writer;
    raft_member_t self;
    raft_members_t known_members; /* from the answer to a request to join */
    document_t document;
    document_t previous; /* the document before, for boxes that are still fetching it */
    evacuations_t evacuations;
    document_download_t arrival; /* the document whose pieces the log is applying */
    uint64_t arrival_first;      /* index of its first entry */
    uint64_t applied;            /* index of the last entry applied to this state */
    size_t since_snapshot;       /* bytes of the entries applied since the last snapshot */
    unsigned entries_since;      /* number of these entries */
    tc_time_t applied_at;        /* when the last of them was applied */
    struct cds_list_head proposals;
    tc_time_t join_at, announce_at;
    bool was_leader, had_lease, was_voter; /* at the last check */
    bool is_running_actions;
    roster_t *roster;
    leader_sched_t *leader_sched;
    backend_t *backends; /* from discovery */
    uint32_t backends_n;
    list_publisher_t *published; /* the same, with engines that change their role and withdrawn back ends as leaving */
    list_budget_t budget;        /* for sending lists */
    follow_t follow;
    leaving_cfg_t *role_changes; /* engines that change their role */
    uint32_t role_changes_n;
    tc_time_t backends_fetched; /* 0: never */
    bool is_published;          /* published is up to date */
    tc_time_t published_at;     /* when published was made last */
    tc_time_t saved_at;         /* when the list was last written to the data folder */
    tc_time_t saved_as_of;      /* backends_fetched of that list */
    GArray *withdrawn;          /* withdrawn_t: may still be listed as ready */
    kept_quarantine_t requests; /* that crash back ends */
    kept_quarantine_t parts;    /* of prompts, which do */
    stream_versions_t *streams;
    uint64_t streams_sent; /* stream_versions_seq up to which changes were sent to the other members */
    store_t *store;        /* owned by the writer */
};

/* Each part calls only those above it here. replica.c calls all, and none calls it. */

/* ===== replica_view.c ===== */

/** Whether this box is the leader, or its lease lapsed so recently that no other box can have been elected. */
bool replica_retains_leadership(const replica_t *r);

/* ===== replica_proposals.c ===== */

/** As replica_propose and replica_evacuate, without running the log's actions. */
void proposals_add_document(replica_t *r, const document_t *document, replica_done_t done, void *arg);
void proposals_add_evacuation(replica_t *r, const char *dc, bool on, replica_done_t done, void *arg);
/** The last entry of a proposal was applied. @param version that boxes have to act on before the proposal is
 *  acknowledged @param accepted false: this version exists with other content */
void proposals_applied(replica_t *r, const log_entry_t *entry, uint64_t version, bool accepted, tc_time_t now);
/** Complete proposals that every box acts on or whose deadline has passed. Call when boxes may have acted on a newer
 *  version, or are gone. */
void proposals_check(replica_t *r, tc_time_t now);
/** A box has fallen silent, see roster_expire. @param arg the replica */
void proposals_box_silent(void *arg, const uint64_t *acted_on);
/** End all proposals: committed ones with TC_OK, the others with @p rc. */
void proposals_fail(replica_t *r, int rc);

/* ===== replica_members.c ===== */

/** Write the initial image to the data folder, if this box is among the seeds. */
int members_bootstrap(const replica_options_t *options, tc_err_t *err);
/** Ask all boxes that may know the leader to add this box, when it is no member or was removed while it was away. */
void members_join(replica_t *r, tc_time_t now);
/** Send the members to seeds that are none: after a restart of everything those may know no member. */
void members_announce(replica_t *r, tc_time_t now);
/** Answer another box's request to join. */
void members_answer_join(replica_t *r, peer_call_t call, const msg_join_t *message, tc_time_t now);

/* ===== replica_quarantine.c ===== */

/** Create the quarantines from the data folder. */
void replica_quarantine_load(replica_t *r);
void replica_quarantine_free(replica_t *r);
/** Write the quarantines to disk and send them to the other members, when due. */
void replica_quarantine_tick(replica_t *r, tc_time_t now);
/** Merge the quarantines of another control box. */
void replica_quarantine_receive(replica_t *r, const msg_held_requests_t *message, tc_time_t now);

/* ===== replica_streams.c ===== */

/** Send the streams that are new here to the other members, and forget old ones. */
void replica_streams_tick(replica_t *r, tc_time_t now);

/* ===== replica_follow.c ===== */

/** Start following. Call once the self address is set. */
void follow_start(replica_t *r);
/** Send no more requests. Call before the net is destroyed. */
void follow_stop(replica_t *r);
/** Call after the net is destroyed. */
void follow_free(replica_t *r);
/** Poll the leader, and request pieces of lists, when due. */
void follow_tick(replica_t *r, tc_time_t now);
/** Answer another box's request for a piece of a list. */
void follow_answer_list(replica_t *r, peer_call_t call, const msg_fetch_list_t *asked, tc_time_t now);

/* ===== replica_saved_list.c ===== */

/** Load the list from the data folder. Call once the net exists. */
void saved_list_load(replica_t *r);
/** Write the list to the data folder, when due. */
void saved_list_tick(replica_t *r, tc_time_t now);

/* ===== replica_reports.c ===== */

/** Take over the list of back ends that the leader has sent. */
void reports_take_backends(replica_t *r);

/** Publish withdrawn back ends as they are listed again, once their time is over. */
void reports_expire_withdrawn(replica_t *r, tc_time_t now);
/** Rebuild the published list, if it is out of date and its minimum interval has passed. */
void reports_tick(replica_t *r, tc_time_t now);

/** Answer a box's report with what the box lacks. */
void reports_answer(replica_t *r, peer_call_t call, const msg_report_t *report, tc_time_t now);
/** Notify all boxes that a document was accepted, or that evacuations have changed. */
void reports_publish(replica_t *r);
/** Answer a request for a piece of the current or the previous document. */
void reports_answer_piece(replica_t *r, peer_call_t call, const msg_fetch_piece_t *asked);

#endif
