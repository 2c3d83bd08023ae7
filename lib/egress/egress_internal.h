/** @file egress_internal.h
 * Shared by egress.c, dial.c and relay_server.c. Private to these files.
 */
#ifndef TRACKCOVE_EGRESS_EGRESS_INTERNAL_H
#define TRACKCOVE_EGRESS_EGRESS_INTERNAL_H

/* ===== Dependencies ===== */

#include <glib.h>

#include "egress/dial.h"
#include "egress/path_table.h"
#include "egress/relay_pool.h"
#include "egress/relay_server.h"

/* ===== Constants ===== */

enum {
    /** After this long without a connection, another box is asked. A reachable back end accepts within a few ms. */
    EGRESS_DIRECT_MS = 150,
    /** Time in which a relay connects to a back end. */
    EGRESS_RELAY_CONNECT_MS = 100,
    /** Time in which a relay answers, its own connection included. */
    EGRESS_RELAY_ANSWER_MS = 200,
    /** A relayed connection whose other end does not acknowledge bytes, or keep-alive probes, for this long is closed.
     */
    EGRESS_UNACKED_MS = 3000
};

/* ===== Types ===== */

struct egress {
    loop_t *loop;
    egress_options_t options;
    char box[CODEC_STR_SIZE], dc[CODEC_STR_SIZE];
    path_table_t *paths;
    relay_pool_t *relays;
    relay_server_t *server;
    GRand *random;
    void (*on_cut)(void *arg, const char *addr);
    void *on_cut_arg;
    uint64_t boxes_hash; /* of the list that the relays are from */
    bool was_cut_off;
    tc_time_t cut_off_at;
    dial_t probe;
    char probed[CODEC_STR_SIZE]; /* back end that is being probed, or "" */
    loop_watch_t settling;       /* connection of the probe, once it is open; fd is -1 for none */
    loop_timer_t settle_timer;
};

/* ===== Functions ===== */

/** Sets up keep-alive and time-outs of a connection between two boxes that carries bytes of a back end. */
void egress_guard_socket(int fd);
/** Opens a non-blocking socket and begins to connect. @return the file descriptor, or negative errno */
int egress_connect(const char *addr);
/** The pending error of a socket. */
int egress_take_error(int fd);

/** As path_table_record_*, with what follows from them: a log line, on_cut. */
void egress_record_failure(egress_t *egress, const char *backend);
void egress_record_relayed(egress_t *egress, const char *backend, const char *relay);
void egress_record_unreachable(egress_t *egress, const char *backend);

#endif
