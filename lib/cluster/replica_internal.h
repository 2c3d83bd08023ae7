/** @file replica_internal.h
 * Shared by replica.c (the log and what it applies), replica_view.c (what is known of it), replica_proposals.c
 * (documents on their way into force), replica_members.c (who takes part in it), replica_reports.c (what boxes are
 * told), replica_follow.c (lists as the leader tells them), replica_kept.c (the list that the data folder keeps) and
 * replica_quarantine.c (requests that are sent to no back end); nobody else includes it.
 */
#ifndef TRACKCOVE_CLUSTER_REPLICA_INTERNAL_H
#define TRACKCOVE_CLUSTER_REPLICA_INTERNAL_H

/* ===== Dependencies ===== */

#include <urcu/list.h>

#include "cluster/evacuations.h"
#include "cluster/quarantine.h"
#include "cluster/replica.h"
#include "cluster/roster.h"
#include "control/log_writer.h"
#include "lists/list_budget.h"
#include "lists/list_mirror.h"

/* ===== Types ===== */

/** A back end that has ended, or that says itself that it leaves. */
typedef struct {
    char id[CODEC_STR_SIZE];
    tc_time_t until; /* it is told as leaving, */
    bool by_list;    /* and until a list that was read then shows otherwise */
} withdrawn_t;

/** What an offer waits for. */
typedef enum {
    PROPOSAL_LOGGED,   /**< that the log has its last entry at a majority */
    PROPOSAL_COMMITTED /**< accepted: that every box that is there acts on it */
} proposal_state_t;

/** What an operator proposals. */
typedef enum { PROPOSAL_DOCUMENT, PROPOSAL_EVACUATION } proposal_kind_t;

/** An offer on its way. */
typedef struct {
    struct cds_list_head node;
    proposal_kind_t kind;
    proposal_state_t state;
    uint64_t version;     /**< of the document, or of the evacuations once the order is accepted */
    uint64_t index, term; /**< of its last entry, while it waits for the log */
    tc_time_t begun, deadline;
    replica_done_t done;
    void *arg;
} replica_proposal_t;

/** Lists as the leader tells them, while this box does not lead. */
typedef struct {
    list_feed_t *entries;
    list_mirror_t *backends_mirror, *entries_mirror; /* the first one's list is replica_t.told */
    tc_time_t ask_at;
    bool waiting, is_stopped;
} follow_t;

struct replica {
    loop_t *loop;
    peer_net_t *net;
    replica_options_t options;
    char **seeds;
    raft_t *raft;
    log_writer_t *writer;
    raft_member_t self;
    raft_members_t known; /* members as a box told that we asked to join */
    document_t document;
    document_t previous; /* the one before, for boxes that are fetching it */
    evacuations_t evacuations;
    document_download_t arrival; /* the document whose pieces the log is applying */
    uint64_t arrival_first;      /* index of its first entry */
    uint64_t applied;            /* index that all this stands at */
    size_t since_snapshot;       /* bytes of commands applied since */
    unsigned entries_since;      /* their number */
    tc_time_t applied_at;        /* when the last one was */
    struct cds_list_head proposals;
    tc_time_t join_at, announce_at;
    bool led, held; /* at the last look: this box led, and with its lease */
    bool pumping;
    roster_t *roster;
    leader_sched_t *placing;
    backend_t *backends; /* as discovery has them */
    uint32_t backends_n;
    list_feed_t *told;    /* the same, with engines that change their role as leaving */
    list_budget_t budget; /* for telling lists */
    follow_t follow;
    leaving_cfg_t *moving; /* engines that change their role */
    uint32_t moving_n;
    tc_time_t backends_fetched; /* 0: never */
    bool is_told;               /* told is up to date */
    tc_time_t told_at;          /* when it was made last */
    tc_time_t kept_at;          /* when the data folder was given the list last, */
    tc_time_t kept_as_of;       /* and as of when that was */
    GArray *withdrawn;          /* withdrawn_t: back ends that boxes found to be so, and that may be listed as ready */
    quarantine_t *quarantine;
    store_t *store;     /* the writer's */
    uint64_t held_kept; /* quarantine_version that is on disk, */
    tc_time_t keep_at;  /* no write of it before */
    tc_time_t held_at;  /* when the other members were told last, */
    uint64_t news_told; /* up to this change of it, */
    uint64_t news_turn; /* and again up to this one, for those that were away */
};

