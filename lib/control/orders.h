/** @file orders.h
 * Makes engines be what the configuration says: the leader's thread that looks, waits until they are drained, and
 * orders.
 *
 * An order carries the fence (term, index): the leader's term and the version of
 * the configuration. Engines that check it refuse what is older. To those that
 * don't, a new leader sends nothing until the old one's lease and the time limit
 * of an order are over, and it asks what they run first.
 */
#ifndef TRACKCOVE_CONTROL_ORDERS_H
#define TRACKCOVE_CONTROL_ORDERS_H

#include <stdbool.h>

#include "common/time.h"
#include "gen/schema.h"

/** Longest time an order takes, from the check of the lease to its arrival or failure. */
#define ORDERS_TIMEOUT_MS 1500
/** A leader younger than this does not order engines that don't check the fence. */
#define ORDERS_UNFENCED_DELAY_MS (ORDERS_TIMEOUT_MS + 500)

typedef struct orders orders_t;

/** What the orders' thread must know each time it looks; filled in by the control box's loop. */
typedef struct {
    bool leads; /**< with a valid lease */
    uint64_t term, version;
    tc_time_t leader_since;
    engine_cfg_t *engines; /**< heap copy, freed by the orders' thread */
    uint32_t n;
} orders_view_t;

/** Fill in the view; called from the orders' thread, blocks for the loop. */
typedef void (*orders_view_fn_t)(void *arg, orders_view_t *view);

/** Start the thread. It lives as long as the process. */
orders_t *orders_create(orders_view_fn_t get_view, void *arg);

#endif
