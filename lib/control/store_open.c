/* Bootstrapping, opening and closing a data directory. */

#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <unistd.h>

#include "common/log.h"
#include "control/raft_internal.h"
#include "control/store_internal.h"

/* ===== Identity, meta, snapshot ===== */

static int load_identity(const store_t *s, raft_start_t *start, tc_err_t *err)
{
    char path[STORE_PATH_SIZE];
    uint32_t size;
    snprintf(path, sizeof(path), "%s/identity", s->dir);
    char *const data = store_read_file(path, &size, err);
    if (data && size == sizeof(start->id)) {
        memcpy(&start->id, data, sizeof(start->id));
        free(data);
        return TC_OK;
    }
    free(data);
    if (err->code != TC_E_NOT_FOUND)
        return err->code;
    do {
        randombytes_buf(&start->id, sizeof(start->id));
    } while (start->id == 0);
    return store_replace_file(s, "identity", &start->id, sizeof(start->id), err);
}

static int load_meta(const store_t *s, raft_start_t *start, tc_err_t *err)
{
    char path[STORE_PATH_SIZE];
    uint32_t size;
    snprintf(path, sizeof(path), "%s/meta", s->dir);
    char *const data = store_read_file(path, &size, err);
    if (!data)
        return err->code == TC_E_NOT_FOUND ? TC_OK : err->code;
    meta_t meta = {0};
    memcpy(&meta, data, size < sizeof(meta) ? size : sizeof(meta));
    free(data);
    start->term = meta.term;
    start->vote = meta.vote;
    return TC_OK;
}

static int load_snapshot(const char *path, raft_image_t *image, tc_err_t *err)
{
    uint32_t size;
    char *const data = store_read_file(path, &size, err);
    if (!data)
        return err->code;
    const int rc = codec_unpack_bytes(&raft_image_desc, image, data, size, NULL);
    free(data);
    return rc < 0 ? tc_err_set(err, TC_E_CORRUPT, "read snapshot", path, "cannot be decoded") : TC_OK;
}

/* ===== Opening ===== */

typedef struct {
    store_t *store;
    raft_start_t *start;
    GArray *entries;
} loader_t;

static int load_record(void *arg, const log_entry_t *entry, size_t offset)
{
    loader_t *const loader = arg;
    const off_t at = (off_t)offset;
    const uint64_t expected = loader->store->first + loader->store->offsets->len;
    if (entry->index != expected)
        return TC_E_CORRUPT;
    g_array_append_val(loader->store->offsets, at);
    if (entry->index <= loader->start->snapshot.last_index)
        return TC_OK; /* already in the snapshot */
    log_entry_t copy;
    entry_copy(&copy, entry);
    g_array_append_val(loader->entries, copy);
    return TC_OK;
}

