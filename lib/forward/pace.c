#include "forward/pace.h"

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

void pace_learn(pace_t *pace, tc_time_t took, unsigned tokens, unsigned events)
{
    pace->seen++;
    keep_longest(&pace->whole_ms, (double)took);
    if (tokens == 0 || events == 0)
        return;
    keep_longest(&pace->event_ms, (double)took / events);
    const double density = (double)events / tokens;
    if (density > pace->density)
        pace->density = density;
}

tc_time_t pace_expect(const pace_t *pace, unsigned tokens)
{
    if (pace->seen < (tokens > 0 ? STREAMS_MIN : 1))
        return TC_TIME_NEVER;
    const double by_events = pace->event_ms * pace->density * tokens;
    const double longest = by_events > pace->whole_ms ? by_events : pace->whole_ms;
    return (tc_time_t)(MARGIN * longest);
}
