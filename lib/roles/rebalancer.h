/** @file rebalancer.h
 * Moves engines between the prefill and the decode pool as load shifts: decides on balance.h, looks at the engine, and
 * orders it by the adapter's dialect.
 *
 * Only the leader of the control boxes orders, with its term as fence, and not
 * before every order of an older leader has arrived or failed. An order names
 * the start of the engine it is for and how many orders that engine has taken,
 * so that one that is carried out late changes nothing. A refusal that says that
 * somebody else has a higher fence ends all orders of this term.
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

/** What a look rests on. Borrowed for the call. */
typedef struct {
    uint64_t term;             /**< of the leadership, 0 when this box does not lead */
    const backend_t *backends; /**< as the platform lists them */
    uint32_t backends_n;
    const evacuations_t *evacuations; /**< engines there count for no pool; NULL for none */
    const char *service;              /**< whose engines may change, "" for none */
    pool_load_t load;
} rebalancer_input_t;

/* ===== Public functions ===== */

/** @param loop borrowed @param client borrowed, for calls to engines
 *  @param gate borrowed: which engines take orders, and what their answers say of that
 *  @param box names this box as the one that orders; copied
 *  @param order_delay_ms ms after which orders of another leader can't arrive any more, beside the time of an order
 * itself
 *  @return never NULL */
rebalancer_t *rebalancer_create(loop_t *loop, web_client_t *client, call_gate_t *gate, const char *box,
                                tc_time_t order_delay_ms);
/** After loop_run returned; orders under way are dropped. */
void rebalancer_destroy(rebalancer_t *rebalancer);

/** Look, and begin the next step if there is one. Call every 50 to 250 ms, with tc_time_now: a box that finds on an
 *  engine's answer that it has not looked for longer does not order. */
void rebalancer_tick(rebalancer_t *rebalancer, const rebalancer_input_t *input, tc_time_t now);

/** Engines that are changing their role, or are about to be asked to: they should get nothing new.
 *  @param list filled in with their ids, zeroed behind them @return how many, @p room at most */
uint32_t rebalancer_list_moving(const rebalancer_t *rebalancer, leaving_cfg_t *list, uint32_t room);

#endif
