#include "common/time.h"

#include <time.h>

enum { MS_PER_S = 1000, NS_PER_MS = 1000000 };

static int64_t read_clock(clockid_t clock)
{
    struct timespec ts;
    clock_gettime(clock, &ts);
    return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

tc_time_t tc_time_now(void)
{
    return read_clock(CLOCK_MONOTONIC);
}

tc_time_t tc_time_suspended(void)
{
    return read_clock(CLOCK_BOOTTIME) - read_clock(CLOCK_MONOTONIC);
}

int64_t tc_time_wall(void)
{
    return read_clock(CLOCK_REALTIME);
}

void tc_time_sleep(tc_time_t span)
{
    const struct timespec ts = {.tv_sec = span / MS_PER_S, .tv_nsec = (span % MS_PER_S) * NS_PER_MS};
    nanosleep(&ts, NULL);
}
