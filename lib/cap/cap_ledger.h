/** @file cap_ledger.h
 * Caps at the leader: one token bucket for each subject, shared by all boxes.
 *
 * A request that the leader places is admitted here first, so that its units are counted exactly and at once. Boxes
 * admit other requests themselves (those that are not placed, and all while no leader replies), state them in their
 * reports, and they are charged afterwards. A bucket fills at its subject's rate. It holds the burst and a part of what
 * the rules allow beyond, and its level may be negative.
 *
 * A new leader does not know what was admitted before. Its buckets start with a small part of what the rules allow
 * beyond rate and burst, and fill by the rate alone for one window. With its second report each box states what it
 * admitted over the last window, whoever decided it; from then on the leader counts that as well.
 *
 * No function fails, blocks or reads the clock. Runs in the loop's thread.
 */
#ifndef TRACKCOVE_CAP_LEDGER_H
#define TRACKCOVE_CAP_LEDGER_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "cap/cap.h"
#include "cap/cap_window.h"
#include "gen/schema.h"

/* ===== Types ===== */

typedef struct cap_ledger cap_ledger_t;

/** One subject's cap. */
typedef struct {
    char name[CODEC_STR_SIZE];
    double rate;  /**< units per second, above 0 */
    double burst; /**< units */
} cap_cfg_t;

/** State of a bucket, for logs. */
typedef struct {
    double level; /**< units that could be admitted */
    double depth; /**< capacity in units; 0: the subject has no known cap */
    double rate;  /**< current fill rate, units per second */
} cap_view_t;

/* ===== Public functions ===== */

cap_ledger_t *cap_ledger_create(const cap_rules_t *rules);
void cap_ledger_destroy(cap_ledger_t *ledger);

/** Sets the caps, copied; subjects in both the old and the new list keep their counts. */
void cap_ledger_configure(cap_ledger_t *ledger, const cap_cfg_t *list, uint32_t n, tc_time_t now);
/** This box becomes the leader. */
void cap_ledger_start_term(cap_ledger_t *ledger, tc_time_t now);
/** Sets how many boxes report. Missing ones may be partitioned and still admit their shares, so buckets fill only by
 *  the rest. */
void cap_ledger_set_boxes(cap_ledger_t *ledger, unsigned n, tc_time_t now);

/** Admits a request of @p units and charges them, if the cap allows it. A subject without a cap is always admitted.
 *  @param after set on refusal to the delay for a retry, ms: callers refused in a row get successive times, spaced by
 *  the rate of the cap; else 0 */
bool cap_ledger_take(cap_ledger_t *ledger, const char *name, double units, tc_time_t now, tc_time_t *after);
/** Charges units that were admitted within cap_ledger_available. */
void cap_ledger_spend(cap_ledger_t *ledger, const char *name, double units, tc_time_t now);
/** Units that may be admitted now, negative if too many were; infinite for a subject without a cap. */
double cap_ledger_available(cap_ledger_t *ledger, const char *name, tc_time_t now);
/** Refunds the units of a request that was admitted at the time @p charged, has not run and will not. Without effect
 *  when that was longer than a window ago. */
void cap_ledger_refund(cap_ledger_t *ledger, const char *name, double units, tc_time_t charged, tc_time_t now);
/** The state that the next decision uses. */
cap_view_t cap_ledger_view(cap_ledger_t *ledger, const char *name, tc_time_t now);

/** Charges what a box admitted itself, as its report states. @param incarnation of the box's process */
void cap_ledger_apply_report(cap_ledger_t *ledger, const char *box, uint64_t incarnation, const cap_use_t *list,
                             uint32_t n, tc_time_t now);
/** States to send to boxes: subjects near or over their caps. Borrowed until the next call of any function. */
const cap_state_t *cap_ledger_get_states(cap_ledger_t *ledger, uint32_t *n, tc_time_t now);
/** Drops the totals of boxes that have not reported for two windows; at most once a second. */
void cap_ledger_tick(cap_ledger_t *ledger, tc_time_t now);

#endif
