/** @file replica.h
 * A control box: a replica of the cluster's Raft log, whose peers are discovered from seeds instead of configured.
 *
 * Bootstrap: each box that is started with the bootstrap option and is one of the seeds starts from the same initial
 * image, whose members are the seeds. This needs no agreement, and gives a single cluster whichever of them fails
 * meanwhile. All other boxes join through any member that answers. A box that has lost its disk joins as a new member.
 *
 * Everything runs in the thread of the event loop.
 */
#ifndef TRACKCOVE_CLUSTER_REPLICA_H
#define TRACKCOVE_CLUSTER_REPLICA_H

/* ===== Dependencies ===== */

#include "backend/availability.h"
#include "cluster/document.h"
#include "cluster/leader_sched.h"
#include "control/raft.h"
#include "peer/peer.h"

/* ===== Types ===== */

typedef struct replica replica_t;

/** Options of a replica. Strings are borrowed for the call of replica_create. */
typedef struct {
    const char *peer_listen; /**< IP:port under which the other members know this one */
    const char *peer_bind;   /**< address to bind instead of peer_listen; NULL: peer_listen */
    const char *http_addr;   /**< address at which operators reach this box */
    const char *data_dir;
    uint32_t voters_wanted;   /**< 2 f + 1 to tolerate the loss of f boxes */
    bool bootstrap;           /**< first start of the whole system */
    const char *const *seeds; /**< peer addresses, NULL-terminated */
    retry_rules_t retries;    /**< limits on the retries of all boxes together */
    cap_rules_t caps;         /**< what is allowed beyond usage caps */
    limit_rules_t limits;
    double list_bytes_s; /**< bandwidth for sending lists, in bytes per second, above 0: a share of the box's link */
    /** Called when a newer document is accepted, and at the start if there is one; may be NULL. */
    void (*on_document)(void *arg, replica_t *replica, const document_t *document);
    void *arg;
} replica_options_t;

/** Outcome of a proposal. @param rc 0 when it is accepted, now or earlier; TC_E_CONFLICT: this version exists with
 * other content; TC_E_NOT_LEADER, TC_E_FULL: nothing was changed; TC_E_BROKEN, TC_E_TIMEOUT: unknown */
typedef void (*replica_done_t)(void *arg, int rc);

/* ===== Public functions ===== */

/** @return NULL with @p err */
replica_t *replica_create(loop_t *loop, const replica_options_t *options, tc_err_t *err);
/** Call after loop_run has returned. */
void replica_destroy(replica_t *replica);

/** Hand leadership over at once, if this box is the leader: it is about to stop. */
void replica_resign(replica_t *replica);

/** Replace the seeds; copied. */
void replica_set_seeds(replica_t *replica, const char *const *seeds);

/** Propose a document. @p done runs once, possibly before this returns. */
void replica_propose(replica_t *replica, const document_t *document, replica_done_t done, void *arg);

/** Start or end the evacuation of a data centre. An order that changes nothing is accepted too. @param dc name of a
 *  known data centre @param done runs once, possibly before this returns; as for replica_propose, but never with
 *  TC_E_CONFLICT */
void replica_evacuate(replica_t *replica, const char *dc, bool on, replica_done_t done, void *arg);
/** Evacuated data centres, as consistent as replica_read; NULL where that returns NULL. */
const evacuations_t *replica_evacuations(const replica_t *replica);

/** State of admission, if this box leads. Its lease may have lapsed a moment ago: the state is kept, and is of use to
 *  operators. @return for admission_view_free, or NULL */
admission_view_t *replica_admission(const replica_t *replica);

/** The document, if this box is the leader and no other box can have accepted a newer one; else NULL. Borrowed until
 *  the next call. */
const document_t *replica_read(const replica_t *replica);

/** Whether this box is the leader and holds the lease. */
bool replica_is_leader(const replica_t *replica);
/** Members known to this box; borrowed until the loop's next turn. */
const raft_members_t *replica_members(const replica_t *replica);
/** Whether a leader is known. */
bool replica_has_leader(const replica_t *replica);
/** Address at which operators reach the leader, "" when unknown. */
const char *replica_leader_http(const replica_t *replica);

/** Set the list of back ends from this box's discovery, which is sent to the boxes that report here. Copied.
 *  @param fetched when its reading began */
void replica_set_backends(replica_t *replica, const backend_t *list, uint32_t n, tc_time_t fetched);

/** Set the engines that are changing their role, by id: the scheduler gives them no new work, and boxes see them as
 * leaving. Copied. */
void replica_set_role_changes(replica_t *replica, const leaving_cfg_t *list, uint32_t n);
/** Whether a back end accepts such calls from a box, according to what boxes have reported to this leader of its
 *  answers. */
bool replica_takes_calls(const replica_t *replica, const char *box, const char *backend, call_purpose_t purpose);

/** Term of this box's leadership, 0 while it holds no lease. */
uint64_t replica_term(const replica_t *replica);
/** The list of back ends that was set last, without the changes for engines that change their role; borrowed until it
 *  is set again. NULL with 0 before the first. */
const backend_t *replica_backends(const replica_t *replica, uint32_t *n);
/** Whether engines should be asked often what they run: as sched_needs_reconcile. */
bool replica_needs_reconcile(const replica_t *replica);
/** Update what an engine has reported that it runs: as sched_set_engine_requests. */
void replica_update_engine(replica_t *replica, const char *engine, const sched_engine_request_t *held, uint32_t n);
/** Work of the pools of engines: as leader_sched_pool_load. */
const char *replica_pool_load(const replica_t *replica, pool_load_t *work);

/** Set the document's services with engines, for the scheduler on the leader. */
void replica_set_services(replica_t *replica, const leader_sched_service_t *list, uint32_t n);
/** Set the document's limits for cold back ends of services. */
void replica_set_cold_rates(replica_t *replica, const cold_rate_t *list, uint32_t n);
/** Set the document's workspaces with usage caps. */
void replica_set_caps(replica_t *replica, const cap_cfg_t *list, uint32_t n);

#endif
