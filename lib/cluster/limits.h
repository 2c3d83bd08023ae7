/** @file limits.h
 * Limits that back ends name for all boxes together, at the leader of the control boxes: which are known, and the one
 * count of what all boxes send to each back end that names one.
 *
 * What is known comes from boxes, which tell what answers said. A new leader begins with nothing and hears it again
 * from each box. Counting is cap/cap_ledger.h's, with the back ends as subjects. No engine is granted by the scheduler
 * beyond its limit.
 *
 * Nothing here fails, blocks or reads the clock. Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_CLUSTER_LIMITS_H
#define TRACKCOVE_CLUSTER_LIMITS_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "cap/cap_ledger.h"
#include "gen/schema.h"
#include "sched/sched.h"

/* ===== Types ===== */

typedef struct limits limits_t;

/* ===== Public functions ===== */

/** @param rules what may be sent beyond a limit, copied */
limits_t *limits_create(const cap_rules_t *rules);
void limits_destroy(limits_t *limits);

/** This box begins to lead: nothing is known. */
void limits_begin(limits_t *limits, tc_time_t now);
/** Call every tick. @param boxes as cap_ledger_set_boxes */
void limits_tick(limits_t *limits, unsigned boxes, tc_time_t now);
/** These back ends are listed: limits of others are forgotten. */
void limits_list(limits_t *limits, const backend_t *list, uint32_t n, tc_time_t now);

/** A box reports: take what answers told it and what it sent by itself, and fill in what it is to know, borrowed until
 *  the next call of any function. */
void limits_take_report(limits_t *limits, const msg_report_t *report, msg_report_ack_t *ack, tc_time_t now);
/** A box asks for one request. @param after when it may send one, ms from now, if it may not now */
bool limits_take(limits_t *limits, const limit_news_t *limit, tc_time_t now, tc_time_t *after);

/** Count what the scheduler granted on engines with limits, and allow it what is left of them. Call after whatever may
 *  have granted, or have changed a limit. */
void limits_bind_engines(limits_t *limits, sched_t *sched, tc_time_t now);

#endif
