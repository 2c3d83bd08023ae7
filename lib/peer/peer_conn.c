/* One connection: pending calls, writing, handshake, reading. */

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

#include "common/counter.h"
#include "common/log.h"
#include "peer/frame.h"
#include "peer/peer_internal.h"

COUNTER_DEFINE(c_frames_out, "counter", "trackcove_peer_frames_sent_total", "Frames sent to other boxes")
COUNTER_DEFINE(c_bytes_out, "counter", "trackcove_peer_bytes_sent_total", "Bytes sent to other boxes")
COUNTER_DEFINE(c_frames_in, "counter", "trackcove_peer_frames_received_total", "Frames received from other boxes")
COUNTER_DEFINE(c_bytes_in, "counter", "trackcove_peer_bytes_received_total", "Bytes received from other boxes")
COUNTER_DEFINE(c_queued, "gauge", "trackcove_peer_queued_bytes", "Bytes that wait for other boxes to take them")
COUNTER_DEFINE(c_full, "counter", "trackcove_peer_full_total", "Frames dropped because too many bytes wait already")
COUNTER_DEFINE(c_looked, "counter", "trackcove_peer_looked_total",
               "Connections looked at one by one, for an address or for what time asks")
COUNTER_DEFINE(c_refused, "counter", "trackcove_peer_refused_total", "Connections refused in the handshake")

static void conn_on_io(void *arg, uint32_t events);

/* ===== Addresses and backoff ===== */

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

int peer_open_listener(const char *at, const char *step, tc_err_t *err)
{
    struct sockaddr_storage to;
    unsigned size = 0;
    TC_CHECK(peer_parse_addr(at, &to, &size, err));
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (fd < 0 || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0 ||
        bind(fd, (const struct sockaddr *)&to, size) != 0 || listen(fd, SOMAXCONN) != 0) {
        const int failed = errno;
        if (fd >= 0)
            close(fd);
        return tc_err_set(err, TC_E_IO, step, at, "%s", strerror(failed));
    }
    return fd;
}

backoff_t *backoff_find(const peer_net_t *net, const char *addr)
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
    b->delay = b->delay ? b->delay * 2 : BACKOFF_MIN_MS;
    b->delay = b->delay > BACKOFF_MAX_MS ? BACKOFF_MAX_MS : b->delay;
    net->jitter = net->jitter * 1103515245u + 12345u;
    b->until = tc_time_now() + b->delay / 2 + (tc_time_t)((net->jitter >> 16) % (unsigned)(b->delay / 2 + 1));
}

static void backoff_clear(const peer_net_t *net, const char *addr)
{
    backoff_t *const b = backoff_find(net, addr);
    if (!b)
        return;
    cds_list_del(&b->node);
    free(b);
}

/* ===== Pending calls ===== */

static void pending_end(pending_call_t *pending, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    cds_list_del(&pending->node);
    pending->callback(pending->arg, rc, type, message, err);
    free(pending);
}

void pending_fail(pending_call_t *pending, const char *peer, int code, const char *step, const char *detail)
{
    tc_err_t err = {0};
    tc_err_set(&err, code, step, peer, "%s", detail);
    pending_end(pending, code, MSG_NONE, NULL, &err);
}

static pending_call_t *pending_find(const conn_t *conn, uint64_t id)
{
    pending_call_t *p;
    cds_list_for_each_entry(p, &conn->pending, node)
        if (p->id == id)
            return p;
    return NULL;
}

/* ===== Connections: create and close ===== */

conn_t *conn_create(peer_net_t *net, int fd, bool dialed)
{
    conn_t *const conn = calloc(1, sizeof(*conn));
    if (!conn)
        return NULL;
    conn->net = net;
    conn->id = ++net->next_id;
    conn->dialed = dialed;
    conn->watch = (loop_watch_t){.fd = fd, .on_io = conn_on_io, .arg = conn};
    conn->connect_deadline = tc_time_now() + CONNECT_TIMEOUT_MS;
    conn->hello_deadline = tc_time_now() + HANDSHAKE_TIMEOUT_MS;
    CDS_INIT_LIST_HEAD(&conn->send_queue);
    CDS_INIT_LIST_HEAD(&conn->deferred);
    CDS_INIT_LIST_HEAD(&conn->pending);
    cds_list_add(&conn->node, &net->conns);
    g_hash_table_insert(net->by_id, GSIZE_TO_POINTER(conn->id), conn);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const unsigned unacked = UNACKED_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked, sizeof(unacked));
    return conn;
}

