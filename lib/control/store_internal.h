/** @file store_internal.h
 * Declarations shared by the files of the store; not included elsewhere:
 *
 *   store_file.c    files: headers with checksums, whole files
 *   store_records.c the records of a segment, and which of them a sync covered
 *   store_mark.c    the sync mark
 *   store_open.c    bootstrap, opening, closing
 *   store.c         writing
 *   store_verify.c  offline check
 */
#ifndef TRACKCOVE_CONTROL_STORE_INTERNAL_H
#define TRACKCOVE_CONTROL_STORE_INTERNAL_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <sys/types.h>

#include "control/store.h"

/* ===== Types ===== */

/** Header of each record and of each whole file, in host byte order. */
typedef struct {
    uint32_t length;
    uint32_t payload_checksum; /* XXH32 of the payload, seeded with the length */
    uint32_t header_checksum; /* XXH32 of the two fields above, so that a corrupt length is not taken for a torn tail */
} record_header_t;

/** Contents of the file `meta`. */
typedef struct {
    uint64_t term, vote;
} meta_t;

/** Contents of the file `synced`: all records up to this index are synced. */
typedef struct {
    uint64_t index;
} sync_mark_t;

enum { RECORD_MAX = 16 * 1024 * 1024, STORE_PATH_SIZE = 512 };

struct store {
    char dir[CODEC_PATH_SIZE];
    int dir_fd, lock_fd, log_fd;
    char log_path[STORE_PATH_SIZE];
    uint64_t first;  /* index of the segment's first record */
    GArray *offsets; /* off_t of each record, and of the end of the last one */
    bool dirty;
    bool needs_rewrite;    /* the file may hold bytes after the last record, or lack some of the unsynced ones */
    off_t synced;          /* the file is synced up to this offset */
    uint64_t synced_index; /* index of the last record before that offset */
    GByteArray *unsynced;  /* its bytes after that offset: after a failed sync the kernel may have dropped them */
    int mark_fd;           /* of the file `synced` */
    uint64_t marked;       /* index in that file; 0: none, or not readable */
};

/** A segment that is read. */
typedef struct {
    const char *path;
    const char *data;
    size_t size;
    uint64_t first; /* index of its first record */
    bool has_mark;  /* the directory has a sync mark, so all records were written by builds that state what is synced */
    uint64_t synced; /* records up to this index are synced; 0: not known */
} segment_t;

/** Called for each record of a segment. @return 0, or negative to stop */
typedef int (*store_record_fn_t)(void *arg, const log_entry_t *entry, size_t offset);

/* ===== store_file.c ===== */

/** Set @p err from errno. @return TC_E_FULL or TC_E_IO */
int store_io_err(tc_err_t *err, const char *step, const char *path);
record_header_t store_make_header(const void *data, uint32_t length);
/** @return 0, or -1 with errno */
int store_write_all(int fd, const void *data, size_t size);
/** Replace a file atomically. Durable on return. */
int store_replace_file(const store_t *s, const char *name, const void *data, uint32_t size, tc_err_t *err);
/** Read a file written by store_replace_file. @return heap bytes, or NULL with @p err: TC_E_NOT_FOUND when missing */
char *store_read_file(const char *path, uint32_t *size, tc_err_t *err);
/** Read a file without header. @return heap bytes, or NULL with @p err */
char *store_read_raw_file(const char *path, size_t *size, tc_err_t *err);
/** Whether a header is intact and states a possible length. */
bool store_header_is_valid(const record_header_t *header);
/** XXH32, seeded with the length. */
uint32_t store_checksum(const void *data, uint32_t length);
/** Find the largest index among the files with this prefix. @return false when there is none */
bool store_newest_file(const char *dir, const char *prefix, uint64_t *index);
/** Remove the files with this prefix whose index is below @p keep. */
void store_remove_older(const store_t *s, const char *prefix, uint64_t keep);

/* ===== store_records.c ===== */

/** Call @p fn for each record of a segment. What follows the last synced record may be missing or torn in any mix.
 * @param end set to the end of the valid records; less than the size of the segment when its tail is torn
 * @return TC_E_CORRUPT when a record is damaged or missing that a sync covered */
int store_walk_records(const segment_t *segment, store_record_fn_t fn, void *arg, size_t *end, tc_err_t *err);

/* ===== store_mark.c ===== */

/** Read the sync mark. A mark that cannot be read counts as 0: it is written without a sync, and may be torn.
 * @return whether there is one */
bool store_load_mark(const char *dir, uint64_t *index);
/** Open the sync mark of a store for writing; create it, durably, when there is none. */
int store_open_mark(store_t *s, tc_err_t *err);
/** Raise the mark to the last synced record, without a sync. */
int store_raise_mark(store_t *s, tc_err_t *err);
/** Lower the mark to @p index when it is above. Durable on return. */
int store_lower_mark(store_t *s, uint64_t index, tc_err_t *err);

/* ===== store_open.c ===== */

/** Offset at which the last record ends; borrowed. */
off_t *store_end_offset(const store_t *s);
/** Index of the last record, or of the one before the segment when it is empty. */
uint64_t store_last_index(const store_t *s);

#endif
