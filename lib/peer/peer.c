#include "peer/peer.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <semaphore.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <urcu/list.h>

#include "common/counter.h"
#include "common/log.h"
#include "peer/frame.h"
#include "peer/key.h"

/* ===== Constants ===== */

enum {
    OUT_MAX = 16 * 1024 * 1024, /* bytes waiting for a slow peer before calls are refused: back-pressure */
    HELLO_FRAME_MAX = 1024,     /* nobody unproved makes us keep more than this */
    HELLO_LIMIT_MS = 2000,      /* time for the handshake */
    BACKOFF_MIN_MS = 50,        /* first pause after a failed connect */
    BACKOFF_MAX_MS = 2000,      /* longest pause */
    TICK_MS = 10,               /* how often deadlines are looked at */
    READ_SIZE = 65536,
    SEND_WAIT_MS = 2000 /* how long a one-way message waits for a connection */
};

COUNTER_DEFINE(c_frames_out, "counter", "trackcove_peer_frames_sent_total", "Frames sent to other boxes")
COUNTER_DEFINE(c_bytes_out, "counter", "trackcove_peer_bytes_sent_total", "Bytes sent to other boxes")
COUNTER_DEFINE(c_frames_in, "counter", "trackcove_peer_frames_received_total", "Frames received from other boxes")
COUNTER_DEFINE(c_bytes_in, "counter", "trackcove_peer_bytes_received_total", "Bytes received from other boxes")
COUNTER_DEFINE(c_refused, "counter", "trackcove_peer_refused_total", "Connections refused in the handshake")

/* ===== Types ===== */

typedef enum { CONN_CONNECTING, CONN_HELLO, CONN_READY } conn_state_t;

/** One frame waiting to be written. */
typedef struct {
    struct cds_list_head node;
    char *data;
    size_t size;
    size_t written;
    uint64_t call; /* 0 unless it is a call of ours */
} out_t;

/** One call of ours waiting for its reply, or for a connection to be sent on. */
typedef struct {
    struct cds_list_head node;
    uint64_t id;
    bool sent; /* a byte of it may have left */
    tc_time_t deadline;
    peer_reply_t callback;
    void *arg;
} pending_t;

typedef struct {
    struct cds_list_head node;
    peer_net_t *net;
    uint64_t id;
    loop_watch_t watch;
    conn_state_t state;
    bool dialed;
    char addr[CODEC_STR_SIZE]; /* dialled: where to; accepted: the listener the peer named, if any */
    char box[CODEC_STR_SIZE];  /* proved name, once ready */
    char nonce[CODEC_STR_SIZE];
    tc_time_t hello_deadline;
    struct cds_list_head out;     /* frames being written */
    struct cds_list_head waiting; /* frames to write once ready */
    size_t out_bytes;
    struct cds_list_head pending;
    char *in;
    size_t in_size, in_room;
    bool writing;
} conn_t;

/** Pause before the next dial of an address that failed. */
typedef struct {
    struct cds_list_head node;
    char addr[CODEC_STR_SIZE];
    tc_time_t until;
    tc_time_t pause;
} backoff_t;

struct peer_net {
    loop_t *loop;
    peer_options_t options;
    char box[CODEC_STR_SIZE];
    char listen[CODEC_STR_SIZE];
    cluster_key_t key;
    loop_watch_t listener;
    struct cds_list_head conns;
    struct cds_list_head backoffs;
    uint64_t next_id;
    unsigned jitter; /* state of the jitter's own small generator */
};

static void conn_close(conn_t *conn, int code, const char *step, const char *detail);
static void conn_on_io(void *arg, uint32_t events);

/* ===== Addresses and back-off ===== */

