/** @file loop.h
 * One epoll thread that owns the process's peer connections and its cores.
 *
 * Everything registered here runs in the loop's thread, one thing at a time, so
 * cores need no locks. Other threads hand over work with loop_post. When the
 * process stood still, what waits in its sockets is handled before timers are.
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

/** A file descriptor watched by the loop. Owned by its user, who keeps it alive until loop_unwatch. */
typedef struct {
    int fd;
    loop_io_fn_t on_io;
    void *arg;
} loop_watch_t;

/** A one-shot timer. Owned by its user; zero it before first use and cancel it before its memory goes. */
typedef struct {
    struct cds_list_head node; /**< among the armed ones, soonest first */
    bool armed;
    tc_time_t due; /**< as tc_time_now tells */
    loop_fn_t fn;
    void *arg;
} loop_timer_t;

/** The longest time that one thing kept the loop from all others. */
typedef struct {
    tc_time_t duration; /**< ms */
    const char *source; /**< "tick", "timer", "socket" or "posted"; "" when nothing duration a ms */
} loop_callback_time_t;

/* ===== Public functions ===== */

/** @return NULL when the system refuses */
loop_t *loop_create(void);

/** Run until loop_stop; to be called by the loop's own thread. */
void loop_run(loop_t *loop);

/** The longest turn of the last second or two. From the loop's thread. */
loop_callback_time_t loop_longest_callback(const loop_t *loop);

/** Make loop_run return. Any thread. */
void loop_stop(loop_t *loop);

/** After loop_run returned: it may be run again. */
void loop_restart(loop_t *loop);

/** After loop_run returned. Work posted and not yet run is dropped. */
void loop_destroy(loop_t *loop);

/** Run @p fn in the loop's thread as soon as possible. Any thread. */
void loop_post(loop_t *loop, loop_fn_t fn, void *arg);

/** Drop what was posted with @p arg and has not run. While the loop does not run. */
void loop_cancel_posted(loop_t *loop, const void *arg);

/** Run @p fn in the loop's thread and wait until it has run. Not from the loop's thread. */
void loop_post_wait(loop_t *loop, loop_fn_t fn, void *arg);

/** Call @p fn every @p period ms, in the loop's thread; before loop_run or from the loop's thread. */
void loop_add_tick(loop_t *loop, tc_time_t period, loop_fn_t fn, void *arg);

/** End the ticks of @p arg. From the loop's thread, or while the loop does not run; not from within a tick. */
void loop_remove_ticks(loop_t *loop, const void *arg);

/** Call @p fn once at @p due, in the loop's thread. Arming an armed timer moves it. From the loop's thread. */
void loop_arm(loop_t *loop, loop_timer_t *timer, tc_time_t due, loop_fn_t fn, void *arg);
/** Disarm; harmless when it is not armed. */
void loop_disarm(loop_timer_t *timer);

/** Watch @p watch->fd; from the loop's thread or before loop_run. */
int loop_watch(loop_t *loop, loop_watch_t *watch, uint32_t events);
void loop_watch_modify(loop_t *loop, loop_watch_t *watch, uint32_t events);
/** Events of this round that are still waiting for @p watch are dropped, so it may be freed at once. */
void loop_unwatch(loop_t *loop, loop_watch_t *watch);

#endif
