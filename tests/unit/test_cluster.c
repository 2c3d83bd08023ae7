/* Bootstrap and membership of a cluster: starting, joining, losing and replacing boxes. Replicas run in one event loop
 * over loopback, with real data folders. */

#include <glib.h>
#include <signal.h>
#include <string.h>
#include <sys/resource.h>

#include "shim/power.h"
#include "unit/cluster_lab.h"

/* ===== Bootstrapping, losing and replacing boxes ===== */

static void test_bootstrap_and_accept(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 3);
    put(f, 7);
    put(f, 7); /* the same version again is acknowledged again */
    expect_read(f, 7);
    propose_text(f, await_leader(f), 7, "other");
    g_assert_cmpint(f->proposal_rc, ==, TC_E_CONFLICT);
    put(f, 5); /* an older version is acknowledged, and changes nothing */
    expect_read(f, 7);
}

static void test_bootstrap_without_one_seed(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_box(f, 1, true);
    start_box(f, 2, true); /* seed 0 never comes up */
    put(f, 2);
    expect_read(f, 2);
}

static void test_all_restart(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    for (int i = 0; i < SEEDS; i++)
        stop_box(f, i);
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, false);
    expect_read(f, 4);
}

/** Data folders in the older format hold the document as plain text, and are read as such. */
static void test_data_folder_of_plain_documents(fixture_t *f, gconstpointer data)
{
    (void)data;
    char text[] = "content 4";
    const document_t plain = {.version = 4, .body = text, .body_n = sizeof(text) - 1};
    raft_member_t founders[SEEDS];
    memset(founders, 0, sizeof(founders));
    for (int i = 0; i < SEEDS; i++) {
        founders[i] = (raft_member_t){.id = 11 + (uint64_t)i, .voter = true};
        codec_copy_string(founders[i].name, sizeof(founders[i].name), f->addr[i]);
        codec_copy_string(founders[i].peer, sizeof(founders[i].peer), f->addr[i]);
    }
    raft_image_t image = {.last_index = 1, .last_term = 1, .members = {.list = founders, .list_n = SEEDS}};
    size_t size;
    image.state = codec_pack_bytes(&document_desc, &plain, &size);
    image.state_n = (uint32_t)size;
    tc_err_t err = {0};
    for (int i = 0; i < SEEDS; i++)
        g_assert_cmpint(store_bootstrap(f->dir[i], founders[i].id, &image, &err), ==, TC_OK);
    free(image.state);
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, false);
    expect_read(f, 4);
    put(f, 4); /* the same text is acknowledged again */
    propose_text(f, await_leader(f), 4, "other");
    g_assert_cmpint(f->proposal_rc, ==, TC_E_CONFLICT);
    put(f, 5);
}

static bool has_no_leader(void *arg)
{
    return leader(arg) < 0;
}

/** Guarantee: a box whose disk is full neither exits nor leads, acknowledges nothing that is not on disk, and resumes
 *  without loss once there is space. The boxes share a disk here, so that all of them are affected. */
static void test_full_disk(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    struct rlimit old;
    g_assert_cmpint(getrlimit(RLIMIT_FSIZE, &old), ==, 0);
    const struct rlimit none = {.rlim_cur = 0, .rlim_max = old.rlim_max};
    signal(SIGXFSZ, SIG_IGN);
    const int at = await_leader(f);
    g_assert_cmpint(setrlimit(RLIMIT_FSIZE, &none), ==, 0);
    propose_text(f, at, 5, "never accepted");
    g_assert_cmpint(f->proposal_rc, !=, TC_OK);
    lab_run_until(f->loop, has_no_leader, f);
    g_assert_cmpint(setrlimit(RLIMIT_FSIZE, &old), ==, 0);
    put(f, 6);
    for (int i = 0; i < SEEDS; i++)
        stop_box(f, i);
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, false);
    expect_read(f, 6);
}

/** A leader that is about to stop hands over leadership to another box. */
static void test_resign(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    const int old = await_leader(f);
    replica_resign(f->replica[old]);
    g_assert_false(replica_is_leader(f->replica[old]));
    g_assert_cmpint(await_leader(f), !=, old);
    expect_read(f, 4);
    put(f, 5);
}

static void test_no_answer_without_a_majority(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    const int at = await_leader(f);
    for (int i = 0; i < SEEDS; i++)
        if (i != at)
            stop_box(f, i);
    propose_text(f, at, 9, "x");
    g_assert_cmpint(f->proposal_rc, <, 0);       /* not acknowledged */
    g_assert_null(replica_read(f->replica[at])); /* and reads are refused */
}

