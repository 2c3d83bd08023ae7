/** @file returns.h
 * When refused callers may come back, and how they are recognised when they do.
 *
 * A schedule of RETURNS_SLOT_MS wide slots holds the room that is set aside for callers who were told to return. It is
 * filled by the rate at which room comes free beyond what new requests take, which its owner measures. The unit of room
 * is the owner's: pieces of engine memory, or slots of back ends. State is soft: it lives at the leader, and a new
 * leader starts with none.
 *
 * Pure: no I/O, no clock. Not thread-safe.
 */
#ifndef TRACKCOVE_ADMISSION_RETURNS_H
#define TRACKCOVE_ADMISSION_RETURNS_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"

/* ===== Constants ===== */

/** Width of one slot of the schedule, ms. Callers return within some ten ms of the time that they were told. */
#define RETURNS_SLOT_MS 100
/** Earliest return, ms: a caller needs a round trip, and what refused it needs time to pass. */
#define RETURNS_MIN_MS 300
/** Length of the schedule, ms: a third of the longest patience of callers, 14 s, rounded up. */
#define RETURNS_HORIZON_MS 5000
/** Most requests remembered. Beyond that the oldest is forgotten, and counts as new when it returns. */
#define RETURNS_MAX 100000
/** A caller that returns earlier than told by more than this has not waited as told. */
#define RETURNS_EARLY_MS 100
/** A promise lapses when its caller is later than told by more than this. */
#define RETURNS_LATE_MS 500

/* ===== Types ===== */

typedef struct returns returns_t;

/** A request that is refused. */
typedef struct {
    uint64_t fingerprint;  /**< equal for all attempts of the request; 0: it cannot be recognised when it returns */
    tc_time_t arrived;     /**< when this attempt came */
    tc_time_t target;      /**< when its answer was due, counted from this attempt */
    tc_time_t patience_ms; /**< time that the caller has left; it follows Retry-After up to a third of that */
    double units;          /**< room that it needs, more than 0 */
} returns_request_t;

/** What a refused caller is told. */
typedef struct {
    tc_time_t after_ms; /**< Retry-After */
    bool promised;      /**< room is set aside for it at that time */
} returns_plan_t;

/** How a request relates to an earlier refusal. */
typedef enum {
    RETURN_NEW,        /**< not known to have been refused */
    RETURN_PROMISED,   /**< returns at the time for which it was promised room */
    RETURN_UNPROMISED, /**< returns no earlier than told, without a promise or after it lapsed */
    RETURN_EARLY       /**< returns before the time that it was told */
} return_kind_t;

/** A recognised return. */
typedef struct {
    return_kind_t kind;
    tc_time_t first_arrived; /**< first attempt */
    tc_time_t target;        /**< when the answer was due, counted from the first attempt */
    unsigned refusals;       /**< so far */
} returns_match_t;

/** Counts since creation. */
typedef struct {
    uint64_t refused, promised;      /**< refusals, and those of them with a promise */
    uint64_t in_time, early, lapsed; /**< returns as promised; before their time; promised ones that came too late */
    uint64_t kept, broken;           /**< promised returns that got room, or were refused again */
    uint32_t remembered;             /**< requests now */
    double booked;                   /**< room set aside from now on */
    double rate;                     /**< as last set, units per ms */
} returns_stats_t;

/* ===== Public functions ===== */

returns_t *returns_create(void);
void returns_destroy(returns_t *returns);

/** Sets the estimated rate at which room comes free beyond what new requests take. @param rate units per ms, 0 or more
 */
void returns_set_rate(returns_t *returns, double rate);

/** Records a refusal and chooses the time to return: the first slot with room, or without one the end of what the
 *  caller follows. A request that was refused before keeps its first arrival and target. */
returns_plan_t returns_refuse(returns_t *returns, const returns_request_t *request, tc_time_t now);

/** Looks up a request that arrives. Nothing changes. */
returns_match_t returns_find(const returns_t *returns, uint64_t fingerprint, tc_time_t now);
/** A request got room: its promise, if it has one, is kept, and the request is forgotten. @param arrived when the
 *  attempt that got room came, which may have waited since: the promise was to be there in time */
void returns_served(returns_t *returns, uint64_t fingerprint, tc_time_t arrived);

/** Forgets expired requests and past slots. Call about once a second, and before reading stats. */
void returns_tick(returns_t *returns, tc_time_t now);
returns_stats_t returns_stats(const returns_t *returns);

#endif