/* Each part calls those above it here, and replica.c, which calls all, is called by none. */

/* ===== replica_view.c ===== */

/** Whether this box leads, though its lease may have lapsed a moment ago: no other one can lead yet. */
bool replica_retains_leadership(const replica_t *r);

/* ===== replica_proposals.c ===== */

/** As replica_propose and replica_evacuate, but for doing what the log asks then. */
void proposals_add_document(replica_t *r, const document_t *document, replica_done_t done, void *arg);
void proposals_add_evacuation(replica_t *r, const char *dc, bool on, replica_done_t done, void *arg);
/** An entry that ends an offer was applied. @param version that boxes are to act on before the offer is acknowledged
 *  @param accepted false: other content has that version */
void proposals_applied(replica_t *r, const log_entry_t *entry, uint64_t version, bool accepted, tc_time_t now);
/** Boxes may have come to act on a newer version, or be gone. */
void proposals_check(replica_t *r, tc_time_t now);
/** End all: those that are accepted well, the others with @p rc. */
void proposals_fail(replica_t *r, int rc);

/* ===== replica_members.c ===== */

/** Make the data folder that of a founder, when the box is among them. */
int members_found(const replica_options_t *options, tc_err_t *err);
/** Ask whoever may know the leader to take this box in: it is no member, or was dropped while it was away. */
void members_join(replica_t *r, tc_time_t now);
/** Seeds may be boxes that are no members and know none, after a restart of everything: tell them. */
void members_announce(replica_t *r, tc_time_t now);
/** Another box asks to be taken in. */
void members_answer(replica_t *r, peer_call_t call, const msg_join_t *message, tc_time_t now);

/* ===== replica_quarantine.c ===== */

/** Begin with what the data folder keeps. */
void held_load(replica_t *r);
/** Keep and tell on what is held, when it is due. */
void held_tick(replica_t *r, tc_time_t now);
/** Another control box tells what is held. */
void held_hear(replica_t *r, const msg_held_requests_t *message, tc_time_t now);

/* ===== replica_follow.c ===== */

/** Begin; once the net is there. */
void follow_start(replica_t *r);
/** Nothing is asked any more: before the net is destroyed. */
void follow_stop(replica_t *r);
/** After the net is destroyed. */
void follow_free(replica_t *r);
/** Ask the leader, and for pieces, when it is time. */
void follow_tick(replica_t *r, tc_time_t now);
/** Another box asks for a piece of a list. */
void follow_answer_list(replica_t *r, peer_call_t call, const msg_fetch_list_t *asked, tc_time_t now);

/* ===== replica_kept.c ===== */

/** Begin with the list that the data folder keeps; once the net is there. */
void kept_load(replica_t *r);
/** Keep the list, when it is due. */
void kept_tick(replica_t *r, tc_time_t now);

/* ===== replica_reports.c ===== */

/** The list of back ends has changed as the leader told it. */
void reports_take_backends(replica_t *r);

/** Back ends that were withdrawn are told as they are listed after a while. */
void reports_expire_withdrawn(replica_t *r, tc_time_t now);
/** Make the list that is told anew, if it has to be and it is time. */
void reports_tick(replica_t *r, tc_time_t now);

/** Answer a box's report with what it lacks. */
void reports_answer(replica_t *r, peer_call_t call, const msg_report_t *report, tc_time_t now);
/** Tell all boxes at once that a document was accepted, or evacuations have changed. */
void reports_publish(replica_t *r);
/** A box asks for a piece of the document, or of the one before. */
void reports_answer_piece(replica_t *r, peer_call_t call, const msg_fetch_piece_t *asked);

#endif
