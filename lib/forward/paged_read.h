/** @file paged_read.h
 * One reader of the platform's list of back ends: which page is asked for, and when. The platform takes so many calls a
 * second from all boxes together and refuses the rest; a reading keeps to a part of that, and asks for a page that was
 * refused once more instead of beginning anew. A list is one reading's, whole, or there is none. Pure: answers and the
 * time go in.
 */
#ifndef TRACKCOVE_FORWARD_PAGED_READ_H
#define TRACKCOVE_FORWARD_PAGED_READ_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>

#include "common/err.h"
#include "common/time.h"
#include "gen/schema.h"

/* ===== Types ===== */

typedef struct paged_read paged_read_t;

/** What comes next. */
typedef enum {
    PAGED_READ_IDLE,    /**< no reading is under way */
    PAGED_READ_REQUEST, /**< ask for paged_read_token now; it counts as asked */
    PAGED_READ_WAIT,    /**< not before a time */
    PAGED_READ_PENDING  /**< a page has been asked for and not been answered */
} paged_read_step_t;

/** What came of an answer. */
typedef enum {
    PAGED_READ_MORE,     /**< the reading goes on */
    PAGED_READ_COMPLETE, /**< the list is whole: see paged_read_list */
    PAGED_READ_FAILED    /**< the reading is over, and what was read is dropped */
} paged_read_outcome_t;

/* ===== Public functions ===== */

/** @param rate calls a second that the platform takes from all boxes together, above 0 */
paged_read_t *paged_read_create(double rate);
void paged_read_destroy(paged_read_t *read);

/** So many boxes read by themselves now, this one included: each keeps to an equal part. */
void paged_read_set_readers(paged_read_t *read, unsigned readers);
/** Begin a reading, unless one is under way. */
void paged_read_begin(paged_read_t *read, tc_time_t now);
/** Drop the reading under way, if there is one. */
void paged_read_end(paged_read_t *read);

/** @param until filled in with the time to wait for */
paged_read_step_t paged_read_next(paged_read_t *read, tc_time_t now, tc_time_t *until);
/** The page to ask for, "" for the first. Borrowed until its answer. */
const char *paged_read_token(const paged_read_t *read);

/** The page came. @param page backend_t, its entries @param next token of the next one, NULL on the last
 *  @param err why, when it fails: a token that came before, or more than a list can have */
paged_read_outcome_t paged_read_page(paged_read_t *read, const GArray *page, const char *next, tc_err_t *err);
/** The platform refused the call, since there were too many: the page is asked for again, later each time.
 *  @return MORE, or FAILED after several refusals in a row */
paged_read_outcome_t paged_read_refused(paged_read_t *read, tc_time_t now, tc_err_t *err);

/** The list of the last whole reading, each back end once; of one in several pages also those that only the reading
 *  before has: what moves from page to page while it is read may be missed. Borrowed until the next reading is whole.
 *  @return backend_t */
const GArray *paged_read_list(const paged_read_t *read);
/** When the reading that is under way, or the last one, was begun; 0 for never. */
tc_time_t paged_read_started_at(const paged_read_t *read);
/** Calls that a reading takes, by the last whole one; 1 before that. */
unsigned paged_read_calls(const paged_read_t *read);
/** Least time between the beginnings of two readings by which this reader keeps to its part, ms. */
tc_time_t paged_read_interval(const paged_read_t *read);

#endif
