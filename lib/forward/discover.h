/** @file discover.h
 * Reads the platform's list of back ends: paged, some hundred ms behind, with a bounded rate of calls (paged_read.h).
 *
 * One reader tells everyone (the leader of the control boxes); an entry box reads
 * by itself only while it hears nothing. Runs in the loop's thread.
 */
#ifndef TRACKCOVE_FORWARD_DISCOVER_H
#define TRACKCOVE_FORWARD_DISCOVER_H

/* ===== Dependencies ===== */

#include "gen/schema.h"
#include "peer/loop.h"
#include "web/web_client.h"

/* ===== Types ===== */

typedef struct discover discover_t;

/** A whole list was read. @param started when its first page was asked for: nothing in it is older than that less
 *  the platform's own lag */
typedef void (*discover_fn_t)(void *arg, const backend_t *list, uint32_t n, tc_time_t started);

/** Where the list is. */
typedef struct {
    const char *addr; /**< of the platform, copied */
    double rate;      /**< calls a second that it takes from all boxes together, above 0 */
} discover_platform_t;

/* ===== Public functions ===== */

/** @param fn is told every list that was read whole */
discover_t *discover_create(loop_t *loop, web_client_t *client, const discover_platform_t *platform, discover_fn_t fn,
                            void *arg);
/** A reading under way ends without a report. */
void discover_destroy(discover_t *discover);

/** Read the list now, unless a reading is under way. */
void discover_start(discover_t *discover);
/** Drop the reading under way, if there is one. */
void discover_stop(discover_t *discover);
/** So many boxes read by themselves now, this one included. */
void discover_set_readers(discover_t *discover, unsigned readers);
/** When the last reading was begun, 0 for never. */
tc_time_t discover_last_started(const discover_t *discover);
/** As paged_read_interval and paged_read_calls. */
tc_time_t discover_interval(const discover_t *discover);
unsigned discover_calls(const discover_t *discover);

#endif
