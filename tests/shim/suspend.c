/** @file suspend.c
 * Preloaded into a program under test, it makes SIGUSR2 stand for the machine's being suspended: the process stops
 * until SIGCONT, and CLOCK_MONOTONIC leaves that time out while CLOCK_BOOTTIME and the time of day go on. A wait for
 * sockets goes on for what was left of it, as after a real suspension: nothing interrupts it.
 */
#include <errno.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdint.h>
#include <sys/epoll.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

enum { NS_PER_S = 1000000000, NS_PER_MS = 1000000 };

static _Atomic int64_t suspended_ns;

static int64_t real_monotonic_ns(void)
{
    struct timespec ts;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * NS_PER_S + ts.tv_nsec;
}

static int64_t monotonic_ns(void)
{
    return real_monotonic_ns() - atomic_load(&suspended_ns);
}

int clock_gettime(clockid_t clock, struct timespec *ts)
{
    const int rc = (int)syscall(SYS_clock_gettime, clock, ts);
    if (rc != 0 || (clock != CLOCK_MONOTONIC && clock != CLOCK_MONOTONIC_RAW && clock != CLOCK_MONOTONIC_COARSE))
        return rc;
    const int64_t ns = (int64_t)ts->tv_sec * NS_PER_S + ts->tv_nsec - atomic_load(&suspended_ns);
    ts->tv_sec = ns / NS_PER_S;
    ts->tv_nsec = ns % NS_PER_S;
    return 0;
}

int epoll_wait(int fd, struct epoll_event *events, int room, int timeout)
{
    const int64_t end = monotonic_ns() + (int64_t)timeout * NS_PER_MS;
    for (;;) {
        const int64_t before = atomic_load(&suspended_ns);
        const int64_t left = (end - monotonic_ns() + NS_PER_MS - 1) / NS_PER_MS;
        const int wait = timeout < 0 ? -1 : (int)(left > 0 ? left : 0);
        const int n = (int)syscall(SYS_epoll_pwait, fd, events, room, wait, NULL, 0);
        if (n >= 0 || errno != EINTR || atomic_load(&suspended_ns) == before)
            return n;
    }
}

static void on_suspend(int number)
{
    const int64_t before = real_monotonic_ns();
    const int kept = errno;
    (void)number;
    kill(getpid(), SIGSTOP);
    atomic_fetch_add(&suspended_ns, real_monotonic_ns() - before);
    errno = kept;
}

__attribute__((constructor)) static void begin(void)
{
    const struct sigaction action = {.sa_handler = on_suspend, .sa_flags = SA_RESTART};
    sigaction(SIGUSR2, &action, NULL);
}
