/* Configurations of thousands of routes: borne by every process, over narrow links, by 66 boxes at once, also when all
 * control boxes come back at once or the leader dies as it acknowledges. Control boxes are real processes. */

#include <glib.h>

#include "platform/large_lab.h"

/** Half of what a process may take on the smallest boxes: the rest is for what the test does not do. */
enum { CONTROL_KB_MAX = 44 * 1024, ENTRY_KB_MAX = 44 * 1024 };

/* ===== Looking ===== */

/** Promise: no process takes more memory than there is, whatever configuration was accepted. */
static void expect_bounded(const large_t *w)
{
    for (int i = 0; i < CONTROLS; i++)
        if (w->control[i].process.pid)
            g_assert_cmpint(peak_kb(&w->control[i].process), <=, CONTROL_KB_MAX);
    g_assert_cmpint(peak_kb(&w->forward), <=, ENTRY_KB_MAX);
}

/** Whether the process logged an event about a version. */
static bool has_said(const process_t *p, const char *event, uint64_t version)
{
    char *const path = g_strconcat(p->settings, ".log", NULL);
    char *const what = g_strdup_printf("\"event\":\"%s\",\"version\":%" G_GUINT64_FORMAT, event, version);
    char *text = NULL;
    g_assert_true(g_file_get_contents(path, &text, NULL, NULL));
    const bool said = strstr(text, what) != NULL;
    g_free(path);
    g_free(what);
    g_free(text);
    return said;
}

static bool pieces_have_come(void *arg)
{
    return counter_read("trackcove_fetch_pieces_total") >= ((const large_t *)arg)->pieces;
}

static bool pieces_have_come_or_refused(void *arg)
{
    const large_t *const w = arg;
    return pieces_have_come(arg) || (w->put->done && w->put->status == 503);
}

/* ===== Configurations ===== */

/** One of 6 MB, the largest text that is taken, whose routes have long paths.
 * @param by_lot letters of each path that no packing makes fewer: 68 pack to 0.98 of the most that is accepted */
static char *make_config_by_lot(uint64_t version, int by_lot)
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
            g_string_append_c(text, k < by_lot ? (char)g_rand_int_range(random, 'a', 'z') : 'x');
        g_string_append(text, "/\"}");
    }
    g_string_append(text, "]}");
    g_rand_free(random);
    return g_string_free(text, FALSE);
}

/** What operators had when it went wrong: three times 1,400 routes more. */
static const int GROWTH[] = {1400, 2800, 4200};
/** The largest of them, once more by the same step. */
enum { LARGE = 5600 };

/* ===== Tests ===== */

/** Each change reaches every box, and no control box takes more than it may. */
static void test_growing(large_t *w, gconstpointer data)
{
    (void)data;
    for (guint i = 0; i < G_N_ELEMENTS(GROWTH); i++) {
        w->want = 3 + i;
        put_routes(w, w->want, GROWTH[i]);
        lab_run_until(w->loop, all_have_wanted, w);
        expect_bounded(w);
    }
}

/** All control boxes are killed and come back at once, and no entry box knows anything. */
static void test_return_of_all(large_t *w, gconstpointer data)
{
    (void)data;
    w->want = 3;
    put_routes(w, w->want, LARGE);
    for (int i = 0; i < CONTROLS; i++)
        process_kill(&w->control[i].process);
    stop_entries(w);
    for (int i = 0; i < CONTROLS; i++)
        start_control(w, &w->control[i], false);
    for (int i = 0; i < ENTRIES; i++)
        start_entry(w, i);
    lab_run_until(w->loop, all_have_wanted, w);
    expect_bounded(w);
}

/** Promise: in force everywhere although the leader dies as it acknowledges: no box needs it any more. */
static void test_leader_dies_as_it_acknowledges(large_t *w, gconstpointer data)
{
    (void)data;
    w->want = 3;
    put_routes(w, w->want, GROWTH[0]);
    lab_run_until(w->loop, all_have_wanted, w);
    int leader;
    do { /* a busy machine may take longer than is waited for; then it says so */
        w->want++;
        char *const body = make_config(w->want, LARGE);
        leader = put(w, body);
        g_free(body);
    } while (has_said(&w->control[leader].process, "not_everywhere", w->want));
    process_kill(&w->control[leader].process);
    g_assert_true(all_have_wanted(w));
}

/** The largest that is accepted is borne; what is larger is refused when it is offered, and changes nothing. */
static void test_largest(large_t *w, gconstpointer data)
{
    (void)data;
    w->want = 3;
    put_routes(w, w->want, GROWTH[0]);
    char *const too_large = make_config_by_lot(4, 100);
    (void)put_expecting(w, too_large, 413);
    g_free(too_large);
    w->want = 5;
    char *const largest = make_config_by_lot(w->want, 68);
    (void)put(w, largest);
    g_free(largest);
    lab_run_until(w->loop, all_have_wanted, w);
    w->want = 6; /* with the one before it at every box */
    char *const next = make_config_by_lot(w->want, 66);
    (void)put(w, next);
    g_free(next);
    lab_run_until(w->loop, all_have_wanted, w);
    expect_bounded(w);
}

/** The leader dies while boxes are fetching: the others have it, and what has arrived is not fetched again. */
static void test_leader_dies_while_boxes_fetch(large_t *w, gconstpointer data)
{
    (void)data;
    w->want = 3;
    put_routes(w, w->want, GROWTH[0]);
    w->want = 4;
    char *const body = make_config_by_lot(w->want, 66);
    w->pieces = counter_read("trackcove_fetch_pieces_total") + 10 * ENTRIES; /* of 31 that each lacks */
    int leader;
    lab_call_t *call = NULL;
    do { /* on a busy machine the leader may not be sure of its lead when it is asked, and says so: sent again */
        if (call)
            lab_call_free(call);
        leader = find_leader(w);
        w->put = call = begin_put(w, leader, body);
        lab_run_until(w->loop, pieces_have_come_or_refused, w);
    } while (!pieces_have_come(w));
    process_kill(&w->control[leader].process);
    lab_run_until(w->loop, all_have_wanted, w);
    lab_run_until(w->loop, is_done, call);
    lab_call_free(call);
    (void)put(w, body); /* sent again, it is acknowledged again */
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
