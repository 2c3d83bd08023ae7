#include "egress/dial.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/counter.h"
#include "common/log.h"
#include "egress/egress_internal.h"
#include "peer/frame.h"

COUNTER_DEFINE(c_relayed, "counter", "trackcove_egress_relayed_total",
               "Connections to back ends that were opened through another box")
COUNTER_DEFINE(c_unhelped, "counter", "trackcove_egress_relay_failed_total",
               "Times that another box was asked for a connection to a back end and opened none")

enum {
    ANSWER_BYTES_MAX = 256, /* of a relay_opened frame */
    WITNESSES_MAX = 2,      /* relays that are refused by a back end too, after which it counts as down */
    SILENT_WITNESS = 2      /* weight of one that got no answer: each of these takes its whole time-out */
};

static const dial_result_t no_connection = {.fd = -1};

/* ===== Ending ===== */

static void close_socket(dial_t *d)
{
    loop_disarm(&d->timer);
    if (d->watch.fd < 0)
        return;
    loop_unwatch(d->loop, &d->watch);
    close(d->watch.fd);
    d->watch.fd = -1;
}

static void clear(dial_t *d)
{
    if (d->received)
        g_byte_array_free(d->received, TRUE);
    d->received = NULL;
    d->loop = NULL;
}

void dial_cancel(dial_t *d)
{
    if (!d->loop)
        return;
    close_socket(d);
    clear(d);
}

static void finish_failed(dial_t *d)
{
    dial_result_t result = no_connection;
    result.outcome = d->outcome;
    dial_cancel(d);
    d->fn(d->arg, &result);
}

/** Hands the open connection over. */
static void finish_opened(dial_t *d, const char *relay)
{
    const dial_result_t result = {.outcome = DIAL_OPENED, .fd = d->watch.fd, .relay = relay};
    loop_disarm(&d->timer);
    loop_unwatch(d->loop, &d->watch);
    d->watch.fd = -1;
    clear(d);
    d->fn(d->arg, &result);
}

/* ===== Through a relay ===== */

static bool try_relay(dial_t *d);
static void try_direct(dial_t *d);

/** Whether one more relay is worth asking: not when enough of them do not reach the back end, unless the fault is
 * known, or likely, to be this box's own path. */
static bool may_ask_relay(const dial_t *d)
{
    const path_table_t *const paths = d->egress->paths;
    const bool own_fault = path_table_has_cut(paths, d->backend) || path_table_is_suspect(paths);
    return d->relays_n < DIAL_RELAYS_MAX && (own_fault || d->witnesses < WITNESSES_MAX);
}

/** No relay opened a connection. */
static void give_up_relays(dial_t *d)
{
    if (d->witnesses > 0)
        egress_record_unreachable(d->egress, d->backend);
    /* A cut path may still establish connections and then reset them, so that witnesses know better. */
    if (d->has_tried_direct || d->witnesses > 0)
        finish_failed(d);
    else
        try_direct(d);
}

/** The relay that was asked last opened no connection. */
static void on_relay_failed(dial_t *d, relay_result_t result)
{
    const bool is_witness = result == RELAY_RESULT_REFUSED || result == RELAY_RESULT_UNREACHABLE;
    relay_t *const relay = relay_pool_find(d->egress->relays, d->relays[d->relays_n - 1]);
    counter_add(&c_unhelped, 1);
    close_socket(d);
    if (is_witness && !d->has_tried_direct) /* what this box has seen itself is more certain */
        d->outcome = result == RELAY_RESULT_REFUSED ? DIAL_REFUSED : DIAL_UNREACHABLE;
    d->witnessed[d->relays_n - 1] = is_witness;
    d->witnesses += is_witness ? (result == RELAY_RESULT_REFUSED ? 1 : SILENT_WITNESS) : 0;
    if (relay && !is_witness && result != RELAY_RESULT_UNKNOWN)
        relay_record_failure(relay, tc_time_now());
    if (!may_ask_relay(d) || !try_relay(d))
        give_up_relays(d);
}

/** A relay reached the back end: those that did not are cut off as well. */
static void blame_witnesses(const dial_t *d)
{
    for (unsigned i = 0; i + 1 < d->relays_n; i++) {
        relay_t *const relay = d->witnessed[i] ? relay_pool_find(d->egress->relays, d->relays[i]) : NULL;
        if (relay)
            relay_record_failure(relay, tc_time_now());
    }
}

