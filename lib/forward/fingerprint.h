/** @file fingerprint.h
 * Tells whether two tries of callers ask for the same: by the method, the host, the target, the body, and whatever
 * names the caller. What a caller changes from one try to the next (its id, the time left, the last event it has) is
 * left out. Pure.
 */
#ifndef TRACKCOVE_FORWARD_FINGERPRINT_H
#define TRACKCOVE_FORWARD_FINGERPRINT_H

/* ===== Dependencies ===== */

#include "forward/dialect.h"

/* ===== Public functions ===== */

/** Never 0, so that 0 can stand for none. Two requests that differ have the same one in 1 of 2^64 cases. */
uint64_t fingerprint_of(const web_request_t *request, const dialect_request_t *facts, const char *caller);

#endif
