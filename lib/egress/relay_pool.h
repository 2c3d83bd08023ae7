/** @file relay_pool.h
 * The other boxes that may open connections to back ends on behalf of this one, and the choice of one.
 *
 * Pure: no I/O, no clock. Times are ms of tc_time_now.
 */
#ifndef TRACKCOVE_EGRESS_RELAY_POOL_H
#define TRACKCOVE_EGRESS_RELAY_POOL_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

enum {
    /** A box that did not help is avoided for this long, doubled with each failure in a row up to the second value. */
    RELAY_AVOID_MIN_MS = 500,
    RELAY_AVOID_MAX_MS = 4000
};

/* ===== Types ===== */

typedef struct relay_pool relay_pool_t;

/** Another box. Valid until relay_pool_set; relay_pool_find gives it again by its address. */
typedef struct {
    char box[CODEC_STR_SIZE];
    char addr[CODEC_STR_SIZE]; /**< of its relay, "IP:port" */
    char dc[CODEC_STR_SIZE];
    unsigned tunnels;      /**< open through it, for this box */
    unsigned failures;     /**< in a row */
    tc_time_t avoid_until; /**< chosen before then only when there is no other */
} relay_t;

/** Requirements on a box. */
typedef struct {
    const char *dc;           /**< preferred data centre */
    const char *const *tried; /**< addresses to exclude */
    unsigned tried_n;
    bool known_good; /**< only boxes that are not avoided */
    uint32_t random;
    tc_time_t now;
} relay_query_t;

/* ===== Public functions ===== */

relay_pool_t *relay_pool_create(void);
void relay_pool_destroy(relay_pool_t *pool);

/** Replaces the list of boxes; those in both lists keep their state. Boxes that are leaving, or not ready, and @p self
 *  are left out. */
void relay_pool_set(relay_pool_t *pool, const entry_box_t *boxes, uint32_t n, const char *self);
/** The less used of two random ones, with a preference for the query's data centre. @return NULL when none is left */
relay_t *relay_pool_choose(const relay_pool_t *pool, const relay_query_t *query);
/** @return NULL when the box is not listed any more */
relay_t *relay_pool_find(const relay_pool_t *pool, const char *addr);
/** The box opened a connection, or did not. */
void relay_record_success(relay_t *relay);
void relay_record_failure(relay_t *relay, tc_time_t now);

/** Address of a box's relay: the port that follows the one of its peer address.
 *  @return false when the address cannot be parsed */
bool relay_addr_of(const char *peer_addr, char to[CODEC_STR_SIZE]);

#endif
