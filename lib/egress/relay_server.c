#include "egress/relay_server.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/list.h>

#include "common/counter.h"
#include "common/log.h"
#include "egress/egress_internal.h"
#include "egress/tunnel.h"
#include "peer/frame.h"
#include "peer/peer.h"

COUNTER_DEFINE(c_open, "gauge", "trackcove_relay_connections",
               "Connections to back ends that other boxes have through this one")
COUNTER_DEFINE(c_opened, "counter", "trackcove_relay_opened_total", "Connections to back ends opened for other boxes")
COUNTER_DEFINE(c_refused, "counter", "trackcove_relay_refused_total",
               "Connections to back ends not opened for other boxes")
COUNTER_DEFINE(c_bytes, "counter", "trackcove_relay_bytes_total", "Bytes passed on between other boxes and back ends")

enum { OPEN_BYTES_MAX = 1024 /* of a relay_open frame */ };

/* ===== Types ===== */

typedef enum {
    RELAY_READING_OPEN, /* until relay_open is complete */
    RELAY_CONNECTING,   /* to the back end */
    RELAY_PASSING,
    RELAY_ENDING /* the back end is done: what is buffered for the box is still written */
} relay_state_t;

/** One end of a relayed connection. */
typedef struct {
    loop_watch_t watch; /* fd is -1 for none */
    GByteArray *out;    /* to be written to this end */
    uint32_t events;    /* watched */
} end_t;

/** A connection for another box. */
typedef struct {
    struct cds_list_head node;
    relay_server_t *server;
    relay_state_t state;
    end_t box, backend;
    GByteArray *open; /* received part of relay_open */
    char from[CODEC_STR_SIZE], target[CODEC_STR_SIZE], addr[CODEC_STR_SIZE];
    dial_t dial;
    loop_timer_t timer;
    tc_time_t began, opened_at;
    bool answered; /* a byte of the back end has come */
    uint64_t bytes;
} conn_t;

struct relay_server {
    struct egress *egress;
    loop_t *loop;
    loop_watch_t listener; /* fd is -1 once no further connections are accepted */
    struct cds_list_head conns;
    unsigned count;
};

/* ===== Ending ===== */

static void end_close(const conn_t *c, end_t *end, bool reset)
{
    const struct linger at_once = {.l_onoff = 1};
    if (end->watch.fd < 0)
        return;
    loop_unwatch(c->server->loop, &end->watch);
    if (reset)
        setsockopt(end->watch.fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close(end->watch.fd);
    end->watch.fd = -1;
}

/** @param reset whether the box is to see a reset, as it would from the back end itself */
static void conn_close(conn_t *c, bool reset)
{
    loop_disarm(&c->timer);
    dial_cancel(&c->dial);
    end_close(c, &c->box, reset);
    end_close(c, &c->backend, false);
    g_byte_array_free(c->box.out, TRUE);
    g_byte_array_free(c->backend.out, TRUE);
    g_byte_array_free(c->open, TRUE);
    cds_list_del(&c->node);
    c->server->count--;
    counter_set(&c_open, c->server->count);
    g_free(c);
}

static void log_relayed(const conn_t *c, const char *result)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "relayed");
    log_str(&line, "from", c->from);
    log_str(&line, "backend", c->target);
    log_str(&line, "addr", c->addr);
    log_str(&line, "result", result);
    log_int(&line, "took_ms", tc_time_now() - c->began);
    log_int(&line, "connections", c->server->count);
    log_end(&line);
}

/* ===== Writing ===== */

