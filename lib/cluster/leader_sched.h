/** @file leader_sched.h
 * Runs the scheduler core (sched/sched.h) on the leader of the control boxes. The leader's lease is also the
 * scheduler's.
 *
 * A box that becomes leader starts with an empty scheduler, which learns the running requests from the entry boxes'
 * renewals before it grants anything. A box that is no longer leader destroys its scheduler. Entry boxes that get no
 * answer meanwhile place requests on their own.
 *
 * Beside placements it
 * - hands out the leader's part of the retry budgets (common/retry_budget.h), of which a new leader starts with
 *   nothing left;
 * - admits requests by the usage caps of their workspaces (cap/cap_ledger.h) before they are placed;
 * - counts the requests of all boxes to back ends with rate limits (cluster/limits.h): the scheduler grants nothing
 *   beyond an engine's limit, and boxes ask for each other request to such a back end.
 *
 * Not thread-safe: everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_CLUSTER_LEADER_SCHED_H
#define TRACKCOVE_CLUSTER_LEADER_SCHED_H

/* ===== Dependencies ===== */

#include "admission/admission_view.h"
#include "cap/cap_ledger.h"
#include "cluster/evacuations.h"
#include "cluster/leader_quarantine.h"
#include "cluster/limits.h"
#include "cluster/stream_versions.h"
#include "common/retry_budget.h"
#include "gen/schema.h"
#include "peer/peer.h"
#include "roles/balance.h"
#include "sched/sched.h"

/* ===== Types ===== */

typedef struct leader_sched leader_sched_t;

/** Engine parameters of a service whose back ends are engines. */
typedef struct {
    char service[CODEC_STR_SIZE];
    uint32_t slots;         /**< concurrent requests per engine, unless the list of back ends says otherwise */
    uint32_t memory_tokens; /**< size of an engine's KV cache, tokens */
    double link_tokens_s;   /**< throughput of an engine's link, tokens of KV cache per second */
} leader_sched_service_t;

/** Rate limit of a service's cold back ends. */
typedef struct {
    char service[CODEC_STR_SIZE];
    double rate; /**< requests per second to each, of all boxes together; > 0 */
} cold_rate_t;

/** State of this box's leadership. */
typedef struct {
    uint64_t term; /**< 0: this box does not lead */
    bool held;     /**< whether the box holds the lease now. While it does not, nothing is granted, but the scheduler's
                        state is kept: the lease may be back a few ms later, and no other box can lead meanwhile */
} leader_sched_lease_t;

/* ===== Public functions ===== */

/** @param net borrowed; used to send answers
 *  @param retries configured budget of all boxes together, copied; this module hands out the leader's part of it
 *  @param caps configured tolerance beyond usage caps, copied
 *  @param limits configured tolerance beyond rate limits of back ends, copied */
leader_sched_t *leader_sched_create(peer_net_t *net, const retry_rules_t *retries, const cap_rules_t *caps,
                                    const limit_rules_t *limits);
/** Pending calls get no answer. */
void leader_sched_destroy(leader_sched_t *leader_sched);

/** Sets the quarantine tables: requests that crashed back ends are placed apart from each other, or refused but for
 *  trial runs. */
void leader_sched_set_quarantine(leader_sched_t *leader_sched, const leader_quarantine_t *tables);
/** Sets the table of streams, borrowed, in which boxes look up the versions that began them. */
void leader_sched_set_streams(leader_sched_t *leader_sched, stream_versions_t *streams);
/** Sets the configured services that have engines; copied. */
void leader_sched_set_services(leader_sched_t *leader_sched, const leader_sched_service_t *list, uint32_t n);
/** Sets the configured rate limits of cold back ends; copied. */
void leader_sched_set_cold_rates(leader_sched_t *leader_sched, const cold_rate_t *list, uint32_t n);
/** Sets the configured usage caps of workspaces; copied. */
void leader_sched_set_caps(leader_sched_t *leader_sched, const cap_cfg_t *list, uint32_t n);
/** Handles a box's report: counts what the box admitted on its own, and fills in the state of caps and limits for it.
 *  Does nothing while this box does not lead. @param ack its lists are borrowed until the next call of any function */
void leader_sched_handle_report(leader_sched_t *leader_sched, const msg_report_t *report, msg_report_ack_t *ack,
                                tc_time_t now);
/** @return whether the engine accepts calls from the box, by the box's last report; true while this box does not
 *  schedule */
bool leader_sched_accepts_calls(const leader_sched_t *leader_sched, const char *box, const char *engine, tc_time_t now);

/** Sets the back ends as they are sent to boxes: engines that are changing their role are marked as leaving. Copied.
 *  @param fetched when the list was read from the platform */
void leader_sched_set_backends(leader_sched_t *leader_sched, const backend_t *list, uint32_t n, tc_time_t fetched);
/** The list of back ends was read again at @p fetched and is unchanged. */
void leader_sched_confirm_backends(leader_sched_t *leader_sched, tc_time_t fetched);

/** Sets the evacuated data centres: their engines get no grants and count for no pool. Copied. */
void leader_sched_set_evacuations(leader_sched_t *leader_sched, const evacuations_t *evacuations);

/** @return whether engines should be polled often for what they run, as sched_needs_reconcile */
bool leader_sched_needs_reconcile(const leader_sched_t *leader_sched, tc_time_t now);
/** Applies an engine's own list of the requests that it runs, as sched_set_engine_requests. */
void leader_sched_update_engine(leader_sched_t *leader_sched, const char *engine, const sched_engine_request_t *held,
                                uint32_t n, tc_time_t now);

/** Reads the load of the prefill and decode pools. Available while this box leads and exactly one service has engines.
 *  @return that service's name, borrowed until services are set again; "" when not available, @p load is then unset */
const char *leader_sched_pool_load(const leader_sched_t *leader_sched, pool_load_t *load);

/** State of admission: services with engines, then plain ones. @param held whether this box holds the lease now
 *  @return for admission_view_free; NULL while this box does not lead */
admission_view_t *leader_sched_view(const leader_sched_t *leader_sched, bool held, tc_time_t now);

/** Call every tick, and when the lease changes. @param boxes number of live entry boxes */
void leader_sched_tick(leader_sched_t *leader_sched, const leader_sched_lease_t *lease, uint32_t boxes, tc_time_t now);

/** @return whether messages of this type are for leader_sched_handle_message */
bool leader_sched_handles_type(uint32_t type);
/** Handles a message for the scheduler, now or later sending its answer if its type has one; TC_E_NOT_LEADER while this
 *  box does not lead. */
void leader_sched_handle_message(leader_sched_t *leader_sched, peer_call_t call, uint32_t type, const void *message,
                                 tc_time_t now);

#endif
