/** @file sched_ranked.h
 * Who gets engine memory when it is short, for models whose requests have different urgencies (ranked models).
 * Private to the scheduler. docs/design/contended-capacity.md, part 2, has the reasons.
 */
#ifndef TRACKCOVE_SCHED_SCHED_RANKED_H
#define TRACKCOVE_SCHED_SCHED_RANKED_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"
#include "sched/sched.h"

/* ===== Constants ===== */

enum {
    KEEP_ENGINES_MAX = 1024, /* engines among which the kept ones are chosen, the first usable ones of the pool: bounds
                                the cost of a pass where there are thousands */
    MODEL_RANKED_MS = 10000, /* a model is ranked for this long after the last ranked request: boxes with other
                                configurations or versions send some without, for a while */
    KEPT_PART = 8            /* the least urgent requests keep at most one decode engine in this many: limits what
                                fragmentation costs the others */
};

/* ===== Types ===== */

typedef struct engine engine_t;
typedef struct model model_t;
typedef struct request request_t;

/** Decode engines of a model that requests keep for themselves, out of at most KEEP_ENGINES_MAX. Holds for one pass of
 *  dispatch. */
typedef struct {
    uint64_t pass;
    GArray *free;     /* usable decode engines that nobody keeps, as a heap with the most free memory first */
    uint32_t decodes; /* usable decode engines */
    uint32_t kept;    /* engines that are kept, */
    uint32_t by_last; /* those of them that the least urgent requests keep */
    uint32_t last_priority, last_rank; /* urgency of the least urgent request of the model in the queue */
} keep_t;

/* ===== Order (sched_request.c) ===== */

/** Compares by priority and rank: negative when @p a is more urgent. */
int request_compare_urgency(const request_t *a, const request_t *b);
/** Position of a return among requests of the same rank and lateness: with a promise first, before its time last. */
int return_order(return_kind_t kind);
/** Order of the queue, and of estimates: urgency, those that can meet their target before late ones, promised returns
 *  first and early ones last, due time. Negative when @p a is served before @p b. */
int request_compare(const request_t *a, const request_t *b);

/* ===== Kept engines (sched_keep.c) ===== */

/** Whether requests of the model have different urgencies. */
bool model_is_ranked(const model_t *m, tc_time_t now);
/** Lets a queued request without room keep an engine for the rest of the pass: the one with the most free memory that
 *  nobody keeps. Later requests get nothing there, so its memory grows until the request fits. Does nothing unless the
 *  model is ranked. Scans the model's decode engines once per pass. */
void keep_engine(sched_t *s, request_t *r, tc_time_t now);
/** Whether a request keeps the engine in the present pass. */
bool engine_is_kept(const sched_t *s, const engine_t *e);
/** Whether the engine is kept from @p r, for an earlier request. A request that has been placed, and needs another
 *  decode engine for its finished prompt, may use any. */
bool is_kept_from(const sched_t *s, const engine_t *e, const request_t *r);
void keep_free(keep_t *keep);

#endif