int peer_parse_addr(const char *text, struct sockaddr_storage *to, unsigned *size, tc_err_t *err)
{
    char ip[CODEC_STR_SIZE];
    memset(to, 0, sizeof(*to));
    const char *const colon = strrchr(text, ':');
    const long port = colon ? strtol(colon + 1, NULL, 10) : 0;
    if (!colon || port < 1 || port > 65535)
        return tc_err_set(err, TC_E_INVALID, "read address", text, "must be IP:port");
    snprintf(ip, sizeof(ip), "%.*s", (int)(colon - text), text);
    struct sockaddr_in *const v4 = (struct sockaddr_in *)to;
    if (inet_pton(AF_INET, ip, &v4->sin_addr) != 1)
        return tc_err_set(err, TC_E_INVALID, "read address", text, "must start with an IPv4 number");
    v4->sin_family = AF_INET;
    v4->sin_port = htons((uint16_t)port);
    *size = sizeof(*v4);
    return TC_OK;
}

static backoff_t *backoff_find(const peer_net_t *net, const char *addr)
{
    backoff_t *b;
    cds_list_for_each_entry(b, &net->backoffs, node)
        if (strcmp(b->addr, addr) == 0)
            return b;
    return NULL;
}

static void backoff_grow(peer_net_t *net, const char *addr)
{
    backoff_t *b = backoff_find(net, addr);
    if (!b) {
        b = calloc(1, sizeof(*b));
        if (!b)
            return;
        codec_copy_string(b->addr, sizeof(b->addr), addr);
        cds_list_add(&b->node, &net->backoffs);
    }
    b->pause = b->pause ? b->pause * 2 : BACKOFF_MIN_MS;
    b->pause = b->pause > BACKOFF_MAX_MS ? BACKOFF_MAX_MS : b->pause;
    net->jitter = net->jitter * 1103515245u + 12345u;
    b->until = tc_time_now() + b->pause / 2 + (tc_time_t)((net->jitter >> 16) % (unsigned)(b->pause / 2 + 1));
}

static void backoff_clear(const peer_net_t *net, const char *addr)
{
    backoff_t *const b = backoff_find(net, addr);
    if (!b)
        return;
    cds_list_del(&b->node);
    free(b);
}

/* ===== Calls waiting ===== */

static void pending_end(pending_t *pending, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    cds_list_del(&pending->node);
    pending->callback(pending->arg, rc, type, message, err);
    free(pending);
}

static void pending_fail(pending_t *pending, const char *peer, int code, const char *step, const char *detail)
{
    tc_err_t err = {0};
    tc_err_set(&err, code, step, peer, "%s", detail);
    pending_end(pending, code, MSG_NONE, NULL, &err);
}

static pending_t *pending_find(const conn_t *conn, uint64_t id)
{
    pending_t *p;
    cds_list_for_each_entry(p, &conn->pending, node)
        if (p->id == id)
            return p;
    return NULL;
}

/* ===== Connections: making and ending ===== */

static conn_t *conn_create(peer_net_t *net, int fd, bool dialed)
{
    conn_t *const conn = calloc(1, sizeof(*conn));
    if (!conn)
        return NULL;
    conn->net = net;
    conn->id = ++net->next_id;
    conn->dialed = dialed;
    conn->watch = (loop_watch_t){.fd = fd, .on_io = conn_on_io, .arg = conn};
    conn->hello_deadline = tc_time_now() + HELLO_LIMIT_MS;
    CDS_INIT_LIST_HEAD(&conn->out);
    CDS_INIT_LIST_HEAD(&conn->waiting);
    CDS_INIT_LIST_HEAD(&conn->pending);
    cds_list_add(&conn->node, &net->conns);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return conn;
}

static void free_frames(struct cds_list_head *list)
{
    out_t *item, *next;
    cds_list_for_each_entry_safe(item, next, list, node) {
        free(item->data);
        free(item);
    }
}

static void conn_close(conn_t *conn, int code, const char *step, const char *detail)
{
    loop_unwatch(conn->net->loop, &conn->watch);
    close(conn->watch.fd);
    cds_list_del(&conn->node);
    if (conn->dialed && conn->state != CONN_READY)
        backoff_grow(conn->net, conn->addr);
    pending_t *p, *next;
    cds_list_for_each_entry_safe(p, next, &conn->pending, node)
        pending_fail(p, conn->addr, p->sent ? code : (code == TC_E_AUTH ? TC_E_AUTH : TC_E_UNREACHABLE), step, detail);
    free_frames(&conn->out);
    free_frames(&conn->waiting);
    free(conn->in);
    free(conn);
}

