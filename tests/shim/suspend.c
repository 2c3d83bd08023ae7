/** @file suspend.c
 * LD_PRELOAD library that simulates suspending the machine. SIGUSR2 stops the process until SIGCONT. The
 * CLOCK_MONOTONIC clocks leave out the time that the process was stopped; CLOCK_BOOTTIME and CLOCK_REALTIME include it.
 * epoll_wait() continues with its remaining timeout, as after a real suspension: it does not return the EINTR that
 * SIGUSR2 causes.
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

/** Total time suspended so far; subtracted from the monotonic clocks. */
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

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout)
{
    const int64_t end = monotonic_ns() + (int64_t)timeout * NS_PER_MS;
    for (;;) {
        const int64_t before = atomic_load(&suspended_ns);
        const int64_t left_ms = (end - monotonic_ns() + NS_PER_MS - 1) / NS_PER_MS;
        const int wait_ms = timeout < 0 ? -1 : (int)(left_ms > 0 ? left_ms : 0);
        const int n = (int)syscall(SYS_epoll_pwait, fd, events, max_events, wait_ms, NULL, 0);
        if (n >= 0 || errno != EINTR || atomic_load(&suspended_ns) == before)
            return n;
    }
}

static void suspend_until_sigcont(int signal_number)
{
    const int64_t before = real_monotonic_ns();
    const int saved_errno = errno;
    (void)signal_number;
    kill(getpid(), SIGSTOP);
    atomic_fetch_add(&suspended_ns, real_monotonic_ns() - before);
    errno = saved_errno;
}

__attribute__((constructor)) static void install_handler(void)
{
    const struct sigaction action = {.sa_handler = suspend_until_sigcont, .sa_flags = SA_RESTART};
    sigaction(SIGUSR2, &action, NULL);
}
