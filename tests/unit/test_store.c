/* The data directory: synced records survive a crash or a full disk, and corruption is detected. */

#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/codec.h"
#include "control/store.h"
#include "harness/process.h"

enum { ENTRIES = 5 };

static char *dir;

static void add_entries(store_t *store, uint64_t from, uint64_t to)
{
    for (uint64_t i = from; i <= to; i++) {
        char text[64];
        snprintf(text, sizeof(text), "entry number %llu with some bytes", (unsigned long long)i);
        const log_entry_t entry = {
            .term = 1, .index = i, .kind = RAFT_COMMAND, .data = text, .data_n = (uint32_t)strlen(text)};
        g_assert_cmpint(store_append(store, &entry, NULL), ==, TC_OK);
    }
    g_assert_cmpint(store_sync(store, NULL), ==, TC_OK);
}

static void fresh_dir(void)
{
    dir = g_dir_make_tmp("trackcove-store-XXXXXX", NULL);
    raft_start_t start;
    store_t *const store = store_open(dir, &start, NULL);
    g_assert_nonnull(store);
    g_assert_cmpuint(start.id, !=, 0);
    add_entries(store, 1, ENTRIES);
    g_assert_cmpint(store_save_meta(store, 3, 9, NULL), ==, TC_OK);
    store_start_free(&start);
    store_close(store);
}

static void remove_dir(void)
{
    folder_empty(dir);
    g_rmdir(dir);
    g_free(dir);
}

static char *log_path(void)
{
    return g_strdup_printf("%s/log-%020d", dir, 1);
}

static void change_log(long at, const char *bytes, size_t size, long cut)
{
    char *const path = log_path();
    FILE *const file = fopen(path, "r+b");
    g_assert_nonnull(file);
    if (cut >= 0)
        g_assert_cmpint(ftruncate(fileno(file), cut), ==, 0);
    if (size > 0) {
        fseek(file, at < 0 ? 0 : at, at < 0 ? SEEK_END : SEEK_SET);
        fwrite(bytes, 1, size, file);
    }
    fclose(file);
    g_free(path);
}

static long log_size(void)
{
    char *const path = log_path();
    GStatBuf info;
    g_assert_cmpint(g_stat(path, &info), ==, 0);
    g_free(path);
    return (long)info.st_size;
}

static uint32_t count_after_open(void)
{
    raft_start_t start;
    tc_err_t err;
    store_t *const store = store_open(dir, &start, &err);
    if (!store)
        g_error("%s: %s", err.peer, err.detail);
    const uint32_t n = start.n_entries;
    store_start_free(&start);
    store_close(store);
    return n;
}

static void assert_corrupt(const char *where)
{
    raft_start_t start;
    tc_err_t err;
    g_assert_null(store_open(dir, &start, &err));
    g_assert_cmpint(err.code, ==, TC_E_CORRUPT);
    g_assert_nonnull(strstr(err.peer, "log-"));
    g_assert_nonnull(strstr(err.detail, where));
    char report[4096];
    g_assert_cmpint(store_verify(dir, report, sizeof(report), &err), ==, TC_E_CORRUPT);
}

static void test_reopen(void)
{
    fresh_dir();
    raft_start_t start;
    store_t *const store = store_open(dir, &start, NULL);
    g_assert_cmpuint(start.n_entries, ==, ENTRIES);
    g_assert_cmpuint(start.term, ==, 3);
    g_assert_cmpuint(start.vote, ==, 9);
    const uint64_t id = start.id;
    store_start_free(&start);
    tc_err_t err;
    g_assert_null(store_open(dir, &start, &err)); /* a directory is open in one process at a time */
    g_assert_cmpint(err.code, ==, TC_E_CONFLICT);
    g_assert_cmpint(store_truncate(store, 4, NULL), ==, TC_OK);
    add_entries(store, 4, 6);
    store_close(store);
    store_t *const again = store_open(dir, &start, NULL);
    g_assert_cmpuint(start.n_entries, ==, 6);
    g_assert_cmpuint(start.id, ==, id);
    store_start_free(&start);
    store_close(again);
    remove_dir();
}

/** Append a record with this text, without syncing it. */
static int append_text(store_t *store, uint64_t index, const char *text)
{
    const log_entry_t entry = {.term = 2,
                               .index = index,
                               .kind = RAFT_COMMAND,
                               .data = (char *)(uintptr_t)text,
                               .data_n = (uint32_t)strlen(text)};
    return store_append(store, &entry, NULL);
}

