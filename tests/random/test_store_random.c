/* The data directory against a model, with losses of power: unsynced writes are kept, lost or torn in any mix. */

#include <glib.h>
#include <glib/gstdio.h>
#include <stdio.h>
#include <string.h>

#include "control/store.h"
#include "harness/parts.h"
#include "harness/process.h"
#include "shim/power.h"

enum { ROUNDS = 12, CALLS = 14, BATCH_MAX = 6, DATA_MAX = 600, POWER_MAX = 60 };

/** An entry of the model. */
typedef struct {
    uint64_t term;
    uint32_t seed, size; /* of its data */
} record_t;

typedef struct {
    GRand *random;
    char *dir;
    store_t *store;
    GArray *records;         /* record_t: index 1 and on, as appended */
    uint64_t durable;        /* records up to this index must survive */
    uint64_t snapshot;       /* last index of the snapshot */
    uint64_t snapshot_begun; /* as snapshot, or that of one that was being written when the power failed */
    uint64_t entry_term;     /* of new entries */
    uint64_t term;           /* saved last */
    uint64_t term_begun;     /* as term, or the one that was being saved when the power failed */
    unsigned losses, shortened;
} model_t;

/** Data with runs of zeros, like those of blocks that were never written. */
static char *make_data(const record_t *record)
{
    GRand *const random = g_rand_new_with_seed(record->seed);
    char *const data = g_malloc0(record->size + 1);
    for (uint32_t i = 0; i < record->size; i++)
        data[i] = g_rand_int_range(random, 0, 3) ? 0 : (char)g_rand_int_range(random, 0, 256);
    g_rand_free(random);
    return data;
}

static const record_t *record_at(const model_t *m, uint64_t index)
{
    return &g_array_index(m->records, record_t, index - 1);
}

/* ===== Calls ===== */

static void append(model_t *m)
{
    const record_t record = {
        .term = m->term + 1, .seed = g_rand_int(m->random), .size = (uint32_t)g_rand_int_range(m->random, 1, DATA_MAX)};
    g_array_append_val(m->records, record);
    char *const data = make_data(&record);
    const log_entry_t entry = {
        .term = record.term, .index = m->records->len, .kind = RAFT_COMMAND, .data = data, .data_n = record.size};
    const int rc = store_append(m->store, &entry, NULL);
    g_assert_true(rc == TC_OK || power_is_off());
    g_free(data);
}

static void sync_log(model_t *m)
{
    const int rc = store_sync(m->store, NULL);
    g_assert_true(rc == TC_OK || power_is_off());
    if (!power_is_off())
        m->durable = m->records->len;
}

static void truncate_log(model_t *m)
{
    if (m->records->len == m->snapshot)
        return;
    const uint64_t from = (uint64_t)g_rand_int_range(m->random, (gint32)m->snapshot + 1, (gint32)m->records->len + 1);
    m->durable = MIN(m->durable, from - 1);
    const int rc = store_truncate(m->store, from, NULL);
    g_assert_true(rc == TC_OK || power_is_off());
    if (power_is_off())
        return; /* the entries may still be there */
    g_array_set_size(m->records, (guint)(from - 1));
    m->durable = from - 1;
    m->entry_term++;
}

static void save_snapshot(model_t *m)
{
    if (m->durable <= m->snapshot)
        return;
    m->snapshot_begun = (uint64_t)g_rand_int_range(m->random, (gint32)m->snapshot + 1, (gint32)m->durable + 1);
    const raft_image_t image = {.last_index = m->snapshot_begun,
                                .last_term = record_at(m, m->snapshot_begun)->term,
                                .state = (char *)(uintptr_t) "state",
                                .state_n = 5};
    const int rc = store_save_snapshot(m->store, &image, NULL);
    g_assert_true(rc == TC_OK || power_is_off());
    if (power_is_off())
        return;
    m->snapshot = m->snapshot_begun;
    m->durable = m->records->len; /* the log is synced with it */
}

