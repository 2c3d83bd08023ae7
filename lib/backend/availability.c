#include "backend/availability.h"

#include <glib.h>

bool availability_hear(availability_t *a, const availability_notice_t *notice, tc_time_t now)
{
    const availability_t before = *a;
    if (notice->leaving && a->leaving_since == 0)
        a->leaving_since = now;
    if (notice->retry_after > 0)
        a->closed_until = MAX(a->closed_until, now + notice->retry_after);
    return a->leaving_since != before.leaving_since || a->closed_until != before.closed_until;
}

void availability_listed_ready(availability_t *a, tc_time_t fetched)
{
    if (a->leaving_since > 0 && fetched - a->leaving_since >= AVAILABILITY_LISTED_MS)
        a->leaving_since = 0;
}

bool availability_takes(const availability_t *a, call_purpose_t purpose, tc_time_t now)
{
    const bool leaves = a->leaving_since > 0 && purpose == CALL_NEW_WORK;
    return !leaves && now >= a->closed_until;
}

tc_time_t availability_closed_for(const availability_t *a, tc_time_t now)
{
    return now < a->closed_until ? a->closed_until - now : 0;
}
