#include "egress/egress.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/counter.h"
#include "common/log.h"
#include "egress/egress_internal.h"
#include "lists/list.h"
#include "peer/peer.h"

COUNTER_DEFINE(c_cut_off, "gauge", "trackcove_egress_cut_off", "Whether this box counts as cut off from all back ends")
COUNTER_DEFINE(c_cut, "gauge", "trackcove_egress_cut_backends", "Back ends whose direct path counts as cut")
COUNTER_DEFINE(c_probes, "counter", "trackcove_egress_probes_total", "Direct connections opened to probe cut paths")

enum {
    PROBE_TICK_MS = 100,
    PROBE_CONNECT_MS = 250,
    /* A path that resets connections may do so only after they are established. */
    PROBE_SETTLE_MS = 100
};

/* ===== Sockets ===== */

void egress_guard_socket(int fd)
{
    enum { IDLE_S = 1, INTERVAL_S = 1, PROBES = 2 };
    const int on = 1, idle = IDLE_S, interval = INTERVAL_S, probes = PROBES;
    const unsigned unacked = EGRESS_UNACKED_MS; /* also decides when keep-alive probes give up */
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof(unacked));
}

int egress_connect(const char *addr)
{
    struct sockaddr_storage to = {0};
    unsigned size = 0;
    if (peer_parse_addr(addr, &to, &size, NULL) != TC_OK)
        return -EINVAL;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return -errno;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (connect(fd, (const struct sockaddr *)&to, size) == 0 || errno == EINPROGRESS)
        return fd;
    const int failed = errno;
    close(fd);
    return -failed;
}

int egress_take_error(int fd)
{
    int error = 0;
    socklen_t size = sizeof(error);
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

/* ===== State ===== */

/** Logs when the box becomes cut off, or is no longer. */
static void update_state(egress_t *e)
{
    const bool is = path_table_is_cut_off(e->paths);
    counter_set(&c_cut, path_table_cut_count(e->paths));
    if (is == e->was_cut_off)
        return;
    const tc_time_t now = tc_time_now();
    log_line_t line;
    if (is)
        log_begin(&line, LOG_WARN, "box_cut_off");
    else
        log_begin(&line, LOG_WARN, "box_reconnected");
    log_int(&line, "cut_backends", path_table_cut_count(e->paths));
    if (!is)
        log_int(&line, "after_ms", now - e->cut_off_at);
    log_end(&line);
    e->was_cut_off = is;
    e->cut_off_at = now;
    counter_set(&c_cut_off, is);
}

static void log_path_cut(const char *backend, const char *relay)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "path_cut");
    log_str(&line, "backend", backend);
    log_str(&line, "relay", relay);
    log_end(&line);
}

static void log_path_healed(const char *backend)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "path_healed");
    log_str(&line, "backend", backend);
    log_end(&line);
}

void egress_record_failure(egress_t *e, const char *backend)
{
    path_table_record_failure(e->paths, backend, tc_time_now());
}

void egress_record_relayed(egress_t *e, const char *backend, const char *relay)
{
    const bool was_cut = path_table_has_cut(e->paths, backend);
    path_table_record_relayed(e->paths, backend, tc_time_now());
    update_state(e);
    if (was_cut || !path_table_has_cut(e->paths, backend))
        return;
    log_path_cut(backend, relay);
    const char *const addr = e->options.find_addr(e->options.arg, backend);
    if (e->on_cut && addr)
        e->on_cut(e->on_cut_arg, addr);
}

void egress_record_unreachable(egress_t *e, const char *backend)
{
    path_table_record_unreachable(e->paths, backend, tc_time_now());
}

void egress_record_answer(egress_t *e, const char *addr, tc_time_t opened_at)
{
    const char *const backend = e->options.find_id(e->options.arg, addr);
    if (!backend)
        return;
    path_table_record_answer(e->paths, backend, opened_at);
    update_state(e);
}

void egress_record_broken(egress_t *e, const char *addr)
{
    const char *const backend = e->options.find_id(e->options.arg, addr);
    if (backend)
        path_table_record_broken(e->paths, backend, tc_time_now());
}

void egress_record_closed(egress_t *e, const char *relay_addr)
{
    relay_t *const relay = relay_pool_find(e->relays, relay_addr);
    if (relay && relay->tunnels > 0)
        relay->tunnels--;
}

/* ===== Probes ===== */

