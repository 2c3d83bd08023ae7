/** @file log_writer.h
 * Carries out what the replicated log asks of the data folder, and goes on after the disk has failed.
 *
 * The log's actions must be done in order, and what one of them writes must be
 * synced before a later one is sent or applied. When a write fails (the disk is
 * full, or breaks), the action stays at the head of the queue and nothing behind
 * it is handed out: the box neither answers nor applies what it has not on disk.
 * The write is tried again every LOG_WRITER_RETRY_MS, from where it stopped.
 *
 * While log_writer_is_stalled, its shell must act as if it were cut off from the
 * other members: not lead, and feed the log no time and no messages, since their
 * answers could not leave.
 */
#ifndef TRACKCOVE_CONTROL_LOG_WRITER_H
#define TRACKCOVE_CONTROL_LOG_WRITER_H

/* ===== Dependencies ===== */

#include "control/raft.h"
#include "control/store.h"

/* ===== Constants ===== */

/** Between tries while the disk fails: well under an election, and a failed write costs next to nothing. */
#define LOG_WRITER_RETRY_MS 200

/* ===== Types ===== */

typedef struct log_writer log_writer_t;

/* ===== Public functions ===== */

/** @param store taken over */
log_writer_t *log_writer_create(store_t *store);
void log_writer_destroy(log_writer_t *writer);

/** The next action of the log, once its part on disk is done and synced as far as the action needs it.
 * @param action to be freed with raft_action_free
 * @return false when there is none, or the disk fails; all that was written is synced then, unless the writer is
 *         stalled */
bool log_writer_next(log_writer_t *writer, raft_t *raft, raft_action_t *action, tc_time_t now);

/** Whether the last write failed and has not been made good yet. */
bool log_writer_is_stalled(const log_writer_t *writer);

/** Whether the member leads, with its lease, and its disk takes writes. */
bool log_writer_leads(const log_writer_t *writer, const raft_t *raft, tc_time_t now);

/** Identity of the member that leads as far as this one knows, which is not itself while its disk fails; 0 for none. */
uint64_t log_writer_leader(const log_writer_t *writer, const raft_t *raft);

/** Whether there is room for a new record beside the reserve. */
bool log_writer_has_room(const log_writer_t *writer);

#endif
