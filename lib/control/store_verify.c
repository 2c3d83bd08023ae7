/* Offline check of a data directory. */

#include <dirent.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/raft_internal.h"
#include "control/store_internal.h"

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
    char path[STORE_PATH_SIZE];
    snprintf(path, sizeof(path), "%s/%s", dir, name);
    const size_t used = strlen(report);
    if (strncmp(name, "log-", 4) == 0) {
        size_t end;
        verify_t verify = {0};
        segment_t segment = {.path = path, .first = strtoull(name + 4, NULL, 10)};
        uint64_t newest = 0;
        (void)store_newest_file(dir, "log-", &newest);
        if (segment.first == newest) /* the mark is about this one; others are not read at a start */
            segment.has_mark = store_load_mark(dir, &segment.synced);
        char *const data = store_read_raw_file(path, &segment.size, err);
        if (!data)
            return err->code;
        segment.data = data;
        const int rc = store_walk_records(&segment, verify_record, &verify, &end, err);
        free(data);
        TC_CHECK(rc);
        snprintf(report + used, size - used, "%s: %llu records, %zu bytes%s\n", name, (unsigned long long)verify.count,
                 end, end < segment.size ? ", torn tail, truncated at the next start" : "");
        return TC_OK;
    }
    uint32_t length;
    char *const data = store_read_file(path, &length, err);
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
        return store_io_err(err, "open data directory", dir);
    int rc = TC_OK;
    for (const struct dirent *e = readdir(handle); e && rc == TC_OK; e = readdir(handle)) {
        const bool ours = strncmp(e->d_name, "log-", 4) == 0 || strncmp(e->d_name, "snapshot-", 9) == 0 ||
                          strcmp(e->d_name, "meta") == 0 || strcmp(e->d_name, "identity") == 0 ||
                          strcmp(e->d_name, "quarantine") == 0 || strcmp(e->d_name, "backends") == 0;
        if (ours && !strchr(e->d_name, '.'))
            rc = verify_file(dir, e->d_name, report, size, err);
    }
    closedir(handle);
    return rc;
}
