/** @file paged_read.h
 * State machine of one reader of the platform's list of back ends: which page to request, and when. The platform
 * accepts a fixed rate of calls from all boxes together and refuses the rest; a read stays within a share of that rate,
 * and requests a refused page again instead of starting over. A list is always the complete result of one read. No I/O,
 * no clock: answers and the time are passed in.
 */
#ifndef TRACKCOVE_FORWARD_PAGED_READ_H
#define TRACKCOVE_FORWARD_PAGED_READ_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>

#include "common/err.h"
#include "common/time.h"
#include "forward/route.h"
#include "gen/schema.h"

/* ===== Types ===== */

typedef struct paged_read paged_read_t;

/** Next action of the caller. */
typedef enum {
    PAGED_READ_IDLE,    /**< no read is in progress */
    PAGED_READ_REQUEST, /**< request the page of paged_read_token now; it counts as requested */
    PAGED_READ_WAIT,    /**< call again at the given time */
    PAGED_READ_PENDING  /**< a page was requested and not answered yet */
} paged_read_step_t;

/** Effect of an answer. */
typedef enum {
    PAGED_READ_MORE,     /**< the read continues */
    PAGED_READ_COMPLETE, /**< the list is complete: see paged_read_list */
    PAGED_READ_FAILED    /**< the read has ended, and its pages are dropped */
} paged_read_outcome_t;

/* ===== Public functions ===== */

/** @param rate calls per second that the platform accepts from all boxes together, above 0 */
paged_read_t *paged_read_create(double rate);
void paged_read_destroy(paged_read_t *read);

/** Sets how many boxes read the list now, this one included: each gets an equal share of the rate. */
void paged_read_set_readers(paged_read_t *read, unsigned readers);
/** Sets the table whose services are those of the configuration; a reference is taken. Of two entries with one id, one
 * of such a service is kept: another writer may list its own under ids of back ends. */
void paged_read_set_table(paged_read_t *read, route_table_t *table);
/** Starts a read, unless one is in progress. */
void paged_read_begin(paged_read_t *read, tc_time_t now);
/** Drops the read in progress, if any. */
void paged_read_end(paged_read_t *read);

/** @param until set to the time to wait for on PAGED_READ_WAIT */
paged_read_step_t paged_read_next(paged_read_t *read, tc_time_t now, tc_time_t *until);
/** Token of the page to request, "" for the first. Borrowed until its answer. */
const char *paged_read_token(const paged_read_t *read);

/** Adds the requested page. @param page backend_t, its entries @param next token of the next page, NULL on the last
 *  @param err set on failure: a repeated token, or more pages or entries than a list may have */
paged_read_outcome_t paged_read_page(paged_read_t *read, const GArray *page, const char *next, tc_err_t *err);
/** The platform refused the call for its rate limit: the page is requested again, with exponential backoff.
 *  @return PAGED_READ_MORE, or PAGED_READ_FAILED after several refusals in a row */
paged_read_outcome_t paged_read_refused(paged_read_t *read, tc_time_t now, tc_err_t *err);

/** The list of the last complete read, each back end once. If it has several pages, it also holds the back ends that
 *  only the read before it had: a read can miss entries that move between pages meanwhile. Borrowed until the next read
 *  is complete. @return backend_t */
const GArray *paged_read_list(const paged_read_t *read);
/** When the read in progress, or else the last one, was started; 0 for never. */
tc_time_t paged_read_started_at(const paged_read_t *read);
/** Calls that a read takes, by the last complete one; 1 before that. */
unsigned paged_read_calls(const paged_read_t *read);
/** Shortest time between the starts of two reads with which this reader stays within its share, ms. */
tc_time_t paged_read_interval(const paged_read_t *read);

#endif
