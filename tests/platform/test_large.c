/* Configurations with thousands of routes: memory of every process stays bounded and all of 66 boxes get each version
 * over narrow links, also when all control boxes restart at once or the leader dies as it acknowledges. Control boxes
 * are real processes. */

#include <glib.h>
#include <jansson.h>

#include "platform/large_lab.h"

/** Half of the memory of a process on the smallest boxes; the rest is for work that the test does not include. */
enum { CONTROL_KB_MAX = 44 * 1024, ENTRY_KB_MAX = 44 * 1024 };

/* ===== Checks ===== */

/** Guarantee: whatever configuration was accepted, no process exceeds its memory. */
static void expect_bounded(const large_t *w)
{
    for (int i = 0; i < CONTROLS; i++)
        if (w->control[i].process.pid)
            g_assert_cmpint(peak_kb(&w->control[i].process), <=, CONTROL_KB_MAX);
    g_assert_cmpint(peak_kb(&w->forward), <=, ENTRY_KB_MAX);
}

static bool is_event(const char *line, const char *event, uint64_t version)
{
    json_t *const fields = json_loads(line, 0, NULL); /* NULL for a line that is still being written */
    const char *const named = json_string_value(json_object_get(fields, "event"));
    const json_t *const at = json_object_get(fields, "version");
    const bool is = named && strcmp(named, event) == 0 && at && (uint64_t)json_integer_value(at) == version;
    json_decref(fields);
    return is;
}

/** Whether the process logged this event for this version. */
static bool has_logged(const process_t *p, const char *event, uint64_t version)
{
    char *const path = g_strconcat(p->settings, ".log", NULL);
    char *text = NULL;
    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    char **const lines = g_strsplit(text, "\n", -1);
    bool has = false;
    for (guint i = 0; lines[i] && !has; i++)
        has = is_event(lines[i], event, version);
    g_strfreev(lines);
    g_free(text);
    g_free(path);
    return has;
}

/** Whether the leader acknowledged this version while a box was behind. Guards against a check that looks for a line
 *  which the log does not have: every acknowledgement writes one line or the other. */
static bool was_left_behind(const process_t *p, uint64_t version)
{
    const bool behind = has_logged(p, "not_everywhere", version);
    g_assert_true(behind || has_logged(p, "in_force", version));
    return behind;
}

static bool pieces_received(void *arg)
{
    return counter_read("trackcove_fetch_pieces_total") >= ((const large_t *)arg)->wanted_pieces;
}

static bool pieces_received_or_refused(void *arg)
{
    const large_t *const w = arg;
    return pieces_received(arg) || (w->put->done && w->put->status == 503);
}

/* ===== Configurations ===== */

/** A configuration of 6 MB, the largest accepted text, whose routes have long paths.
 * @param random_letters random letters in each path, which do not compress: 68 give 0.98 of the largest accepted body
 */
static char *make_random_config(uint64_t version, int random_letters)
{
    enum { SIZE = 6 * 1024 * 1024 - 8192, PATH = 200 };
    GRand *const random = g_rand_new_with_seed(11);
    GString *const text = g_string_new(NULL);
    g_string_append_printf(text, "{\"version\":%" G_GUINT64_FORMAT ",\"services\":[{\"name\":\"s\"}],\"routes\":[",
                           version);
    for (int i = 0; text->len < SIZE; i++) {
        g_string_append_printf(text,
                               "%s{\"host\":\"h.example\",\"timeout_ms\":9,\"service\":\"s\",\"path_prefix\":\"/%d",
                               i ? "," : "", i);
        for (int k = 0; k < PATH; k++)
            g_string_append_c(text, k < random_letters ? (char)g_rand_int_range(random, 'a', 'z') : 'x');
        g_string_append(text, "/\"}");
    }
    g_string_append(text, "]}");
    g_rand_free(random);
    return g_string_free(text, FALSE);
}

/** Sizes with which this failed in operation: three steps of 1,400 routes. */
static const int GROWTH[] = {1400, 2800, 4200};
/** One step above the largest of them. */
enum { LARGE = 5600 };

/* ===== Tests ===== */