static void on_relay_opened(dial_t *d)
{
    char addr[CODEC_STR_SIZE];
    codec_copy_string(addr, sizeof(addr), d->relays[d->relays_n - 1]);
    relay_t *const relay = relay_pool_find(d->egress->relays, addr);
    if (relay) {
        relay_record_success(relay);
        relay->tunnels++;
    }
    blame_witnesses(d);
    counter_add(&c_relayed, 1);
    egress_record_relayed(d->egress, d->backend, relay ? relay->box : addr);
    finish_opened(d, addr);
}

/** @return whether the answer is complete; @p result is then set */
static bool read_answer(const dial_t *d, relay_result_t *result)
{
    const GByteArray *const in = d->received;
    if (in->len < FRAME_LENGTH_BYTES)
        return false;
    const uint32_t size = frame_length((const char *)in->data);
    if (size <= ANSWER_BYTES_MAX && in->len < FRAME_LENGTH_BYTES + size)
        return false;
    *result = RELAY_RESULT_BUSY; /* also for an answer that is not understood */
    frame_t frame;
    if (size > ANSWER_BYTES_MAX || frame_unpack((const char *)in->data + FRAME_LENGTH_BYTES, size, &frame, NULL) != 0)
        return true;
    if (frame.type == MSG_RELAY_OPENED)
        *result = ((const msg_relay_opened_t *)frame.message)->result;
    frame_free(&frame);
    return true;
}

/** Reads no byte beyond the answer: those that follow belong to the user of the connection. */
static void read_relay(dial_t *d)
{
    const guint had = d->received->len;
    const size_t want = had < FRAME_LENGTH_BYTES
                            ? FRAME_LENGTH_BYTES - had
                            : FRAME_LENGTH_BYTES + frame_length((const char *)d->received->data) - had;
    uint8_t data[ANSWER_BYTES_MAX];
    const ssize_t n = recv(d->watch.fd, data, MIN(want, sizeof(data)), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (n <= 0) {
        on_relay_failed(d, RELAY_RESULT_BUSY);
        return;
    }
    g_byte_array_append(d->received, data, (guint)n);
    relay_result_t result;
    if (!read_answer(d, &result))
        return;
    if (result == RELAY_RESULT_OPENED)
        on_relay_opened(d);
    else
        on_relay_failed(d, result);
}

static bool send_open(const dial_t *d)
{
    msg_relay_open_t open = {.limit_ms = EGRESS_RELAY_CONNECT_MS};
    codec_copy_string(open.box, sizeof(open.box), d->egress->box);
    codec_copy_string(open.backend, sizeof(open.backend), d->backend);
    size_t size;
    char *const frame = frame_pack(MSG_RELAY_OPEN, 0, false, &open, &size);
    const ssize_t n = send(d->watch.fd, frame, size, MSG_NOSIGNAL); /* fits into the empty buffer of a new socket */
    free(frame);
    return n == (ssize_t)size;
}

static void on_relay_io(void *arg, uint32_t events)
{
    dial_t *const d = arg;
    if (d->opening && (events & (EPOLLERR | EPOLLHUP))) {
        on_relay_failed(d, RELAY_RESULT_BUSY);
        return;
    }
    if (d->opening && (events & EPOLLOUT)) {
        d->opening = false;
        if (!send_open(d)) {
            on_relay_failed(d, RELAY_RESULT_BUSY);
            return;
        }
        loop_watch_modify(d->loop, &d->watch, EPOLLIN);
    }
    if (!d->opening && (events & (EPOLLIN | EPOLLERR | EPOLLHUP)))
        read_relay(d);
}

static void on_relay_timeout(void *arg)
{
    on_relay_failed(arg, RELAY_RESULT_BUSY);
}

static relay_t *choose_relay(const dial_t *d)
{
    const char *tried[DIAL_RELAYS_MAX];
    for (unsigned i = 0; i < d->relays_n; i++)
        tried[i] = d->relays[i];
    const relay_query_t query = {.dc = d->egress->dc,
                                 .tried = tried,
                                 .tried_n = d->relays_n,
                                 .known_good = d->relays_n > 0,
                                 .random = g_rand_int(d->egress->random),
                                 .now = tc_time_now()};
    return relay_pool_choose(d->egress->relays, &query);
}

/** Asks one more relay. @return false when there is none */
static bool try_relay(dial_t *d)
{
    const relay_t *const relay = d->egress ? choose_relay(d) : NULL;
    if (!relay)
        return false;
    codec_copy_string(d->relays[d->relays_n++], CODEC_STR_SIZE, relay->addr);
    d->received = d->received ? d->received : g_byte_array_new();
    g_byte_array_set_size(d->received, 0);
    d->opening = true;
    d->watch = (loop_watch_t){.fd = egress_connect(relay->addr), .on_io = on_relay_io, .arg = d};
    const bool begun = d->watch.fd >= 0;
    if (begun) {
        egress_guard_socket(d->watch.fd);
        loop_watch(d->loop, &d->watch, EPOLLIN | EPOLLOUT);
    }
    loop_arm(d->loop, &d->timer, tc_time_now() + (begun ? EGRESS_RELAY_ANSWER_MS : 0), on_relay_timeout, d);
    return true;
}

/* ===== Directly ===== */

static void log_failure_of(const dial_t *d, const char *how, int error)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "connect_failed");
    log_str(&line, "addr", d->addr);
    log_str(&line, "how", how);
    log_int(&line, "errno", error);
    log_int(&line, "took_ms", tc_time_now() - d->began);
    log_end(&line);
}

