/** @file call_gate.h
 * Which back ends take calls of a process that sends them no requests: by what their answers to it said, and by what
 * others know, whom it asks. Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_BACKEND_CALL_GATE_H
#define TRACKCOVE_BACKEND_CALL_GATE_H

/* ===== Dependencies ===== */

#include <stdint.h>

#include "backend/availability.h"
#include "gen/schema.h"

/* ===== Types ===== */

typedef struct call_gate call_gate_t;

/** Whether others know that a back end, by its id, takes such calls. */
typedef bool (*call_gate_check_fn_t)(void *arg, const char *backend, call_purpose_t purpose);

/* ===== Public functions ===== */

/** @param fn asked beside; NULL: nobody is @param arg for it */
call_gate_t *call_gate_create(call_gate_check_fn_t fn, void *arg);
void call_gate_destroy(call_gate_t *gate);

/** Whether a call may be made now. */
bool call_gate_accepts(const call_gate_t *gate, const char *backend, call_purpose_t purpose, tc_time_t now);
/** An answer of the back end said so. */
void call_gate_update(call_gate_t *gate, const char *backend, const availability_notice_t *notice, tc_time_t now);
/** These are listed, as read at @p fetched: others are forgotten. */
void call_gate_set_list(call_gate_t *gate, const backend_t *list, uint32_t n, tc_time_t fetched);

#endif
