/** @file leader_sched.h
 * The scheduler core (sched/sched.h) beside the leader of the control boxes: the leader's lease is the scheduler's.
 *
 * A box that begins to lead begins with an empty scheduler, which learns from the
 * entry boxes' renewals what is under way before it grants. Whoever leads no more
 * drops it. Entry boxes that get no answer place by themselves meanwhile.
 *
 * Beside placements it hands out the leader's part of the retry budgets
 * (common/retry_budget.h): a new leader begins with all of it spent. It lets requests in by
 * their workspaces' usage caps (cap/cap_ledger.h) before they are placed, and counts what all boxes
 * send to back ends that name limits (cluster/limits.h): no engine is granted beyond its limit, and
 * boxes ask for each other request to such a back end.
 *
 * Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_CLUSTER_LEADER_SCHED_H
#define TRACKCOVE_CLUSTER_LEADER_SCHED_H

/* ===== Dependencies ===== */

#include "cap/cap_ledger.h"
#include "cluster/evacuations.h"
#include "cluster/limits.h"
#include "cluster/quarantine.h"
#include "common/retry_budget.h"
#include "gen/schema.h"
#include "peer/peer.h"
#include "roles/balance.h"
#include "sched/sched.h"

/* ===== Types ===== */

typedef struct leader_sched leader_sched_t;

/** What the scheduler needs to know of a service whose back ends are engines. */
typedef struct {
    char service[CODEC_STR_SIZE];
    uint32_t slots;         /**< requests that an engine runs at once */
    uint32_t memory_tokens; /**< KV cache of an engine */
    double link_tokens_s;   /**< KV cache that an engine's link carries, tokens a second */
} leader_sched_service_t;

/** What a cold back end of a service bears. */
typedef struct {
    char service[CODEC_STR_SIZE];
    double rate; /**< requests a second of all boxes together, above 0 */
} cold_rate_t;

/** What this box knows of its leadership. */
typedef struct {
    uint64_t term; /**< 0: this box does not lead */
    bool held;     /**< whether it holds the lease now. Without it nothing is granted, but nothing is forgotten either:
                        it may have it again a few ms later, and nobody else can lead meanwhile */
} leader_sched_lease_t;

/* ===== Public functions ===== */

/** @param net borrowed; answers go out through it
 *  @param retries what settings allow all boxes together, copied: the leader's part of it is handed out here
 *  @param caps what they allow beyond usage caps, copied @param limits the same of requests to back ends */
leader_sched_t *leader_sched_create(peer_net_t *net, const retry_rules_t *retries, const cap_rules_t *caps,
                                    const limit_rules_t *limits);
/** Whoever waits for an answer gets none. */
void leader_sched_destroy(leader_sched_t *placing);

/** Requests under which back ends have ended are kept apart, or refused, by what @p quarantine knows; borrowed. Without
 *  it only what boxes say of their requests counts. */
void leader_sched_set_quarantine(leader_sched_t *placing, quarantine_t *quarantine);
/** The services with engines, from the configuration; copied. */
void leader_sched_set_services(leader_sched_t *placing, const leader_sched_service_t *list, uint32_t n);
/** What cold back ends of services bear, from the configuration; copied. */
void leader_sched_set_cold_rates(leader_sched_t *placing, const cold_rate_t *list, uint32_t n);
/** The workspaces with usage caps, from the configuration; copied. */
void leader_sched_set_caps(leader_sched_t *placing, const cap_cfg_t *list, uint32_t n);
/** A box reports: take what it let in by itself, and fill in what it is to know of caps and limits, borrowed until the
 * next call of any function. */
void leader_sched_handle_report(leader_sched_t *placing, const msg_report_t *report, msg_report_ack_t *ack,
                                tc_time_t now);
/** Whether the engine wants calls of the box, as far as that has reported; true where this box does not schedule. */
bool leader_sched_accepts_calls(const leader_sched_t *placing, const char *box, const char *engine, tc_time_t now);

/** The back ends, as boxes are told them: engines that change their role are leaving. Copied. @param fetched when they
 * were read from the platform */
void leader_sched_set_backends(leader_sched_t *placing, const backend_t *list, uint32_t n, tc_time_t fetched);
/** They were read again, and are the same. */
void leader_sched_confirm_backends(leader_sched_t *placing, tc_time_t fetched);

/** Engines in these data centres are granted nothing, and count for no pool; copied. */
void leader_sched_set_evacuations(leader_sched_t *placing, const evacuations_t *evacuations);

/** Whether engines should be asked often what they run: as sched_needs_reconcile. */
bool leader_sched_is_uncertain(const leader_sched_t *placing, tc_time_t now);
/** An engine told what it runs: as sched_set_engine_requests. */
void leader_sched_update_engine(leader_sched_t *placing, const char *engine, const sched_engine_request_t *held,
                                uint32_t n, tc_time_t now);

/** What the two pools have to do, while this box leads and one service alone has engines.
 *  @return that service's name, borrowed until services are set again; or "", with nothing filled in */
const char *leader_sched_pool_work(const leader_sched_t *placing, pool_load_t *work);

/** Call every tick, and when the lease changes. @param boxes entry boxes that are there */
void leader_sched_tick(leader_sched_t *placing, const leader_sched_lease_t *lease, uint32_t boxes, tc_time_t now);

/** Whether messages of this type are the scheduler's. */
bool leader_sched_handles_type(uint32_t type);
/** Take one of the scheduler's messages: it is answered, with TC_E_NOT_LEADER while this box does not lead. */
void leader_sched_handle_message(leader_sched_t *placing, peer_call_t call, uint32_t type, const void *message,
                                 tc_time_t now);

#endif
