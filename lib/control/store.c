#include "control/store.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <sys/statvfs.h>
#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "control/raft_internal.h"

/* ===== Types ===== */

/** Before each record and in front of each whole file. */
typedef struct {
    uint32_t length;
    uint32_t check;      /* XXH32 of the payload, seeded with the length */
    uint32_t head_check; /* XXH32 of the two above: a flipped length is not taken for a torn tail */
} head_t;

enum { RECORD_MAX = 16 * 1024 * 1024, PATH_SIZE = 512 };

struct store {
    char dir[CODEC_PATH_SIZE];
    int dir_fd, lock_fd, log_fd;
    char log_path[PATH_SIZE];
    uint64_t first;  /* index of the segment's first record */
    GArray *offsets; /* off_t of each record, and of the end */
    bool dirty;
    bool torn;            /* the file may go on behind the last record, or lack a part of what is not synced */
    off_t synced;         /* the file is on disk up to here */
    GByteArray *unsynced; /* its bytes from there on: after a failed sync the kernel may have dropped them */
};

static int io_err(tc_err_t *err, const char *step, const char *path)
{
    const int code = errno == ENOSPC || errno == EDQUOT || errno == EFBIG ? TC_E_FULL : TC_E_IO;
    return tc_err_set(err, code, step, path, "%s", strerror(errno));
}

static uint32_t checksum(const void *data, uint32_t length)
{
    return XXH32(data, length, length);
}

static head_t make_head(const void *data, uint32_t length)
{
    head_t head = {.length = length, .check = checksum(data, length)};
    head.head_check = checksum(&head, 2 * sizeof(uint32_t));
    return head;
}

static bool head_good(const head_t *head)
{
    return head->head_check == checksum(head, 2 * sizeof(uint32_t)) && head->length > 0 && head->length <= RECORD_MAX;
}

/* ===== Whole files ===== */

static int write_all(int fd, const void *data, size_t size)
{
    const char *at = data;
    while (size > 0) {
        const ssize_t n = write(fd, at, size);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return -1;
        at += n;
        size -= (size_t)n;
    }
    return 0;
}

static int replace_file(const store_t *s, const char *name, const void *data, uint32_t size, tc_err_t *err)
{
    char path[PATH_SIZE], fresh[PATH_SIZE + 8];
    snprintf(path, sizeof(path), "%s/%s", s->dir, name);
    snprintf(fresh, sizeof(fresh), "%s.new", path);
    const int fd = open(fresh, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0)
        return io_err(err, "create", fresh);
    const head_t head = make_head(data, size);
    const bool written = write_all(fd, &head, sizeof(head)) == 0 && write_all(fd, data, size) == 0 && fsync(fd) == 0;
    const int failed = errno;
    close(fd);
    errno = failed;
    if (!written || rename(fresh, path) != 0 || fsync(s->dir_fd) != 0) {
        (void)io_err(err, "write", path);
        unlink(fresh);
        return err ? err->code : TC_E_IO;
    }
    return TC_OK;
}

/** Read a file written by replace_file. @return heap bytes, or NULL: with err->code TC_E_NOT_FOUND when missing */
static char *read_file(const char *path, uint32_t *size, tc_err_t *err)
{
    const int fd = open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        tc_err_set(err, errno == ENOENT ? TC_E_NOT_FOUND : TC_E_IO, "open", path, "%s", strerror(errno));
        return NULL;
    }
    struct stat info;
    head_t head = {0};
    const bool read_head = fstat(fd, &info) == 0 && read(fd, &head, sizeof(head)) == sizeof(head);
    char *data = NULL;
    if (!read_head || !head_good(&head) || head.length != (uint64_t)info.st_size - sizeof(head)) {
        tc_err_set(err, TC_E_CORRUPT, "read", path, "offset 0: length does not match the file");
    } else {
        data = malloc(head.length + 1);
        if (data && read(fd, data, head.length) != (ssize_t)head.length) {
            tc_err_set(err, TC_E_IO, "read", path, "%s", strerror(errno));
            free(data);
            data = NULL;
        }
    }
    close(fd);
    if (data && checksum(data, head.length) != head.check) {
        tc_err_set(err, TC_E_CORRUPT, "read", path, "offset %zu: checksum is wrong", sizeof(head));
        free(data);
        return NULL;
    }
    *size = head.length;
    return data;
}

/* ===== Identity, meta, snapshot ===== */

typedef struct {
    uint64_t term, vote;
} meta_t;

