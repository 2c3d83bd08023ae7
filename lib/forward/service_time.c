#include "forward/service_time.h"

/** What the longest time seen loses with each request: half of it after some thirty. */
static const double FADE = 0.98;
/** Beside the longest time seen: engines slow down as they fill. */
static const double MARGIN = 1.1;

/** Streams that tell nothing yet of how long one may be: where one in twenty generates all it may, as on the users'
 *  sheets, fifty have shown it with a chance of 0.92. A box that refuses meanwhile costs its callers a few ms. */
enum { STREAMS_MIN = 50 };

static void keep_longest(double *longest, double ms)
{
    *longest *= FADE;
    if (ms > *longest)
        *longest = ms;
}

void service_time_record(service_time_t *stats, tc_time_t took, unsigned tokens, unsigned events)
{
    stats->seen++;
    keep_longest(&stats->whole_ms, (double)took);
    if (tokens == 0 || events == 0)
        return;
    keep_longest(&stats->event_ms, (double)took / events);
    const double density = (double)events / tokens;
    if (density > stats->density)
        stats->density = density;
}

tc_time_t service_time_estimate(const service_time_t *stats, unsigned tokens)
{
    if (stats->seen < (tokens > 0 ? STREAMS_MIN : 1))
        return TC_TIME_NEVER;
    const double by_events = stats->event_ms * stats->density * tokens;
    const double longest = by_events > stats->whole_ms ? by_events : stats->whole_ms;
    return (tc_time_t)(MARGIN * longest);
}
