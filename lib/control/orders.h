/** @file orders.h
 * Reconciles engines with the configuration: a thread of the leader that polls each engine, waits until it is drained,
 * and orders it to change.
 *
 * An order carries a fencing token (term, index): the leader's term and the
 * version of the configuration. Engines that check it refuse older orders. To
 * those that do not, a new leader sends nothing until the lease of its
 * predecessor and the timeout of an order have passed, and it reads the state of
 * an engine before it orders.
 */
#ifndef TRACKCOVE_CONTROL_ORDERS_H
#define TRACKCOVE_CONTROL_ORDERS_H

#include <stdbool.h>

#include "common/time.h"
#include "gen/schema.h"

/** Longest time from the check of the lease to the arrival or failure of an order. */
#define ORDERS_TIMEOUT_MS 1500
/** A leader sends no orders to engines that do not check the fencing token until it has led for this long. */
#define ORDERS_UNFENCED_DELAY_MS (ORDERS_TIMEOUT_MS + 500)

typedef struct orders orders_t;

/** Input of one pass of the orders' thread, filled in by the control box's loop. */
typedef struct {
    bool leads; /**< whether this box leads with a valid lease */
    uint64_t term, version;
    tc_time_t leader_since;
    engine_cfg_t *engines; /**< heap copy, freed by the orders' thread */
    uint32_t n;
} orders_view_t;

/** Fills in the view. Called from the orders' thread; blocks until the loop has run it. */
typedef void (*orders_view_fn_t)(void *arg, orders_view_t *view);

/** Start the thread. It lives as long as the process. */
orders_t *orders_create(orders_view_fn_t get_view, void *arg);

#endif
