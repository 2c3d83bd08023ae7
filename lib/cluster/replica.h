/** @file replica.h
 * A control box of a cluster that finds itself: the replicated log over peers that are learnt, not configured.
 *
 * Founding: every box that is told to found, and stands among the seeds, starts
 * from the same first image, whose members are the seeds; it needs no agreement
 * and leaves one cluster whichever of them dies meanwhile. Everyone else joins
 * through whoever answers. A box whose disk was lost comes back as a new member.
 *
 * Everything runs in the loop's thread.
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

/** How to take part. Strings are borrowed for the call of replica_create. */
typedef struct {
    const char *peer_listen; /**< IP:port, by which this member is known to the others */
    const char *peer_bind;   /**< where that port is opened; NULL: there */
    const char *http_addr;   /**< where operators reach it */
    const char *data_dir;
    uint32_t voters_wanted;   /**< enough to bear the losses that the deployment is to bear */
    bool bootstrap;           /**< first start of the whole system */
    const char *const *seeds; /**< peer addresses, NULL at the end */
    retry_rules_t retries;    /**< what settings allow all boxes together */
    cap_rules_t caps;         /**< what they allow beyond usage caps */
    limit_rules_t limits;
    double list_bytes_s; /**< that this box gives to telling lists, above 0: a part of its link */
    /** A newer document was accepted, or one was there at the start; may be NULL. */
    void (*on_document)(void *arg, replica_t *replica, const document_t *document);
    void *arg;
} replica_options_t;

/** How an offered document fared. @param rc 0 when it is accepted or was before; TC_E_CONFLICT: other content has this
 *  version; TC_E_NOT_LEADER, TC_E_FULL: nothing was changed; TC_E_BROKEN, TC_E_TIMEOUT: unknown */
typedef void (*replica_done_t)(void *arg, int rc);

/* ===== Public functions ===== */

/** @return NULL with @p err */
replica_t *replica_create(loop_t *loop, const replica_options_t *options, tc_err_t *err);
/** After loop_run returned. */
void replica_destroy(replica_t *replica);

/** The box is to stop: if it leads, another one is to lead at once. */
void replica_resign(replica_t *replica);

/** New seeds, copied. */
void replica_set_seeds(replica_t *replica, const char *const *seeds);

/** Offer a document. @p done runs once, perhaps at once. */
void replica_propose(replica_t *replica, const document_t *document, replica_done_t done, void *arg);

/** Have a data centre evacuated, or end that. What stands already is accepted too. @param dc a name that is known to be
 *  one @param done runs once, perhaps at once; as for replica_propose, but never with TC_E_CONFLICT */
void replica_evacuate(replica_t *replica, const char *dc, bool on, replica_done_t done, void *arg);
/** What is evacuated, as certain as replica_read; NULL where that is. */
const evacuations_t *replica_evacuations(const replica_t *replica);

/** The document, when this box leads and no other can have accepted a newer one; else NULL. Borrowed until the next
 *  call. */
const document_t *replica_read(const replica_t *replica);

/** Whether this box leads, with its lease. */
bool replica_is_leader(const replica_t *replica);
/** Members as this box knows them; borrowed until the loop's next turn. */
const raft_members_t *replica_members(const replica_t *replica);
/** Whether some box is known to lead. */
bool replica_has_leader(const replica_t *replica);
/** Where operators reach the leader, "" when unknown. */
const char *replica_leader_http(const replica_t *replica);

/** The list of back ends, as this box's discovery has it: told to the boxes that report here. Copied. */
void replica_set_backends(replica_t *replica, const backend_t *list, uint32_t n, tc_time_t fetched);

/** Engines that are changing their role, by id: the scheduler gives them nothing new, and boxes are told that they
 * leave. Copied. */
void replica_set_role_changes(replica_t *replica, const leaving_cfg_t *list, uint32_t n);
/** Whether a back end takes such calls of a box, by what boxes reported to this leader of its answers. */
bool replica_takes_calls(const replica_t *replica, const char *box, const char *backend, call_purpose_t purpose);

/** Term of this box's leadership, 0 while it has no lease. */
uint64_t replica_term(const replica_t *replica);
/** The list of back ends as it was set last, without regard to engines that change their role; borrowed until it is
 *  set again. NULL with 0 before the first. */
const backend_t *replica_backends(const replica_t *replica, uint32_t *n);
/** Whether engines should be asked often what they run: as sched_needs_reconcile. */
bool replica_is_in_doubt(const replica_t *replica);
/** An engine told what it runs: as sched_set_engine_requests. */
void replica_update_engine(replica_t *replica, const char *engine, const sched_engine_request_t *held, uint32_t n);
/** What the pools of engines have to do: as leader_sched_pool_load. */
const char *replica_work(const replica_t *replica, pool_load_t *work);

/** The services with engines that the document names: for the scheduler beside the leader. */
void replica_set_services(replica_t *replica, const leader_sched_service_t *list, uint32_t n);
/** What cold back ends of services bear, as the document says. */
void replica_set_cold_rates(replica_t *replica, const cold_rate_t *list, uint32_t n);
/** The workspaces with usage caps that the document names. */
void replica_set_caps(replica_t *replica, const cap_cfg_t *list, uint32_t n);

#endif
