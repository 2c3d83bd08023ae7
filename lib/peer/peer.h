/** @file peer.h
 * Calls and one-way messages between the processes of trackcove.
 *
 * TCP, frames of a 4-byte big-endian length and a msgpack array
 * [type, call id, reply?, body]. A connection opens with a handshake in which
 * both sides prove that they know the cluster key (HMAC-SHA-256 over both
 * nonces); it authenticates the peer, not each frame. A pair of processes uses
 * one connection: a call to an address goes over a connection that came in from
 * there, if there is one.
 *
 * Threads: handlers and callbacks run in the loop's thread; peer_call,
 * peer_call_wait and peer_send may be used from any thread.
 */
#ifndef TRACKCOVE_PEER_PEER_H
#define TRACKCOVE_PEER_PEER_H

/* ===== Dependencies ===== */

#include "common/err.h"
#include "common/time.h"
#include "gen/schema.h"
#include "peer/loop.h"

/* ===== Types ===== */

typedef struct peer_net peer_net_t;

/** Largest frame taken or sent, in bytes. */
#define PEER_FRAME_MAX_BYTES (8u * 1024 * 1024)

/** Names one call that waits for its reply. By value; stays valid, though perhaps useless, for ever. */
typedef struct {
    uint64_t connection;
    uint64_t call; /**< 0: a one-way message, replies to it are dropped */
} peer_call_t;

/** A message came in. @p message belongs to the caller of the handler and is freed after it returns.
 * @param from box name the peer proved with the cluster key */
typedef void (*peer_handler_t)(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message);

/** A call ended: @p rc is 0 with the reply, or negative with @p err. @p message is freed after it returns. */
typedef void (*peer_reply_t)(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err);

typedef struct {
    const char *box;      /**< own name */
    uint64_t incarnation; /**< larger after every start */
    const char *listen;   /**< IP:port by which others reach us, or "" to take no connections */
    const char *bind;     /**< IP:port where the port is opened; NULL: at listen */
    const char *key_file; /**< the cluster key; "" where the network between the boxes is closed to others: then
                               any process that speaks the protocol is let in */
    peer_handler_t handler;
    void *arg;
} peer_options_t;

/** What waits for other boxes to take it. */
typedef struct {
    size_t bytes;
    tc_time_t oldest;          /**< age of the oldest frame, in ms; 0 when none waits */
    char addr[CODEC_STR_SIZE]; /**< for whom it waits */
} peer_backlog_t;

/* ===== Public functions ===== */

/** Set up and start listening. @p loop must outlive the result. @return NULL with @p err filled */
peer_net_t *peer_create(loop_t *loop, const peer_options_t *options, tc_err_t *err);

/** After loop_run returned. Calls still open end with TC_E_CANCELLED, also those that the loop has not taken up; what
 *  their callbacks call ends so too, so that none may call again without end. */
void peer_destroy(peer_net_t *net);

/** Send a call. @p callback runs exactly once: with the reply, or with
 *  TC_E_UNREACHABLE (nothing was sent), TC_E_BROKEN (it may have arrived), TC_E_TIMEOUT (it may have arrived),
 *  TC_E_FULL (nothing was sent), or the peer's own error. */
void peer_call(peer_net_t *net, const char *addr, uint32_t type, const void *message, tc_time_t limit,
               peer_reply_t callback, void *arg);

/** As peer_call, and wait. Not from the loop's thread.
 * @param reply a message of type @p reply_type, to be freed with codec_free by the caller when 0 is returned */
int peer_call_wait(peer_net_t *net, const char *addr, uint32_t type, const void *message, tc_time_t limit,
                   uint32_t reply_type, void *reply, tc_err_t *err);

/** Send without waiting for anything; lost if there is no connection within a short while. */
void peer_send(peer_net_t *net, const char *addr, uint32_t type, const void *message);

/** As peer_send, ahead of all that waits for the same peer and is not sent first itself: heartbeats and votes must not
 *  wait behind bulk. */
void peer_send_urgent(peer_net_t *net, const char *addr, uint32_t type, const void *message);

/** Answer a call; from the loop's thread, at any time after the handler began. */
void peer_reply(peer_net_t *net, peer_call_t call, uint32_t type, const void *message);

/** Answer a call with an error. */
void peer_reply_error(peer_net_t *net, peer_call_t call, const tc_err_t *err);

/** A walk over all connections. From the loop's thread. */
peer_backlog_t peer_backlog(const peer_net_t *net, tc_time_t now);

/** Take connections no more; those that stand stay. From the loop's thread. */
void peer_stop_listening(peer_net_t *net);

/** A socket that listens on "IP:port". @param step what @p err says failed
 * @return the file descriptor, or negative with @p err */
int peer_open_listener(const char *at, const char *step, tc_err_t *err);

/** Read "IP:port" with a numeric IP. */
struct sockaddr_storage;
int peer_parse_addr(const char *text, struct sockaddr_storage *to, unsigned *size, tc_err_t *err);

#endif
