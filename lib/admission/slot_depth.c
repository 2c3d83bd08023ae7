#include "admission/slot_depth.h"

#include <glib.h>
#include <math.h>

/** Part of the weight that what was known at @p at still has. */
static double remainder_of(const slot_depth_t *depth, tc_time_t now)
{
    return now > depth->at ? exp(-(double)(now - depth->at) / SLOT_DEPTH_WINDOW_MS) : 1;
}

void slot_depth_add(slot_depth_t *depth, tc_time_t held_ms, uint32_t took_ms, tc_time_t now)
{
    const double left = remainder_of(depth, now);
    const tc_time_t delay = CLAMP(held_ms - (tc_time_t)took_ms, 0, SLOT_DEPTH_DELAY_MAX_MS);
    depth->sum_ms = depth->sum_ms * left + (double)delay;
    depth->count = depth->count * left + 1;
    depth->at = now;
}

double slot_depth_delay_ms(const slot_depth_t *depth, tc_time_t now)
{
    const double left = remainder_of(depth, now);
    return depth->sum_ms * left / (depth->count * left + 1);
}

uint32_t slot_depth_extra(uint32_t slots, double delay_ms, double service_ms, tc_time_t refused_at, tc_time_t now)
{
    double most = slots;
    if (refused_at != TC_TIME_NEVER) {
        const tc_time_t since = now - refused_at - SLOT_REFUSED_MS;
        most = MIN(most, since < 0 ? SLOT_EXTRA : SLOT_EXTRA + 1 + floor((double)since / SLOT_DEPTH_STEP_MS));
    }
    const double extra = SLOT_EXTRA + round(slots * delay_ms / service_ms);
    return (uint32_t)MAX(MIN(extra, most), SLOT_EXTRA);
}