/** Writes what is buffered. @return false when the connection is broken */
static bool end_flush(end_t *end)
{
    while (end->out->len > 0) {
        const ssize_t n = send(end->watch.fd, end->out->data, end->out->len, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return true;
        if (n < 0)
            return false;
        g_byte_array_remove_range(end->out, 0, (guint)n);
    }
    return true;
}

static void end_watch(const conn_t *c, end_t *end, uint32_t events)
{
    if (end->watch.fd < 0 || end->events == events)
        return;
    end->events = events;
    loop_watch_modify(c->server->loop, &end->watch, events);
}

/** Reads from each end only while the buffer for the other one is empty, so that a slow reader holds up the writer. */
static void update_watches(conn_t *c)
{
    const bool passing = c->state == RELAY_PASSING;
    const uint32_t to_box = c->box.out->len > 0 ? EPOLLOUT : 0u, to_backend = c->backend.out->len > 0 ? EPOLLOUT : 0u;
    end_watch(c, &c->box, (passing && !to_backend ? EPOLLIN : 0u) | to_box);
    end_watch(c, &c->backend, (passing && !to_box ? EPOLLIN : 0u) | to_backend);
}

/** Writes what is buffered for both ends. May close the connection. */
static void pump(conn_t *c)
{
    if (!end_flush(&c->box) || (c->backend.watch.fd >= 0 && !end_flush(&c->backend))) {
        conn_close(c, true);
        return;
    }
    if (c->state == RELAY_ENDING && c->box.out->len == 0) {
        conn_close(c, false);
        return;
    }
    update_watches(c);
}

/* ===== Passing bytes on ===== */

static void on_backend_end(conn_t *c, bool in_order)
{
    if (!c->answered && !in_order)
        egress_record_broken(c->server->egress, c->addr);
    if (!in_order) {
        conn_close(c, true); /* without the end mark the box takes nothing for complete */
        return;
    }
    uint8_t header[TUNNEL_HEADER_BYTES];
    tunnel_write_header(header, 0);
    g_byte_array_append(c->box.out, header, sizeof(header));
    end_close(c, &c->backend, false);
    c->state = RELAY_ENDING;
    pump(c);
}

static void read_backend(conn_t *c)
{
    uint8_t data[RELAY_BUFFER_BYTES];
    const ssize_t n = recv(c->backend.watch.fd, data, sizeof(data), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0) {
        on_backend_end(c, n == 0);
        return;
    }
    if (!c->answered)
        egress_record_answer(c->server->egress, c->addr, c->opened_at);
    c->answered = true;
    uint8_t header[TUNNEL_HEADER_BYTES];
    tunnel_write_header(header, (uint32_t)n);
    g_byte_array_append(c->box.out, header, sizeof(header));
    g_byte_array_append(c->box.out, data, (guint)n);
    c->bytes += (uint64_t)n;
    counter_add(&c_bytes, n);
    pump(c);
}

static void read_box(conn_t *c)
{
    uint8_t data[RELAY_BUFFER_BYTES];
    const ssize_t n = recv(c->box.watch.fd, data, sizeof(data), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0) {
        conn_close(c, false); /* its caller has left, or it is gone: the back end is to stop */
        return;
    }
    g_byte_array_append(c->backend.out, data, (guint)n);
    counter_add(&c_bytes, n);
    pump(c);
}

static void on_backend_io(void *arg, uint32_t events)
{
    conn_t *const c = arg;
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        read_backend(c);
    else
        pump(c);
}

/* ===== Opening ===== */

/** @param result other than RELAY_RESULT_OPENED: the connection is closed once the answer is written */
static void answer(conn_t *c, relay_result_t result)
{
    static const char *const names[RELAY_RESULT_COUNT] = {"opened",  "refused", "unreachable",
                                                          "unknown", "cut_off", "busy"};
    const msg_relay_opened_t opened = {.result = result};
    size_t size;
    char *const frame = frame_pack(MSG_RELAY_OPENED, 0, true, &opened, &size);
    g_byte_array_append(c->box.out, (const guint8 *)frame, (guint)size);
    free(frame);
    log_relayed(c, names[result]);
    counter_add(result == RELAY_RESULT_OPENED ? &c_opened : &c_refused, 1);
    c->state = result == RELAY_RESULT_OPENED ? RELAY_PASSING : RELAY_ENDING;
    pump(c);
}

static relay_result_t result_of(const conn_t *c, dial_outcome_t outcome)
{
    switch (outcome) {
    case DIAL_REFUSED: return RELAY_RESULT_REFUSED;
    case DIAL_UNREACHABLE: return RELAY_RESULT_UNREACHABLE;
    default: assert(outcome == DIAL_OPENED); return RELAY_RESULT_OPENED;
    }
}

static void on_dialed(void *arg, const dial_result_t *dialed)
{
    conn_t *const c = arg;
    const struct egress *const e = c->server->egress;
    if (dialed->outcome == DIAL_OPENED) {
        c->opened_at = c->began;
        c->backend.watch = (loop_watch_t){.fd = dialed->fd, .on_io = on_backend_io, .arg = c};
        c->backend.events = EPOLLIN;
        loop_watch(c->server->loop, &c->backend.watch, EPOLLIN);
        answer(c, RELAY_RESULT_OPENED);
        return;
    }
    egress_record_failure(c->server->egress, c->target);
    const bool own_fault = path_table_is_suspect(e->paths) || path_table_has_cut(e->paths, c->target);
    answer(c, own_fault ? RELAY_RESULT_CUT_OFF : result_of(c, dialed->outcome));
}

static void begin(conn_t *c, const msg_relay_open_t *open)
{
    const struct egress *const e = c->server->egress;
    codec_copy_string(c->from, sizeof(c->from), open->box);
    codec_copy_string(c->target, sizeof(c->target), open->backend);
    const char *const addr = e->options.find_addr(e->options.arg, c->target);
    loop_disarm(&c->timer);
    c->state = RELAY_CONNECTING;
    if (!addr) {
        answer(c, RELAY_RESULT_UNKNOWN);
        return;
    }
    codec_copy_string(c->addr, sizeof(c->addr), addr);
    if (path_table_is_cut_off(e->paths) || path_table_has_cut(e->paths, c->target))
        answer(c, RELAY_RESULT_CUT_OFF);
    else if (c->server->count > RELAY_CONNECTIONS_MAX || c->server->listener.fd < 0)
        answer(c, RELAY_RESULT_BUSY);
    else
        dial_start_direct(&c->dial, c->server->loop, addr, CLAMP((tc_time_t)open->limit_ms, 1, EGRESS_RELAY_CONNECT_MS),
                          on_dialed, c);
}

static void read_open(conn_t *c)
{
    uint8_t data[OPEN_BYTES_MAX];
    const ssize_t n = recv(c->box.watch.fd, data, sizeof(data), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    const bool too_long = n > 0 && c->open->len + (size_t)n > OPEN_BYTES_MAX;
    if (n <= 0 || too_long) {
        conn_close(c, true);
        return;
    }
    g_byte_array_append(c->open, data, (guint)n);
    const size_t had = c->open->len;
    const uint32_t size = had >= FRAME_LENGTH_BYTES ? frame_length((const char *)c->open->data) : OPEN_BYTES_MAX;
    if (had < FRAME_LENGTH_BYTES + (size_t)size)
        return;
    frame_t frame;
    tc_err_t err = {0};
    const bool whole = had == FRAME_LENGTH_BYTES + (size_t)size; /* nothing may follow before the answer */
    if (!whole || frame_unpack((const char *)c->open->data + FRAME_LENGTH_BYTES, size, &frame, &err) != 0) {
        log_failure(LOG_WARN, "relay_bad_frame", &err);
        conn_close(c, true);
        return;
    }
    if (frame.type == MSG_RELAY_OPEN)
        begin(c, frame.message);
    else
        conn_close(c, true);
    frame_free(&frame);
}

static void on_box_io(void *arg, uint32_t events)
{
    conn_t *const c = arg;
    const bool readable = events & (EPOLLIN | EPOLLHUP | EPOLLERR);
    if (!readable) {
        pump(c);
        return;
    }
    switch (c->state) {
    case RELAY_READING_OPEN: read_open(c); break;
    case RELAY_CONNECTING: conn_close(c, false); break; /* the box has given up */
    case RELAY_PASSING: read_box(c); break;
    case RELAY_ENDING: conn_close(c, false); break;
    }
}

static void on_open_timeout(void *arg)
{
    conn_close(arg, true);
}

static void on_accept(void *arg, uint32_t events)
{
    relay_server_t *const s = arg;
    (void)events;
    const int fd = accept4(s->listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0)
        return;
    egress_guard_socket(fd);
    conn_t *const c = g_new0(conn_t, 1);
    c->server = s;
    c->began = tc_time_now();
    c->open = g_byte_array_new();
    c->box = (end_t){.watch = {.fd = fd, .on_io = on_box_io, .arg = c}, .out = g_byte_array_new(), .events = EPOLLIN};
    c->backend = (end_t){.watch = {.fd = -1}, .out = g_byte_array_new()};
    cds_list_add(&c->node, &s->conns);
    s->count++;
    counter_set(&c_open, s->count);
    loop_watch(s->loop, &c->box.watch, EPOLLIN);
    loop_arm(s->loop, &c->timer, c->began + RELAY_OPEN_TIMEOUT_MS, on_open_timeout, c);
}

/* ===== Lifecycle ===== */

relay_server_t *relay_server_start(struct egress *egress, const char *listen, tc_err_t *err)
{
    const int fd = peer_open_listener(listen, "listen for relayed connections", err);
    if (fd < 0)
        return NULL;
    relay_server_t *const s = g_new0(relay_server_t, 1);
    s->egress = egress;
    s->loop = egress->loop;
    CDS_INIT_LIST_HEAD(&s->conns);
    s->listener = (loop_watch_t){.fd = fd, .on_io = on_accept, .arg = s};
    loop_watch(s->loop, &s->listener, EPOLLIN);
    return s;
}

void relay_server_drain(relay_server_t *s)
{
    if (s->listener.fd < 0)
        return;
    loop_unwatch(s->loop, &s->listener);
    close(s->listener.fd);
    s->listener.fd = -1;
}

unsigned relay_server_count(const relay_server_t *s)
{
    return s->count;
}

void relay_server_stop(relay_server_t *s)
{
    relay_server_drain(s);
    conn_t *c, *next;
    cds_list_for_each_entry_safe(c, next, &s->conns, node)
        conn_close(c, true);
    g_free(s);
}
