#include "web/web_probe.h"

#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peer/peer.h"

static void finish(web_probe_t *probe, web_probe_result_t result)
{
    web_probe_cancel(probe);
    probe->fn(probe->arg, result);
}

static web_probe_result_t result_of_error(int error)
{
    if (error == 0)
        return WEB_PROBE_OPEN;
    return error == ECONNREFUSED ? WEB_PROBE_REFUSED : WEB_PROBE_UNREACHABLE;
}

static void on_io(void *arg, uint32_t events)
{
    web_probe_t *const probe = arg;
    int error = 0;
    socklen_t size = sizeof(error);
    (void)events; /* any event: SO_ERROR tells whether the connection succeeded */
    if (getsockopt(probe->watch.fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
        error = errno;
    finish(probe, result_of_error(error));
}

static void on_timeout(void *arg)
{
    finish(arg, WEB_PROBE_UNREACHABLE);
}

static void on_refused(void *arg)
{
    finish(arg, WEB_PROBE_REFUSED);
}

void web_probe(web_probe_t *probe, loop_t *loop, const char *addr, tc_time_t limit_ms, web_probe_fn_t fn, void *arg)
{
    assert(!probe->loop); /* one at a time: a second would leak the first one's socket */
    struct sockaddr_storage to = {0};
    unsigned size = 0;
    const bool parsed = peer_parse_addr(addr, &to, &size, NULL) == TC_OK;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    *probe = (web_probe_t){.loop = loop, .watch = {.fd = fd, .on_io = on_io, .arg = probe}, .fn = fn, .arg = arg};
    const int rc = parsed && fd >= 0 ? connect(fd, (const struct sockaddr *)&to, size) : -1;
    const bool tried = parsed && fd >= 0;
    if (tried && (rc == 0 || errno == EINPROGRESS)) {
        loop_watch(loop, &probe->watch, EPOLLOUT);
        loop_arm(loop, &probe->timeout_timer, tc_time_now() + limit_ms, on_timeout, probe);
        return;
    }
    const bool refused = tried && errno == ECONNREFUSED;
    loop_arm(loop, &probe->timeout_timer, tc_time_now(), refused ? on_refused : on_timeout, probe);
}

void web_probe_cancel(web_probe_t *probe)
{
    if (!probe->loop)
        return;
    loop_disarm(&probe->timeout_timer);
    loop_unwatch(probe->loop, &probe->watch);
    if (probe->watch.fd >= 0)
        close(probe->watch.fd);
    probe->loop = NULL;
}
