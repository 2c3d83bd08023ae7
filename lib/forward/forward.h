/** @file forward.h
 * Forwards requests from callers to back ends, and the answers back, complete or not at all.
 *
 * A request is routed, placed (on a prefill and a decode engine where the service has them, otherwise on one back end),
 * sent and answered. A request that must run at most once is sent to further back ends only until one may have begun
 * it. It is refused with 429 or 503 only while no back end can have run it.
 *
 * All functions run in the loop's thread.
 */
#ifndef TRACKCOVE_FORWARD_FORWARD_H
#define TRACKCOVE_FORWARD_FORWARD_H

/* ===== Dependencies ===== */

#include "cap/cap_shares.h"
#include "cluster/quarantine.h"
#include "cluster/reporter.h"
#include "common/retry_budget.h"
#include "forward/fleet.h"
#include "forward/route.h"
#include "web/web_client.h"
#include "web/web_server.h"

/* ===== Types ===== */

typedef struct forwarder forwarder_t;

/** Identity and settings of the box. */
typedef struct {
    const char *box;      /**< name of the box */
    uint64_t incarnation; /**< differs with each start of the box */
    const char *dc;       /**< data centre of the box */
    retry_rules_t retries;
    tc_time_t silence_timeout_ms; /**< a resumable stream moves to another back end after a silence of this long, when
                                     its route has no gap target; ms */
    tc_time_t config_fresh_ms;    /**< without an answer of a leader for this long, the box may not have the newest
                                     configuration, and no longer reports a route or key as unknown; ms */
    cap_rules_t caps;
    limit_rules_t limits;
    egress_t *egress; /**< of the client's connections; borrowed; NULL: all are direct */
} forwarder_options_t;

/* ===== Public functions ===== */

/** @p fleet and @p client are borrowed; strings of @p options too. */
forwarder_t *forwarder_create(loop_t *loop, fleet_t *fleet, web_client_t *client, const forwarder_options_t *options);

/** Must not be called while requests are in flight. */
void forwarder_destroy(forwarder_t *forwarder);

/** Routes new requests by @p table, of which a reference is taken. NULL: no configuration is known. */
void forwarder_set_routes(forwarder_t *forwarder, route_table_t *table);
/** The routes, the back ends or their limits have changed: requests that waited for them continue. */
void forwarder_on_change(forwarder_t *forwarder);
/** Uses the scheduler, which runs beside the leader of the control boxes. Without it, or while it does not answer, the
 *  box places requests locally. */
void forwarder_set_scheduler(forwarder_t *forwarder, reporter_t *reporter);
/** Stops the box, which ends at @p end. From now on a request begins only before @p last, and only if it is expected to
 *  be over by @p end. Others are refused as not run, with a Retry-After that sends the caller to another box at once.
 *  Requests in flight continue. */
void forwarder_stop(forwarder_t *forwarder, tc_time_t last, tc_time_t end);
/** Refuses all requests that no back end can have begun: the box ends now. */
void forwarder_refuse_waiting(forwarder_t *forwarder);
/** Sets the number of boxes by the newest list; 0: no list has been received. */
void forwarder_set_boxes(forwarder_t *forwarder, unsigned boxes);
/** Requests that are quarantined because back ends ended while running them, for the reports. Owned by the forwarder.
 */
quarantine_t *forwarder_quarantine(forwarder_t *forwarder);
/** Usage of capped workspaces at this box, for the reports. Owned by the forwarder. */
cap_shares_t *forwarder_caps(forwarder_t *forwarder);
/** Fills in what the box learnt from answers of back ends: limits, limits_hash, limits_used, cold_used, notices,
 * suspect parts of prompts and, while services have several versions, streams of the report. The arrays are for free().
 */
void forwarder_fill_report(forwarder_t *forwarder, msg_report_t *report);
/** Applies the versions of back ends that have left, in a leader's answer to a report. Call before its lists are
 * applied: requests that waited for a list continue then. */
void forwarder_take_versions(forwarder_t *forwarder, const msg_report_ack_t *ack);
/** Applies the limits in a leader's answer to a report. @return whether another report should follow at once */
bool forwarder_apply_limits(forwarder_t *forwarder, const msg_report_ack_t *ack);
/** Number of requests in flight. */
unsigned forwarder_in_flight(const forwarder_t *forwarder);

/** A web_handler_t. @param arg the forwarder */
void forwarder_handle(void *arg, web_exchange_t *exchange, const web_request_t *request);

#endif
