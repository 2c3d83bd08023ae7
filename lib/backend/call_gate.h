/** @file call_gate.h
 * Which back ends accept calls of a process that sends them no requests (status queries, releases): by their answers to
 * this process, and by an optional further check. Runs in the loop's thread.
 */
#ifndef TRACKCOVE_BACKEND_CALL_GATE_H
#define TRACKCOVE_BACKEND_CALL_GATE_H

/* ===== Dependencies ===== */

#include <stdint.h>

#include "backend/availability.h"
#include "gen/schema.h"

/* ===== Types ===== */

typedef struct call_gate call_gate_t;

/** Further check whether a back end accepts such calls. @param backend its id */
typedef bool (*call_gate_check_fn_t)(void *arg, const char *backend, call_purpose_t purpose);

/* ===== Public functions ===== */

/** @param fn further check, NULL for none @param arg passed to @p fn */
call_gate_t *call_gate_create(call_gate_check_fn_t fn, void *arg);
void call_gate_destroy(call_gate_t *gate);

/** Whether a call may be made now. */
bool call_gate_accepts(const call_gate_t *gate, const char *backend, call_purpose_t purpose, tc_time_t now);
/** Applies the notice of an answer of the back end, received at @p now. */
void call_gate_update(call_gate_t *gate, const char *backend, const availability_notice_t *notice, tc_time_t now);
/** Sets the list of back ends, read at @p fetched: the state of all others is dropped. */
void call_gate_set_list(call_gate_t *gate, const backend_t *list, uint32_t n, tc_time_t fetched);

#endif