/* ===== Writing ===== */

static void conn_want_write(conn_t *conn, bool want)
{
    if (conn->writing == want)
        return;
    conn->writing = want;
    loop_rewatch(conn->net->loop, &conn->watch, EPOLLIN | (want ? EPOLLOUT : 0u));
}

/** Write what can be written. @return false when the connection is gone */
static bool conn_flush(conn_t *conn)
{
    out_t *item, *next;
    cds_list_for_each_entry_safe(item, next, &conn->out, node) {
        pending_t *const pending = item->call ? pending_find(conn, item->call) : NULL;
        const ssize_t n = send(conn->watch.fd, item->data + item->written, item->size - item->written, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            conn_want_write(conn, true);
            return true;
        }
        if (pending)
            pending->sent = true;
        if (n < 0) {
            conn_close(conn, TC_E_BROKEN, "write", strerror(errno));
            return false;
        }
        item->written += (size_t)n;
        conn->out_bytes -= (size_t)n;
        counter_add(&c_bytes_out, n);
        if (item->written < item->size) {
            conn_want_write(conn, true);
            return true;
        }
        counter_add(&c_frames_out, 1);
        cds_list_del(&item->node);
        free(item->data);
        free(item);
    }
    conn_want_write(conn, false);
    return true;
}

static bool conn_queue(conn_t *conn, char *data, size_t size, uint64_t call, bool hello)
{
    out_t *const item = calloc(1, sizeof(*item));
    if (!item || conn->out_bytes + size > OUT_MAX || size > PEER_FRAME_MAX) {
        free(item);
        free(data);
        return false;
    }
    *item = (out_t){.data = data, .size = size, .call = call};
    conn->out_bytes += size;
    cds_list_add_tail(&item->node, hello || conn->state == CONN_READY ? &conn->out : &conn->waiting);
    return true;
}

/* ===== Handshake =====
 * acceptor -> hello {nonce A}
 * dialler  -> hello {nonce B, mac over A and B}
 * acceptor -> hello {nonce A, mac over B and A}; both are ready
 */

static void fill_hello(const conn_t *conn, msg_hello_t *hello)
{
    codec_copy_string(hello->box, sizeof(hello->box), conn->net->box);
    codec_copy_string(hello->addr, sizeof(hello->addr), conn->net->listen);
    codec_copy_string(hello->nonce, sizeof(hello->nonce), conn->nonce);
    hello->incarnation = conn->net->options.incarnation;
}

/** @param their_nonce NULL sends no proof yet. @return false when the connection is gone */
static bool send_hello(conn_t *conn, const char *direction, const char *their_nonce)
{
    msg_hello_t hello = {0};
    fill_hello(conn, &hello);
    if (their_nonce)
        key_prove(&conn->net->key, direction, their_nonce, &hello, hello.mac);
    size_t size;
    char *const data = frame_pack(MSG_HELLO, 0, false, &hello, &size);
    conn_queue(conn, data, size, 0, true);
    return conn_flush(conn);
}

static bool conn_ready(conn_t *conn, const msg_hello_t *hello)
{
    conn->state = CONN_READY;
    codec_copy_string(conn->box, sizeof(conn->box), hello->box);
    if (!conn->dialed)
        codec_copy_string(conn->addr, sizeof(conn->addr), hello->addr);
    backoff_clear(conn->net, conn->addr);
    cds_list_splice(&conn->waiting, conn->out.prev);
    CDS_INIT_LIST_HEAD(&conn->waiting);
    return conn_flush(conn);
}

static void refuse_hello(conn_t *conn)
{
    counter_add(&c_refused, 1);
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_AUTH, "handshake", conn->addr, "the peer did not prove the cluster key");
    log_failure(LOG_WARN, "peer_refused", &err);
    conn_close(conn, TC_E_AUTH, "handshake", err.detail);
}

