/** @file engine_poller.h
 * Polls decode engines for the requests that they run, round-robin and at a bounded rate. The scheduler counts what it
 * granted and what boxes report; without polling it would miss requests placed by a box that is partitioned from it.
 *
 * Engines' answers lag by up to one second. Not thread-safe: everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_CLUSTER_ENGINE_POLLER_H
#define TRACKCOVE_CLUSTER_ENGINE_POLLER_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "backend/call_gate.h"
#include "gen/schema.h"
#include "sched/sched.h"
#include "web/web_client.h"

/* ===== Types ===== */

typedef struct engine_poller engine_poller_t;

/** Called for each valid answer of an engine. @param held the requests that it runs, with the number of memory pieces
 *  of each; borrowed for the call */
typedef void (*engine_poller_fn_t)(void *arg, const char *engine, const sched_engine_request_t *held, uint32_t n);

/* ===== Public functions ===== */

/** @param loop borrowed @param client borrowed
 *  @param gate borrowed: says which engines accept calls, and is updated from the heads of their answers
 *  @param fn called for every valid answer */
engine_poller_t *engine_poller_create(loop_t *loop, web_client_t *client, call_gate_t *gate, engine_poller_fn_t fn,
                                      void *arg);
/** Cancels the queries in flight; the callback does not run for them. */
void engine_poller_destroy(engine_poller_t *poller);

/** Sends at most one query. Call every tick. @param backends all back ends, borrowed; none while this box does not lead
 *  @param often whether the scheduler's count may differ from what the engines run: shortens the interval */
void engine_poller_tick(engine_poller_t *poller, const backend_t *backends, uint32_t n, bool often, tc_time_t now);

#endif
