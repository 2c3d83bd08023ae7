/** @file figure.h
 * Numbers from outside (members of JSON objects, header fields), converted to the types in which they are used.
 *
 * What was checked is what is used: a number above 0 never becomes 0, and one that is too large becomes the largest
 * that the type or the caller allows, instead of wrapping.
 */
#ifndef TRACKCOVE_COMMON_FIGURE_H
#define TRACKCOVE_COMMON_FIGURE_H

/* ===== Dependencies ===== */

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"

/* ===== Constants ===== */

/** Longest time span; longer ones are as good as none. */
#define FIGURE_SPAN_MAX_MS (24 * 3600 * 1000)
/** Largest rate, burst or capacity: a bound so high is none, and sums and products of a few stay finite. */
#define FIGURE_AMOUNT_MAX 1e12
/** Most tokens that a text, a prompt or a part of one states: more than any engine holds, and 40 of them add up without
 *  a wrap in 32 bits. */
#define FIGURE_TOKENS_MAX 100000000u

/* ===== Members of JSON objects ===== */

/* A member that is missing, null or no number counts as @p fallback, and one below 0 as 0. */

/** Whether a member is missing or null, or else a number of 0 or more. */
bool figure_is_valid(const json_t *object, const char *key);
/** A number of things, rounded up, at most @p most. */
uint32_t figure_count(const json_t *object, const char *key, uint32_t fallback, uint32_t most);
/** A time span in ms, rounded up, at most FIGURE_SPAN_MAX_MS. @param unit ms per unit of the member */
tc_time_t figure_span(const json_t *object, const char *key, double fallback, double unit);
/** A rate or size, at most FIGURE_AMOUNT_MAX. */
double figure_amount(const json_t *object, const char *key, double fallback);

/* ===== Texts ===== */

/** Parse a decimal number without a sign, at most @p most.
 * @return the position after it, or NULL with @p value untouched when @p text does not begin with a digit */
const char *figure_parse(const char *text, uint64_t most, uint64_t *value);

#endif
