/** @file dial.h
 * Opens one connection to a back end: directly, or through another box's relay. Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_EGRESS_DIAL_H
#define TRACKCOVE_EGRESS_DIAL_H

/* ===== Dependencies ===== */

#include <glib.h>

#include "egress/egress.h"

/* ===== Types ===== */

typedef enum {
    DIAL_OPENED,
    DIAL_REFUSED,    /**< the machine is up, no process listens */
    DIAL_UNREACHABLE /**< time-out or another error */
} dial_outcome_t;

/** Result of a dial. Borrowed for the duration of the callback. */
typedef struct {
    dial_outcome_t outcome;
    int fd;            /**< the connection, owned by the callee; negative when there is none */
    const char *relay; /**< address of the relay through which it goes; NULL: direct */
} dial_result_t;

/** Runs once, never from within dial_start, unless the dial is cancelled. The dial may be started again or freed. */
typedef void (*dial_fn_t)(void *arg, const dial_result_t *result);

/** Relays that one dial asks at most. */
enum { DIAL_RELAYS_MAX = 4 };

/** One dial at a time. Zero it before first use; the fields are private. */
typedef struct {
    loop_t *loop; /* NULL: not in progress */
    egress_t *egress;
    char addr[CODEC_STR_SIZE], backend[CODEC_STR_SIZE];
    tc_time_t connect_ms, began;
    loop_watch_t watch;
    loop_timer_t timer;
    bool has_tried_direct, opening;
    dial_outcome_t outcome; /* so far */
    char relays[DIAL_RELAYS_MAX][CODEC_STR_SIZE];
    bool witnessed[DIAL_RELAYS_MAX]; /* that relay did not reach the back end */
    unsigned relays_n, witnesses;
    GByteArray *received; /* part of a relay's answer */
    dial_fn_t fn;
    void *arg;
} dial_t;

/* ===== Public functions ===== */

/** Opens a connection. @param egress NULL: directly only @param addr "IP:port"
 *  @param connect_ms time-out of the direct attempt */
void dial_start(dial_t *dial, loop_t *loop, egress_t *egress, const char *addr, tc_time_t connect_ms, dial_fn_t fn,
                void *arg);
/** As dial_start, directly only, whatever is known of the path. */
void dial_start_direct(dial_t *dial, loop_t *loop, const char *addr, tc_time_t connect_ms, dial_fn_t fn, void *arg);
/** Cancels the dial in progress, if any. No callback runs. */
void dial_cancel(dial_t *dial);

#endif
