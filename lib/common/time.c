#include "common/time.h"

#include <time.h>

#include "common/mutant.h"

enum { MS_PER_S = 1000, NS_PER_MS = 1000000, NS_PER_S = 1000000000 };

static int64_t read_clock(clockid_t clock)
{
    struct timespec ts;
    clock_gettime(clock, &ts);
    return (int64_t)ts.tv_sec * MS_PER_S + ts.tv_nsec / NS_PER_MS;
}

tc_time_t tc_time_now(void)
{
    return read_clock(MUTANT_IS(MUTANT_SLEEPING_CLOCK) ? CLOCK_MONOTONIC : CLOCK_BOOTTIME);
}

double tc_time_exact(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_BOOTTIME, &ts);
    return (double)ts.tv_sec * MS_PER_S + (double)ts.tv_nsec / NS_PER_MS;
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

void tc_cond_init(pthread_cond_t *cond)
{
    pthread_condattr_t attr;
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr,
                              CLOCK_MONOTONIC); /* condition variables do not support CLOCK_BOOTTIME; waits are short */
    pthread_cond_init(cond, &attr);
    pthread_condattr_destroy(&attr);
}

void tc_cond_wait_for(pthread_cond_t *cond, pthread_mutex_t *lock, tc_time_t span)
{
    struct timespec until;
    clock_gettime(CLOCK_MONOTONIC, &until);
    const int64_t ns = until.tv_nsec + (span % MS_PER_S) * NS_PER_MS;
    until.tv_sec += span / MS_PER_S + ns / NS_PER_S;
    until.tv_nsec = ns % NS_PER_S;
    pthread_cond_timedwait(cond, lock, &until);
}