/** A directory whose last record, number ENTRIES + 1, was never synced. */
static void unsynced_dir(void)
{
    fresh_dir();
    raft_start_t start;
    store_t *const store = store_open(dir, &start, NULL);
    store_start_free(&start);
    g_assert_cmpint(append_text(store, ENTRIES + 1, "a record that was not synced, longer than any cut"), ==, TC_OK);
    store_close(store);
}

static void test_torn_tail(void)
{
    for (long cut = 1; cut < 40; cut += 3) {
        unsynced_dir();
        change_log(0, NULL, 0, log_size() - cut);
        g_assert_cmpuint(count_after_open(), ==, ENTRIES);
        g_assert_cmpuint(count_after_open(), ==, ENTRIES); /* the truncation is durable */
        remove_dir();
    }
    fresh_dir();
    change_log(-1, "\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0\0", 20, -1);
    g_assert_cmpuint(count_after_open(), ==, ENTRIES);
    remove_dir();
}

/** A synced record that was cut off was taken for a torn one, and its entry lost without an error. */
static void test_synced_cut(void)
{
    for (long cut = 1; cut < 120; cut += 3) {
        fresh_dir();
        change_log(0, NULL, 0, log_size() - cut);
        assert_corrupt("offset");
        remove_dir();
    }
}

static void test_flipped_bytes(void)
{
    fresh_dir();
    const long size = log_size();
    remove_dir();
    for (long at = 0; at < size; at += 5) {
        fresh_dir();
        change_log(at, "\x5a", 1, -1);
        assert_corrupt("offset");
        remove_dir();
    }
}

static void test_snapshot(void)
{
    fresh_dir();
    raft_start_t start;
    store_t *store = store_open(dir, &start, NULL);
    store_start_free(&start);
    raft_image_t image = {.last_index = 3, .last_term = 1, .state = (char *)(uintptr_t) "state", .state_n = 5};
    g_assert_cmpint(store_save_snapshot(store, &image, NULL), ==, TC_OK);
    add_entries(store, 6, 7);
    store_close(store);
    store = store_open(dir, &start, NULL);
    g_assert_cmpuint(start.snapshot.last_index, ==, 3);
    g_assert_cmpstr(start.snapshot.state, ==, "state");
    g_assert_cmpuint(start.n_entries, ==, 4);
    g_assert_cmpuint(start.entries[0].index, ==, 4);
    store_start_free(&start);
    store_close(store);
    char report[4096];
    g_assert_cmpint(store_verify(dir, report, sizeof(report), NULL), ==, TC_OK);
    g_assert_nonnull(strstr(report, "4 records"));
    remove_dir();
}

/** The disk fills up in the middle of a record: the append fails, and earlier records are kept. */
static void test_full(void)
{
    fresh_dir();
    raft_start_t start;
    store_t *const store = store_open(dir, &start, NULL);
    store_start_free(&start);
    struct rlimit old;
    g_assert_cmpint(getrlimit(RLIMIT_FSIZE, &old), ==, 0);
    const struct rlimit small = {.rlim_cur = (rlim_t)log_size() + 30, .rlim_max = old.rlim_max};
    signal(SIGXFSZ, SIG_IGN);
    g_assert_cmpint(setrlimit(RLIMIT_FSIZE, &small), ==, 0);
    char text[200] = "more than fits";
    const log_entry_t entry = {
        .term = 1, .index = ENTRIES + 1, .kind = RAFT_COMMAND, .data = text, .data_n = sizeof(text)};
    tc_err_t err;
    g_assert_cmpint(store_append(store, &entry, &err), ==, TC_E_FULL);
    g_assert_cmpint(setrlimit(RLIMIT_FSIZE, &old), ==, 0);
    add_entries(store, ENTRIES + 1, ENTRIES + 2); /* there is space again: the append succeeds */
    store_close(store);
    g_assert_cmpuint(count_after_open(), ==, ENTRIES + 2);
    remove_dir();
}

/** Make every write fail as on a full disk. @return the limit to restore */
static struct rlimit fill_disk(void)
{
    struct rlimit old;
    g_assert_cmpint(getrlimit(RLIMIT_FSIZE, &old), ==, 0);
    const struct rlimit none = {.rlim_cur = 0, .rlim_max = old.rlim_max};
    signal(SIGXFSZ, SIG_IGN);
    g_assert_cmpint(setrlimit(RLIMIT_FSIZE, &none), ==, 0);
    return old;
}

