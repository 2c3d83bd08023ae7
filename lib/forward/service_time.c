#include "forward/service_time.h"

/** Factor by which the longest observed time decays with each request: by half after about 30 requests. */
static const double DECAY = 0.98;
/** Safety factor on the longest observed time, since engines slow down as their load grows. */
static const double MARGIN = 1.1;

/** Number of streams before there is an estimate. If one in 20 streams reaches its output limit, as in the users' data
 *  sheets, one of 50 has done so with a probability of 0.92. A refusal before that costs the caller a few ms. */
enum { STREAMS_MIN = 50 };

static void update_longest(double *longest, double ms)
{
    *longest *= DECAY;
    if (ms > *longest)
        *longest = ms;
}

void service_time_record(service_time_t *stats, tc_time_t took, unsigned tokens, unsigned events)
{
    stats->seen++;
    update_longest(&stats->whole_ms, (double)took);
    if (tokens == 0 || events == 0)
        return;
    update_longest(&stats->event_ms, (double)took / events);
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
