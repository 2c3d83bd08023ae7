/** @file proxy.h
 * A TCP proxy on loopback that harms what passes through it: delays, resets, silence, one way cut.
 *
 * Connections are accepted whatever the mode, as the network accepts what it will
 * lose. Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_TESTS_PROXY_H
#define TRACKCOVE_TESTS_PROXY_H

#include "peer/loop.h"

/** What happens to bytes. */
typedef enum {
    PROXY_PASS,
    PROXY_DELAY,        /**< they pass 150 ms later */
    PROXY_DROP_ANSWERS, /**< those of the side that listens are lost */
    PROXY_DROP_CALLS,   /**< those of the side that dialled are lost */
    PROXY_DROP_ALL,     /**< all are lost */
    PROXY_MODES
} proxy_mode_t;

/** Names of the modes, for the schedule. */
extern const char *const proxy_mode_names[PROXY_MODES];

typedef struct proxy proxy_t;

/** Listen at @p at, "IP:port", and connect what comes to @p to. */
proxy_t *proxy_start(loop_t *loop, const char *at, const char *to);
/** From now on. What was lost stays lost: connections that lost bytes are reset when the mode changes. */
void proxy_set(proxy_t *proxy, proxy_mode_t mode);
/** No more than @p rate bytes a second pass each way of a connection, 0 for any number: whoever sends more waits. */
void proxy_set_rate(proxy_t *proxy, size_t rate);
/** The connections that stand lose all from now on, for good; new ones pass. */
void proxy_blackhole(proxy_t *proxy);
/** The connections that stand let @p bytes more of one direction pass, lose what follows in it for good, and stay open;
 *  new ones pass. @param answers the direction from the side that listens, else that from the side that dialled */
void proxy_blackhole_after(proxy_t *proxy, bool answers, size_t bytes);
/** Reset all connections. */
void proxy_reset(proxy_t *proxy);
/** The one it connects to has ended: connections are refused, those that stand are reset; or it is there again. */
void proxy_set_down(proxy_t *proxy, bool down);
/** Close everything. */
void proxy_stop(proxy_t *proxy);

#endif
