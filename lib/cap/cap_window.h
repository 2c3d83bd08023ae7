/** @file cap_window.h
 * Counter of admitted units over a sliding window, in slices. No clock: the time is passed in.
 */
#ifndef TRACKCOVE_CAP_WINDOW_H
#define TRACKCOVE_CAP_WINDOW_H

/* ===== Dependencies ===== */

#include "common/time.h"

/* ===== Types ===== */

enum {
    CAP_SLICES = 16, /**< of a window */
    CAP_KEPT =
        CAP_SLICES + 1, /**< slices stored: the newest one is incomplete, so that one more is needed for a window */
    CAP_WINDOW_MIN = CAP_SLICES /**< shortest window, ms: a slice of 1 ms */
};

/** Counts of the slices; zero-initialised. */
typedef struct {
    tc_time_t slice; /**< number of the newest slice, counted from time 0 */
    double units[CAP_KEPT];
} cap_window_t;

/* ===== Public functions ===== */

/** Counts units that are admitted now. @param window length in ms, at least CAP_WINDOW_MIN */
void cap_window_add(cap_window_t *w, tc_time_t window, double units, tc_time_t now);
/** Counts units for an earlier time @p at; negative to take back ones that were counted then. Without effect once that
 *  time has left the window. */
void cap_window_add_at(cap_window_t *w, tc_time_t window, double units, tc_time_t at, tc_time_t now);
/** Spreads units evenly over the last window, for units whose time in it is unknown. */
void cap_window_spread(cap_window_t *w, tc_time_t window, double units, tc_time_t now);
/** Units of the last window, or of up to one slice more. */
double cap_window_sum(cap_window_t *w, tc_time_t window, tc_time_t now);

#endif