/** A snapshot that failed on a full disk succeeds when it is retried, and the records after it are kept. */
static void test_full_snapshot(void)
{
    fresh_dir();
    raft_start_t start;
    store_t *const store = store_open(dir, &start, NULL);
    store_start_free(&start);
    add_entries(store, ENTRIES + 1, ENTRIES + 3);
    const raft_image_t image = {.last_index = ENTRIES, .last_term = 1};
    const struct rlimit old = fill_disk();
    g_assert_false(store_is_writable(dir));
    tc_err_t err;
    g_assert_cmpint(store_save_snapshot(store, &image, &err), ==, TC_E_FULL);
    g_assert_cmpint(setrlimit(RLIMIT_FSIZE, &old), ==, 0);
    g_assert_true(store_is_writable(dir));
    g_assert_cmpint(store_save_snapshot(store, &image, &err), ==, TC_OK);
    store_close(store);
    g_assert_cmpuint(count_after_open(), ==, 3);
    remove_dir();
}

/** Move the only snapshot of one directory into another. */
static void move_snapshot(const char *from, const char *to, uint64_t index)
{
    char *const old = g_strdup_printf("%s/snapshot-%020llu", from, (unsigned long long)index);
    char *const new = g_strdup_printf("%s/snapshot-%020llu", to, (unsigned long long)index);
    g_assert_cmpint(g_rename(old, new), ==, 0);
    g_free(old);
    g_free(new);
}

/** The process is killed after it wrote a received snapshot and before it started the segment that follows it. The old
 *  log, with @p kept records, ends before the snapshot; the next record is the first one after the snapshot. */
static void check_kill_after_snapshot(uint64_t kept)
{
    enum { INDEX = 20 };
    char *const other = g_dir_make_tmp("trackcove-store-XXXXXX", NULL);
    const raft_image_t image = {
        .last_index = INDEX, .last_term = 1, .state = (char *)(uintptr_t) "state", .state_n = 5};
    g_assert_cmpint(store_bootstrap(other, 1, &image, NULL), ==, TC_OK);
    fresh_dir();
    raft_start_t start;
    store_t *store = store_open(dir, &start, NULL);
    store_start_free(&start);
    g_assert_cmpint(store_truncate(store, kept + 1, NULL), ==, TC_OK);
    g_assert_cmpint(store_sync(store, NULL), ==, TC_OK);
    store_close(store);
    move_snapshot(other, dir, INDEX);
    for (uint64_t next = INDEX + 1; next <= INDEX + 3; next++) {
        store = store_open(dir, &start, NULL);
        g_assert_cmpuint(start.snapshot.last_index, ==, INDEX);
        g_assert_cmpuint(start.n_entries, ==, next - INDEX - 1);
        store_start_free(&start);
        add_entries(store, next, next);
        store_close(store);
    }
    char report[4096];
    g_assert_cmpint(store_verify(dir, report, sizeof(report), NULL), ==, TC_OK);
    folder_empty(other);
    g_rmdir(other);
    g_free(other);
    remove_dir();
}

static void test_killed_during_snapshot(void)
{
    for (uint64_t kept = 0; kept <= ENTRIES; kept++)
        check_kill_after_snapshot(kept);
}

static void assert_last_text(uint32_t entries, const char *text)
{
    raft_start_t start;
    store_t *const store = store_open(dir, &start, NULL);
    g_assert_nonnull(store);
    g_assert_cmpuint(start.n_entries, ==, entries);
    g_assert_cmpstr(start.entries[entries - 1].data, ==, text);
    store_start_free(&start);
    store_close(store);
}

/** The last record is torn at each of its bytes, first by a kill and then by a full disk. None of its bytes may remain
 *  before the next record, whether that is shorter or longer. */
