/** @file store.h
 * The data folder: identity, term and vote, log segments, snapshots.
 *
 *   identity            16 hex digits naming this data folder
 *   meta                term and vote, with a checksum
 *   log-INDEX           records from INDEX on: length, checksum, log_entry
 *   snapshot-INDEX      members and state up to INDEX, with a checksum
 *   quarantine, backends   what store_save_blob was given under that name, with a checksum
 *
 * Whole files are replaced by writing a new one, syncing it, renaming it and
 * syncing the folder. A torn last record is cut off at start; any other record
 * whose checksum is wrong stops the box, naming file and offset.
 */
#ifndef TRACKCOVE_CONTROL_STORE_H
#define TRACKCOVE_CONTROL_STORE_H

/* ===== Dependencies ===== */

#include "common/err.h"
#include "control/raft.h"

/* ===== Types ===== */

typedef struct store store_t;

/** Space kept free: with less the store refuses new records while it can still do so cleanly. */
#define STORE_RESERVE_BYTES (8ull * 1024 * 1024)

/* ===== Public functions ===== */

/** Make an empty data folder that of a founding member: identity @p id, and @p image, which is the same at all of
 *  them, as what the log starts from. A folder that holds a state already stays as it is. Durable on return. */
int store_bootstrap(const char *dir, uint64_t id, const raft_image_t *image, tc_err_t *err);

/** Open a data folder, make its identity if it has none, and read all it holds.
 * @param start filled; free with store_start_free
 * @return NULL with @p err: TC_E_CORRUPT names file and offset; TC_E_CONFLICT: another process has it open */
store_t *store_open(const char *dir, raft_start_t *start, tc_err_t *err);
void store_start_free(raft_start_t *start);
void store_close(store_t *store);

/* A call below that failed for want of room or for a fault of the disk (TC_E_FULL, TC_E_IO) has lost nothing and may be
 * made again, with the same arguments and before any other: it goes on where it stopped. */

/** Each of these may be lost until store_sync returned 0. */
int store_append(store_t *store, const log_entry_t *entry, tc_err_t *err);
int store_truncate(store_t *store, uint64_t from, tc_err_t *err);

/** Durable on return. */
int store_save_meta(store_t *store, uint64_t term, uint64_t vote, tc_err_t *err);

/** Durable on return; the log before it is removed, entries behind it that were kept are in @p entries. */
int store_save_snapshot(store_t *store, const raft_image_t *image, tc_err_t *err);

/** Keep something beside the log under a name of its own, whole or not at all. Durable on return. */
int store_save_blob(const store_t *store, const char *name, const void *data, uint32_t size, tc_err_t *err);
/** Read it. @return heap bytes, or NULL: with err->code TC_E_NOT_FOUND when there is none */
char *store_load_blob(const store_t *store, const char *name, uint32_t *size, tc_err_t *err);

/** Sync the log if anything was written since. */
int store_sync(store_t *store, tc_err_t *err);

/** Whether there is room for a new record beside the reserve. */
bool store_has_room(const store_t *store);

/** Whether the folder takes a new file: for a box that could not open it. */
bool store_is_writable(const char *dir);

/** Check a folder without changing it. Prints one line a file into @p report (size bytes). */
int store_verify(const char *dir, char *report, size_t size, tc_err_t *err);

#endif
