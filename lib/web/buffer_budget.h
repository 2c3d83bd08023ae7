/** @file buffer_budget.h
 * Bytes of back ends' answers that a process buffers, counted in one place and limited in sum.
 *
 * Each buffer has a share. When the sum would exceed the limit, shares are ended one after the other: each time the
 * largest one of the peer whose shares hold most, so that a peer in trouble costs its own calls.
 *
 * No function here calls an owner: a share that is to end is no longer counted, and its owner is told by the loop,
 * after the callback that asked for room has returned. Until then its buffer takes memory beside the limit. So whoever
 * calls these functions finds all objects as they were, its own included. If the buffer has shrunk meanwhile and there
 * is room for it, its owner is not told.
 *
 * Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_WEB_BUFFER_BUDGET_H
#define TRACKCOVE_WEB_BUFFER_BUDGET_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>
#include <urcu/list.h>

#include "peer/loop.h"

/* ===== Types ===== */

typedef struct buffer_budget buffer_budget_t;
/** The shares of one peer. */
typedef struct buffer_group buffer_group_t;

/** The owner of a share has to free its buffer. Called by the loop; the share is closed already. The owner may free
 * itself and others, and begin new work. */
typedef void (*buffer_end_fn_t)(void *arg);

/** One buffer's share. Zero it before first use; a share that was not opened is not counted. */
typedef struct {
    struct cds_list_head node; /**< in its group, or among those that are to end */
    buffer_budget_t *budget;   /**< NULL: closed */
    buffer_group_t *group;     /**< NULL: it is to end */
    char *peer;                /**< owned; NULL: a group of its own */
    size_t bytes;
    buffer_end_fn_t end;
    void *arg;
} buffer_share_t;

/* ===== Public functions ===== */

/** @param loop borrowed @param limit of all shares together, in bytes */
buffer_budget_t *buffer_budget_create(loop_t *loop, size_t limit);
/** All shares must be closed. */
void buffer_budget_destroy(buffer_budget_t *budget);
/** Bytes of all shares, without those that are to end. */
size_t buffer_budget_bytes(const buffer_budget_t *budget);

/** Open a share of 0 bytes. @param budget NULL: the share is not counted, and buffer_share_set always succeeds
 *  @param peer address of the back end; NULL: a peer of its own */
void buffer_share_open(buffer_share_t *share, buffer_budget_t *budget, const char *peer, buffer_end_fn_t end,
                       void *arg);
/** Set the size of a share, before its buffer grows. Other shares may have to end for it, see above.
 *  @return false: the limit is reached and this share is the one to be ended, or it was to end and grows; its owner has
 *  to end by itself, since end is not called */
bool buffer_share_set(buffer_share_t *share, size_t bytes);
/** Close a share: its buffer is freed or counted elsewhere. No effect on a closed one. */
void buffer_share_close(buffer_share_t *share);

#endif
