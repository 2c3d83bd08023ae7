/** @file engine_poller.h
 * Reads what decode engines say they run, in turn and at a bounded rate: for the scheduler, which counts what it
 * granted and what boxes tell it, and would else not see what a box that is cut off from it places.
 *
 * Engines' answers lag by up to a second. Everything runs in the loop's thread.
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

/** An engine has answered. @param held requests that it runs, with the pieces of their memory; borrowed for the call */
typedef void (*engine_poller_fn_t)(void *arg, const char *engine, const sched_engine_request_t *held, uint32_t n);

/* ===== Public functions ===== */

/** @param client borrowed, as the loop @param gate borrowed: which engines take questions, and what their answers say
 * of that @param fn runs for every answer */
engine_poller_t *engine_poller_create(loop_t *loop, web_client_t *client, call_gate_t *gate, engine_poller_fn_t fn,
                                      void *arg);
/** Questions under way get no answer. */
void engine_poller_destroy(engine_poller_t *reader);

/** Call every tick. @param backends all of them, borrowed; none while this box does not lead
 *  @param often what engines run may differ from what is counted */
void engine_poller_tick(engine_poller_t *reader, const backend_t *backends, uint32_t n, bool often, tc_time_t now);

#endif
