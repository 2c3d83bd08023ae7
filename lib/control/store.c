/* Writing to a data directory. */

#include "control/store.h"

#include <assert.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/statvfs.h>
#include <unistd.h>

#include "control/store_internal.h"

/* ===== Term and vote ===== */

int store_save_meta(store_t *s, uint64_t term, uint64_t vote, tc_err_t *err)
{
    const meta_t meta = {.term = term, .vote = vote};
    return store_replace_file(s, "meta", &meta, sizeof(meta), err);
}

/* ===== Records ===== */

/** After a failed write or sync, write the unsynced bytes again and truncate the file behind them. */
static int rewrite_unsynced(store_t *s, tc_err_t *err)
{
    if (!s->needs_rewrite)
        return TC_OK;
    if (ftruncate(s->log_fd, s->synced) != 0 || store_write_all(s->log_fd, s->unsynced->data, s->unsynced->len) != 0)
        return store_io_err(err, "rewrite log", s->log_path);
    s->needs_rewrite = false;
    return TC_OK;
}

int store_append(store_t *s, const log_entry_t *entry, tc_err_t *err)
{
    assert(entry->index == s->first + s->offsets->len - 1); /* the log on disk has no gaps */
    TC_CHECK(rewrite_unsynced(s, err));
    const log_record_t record = {.term = entry->term,
                                 .index = entry->index,
                                 .kind = entry->kind,
                                 .data = entry->data,
                                 .data_n = entry->data_n,
                                 .unsynced_from = s->synced_index + 1};
    size_t size;
    char *const payload = codec_pack_bytes(&log_record_desc, &record, &size);
    const record_header_t header = store_make_header(payload, (uint32_t)size);
    const guint before = s->unsynced->len;
    g_byte_array_append(s->unsynced, (const guint8 *)&header, sizeof(header));
    g_byte_array_append(s->unsynced, (const guint8 *)payload, (guint)size);
    free(payload);
    const ssize_t whole = (ssize_t)(sizeof(header) + size);
    const ssize_t n = write(s->log_fd, s->unsynced->data + before, (size_t)whole);
    if (n != whole) {
        if (n >= 0)
            errno = ENOSPC; /* a short write means that the disk is full */
        g_byte_array_set_size(s->unsynced, before);
        s->needs_rewrite = true;
        return store_io_err(err, "append", s->log_path);
    }
    const off_t end = *store_end_offset(s) + (off_t)whole;
    g_array_append_val(s->offsets, end);
    s->dirty = true;
    return TC_OK;
}

int store_truncate(store_t *s, uint64_t from, tc_err_t *err)
{
    assert(from >= s->first && from < s->first + s->offsets->len); /* only existing records can be removed */
    TC_CHECK(store_lower_mark(s, from - 1, err));
    g_array_set_size(s->offsets, (guint)(from - s->first + 1));
    const off_t end = *store_end_offset(s);
    s->synced = s->synced < end ? s->synced : end;
    s->synced_index = s->synced_index < from ? s->synced_index : from - 1;
    g_byte_array_set_size(s->unsynced, (guint)(end - s->synced));
    s->dirty = true;
    if (!s->needs_rewrite && ftruncate(s->log_fd, end) != 0) {
        s->needs_rewrite = true;
        return store_io_err(err, "truncate", s->log_path);
    }
    /* Synced before anything is appended: else a loss of power could leave removed records behind new ones. */
    return store_sync(s, err);
}

int store_sync(store_t *s, tc_err_t *err)
{
    if (!s->dirty)
        return store_raise_mark(s, err);
    TC_CHECK(rewrite_unsynced(s, err));
    if (fdatasync(s->log_fd) != 0) {
        s->needs_rewrite = true;
        return store_io_err(err, "sync", s->log_path);
    }
    s->dirty = false;
    s->synced = *store_end_offset(s);
    s->synced_index = store_last_index(s);
    g_byte_array_set_size(s->unsynced, 0);
    return store_raise_mark(s, err);
}

/** Write a new segment under a temporary name and rename it once it is synced.
 * @return its descriptor, or negative with @p err and no file left */
static int write_segment(const store_t *s, const char *path, const char *data, size_t size, tc_err_t *err)
{
    char temp_path[STORE_PATH_SIZE + 8];
    snprintf(temp_path, sizeof(temp_path), "%s.new", path);
    const int fd = open(temp_path, O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
    if (fd < 0)
        return store_io_err(err, "create", temp_path);
    if (store_write_all(fd, data, size) == 0 && fsync(fd) == 0 && rename(temp_path, path) == 0 && fsync(s->dir_fd) == 0)
        return fd;
    const int rc = store_io_err(err, "start segment", path);
    close(fd);
    unlink(temp_path);
    return rc;
}

/** Copy the records from index @p first on into a new segment and continue the log there. */
static int rotate_segment(store_t *s, uint64_t first, tc_err_t *err)
{
    if (first == s->first)
        return TC_OK; /* no older records to drop */
    const uint64_t next = store_last_index(s) + 1;
    const off_t to = *store_end_offset(s);
    const off_t from = first < next ? g_array_index(s->offsets, off_t, first - s->first) : to;
    const size_t size = (size_t)(to - from);
    char *const data = g_malloc(size + 1);
    char path[STORE_PATH_SIZE];
    snprintf(path, sizeof(path), "%s/log-%020llu", s->dir, (unsigned long long)first);
    const int fd = pread(s->log_fd, data, size, from) == (ssize_t)size ? write_segment(s, path, data, size, err)
                                                                       : store_io_err(err, "read log", s->log_path);
    g_free(data);
    TC_CHECK(fd);
    GArray *const offsets = g_array_new(FALSE, TRUE, sizeof(off_t));
    for (uint64_t i = first; i < next; i++) {
        const off_t at = g_array_index(s->offsets, off_t, i - s->first) - from;
        g_array_append_val(offsets, at);
    }
    const off_t end = (off_t)size;
    g_array_append_val(offsets, end);
    g_array_free(s->offsets, TRUE);
    s->offsets = offsets;
    close(s->log_fd);
    s->log_fd = fd;
    s->first = first;
    s->synced = end;
    s->synced_index = store_last_index(s);
    codec_copy_string(s->log_path, sizeof(s->log_path), path);
    return TC_OK;
}

int store_save_snapshot(store_t *s, const raft_image_t *image, tc_err_t *err)
{
    char name[64];
    size_t size;
    char *const data = codec_pack_bytes(&raft_image_desc, image, &size);
    snprintf(name, sizeof(name), "snapshot-%020llu", (unsigned long long)image->last_index);
    const int rc = store_replace_file(s, name, data, (uint32_t)size, err);
    free(data);
    TC_CHECK(rc);
    TC_CHECK(store_sync(s, err));
    TC_CHECK(rotate_segment(s, image->last_index + 1, err));
    store_remove_older(s, "snapshot-", image->last_index);
    store_remove_older(s, "log-", image->last_index + 1);
    return TC_OK;
}

bool store_has_room(const store_t *s)
{
    struct statvfs info;
    if (fstatvfs(s->dir_fd, &info) != 0)
        return false;
    return (uint64_t)info.f_bavail * info.f_frsize > STORE_RESERVE_BYTES;
}

bool store_is_writable(const char *dir)
{
    static const char text[] = "probe";
    char path[STORE_PATH_SIZE];
    snprintf(path, sizeof(path), "%s/probe.new", dir);
    const int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0)
        return false;
    const bool written = store_write_all(fd, text, sizeof(text)) == 0 && fsync(fd) == 0;
    close(fd);
    unlink(path);
    return written;
}
