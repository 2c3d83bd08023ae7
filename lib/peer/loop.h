/** @file loop.h
 * An epoll event loop in one thread, which runs the process's peer connections and its cores.
 *
 * All callbacks run in the loop's thread, one at a time, so cores need no locks.
 * Other threads hand over work with loop_post. After a stall of the process,
 * pending socket events are handled before timers.
 */
#ifndef TRACKCOVE_PEER_LOOP_H
#define TRACKCOVE_PEER_LOOP_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include <urcu/list.h>

#include "common/err.h"
#include "common/time.h"

/* ===== Types ===== */

typedef struct loop loop_t;
typedef void (*loop_fn_t)(void *arg);
/** @param events EPOLLIN, EPOLLOUT, ... */
typedef void (*loop_io_fn_t)(void *arg, uint32_t events);

/** A file descriptor watched by the loop. Owned by the caller, who keeps it alive until loop_unwatch. */
typedef struct {
    int fd;
    loop_io_fn_t on_io;
    void *arg;
} loop_watch_t;

/** A one-shot timer. Owned by the caller: zeroed before first use, disarmed before its memory is released. */
typedef struct {
    struct cds_list_head node; /**< in the list of armed timers, soonest first */
    bool armed;
    tc_time_t due; /**< on the clock of tc_time_now */
    loop_fn_t fn;
    void *arg;
} loop_timer_t;

/** The longest time for which one callback blocked the loop. */
typedef struct {
    tc_time_t duration; /**< ms */
    const char *source; /**< "tick", "timer", "socket" or "posted"; "" when no callback took 1 ms */
} loop_callback_time_t;

/* ===== Public functions ===== */

/** @return NULL when out of memory or file descriptors */
loop_t *loop_create(void);

/** Runs until loop_stop; called by the thread that becomes the loop's thread. */
void loop_run(loop_t *loop);

/** The longest callback of the last one to two seconds. From the loop's thread. */
loop_callback_time_t loop_longest_callback(const loop_t *loop);

/** Makes loop_run return. Any thread. */
void loop_stop(loop_t *loop);

/** Allows loop_run to be called again. After loop_run returned. */
void loop_restart(loop_t *loop);

/** After loop_run returned. Posted functions that have not run are dropped. */
void loop_destroy(loop_t *loop);

/** Runs @p fn in the loop's thread as soon as possible. Any thread. */
void loop_post(loop_t *loop, loop_fn_t fn, void *arg);

/** Drops the posted functions with argument @p arg that have not run. Only while the loop does not run. */
void loop_cancel_posted(loop_t *loop, const void *arg);

/** Runs @p fn in the loop's thread and waits until it has returned. Not from the loop's thread. */
void loop_post_wait(loop_t *loop, loop_fn_t fn, void *arg);

/** Calls @p fn every @p period ms. From the loop's thread, or before loop_run. */
void loop_add_tick(loop_t *loop, tc_time_t period, loop_fn_t fn, void *arg);

/** Removes the ticks with argument @p arg. From the loop's thread, or while the loop does not run; not from within a
 *  tick. */
void loop_remove_ticks(loop_t *loop, const void *arg);

/** Calls @p fn once at @p due. An armed timer is rearmed. From the loop's thread. */
void loop_arm(loop_t *loop, loop_timer_t *timer, tc_time_t due, loop_fn_t fn, void *arg);
/** Calls @p fn once after the callback that runs now has returned, before any other; outside of callbacks, before the
 *  first one. A deferred function that defers another runs it as well. Disarmed as a timer. From the loop's thread. */
void loop_defer(loop_t *loop, loop_timer_t *timer, loop_fn_t fn, void *arg);
/** Disarms a timer; no effect when it is not armed. */
void loop_disarm(loop_timer_t *timer);

/** Watches @p watch->fd for epoll @p events. From the loop's thread, or before loop_run. @return 0 or TC_E_IO */
int loop_watch(loop_t *loop, loop_watch_t *watch, uint32_t events);
/** Replaces the events that a watch waits for. */
void loop_watch_modify(loop_t *loop, loop_watch_t *watch, uint32_t events);
/** Stops watching. Events of the current batch for @p watch are dropped, so it may be freed at once. */
void loop_unwatch(loop_t *loop, loop_watch_t *watch);

#endif
