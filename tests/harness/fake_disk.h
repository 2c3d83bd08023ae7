/** @file fake_disk.h
 * What a control box has on disk, in memory: the log, term and vote, a snapshot.
 */
#ifndef TRACKCOVE_TESTS_FAKE_DISK_H
#define TRACKCOVE_TESTS_FAKE_DISK_H

#include "control/raft.h"

typedef struct {
    log_entry_t *entries; /* index i + 1 lies at i, behind the snapshot */
    uint32_t n, capacity;
    uint64_t term, vote;
    raft_image_t snapshot;
} fake_disk_t;

/** Keep the first @p n entries. */
void fake_disk_truncate(fake_disk_t *d, uint32_t n);
void fake_disk_append(fake_disk_t *d, const log_entry_t *entry);

/** Make @p to hold what @p from holds. */
void fake_disk_copy(fake_disk_t *to, const fake_disk_t *from);

/** Write a snapshot and drop the entries it holds. */
void fake_disk_save_snapshot(fake_disk_t *d, const raft_image_t *image);
void fake_disk_free(fake_disk_t *d);

#endif