static int load_identity(const store_t *s, raft_start_t *start, tc_err_t *err)
{
    char path[PATH_SIZE];
    uint32_t size;
    snprintf(path, sizeof(path), "%s/identity", s->dir);
    char *const data = read_file(path, &size, err);
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
    return replace_file(s, "identity", &start->id, sizeof(start->id), err);
}

static int load_meta(const store_t *s, raft_start_t *start, tc_err_t *err)
{
    char path[PATH_SIZE];
    uint32_t size;
    snprintf(path, sizeof(path), "%s/meta", s->dir);
    char *const data = read_file(path, &size, err);
    if (!data)
        return err->code == TC_E_NOT_FOUND ? TC_OK : err->code;
    meta_t meta = {0};
    memcpy(&meta, data, size < sizeof(meta) ? size : sizeof(meta));
    free(data);
    start->term = meta.term;
    start->vote = meta.vote;
    return TC_OK;
}

int store_meta(store_t *s, uint64_t term, uint64_t vote, tc_err_t *err)
{
    const meta_t meta = {.term = term, .vote = vote};
    return replace_file(s, "meta", &meta, sizeof(meta), err);
}

static int load_snapshot(const char *path, raft_image_t *image, tc_err_t *err)
{
    uint32_t size;
    char *const data = read_file(path, &size, err);
    if (!data)
        return err->code;
    const int rc = codec_unpack_bytes(&raft_image_desc, image, data, size, NULL);
    free(data);
    return rc < 0 ? tc_err_set(err, TC_E_CORRUPT, "read snapshot", path, "cannot be decoded") : TC_OK;
}

/* ===== Records ===== */

/** Whether all bytes from @p at on are zero: space that was given to the file but never written. */
static bool zeros(const char *data, size_t at, size_t size)
{
    while (at < size && data[at] == 0)
        at++;
    return at == size;
}

typedef int (*record_fn_t)(void *arg, const log_entry_t *entry, size_t offset);

/** Walk the records of a segment. @param end where the good part ends; less than @p size when the tail is torn */
static int walk_records(const char *path, const char *data, size_t size, record_fn_t fn, void *arg, size_t *end,
                        tc_err_t *err)
{
    size_t at = 0;
    *end = 0;
    while (at < size) {
        head_t head = {0};
        const bool short_head = size - at < sizeof(head);
        if (!short_head)
            memcpy(&head, data + at, sizeof(head));
        if (short_head || zeros(data, at, size) || (head_good(&head) && head.length > size - at - sizeof(head)))
            return TC_OK; /* torn: nobody was told that this record is there */
        const char *const payload = data + at + sizeof(head);
        const bool good = head_good(&head) && checksum(payload, head.length) == head.check;
        if (!good && head_good(&head) && zeros(data, at + sizeof(head) + head.length / 2, size))
            return TC_OK; /* its second half was never written */
        log_entry_t entry;
        if (!good || codec_unpack_bytes(&log_entry_desc, &entry, payload, head.length, NULL) < 0)
            return tc_err_set(err, TC_E_CORRUPT, "read log", path, "offset %zu: checksum or record is wrong", at);
        const int rc = fn(arg, &entry, at);
        codec_free(&log_entry_desc, &entry);
        if (rc < 0)
            return tc_err_set(err, rc, "read log", path, "offset %zu: index out of order", at);
        at += sizeof(head) + head.length;
        *end = at;
    }
    return TC_OK;
}

static char *slurp(const char *path, size_t *size, tc_err_t *err)
{
    FILE *const in = fopen(path, "rb");
    if (!in) {
        (void)io_err(err, "open", path);
        return NULL;
    }
    struct stat info;
    char *const data = fstat(fileno(in), &info) == 0 ? malloc((size_t)info.st_size + 1) : NULL;
    *size = data ? fread(data, 1, (size_t)info.st_size, in) : 0;
    fclose(in);
    if (!data)
        (void)tc_err_set(err, TC_E_NOMEM, "read", path, "out of memory");
    return data;
}

/* ===== Opening ===== */

typedef struct {
    store_t *store;
    raft_start_t *start;
    GArray *entries;
} loading_t;

static int load_record(void *arg, const log_entry_t *entry, size_t offset)
{
    loading_t *const loading = arg;
    const off_t at = (off_t)offset;
    const uint64_t expected = loading->store->first + loading->store->offsets->len;
    if (entry->index != expected)
        return TC_E_CORRUPT;
    g_array_append_val(loading->store->offsets, at);
    if (entry->index <= loading->start->snapshot.last_index)
        return TC_OK; /* the snapshot holds it */
    log_entry_t copy;
    entry_copy(&copy, entry);
    g_array_append_val(loading->entries, copy);
    return TC_OK;
}