static void end_probe(egress_t *e)
{
    loop_disarm(&e->settle_timer);
    if (e->settling.fd >= 0) {
        loop_unwatch(e->loop, &e->settling);
        close(e->settling.fd);
    }
    e->settling.fd = -1;
    e->probed[0] = '\0';
}

static void on_settled(void *arg)
{
    egress_t *const e = arg;
    char backend[CODEC_STR_SIZE];
    codec_copy_string(backend, sizeof(backend), e->probed);
    end_probe(e);
    path_table_record_healed(e->paths, backend);
    log_path_healed(backend);
    update_state(e);
}

/** The back end has nothing to say on a connection without a request. */
static void on_settling_broken(void *arg, uint32_t events)
{
    (void)events;
    end_probe(arg);
}

static void on_probe_opened(void *arg, const dial_result_t *result)
{
    egress_t *const e = arg;
    if (result->outcome != DIAL_OPENED) {
        e->probed[0] = '\0';
        return;
    }
    e->settling = (loop_watch_t){.fd = result->fd, .on_io = on_settling_broken, .arg = e};
    loop_watch(e->loop, &e->settling, EPOLLIN);
    loop_arm(e->loop, &e->settle_timer, tc_time_now() + PROBE_SETTLE_MS, on_settled, e);
}

static bool is_listed(void *arg, const char *backend)
{
    const egress_t *const e = arg;
    return e->options.find_addr(e->options.arg, backend) != NULL;
}

static void on_tick(void *arg)
{
    egress_t *const e = arg;
    path_table_retain(e->paths, is_listed, e);
    update_state(e);
    if (e->probed[0])
        return; /* one at a time */
    const char *const backend = path_table_next_probe(e->paths, tc_time_now());
    const char *const addr = backend ? e->options.find_addr(e->options.arg, backend) : NULL;
    if (!addr)
        return;
    codec_copy_string(e->probed, sizeof(e->probed), backend);
    counter_add(&c_probes, 1);
    dial_start_direct(&e->probe, e->loop, addr, PROBE_CONNECT_MS, on_probe_opened, e);
}

/* ===== Lifecycle ===== */

egress_t *egress_create(loop_t *loop, const egress_options_t *options, tc_err_t *err)
{
    egress_t *const e = g_new0(egress_t, 1);
    char listen[CODEC_STR_SIZE];
    e->loop = loop;
    e->options = *options;
    codec_copy_string(e->box, sizeof(e->box), options->box);
    codec_copy_string(e->dc, sizeof(e->dc), options->dc);
    e->options.box = e->box;
    e->options.dc = e->dc;
    e->settling.fd = -1;
    if (!relay_addr_of(options->peer_bind, listen)) {
        tc_err_set(err, TC_E_INVALID, "start relay", options->peer_bind, "no address with a port after it");
        g_free(e);
        return NULL;
    }
    e->server = relay_server_start(e, listen, err);
    if (!e->server) {
        g_free(e);
        return NULL;
    }
    e->paths = path_table_create();
    e->relays = relay_pool_create();
    e->random = g_rand_new();
    loop_add_tick(loop, PROBE_TICK_MS, on_tick, e);
    return e;
}

void egress_destroy(egress_t *e)
{
    loop_remove_ticks(e->loop, e);
    dial_cancel(&e->probe);
    end_probe(e);
    relay_server_stop(e->server);
    path_table_destroy(e->paths);
    relay_pool_destroy(e->relays);
    g_rand_free(e->random);
    g_free(e);
}

void egress_set_boxes(egress_t *e, const entry_box_t *boxes, uint32_t n)
{
    const uint64_t hash = list_hash(boxes, n * sizeof(*boxes));
    if (hash == e->boxes_hash)
        return; /* called often, and changes are rare */
    e->boxes_hash = hash;
    relay_pool_set(e->relays, boxes, n, e->box);
}

void egress_on_cut(egress_t *e, void (*fn)(void *arg, const char *addr), void *arg)
{
    e->on_cut = fn;
    e->on_cut_arg = arg;
}

void egress_drain(egress_t *e)
{
    relay_server_drain(e->server);
}

unsigned egress_relayed_count(const egress_t *e)
{
    return relay_server_count(e->server);
}

bool egress_prefers_relay(const egress_t *e, const char *addr)
{
    const char *const backend = e->options.find_id(e->options.arg, addr);
    return backend && path_table_choose(e->paths, backend, tc_time_now()) == PATH_RELAY;
}

bool egress_is_cut_off(const egress_t *e)
{
    return path_table_is_cut_off(e->paths);
}