/** @return false when the connection is gone */
static bool handle_hello(conn_t *conn, const msg_hello_t *hello)
{
    const cluster_key_t *const key = &conn->net->key;
    if (conn->dialed && hello->mac[0] == '\0') {
        msg_hello_t mine = {0};
        key_make_nonce(&mine);
        codec_copy_string(conn->nonce, sizeof(conn->nonce), mine.nonce);
        return send_hello(conn, "dial", hello->nonce);
    }
    if (!key_verify(key, conn->dialed ? "accept" : "dial", conn->nonce, hello)) {
        refuse_hello(conn);
        return false;
    }
    if (!conn->dialed && !send_hello(conn, "accept", hello->nonce))
        return false;
    return conn_ready(conn, hello);
}

/* ===== Reading ===== */

static void handle_reply(conn_t *conn, const frame_t *frame)
{
    pending_t *const pending = pending_find(conn, frame->call);
    if (!pending)
        return; /* its deadline passed before */
    if (frame->type != MSG_ERROR) {
        pending_end(pending, TC_OK, frame->type, frame->message, NULL);
        return;
    }
    const msg_error_t *const error = frame->message;
    tc_err_t err = {0};
    const int code = error->code < 0 ? (int)error->code : TC_E_INVALID;
    tc_err_set(&err, code, "call", error->peer[0] ? error->peer : conn->box, "%s: %s", error->step,
               error->detail ? error->detail : "");
    pending_end(pending, code, MSG_NONE, NULL, &err);
}

/** @return false when the connection is gone */
static bool handle_frame(conn_t *conn, const char *data, size_t size)
{
    frame_t frame = {0};
    tc_err_t err = {0};
    counter_add(&c_frames_in, 1);
    if (frame_unpack(data, size, &frame, &err) < 0) {
        codec_copy_string(err.peer, sizeof(err.peer), conn->addr);
        log_failure(LOG_WARN, "peer_bad_frame", &err);
        conn_close(conn, TC_E_BROKEN, "read", "bad frame");
        return false;
    }
    bool alive = true;
    if (conn->state != CONN_READY) {
        if (frame.type == MSG_HELLO) {
            alive = handle_hello(conn, frame.message);
        } else {
            refuse_hello(conn);
            alive = false;
        }
    } else if (frame.reply) {
        handle_reply(conn, &frame);
    } else {
        const peer_call_t call = {.connection = conn->id, .call = frame.call};
        conn->net->options.handler(conn->net->options.arg, call, conn->box, frame.type, frame.message);
    }
    frame_free(&frame);
    return alive;
}

static conn_t *conn_by_id(const peer_net_t *net, uint64_t id)
{
    conn_t *conn;
    cds_list_for_each_entry(conn, &net->conns, node)
        if (conn->id == id)
            return conn;
    return NULL;
}

/** Handle every whole frame read so far. @return false when the connection is gone */
static bool conn_parse(conn_t *conn)
{
    peer_net_t *const net = conn->net;
    const uint64_t id = conn->id;
    size_t at = 0;
    while (conn->in_size - at >= FRAME_HEAD) {
        const size_t length = frame_length(conn->in + at);
        if (length > (conn->state == CONN_READY ? PEER_FRAME_MAX : HELLO_FRAME_MAX)) {
            conn_close(conn, TC_E_BROKEN, "read", "frame over the size limit");
            return false;
        }
        if (conn->in_size - at - FRAME_HEAD < length)
            break;
        if (!handle_frame(conn, conn->in + at + FRAME_HEAD, length) || conn_by_id(net, id) != conn)
            return false; /* a handler's reply may have found the connection broken */
        at += FRAME_HEAD + length;
    }
    memmove(conn->in, conn->in + at, conn->in_size - at);
    conn->in_size -= at;
    return true;
}

