#include "peer/loop.h"

#include <assert.h>
#include <pthread.h>
#include <semaphore.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <urcu/list.h>

/* ===== Types ===== */

enum {
    LOOP_TICKS_MAX = 256, /* a program has a dozen; the loop of a test runs those of 70 boxes */
    LOOP_EVENTS_MAX = 64,
    /** The process counts as stalled when this much time has passed since its sockets were polled: it was stopped, or
     *  one callback took long. */
    LOOP_STALL_MS = 20,
    LOOP_IDLE_MS = 1000, /* longest wait for events */
    /** The longest callback is reported over the current window of this length and the one before it. */
    LONGEST_WINDOW_MS = 1000
};

typedef struct {
    struct cds_list_head node;
    loop_fn_t fn;
    void *arg;
} posted_t;

typedef struct {
    tc_time_t period;
    tc_time_t next;
    loop_fn_t fn;
    void *arg;
} tick_t;

struct loop {
    int epoll_fd;
    int wake_fd;
    atomic_bool stopping;
    pthread_mutex_t lock; /* guards posted */
    struct cds_list_head posted;
    tick_t ticks[LOOP_TICKS_MAX];
    int n_ticks;
    struct cds_list_head timers; /* soonest first */
    struct cds_list_head deferred;
    struct epoll_event events[LOOP_EVENTS_MAX];
    int n_watched;
    int n_events;                           /* of the batch being handled, so that loop_unwatch can drop them */
    tc_time_t polled_at;                    /* when the sockets were last polled */
    bool overslept;                         /* epoll_wait took longer than its timeout: the process was stalled in it */
    tc_time_t callback_begin;               /* of the callback that runs now */
    loop_callback_time_t longest, previous; /* since window_begin, and in the window before it */
    tc_time_t window_begin;
};

/* ===== Callback times ===== */

static void run_deferred(loop_t *loop)
{
    while (!cds_list_empty(&loop->deferred)) {
        loop_timer_t *const timer = cds_list_first_entry(&loop->deferred, loop_timer_t, node);
        loop_disarm(timer);
        timer->fn(timer->arg);
    }
}

/** Accounts for the callback that has just returned and what it deferred; the next one begins now. */
static void end_callback(loop_t *loop, const char *source)
{
    run_deferred(loop);
    const tc_time_t now = tc_time_now();
    const tc_time_t duration = now - loop->callback_begin;
    loop->callback_begin = now;
    if (now - loop->window_begin >= LONGEST_WINDOW_MS) {
        loop->previous = loop->longest;
        loop->longest = (loop_callback_time_t){.source = ""};
        loop->window_begin = now;
    }
    if (duration > loop->longest.duration)
        loop->longest = (loop_callback_time_t){.duration = duration, .source = source};
}

loop_callback_time_t loop_longest_callback(const loop_t *loop)
{
    return loop->longest.duration >= loop->previous.duration ? loop->longest : loop->previous;
}

/* ===== Posting ===== */

static void wake(loop_t *loop)
{
    const uint64_t one = 1;
    const ssize_t n = write(loop->wake_fd, &one, sizeof(one));
    (void)n; /* EAGAIN: the counter is full, so the loop wakes anyway */
}

void loop_post(loop_t *loop, loop_fn_t fn, void *arg)
{
    posted_t *const item = malloc(sizeof(*item));
    if (!item)
        abort();
    item->fn = fn;
    item->arg = arg;
    pthread_mutex_lock(&loop->lock);
    cds_list_add_tail(&item->node, &loop->posted);
    pthread_mutex_unlock(&loop->lock);
    wake(loop);
}

void loop_cancel_posted(loop_t *loop, const void *arg)
{
    posted_t *item, *next;
    pthread_mutex_lock(&loop->lock);
    cds_list_for_each_entry_safe(item, next, &loop->posted, node) {
        if (item->arg != arg)
            continue;
        cds_list_del(&item->node);
        free(item);
    }
    pthread_mutex_unlock(&loop->lock);
}

typedef struct {
    loop_fn_t fn;
    void *arg;
    sem_t done;
} post_wait_t;

static void run_waited(void *arg)
{
    post_wait_t *const waited = arg;
    waited->fn(waited->arg);
    sem_post(&waited->done);
}

