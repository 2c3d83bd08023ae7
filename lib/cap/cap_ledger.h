/** @file cap_ledger.h
 * Caps at the leader: one count for each subject that all boxes share.
 *
 * A request that is placed is let in here before it is placed, so that its units are known exactly and at once. What
 * boxes let in by themselves (requests that nobody places, and all while no leader answers) they tell with their
 * reports, and it is taken off afterwards. Each subject has a bucket that fills at its rate; it holds the burst and a
 * part of what the rules allow beyond, and may be below 0.
 *
 * A leader that has just begun knows nothing of what was let in before, so its buckets begin with a small part of what
 * the rules allow beyond rate and burst, and fill by the rate alone for a window. Each box tells it, with its second
 * report, what it let in over the last window, whoever decided it: from then on it counts that in.
 *
 * Nothing here fails, blocks or reads the clock. Everything runs in the loop's thread.
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
    double rate;  /**< units a second, more than 0 */
    double burst; /**< units */
} cap_cfg_t;

/** What a decision rests on, for logs. */
typedef struct {
    double level; /**< units that could be let in, */
    double depth; /**< and how many there are at most; 0: the subject has no cap that is known here */
    double rate;  /**< units a second that it fills by now */
} cap_view_t;

/* ===== Public functions ===== */

cap_ledger_t *cap_ledger_create(const cap_rules_t *rules);
void cap_ledger_destroy(cap_ledger_t *ledger);

/** The caps from now on, copied; those of subjects that are there already keep their count. */
void cap_ledger_configure(cap_ledger_t *ledger, const cap_cfg_t *list, uint32_t n, tc_time_t now);
/** This box begins to lead. */
void cap_ledger_start_term(cap_ledger_t *ledger, tc_time_t now);
/** So many boxes report. Those that are missing, cut off perhaps, may still let in their parts: what remains is handed
 *  out here. */
void cap_ledger_set_boxes(cap_ledger_t *ledger, unsigned n, tc_time_t now);

/** Whether a request of @p units may be let in; then they are taken. A subject without a cap may ask anything.
 *  @param after when it would be let in, ms from now: callers that are refused one after the other are told times one
 *  behind the other, at the pace of the cap */
bool cap_ledger_take(cap_ledger_t *ledger, const char *name, double units, tc_time_t now, tc_time_t *after);
/** So many units were let in, within cap_ledger_available. */
void cap_ledger_spend(cap_ledger_t *ledger, const char *name, double units, tc_time_t now);
/** Units that may be let in now, below 0 when too many were; more than anybody asks for a subject without a cap. */
double cap_ledger_available(cap_ledger_t *ledger, const char *name, tc_time_t now);
/** A request that was let in has not run, and will not. */
void cap_ledger_refund(cap_ledger_t *ledger, const char *name, double units, tc_time_t now);
/** What the next decision rests on. */
cap_view_t cap_ledger_view(cap_ledger_t *ledger, const char *name, tc_time_t now);

/** A box tells what it let in by itself. */
void cap_ledger_apply_report(cap_ledger_t *ledger, const char *box, uint64_t incarnation, const cap_use_t *list,
                             uint32_t n, tc_time_t now);
/** What boxes are to know: subjects near their caps, or over them. Borrowed until the next call of any function. */
const cap_state_t *cap_ledger_get_states(cap_ledger_t *ledger, uint32_t *n, tc_time_t now);
/** Forget what boxes told that have been silent, at most once a second. */
void cap_ledger_tick(cap_ledger_t *ledger, tc_time_t now);

#endif
