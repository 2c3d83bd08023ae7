/** @file peer_internal.h
 * Private to peer.c (dialling, sending, start and stop) and peer_conn.c (one connection).
 */
#ifndef TRACKCOVE_PEER_PEER_INTERNAL_H
#define TRACKCOVE_PEER_PEER_INTERNAL_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <pthread.h>
#include <urcu/list.h>

#include "peer/key.h"
#include "peer/peer.h"

/* ===== Constants ===== */

enum {
    /** Most bytes queued for one peer; further calls are refused (back-pressure). */
    CONN_QUEUE_MAX_BYTES = 16 * 1024 * 1024,
    /** Only larger frames are subject to TOTAL_QUEUE_MAX_BYTES: smaller ones, such as heartbeats, pass. */
    LARGE_FRAME_BYTES = 64 * 1024,
    /** Most bytes queued for all peers together, in a process that may have 88 MB. The sender of a refused large frame
     *  asks again. */
    TOTAL_QUEUE_MAX_BYTES = 24 * 1024 * 1024,
    /** Largest frame accepted from a peer that has not yet proved the cluster key; bounds the memory kept for it. */
    HELLO_FRAME_MAX_BYTES = 1024,
    /** A reachable box answers within one round trip, a few ms. The kernel resends a SYN only after 1 s, so dialling
     *  again finds a box that was without power sooner. */
    CONNECT_TIMEOUT_MS = 200,
    HANDSHAKE_TIMEOUT_MS = 1000,
    /** TCP_USER_TIMEOUT: a connection whose bytes stay unacknowledged for this long is closed. */
    UNACKED_TIMEOUT_MS = 1500,
    /** The peer is pinged when a frame was sent and nothing was received for this long. Reports are answered every
     *  300 ms, so pings are rare. */
    PING_IDLE_MS = 400,
    /** The connection is closed when a frame was sent and nothing was received for this long, even if something in
     *  between still acknowledges its bytes. A new connection takes a few ms, and a peer that stood still for a second
     *  has lost its leases anyway. The part after the ping is time in which this loop ran: a loop that stood still has
     *  not sent its ping, or its machine may have stopped the peer as well. */
    SILENCE_TIMEOUT_MS = 1000,
    /** Most time between two ticks that counts as time in which the loop ran: four periods of TICK_MS. */
    TICK_STALL_MS = 100,
    /** First delay after a failed connect. */
    BACKOFF_MIN_MS = 50,
    /** Longest delay: a box that is back must be found within the election timeout. */
    BACKOFF_MAX_MS = 500,
    /** Period of the deadline check; each one is a wake-up that costs processor time. */
    TICK_MS = 25,
    READ_BYTES = 65536,
    /** How long a one-way message waits for a connection. */
    SEND_WAIT_MS = 2000
};

/* ===== Types ===== */

typedef enum { CONN_CONNECTING, CONN_HELLO, CONN_READY } conn_state_t;

/** A frame queued for sending. */
typedef struct {
    struct cds_list_head node;
    char *data;
    size_t size;
    size_t written;
    uint64_t call; /* id if it carries a call of this process, else 0 */
    tc_time_t at;  /* when it was queued */
    bool urgent;   /* sent before frames that are not */
} queued_frame_t;

/** A call of this process that waits for its reply, or for a connection to be sent on. */
typedef struct {
    struct cds_list_head node;
    uint64_t id;
    bool sent; /* at least one byte of it may have left */
    tc_time_t deadline;
    peer_reply_t callback;
    void *arg;
} pending_call_t;

/** All connections to one address: dialled to it, or accepted from the box that listens on it. */
typedef struct {
    char addr[CODEC_STR_SIZE];
    struct cds_list_head conns; /* conn_t.group_node */
} conn_group_t;