void loop_post_wait(loop_t *loop, loop_fn_t fn, void *arg)
{
    post_wait_t waited = {.fn = fn, .arg = arg};
    sem_init(&waited.done, 0, 0);
    loop_post(loop, run_waited, &waited);
    while (sem_wait(&waited.done) != 0) {
    }
    sem_destroy(&waited.done);
}

static void run_posted(loop_t *loop)
{
    CDS_LIST_HEAD(batch);
    pthread_mutex_lock(&loop->lock);
    cds_list_splice(&loop->posted, &batch);
    CDS_INIT_LIST_HEAD(&loop->posted);
    pthread_mutex_unlock(&loop->lock);
    posted_t *item, *next;
    cds_list_for_each_entry_safe(item, next, &batch, node) {
        item->fn(item->arg);
        free(item);
        end_callback(loop, "posted");
    }
}

/* ===== Ticks ===== */

void loop_add_tick(loop_t *loop, tc_time_t period, loop_fn_t fn, void *arg)
{
    assert(loop->n_ticks < LOOP_TICKS_MAX); /* the set of ticks is fixed at compile time */
    loop->ticks[loop->n_ticks++] = (tick_t){.period = period, .next = tc_time_now(), .fn = fn, .arg = arg};
}

void loop_remove_ticks(loop_t *loop, const void *arg)
{
    int kept = 0;
    for (int i = 0; i < loop->n_ticks; i++)
        if (loop->ticks[i].arg != arg)
            loop->ticks[kept++] = loop->ticks[i];
    loop->n_ticks = kept;
}

static tc_time_t run_ticks(loop_t *loop)
{
    tc_time_t soonest = LOOP_IDLE_MS;
    for (int i = 0; i < loop->n_ticks; i++) {
        tick_t *const tick = &loop->ticks[i];
        const tc_time_t now = tc_time_now();
        if (now >= tick->next) {
            tick->next = now + tick->period;
            tick->fn(tick->arg);
            end_callback(loop, "tick");
        }
        const tc_time_t left = tick->next - now;
        soonest = left < soonest ? left : soonest;
    }
    return soonest;
}

/* ===== Timers ===== */

void loop_arm(loop_t *loop, loop_timer_t *timer, tc_time_t due, loop_fn_t fn, void *arg)
{
    loop_disarm(timer);
    timer->armed = true;
    timer->due = due;
    timer->fn = fn;
    timer->arg = arg;
    /* Most timers are due later than those already armed: search from the end. */
    loop_timer_t *other;
    cds_list_for_each_entry_reverse(other, &loop->timers, node) {
        if (other->due <= due)
            break;
    }
    cds_list_add(&timer->node, &other->node);
}

void loop_defer(loop_t *loop, loop_timer_t *timer, loop_fn_t fn, void *arg)
{
    loop_disarm(timer);
    timer->armed = true;
    timer->fn = fn;
    timer->arg = arg;
    cds_list_add_tail(&timer->node, &loop->deferred);
}

void loop_disarm(loop_timer_t *timer)
{
    if (!timer->armed)
        return;
    timer->armed = false;
    cds_list_del(&timer->node);
}

/** Runs the timers that are due. @return ms until the next one, at most @p soonest */
static tc_time_t run_timers(loop_t *loop, tc_time_t soonest)
{
    const tc_time_t now = tc_time_now();
    while (!cds_list_empty(&loop->timers)) {
        loop_timer_t *const timer = cds_list_first_entry(&loop->timers, loop_timer_t, node);
        if (timer->due > now)
            return timer->due - now < soonest ? timer->due - now : soonest;
        loop_disarm(timer);
        timer->fn(timer->arg);
        end_callback(loop, "timer");
    }
    return soonest;
}

/* ===== Watching ===== */

static int control(loop_t *loop, int op, loop_watch_t *watch, uint32_t events)
{
    struct epoll_event event = {.events = events, .data.ptr = watch};
    return epoll_ctl(loop->epoll_fd, op, watch->fd, &event) == 0 ? TC_OK : TC_E_IO;
}

int loop_watch(loop_t *loop, loop_watch_t *watch, uint32_t events)
{
    const int rc = control(loop, EPOLL_CTL_ADD, watch, events);
    loop->n_watched += rc == TC_OK;
    return rc;
}

void loop_watch_modify(loop_t *loop, loop_watch_t *watch, uint32_t events)
{
    (void)control(loop, EPOLL_CTL_MOD, watch, events);
}