void conn_count_visited(unsigned n)
{
    counter_add(&c_looked, n);
}

static void leave_group(conn_t *conn)
{
    conn_group_t *const group = conn->group;
    if (!group)
        return;
    conn->group = NULL;
    cds_list_del(&conn->group_node);
    if (cds_list_empty(&group->conns))
        g_hash_table_remove(conn->net->groups, group->addr);
}

void conn_set_addr(conn_t *conn, const char *addr)
{
    leave_group(conn);
    codec_copy_string(conn->addr, sizeof(conn->addr), addr);
    if (!conn->addr[0])
        return; /* the peer has no listener */
    conn_group_t *group = g_hash_table_lookup(conn->net->groups, conn->addr);
    if (!group) {
        group = g_new0(conn_group_t, 1);
        codec_copy_string(group->addr, sizeof(group->addr), conn->addr);
        CDS_INIT_LIST_HEAD(&group->conns);
        g_hash_table_insert(conn->net->groups, group->addr, group);
    }
    cds_list_add(&conn->group_node, &group->conns);
    conn->group = group;
}

/** Adjusts the counts of queued bytes; @p bytes is negative when some were sent or dropped. */
static void count_queued(conn_t *conn, ssize_t bytes)
{
    conn->out_bytes += (size_t)bytes;
    conn->net->queued += (size_t)bytes;
    counter_add(&c_queued, bytes);
}

static void free_frames(struct cds_list_head *list)
{
    queued_frame_t *item, *next;
    cds_list_for_each_entry_safe(item, next, list, node) {
        free(item->data);
        free(item);
    }
}

void conn_close(conn_t *conn, int code, const char *step, const char *detail)
{
    loop_unwatch(conn->net->loop, &conn->watch);
    close(conn->watch.fd);
    cds_list_del(&conn->node);
    leave_group(conn);
    g_hash_table_remove(conn->net->by_id, GSIZE_TO_POINTER(conn->id));
    if (conn->dialed && conn->state != CONN_READY)
        backoff_grow(conn->net, conn->addr);
    pending_call_t *p, *next;
    cds_list_for_each_entry_safe(p, next, &conn->pending, node)
        pending_fail(p, conn->addr, p->sent ? code : (code == TC_E_AUTH ? TC_E_AUTH : TC_E_UNREACHABLE), step, detail);
    free_frames(&conn->send_queue);
    free_frames(&conn->deferred);
    count_queued(conn, -(ssize_t)conn->out_bytes);
    free(conn->in);
    free(conn);
}

/* ===== Writing ===== */

static void conn_want_write(conn_t *conn, bool want)
{
    if (conn->want_write == want)
        return;
    conn->want_write = want;
    loop_watch_modify(conn->net->loop, &conn->watch, EPOLLIN | (want ? EPOLLOUT : 0u));
}