static int open_segment(store_t *s, uint64_t first, tc_err_t *err)
{
    snprintf(s->log_path, sizeof(s->log_path), "%s/log-%020llu", s->dir, (unsigned long long)first);
    s->first = first;
    s->log_fd = open(s->log_path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (s->log_fd < 0 || fsync(s->dir_fd) != 0)
        return store_io_err(err, "open log", s->log_path);
    return TC_OK;
}

static void log_dropped_tail(const store_t *s, size_t end, size_t size)
{
    log_line_t line;
    log_begin(&line, LOG_WARN, "log_tail_dropped");
    log_str(&line, "file", s->log_path);
    log_int(&line, "offset", (int64_t)end);
    log_int(&line, "bytes", (int64_t)(size - end));
    log_int(&line, "last_index", (int64_t)store_last_index(s));
    log_end(&line);
}

static int load_segment(store_t *s, raft_start_t *start, uint64_t first, tc_err_t *err)
{
    TC_CHECK(open_segment(s, first, err));
    segment_t segment = {.path = s->log_path, .first = first};
    segment.has_mark = store_load_mark(s->dir, &segment.synced);
    char *const data = store_read_raw_file(s->log_path, &segment.size, err);
    if (!data)
        return err->code;
    segment.data = data;
    size_t end;
    loader_t loader = {.store = s, .start = start, .entries = g_array_new(FALSE, TRUE, sizeof(log_entry_t))};
    const int rc = store_walk_records(&segment, load_record, &loader, &end, err);
    free(data);
    start->n_entries = loader.entries->len;
    start->entries = (log_entry_t *)(void *)g_array_free(loader.entries, FALSE);
    if (rc < 0)
        return rc;
    const off_t tail = (off_t)end;
    g_array_append_val(s->offsets, tail);
    s->synced = tail;
    s->synced_index = store_last_index(s);
    if (end < segment.size) {
        log_dropped_tail(s, end, segment.size);
        if (ftruncate(s->log_fd, tail) != 0)
            return store_io_err(err, "truncate torn tail", s->log_path);
    }
    /* A process that was killed may have left records that it never synced, and this one relies on them. */
    return fsync(s->log_fd) == 0 ? TC_OK : store_io_err(err, "sync", s->log_path);
}

/** Start a new segment after the snapshot when the records of the segment end before it. This happens when the process
 *  ended after writing a received snapshot and before starting the segment that follows it. Appending to the old
 * segment would leave a gap in its indexes. */
static int start_segment_after_snapshot(store_t *s, uint64_t snapshot_end, tc_err_t *err)
{
    if (store_last_index(s) >= snapshot_end)
        return TC_OK;
    close(s->log_fd);
    TC_CHECK(open_segment(s, snapshot_end + 1, err));
    const off_t start = 0;
    g_array_set_size(s->offsets, 0);
    g_array_append_val(s->offsets, start);
    s->synced = start;
    s->synced_index = snapshot_end;
    store_remove_older(s, "log-", s->first);
    return TC_OK;
}

static int load_all(store_t *s, raft_start_t *start, tc_err_t *err)
{
    TC_CHECK(load_identity(s, start, err));
    TC_CHECK(load_meta(s, start, err));
    uint64_t index = 0;
    if (store_newest_file(s->dir, "snapshot-", &index)) {
        char path[STORE_PATH_SIZE];
        snprintf(path, sizeof(path), "%s/snapshot-%020llu", s->dir, (unsigned long long)index);
        TC_CHECK(load_snapshot(path, &start->snapshot, err));
    }
    uint64_t first = start->snapshot.last_index + 1;
    if (store_newest_file(s->dir, "log-", &index) && index > first)
        return tc_err_set(err, TC_E_CORRUPT, "open", s->dir, "log starts at index %llu, but the snapshot ends at %llu",
                          (unsigned long long)index, (unsigned long long)start->snapshot.last_index);
    if (store_newest_file(s->dir, "log-", &index))
        first = index;
    TC_CHECK(load_segment(s, start, first, err));
    TC_CHECK(start_segment_after_snapshot(s, start->snapshot.last_index, err));
    return store_open_mark(s, err);
}

int store_bootstrap(const char *dir, uint64_t id, const raft_image_t *image, tc_err_t *err)
{
    store_t s = {.lock_fd = -1, .log_fd = -1};
    codec_copy_string(s.dir, sizeof(s.dir), dir);
    uint64_t index;
    if (store_newest_file(dir, "snapshot-", &index) || store_newest_file(dir, "log-", &index))
        return TC_OK;
    s.dir_fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (s.dir_fd < 0)
        return store_io_err(err, "open data directory", dir);
    char name[64];
    snprintf(name, sizeof(name), "snapshot-%020llu", (unsigned long long)image->last_index);
    size_t size;
    char *const data = codec_pack_bytes(&raft_image_desc, image, &size);
    /* The identity is written first: without it a directory counts as that of a new member, whatever else it holds. */
    int rc = store_replace_file(&s, "identity", &id, sizeof(id), err);
    if (rc == TC_OK)
        rc = store_replace_file(&s, name, data, (uint32_t)size, err);
    free(data);
    close(s.dir_fd);
    return rc;
}

store_t *store_open(const char *dir, raft_start_t *start, tc_err_t *err)
{
    tc_err_t local;
    err = err ? err : &local;
    err->code = TC_OK;
    memset(start, 0, sizeof(*start));
    store_t *const s = calloc(1, sizeof(*s));
    if (!s || sodium_init() < 0)
        abort();
    codec_copy_string(s->dir, sizeof(s->dir), dir);
    s->offsets = g_array_new(FALSE, TRUE, sizeof(off_t));
    s->unsynced = g_byte_array_new();
    s->lock_fd = s->log_fd = s->mark_fd = -1;
    s->dir_fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    char path[STORE_PATH_SIZE];
    snprintf(path, sizeof(path), "%s/lock", dir);
    if (s->dir_fd >= 0)
        s->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (s->lock_fd < 0) {
        (void)store_io_err(err, "open data directory", dir);
    } else if (flock(s->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        tc_err_set(err, TC_E_CONFLICT, "open data directory", dir, "another process has it open");
    } else if (load_all(s, start, err) == TC_OK) {
        return s;
    }
    store_start_free(start);
    store_close(s);
    return NULL;
}

void store_start_free(raft_start_t *start)
{
    for (uint32_t i = 0; i < start->n_entries; i++)
        codec_free(&log_entry_desc, &start->entries[i]);
    g_free(start->entries);
    codec_free(&raft_image_desc, &start->snapshot);
    memset(start, 0, sizeof(*start));
}

void store_close(store_t *s)
{
    if (s->log_fd >= 0)
        close(s->log_fd);
    if (s->mark_fd >= 0)
        close(s->mark_fd);
    if (s->lock_fd >= 0)
        close(s->lock_fd);
    if (s->dir_fd >= 0)
        close(s->dir_fd);
    g_array_free(s->offsets, TRUE);
    g_byte_array_free(s->unsynced, TRUE);
    free(s);
}

/* ===== Records ===== */

off_t *store_end_offset(const store_t *s)
{
    return &g_array_index(s->offsets, off_t, s->offsets->len - 1);
}

uint64_t store_last_index(const store_t *s)
{
    return s->first + s->offsets->len - 2;
}
