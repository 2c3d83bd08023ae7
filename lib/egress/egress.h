/** @file egress.h
 * How a box's connections reach back ends: directly, or through the relay of another box while the own path is cut.
 *
 * A relayed connection is opened by the other box and carries the bytes as they are: requests, retries, limits, slots
 * and reservations stay with the box that has the caller, and the other one reads nothing of them. There is one hop
 * only, since a relay connects directly. A request has not been sent while no relay has confirmed its connection.
 *
 * The relay listens at the port after that of the box's peer address. It connects to listed back ends only, and takes
 * any caller: the network between the boxes has to be closed to other hosts.
 *
 * Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_EGRESS_EGRESS_H
#define TRACKCOVE_EGRESS_EGRESS_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/err.h"
#include "common/time.h"
#include "gen/schema.h"
#include "peer/loop.h"

/* ===== Types ===== */

typedef struct egress egress_t;

/** What the egress learns from its user; strings are copied, callbacks get @p arg. */
typedef struct {
    const char *box;
    const char *dc;
    const char *peer_bind; /**< "IP:port" that the box's peer listener binds to; the relay binds to the port after it */
    /** Id of the listed back end at an address, NULL for none. */
    const char *(*find_id)(void *arg, const char *addr);
    /** Address of a listed back end, NULL for none. */
    const char *(*find_addr)(void *arg, const char *id);
    void *arg;
} egress_options_t;

/* ===== Public functions ===== */

/** Starts the relay. @return NULL with @p err filled on failure */
egress_t *egress_create(loop_t *loop, const egress_options_t *options, tc_err_t *err);
/** Closes the relayed connections of other boxes. All dials have ended or are cancelled. */
void egress_destroy(egress_t *egress);

/** Sets the boxes whose relays may be used, this one included. */
void egress_set_boxes(egress_t *egress, const entry_box_t *boxes, uint32_t n);
/** Sets what runs when a path is found cut: connections that were opened to @p addr before hang or are reset. */
void egress_on_cut(egress_t *egress, void (*fn)(void *arg, const char *addr), void *arg);
/** The relay opens no further connections; those that are open go on. */
void egress_drain(egress_t *egress);
/** Number of connections that other boxes have through this one. */
unsigned egress_relayed_count(const egress_t *egress);

/** Whether the next connection to a back end is opened through another box: a kept direct one would hang. */
bool egress_prefers_relay(const egress_t *egress, const char *addr);
/** Whether this box counts as cut off from all back ends. */
bool egress_is_cut_off(const egress_t *egress);

/** Bytes came over a direct connection that was opened at @p opened_at. */
void egress_record_answer(egress_t *egress, const char *addr, tc_time_t opened_at);
/** A direct connection broke before the first byte of an answer. */
void egress_record_broken(egress_t *egress, const char *addr);
/** A relayed connection has been closed. @param relay as in dial_result_t */
void egress_record_closed(egress_t *egress, const char *relay);

#endif
