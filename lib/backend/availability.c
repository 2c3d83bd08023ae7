#include "backend/availability.h"

#include <glib.h>

#include "common/log.h"

bool availability_update(availability_t *a, const availability_notice_t *notice, tc_time_t now)
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

bool availability_accepts(const availability_t *a, call_purpose_t purpose, tc_time_t now)
{
    const bool leaves = a->leaving_since > 0 && purpose == CALL_NEW_WORK;
    return !leaves && now >= a->closed_until;
}

void availability_log(const char *backend, const availability_notice_t *notice)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "backend_notice");
    log_str(&line, "backend", backend);
    log_int(&line, "leaving", notice->leaving);
    log_int(&line, "retry_after_ms", notice->retry_after);
    log_end(&line);
}

tc_time_t availability_closed_for(const availability_t *a, tc_time_t now)
{
    return now < a->closed_until ? a->closed_until - now : 0;
}
