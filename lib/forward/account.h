/** @file account.h
 * Counts, from the log lines of entry boxes, which callers were served late or not at all, and why.
 *
 * A caller that retries gets a new request id. Its attempts are matched by the last part of the prompt, which is unique
 * to the caller, within the longest time that a caller waits; a request without a prompt stands alone. Times are the
 * boxes' wall clocks, so the distance between attempts at two boxes is off by the difference of their clocks.
 */
#ifndef TRACKCOVE_FORWARD_ACCOUNT_H
#define TRACKCOVE_FORWARD_ACCOUNT_H

/* ===== Dependencies ===== */

#include <glib.h>

/* ===== Types ===== */

/** Outcome of a caller's attempts. Of several causes the first in this order is reported: the one that a router can
 *  influence most. */
typedef enum {
    CAUSE_SERVED,       /**< served in time */
    CAUSE_FULL_LATE,    /**< refused for lack of capacity, served late by a retry */
    CAUSE_FULL,         /**< refused for lack of capacity, and not served */
    CAUSE_REFUSED_LATE, /**< refused for another reason, served late by a retry */
    CAUSE_REFUSED,      /**< refused for another reason, and not served */
    CAUSE_BOX_LATE,     /**< its box ended during the request; resumed with too long a pause, or late */
    CAUSE_BOX,          /**< its box ended during the request, and it was not resumed */
    CAUSE_ENGINE_LATE,  /**< its back end broke off or refused it; served late */
    CAUSE_ENGINE,       /**< its back end broke off or refused it; not served */
    CAUSE_FIRST_LATE,   /**< none of the above; its first event or answer was late */
    CAUSE_PAUSED,       /**< none of the above; a later event was late */
    CAUSE_BACKEND,      /**< the back end answered with an error, which was delivered */
    CAUSE_CALLER_LEFT,  /**< the caller disconnected */
    CAUSE_OTHER,
    CAUSE_COUNT
} cause_t;

/** Human-readable names of the causes. */
extern const char *const account_cause_names[CAUSE_COUNT];

/** Example requests kept for each cause. */
enum { ACCOUNT_EXAMPLES = 3 };

/** Callers of one service. */
typedef struct {
    const char *service;
    unsigned callers;
    unsigned count[CAUSE_COUNT];
    const char *examples[CAUSE_COUNT][ACCOUNT_EXAMPLES]; /**< ids of the callers' first requests; NULL for none */
} account_service_t;

typedef struct account account_t;

/* ===== Public functions ===== */

account_t *account_create(void);
void account_destroy(account_t *account);

/** Adds one log line. Lines of one box must come in their order; boxes may be interleaved. Text before the JSON object,
 *  as log collectors add, is skipped, and so are lines of other kinds. */
void account_add_line(account_t *account, const char *text);

/** Groups the attempts of each caller and counts callers by service and cause.
 * @return account_service_t in the order in which services first appear, for g_array_free; its strings are owned by
 *         the account */
GArray *account_classify(account_t *account);

#endif
