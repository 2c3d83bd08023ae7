#include "harness/windows.h"

static unsigned count_from(const GArray *times, tc_time_t from, tc_time_t window)
{
    unsigned n = 0;
    for (guint i = 0; i < times->len; i++) {
        const tc_time_t at = g_array_index(times, tc_time_t, i);
        n += at >= from && at < from + window;
    }
    return n;
}

/** Retries that are allowed by the requests of the window, of the one before it, or of the one half a window earlier,
 *  whichever has the most. */
static double allowed_from(const GArray *requests, tc_time_t from, const retry_rules_t *rules)
{
    const unsigned now = count_from(requests, from, rules->window);
    const unsigned half = count_from(requests, from - rules->window / 2, rules->window);
    const unsigned before = count_from(requests, from - rules->window, rules->window);
    return rules->ratio * MAX(now, MAX(half, before)) + rules->allowance;
}

double windows_max_excess(const GArray *requests, const GArray *extras, const retry_rules_t *rules)
{
    double worst = -G_MAXDOUBLE;
    for (guint i = 0; i < extras->len; i++) { /* windows that start at a retry hold the most */
        const tc_time_t from = g_array_index(extras, tc_time_t, i);
        const double excess = count_from(extras, from, rules->window) - allowed_from(requests, from, rules);
        worst = MAX(worst, excess);
    }
    return worst;
}