static void save_meta(model_t *m)
{
    m->term_begun = m->term + 1;
    const int rc = store_save_meta(m->store, m->term_begun, m->term_begun * 7, NULL);
    g_assert_true(rc == TC_OK || power_is_off());
    if (!power_is_off())
        m->term = m->term_begun;
}

static void call(model_t *m)
{
    switch (g_rand_int_range(m->random, 0, 10)) {
    case 0: truncate_log(m); break;
    case 1: save_snapshot(m); break;
    case 2: save_meta(m); break;
    case 3:
    case 4: sync_log(m); break;
    default:
        for (int i = g_rand_int_range(m->random, 1, BATCH_MAX); i > 0 && !power_is_off(); i--)
            append(m);
    }
}

/* ===== Opening ===== */

/** Opens the directory and compares it with the model, which then continues with what was there. */
static void open_and_check(model_t *m, guint32 seed)
{
    raft_start_t start;
    tc_err_t err = {0};
    m->store = store_open(m->dir, &start, &err);
    if (!m->store)
        g_error("seed %u: a directory that lost power does not open: %s: %s: %s", seed, err.step, err.peer, err.detail);
    const uint64_t snapshot = start.snapshot.last_index;
    g_assert_true(snapshot == m->snapshot || snapshot == m->snapshot_begun);
    g_assert_true(start.term == m->term || start.term == m->term_begun);
    g_assert_cmpuint(start.vote, ==, start.term * 7);
    const uint64_t last = snapshot + start.n_entries;
    if (last < m->durable)
        g_error("seed %u: entries up to %" G_GUINT64_FORMAT " were synced, those up to %" G_GUINT64_FORMAT " are left",
                seed, m->durable, last);
    g_assert_cmpuint(last, <=, m->records->len);
    for (uint32_t i = 0; i < start.n_entries; i++) {
        const record_t *const record = record_at(m, snapshot + 1 + i);
        char *const data = make_data(record);
        g_assert_cmpuint(start.entries[i].index, ==, snapshot + 1 + i);
        g_assert_cmpuint(start.entries[i].term, ==, record->term);
        g_assert_cmpmem(start.entries[i].data, start.entries[i].data_n, data, record->size);
        g_free(data);
    }
    m->shortened += last < m->records->len;
    g_array_set_size(m->records, (guint)last);
    m->durable = last; /* the process relies on what it read */
    m->snapshot = m->snapshot_begun = snapshot;
    m->term = m->term_begun = start.term;
    store_start_free(&start);
    char report[4096];
    g_assert_cmpint(store_verify(m->dir, report, sizeof(report), NULL), ==, TC_OK);
}

static void begin(model_t *m, guint32 seed)
{
    *m = (model_t){.random = g_rand_new_with_seed(seed),
                   .dir = g_dir_make_tmp("trackcove-store-XXXXXX", NULL),
                   .entry_term = 1,
                   .records = g_array_new(FALSE, FALSE, sizeof(record_t))};
    open_and_check(m, seed);
}

static void end(model_t *m)
{
    store_close(m->store);
    folder_empty(m->dir);
    g_rmdir(m->dir);
    g_free(m->dir);
    g_array_free(m->records, TRUE);
    g_rand_free(m->random);
}

/** Calls until the power fails or, in one round of four, until the process is killed. The power may also fail while the
 *  directory is opened again. */
static void run_round(model_t *m, guint32 seed)
{
    const bool is_killed = g_rand_int_range(m->random, 0, 4) == 0;
    power_watch(m->dir, g_rand_int(m->random));
    if (!is_killed)
        power_fail_after((unsigned)g_rand_int_range(m->random, 0, POWER_MAX));
    for (int i = 0; i < CALLS && !power_is_off(); i++)
        call(m);
    store_close(m->store);
    if (is_killed)
        open_and_check(m, seed); /* before the power fails: what was read must not be lost then */
    if (is_killed)
        store_close(m->store);
    power_lose();
    m->losses++;
    open_and_check(m, seed);
}