static int open_segment(store_t *s, uint64_t first, tc_err_t *err)
{
    snprintf(s->log_path, sizeof(s->log_path), "%s/log-%020llu", s->dir, (unsigned long long)first);
    s->first = first;
    s->log_fd = open(s->log_path, O_RDWR | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (s->log_fd < 0 || fsync(s->dir_fd) != 0)
        return io_err(err, "open log", s->log_path);
    return TC_OK;
}

static int load_segment(store_t *s, raft_start_t *start, uint64_t first, tc_err_t *err)
{
    TC_CHECK(open_segment(s, first, err));
    size_t size, end;
    char *const data = slurp(s->log_path, &size, err);
    if (!data)
        return err->code;
    loading_t loading = {.store = s, .start = start, .entries = g_array_new(FALSE, TRUE, sizeof(log_entry_t))};
    const int rc = walk_records(s->log_path, data, size, load_record, &loading, &end, err);
    free(data);
    start->n_entries = loading.entries->len;
    start->entries = (log_entry_t *)(void *)g_array_free(loading.entries, FALSE);
    if (rc < 0)
        return rc;
    const off_t tail = (off_t)end;
    g_array_append_val(s->offsets, tail);
    s->synced = tail;
    if (end < size && (ftruncate(s->log_fd, tail) != 0 || fsync(s->log_fd) != 0))
        return io_err(err, "cut torn tail", s->log_path);
    return TC_OK;
}

/** Largest index among the files with this prefix; @return false when there is none. */
static bool newest_file(const char *dir, const char *prefix, uint64_t *index)
{
    bool found = false;
    DIR *const handle = opendir(dir);
    if (!handle)
        return false;
    const size_t length = strlen(prefix);
    for (const struct dirent *e = readdir(handle); e; e = readdir(handle)) {
        if (strncmp(e->d_name, prefix, length) != 0 || strchr(e->d_name, '.'))
            continue;
        const uint64_t value = strtoull(e->d_name + length, NULL, 10);
        if (!found || value > *index)
            *index = value;
        found = true;
    }
    closedir(handle);
    return found;
}

/** Remove files with this prefix that are older than @p keep. */
static void remove_older(const store_t *s, const char *prefix, uint64_t keep)
{
    DIR *const handle = opendir(s->dir);
    if (!handle)
        return;
    const size_t length = strlen(prefix);
    for (const struct dirent *e = readdir(handle); e; e = readdir(handle)) {
        if (strncmp(e->d_name, prefix, length) == 0 && !strchr(e->d_name, '.') &&
            strtoull(e->d_name + length, NULL, 10) < keep)
            unlinkat(s->dir_fd, e->d_name, 0);
    }
    closedir(handle);
    (void)fsync(s->dir_fd);
}

static int load_all(store_t *s, raft_start_t *start, tc_err_t *err)
{
    TC_CHECK(load_identity(s, start, err));
    TC_CHECK(load_meta(s, start, err));
    uint64_t index = 0;
    if (newest_file(s->dir, "snapshot-", &index)) {
        char path[PATH_SIZE];
        snprintf(path, sizeof(path), "%s/snapshot-%020llu", s->dir, (unsigned long long)index);
        TC_CHECK(load_snapshot(path, &start->snapshot, err));
    }
    uint64_t first = start->snapshot.last_index + 1;
    if (newest_file(s->dir, "log-", &index) && index > first)
        return tc_err_set(err, TC_E_CORRUPT, "open", s->dir, "log begins at %llu, behind the snapshot's end %llu",
                          (unsigned long long)index, (unsigned long long)start->snapshot.last_index);
    if (newest_file(s->dir, "log-", &index))
        first = index;
    return load_segment(s, start, first, err);
}

int store_found(const char *dir, uint64_t id, const raft_image_t *image, tc_err_t *err)
{
    store_t s = {.lock_fd = -1, .log_fd = -1};
    codec_copy_string(s.dir, sizeof(s.dir), dir);
    uint64_t index;
    if (newest_file(dir, "snapshot-", &index) || newest_file(dir, "log-", &index))
        return TC_OK;
    s.dir_fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (s.dir_fd < 0)
        return io_err(err, "open data folder", dir);
    char name[64];
    snprintf(name, sizeof(name), "snapshot-%020llu", (unsigned long long)image->last_index);
    size_t size;
    char *const data = codec_pack_bytes(&raft_image_desc, image, &size);
    /* The identity first: without it a folder is a new member's, whatever else it holds. */
    int rc = replace_file(&s, "identity", &id, sizeof(id), err);
    if (rc == TC_OK)
        rc = replace_file(&s, name, data, (uint32_t)size, err);
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
    s->lock_fd = s->log_fd = -1;
    s->dir_fd = open(dir, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    char path[PATH_SIZE];
    snprintf(path, sizeof(path), "%s/lock", dir);
    if (s->dir_fd >= 0)
        s->lock_fd = open(path, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (s->lock_fd < 0) {
        (void)io_err(err, "open data folder", dir);
    } else if (flock(s->lock_fd, LOCK_EX | LOCK_NB) != 0) {
        tc_err_set(err, TC_E_CONFLICT, "open data folder", dir, "another process has it open");
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
    if (s->lock_fd >= 0)
        close(s->lock_fd);
    if (s->dir_fd >= 0)
        close(s->dir_fd);
    g_array_free(s->offsets, TRUE);
    g_byte_array_free(s->unsynced, TRUE);
    free(s);
}

/* ===== Writing ===== */

static off_t *end_offset(const store_t *s)
{
    return &g_array_index(s->offsets, off_t, s->offsets->len - 1);
}

/** Write what is not synced once more, and nothing behind it: after a write or a sync that failed. */
static int mend(store_t *s, tc_err_t *err)
{
    if (!s->torn)
        return TC_OK;
    if (ftruncate(s->log_fd, s->synced) != 0 || write_all(s->log_fd, s->unsynced->data, s->unsynced->len) != 0)
        return io_err(err, "mend log", s->log_path);
    s->torn = false;
    return TC_OK;
}

int store_append(store_t *s, const log_entry_t *entry, tc_err_t *err)
{
    assert(entry->index == s->first + s->offsets->len - 1); /* the log on disk has no gaps */
    TC_CHECK(mend(s, err));
    size_t size;
    char *const payload = codec_pack_bytes(&log_entry_desc, entry, &size);
    const head_t head = make_head(payload, (uint32_t)size);
    const guint before = s->unsynced->len;
    g_byte_array_append(s->unsynced, (const guint8 *)&head, sizeof(head));
    g_byte_array_append(s->unsynced, (const guint8 *)payload, (guint)size);
    free(payload);
    /* Head and body in one write, so that a crash tears at most the one record. */
    const ssize_t whole = (ssize_t)(sizeof(head) + size);
    const ssize_t n = write(s->log_fd, s->unsynced->data + before, (size_t)whole);
    if (n != whole) {
        if (n >= 0)
            errno = ENOSPC; /* a short write: there was no room for the rest */
        g_byte_array_set_size(s->unsynced, before);
        s->torn = true;
        return io_err(err, "append", s->log_path);
    }
    const off_t end = *end_offset(s) + (off_t)whole;
    g_array_append_val(s->offsets, end);
    s->dirty = true;
    return TC_OK;
}

int store_truncate(store_t *s, uint64_t from, tc_err_t *err)
{
    assert(from >= s->first && from < s->first + s->offsets->len); /* only what is there can be cut */
    g_array_set_size(s->offsets, (guint)(from - s->first + 1));
    const off_t end = *end_offset(s);
    s->synced = s->synced < end ? s->synced : end;
    g_byte_array_set_size(s->unsynced, (guint)(end - s->synced));
    s->dirty = true;
    if (ftruncate(s->log_fd, end) == 0)
        return TC_OK;
    s->torn = true;
    return io_err(err, "truncate", s->log_path);
}

int store_sync(store_t *s, tc_err_t *err)
{
    if (!s->dirty)
        return TC_OK;
    TC_CHECK(mend(s, err));
    if (fdatasync(s->log_fd) != 0) {
        s->torn = true;
        return io_err(err, "sync", s->log_path);
    }
    s->dirty = false;
    s->synced = *end_offset(s);
    g_byte_array_set_size(s->unsynced, 0);
    return TC_OK;
}

/** Write a new segment whole, under a name that is no segment's until it is on disk. @return its descriptor, or
 *  negative with @p err: then nothing of it is left */
static int write_segment(const store_t *s, const char *path, const char *data, size_t size, tc_err_t *err)
{
    char fresh[PATH_SIZE + 8];
    snprintf(fresh, sizeof(fresh), "%s.new", path);
    const int fd = open(fresh, O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
    if (fd < 0)
        return io_err(err, "create", fresh);
    if (write_all(fd, data, size) == 0 && fsync(fd) == 0 && rename(fresh, path) == 0 && fsync(s->dir_fd) == 0)
        return fd;
    const int rc = io_err(err, "start segment", path);
    close(fd);
    unlink(fresh);
    return rc;
}

/** Copy the records from index @p first on into a new segment, and go on there. */
static int move_tail(store_t *s, uint64_t first, tc_err_t *err)
{
    if (first == s->first)
        return TC_OK; /* there is nothing before them */
    const uint64_t next = s->first + s->offsets->len - 1;
    const off_t to = *end_offset(s);
    const off_t from = first < next ? g_array_index(s->offsets, off_t, first - s->first) : to;
    const size_t size = (size_t)(to - from);
    char *const data = g_malloc(size + 1);
    char path[PATH_SIZE];
    snprintf(path, sizeof(path), "%s/log-%020llu", s->dir, (unsigned long long)first);
    const int fd = pread(s->log_fd, data, size, from) == (ssize_t)size ? write_segment(s, path, data, size, err)
                                                                       : io_err(err, "read log", s->log_path);
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
    codec_copy_string(s->log_path, sizeof(s->log_path), path);
    return TC_OK;
}

int store_snapshot(store_t *s, const raft_image_t *image, tc_err_t *err)
{
    char name[64];
    size_t size;
    char *const data = codec_pack_bytes(&raft_image_desc, image, &size);
    snprintf(name, sizeof(name), "snapshot-%020llu", (unsigned long long)image->last_index);
    const int rc = replace_file(s, name, data, (uint32_t)size, err);
    free(data);
    TC_CHECK(rc);
    TC_CHECK(store_sync(s, err));
    TC_CHECK(move_tail(s, image->last_index + 1, err));
    remove_older(s, "snapshot-", image->last_index);
    remove_older(s, "log-", image->last_index + 1);
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
    char path[PATH_SIZE];
    snprintf(path, sizeof(path), "%s/probe.new", dir);
    const int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0)
        return false;
    const bool written = write_all(fd, text, sizeof(text)) == 0 && fsync(fd) == 0;
    close(fd);
    unlink(path);
    return written;
}

/* ===== Offline check ===== */

typedef struct {
    uint64_t next, count;
} verify_t;

static int verify_record(void *arg, const log_entry_t *entry, size_t offset)
{
    (void)offset;
    verify_t *const verify = arg;
    if (verify->count > 0 && entry->index != verify->next)
        return TC_E_CORRUPT;
    verify->next = entry->index + 1;
    verify->count++;
    return TC_OK;
}

static int verify_file(const char *dir, const char *name, char *report, size_t size, tc_err_t *err)
{
    char path[PATH_SIZE];
    snprintf(path, sizeof(path), "%s/%s", dir, name);
    const size_t used = strlen(report);
    if (strncmp(name, "log-", 4) == 0) {
        size_t length, end;
        verify_t verify = {0};
        char *const data = slurp(path, &length, err);
        if (!data)
            return err->code;
        const int rc = walk_records(path, data, length, verify_record, &verify, &end, err);
        free(data);
        TC_CHECK(rc);
        snprintf(report + used, size - used, "%s: %llu records, %zu bytes%s\n", name, (unsigned long long)verify.count,
                 end, end < length ? ", a torn tail that will be cut" : "");
        return TC_OK;
    }
    uint32_t length;
    char *const data = read_file(path, &length, err);
    if (!data)
        return err->code;
    free(data);
    snprintf(report + used, size - used, "%s: good, %u bytes\n", name, length);
    return TC_OK;
}

int store_verify(const char *dir, char *report, size_t size, tc_err_t *err)
{
    report[0] = '\0';
    DIR *const handle = opendir(dir);
    if (!handle)
        return io_err(err, "open data folder", dir);
    int rc = TC_OK;
    for (const struct dirent *e = readdir(handle); e && rc == TC_OK; e = readdir(handle)) {
        const bool ours = strncmp(e->d_name, "log-", 4) == 0 || strncmp(e->d_name, "snapshot-", 9) == 0 ||
                          strcmp(e->d_name, "meta") == 0 || strcmp(e->d_name, "identity") == 0;
        if (ours && !strchr(e->d_name, '.'))
            rc = verify_file(dir, e->d_name, report, size, err);
    }
    closedir(handle);
    return rc;
}
