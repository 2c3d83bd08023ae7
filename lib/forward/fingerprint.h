/** @file fingerprint.h
 * Hash that is equal for two attempts at the same request. It covers the method, the host, the target, the body and the
 * caller. What a caller changes from one attempt to the next (its id, the time left, the last event it has) is left
 * out. No I/O, no state.
 */
#ifndef TRACKCOVE_FORWARD_FINGERPRINT_H
#define TRACKCOVE_FORWARD_FINGERPRINT_H

/* ===== Dependencies ===== */

#include "forward/dialect.h"

/* ===== Public functions ===== */

/** @param caller name of the caller, or NULL @return never 0, so that 0 can stand for none. Two different requests
 *  collide with a probability of 1 in 2^64. */
uint64_t fingerprint_of(const web_request_t *request, const dialect_request_t *facts, const char *caller);

#endif