void loop_unwatch(loop_t *loop, loop_watch_t *watch)
{
    loop->n_watched -= control(loop, EPOLL_CTL_DEL, watch, 0) == TC_OK;
    for (int i = 0; i < loop->n_events; i++)
        if (loop->events[i].data.ptr == watch)
            loop->events[i].data.ptr = NULL;
}

/* ===== Create, run and destroy ===== */

loop_t *loop_create(void)
{
    loop_t *const loop = calloc(1, sizeof(*loop));
    if (!loop)
        return NULL;
    loop->longest.source = loop->previous.source = "";
    loop->polled_at = loop->callback_begin = tc_time_now();
    loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    loop->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    pthread_mutex_init(&loop->lock, NULL);
    CDS_INIT_LIST_HEAD(&loop->posted);
    CDS_INIT_LIST_HEAD(&loop->timers);
    CDS_INIT_LIST_HEAD(&loop->deferred);
    struct epoll_event event = {.events = EPOLLIN, .data.ptr = loop};
    if (loop->epoll_fd < 0 || loop->wake_fd < 0 ||
        epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, loop->wake_fd, &event) != 0) {
        loop_destroy(loop);
        return NULL;
    }
    return loop;
}

static void handle_events(loop_t *loop)
{
    for (int i = 0; i < loop->n_events; i++) {
        if (loop->events[i].data.ptr == loop) {
            uint64_t count;
            const ssize_t n = read(loop->wake_fd, &count, sizeof(count));
            (void)n;
            continue;
        }
        loop_watch_t *const watch = loop->events[i].data.ptr;
        if (!watch)
            continue;
        watch->on_io(watch->arg, loop->events[i].events);
        end_callback(loop, "socket");
    }
    loop->n_events = 0;
}

/** Waits up to @p wait ms for events and handles them. @return their number */
static int run_events(loop_t *loop, tc_time_t wait)
{
    const tc_time_t due = tc_time_now() + (wait > 0 ? wait : 0);
    int n = epoll_wait(loop->epoll_fd, loop->events, LOOP_EVENTS_MAX, (int)(wait > 0 ? wait : 0));
    if (n < 0) /* EINTR, as after a stop and continue: sockets may be ready nevertheless */
        n = epoll_wait(loop->epoll_fd, loop->events, LOOP_EVENTS_MAX, 0);
    loop->n_events = n > 0 ? n : 0;
    loop->polled_at = loop->callback_begin = tc_time_now();
    loop->overslept = loop->overslept || loop->polled_at - due >= LOOP_STALL_MS;
    handle_events(loop);
    return n;
}

/** Handles socket events before timers when the process was stalled. Most timers time out on the silence of a peer, so
 *  without this, healthy streams, calls and leaders would be given up after a stall. Each socket is handled once, as
 *  epoll returns them round-robin: under more input than the loop can handle, ticks would otherwise be delayed for as
 *  long as it lasts. Posted functions run as well: their wake-up event is consumed here, so the next wait would not end
 *  for them. */
static void catch_up(loop_t *loop)
{
    if (!loop->overslept && tc_time_now() - loop->polled_at < LOOP_STALL_MS)
        return;
    loop->overslept = false;
    int n = 1;
    for (int left = loop->n_watched + 1; left > 0 && n > 0; left -= n) /* plus one for the wake-up event */
        n = run_events(loop, 0);
    run_posted(loop);
}

void loop_run(loop_t *loop)
{
    while (!atomic_load(&loop->stopping)) {
        run_deferred(loop);
        catch_up(loop);
        if (atomic_load(&loop->stopping))
            return; /* the wake-up event of loop_stop is consumed already */
        const tc_time_t wait = run_timers(loop, run_ticks(loop));
        (void)run_events(loop, wait);
        run_posted(loop);
    }
}

void loop_stop(loop_t *loop)
{
    atomic_store(&loop->stopping, true);
    wake(loop);
}

void loop_restart(loop_t *loop)
{
    atomic_store(&loop->stopping, false);
}

void loop_destroy(loop_t *loop)
{
    posted_t *item, *next;
    cds_list_for_each_entry_safe(item, next, &loop->posted, node)
        free(item);
    if (loop->epoll_fd >= 0)
        close(loop->epoll_fd);
    if (loop->wake_fd >= 0)
        close(loop->wake_fd);
    pthread_mutex_destroy(&loop->lock);
    free(loop);
}
