/** @file fake_disk.h
 * In-memory stand-in for the data directory of a control box: log, term and vote, snapshot.
 */
#ifndef TRACKCOVE_TESTS_FAKE_DISK_H
#define TRACKCOVE_TESTS_FAKE_DISK_H

#include "control/raft.h"

typedef struct {
    log_entry_t *entries; /* entries[i] has the log index snapshot.last_index + 1 + i */
    uint32_t n, capacity;
    uint64_t term, vote;
    raft_image_t snapshot;
} fake_disk_t;

/** Keep the first @p n entries only. */
void fake_disk_truncate(fake_disk_t *d, uint32_t n);
void fake_disk_append(fake_disk_t *d, const log_entry_t *entry);

/** Make @p to equal to @p from. */
void fake_disk_copy(fake_disk_t *to, const fake_disk_t *from);

/** Store a snapshot and drop the entries up to its last index. */
void fake_disk_save_snapshot(fake_disk_t *d, const raft_image_t *image);
void fake_disk_free(fake_disk_t *d);

#endif