static void conn_read(conn_t *conn)
{
    if (conn->in_room - conn->in_size < READ_SIZE) {
        char *const larger = realloc(conn->in, conn->in_room + READ_SIZE);
        if (!larger) {
            conn_close(conn, TC_E_BROKEN, "read", "out of memory");
            return;
        }
        conn->in = larger;
        conn->in_room += READ_SIZE;
    }
    const ssize_t n = recv(conn->watch.fd, conn->in + conn->in_size, READ_SIZE, 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return;
    if (n <= 0) {
        conn_close(conn, TC_E_BROKEN, "read", n == 0 ? "closed by the peer" : strerror(errno));
        return;
    }
    counter_add(&c_bytes_in, n);
    conn->in_size += (size_t)n;
    (void)conn_parse(conn);
}

static bool conn_connected(conn_t *conn)
{
    int failed = 0;
    socklen_t size = sizeof(failed);
    getsockopt(conn->watch.fd, SOL_SOCKET, SO_ERROR, &failed, &size);
    if (failed) {
        conn_close(conn, TC_E_UNREACHABLE, "connect", strerror(failed));
        return false;
    }
    conn->state = CONN_HELLO;
    conn->writing = true;
    conn_want_write(conn, false);
    return true;
}

static void conn_on_io(void *arg, uint32_t events)
{
    conn_t *const conn = arg;
    if (conn->state == CONN_CONNECTING) {
        if (!conn_connected(conn))
            return;
    } else if ((events & EPOLLOUT) && !conn_flush(conn)) {
        return;
    }
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        conn_read(conn);
}

/* ===== Dialling and accepting ===== */

static conn_t *conn_dial(peer_net_t *net, const char *addr, tc_err_t *err)
{
    const backoff_t *const backoff = backoff_find(net, addr);
    if (backoff && tc_time_now() < backoff->until) {
        tc_err_set(err, TC_E_UNREACHABLE, "connect", addr, "failed before, pausing");
        return NULL;
    }
    struct sockaddr_storage to;
    unsigned size = 0;
    if (peer_parse_addr(addr, &to, &size, err) < 0)
        return NULL;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    conn_t *const conn = fd >= 0 ? conn_create(net, fd, true) : NULL;
    if (!conn) {
        tc_err_set(err, TC_E_IO, "connect", addr, "%s", strerror(errno));
        if (fd >= 0)
            close(fd);
        return NULL;
    }
    codec_copy_string(conn->addr, sizeof(conn->addr), addr);
    conn->state = CONN_CONNECTING;
    const int rc = connect(fd, (const struct sockaddr *)&to, size);
    const int failed = errno;
    conn->writing = true;
    loop_watch(net->loop, &conn->watch, EPOLLIN | EPOLLOUT);
    if (rc != 0 && failed != EINPROGRESS) {
        tc_err_set(err, TC_E_UNREACHABLE, "connect", addr, "%s", strerror(failed));
        conn_close(conn, TC_E_UNREACHABLE, "connect", strerror(failed));
        return NULL;
    }
    return conn;
}

static void on_accept(void *arg, uint32_t events)
{
    (void)events;
    peer_net_t *const net = arg;
    for (;;) {
        const int fd = accept4(net->listener.fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        conn_t *const conn = conn_create(net, fd, false);
        if (!conn) {
            close(fd);
            return;
        }
        conn->state = CONN_HELLO;
        msg_hello_t mine = {0};
        key_make_nonce(&mine);
        codec_copy_string(conn->nonce, sizeof(conn->nonce), mine.nonce);
        loop_watch(net->loop, &conn->watch, EPOLLIN);
        (void)send_hello(conn, NULL, NULL);
    }
}

/** A connection to use for @p addr: one that is ready, else one on its way, else a new one. */
static conn_t *conn_for(peer_net_t *net, const char *addr, tc_err_t *err)
{
    conn_t *conn, *coming = NULL;
    cds_list_for_each_entry(conn, &net->conns, node) {
        if (strcmp(conn->addr, addr) != 0)
            continue;
        if (conn->state == CONN_READY)
            return conn;
        coming = conn;
    }
    return coming ? coming : conn_dial(net, addr, err);
}

/* ===== Deadlines ===== */

static void expire_pending(conn_t *conn, tc_time_t now)
{
    pending_t *p, *next;
    cds_list_for_each_entry_safe(p, next, &conn->pending, node)
        if (now >= p->deadline)
            pending_fail(p, conn->addr, p->sent ? TC_E_TIMEOUT : TC_E_UNREACHABLE, "call", "no answer in time");
}

static void on_tick(void *arg)
{
    peer_net_t *const net = arg;
    const tc_time_t now = tc_time_now();
    conn_t *conn, *next;
    cds_list_for_each_entry_safe(conn, next, &net->conns, node) {
        if (conn->state != CONN_READY && now >= conn->hello_deadline)
            conn_close(conn, TC_E_UNREACHABLE, "handshake", "took too long");
        else
            expire_pending(conn, now);
    }
}

/* ===== Public functions: sending ===== */

/** A message on its way to the loop's thread. */
typedef struct {
    peer_net_t *net;
    char addr[CODEC_STR_SIZE];
    uint32_t type;
    uint64_t call;
    char *data;
    size_t size;
    tc_time_t deadline;
    peer_reply_t callback;
    void *arg;
} outgoing_t;

static void outgoing_fail(const outgoing_t *o, const tc_err_t *err)
{
    if (o->callback)
        o->callback(o->arg, err->code, MSG_NONE, NULL, err);
}

static void outgoing_deliver(outgoing_t *o)
{
    tc_err_t err = {0};
    conn_t *const conn = conn_for(o->net, o->addr, &err);
    if (!conn) {
        free(o->data);
        outgoing_fail(o, &err);
        return;
    }
    pending_t *const pending = o->callback ? calloc(1, sizeof(*pending)) : NULL;
    if (!conn_queue(conn, o->data, o->size, o->call, false)) {
        free(pending);
        tc_err_set(&err, TC_E_FULL, "send", o->addr, "the peer takes its messages too slowly");
        outgoing_fail(o, &err);
        return;
    }
    if (pending) {
        *pending = (pending_t){.id = o->call, .deadline = o->deadline, .callback = o->callback, .arg = o->arg};
        cds_list_add_tail(&pending->node, &conn->pending);
    }
    if (conn->state == CONN_READY)
        (void)conn_flush(conn);
}

static void run_outgoing(void *arg)
{
    outgoing_t *const o = arg;
    /* The call's id lies at a fixed place in no frame, so it is packed here, where ids are handed out. */
    outgoing_deliver(o);
    free(o);
}

static outgoing_t *outgoing_create(peer_net_t *net, const char *addr, uint32_t type, const void *message, bool call)
{
    static _Atomic uint64_t next_call;
    outgoing_t *const o = calloc(1, sizeof(*o));
    if (!o)
        abort();
    o->net = net;
    codec_copy_string(o->addr, sizeof(o->addr), addr);
    o->type = type;
    o->call = call ? ++next_call : 0;
    o->data = frame_pack(type, o->call, false, message, &o->size);
    return o;
}

void peer_call(peer_net_t *net, const char *addr, uint32_t type, const void *message, tc_time_t limit,
               peer_reply_t callback, void *arg)
{
    assert(callback); /* a message nobody waits for is peer_send's */
    outgoing_t *const o = outgoing_create(net, addr, type, message, true);
    o->deadline = tc_time_now() + limit;
    o->callback = callback;
    o->arg = arg;
    loop_post(net->loop, run_outgoing, o);
}

void peer_send(peer_net_t *net, const char *addr, uint32_t type, const void *message)
{
    loop_post(net->loop, run_outgoing, outgoing_create(net, addr, type, message, false));
}

/** A thread waiting in peer_call_wait. */
typedef struct {
    sem_t done;
    int rc;
    uint32_t reply_type;
    void *reply;
    tc_err_t *err;
} waiter_t;

/** Copy a decoded message by packing it once more: the one copy that owns all its parts. */
static int copy_message(uint32_t type, void *to, const void *from, tc_err_t *err)
{
    size_t size;
    char *const data = frame_pack(type, 0, false, from, &size);
    frame_t frame = {0};
    const int rc = frame_unpack(data + FRAME_HEAD, size - FRAME_HEAD, &frame, err);
    free(data);
    TC_CHECK(rc);
    memcpy(to, frame.message, msg_desc(type)->size);
    free(frame.message);
    return TC_OK;
}

static void waiter_reply(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    waiter_t *const waiter = arg;
    waiter->rc = rc;
    if (rc < 0 && waiter->err)
        *waiter->err = *err;
    else if (rc == TC_OK && type != waiter->reply_type)
        waiter->rc =
            tc_err_set(waiter->err, TC_E_INVALID, "call", NULL, "reply of type %u, not %u", type, waiter->reply_type);
    else if (rc == TC_OK)
        waiter->rc = copy_message(type, waiter->reply, message, waiter->err);
    sem_post(&waiter->done);
}

int peer_call_wait(peer_net_t *net, const char *addr, uint32_t type, const void *message, tc_time_t limit,
                   uint32_t reply_type, void *reply, tc_err_t *err)
{
    waiter_t waiter = {.reply_type = reply_type, .reply = reply, .err = err};
    sem_init(&waiter.done, 0, 0);
    peer_call(net, addr, type, message, limit, waiter_reply, &waiter);
    while (sem_wait(&waiter.done) != 0) {
    }
    sem_destroy(&waiter.done);
    return waiter.rc;
}

void peer_reply(peer_net_t *net, peer_call_t call, uint32_t type, const void *message)
{
    conn_t *const conn = call.call ? conn_by_id(net, call.connection) : NULL;
    if (!conn)
        return;
    size_t size;
    char *const data = frame_pack(type, call.call, true, message, &size);
    if (conn_queue(conn, data, size, 0, false))
        (void)conn_flush(conn);
}

void peer_reply_error(peer_net_t *net, peer_call_t call, const tc_err_t *err)
{
    msg_error_t error = {.code = err->code};
    codec_copy_string(error.step, sizeof(error.step), err->step ? err->step : "");
    codec_copy_string(error.peer, sizeof(error.peer), err->peer);
    error.detail = (char *)(uintptr_t)err->detail;
    error.detail_n = (uint32_t)strlen(err->detail);
    peer_reply(net, call, MSG_ERROR, &error);
}

/* ===== Public functions: life ===== */

static int start_listening(peer_net_t *net, const char *addr, tc_err_t *err)
{
    struct sockaddr_storage at;
    unsigned size = 0;
    TC_CHECK(peer_parse_addr(addr, &at, &size, err));
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        bind(fd, (const struct sockaddr *)&at, size) != 0 || listen(fd, SOMAXCONN) != 0) {
        const int failed = errno;
        if (fd >= 0)
            close(fd);
        return tc_err_set(err, TC_E_IO, "listen for peers", addr, "%s", strerror(failed));
    }
    net->listener = (loop_watch_t){.fd = fd, .on_io = on_accept, .arg = net};
    return loop_watch(net->loop, &net->listener, EPOLLIN);
}

peer_net_t *peer_create(loop_t *loop, const peer_options_t *options, tc_err_t *err)
{
    peer_net_t *const net = calloc(1, sizeof(*net));
    if (!net) {
        tc_err_set(err, TC_E_NOMEM, "start peers", NULL, "out of memory");
        return NULL;
    }
    net->loop = loop;
    net->options = *options;
    net->listener.fd = -1;
    net->jitter = (unsigned)options->incarnation;
    codec_copy_string(net->box, sizeof(net->box), options->box);
    codec_copy_string(net->listen, sizeof(net->listen), options->listen);
    CDS_INIT_LIST_HEAD(&net->conns);
    CDS_INIT_LIST_HEAD(&net->backoffs);
    if (key_load(&net->key, options->key_file, err) < 0 ||
        (options->listen[0] && start_listening(net, options->listen, err) < 0)) {
        free(net);
        return NULL;
    }
    loop_add_tick(loop, TICK_MS, on_tick, net);
    return net;
}

void peer_stop_listening(peer_net_t *net)
{
    if (net->listener.fd < 0)
        return;
    loop_unwatch(net->loop, &net->listener);
    close(net->listener.fd);
    net->listener.fd = -1;
}

void peer_destroy(peer_net_t *net)
{
    peer_stop_listening(net);
    conn_t *conn, *next;
    cds_list_for_each_entry_safe(conn, next, &net->conns, node)
        conn_close(conn, TC_E_CANCELLED, "stop", "stopping");
    backoff_t *b, *following;
    cds_list_for_each_entry_safe(b, following, &net->backoffs, node)
        free(b);
    free(net);
}
