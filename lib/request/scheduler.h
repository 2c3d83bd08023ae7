/** @file scheduler.h
 * The shell around scheduler cores: hosts those cells whose lease this box holds.
 *
 * Runs in the loop's thread; calls to engines run in the entry's workers.
 */
#ifndef TRACKCOVE_REQUEST_SCHEDULER_H
#define TRACKCOVE_REQUEST_SCHEDULER_H

#include "request/entry.h"
#include "sched/sched.h"

scheduler_t *scheduler_create(entry_t *entry);

/** The configuration or the list of leaving servers changed. */
void scheduler_configure(scheduler_t *scheduler);

/** Leases as the control leader told them; those of this box run until @p until. */
void scheduler_update_leases(scheduler_t *scheduler, const cell_lease_t *cells, uint32_t n, tc_time_t until);

/** Stop hosting everything and take nothing new. */
void scheduler_release(scheduler_t *scheduler);

/** A message for the scheduler came in. @return whether it was one */
bool scheduler_handle_message(scheduler_t *scheduler, peer_call_t call, uint32_t type, const void *message);

/** Epoch under which every entry hosts its own share, policy "share"; leases count from 1. */
#define SCHEDULER_SHARE_EPOCH 0

/** How busy the leased cells are, for the beat; a heap array for free(). Loop's thread. @return how many */
uint32_t scheduler_collect_loads(scheduler_t *scheduler, cell_load_t **loads);

/** Append what the hosted cells look like. */
void scheduler_describe(scheduler_t *scheduler, json_t *out);

#endif
