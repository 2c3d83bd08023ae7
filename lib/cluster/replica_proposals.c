/* Proposals of operators, documents and evacuations, until they are in force: committed by the log, documents in
 * pieces, then rolled out to every box. */

#include <assert.h>
#include <glib.h>
#include <stdlib.h>

#include "cluster/replica_internal.h"
#include "common/counter.h"
#include "common/log.h"
#include "common/mutant.h"

COUNTER_DEFINE(c_unspread, "counter", "trackcove_cluster_unspread_total",
               "Documents and evacuations acknowledged while a box that was there did not act on them yet")

/* ===== Constants ===== */

enum {
    COMMIT_LIMIT_MS = 3000, /* a proposal not applied by then ends with an unknown outcome: below the timeout of
                            operators */
    /* A committed proposal is acknowledged once every live box acts on it, so that none of them depends on this leader
     * for it any more. It waits no longer than this for boxes that do not get there: below the 1 s after which
     * operators ask another box. */
    ROLLOUT_LIMIT_MS = 800,
    ROLLOUT_MS_PER_KB = 2,  /* added for the size of a document: twice the transfer time over 10 Mbit/s */
    PIECE_BYTES = 64 * 1024 /* of one entry: 5 ms on a link of 100 Mbit/s, the longest that heartbeats wait behind it */
};

/* ===== Completion ===== */

static void proposal_end(replica_proposal_t *o, int rc)
{
    cds_list_del(&o->node);
    o->done(o->arg, rc);
    g_free(o);
}

/* ===== Commit ===== */

static replica_proposal_t *proposal_add(replica_t *r, proposal_kind_t kind, uint64_t version, replica_done_t done,
                                        void *arg)
{
    replica_proposal_t *const o = g_new0(replica_proposal_t, 1);
    o->kind = kind;
    o->version = version;
    o->begun = tc_time_now();
    o->done = done;
    o->arg = arg;
    cds_list_add_tail(&o->node, &r->proposals);
    return o;
}

/** Append all pieces of a document to the log, then replicate them. */
static void propose(replica_t *r, const document_t *document, tc_time_t now)
{
    document_piece_t piece = {.head = document_head(document)};
    while (piece.offset < document->body_n) {
        const uint64_t left = document->body_n - piece.offset;
        piece.data = document->body + piece.offset;
        piece.data_n = (uint32_t)(left < PIECE_BYTES ? left : PIECE_BYTES);
        size_t size;
        char *const data = codec_pack_bytes(&document_piece_desc, &piece, &size);
        const int64_t index = raft_append(r->raft, data, size);
        assert(index > 0); /* this box is the leader: no action has run since that was checked */
        (void)index;
        free(data);
        piece.offset += piece.data_n;
    }
    raft_replicate(r->raft, now);
}

static uint64_t count_pieces(const document_t *document)
{
    return (document->body_n + PIECE_BYTES - 1) / PIECE_BYTES;
}

/** Wait for the last of the next @p entries entries. Call before they are proposed: a cluster of one member applies
 * them at once. */
static void wait_for_commit(const replica_t *r, replica_proposal_t *o, uint64_t entries, tc_time_t now)
{
    o->index = raft_view(r->raft).last_index + entries;
    o->term = raft_view(r->raft).term;
    o->deadline = now + COMMIT_LIMIT_MS;
}

static void propose_newer(replica_t *r, const document_t *document, replica_done_t done, void *arg)
{
    const tc_time_t now = tc_time_now();
    replica_proposal_t *const o = proposal_add(r, PROPOSAL_DOCUMENT, document->version, done, arg);
    wait_for_commit(r, o, count_pieces(document), now);
    propose(r, document, now);
    if (MUTANT_IS(MUTANT_EARLY_ANSWER))
        proposal_end(o, TC_OK);
}

/* ===== Rollout ===== */

static void wait_for_rollout(const replica_t *r, replica_proposal_t *o, uint64_t version, tc_time_t now)
{
    const uint64_t size = o->kind == PROPOSAL_DOCUMENT ? r->document.body_n : 0;
    o->state = PROPOSAL_COMMITTED;
    o->version = version;
    o->deadline = now + ROLLOUT_LIMIT_MS + ROLLOUT_MS_PER_KB * (tc_time_t)(size / 1024);
}

static roster_subject_t subject_of(const replica_proposal_t *o)
{
    return o->kind == PROPOSAL_EVACUATION ? ROSTER_EVACUATIONS : ROSTER_DOCUMENT;
}

/** Whether this box leads for so short a time that a box that reported to the leader before may not have found it. */
static bool awaits_first_reports(const replica_t *r, tc_time_t now)
{
    if (now - raft_view(r->raft).leader_since > ROSTER_SETTLE_MS)
        return false;
    uint32_t n;
    const entry_box_t *const boxes = list_publisher_list(r->follow.entries, &n);
    for (uint32_t i = 0; i < n; i++)
        if (!boxes[i].leaving && !roster_has(r->roster, boxes[i].box))
            return true;
    return false;
}

