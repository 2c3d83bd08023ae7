/** @file peer.h
 * Calls and one-way messages between the processes of trackcove.
 *
 * The transport is TCP with frames as in frame.h. A connection opens with a
 * handshake in which both sides prove that they know the cluster key
 * (HMAC-SHA-256 over both nonces). This authenticates the peer, not each frame.
 * A pair of processes shares one connection: a call to an address uses an
 * accepted connection from there if one exists.
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

/** Largest frame accepted or sent, in bytes. */
#define PEER_FRAME_MAX_BYTES (8u * 1024 * 1024)

/** Handle of one call that waits for its reply. A plain value; replies to it are dropped once the connection is
 *  closed. */
typedef struct {
    uint64_t connection;
    uint64_t call; /**< 0: a one-way message; replies to it are dropped */
} peer_call_t;

/** Called for each received message. @p message is borrowed and freed after the handler returns.
 * @param from box name of the peer, authenticated with the cluster key */
typedef void (*peer_handler_t)(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message);

/** Called when a call ends: @p rc is 0 with the reply, or negative with @p err. @p message is borrowed and freed after
 *  the callback returns. */
typedef void (*peer_reply_t)(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err);

typedef struct {
    const char *box;      /**< name of this box */
    uint64_t incarnation; /**< larger after every start */
    const char *listen;   /**< IP:port that this process advertises; "" accepts no connections */
    const char *bind;     /**< IP:port to bind; NULL: same as listen */
    const char *key_file; /**< the cluster key; "" only where the network between the boxes is closed to other
                               hosts: any process that speaks the protocol is accepted */
    peer_handler_t handler;
    void *arg;
} peer_options_t;

/** Frames queued for other boxes. */
typedef struct {
    size_t bytes;
    tc_time_t oldest;          /**< age of the oldest frame, in ms; 0 when none waits */
    char addr[CODEC_STR_SIZE]; /**< peer of the oldest frame */
} peer_backlog_t;

/* ===== Public functions ===== */

/** Creates a net and starts listening. @p loop must outlive it. @return NULL with @p err filled on failure */
peer_net_t *peer_create(loop_t *loop, const peer_options_t *options, tc_err_t *err);

/** Call after loop_run returned. Open calls end with TC_E_CANCELLED, including those that the loop has not taken up and
 *  those that their callbacks make; a callback must therefore not repeat its call without end. */
void peer_destroy(peer_net_t *net);

/** Sends a call that times out after @p limit ms. @p callback runs exactly once: with the reply, or with
 *  TC_E_UNREACHABLE (nothing was sent), TC_E_BROKEN (it may have arrived), TC_E_TIMEOUT (it may have arrived),
 *  TC_E_FULL (nothing was sent), or the peer's own error. */
void peer_call(peer_net_t *net, const char *addr, uint32_t type, const void *message, tc_time_t limit,
               peer_reply_t callback, void *arg);

/** As peer_call, but blocks until the call ends. Not from the loop's thread.
 * @param reply receives a message of type @p reply_type; when 0 is returned, the caller releases it with codec_free */
int peer_call_wait(peer_net_t *net, const char *addr, uint32_t type, const void *message, tc_time_t limit,
                   uint32_t reply_type, void *reply, tc_err_t *err);

/** Sends a one-way message. It is lost when no connection is made in time or the queue is full. */
void peer_send(peer_net_t *net, const char *addr, uint32_t type, const void *message);

/** As peer_send, but before all frames queued for the same peer that are not urgent: heartbeats and votes must not wait
 *  behind bulk data. */
void peer_send_urgent(peer_net_t *net, const char *addr, uint32_t type, const void *message);

/** Answers a call. From the loop's thread, in the handler or at any later time. */
void peer_reply(peer_net_t *net, peer_call_t call, uint32_t type, const void *message);

/** Answers a call with an error. From the loop's thread. */
void peer_reply_error(peer_net_t *net, peer_call_t call, const tc_err_t *err);

/** Sums up the queued frames; visits every connection. From the loop's thread. */
peer_backlog_t peer_backlog(const peer_net_t *net, tc_time_t now);

/** Stops accepting connections; existing ones stay open. From the loop's thread. */
void peer_stop_listening(peer_net_t *net);

/** Opens a non-blocking socket that listens on @p at ("IP:port"). @param step operation that @p err names
 * @return the file descriptor, or negative with @p err filled */
int peer_open_listener(const char *at, const char *step, tc_err_t *err);

/** Parses "IP:port" with a numeric IPv4 address. */
struct sockaddr_storage;
int peer_parse_addr(const char *text, struct sockaddr_storage *to, unsigned *size, tc_err_t *err);

#endif
