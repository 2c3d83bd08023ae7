#include "cap/cap_window.h"

#include <assert.h>
#include <glib.h>

/** Advances to the slice of @p now and clears the slices in between. */
static void slide(cap_window_t *w, tc_time_t window, tc_time_t now)
{
    assert(window >= CAP_WINDOW_MIN); /* a slice is at least 1 ms */
    const tc_time_t number = now / (window / CAP_SLICES);
    const tc_time_t passed = MIN(number - w->slice, CAP_KEPT);
    for (tc_time_t i = 0; i < passed; i++)
        w->units[(number - i) % CAP_KEPT] = 0;
    w->slice = MAX(w->slice, number);
}

void cap_window_add(cap_window_t *w, tc_time_t window, double units, tc_time_t now)
{
    slide(w, window, now);
    w->units[w->slice % CAP_KEPT] += units;
}

void cap_window_add_at(cap_window_t *w, tc_time_t window, double units, tc_time_t at, tc_time_t now)
{
    slide(w, window, now);
    const tc_time_t slice = at / (window / CAP_SLICES);
    if (slice > w->slice || w->slice - slice >= CAP_KEPT)
        return;
    double *const kept = &w->units[slice % CAP_KEPT];
    *kept = MAX(*kept + units, 0);
}

void cap_window_spread(cap_window_t *w, tc_time_t window, double units, tc_time_t now)
{
    slide(w, window, now);
    for (int i = 0; i < CAP_KEPT; i++)
        w->units[i] += units / CAP_KEPT;
}

double cap_window_sum(cap_window_t *w, tc_time_t window, tc_time_t now)
{
    double sum = 0;
    slide(w, window, now);
    for (int i = 0; i < CAP_KEPT; i++)
        sum += w->units[i];
    return MAX(sum, 0);
}