/** Whether a box that is there does not act on the proposal yet, or is not known to. */
static bool is_behind(const replica_t *r, const replica_proposal_t *o, tc_time_t now)
{
    return awaits_first_reports(r, now) || roster_is_behind(r->roster, subject_of(o), o->version);
}

void proposals_applied(replica_t *r, const log_entry_t *entry, uint64_t version, bool accepted, tc_time_t now)
{
    replica_proposal_t *o, *next;
    cds_list_for_each_entry_safe(o, next, &r->proposals, node) {
        if (o->state != PROPOSAL_LOGGED || o->index != entry->index)
            continue;
        /* Guarantee: the answer comes after a majority has the entry on disk. */
        if (o->term != entry->term)
            proposal_end(o, TC_E_BROKEN);
        else if (!accepted)
            proposal_end(o, TC_E_CONFLICT);
        else
            wait_for_rollout(r, o, version, now);
    }
    proposals_check(r, now);
}

void proposals_box_silent(void *arg, const uint64_t *acted_on)
{
    const replica_t *const r = arg;
    replica_proposal_t *o;
    cds_list_for_each_entry(o, &r->proposals, node)
        if (o->state == PROPOSAL_LOGGED || acted_on[subject_of(o)] < o->version)
            o->left_behind = true;
}

/** Acknowledge a committed proposal. @param all_act whether all live boxes act on it */
static void end_rollout(replica_proposal_t *o, bool all_act, tc_time_t now)
{
    const bool everywhere = all_act && !o->left_behind;
    counter_add(&c_unspread, everywhere ? 0 : 1);
    log_line_t line;
    log_begin(&line, everywhere ? LOG_INFO : LOG_WARN, everywhere ? "in_force" : "not_everywhere");
    log_str(&line, "what", o->kind == PROPOSAL_DOCUMENT ? "document" : "evacuations");
    log_int(&line, "version", (int64_t)o->version);
    log_int(&line, "took_ms", now - o->begun);
    log_end(&line);
    proposal_end(o, TC_OK);
}

void proposals_check(replica_t *r, tc_time_t now)
{
    replica_proposal_t *o, *next;
    cds_list_for_each_entry_safe(o, next, &r->proposals, node) {
        const bool late = now >= o->deadline;
        switch (o->state) {
        case PROPOSAL_LOGGED:
            if (late)
                proposal_end(o, TC_E_TIMEOUT);
            break;
        case PROPOSAL_COMMITTED:
            if (!is_behind(r, o, now))
                end_rollout(o, true, now);
            else if (late)
                end_rollout(o, false, now);
            break;
        }
    }
}

void proposals_fail(replica_t *r, int rc)
{
    const tc_time_t now = tc_time_now();
    replica_proposal_t *o, *next;
    cds_list_for_each_entry_safe(o, next, &r->proposals, node) {
        if (o->state == PROPOSAL_COMMITTED)
            end_rollout(o, !is_behind(r, o, now), now);
        else
            proposal_end(o, rc);
    }
}

/* ===== New proposals ===== */

void proposals_add_document(replica_t *r, const document_t *document, replica_done_t done, void *arg)
{
    if (!replica_is_leader(r)) {
        done(arg, TC_E_NOT_LEADER);
        return;
    }
    const tc_time_t now = tc_time_now();
    switch (document_compare(&r->document, document)) {
    case DOCUMENT_OLDER: done(arg, TC_OK); return;
    case DOCUMENT_CONFLICTS: done(arg, TC_E_CONFLICT); return;
    case DOCUMENT_SAME:
        wait_for_rollout(r, proposal_add(r, PROPOSAL_DOCUMENT, document->version, done, arg), document->version, now);
        proposals_check(r, now);
        return;
    case DOCUMENT_NEWER: break;
    }
    if (document->body_n > DOCUMENT_BODY_MAX_BYTES || !log_writer_has_room(r->writer)) {
        done(arg, TC_E_FULL);
        return;
    }
    propose_newer(r, document, done, arg);
}

void proposals_add_evacuation(replica_t *r, const char *dc, bool on, replica_done_t done, void *arg)
{
    if (!replica_is_leader(r)) {
        done(arg, TC_E_NOT_LEADER);
        return;
    }
    if (!log_writer_has_room(r->writer)) {
        done(arg, TC_E_FULL);
        return;
    }
    const tc_time_t now = tc_time_now();
    evacuation_t order = {.on = on};
    codec_copy_string(order.dc, sizeof(order.dc), dc);
    wait_for_commit(r, proposal_add(r, PROPOSAL_EVACUATION, 0, done, arg), 1, now);
    size_t size;
    char *const data = codec_pack_bytes(&evacuation_desc, &order, &size);
    const int64_t index = raft_propose(r->raft, data, size, now);
    assert(index > 0); /* this box is the leader: no action has run since that was checked */
    (void)index;
    free(data);
}
