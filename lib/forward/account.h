/** @file account.h
 * Which callers were served late or not at all, and why: from the log lines of entry boxes.
 *
 * A caller that asks again gets a new request id. Its tries are put together by the last part of the prompt, which is
 * the caller's own, as long as they follow each other; a request without a prompt stands alone. Times are those of the
 * boxes' wall clocks, so that tries at two boxes whose clocks differ may seem nearer or farther apart than they were.
 */
#ifndef TRACKCOVE_FORWARD_ACCOUNT_H
#define TRACKCOVE_FORWARD_ACCOUNT_H

/* ===== Dependencies ===== */

#include <glib.h>

/* ===== Types ===== */

/** What came of a caller's tries. Where several causes meet, the first in this order is told: the one that a router can
 *  do most about. */
typedef enum {
    CAUSE_SERVED,       /**< in time */
    CAUSE_FULL_LATE,    /**< refused for want of room, served late on return */
    CAUSE_FULL,         /**< refused for want of room, and not served */
    CAUSE_REFUSED_LATE, /**< refused for another reason, served late on return */
    CAUSE_REFUSED,      /**< refused for another reason, and not served */
    CAUSE_BOX_LATE,     /**< its box ended in the middle, taken up again with too long a pause, or late */
    CAUSE_BOX,          /**< its box ended in the middle, and it was not taken up again */
    CAUSE_ENGINE_LATE,  /**< its back end broke off, or turned it away: served late */
    CAUSE_ENGINE,       /**< the same, and not served */
    CAUSE_FIRST_LATE,   /**< nothing of that, and its first event or answer was late */
    CAUSE_PAUSED,       /**< nothing of that, and a later event was late */
    CAUSE_BACKEND,      /**< the back end's own failure was delivered */
    CAUSE_CALLER_LEFT,  /**< the caller left */
    CAUSE_OTHER,
    CAUSE_COUNT
} cause_t;

/** Names of the causes, for people. */
extern const char *const account_cause_names[CAUSE_COUNT];

/** Requests shown as examples of each cause. */
enum { ACCOUNT_EXAMPLES = 3 };

/** Callers of one service. */
typedef struct {
    const char *service;
    unsigned callers;
    unsigned count[CAUSE_COUNT];
    const char *examples[CAUSE_COUNT][ACCOUNT_EXAMPLES]; /**< ids of first requests; NULL for none */
} account_service_t;

typedef struct account account_t;

/* ===== Public functions ===== */

account_t *account_create(void);
void account_destroy(account_t *account);

/** Take one line of a log, in any order of boxes but the order of one box's lines. What stands before the line's JSON,
 *  as a collector adds, is passed over, and so are lines of other kinds. */
void account_add_line(account_t *account, const char *text);

/** Put the tries of each caller together and count them by service and cause.
 * @return account_service_t in the order in which services were met first, for g_array_free; its texts stay the
 *         account's */
GArray *account_classify(account_t *account);

#endif
