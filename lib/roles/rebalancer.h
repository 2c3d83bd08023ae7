/** @file rebalancer.h
 * Moves engines between the prefill and the decode pool as load shifts. It decides by balance.h, requests the
 * engine's report, and sends it an order in the adapter's dialect.
 *
 * Only the leader of the control boxes sends orders. It uses its term as the fencing token, and waits until every
 * order of an older leader has arrived or failed. An order names the incarnation of the engine and the number of
 * orders that the engine has accepted, so that an order that is carried out late changes nothing. When an engine
 * refuses an order because it has seen a higher fencing token, no more orders are sent in this term.
 *
 * Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_ROLES_REBALANCER_H
#define TRACKCOVE_ROLES_REBALANCER_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "backend/call_gate.h"
#include "cluster/evacuations.h"
#include "gen/schema.h"
#include "peer/loop.h"
#include "roles/balance.h"
#include "web/web_client.h"

/* ===== Types ===== */

typedef struct rebalancer rebalancer_t;

/** Input of a decision. Borrowed for the call. */
typedef struct {
    uint64_t term;             /**< leadership term, 0 when this box does not lead */
    const backend_t *backends; /**< as listed by the platform */
    uint32_t backends_n;
    const evacuations_t *evacuations; /**< engines in evacuated data centres count in no pool; NULL for none */
    const char *service;              /**< service whose engines may change, "" for none */
    pool_load_t load;
} rebalancer_input_t;

/* ===== Public functions ===== */

/** @param loop borrowed @param client borrowed, for calls to engines
 *  @param gate borrowed: tells which engines accept orders, and receives the notices in their answers
 *  @param box name of this box as the sender of orders; copied
 *  @param order_delay_ms time after which no order of another leader can arrive any more, in addition to the time
 *  limit of an order
 *  @return never NULL */
rebalancer_t *rebalancer_create(loop_t *loop, web_client_t *client, call_gate_t *gate, const char *box,
                                tc_time_t order_delay_ms);
/** Call after loop_run has returned. Calls in flight are dropped. */
void rebalancer_destroy(rebalancer_t *rebalancer);

/** Decides, and starts the next step if there is one. Call every 50 to 250 ms with tc_time_now: if an engine's
 *  answer arrives and the last call is longer ago than that, no order is sent. */
void rebalancer_tick(rebalancer_t *rebalancer, const rebalancer_input_t *input, tc_time_t now);

/** Lists engines that are changing their role or are about to be ordered to; they should get no new requests.
 *  @param list receives their ids; the rest is zeroed @return number of ids, at most @p room */
uint32_t rebalancer_list_moving(const rebalancer_t *rebalancer, leaving_cfg_t *list, uint32_t room);

#endif
