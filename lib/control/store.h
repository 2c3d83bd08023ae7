/** @file store.h
 * The data directory: identity, term and vote, log segments, snapshots.
 *
 *   identity            64-bit number, never 0, that identifies this data directory, with a checksum
 *   meta                term and vote, with a checksum
 *   log-INDEX           records from INDEX on: length, checksums, log_record
 *   synced              index up to which the log is synced, with a checksum
 *   snapshot-INDEX      members and state up to INDEX, with a checksum
 *   quarantine, backends   blobs written by store_save_blob, with a checksum
 *
 * A file other than a log segment is replaced by writing a new one, syncing it,
 * renaming it and syncing the directory. After a loss of power each record that was
 * not synced may be present, missing or torn: the log then ends before the first one
 * that is not whole. When a record is damaged that a sync covered, the store does not
 * open, and the error names file and offset. What a sync covered is known from the
 * file `synced` and from the records written after the sync. Logs of builds that
 * state neither are read by stricter rules: only damage that looks like one torn
 * write at the end of the file is taken for one.
 */
#ifndef TRACKCOVE_CONTROL_STORE_H
#define TRACKCOVE_CONTROL_STORE_H

/* ===== Dependencies ===== */

#include "common/err.h"
#include "control/raft.h"

/* ===== Types ===== */

typedef struct store store_t;

/** With less free space than this, new records are refused: before the disk is full, this needs no recovery from a
 *  failed write. */
#define STORE_RESERVE_BYTES (8ull * 1024 * 1024)

/* ===== Public functions ===== */

/** Initialise an empty data directory for a member of a new cluster, with identity @p id and @p image as the snapshot
 *  that the log starts from, which must be the same on all members. Does nothing when the directory holds a log or
 *  snapshot. Durable on return. */
int store_bootstrap(const char *dir, uint64_t id, const raft_image_t *image, tc_err_t *err);

/** Open a data directory, create its identity if it has none, and read its contents.
 * @param start filled; free with store_start_free
 * @return NULL with @p err: TC_E_CORRUPT names file and offset; TC_E_CONFLICT: another process has it open */
store_t *store_open(const char *dir, raft_start_t *start, tc_err_t *err);
void store_start_free(raft_start_t *start);
void store_close(store_t *store);

/* A call below that failed with TC_E_FULL or TC_E_IO has lost nothing. It may be retried, with the same arguments and
 * before any other call, and continues where it stopped. */

/** The entry may be lost in a crash until store_sync has returned 0. */
int store_append(store_t *store, const log_entry_t *entry, tc_err_t *err);
/** Remove the entries from index @p from on. Durable on return, with all entries before it. */
int store_truncate(store_t *store, uint64_t from, tc_err_t *err);

/** Durable on return. */
int store_save_meta(store_t *store, uint64_t term, uint64_t vote, tc_err_t *err);

/** Write a snapshot and remove the log up to its last index; later records are kept. Durable on return. */
int store_save_snapshot(store_t *store, const raft_image_t *image, tc_err_t *err);

/** Write a blob to a file of its own, atomically. Durable on return. */
int store_save_blob(const store_t *store, const char *name, const void *data, uint32_t size, tc_err_t *err);
/** Read a blob. @return heap bytes, or NULL with @p err: TC_E_NOT_FOUND when there is none */
char *store_load_blob(const store_t *store, const char *name, uint32_t *size, tc_err_t *err);

/** Sync the log if anything was written since the last sync. */
int store_sync(store_t *store, tc_err_t *err);

/** Whether the disk has space for a new record beyond STORE_RESERVE_BYTES. */
bool store_has_room(const store_t *store);

/** Whether a file can be created in the directory. For a box whose store_open failed. */
bool store_is_writable(const char *dir);

/** Check a data directory without changing it. Writes one line per file to @p report, which has @p size bytes. */
int store_verify(const char *dir, char *report, size_t size, tc_err_t *err);

#endif