bool conn_flush(conn_t *conn)
{
    queued_frame_t *item, *next;
    cds_list_for_each_entry_safe(item, next, &conn->send_queue, node) {
        pending_call_t *const pending = item->call ? pending_find(conn, item->call) : NULL;
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
        count_queued(conn, -n);
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

/** Whether a frame fits into the limits of this peer's queue and of all queues together. */
static bool has_room(const conn_t *conn, size_t size)
{
    if (size > PEER_FRAME_MAX_BYTES || conn->out_bytes + size > CONN_QUEUE_MAX_BYTES)
        return false;
    return size <= LARGE_FRAME_BYTES || conn->net->queued + size <= TOTAL_QUEUE_MAX_BYTES;
}

/** Inserts a frame after the urgent ones and after the one that is partly written. Handshake frames are urgent as well:
 *  the last one may still be queued when the connection becomes ready, and the peer refuses any frame before it. */
static void queue_urgent(struct cds_list_head *queue, queued_frame_t *item)
{
    struct cds_list_head *behind = queue;
    queued_frame_t *other;
    cds_list_for_each_entry(other, queue, node) {
        if (!other->urgent && other->written == 0)
            break;
        behind = &other->node;
    }
    cds_list_add(&item->node, behind);
}

bool conn_queue(conn_t *conn, char *data, size_t size, uint64_t call, frame_priority_t priority)
{
    queued_frame_t *const item = calloc(1, sizeof(*item));
    if (!item || !has_room(conn, size)) {
        counter_add(&c_full, 1);
        free(item);
        free(data);
        return false;
    }
    *item = (queued_frame_t){
        .data = data, .size = size, .call = call, .at = tc_time_now(), .urgent = priority != FRAME_NORMAL};
    count_queued(conn, (ssize_t)size);
    struct cds_list_head *const queue =
        priority == FRAME_HANDSHAKE || conn->state == CONN_READY ? &conn->send_queue : &conn->deferred;
    if (item->urgent)
        queue_urgent(queue, item);
    else
        cds_list_add_tail(&item->node, queue);
    if (conn->unanswered_since == 0 && conn->state == CONN_READY)
        conn->unanswered_since = item->at;
    return true;
}

/* ===== Handshake =====
 * acceptor -> hello {nonce A}
 * dialler  -> hello {nonce B, mac over A and B}
 * acceptor -> hello {nonce A, mac over B and A}; then both sides are ready
 */

static void fill_hello(const conn_t *conn, msg_hello_t *hello)
{
    codec_copy_string(hello->box, sizeof(hello->box), conn->net->box);
    codec_copy_string(hello->addr, sizeof(hello->addr), conn->net->listen);
    codec_copy_string(hello->nonce, sizeof(hello->nonce), conn->nonce);
    hello->incarnation = conn->net->options.incarnation;
}

bool conn_send_hello(conn_t *conn, const char *direction, const char *their_nonce)
{
    msg_hello_t hello = {0};
    fill_hello(conn, &hello);
    if (their_nonce)
        key_prove(&conn->net->key, direction, their_nonce, &hello, hello.mac);
    size_t size;
    char *const data = frame_pack(MSG_HELLO, 0, false, &hello, &size);
    conn_queue(conn, data, size, 0, FRAME_HANDSHAKE);
    return conn_flush(conn);
}

/** @param reply whether it answers a ping of the peer @return false when the connection is closed */
static bool conn_send_ping(conn_t *conn, const msg_ping_t *ping, bool reply)
{
    size_t size;
    char *const data = frame_pack(MSG_PING, 0, reply, ping, &size);
    return !conn_queue(conn, data, size, 0, FRAME_NORMAL) || conn_flush(conn);
}

bool conn_ping(conn_t *conn)
{
    const msg_ping_t ping = {.sent = (uint64_t)tc_time_now()};
    conn->pinged = true;
    conn->pinged_at = conn->net->ran;
    return conn_send_ping(conn, &ping, false);
}

static bool conn_ready(conn_t *conn, const msg_hello_t *hello)
{
    conn->state = CONN_READY;
    codec_copy_string(conn->box, sizeof(conn->box), hello->box);
    if (!conn->dialed)
        conn_set_addr(conn, hello->addr);
    backoff_clear(conn->net, conn->addr);
    if (!cds_list_empty(&conn->deferred))
        conn->unanswered_since = tc_time_now();
    cds_list_splice(&conn->deferred, conn->send_queue.prev);
    CDS_INIT_LIST_HEAD(&conn->deferred);
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

/** @return false when the connection is closed */
static bool handle_hello(conn_t *conn, const msg_hello_t *hello)
{
    const cluster_key_t *const key = &conn->net->key;
    if (conn->dialed && hello->mac[0] == '\0') {
        msg_hello_t mine = {0};
        key_make_nonce(&mine);
        codec_copy_string(conn->nonce, sizeof(conn->nonce), mine.nonce);
        return conn_send_hello(conn, "dial", hello->nonce);
    }
    if (!key_verify(key, conn->dialed ? "accept" : "dial", conn->nonce, hello)) {
        refuse_hello(conn);
        return false;
    }
    if (!conn->dialed && !conn_send_hello(conn, "accept", hello->nonce))
        return false;
    return conn_ready(conn, hello);
}

/* ===== Reading ===== */

static void handle_reply(conn_t *conn, const frame_t *frame)
{
    pending_call_t *const pending = pending_find(conn, frame->call);
    if (!pending)
        return; /* the call has timed out already */
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

/** @return false when the connection is closed */
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
    } else if (frame.type == MSG_PING && !frame.reply) {
        alive = conn_send_ping(conn, frame.message, true);
    } else if (frame.reply) {
        handle_reply(conn, &frame);
    } else {
        const peer_call_t call = {.connection = conn->id, .call = frame.call};
        conn->net->options.handler(conn->net->options.arg, call, conn->box, frame.type, frame.message);
    }
    frame_free(&frame);
    return alive;
}

conn_t *conn_by_id(const peer_net_t *net, uint64_t id)
{
    return g_hash_table_lookup(net->by_id, GSIZE_TO_POINTER(id));
}

/** Handles every complete frame in the read buffer. @return false when the connection is closed */
static bool conn_parse(conn_t *conn)
{
    peer_net_t *const net = conn->net;
    const uint64_t id = conn->id;
    size_t at = 0;
    while (conn->in_size - at >= FRAME_LENGTH_BYTES) {
        const size_t length = frame_length(conn->in + at);
        if (length > (conn->state == CONN_READY ? PEER_FRAME_MAX_BYTES : HELLO_FRAME_MAX_BYTES)) {
            conn_close(conn, TC_E_BROKEN, "read", "frame over the size limit");
            return false;
        }
        if (conn->in_size - at - FRAME_LENGTH_BYTES < length)
            break;
        if (!handle_frame(conn, conn->in + at + FRAME_LENGTH_BYTES, length) || conn_by_id(net, id) != conn)
            return false; /* a reply sent by the handler may have closed the connection */
        at += FRAME_LENGTH_BYTES + length;
    }
    memmove(conn->in, conn->in + at, conn->in_size - at);
    conn->in_size -= at;
    return true;
}

static void conn_read(conn_t *conn)
{
    if (conn->in_capacity - conn->in_size < READ_BYTES) {
        char *const larger = realloc(conn->in, conn->in_capacity + READ_BYTES);
        if (!larger) {
            conn_close(conn, TC_E_BROKEN, "read", "out of memory");
            return;
        }
        conn->in = larger;
        conn->in_capacity += READ_BYTES;
    }
    const ssize_t n = recv(conn->watch.fd, conn->in + conn->in_size, READ_BYTES, 0);
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return;
    if (n <= 0) {
        conn_close(conn, TC_E_BROKEN, "read", n == 0 ? "closed by the peer" : strerror(errno));
        return;
    }
    counter_add(&c_bytes_in, n);
    conn->unanswered_since = 0;
    conn->pinged = false;
    conn->in_size += (size_t)n;
    (void)conn_parse(conn);
}

static bool conn_on_connected(conn_t *conn)
{
    int failed = 0;
    socklen_t size = sizeof(failed);
    getsockopt(conn->watch.fd, SOL_SOCKET, SO_ERROR, &failed, &size);
    if (failed) {
        conn_close(conn, TC_E_UNREACHABLE, "connect", strerror(failed));
        return false;
    }
    conn->state = CONN_HELLO;
    conn->want_write = true;
    conn_want_write(conn, false);
    return true;
}

static void conn_on_io(void *arg, uint32_t events)
{
    conn_t *const conn = arg;
    if (conn->state == CONN_CONNECTING) {
        if (!conn_on_connected(conn))
            return;
    } else if ((events & EPOLLOUT) && !conn_flush(conn)) {
        return;
    }
    if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
        conn_read(conn);
}
