/** @file version_step.h
 * How a request finds out which software version its stream is bound to. Pure: the box's view goes in, the next step
 * comes out.
 */
#ifndef TRACKCOVE_FORWARD_VERSION_STEP_H
#define TRACKCOVE_FORWARD_VERSION_STEP_H

/* ===== Dependencies ===== */

#include <stdbool.h>

/* ===== Types ===== */

/** What the leader said of the stream. */
typedef enum {
    LEADER_NOT_ASKED,
    LEADER_ONE_VERSION, /**< it does not know the stream, and knows of one version of the service */
    LEADER_UNKNOWN      /**< it does not know the stream, and several versions serve or served lately */
} leader_word_t;

/** What the box knows. A stream whose version the leader named is known here from then on. */
typedef struct {
    bool is_taken_up;   /**< its caller has part of the stream */
    bool is_known;      /**< the version that began it is known here */
    bool names_attempt; /**< its caller names the attempt that brought its first event */
    bool can_ask;       /**< a leader that understands the question has answered the last report */
    leader_word_t leader;
    unsigned versions; /**< of the service, by the lists that this box has had */
    bool is_current;   /**< its list cannot lack a version that others know */
    bool is_young;     /**< versions may have left before this box started */
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
