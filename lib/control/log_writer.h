/** @file log_writer.h
 * Executes the disk part of the replicated log's actions and recovers from disk failures.
 *
 * Actions are executed in order, and what an action writes is synced before a
 * later one is sent or applied. When a write fails (disk full or I/O error), the
 * action stays at the head of the queue and no later one is returned, so the box
 * neither sends nor applies anything that is not on disk. The write is retried
 * every LOG_WRITER_RETRY_MS and continues where it stopped.
 *
 * While log_writer_is_stalled, the caller must behave as if partitioned from the
 * other members: it must not act as leader, and must not call raft_tick or
 * raft_receive, since no reply could be sent.
 */
#ifndef TRACKCOVE_CONTROL_LOG_WRITER_H
#define TRACKCOVE_CONTROL_LOG_WRITER_H

/* ===== Dependencies ===== */

#include "control/raft.h"
#include "control/store.h"

/* ===== Constants ===== */

/** Interval of retries while the disk fails: well below the election timeout, and a failed write is cheap. */
#define LOG_WRITER_RETRY_MS 200

/* ===== Types ===== */

typedef struct log_writer log_writer_t;

/* ===== Public functions ===== */

/** @param store owned by the writer from now on */
log_writer_t *log_writer_create(store_t *store);
void log_writer_destroy(log_writer_t *writer);

/** Take the next action of the log after executing its disk part, synced as far as the action requires.
 * @param action free with raft_action_free
 * @return false when there is none or the disk fails. Unless the writer is stalled, everything written is synced
 *         then. */
bool log_writer_next(log_writer_t *writer, raft_t *raft, raft_action_t *action, tc_time_t now);

/** Whether the last write failed and has not been retried successfully. */
bool log_writer_is_stalled(const log_writer_t *writer);

/** Whether this member leads, holds a valid lease, and its disk accepts writes. */
bool log_writer_leads(const log_writer_t *writer, const raft_t *raft, tc_time_t now);

/** Id of the leader that this member knows of, 0 for none. Also 0 when it is this member and its disk fails. */
uint64_t log_writer_leader(const log_writer_t *writer, const raft_t *raft);

/** Whether the disk has space for a new record beyond STORE_RESERVE_BYTES. */
bool log_writer_has_room(const log_writer_t *writer);

#endif
