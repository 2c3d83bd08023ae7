/** @file suspend.c
 * LD_PRELOAD library that simulates properties of the machine: that it can be suspended, and that it has an address of
 * its own. Connections to 127.0.0.1 come from the address in SHIM_SOURCE_IP, if it is set, so that a proxy can tell the
 * machines apart.
 *
 * Suspension: SIGUSR2 stops the process until SIGCONT. The
 * CLOCK_MONOTONIC clocks leave out the time that the process was stopped; CLOCK_BOOTTIME and CLOCK_REALTIME include it.
 * epoll_wait() continues with its remaining timeout, as after a real suspension: it does not return the EINTR that
 * SIGUSR2 causes.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
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

static int is_loopback_target(const struct sockaddr *to, socklen_t size)
{
    struct sockaddr_in in;
    if (size < sizeof(in) || to->sa_family != AF_INET)
        return 0;
    memcpy(&in, to, sizeof(in));
    return in.sin_addr.s_addr == htonl(INADDR_LOOPBACK);
}

int connect(int fd, const struct sockaddr *to, socklen_t size)
{
    const char *const source = getenv("SHIM_SOURCE_IP");
    struct sockaddr_in from = {.sin_family = AF_INET};
    const int on = 1; /* the port is chosen when connecting, so that ports do not run out */
    if (source && is_loopback_target(to, size) && inet_pton(AF_INET, source, &from.sin_addr) == 1 &&
        setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on)) == 0 &&
        bind(fd, (const struct sockaddr *)&from, sizeof(from)) != 0)
        return -1;
    return (int)syscall(SYS_connect, fd, to, size);
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
