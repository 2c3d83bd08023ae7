/** @file peer_internal.h
 * Shared by peer.c (dialling, sending, life) and peer_conn.c (one connection); nobody else includes it.
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
    OUT_MAX = 16 * 1024 * 1024,    /* bytes waiting for a slow peer before calls are refused: back-pressure */
    LARGE_FRAME = 64 * 1024,       /* frames above this share QUEUED_MAX; those below, heartbeats among them, pass */
    QUEUED_MAX = 24 * 1024 * 1024, /* bytes waiting for all peers together, of a process that may have 88 MB: whoever
                                      is refused a large frame asks again */
    HELLO_FRAME_MAX = 1024,        /* nobody unproved makes us keep more than this */
    CONNECT_LIMIT_MS = 200,        /* a box in reach answers within a round trip, some ms. The kernel repeats what a box
                                      without power left unanswered only after 1 s: dialling anew finds it sooner */
    HELLO_LIMIT_MS = 1000,         /* time for the handshake */
    UNACKED_LIMIT_MS = 1500,       /* a connection whose bytes nobody takes up for so long is given up */
    PING_AFTER_MS = 400,    /* bytes were sent and none came for so long: the peer is asked whether it is there. Reports
                               are answered every 300 ms, so that this is rare */
    SILENT_LIMIT_MS = 1000, /* and for so long: the connection is given up, though its bytes may still be taken up by
                               something between. A new one takes some ms; a peer that stood still for a second
                               has lost its leases anyway */
    BACKOFF_MIN_MS = 50,    /* first pause after a failed connect */
    BACKOFF_MAX_MS = 500,   /* longest pause: a box that is back must be found within the election time */
    TICK_MS = 25,           /* how often deadlines are looked at: each look is a wake-up that costs */
    READ_SIZE = 65536,
    SEND_WAIT_MS = 2000 /* how long a one-way message waits for a connection */
};

/* ===== Types ===== */

typedef enum { CONN_CONNECTING, CONN_HELLO, CONN_READY } conn_state_t;

/** One frame waiting to be written. */
typedef struct {
    struct cds_list_head node;
    char *data;
    size_t size;
    size_t written;
    uint64_t call; /* 0 unless it is a call of ours */
    tc_time_t at;  /* when it was queued */
    bool first;    /* ahead of those that are not */
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

/** The connections to one address: that dialled there, and accepted from whoever listens there. */
typedef struct {
    char addr[CODEC_STR_SIZE];
    struct cds_list_head conns; /* conn_t.beside */
} conn_group_t;

typedef struct {
    struct cds_list_head node;
    struct cds_list_head beside; /* in its group, */
    conn_group_t *group;         /* NULL: its address is not known */
    peer_net_t *net;
    uint64_t id;
    loop_watch_t watch;
    conn_state_t state;
    bool dialed;
    char addr[CODEC_STR_SIZE]; /* dialled: where to; accepted: the listener the peer named, if any */
    char box[CODEC_STR_SIZE];  /* proved name, once ready */
    char nonce[CODEC_STR_SIZE];
    tc_time_t connect_deadline; /* of a dialled one */
    tc_time_t hello_deadline;
    tc_time_t quiet_since;        /* a frame was sent then and no byte has come since; 0: one has, or none was sent */
    bool pinged;                  /* the peer was asked since then */
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
    GHashTable *by_id;  /* the same by number: a box with hundreds of connections looks one up for each frame */
    GHashTable *groups; /* by address -> conn_group_t, owned */
    GArray *due;        /* room for the numbers of connections of which time asks something */
    struct cds_list_head backoffs;
    size_t queued;                 /* bytes waiting for all peers */
    pthread_mutex_t lock;          /* guards outgoing */
    struct cds_list_head outgoing; /* messages on their way to the loop's thread: they end with the net */
    uint64_t next_id;
    unsigned jitter; /* state of the jitter's own small generator */
};

/* ===== Connections (peer_conn.c) ===== */

/** Pause that is on for an address, or NULL. */
backoff_t *backoff_find(const peer_net_t *net, const char *addr);
/** End a call with an error. */
void pending_fail(pending_t *pending, const char *peer, int code, const char *step, const char *detail);
/** A connection over a socket, dialled or accepted. */
conn_t *conn_create(peer_net_t *net, int fd, bool dialed);
/** Its address is known now. */
void conn_set_addr(conn_t *conn, const char *addr);
/** Count connections that were looked at one by one. */
void conn_count_scanned(unsigned n);
/** End a connection; calls that wait on it fail with @p code, or as unreachable if nothing of them was sent. */
void conn_close(conn_t *conn, int code, const char *step, const char *detail);
/** Write what can be written. @return false when the connection is gone */
bool conn_flush(conn_t *conn);
/** How a frame goes out. */
typedef enum {
    FRAME_IN_TURN,
    FRAME_FIRST, /* ahead of those in turn */
    FRAME_HELLO  /* part of the handshake: ahead of all others, which wait until that is done */
} frame_turn_t;

/** Queue a frame, which is taken over. @return false when the peer takes too little */
bool conn_queue(conn_t *conn, char *data, size_t size, uint64_t call, frame_turn_t turn);
/** Send our part of the handshake. @param their_nonce NULL sends no proof yet @return false when the connection is gone
 */
bool send_hello(conn_t *conn, const char *direction, const char *their_nonce);
/** Ask the peer whether it is there. @return false when the connection is gone */
bool conn_ping(conn_t *conn);
/** A connection that still stands, or NULL. */
conn_t *conn_by_id(const peer_net_t *net, uint64_t id);

#endif
