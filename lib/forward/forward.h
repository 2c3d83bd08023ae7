/** @file forward.h
 * Forwarded requests: from a caller to the back ends that serve it, and the answer back, whole or not at all.
 *
 * A request is routed, placed (a prefill and a decode engine where the service
 * has them, else one back end), sent, and answered. What must run at most once is
 * sent on only until a back end may have begun it. A refusal with 429 or 503 is
 * given only while no back end can have run the request.
 *
 * Everything runs in the loop's thread.
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

/** What a forwarder knows of its box. */
typedef struct {
    const char *box;      /**< name of this box */
    uint64_t incarnation; /**< of this start of it */
    const char *dc;       /**< data centre of this box */
    retry_rules_t retries;
    tc_time_t silence_timeout_ms; /**< a stream that may be taken up elsewhere is, after a silence of this long, where
                              its route names no pause; ms */
    tc_time_t config_fresh_ms; /**< a box that no leader answered for so long may not know of the newest configuration,
                           so it says of no request that there is no such route or key; ms */
    cap_rules_t caps;
    limit_rules_t limits;
} forwarder_options_t;

/* ===== Public functions ===== */

/** @p fleet and @p client are borrowed; strings of @p options too. */
forwarder_t *forwarder_create(loop_t *loop, fleet_t *fleet, web_client_t *client, const forwarder_options_t *options);

/** Only when no request is under way. */
void forwarder_destroy(forwarder_t *forwarder);

/** Requests from now on are routed by @p table; a reference is taken. NULL: none is known. */
void forwarder_set_routes(forwarder_t *forwarder, route_table_t *table);
/** The routes or the back ends have changed: requests that waited for them go on. */
void forwarder_on_change(forwarder_t *forwarder);
/** Ask the scheduler beside the leader of the control boxes for placements; without it, or while it does not answer,
 *  the box places by itself. */
void forwarder_set_scheduler(forwarder_t *forwarder, reporter_t *reporter);
/** The box is to end at @p end. From now on a request is begun only before @p last, and when it is expected to be over
 * by the end; others are refused as not run, and their callers sent to another box at once. Those under way go on. */
void forwarder_stop(forwarder_t *forwarder, tc_time_t last, tc_time_t end);
/** So many boxes are there now, by the newest list; 0: none has come yet. */
void forwarder_set_boxes(forwarder_t *forwarder, unsigned boxes);
/** What the box knows of requests under which back ends end: for its reports. Lives as long as the forwarder. */
quarantine_t *forwarder_quarantine(forwarder_t *forwarder);
/** What the box lets in of workspaces with usage caps: for its reports. Lives as long as the forwarder. */
cap_shares_t *forwarder_caps(forwarder_t *forwarder);
/** What leaders are to know of back ends by their answers, for a report: fills in its limits, limits_hash, limits_used
 *  and notices, for free(). */
void forwarder_fill_report(forwarder_t *forwarder, msg_report_t *report);
/** A leader answered that report. @return whether it is to be told more at once */
bool forwarder_apply_limits(forwarder_t *forwarder, const msg_report_ack_t *ack);
/** Requests under way. */
unsigned forwarder_in_flight(const forwarder_t *forwarder);

/** A web_handler_t; @p arg is the forwarder. */
void forwarder_handle(void *arg, web_exchange_t *exchange, const web_request_t *request);

#endif
