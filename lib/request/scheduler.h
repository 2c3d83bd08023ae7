/** @file scheduler.h
 * Hosts the scheduler cores of the cells whose leases this box holds.
 *
 * Runs in the loop's thread; calls to engines run in the entry's worker threads.
 */
#ifndef TRACKCOVE_REQUEST_SCHEDULER_H
#define TRACKCOVE_REQUEST_SCHEDULER_H

#include "request/entry.h"
#include "sched/sched.h"

scheduler_t *scheduler_create(entry_t *entry);

/** Applies the current configuration, list of live boxes and list of leaving servers to all hosted cells. */
void scheduler_configure(scheduler_t *scheduler);

/** Applies the cell leases that the control leader reported. Leases of this box are valid until @p until. */
void scheduler_update_leases(scheduler_t *scheduler, const cell_lease_t *cells, uint32_t n, tc_time_t until);

/** Drops all leased cells and accepts no new ones. */
void scheduler_release(scheduler_t *scheduler);

/** Handles a message from a peer. @return false when the message is not for the scheduler */
bool scheduler_handle_message(scheduler_t *scheduler, peer_call_t call, uint32_t type, const void *message);

/** Epoch of the cells that every entry hosts under policy "share"; epochs of leases start at 1. */
#define SCHEDULER_SHARE_EPOCH 0

/** Collects the load of the leased cells for the heartbeat into a heap array, which the caller frees with free().
 * Loop's thread.
 * @return number of cells */
uint32_t scheduler_collect_loads(scheduler_t *scheduler, cell_load_t **loads);

/** Appends the state of each hosted cell to the JSON array @p out. Loop's thread. */
void scheduler_describe(scheduler_t *scheduler, json_t *out);

#endif
