/* What the leader's schedule of returns means for this box: how long a request waits for room, and what a refused
 * caller is told. */

#include "common/feature.h"
#include "forward/forward_internal.h"

/** Whether the leader tells refused requests of this service when to return, and keeps late ones waiting. */
static bool has_scheduled_returns(const forward_t *f)
{
    return feature_is_enabled(FEATURE_RETURNS) && route_table_is_ranked(f->table, f->service);
}

void returns_fail(forward_t *f, const msg_placed_t *placed)
{
    if (has_scheduled_returns(f) && placed->retry_after_ms > 0)
        forward_fail_until(f, REASON_REFUSED, placed->retry_after_ms);
    else
        forward_fail_full(f, REASON_REFUSED);
}

tc_time_t returns_wait_until(const forward_t *f)
{
    if (version_restricts(f))
        return version_wait_until(f);
    return has_scheduled_returns(f) && f->event_at == 0 ? place_patience_end(f) : place_wait_until(f);
}