typedef struct {
    struct cds_list_head node;
    struct cds_list_head group_node; /* in group->conns */
    conn_group_t *group;             /* NULL while the address is unknown */
    peer_net_t *net;
    uint64_t id;
    loop_watch_t watch;
    conn_state_t state;
    bool dialed;
    char addr[CODEC_STR_SIZE]; /* dialled: the target; accepted: the listener that the peer named, if any */
    char box[CODEC_STR_SIZE];  /* authenticated name, once ready */
    char nonce[CODEC_STR_SIZE];
    tc_time_t connect_deadline; /* dialled connections only */
    tc_time_t hello_deadline;
    tc_time_t unanswered_since;      /* when a frame was sent after which no byte was received; 0: none */
    bool pinged;                     /* a ping was sent since then */
    tc_time_t pinged_at;             /* value of net->ran at that ping */
    struct cds_list_head send_queue; /* frames being written */
    struct cds_list_head deferred;   /* frames to write once ready */
    size_t out_bytes;                /* queued in both */
    struct cds_list_head pending;    /* pending_call_t */
    char *in;
    size_t in_size, in_capacity;
    bool want_write; /* EPOLLOUT is requested */
} conn_t;

/** Delay before the next dial of an address that failed. */
typedef struct {
    struct cds_list_head node;
    char addr[CODEC_STR_SIZE];
    tc_time_t until;
    tc_time_t delay; /* ms, without jitter */
} backoff_t;

struct peer_net {
    loop_t *loop;
    peer_options_t options;
    char box[CODEC_STR_SIZE];
    char listen[CODEC_STR_SIZE];
    cluster_key_t key;
    loop_watch_t listener;
    struct cds_list_head conns;
    GHashTable *by_id;  /* connections by id: a box with hundreds of them looks one up for each frame */
    GHashTable *groups; /* by address -> conn_group_t, owned */
    GArray *due;        /* ids of connections with an expired deadline; reused by each tick */
    struct cds_list_head backoffs;
    tc_time_t ticked_at;  /* time of the last tick; 0: none */
    tc_time_t ran;        /* ms for which the loop has run; more than TICK_STALL_MS between ticks is left out */
    size_t queued;        /* bytes queued for all peers */
    pthread_mutex_t lock; /* guards outgoing */
    struct cds_list_head outgoing; /* messages not yet taken up by the loop's thread; owned by the net */
    uint64_t next_id;
    unsigned jitter; /* state of the linear congruential generator for the jitter */
};

/* ===== Connections (peer_conn.c) ===== */

/** The backoff of an address, or NULL. */
backoff_t *backoff_find(const peer_net_t *net, const char *addr);
/** Ends a call with an error. Frees @p pending. */
void pending_fail(pending_call_t *pending, const char *peer, int code, const char *step, const char *detail);
/** Makes a connection that owns the socket @p fd, dialled or accepted. @return NULL when out of memory */
conn_t *conn_create(peer_net_t *net, int fd, bool dialed);
/** Sets the address and moves the connection to the group of that address. */
void conn_set_addr(conn_t *conn, const char *addr);
/** Counts connections that were visited one by one, for the metric. */
void conn_count_visited(unsigned n);
/** Closes and frees a connection. Its pending calls fail with @p code, or as unreachable if no byte was sent. */
void conn_close(conn_t *conn, int code, const char *step, const char *detail);
/** Writes as much as the socket takes. @return false when the connection is closed and freed */
bool conn_flush(conn_t *conn);
/** Order in which queued frames are sent. */
typedef enum {
    FRAME_NORMAL,
    FRAME_URGENT,   /* before normal frames */
    FRAME_HANDSHAKE /* before all others, which are deferred until the handshake is done */
} frame_priority_t;

/** Queues a frame and takes ownership of @p data. @return false, with the frame dropped, when a queue limit is
 *  exceeded */
bool conn_queue(conn_t *conn, char *data, size_t size, uint64_t call, frame_priority_t priority);
/** Sends this side's hello. @param their_nonce NULL: without a proof @return false when the connection is closed */
bool conn_send_hello(conn_t *conn, const char *direction, const char *their_nonce);
/** Pings the peer. @return false when the connection is closed */
bool conn_ping(conn_t *conn);
/** @return the connection, or NULL when it is closed */
conn_t *conn_by_id(const peer_net_t *net, uint64_t id);

#endif
