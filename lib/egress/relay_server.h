/** @file relay_server.h
 * Opens connections to back ends for other boxes, and passes the bytes on in both directions. Bounded: a number of
 * connections, and a buffer for each direction of each; a slow reader holds up the writer.
 *
 * A connection begins with relay_open, answered by relay_opened, both as frames of peer/frame.h. After that the bytes
 * from the box are passed on as they are, those from the back end framed as in egress/tunnel.h.
 *
 * Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_EGRESS_RELAY_SERVER_H
#define TRACKCOVE_EGRESS_RELAY_SERVER_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/err.h"
#include "peer/loop.h"

/* ===== Constants ===== */

enum {
    RELAY_CONNECTIONS_MAX = 256,
    RELAY_BUFFER_BYTES = 16 * 1024, /**< for each direction of a connection */
    RELAY_OPEN_TIMEOUT_MS = 1000    /**< from accepting a connection to its relay_open */
};

/* ===== Types ===== */

typedef struct relay_server relay_server_t;
struct egress;

/* ===== Public functions ===== */

/** Listens at "IP:port". @p egress is borrowed. @return NULL with @p err filled */
relay_server_t *relay_server_start(struct egress *egress, const char *listen, tc_err_t *err);
/** Opens no further connections. */
void relay_server_drain(relay_server_t *server);
unsigned relay_server_count(const relay_server_t *server);
/** Resets all connections and frees the server. */
void relay_server_stop(relay_server_t *server);

#endif
