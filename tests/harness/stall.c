#include "harness/stall.h"

#include <glib.h>
#include <time.h>

enum { TICK_MS = 5 };

static tc_time_t processor_ms(void)
{
    struct timespec used;
    g_assert_cmpint(clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used), ==, 0);
    return (tc_time_t)used.tv_sec * 1000 + used.tv_nsec / 1000000;
}

static void on_tick(void *arg)
{
    stall_watch_t *const w = arg;
    const tc_time_t now = tc_time_now(), processor = processor_ms();
    const tc_time_t stalled = (now - w->turn) - (processor - w->processor);
    w->longest = MAX(w->longest, stalled);
    w->turn = now;
    w->processor = processor;
}

void stall_watch_start(stall_watch_t *watch, loop_t *loop)
{
    *watch = (stall_watch_t){.loop = loop, .turn = tc_time_now(), .processor = processor_ms()};
    loop_add_tick(loop, TICK_MS, on_tick, watch);
}

void stall_watch_stop(stall_watch_t *watch)
{
    loop_remove_ticks(watch->loop, watch);
}

tc_time_t stall_watch_take(stall_watch_t *watch)
{
    on_tick(watch);
    const tc_time_t longest = watch->longest;
    watch->longest = 0;
    return longest;
}
