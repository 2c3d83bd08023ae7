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

#include "common/counter.h"
#include "common/log.h"
#include "peer/frame.h"
#include "peer/peer_internal.h"

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
    conn_set_addr(conn, addr);
    conn->state = CONN_CONNECTING;
    const int rc = connect(fd, (const struct sockaddr *)&to, size);
    const int failed = errno;
    conn->want_write = true;
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
        (void)conn_send_hello(conn, NULL, NULL);
    }
}

/** Connection for @p addr: a ready one, else one that is connecting, else a newly dialled one. */
static conn_t *conn_for(peer_net_t *net, const char *addr, tc_err_t *err)
{
    const conn_group_t *const group = g_hash_table_lookup(net->groups, addr);
    if (!group)
        return conn_dial(net, addr, err);
    conn_t *conn, *connecting = NULL;
    cds_list_for_each_entry(conn, &group->conns, group_node) {
        conn_count_visited(1);
        if (conn->state == CONN_READY)
            return conn;
        connecting = conn;
    }
    assert(connecting); /* empty groups are removed */
    return connecting;
}

/* ===== Deadlines ===== */

/** Which deadline of a connection has expired. */
typedef enum { DUE_NOTHING, DUE_CONNECT, DUE_HELLO, DUE_CALL, DUE_SILENCE, DUE_PING } due_t;

static pending_call_t *overdue_call(const conn_t *conn, tc_time_t now)
{
    pending_call_t *p;
    cds_list_for_each_entry(p, &conn->pending, node)
        if (now >= p->deadline)
            return p;
    return NULL;
}

static due_t conn_due(const conn_t *conn, tc_time_t now)
{
    if (conn->state == CONN_CONNECTING && now >= conn->connect_deadline)
        return DUE_CONNECT;
    if (conn->state != CONN_READY && now >= conn->hello_deadline)
        return DUE_HELLO;
    if (overdue_call(conn, now))
        return DUE_CALL;
    if (conn->pinged)
        return conn->net->ran - conn->pinged_at >= SILENCE_TIMEOUT_MS - PING_IDLE_MS ? DUE_SILENCE : DUE_NOTHING;
    const tc_time_t silence = conn->state == CONN_READY && conn->unanswered_since ? now - conn->unanswered_since : 0;
    return silence >= PING_IDLE_MS ? DUE_PING : DUE_NOTHING;
}

static void find_due(peer_net_t *net, tc_time_t now)
{
    g_array_set_size(net->due, 0);
    const conn_t *conn;
    cds_list_for_each_entry(conn, &net->conns, node)
        if (conn_due(conn, now) != DUE_NOTHING)
            g_array_append_val(net->due, conn->id);
    conn_count_visited(g_hash_table_size(net->by_id));
}

static void expire_call(conn_t *conn, tc_time_t now)
{
    pending_call_t *const p = overdue_call(conn, now);
    pending_fail(p, conn->addr, p->sent ? TC_E_TIMEOUT : TC_E_UNREACHABLE, "call", "no answer in time");
}

/** Handles one expired deadline, so that it is not due again. */
static void conn_handle_due(conn_t *conn, due_t due, tc_time_t now)
{
    switch (due) {
    case DUE_CONNECT: conn_close(conn, TC_E_UNREACHABLE, "connect", "nobody answers"); break;
    case DUE_HELLO: conn_close(conn, TC_E_UNREACHABLE, "handshake", "took too long"); break;
    case DUE_CALL: expire_call(conn, now); break;
    case DUE_SILENCE: conn_close(conn, TC_E_BROKEN, "read", "the peer is silent"); break;
    case DUE_PING: (void)conn_ping(conn); break;
    case DUE_NOTHING: break;
    }
}

/** The callback of a call may send, which may close any connection. Connections are therefore kept by id and looked up
 *  again after each step. */
static void on_tick(void *arg)
{
    peer_net_t *const net = arg;
    const tc_time_t now = tc_time_now();
    const tc_time_t elapsed = net->ticked_at ? now - net->ticked_at : 0;
    net->ran += elapsed < TICK_STALL_MS ? elapsed : TICK_STALL_MS;
    net->ticked_at = now;
    find_due(net, now);
    for (guint i = 0; i < net->due->len; i++) {
        const uint64_t id = g_array_index(net->due, uint64_t, i);
        conn_t *conn = conn_by_id(net, id);
        due_t due = conn ? conn_due(conn, now) : DUE_NOTHING;
        while (due != DUE_NOTHING) {
            conn_handle_due(conn, due, now);
            conn_count_visited(1);
            conn = conn_by_id(net, id);
            due = conn ? conn_due(conn, now) : DUE_NOTHING;
        }
    }
}

/* ===== Public functions: sending ===== */

/** A message handed over to the loop's thread. */
typedef struct {
    struct cds_list_head node;
    peer_net_t *net;
    char addr[CODEC_STR_SIZE];
    uint32_t type;
    uint64_t call;
    char *data;
    size_t size;
    frame_priority_t priority;
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
    pending_call_t *const pending = o->callback ? calloc(1, sizeof(*pending)) : NULL;
    if (!conn_queue(conn, o->data, o->size, o->call, o->priority)) {
        free(pending);
        tc_err_set(&err, TC_E_FULL, "send", o->addr, "the peer takes its messages too slowly");
        outgoing_fail(o, &err);
        return;
    }
    if (pending) {
        *pending = (pending_call_t){.id = o->call, .deadline = o->deadline, .callback = o->callback, .arg = o->arg};
        cds_list_add_tail(&pending->node, &conn->pending);
    }
    if (conn->state == CONN_READY)
        (void)conn_flush(conn);
}