static const char *name_error(int error)
{
    switch (error) {
    case ECONNREFUSED: return "refused";
    case ECONNRESET: return "reset";
    case ETIMEDOUT: return "timeout";
    default: return "unreachable";
    }
}

static void on_direct_failed(dial_t *d, int error)
{
    log_failure_of(d, name_error(error), error);
    close_socket(d);
    d->outcome = error == ECONNREFUSED ? DIAL_REFUSED : DIAL_UNREACHABLE;
    if (!d->egress) {
        finish_failed(d);
        return;
    }
    const bool alone = path_table_choose(d->egress->paths, d->backend, tc_time_now()) == PATH_DIRECT_ONLY;
    egress_record_failure(d->egress, d->backend);
    if (alone || d->relays_n > 0 || !try_relay(d))
        finish_failed(d);
}

static void on_direct_io(void *arg, uint32_t events)
{
    dial_t *const d = arg;
    if (events & (EPOLLERR | EPOLLHUP))
        on_direct_failed(d, egress_take_error(d->watch.fd));
    else
        finish_opened(d, NULL);
}

static void on_direct_timeout(void *arg)
{
    on_direct_failed(arg, ETIMEDOUT);
}

static void on_direct_not_begun(void *arg)
{
    on_direct_failed(arg, EHOSTUNREACH);
}

static void try_direct(dial_t *d)
{
    d->has_tried_direct = true;
    d->watch = (loop_watch_t){.fd = egress_connect(d->addr), .on_io = on_direct_io, .arg = d};
    if (d->watch.fd < 0) {
        loop_arm(d->loop, &d->timer, tc_time_now(), on_direct_not_begun, d);
        return;
    }
    const bool has_fallback = d->egress && d->relays_n == 0 && choose_relay(d);
    const tc_time_t limit = has_fallback ? MIN(d->connect_ms, EGRESS_DIRECT_MS) : d->connect_ms;
    loop_watch(d->loop, &d->watch, EPOLLOUT);
    loop_arm(d->loop, &d->timer, tc_time_now() + limit, on_direct_timeout, d);
}

/* ===== Starting ===== */

static void prepare(dial_t *d, loop_t *loop, const char *addr, tc_time_t connect_ms, dial_fn_t fn, void *arg)
{
    assert(!d->loop); /* one at a time: a second would leak the first one's socket */
    *d = (dial_t){.loop = loop,
                  .connect_ms = connect_ms,
                  .began = tc_time_now(),
                  .watch = {.fd = -1},
                  .outcome = DIAL_UNREACHABLE,
                  .fn = fn,
                  .arg = arg};
    codec_copy_string(d->addr, sizeof(d->addr), addr);
}

void dial_start_direct(dial_t *d, loop_t *loop, const char *addr, tc_time_t connect_ms, dial_fn_t fn, void *arg)
{
    prepare(d, loop, addr, connect_ms, fn, arg);
    try_direct(d);
}

void dial_start(dial_t *d, loop_t *loop, egress_t *egress, const char *addr, tc_time_t connect_ms, dial_fn_t fn,
                void *arg)
{
    prepare(d, loop, addr, connect_ms, fn, arg);
    const char *const backend = egress ? egress->options.find_id(egress->options.arg, addr) : NULL;
    if (backend) {
        d->egress = egress;
        codec_copy_string(d->backend, sizeof(d->backend), backend);
    }
    const bool relay_first = d->egress && path_table_choose(d->egress->paths, backend, tc_time_now()) == PATH_RELAY;
    if (!relay_first || !try_relay(d))
        try_direct(d);
}
