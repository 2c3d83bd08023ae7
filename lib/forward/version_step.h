/** @file version_step.h
 * How a request finds out which software version its stream is bound to. Pure: the box's view goes in, the next step
 * comes out.
 */
#ifndef TRACKCOVE_FORWARD_VERSION_STEP_H
#define TRACKCOVE_FORWARD_VERSION_STEP_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/time.h"

/* ===== Types ===== */

/** What the box knows. A stream whose version the leader named is known here from then on. */
typedef struct {
    bool is_taken_up;   /**< its caller has part of the stream */
    bool is_known;      /**< the version that began it is known here */
    bool names_attempt; /**< its caller names the attempt that brought its first event */
    bool can_ask;       /**< a leader that understands the question has answered the last report */
    bool was_asked;     /**< the leader does not know the stream */
    unsigned versions;  /**< of the service that serve or served lately, as far as this box knows */
    bool is_current;    /**< its list cannot lack a version that others know */
    bool
        awaits_leader; /**< a leader has still to say which versions left before this box started, and may do so soon */
    bool may_wait;     /**< the caller still bears a wait */
} version_view_t;

typedef enum {
    VERSION_ANY,   /**< any version may run it */
    VERSION_BOUND, /**< the one that is known */
    VERSION_ASK,   /**< ask the leader */
    VERSION_WAIT,  /**< ask again, or look again, a little later */
    VERSION_REFUSE /**< several are possible, and nobody knows */
} version_step_t;

/** When this box heard last which versions serve. */
typedef struct {
    tc_time_t listed;   /**< its list of back ends was read from the platform; 0: never */
    tc_time_t asked;    /**< the report was sent that a leader answered last; 0: never */
    tc_time_t woken_at; /**< its loop turned again after it had stood still; 0: it never stood still */
} version_news_t;

/* ===== Constants ===== */

/** Without news for this long, another version may serve elsewhere. */
#define VERSION_NEWS_MAX_AGE_MS 2000

/* ===== Public functions ===== */

/** Whether the box's list lacks no version that others know. News from before it stood still does not count: meanwhile
 *  another version may have begun to serve, and its streams may be taken up here at once. */
bool version_news_are_current(const version_news_t *news, tc_time_t now);

version_step_t version_next_step(const version_view_t *view);

#endif
