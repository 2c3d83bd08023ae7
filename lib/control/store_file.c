/* Files of the data directory: headers with checksums, whole files. */

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "control/raft_internal.h"
#include "control/store_internal.h"

/* ===== Headers ===== */

int store_io_err(tc_err_t *err, const char *step, const char *path)
{
    const int code = errno == ENOSPC || errno == EDQUOT || errno == EFBIG ? TC_E_FULL : TC_E_IO;
    return tc_err_set(err, code, step, path, "%s", strerror(errno));
}

uint32_t store_checksum(const void *data, uint32_t length)
{
    return XXH32(data, length, length);
}

record_header_t store_make_header(const void *data, uint32_t length)
{
    record_header_t header = {.length = length, .payload_checksum = store_checksum(data, length)};
    header.header_checksum = store_checksum(&header, 2 * sizeof(uint32_t));
    return header;
}

bool store_header_is_valid(const record_header_t *header)
{
    return header->header_checksum == store_checksum(header, 2 * sizeof(uint32_t)) && header->length > 0 &&
           header->length <= RECORD_MAX;
}

/* ===== Whole files ===== */

int store_write_all(int fd, const void *data, size_t size)
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

int store_replace_file(const store_t *s, const char *name, const void *data, uint32_t size, tc_err_t *err)
{
    char path[STORE_PATH_SIZE], temp_path[STORE_PATH_SIZE + 8];
    snprintf(path, sizeof(path), "%s/%s", s->dir, name);
    snprintf(temp_path, sizeof(temp_path), "%s.new", path);
    const int fd = open(temp_path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0)
        return store_io_err(err, "create", temp_path);
    const record_header_t header = store_make_header(data, size);
    const bool written =
        store_write_all(fd, &header, sizeof(header)) == 0 && store_write_all(fd, data, size) == 0 && fsync(fd) == 0;
    const int failed = errno;
    close(fd);
    errno = failed;
    if (!written || rename(temp_path, path) != 0 || fsync(s->dir_fd) != 0) {
        (void)store_io_err(err, "write", path);
        unlink(temp_path);
        return err ? err->code : TC_E_IO;
    }
    return TC_OK;
}

char *store_read_file(const char *path, uint32_t *size, tc_err_t *err)
{
    const int fd = open(path, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        tc_err_set(err, errno == ENOENT ? TC_E_NOT_FOUND : TC_E_IO, "open", path, "%s", strerror(errno));
        return NULL;
    }
    struct stat info;
    record_header_t header = {0};
    const bool has_header = fstat(fd, &info) == 0 && read(fd, &header, sizeof(header)) == sizeof(header);
    char *data = NULL;
    if (!has_header || !store_header_is_valid(&header) || header.length != (uint64_t)info.st_size - sizeof(header)) {
        tc_err_set(err, TC_E_CORRUPT, "read", path, "offset 0: length does not match the file");
    } else {
        data = malloc(header.length + 1);
        if (data && read(fd, data, header.length) != (ssize_t)header.length) {
            tc_err_set(err, TC_E_IO, "read", path, "%s", strerror(errno));
            free(data);
            data = NULL;
        }
    }
    close(fd);
    if (data && store_checksum(data, header.length) != header.payload_checksum) {
        tc_err_set(err, TC_E_CORRUPT, "read", path, "offset %zu: checksum is wrong", sizeof(header));
        free(data);
        return NULL;
    }
    *size = header.length;
    return data;
}

int store_save_blob(const store_t *s, const char *name, const void *data, uint32_t size, tc_err_t *err)
{
    return store_replace_file(s, name, data, size, err);
}

char *store_load_blob(const store_t *s, const char *name, uint32_t *size, tc_err_t *err)
{
    char path[STORE_PATH_SIZE];
    snprintf(path, sizeof(path), "%s/%s", s->dir, name);
    return store_read_file(path, size, err);
}

char *store_read_raw_file(const char *path, size_t *size, tc_err_t *err)
{
    FILE *const in = fopen(path, "rb");
    if (!in) {
        (void)store_io_err(err, "open", path);
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

/* ===== Directories ===== */

bool store_newest_file(const char *dir, const char *prefix, uint64_t *index)
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

void store_remove_older(const store_t *s, const char *prefix, uint64_t keep)
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