/** Each change reaches every box, and memory stays bounded. */
static void test_growing(large_t *w, gconstpointer data)
{
    (void)data;
    for (guint i = 0; i < G_N_ELEMENTS(GROWTH); i++) {
        w->wanted_version = 3 + i;
        put_routes(w, w->wanted_version, GROWTH[i]);
        lab_run_until(w->loop, all_have_version, w);
        expect_bounded(w);
    }
}

/** All control boxes are killed and restart at once, and all entry boxes start without any state. */
static void test_return_of_all(large_t *w, gconstpointer data)
{
    (void)data;
    w->wanted_version = 3;
    put_routes(w, w->wanted_version, LARGE);
    for (int i = 0; i < CONTROLS; i++)
        process_kill(&w->control[i].process);
    stop_entries(w);
    for (int i = 0; i < CONTROLS; i++)
        start_control(w, &w->control[i], false);
    for (int i = 0; i < ENTRIES; i++)
        start_entry(w, i);
    lab_run_until(w->loop, all_have_version, w);
    expect_bounded(w);
}

/** Guarantee: an acknowledged version is in force on every box, so none needs the leader, which dies right afterwards.
 */
static void test_leader_dies_as_it_acknowledges(large_t *w, gconstpointer data)
{
    (void)data;
    w->wanted_version = 3;
    put_routes(w, w->wanted_version, GROWTH[0]);
    lab_run_until(w->loop, all_have_version, w);
    int leader;
    do { /* on a busy machine the leader may stop waiting for boxes; it then logs so, and all get the next version */
        w->wanted_version++;
        char *const body = make_config(w->wanted_version, LARGE);
        leader = put(w, body);
        g_free(body);
    } while (was_left_behind(&w->control[leader].process, w->wanted_version));
    process_kill(&w->control[leader].process);
    g_assert_true(all_have_version(w));
}

/** The largest accepted configuration is distributed; a larger one is refused with 413 and changes nothing. */
static void test_largest(large_t *w, gconstpointer data)
{
    (void)data;
    w->wanted_version = 3;
    put_routes(w, w->wanted_version, GROWTH[0]);
    char *const too_large = make_random_config(4, 100);
    (void)put_expecting(w, too_large, 413);
    g_free(too_large);
    w->wanted_version = 5;
    char *const largest = make_random_config(w->wanted_version, 68);
    (void)put(w, largest);
    g_free(largest);
    lab_run_until(w->loop, all_have_version, w);
    w->wanted_version = 6; /* every box holds the previous one at the same time */
    char *const next = make_random_config(w->wanted_version, 66);
    (void)put(w, next);
    g_free(next);
    lab_run_until(w->loop, all_have_version, w);
    expect_bounded(w);
}

/** The leader dies while boxes fetch pieces: other boxes have the document, and received pieces are not fetched again.
 */
static void test_leader_dies_while_boxes_fetch(large_t *w, gconstpointer data)
{
    (void)data;
    w->wanted_version = 3;
    put_routes(w, w->wanted_version, GROWTH[0]);
    w->wanted_version = 4;
    char *const body = make_random_config(w->wanted_version, 66);
    w->wanted_pieces = counter_read("trackcove_fetch_pieces_total") + 10 * ENTRIES; /* of 31 that each box needs */
    int leader;
    lab_call_t *call = NULL;
    do { /* on a busy machine the leader may be unsure of its leadership and refuse: retry */
        if (call)
            lab_call_free(call);
        leader = find_leader(w);
        w->put = call = begin_put(w, leader, body);
        lab_run_until(w->loop, pieces_received_or_refused, w);
    } while (!pieces_received(w));
    process_kill(&w->control[leader].process);
    lab_run_until(w->loop, all_have_version, w);
    lab_run_until(w->loop, is_done, call);
    lab_call_free(call);
    (void)put(w, body); /* a retry is acknowledged again */
    g_free(body);
    expect_bounded(w);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/large/" name, large_t, NULL, set_up, fn, tear_down)
    TEST("growing", test_growing);
    TEST("return-of-all", test_return_of_all);
    TEST("largest", test_largest);
    TEST("leader-dies-while-boxes-fetch", test_leader_dies_while_boxes_fetch);
    TEST("leader-dies-as-it-acknowledges", test_leader_dies_as_it_acknowledges);
    return g_test_run();
}