static void test_wiped_box_is_a_new_member(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    const int at = await_leader(f), wiped = (at + 1) % SEEDS, other = (at + 2) % SEEDS;
    stop_box(f, wiped);
    folder_empty(f->dir[wiped]);
    start_box(f, wiped, false);
    put(f, 5);
    f->awaited_box = wiped;
    lab_run_until(f->loop, three_with_awaited, f);
    stop_box(f, other); /* the majority needs the new member now */
    put(f, 6);
    expect_read(f, 6);
}

/** A text whose packed size is just below the limit: random hexadecimal digits, four bits of entropy per byte. */
static char *large_text(guint32 seed)
{
    GRand *const random = g_rand_new_with_seed(seed);
    GString *const text = g_string_new(NULL);
    while (text->len < 15 * DOCUMENT_BODY_MAX_BYTES / 8)
        g_string_append_printf(text, "%08x", g_rand_int(random));
    g_rand_free(random);
    return g_string_free(text, FALSE);
}

/** A box that has lost its disk catches up with the largest document while operators make changes, and then counts for
 *  the majority. */
static void test_wiped_box_and_large_documents(fixture_t *f, gconstpointer data)
{
    (void)data;
    char *const first = large_text(1), *const second = large_text(2);
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 3);
    put_text(f, 4, first);
    const int at = await_leader(f), wiped = (at + 1) % SEEDS, other = (at + 2) % SEEDS;
    stop_box(f, wiped);
    folder_empty(f->dir[wiped]);
    start_box(f, wiped, false);
    put_text(f, 5, second);
    f->awaited_box = wiped;
    lab_run_until(f->loop, three_with_awaited, f);
    stop_box(f, other); /* the majority needs the new member now */
    put_text(f, 6, first);
    expect_read(f, 6);
    for (int i = 0; i < SEEDS; i++)
        stop_box(f, i);
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, false);
    expect_read(f, 6); /* from disk */
    g_free(first);
    g_free(second);
}

static void test_replaced_box_and_a_lost_disk(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    const int gone = await_leader(f);
    stop_box(f, gone); /* for good */
    lab_run_until(f->loop, has_leader, f);
    start_box(f, 3, false); /* an empty box joins just after the election: both become voters */
    put(f, 5);
    f->awaited_box = 3;
    lab_run_until(f->loop, three_with_awaited, f); /* the stopped voter is removed */
    const int wiped = (gone + 1) % SEEDS;
    stop_box(f, wiped);
    folder_empty(f->dir[wiped]);
    put(f, 6); /* two of three are a majority; two of four would be none */
    start_box(f, wiped, false);
    expect_read(f, 6);
}

static void test_odd_number_of_voters(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < BOXES; i++)
        start_box(f, i, true); /* the fourth is no seed: it joins */
    put(f, 4);
    lab_run_until(f->loop, has_fourth_nonvoter, f);
    put(f, 5);
    lab_run_until(f->loop, has_fourth_nonvoter, f);
    const int gone = await_leader(f);
    stop_box(f, gone);
    f->awaited_box = 3;
    lab_run_until(f->loop, three_with_awaited, f); /* it replaces the stopped voter */
    put(f, 6);
    expect_read(f, 6);
}

/** The first record of a change was synced by itself, before the others were written: one sync more at the leader, and
 * a change of which a loss of power leaves the beginning. */
static void test_change_is_synced_once(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    char *const text = large_text(1);
    uint64_t version = 1;
    do {
        const int at = await_leader(f);
        power_watch(f->dir[at], 1);
        propose_text(f, at, ++version, text);
    } while (f->proposal_rc != TC_OK); /* another leader was elected */
    g_assert_cmpuint(power_syncs(), ==, 1);
    g_free(text);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/cluster/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("bootstrap-and-accept", test_bootstrap_and_accept);
    TEST("bootstrap-without-one-seed", test_bootstrap_without_one_seed);
    TEST("all-restart", test_all_restart);
    TEST("data-folder-of-plain-documents", test_data_folder_of_plain_documents);
    TEST("full-disk", test_full_disk);
    TEST("resign", test_resign);
    TEST("no-answer-without-a-majority", test_no_answer_without_a_majority);
    TEST("wiped-box-is-a-new-member", test_wiped_box_is_a_new_member);
    TEST("wiped-box-and-large-documents", test_wiped_box_and_large_documents);
    TEST("replaced-box-and-a-lost-disk", test_replaced_box_and_a_lost_disk);
    TEST("odd-number-of-voters", test_odd_number_of_voters);
    TEST("change-is-synced-once", test_change_is_synced_once);
    return g_test_run();
}
