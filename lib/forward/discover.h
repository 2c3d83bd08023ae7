/** @file discover.h
 * Reads the platform's list of back ends. The list is paged, lags by some hundred ms, and is read with a bounded rate
 * of calls (paged_read.h).
 *
 * The leader of the control boxes reads it and distributes it to all boxes; an entry box reads it itself only while it
 * gets no list from the leader. Runs in the loop's thread.
 */
#ifndef TRACKCOVE_FORWARD_DISCOVER_H
#define TRACKCOVE_FORWARD_DISCOVER_H

/* ===== Dependencies ===== */

#include "forward/route.h"
#include "gen/schema.h"
#include "peer/loop.h"
#include "web/web_client.h"

/* ===== Types ===== */

typedef struct discover discover_t;

/** Called with each complete list. @param started when its first page was requested: no entry is older than that minus
 *  the platform's own lag */
typedef void (*discover_fn_t)(void *arg, const backend_t *list, uint32_t n, tc_time_t started);

/** The platform that serves the list. */
typedef struct {
    const char *addr; /**< address of the platform, copied */
    double rate;      /**< calls per second that it accepts from all boxes together, above 0 */
} discover_platform_t;

/* ===== Public functions ===== */

/** @param fn called with each complete list, in the loop's thread */
discover_t *discover_create(loop_t *loop, web_client_t *client, const discover_platform_t *platform, discover_fn_t fn,
                            void *arg);
/** Drops the read in progress without a callback. */
void discover_destroy(discover_t *discover);

/** Starts a read, unless one is in progress. */
void discover_start(discover_t *discover);
/** Drops the read in progress, if any. */
void discover_stop(discover_t *discover);
/** Sets how many boxes read the list now, this one included: they share the rate. */
void discover_set_readers(discover_t *discover, unsigned readers);
/** Sets the table whose services are those of the configuration, see paged_read_set_table. */
void discover_set_table(discover_t *discover, route_table_t *table);
/** When the last read was started, 0 for never. */
tc_time_t discover_last_started(const discover_t *discover);
/** See paged_read_interval and paged_read_calls. */
tc_time_t discover_interval(const discover_t *discover);
unsigned discover_calls(const discover_t *discover);

#endif
