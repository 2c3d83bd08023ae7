/* The sync mark: a file that says up to which record the log is synced.
 *
 * It is raised after each sync of the log, in place and without a sync of its own, so a loss of power may take it back
 * or tear it. It never states too much: it is lowered, durably, before synced records are removed. */

#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "control/store_internal.h"

#define MARK_FILE "synced"

/** The file as it is on disk. */
typedef struct {
    record_header_t header;
    sync_mark_t mark;
} __attribute__((packed)) mark_file_t;

static void mark_path(const char *dir, char path[STORE_PATH_SIZE])
{
    snprintf(path, STORE_PATH_SIZE, "%s/%s", dir, MARK_FILE);
}

bool store_load_mark(const char *dir, uint64_t *index)
{
    char path[STORE_PATH_SIZE];
    mark_path(dir, path);
    uint32_t size;
    tc_err_t err = {0};
    char *const data = store_read_file(path, &size, &err);
    *index = 0;
    if (data && size == sizeof(sync_mark_t))
        memcpy(index, data, sizeof(*index));
    free(data);
    return err.code != TC_E_NOT_FOUND;
}

static int open_file(store_t *s, tc_err_t *err)
{
    char path[STORE_PATH_SIZE];
    mark_path(s->dir, path);
    const int fd = open(path, O_WRONLY | O_CLOEXEC);
    if (fd < 0)
        return store_io_err(err, "open", path);
    if (s->mark_fd >= 0)
        close(s->mark_fd);
    s->mark_fd = fd;
    return TC_OK;
}

static int replace_mark(store_t *s, uint64_t index, tc_err_t *err)
{
    const sync_mark_t mark = {.index = index};
    TC_CHECK(store_replace_file(s, MARK_FILE, &mark, sizeof(mark), err));
    TC_CHECK(open_file(s, err));
    s->marked = index;
    return TC_OK;
}

int store_open_mark(store_t *s, tc_err_t *err)
{
    return store_load_mark(s->dir, &s->marked) ? open_file(s, err) : replace_mark(s, s->synced_index, err);
}

int store_raise_mark(store_t *s, tc_err_t *err)
{
    if (s->marked >= s->synced_index)
        return TC_OK;
    mark_file_t file = {.mark = {.index = s->synced_index}};
    file.header = store_make_header(&file.mark, sizeof(file.mark));
    if (pwrite(s->mark_fd, &file, sizeof(file), 0) != (ssize_t)sizeof(file))
        return store_io_err(err, "raise sync mark", s->dir);
    s->marked = s->synced_index;
    return TC_OK;
}

int store_lower_mark(store_t *s, uint64_t index, tc_err_t *err)
{
    return s->marked > index ? replace_mark(s, index, err) : TC_OK;
}