/** A loss of power amid unsynced writes kept a box out for good, or took what was synced. */
static void test_power_losses(void)
{
    const seed_range_t seeds = part_seeds(60);
    unsigned losses = 0, shortened = 0;
    for (guint32 seed = seeds.first; seed < seeds.first + seeds.count; seed++) {
        model_t m;
        begin(&m, seed);
        for (int i = 0; i < ROUNDS; i++)
            run_round(&m, seed);
        losses += m.losses;
        shortened += m.shortened;
        end(&m);
    }
    g_test_message("%u losses of power, %u of them took entries", losses, shortened);
    g_assert_cmpuint(shortened, >, 0);
}

/* ===== Damage ===== */

static char *log_path(const model_t *m)
{
    return g_strdup_printf("%s/log-%020llu", m->dir, (unsigned long long)m->snapshot + 1);
}

/** Overwrites bytes with zeros, or flips one bit. @return whether that changes anything */
static bool damage(model_t *m, gsize size)
{
    char *const path = log_path(m);
    char *data = NULL;
    gsize length = 0;
    g_assert_true(g_file_get_contents(path, &data, &length, NULL));
    g_assert_cmpuint(length, >=, size);
    const gsize at = (gsize)g_rand_int_range(m->random, 0, (gint32)size);
    const gsize most = (gsize)g_rand_int_range(m->random, 1, 900);
    const gsize n = MIN(size - at, most);
    char *const before = g_memdup2(data, length);
    if (g_rand_boolean(m->random))
        memset(data + at, 0, n);
    else
        data[at] = (char)(data[at] ^ (1 << g_rand_int_range(m->random, 0, 8)));
    const bool changed = memcmp(before, data, length) != 0;
    g_assert_true(g_file_set_contents(path, data, (gssize)length, NULL));
    g_free(before);
    g_free(data);
    g_free(path);
    return changed;
}

static gsize log_size(const model_t *m)
{
    char *const path = log_path(m);
    GStatBuf info;
    g_assert_cmpint(g_stat(path, &info), ==, 0);
    g_free(path);
    return (gsize)info.st_size;
}

/** Damage of synced records, with a sync mark or with later records and no mark, is never taken for a lost write. */
static void test_damage(void)
{
    const seed_range_t seeds = part_seeds(150);
    unsigned damaged = 0;
    for (guint32 seed = seeds.first; seed < seeds.first + seeds.count; seed++) {
        model_t m;
        begin(&m, seed);
        for (int i = 0; i < BATCH_MAX; i++)
            append(&m);
        sync_log(&m);
        const gsize synced = log_size(&m);
        const bool marked = g_rand_boolean(m.random);
        append(&m);
        append(&m);
        store_close(m.store);
        if (!marked) {
            char *const path = g_strdup_printf("%s/synced", m.dir);
            g_assert_true(g_file_set_contents(path, "torn", 4, NULL));
            g_free(path);
        }
        const bool changed = damage(&m, synced);
        damaged += changed;
        raft_start_t start;
        tc_err_t err = {0};
        m.store = store_open(m.dir, &start, &err);
        if (changed && m.store)
            g_error("seed %u: damage of synced records was not detected", seed);
        if (changed) {
            g_assert_cmpint(err.code, ==, TC_E_CORRUPT);
            g_assert_nonnull(strstr(err.peer, "log-"));
            g_assert_nonnull(strstr(err.detail, "offset"));
            folder_empty(m.dir);
            m.store = store_open(m.dir, &start, &err);
        }
        store_start_free(&start);
        end(&m);
    }
    g_assert_cmpuint(damaged, >, 0);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/store/random/power-losses", test_power_losses);
    g_test_add_func("/store/random/damage", test_damage);
    return g_test_run();
}
