/** @file cap_window.h
 * Units that were let in over a sliding window, in slices. No clock.
 */
#ifndef TRACKCOVE_CAP_WINDOW_H
#define TRACKCOVE_CAP_WINDOW_H

/* ===== Dependencies ===== */

#include "common/time.h"

/* ===== Types ===== */

enum {
    CAP_SLICES = 16, /**< of a window */
    CAP_KEPT =
        CAP_SLICES + 1, /**< the newest one has only begun: with one less a window is not covered at any moment */
    CAP_WINDOW_MIN = CAP_SLICES /**< shortest window, ms */
};

/** What was counted. Zeroed before use. */
typedef struct {
    tc_time_t slice; /**< number of the newest slice, counted from time 0 */
    double units[CAP_KEPT];
} cap_window_t;

/* ===== Public functions ===== */

/** Count units that are let in now; below 0 to take some back. @param window its length, at least CAP_WINDOW_MIN */
void cap_window_add(cap_window_t *w, tc_time_t window, double units, tc_time_t now);
/** The same spread evenly over the last window, when it is not known when in it they were. */
void cap_window_spread(cap_window_t *w, tc_time_t window, double units, tc_time_t now);
/** Units of the last window, or of up to a slice longer. */
double cap_window_sum(cap_window_t *w, tc_time_t window, tc_time_t now);

#endif
