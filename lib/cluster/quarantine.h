/** @file quarantine.h
 * Requests under which back ends end. One that ends each back end that begins to run it is found out by the third, and
 * is sent to no more; until then it is kept apart from others like it, so that those that only ran beside it are not
 * taken for it.
 *
 * A back end that ended while it ran a request counts against that request, and against all others that it ran. A run
 * that ends well clears its request. Many back ends that end within a moment ended for a cause of their own (a
 * power supply, a switch) and count against nobody. A request with QUARANTINE_CRASH_LIMIT of them is held: for
 * QUARANTINE_HOLD_MS, then one more run may clear it.
 *
 * Entry boxes find ends out and tell the leader, which adds them up, decides, and tells all boxes. A box without a
 * leader goes by what it knows. Both have one of these tables; which requests are held is told on by whoever knows.
 *
 * No I/O, no clock.
 */
#ifndef TRACKCOVE_CLUSTER_QUARANTINE_H
#define TRACKCOVE_CLUSTER_QUARANTINE_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

enum {
    /** One may be chance, and so may two on a day on which back ends crash; a third costs another back end, and
     *  everything that it runs. */
    QUARANTINE_CRASH_LIMIT = 3,
    /** Ends that are as many ms apart, or less, have one cause: boxes find them out within some ms of each other. */
    QUARANTINE_CORRELATION_MS = 50,
    /** Back ends that end in such a moment, from which on a request that ran on one of them is not the cause: as many
     * as a data centre has. Several requests that come at once end two or three; with 3 here one of them was sent on
     * after its third. With waves in which a fifth of 5 to 20 engines ends every 3 s,
     *  106 of 64,005 innocents are held, 20 with a 3 here: that is the price. */
    QUARANTINE_CORRELATED_MIN = 6,
    /** Before an end is judged: until all boxes have told what ended beside it. */
    QUARANTINE_SETTLE_MS = 150,
    /** How long a request is held, from its newest end: one that goes on ending back ends costs one in this time, and
     *  one that was held for nothing gets its next try then. */
    QUARANTINE_HOLD_MS = 10 * 60 * 1000,
    /** How long ends are remembered. */
    QUARANTINE_RETENTION_MS = 60 * 60 * 1000,
    /** Requests in a table, some 250 bytes each; the one of which nothing was heard for longest makes room. */
    QUARANTINE_REQUESTS_MAX = 1024,
    /** Suspects that are told to boxes, those held first, then the newest: 3 KB in an answer. */
    QUARANTINE_SUSPECTS_MAX = 128
};

/* ===== Types ===== */

typedef struct quarantine quarantine_t;

/* ===== Life ===== */

quarantine_t *quarantine_create(void);
void quarantine_destroy(quarantine_t *quarantine);

/* ===== What was found out ===== */

/** A back end ended at @p at, at most @p now, while it ran the request. @return whether it is news */
bool quarantine_add_crash(quarantine_t *q, uint64_t request, const char *backend, tc_time_t at, tc_time_t now);
/** A run of the request ended well at @p at: ends before count no more. Requests that are held stay so. */
void quarantine_clear(quarantine_t *q, uint64_t request, tc_time_t at);
/** The request is held somewhere else, since @p since. */
void quarantine_hold(quarantine_t *q, uint64_t request, tc_time_t since, tc_time_t now);

/* ===== Looking ===== */

/** How many ends count against the request: QUARANTINE_CRASH_LIMIT, and no more, when it is held. */
unsigned quarantine_crash_count(quarantine_t *q, uint64_t request, tc_time_t now);
/** For how long a request with QUARANTINE_CRASH_LIMIT of them will be held, at least 1; 0 when it is not. */
tc_time_t quarantine_remaining_ms(quarantine_t *q, uint64_t request, tc_time_t now);
/** Grows whenever a request comes to be held. */
uint64_t quarantine_version(const quarantine_t *q);
/** All that are held. @return heap array for free(), its length in @p n */
request_age_t *quarantine_list_held(quarantine_t *q, uint32_t *n, tc_time_t now);

/** Judge what has settled and forget what is old. Call now and then. */
void quarantine_tick(quarantine_t *q, tc_time_t now);

/* ===== From box to leader ===== */

/** Fill in what the leader of that term has not heard of. To be freed with codec_free. */
void quarantine_fill_report(quarantine_t *q, quarantine_news_t *news, tc_time_t now);
/** The leader of @p term has answered a report with the news that were filled in last. @return whether there are more
 *  for it: the leader of another term is told everything anew */
bool quarantine_confirm_report(quarantine_t *q, uint64_t term);
/** Take a box's news. @param on_end called for each end that is news, may be NULL */
void quarantine_apply_changes(quarantine_t *q, const quarantine_news_t *news, tc_time_t now,
                              void (*on_end)(void *arg, const char *backend, tc_time_t at), void *arg);

/* ===== From leader to the other control boxes ===== */

/** Number of the newest change, which grows with each. */
uint64_t quarantine_seq(const quarantine_t *q);
/** Fill in what has changed after that number, 0 for all, as far as one message goes. To be freed with codec_free.
 *  @return number of the last change in it: what comes behind it is for the next message */
uint64_t quarantine_fill_changes(const quarantine_t *q, uint64_t after, quarantine_news_t *news, tc_time_t now);

/* ===== From leader to box ===== */

/** The list of suspects as boxes are told it, borrowed until the next call. @param hash names its state, never 0 */
const suspect_request_t *quarantine_suspects(quarantine_t *q, uint32_t *n, uint64_t *hash, tc_time_t now);
/** Take that list from a leader, in place of the one before; what is held stays so without it. */
void quarantine_apply_suspects(quarantine_t *q, const suspect_request_t *list, uint32_t n, uint64_t hash,
                               tc_time_t now);
/** Hash of the list taken last, 0 before the first. */
uint64_t quarantine_suspects_hash(const quarantine_t *q);

#endif
