/** @file slot_pool.h
 * Hands out the slots of one plain service's back ends, one per request, and queues requests while none is free.
 *
 * Runs at the leader of the control boxes. Source of the back ends is the platform's list; source of their speed is
 * backend/load_reading.h. A slot is held by a ticket from the grant until the box reports the end of its call, until
 * the patience of the request is over, or until the box has not reported for SLOT_BOX_TIMEOUT_MS.
 *
 * Invariants, asserted by slot_pool_check:
 *  - no back end gets more tickets than its slots and the extra ones of slot_depth.h at that moment, nor than
 * connections that it accepts, less what boxes have there without a ticket;
 *  - a request is queued or has one ticket, never both; a ticket is given out once;
 *  - every call of slot_pool_take gets exactly one answer.
 *
 * Pure: no I/O, no clock. Not thread-safe.
 */
#ifndef TRACKCOVE_ADMISSION_SLOT_POOL_H
#define TRACKCOVE_ADMISSION_SLOT_POOL_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "admission/returns.h"
#include "admission/slot_depth.h"
#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** A box that has not reported for this long has ended, and its tickets with it: five reports in a row. */
#define SLOT_BOX_TIMEOUT_MS 1500
/** A new pool grants nothing for this long, unless all boxes have reported earlier what they have in flight. */
#define SLOT_REBUILD_MS 450
/** Most queued requests; more are refused. */
#define SLOT_QUEUE_MAX 100000

/* ===== Types ===== */

typedef struct slot_pool slot_pool_t;

/** Identifies a waiting call; its meaning is up to the caller of the pool. */
typedef struct {
    uint64_t a, b;
} slot_token_t;

/** Answer to one call. */
typedef struct {
    slot_token_t token;
    char id[CODEC_STR_SIZE]; /**< of the request */
    msg_slot_taken_t taken;
    bool repeated;        /**< superseded by a repeated call, or withdrawn: this answer is no decision */
    uint32_t waited_ms;   /**< in the queue */
    uint32_t queued;      /**< requests that wait, after the decision */
    uint32_t extra;       /**< tickets that the chosen back end may get beyond its slots */
    tc_time_t reading_ms; /**< age of the newest reading of the chosen back end; TC_TIME_NEVER for none */
} slot_answer_t;

/** State of one back end, for logs and status pages. */
typedef struct {
    char backend[CODEC_STR_SIZE];
    uint32_t slots, tickets, unticketed;
    uint32_t extra;    /**< tickets that it may get beyond its slots */
    bool failing;      /**< several calls in a row ended without an answer: it gets one request at a time */
    double pace;       /**< percent, 100: as usual */
    double service_ms; /**< at pace 100 */
} slot_backend_view_t;

/** Totals of a pool. */
typedef struct {
    uint32_t backends, slots, tickets, unticketed;
    uint32_t queued, queued_late; /**< the second: of them, those that can no longer meet their target */
    double rate;                  /**< requests per second that ended, moving average */
    uint64_t granted, refused;    /**< requests */
    uint64_t expired;             /**< of those refused, ones that could not be answered before their patience ended */
    uint64_t unused;              /**< tickets that were returned unused */
    double delay_ms;              /**< mean delay of the messages about one ticket */
    uint32_t extra;               /**< tickets that the back ends may get beyond their slots */
} slot_stats_t;

struct admission_service; /* admission/admission_view.h */

/* ===== Public functions ===== */

/** @param service copied @param rebuild whether another leader may have handed out slots just before
 *  @param returns borrowed, or NULL: schedule from which refused requests get their Retry-After; its unit is one slot.
 *  The pool sets its rate, and the caller calls returns_tick */
slot_pool_t *slot_pool_create(const char *service, bool rebuild, returns_t *returns, tc_time_t now);
/** Waiting calls get no answer. */
void slot_pool_destroy(slot_pool_t *pool);

/** Sets the back ends of the service; @p list may hold others, which are ignored. Leaving ones, and those in evacuated
 *  data centres, must be marked as draining: they get no new requests. Tickets of unlisted ones stay until they end. */
void slot_pool_set_backends(slot_pool_t *pool, const backend_t *list, uint32_t n, tc_time_t now);
/** Handles a box's report of what it has in flight. Requests beyond its tickets count as unticketed. Loads of back ends
 *  that are not listed are ignored, and reports before the first list do not count for the end of a rebuild. */
void slot_pool_set_box_loads(slot_pool_t *pool, const char *box, const backend_load_t *loads, uint32_t n,
                             tc_time_t now);
/** Sets the weight of a workspace, as in fair_share.h; 1 unless set. @param weight at least 1 */
void slot_pool_set_weight(slot_pool_t *pool, const char *workspace, uint32_t weight);
/** Sets the number of live boxes: a rebuild ends once all of them have reported. */
void slot_pool_expect_boxes(slot_pool_t *pool, uint32_t boxes);

/** Asks for a slot. The connections that it states count from now on for all back ends. Answered through
 * slot_pool_next_answer, at the latest when the patience of the request is over. A request id that already waits keeps
 * its position; its former call is answered as repeated. Ids are distinguished by box, and by the time at which the box
 * received the request (now less waited_ms, within 200 ms), since callers choose them. If the request has a ticket and
 * the call repeats an unanswered one, the ticket ends: the box has not got it.
 */
void slot_pool_take(slot_pool_t *pool, const msg_slot_take_t *take, slot_token_t token, tc_time_t now);
/** The call that used a ticket has ended. Unknown tickets, and those of another request or box, are ignored, but for
 *  the reading. With ticket 0 and outcome unused, the request of that id is withdrawn: its caller has left, or its box
 *  does not wait for the answer any longer. A ticket that it was given, but did not get, ends. */
void slot_pool_done(slot_pool_t *pool, const msg_slot_done_t *done, tc_time_t now);

/** Grants nothing while suspended: the box cannot tell whether it still leads. State is kept. */
void slot_pool_suspend(slot_pool_t *pool, bool suspended);
/** Advances time: ends tickets, refuses overdue requests, grants. Call at least every 50 ms. */
void slot_pool_tick(slot_pool_t *pool, tc_time_t now);
/** Takes the next answer. @return false when there is none */
bool slot_pool_next_answer(slot_pool_t *pool, slot_answer_t *answer);

slot_stats_t slot_pool_stats(const slot_pool_t *pool);
/** Fills in at most @p room entries. @return number of back ends, which may be larger */
uint32_t slot_pool_list(const slot_pool_t *pool, slot_backend_view_t *views, uint32_t room, tc_time_t now);
/** Fills in the view of the service, but for its name and kind. Walks over all queued requests and back ends. */
void slot_pool_view(const slot_pool_t *pool, struct admission_service *view, tc_time_t now);
/** Asserts every invariant. Walks over all requests and back ends. */
void slot_pool_check(const slot_pool_t *pool);

#endif