static void test_torn_at_each_byte(void)
{
    static const char *const texts[] = {"x", "a record that is longer than the one that was torn, and by many bytes"};
    unsynced_dir();
    const long whole = log_size();
    change_log(0, NULL, 0, whole - 1);
    g_assert_cmpuint(count_after_open(), ==, ENTRIES);
    const long before = log_size();
    remove_dir();
    g_assert_cmpint(before, <, whole);
    signal(SIGXFSZ, SIG_IGN);
    for (long cut = before; cut < whole; cut++) {
        raft_start_t start;
        unsynced_dir();
        change_log(0, NULL, 0, cut);
        store_t *store = store_open(dir, &start, NULL);
        store_start_free(&start);
        g_assert_cmpint(append_text(store, ENTRIES + 1, texts[cut % 2]), ==, TC_OK);
        store_close(store); /* not synced: the process is killed, the machine keeps running */
        assert_last_text(ENTRIES + 1, texts[cut % 2]);
        store = store_open(dir, &start, NULL);
        store_start_free(&start);
        struct rlimit old;
        g_assert_cmpint(getrlimit(RLIMIT_FSIZE, &old), ==, 0);
        const struct rlimit small = {.rlim_cur = (rlim_t)(log_size() + cut - before), .rlim_max = old.rlim_max};
        g_assert_cmpint(setrlimit(RLIMIT_FSIZE, &small), ==, 0);
        g_assert_cmpint(append_text(store, ENTRIES + 2, texts[1]), ==, TC_E_FULL);
        g_assert_cmpint(setrlimit(RLIMIT_FSIZE, &old), ==, 0);
        g_assert_cmpint(append_text(store, ENTRIES + 2, texts[0]), ==, TC_OK);
        store_close(store);
        assert_last_text(ENTRIES + 2, texts[0]);
        remove_dir();
    }
}

/* ===== Logs of earlier builds ===== */

/** A log whose records do not state what was synced, in a directory without a sync mark. */
static void old_dir(void)
{
    dir = g_dir_make_tmp("trackcove-store-XXXXXX", NULL);
    GString *const log = g_string_new(NULL);
    for (uint64_t i = 1; i <= ENTRIES; i++) {
        static char text[] = "an entry of an earlier build";
        const log_entry_t entry = {.term = 1, .index = i, .kind = RAFT_COMMAND, .data = text, .data_n = sizeof(text)};
        size_t size;
        char *const payload = codec_pack_bytes(&log_entry_desc, &entry, &size);
        g_assert_nonnull(payload);
        uint32_t header[3] = {(uint32_t)size, XXH32(payload, size, (uint32_t)size)};
        header[2] = XXH32(header, 2 * sizeof(uint32_t), 2 * sizeof(uint32_t));
        g_string_append_len(log, (const char *)header, sizeof(header));
        g_string_append_len(log, payload, (gssize)size);
        free(payload);
    }
    char *const path = log_path();
    g_assert_true(g_file_set_contents(path, log->str, (gssize)log->len, NULL));
    g_free(path);
    g_string_free(log, TRUE);
}

/** A log of an earlier build is opened after an upgrade, with a torn last record as well, and is continued. */
static void test_earlier_build(void)
{
    for (long cut = 0; cut < 30; cut += 3) {
        const uint32_t left = cut == 0 ? ENTRIES : ENTRIES - 1;
        old_dir();
        change_log(0, NULL, 0, log_size() - cut);
        g_assert_cmpuint(count_after_open(), ==, left);
        raft_start_t start;
        store_t *const store = store_open(dir, &start, NULL);
        store_start_free(&start);
        g_assert_cmpint(append_text(store, left + 1, "of this build"), ==, TC_OK);
        g_assert_cmpint(append_text(store, left + 2, "of this build"), ==, TC_OK);
        store_close(store);
        assert_last_text(left + 2, "of this build");
        remove_dir();
    }
}

static void test_earlier_build_flipped_bytes(void)
{
    old_dir();
    const long size = log_size();
    remove_dir();
    for (long at = 0; at < size; at += 5) {
        old_dir();
        change_log(at, "\x5a", 1, -1);
        assert_corrupt("offset");
        remove_dir();
    }
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store/reopen", test_reopen);
    g_test_add_func("/store/torn-tail", test_torn_tail);
    g_test_add_func("/store/synced-cut", test_synced_cut);
    g_test_add_func("/store/flipped-bytes", test_flipped_bytes);
    g_test_add_func("/store/full", test_full);
    g_test_add_func("/store/full-snapshot", test_full_snapshot);
    g_test_add_func("/store/snapshot", test_snapshot);
    g_test_add_func("/store/torn-at-each-byte", test_torn_at_each_byte);
    g_test_add_func("/store/killed-during-snapshot", test_killed_during_snapshot);
    g_test_add_func("/store/earlier-build", test_earlier_build);
    g_test_add_func("/store/earlier-build-flipped-bytes", test_earlier_build_flipped_bytes);
    return g_test_run();
}
