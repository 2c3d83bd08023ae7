/** @file version_step.h
 * How a request finds out which software version its stream is bound to. Pure: the box's view goes in, the next step
 * comes out.
 */
#ifndef TRACKCOVE_FORWARD_VERSION_STEP_H
#define TRACKCOVE_FORWARD_VERSION_STEP_H

/* ===== Dependencies ===== */

#include <stdbool.h>

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

/* ===== Public functions ===== */

version_step_t version_next_step(const version_view_t *view);

#endif