/** @return the oldest one, removed from the list, or NULL */
static outgoing_t *outgoing_take(peer_net_t *net)
{
    pthread_mutex_lock(&net->lock);
    outgoing_t *const o =
        cds_list_empty(&net->outgoing) ? NULL : cds_list_first_entry(&net->outgoing, outgoing_t, node);
    if (o)
        cds_list_del(&o->node);
    pthread_mutex_unlock(&net->lock);
    return o;
}

/** Posted once for each message. */
static void run_outgoing(void *arg)
{
    outgoing_t *const o = outgoing_take(arg);
    assert(o); /* only peer_destroy takes others, and it cancels the posted functions */
    outgoing_deliver(o);
    free(o);
}

static void outgoing_post(outgoing_t *o)
{
    peer_net_t *const net = o->net;
    pthread_mutex_lock(&net->lock);
    cds_list_add_tail(&o->node, &net->outgoing);
    loop_post(net->loop, run_outgoing, net); /* under the lock, so that the messages of each thread keep their order */
    pthread_mutex_unlock(&net->lock);
}

static void outgoing_cancel(outgoing_t *o)
{
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_CANCELLED, "stop", o->addr, "stopping");
    free(o->data);
    outgoing_fail(o, &err);
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
    assert(callback); /* one-way messages use peer_send */
    outgoing_t *const o = outgoing_create(net, addr, type, message, true);
    o->deadline = tc_time_now() + limit;
    o->callback = callback;
    o->arg = arg;
    outgoing_post(o);
}

void peer_send(peer_net_t *net, const char *addr, uint32_t type, const void *message)
{
    outgoing_post(outgoing_create(net, addr, type, message, false));
}

void peer_send_urgent(peer_net_t *net, const char *addr, uint32_t type, const void *message)
{
    outgoing_t *const o = outgoing_create(net, addr, type, message, false);
    o->priority = FRAME_URGENT;
    outgoing_post(o);
}

peer_backlog_t peer_backlog(const peer_net_t *net, tc_time_t now)
{
    peer_backlog_t backlog = {.bytes = net->queued};
    conn_t *conn;
    cds_list_for_each_entry(conn, &net->conns, node) {
        struct cds_list_head *const queue = cds_list_empty(&conn->send_queue) ? &conn->deferred : &conn->send_queue;
        if (cds_list_empty(queue))
            continue;
        const tc_time_t age = now - cds_list_first_entry(queue, queued_frame_t, node)->at;
        if (age < backlog.oldest)
            continue;
        backlog.oldest = age;
        codec_copy_string(backlog.addr, sizeof(backlog.addr), conn->addr);
    }
    return backlog;
}

/** A thread blocked in peer_call_wait. */
typedef struct {
    sem_t done;
    int rc;
    uint32_t reply_type;
    void *reply;
    tc_err_t *err;
} waiter_t;

/** Deep-copies a decoded message by encoding and decoding it. */
static int copy_message(uint32_t type, void *to, const void *from, tc_err_t *err)
{
    size_t size;
    char *const data = frame_pack(type, 0, false, from, &size);
    frame_t frame = {0};
    const int rc = frame_unpack(data + FRAME_LENGTH_BYTES, size - FRAME_LENGTH_BYTES, &frame, err);
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
    if (conn_queue(conn, data, size, 0, FRAME_NORMAL))
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

/* ===== Public functions: create and destroy ===== */

static int start_listening(peer_net_t *net, const char *addr, tc_err_t *err)
{
    const int fd = peer_open_listener(addr, "listen for peers", err);
    TC_CHECK(fd);
    net->listener = (loop_watch_t){.fd = fd, .on_io = on_accept, .arg = net};
    return loop_watch(net->loop, &net->listener, EPOLLIN);
}

static void net_free(peer_net_t *net)
{
    g_hash_table_destroy(net->by_id);
    g_hash_table_destroy(net->groups);
    g_array_free(net->due, TRUE);
    pthread_mutex_destroy(&net->lock);
    free(net);
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
    CDS_INIT_LIST_HEAD(&net->outgoing);
    pthread_mutex_init(&net->lock, NULL);
    net->by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
    net->groups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    net->due = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    CDS_INIT_LIST_HEAD(&net->backoffs);
    const int keyed =
        options->key_file[0] ? key_load(&net->key, options->key_file, err) : key_set_public(&net->key, err);
    const char *const at = options->bind ? options->bind : options->listen;
    if (keyed < 0 || (options->listen[0] && start_listening(net, at, err) < 0)) {
        net_free(net);
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
    loop_remove_ticks(net->loop, net);
    peer_stop_listening(net);
    while (!cds_list_empty(&net->conns)) /* a callback may send, which may close another connection */
        conn_close(cds_list_first_entry(&net->conns, conn_t, node), TC_E_CANCELLED, "stop", "stopping");
    /* Messages that the loop has not taken up are cancelled as well. */
    for (outgoing_t *o = outgoing_take(net); o; o = outgoing_take(net))
        outgoing_cancel(o);
    loop_cancel_posted(net->loop, net);
    backoff_t *b, *following;
    cds_list_for_each_entry_safe(b, following, &net->backoffs, node)
        free(b);
    net_free(net);
}
