/* Queries of the state of the log and its leader. The other parts call these; this file calls none of them. */

#include "cluster/replica_internal.h"

/* ===== Constants ===== */

/** A leader whose lease has just lapsed goes on answering reports and queries for as long as no other box can have been
 *  elected: voters that have answered it vote for no other box within RAFT_ELECTION_MIN_MS of that. The 20 ms allow for
 *  clock drift. On full links, lapses of 25 to 50 ms occurred twice a second; without the grace period, each made 300
 *  boxes place requests by themselves, and the scheduler start again. */
enum { LEADERSHIP_GRACE_MS = RAFT_ELECTION_MIN_MS - 20 };

/* ===== Public functions ===== */

bool replica_is_leader(const replica_t *r)
{
    return log_writer_leads(r->writer, r->raft, tc_time_now());
}

bool replica_retains_leadership(const replica_t *r)
{
    const bool acts = !log_writer_is_stalled(r->writer);
    /* A new leader acts only once it has held the lease. */
    return acts && raft_quorum_age(r->raft, tc_time_now()) < (r->was_leader ? LEADERSHIP_GRACE_MS : RAFT_LEASE_MS);
}

const document_t *replica_read(const replica_t *r)
{
    /* Guarantee: reads are linearizable. While this box holds the lease, no other box can have accepted anything newer,
     * and everything committed before its term has been applied. */
    if (!replica_is_leader(r) || raft_view(r->raft).applied < raft_view(r->raft).commit)
        return NULL;
    return &r->document;
}

const evacuations_t *replica_evacuations(const replica_t *r)
{
    return replica_read(r) ? &r->evacuations : NULL;
}

admission_view_t *replica_admission(const replica_t *r)
{
    return replica_retains_leadership(r) ? leader_sched_view(r->leader_sched, replica_is_leader(r), tc_time_now())
                                         : NULL;
}

const raft_members_t *replica_members(const replica_t *r)
{
    return raft_members(r->raft);
}

bool replica_has_leader(const replica_t *r)
{
    return log_writer_leader(r->writer, r->raft) != 0;
}

const char *replica_leader_http(const replica_t *r)
{
    const raft_member_t *const leader = raft_find_member(r->raft, log_writer_leader(r->writer, r->raft));
    return leader ? leader->http : "";
}

uint64_t replica_term(const replica_t *r)
{
    return replica_is_leader(r) ? raft_view(r->raft).term : 0;
}

const backend_t *replica_backends(const replica_t *r, uint32_t *n)
{
    *n = r->backends_n;
    return r->backends;
}
