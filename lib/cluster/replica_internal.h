/** @file replica_internal.h
 * Shared by replica.c (the log and what it applies), replica_members.c (who takes part in it) and replica_reports.c
 * (what boxes are told); nobody else includes it.
 */
#ifndef TRACKCOVE_CLUSTER_REPLICA_INTERNAL_H
#define TRACKCOVE_CLUSTER_REPLICA_INTERNAL_H

/* ===== Dependencies ===== */

#include <urcu/list.h>

#include "cluster/replica.h"
#include "cluster/roster.h"
#include "control/log_writer.h"

/* ===== Types ===== */

/** An offer on its way through the log. */
typedef struct {
    struct cds_list_head node;
    uint64_t index, term;
    tc_time_t deadline;
    replica_done_t done;
    void *arg;
} offer_t;

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
    uint64_t applied;       /* index that the document stands at */
    size_t since_snapshot;  /* bytes of commands applied since */
    unsigned entries_since; /* their number */
    tc_time_t applied_at;   /* when the last one was */
    struct cds_list_head offers;
    tc_time_t join_at, announce_at;
    bool led; /* at the last look */
    bool pumping;
    roster_t *roster;
    placing_t *placing;
    backend_t *backends; /* as discovery has them */
    backend_t *told;     /* the same, with engines that change their role as leaving */
    uint32_t backends_n;
    uint64_t told_hash;    /* list_hash of what is told */
    leaving_cfg_t *moving; /* engines that change their role */
    uint32_t moving_n;
    tc_time_t backends_fetched; /* 0: never */
};

/* ===== replica_members.c ===== */

/** Make the data folder that of a founder, when the box is among them. */
int members_found(const replica_options_t *options, tc_err_t *err);
/** Ask whoever may know the leader to take this box in: it is no member, or was dropped while it was away. */
void members_join(replica_t *r, tc_time_t now);
/** Seeds may be boxes that are no members and know none, after a restart of everything: tell them. */
void members_announce(replica_t *r, tc_time_t now);
/** Another box asks to be taken in. */
void members_answer(replica_t *r, peer_call_t call, const msg_join_t *message, tc_time_t now);

/* ===== replica_reports.c ===== */

/** Answer a box's report with what it lacks. */
void reports_answer(replica_t *r, peer_call_t call, const msg_report_t *report, tc_time_t now);
/** Tell all boxes at once that a document was accepted. */
void reports_publish(replica_t *r);

#endif
