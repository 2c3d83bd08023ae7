/* Answers that a back end spoils are told apart from connections that break, and counted by kind.
 *
 * Guards against a back end that writes junk and looks like one whose connections break: both were logged and counted
 * as "connection to the back end broke". */

#include "common/counter.h"
#include "platform/forward_lab.h"

enum { EVENT_BYTES = 5 * 1024 * 1024 }; /* more than an event may have */

static const char *const kinds[] = {"trackcove_forward_spoiled_http_total", "trackcove_forward_spoiled_total",
                                    "trackcove_forward_spoiled_prefills_total",
                                    "trackcove_forward_spoiled_events_total"};

typedef struct {
    int64_t n[G_N_ELEMENTS(kinds)];
} counts_t;

static counts_t read_counts(void)
{
    counts_t counts;
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
        counts.n[i] = counter_read(kinds[i]);
    return counts;
}

/** Checks that only that kind was counted since @p before. @param kind index in kinds; -1: none */
static void expect_counted(const counts_t *before, int kind)
{
    for (int i = 0; i < (int)G_N_ELEMENTS(kinds); i++)
        g_assert_cmpint(counter_read(kinds[i]) - before->n[i], ==, i == kind);
}

static void expect_plain(fixture_t *f, const char *reply, int kind)
{
    const backend_plan_t plan = {"app", "", reply, false, false};
    const counts_t before = read_counts();
    start_all(f, &plan, 1);
    expect(f, "/once/x", 502, NULL);
    expect_counted(&before, kind);
}

static void test_junk(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_plain(f, "z", 0);
}

static void test_unproven(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_plain(f, "g", 1);
}

/** Control: connections that break, and answers that end early. */
static void test_broken(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_plain(f, "r", -1);
}

static void test_ends_early(fixture_t *f, gconstpointer data)
{
    (void)data;
    expect_plain(f, "c", -1);
}

static void test_prefill(fixture_t *f, gconstpointer data)
{
    (void)data;
    const counts_t before = read_counts();
    const backend_plan_t plans[] = {
        {"lm", "prefill", "i", false, false}, {"lm", "prefill", "p", true, false}, {"lm", "decode", "S", false, false}};
    start_all(f, plans, 3);
    expect(f, "/lm/x", 200, FIRST SECOND);
    g_assert_cmpint(counter_read(kinds[2]) - before.n[2], >=, 1);
    g_assert_cmpint(counter_read(kinds[0]) - before.n[0], ==, 0);
}

static void test_event(fixture_t *f, gconstpointer data)
{
    (void)data;
    const counts_t before = read_counts();
    start_engines(f, "lm", "p", "q", NULL);
    char *const event = g_strnfill(EVENT_BYTES, 'a');
    f->plan[1].stream = event;
    f->plan[1].stream_size = EVENT_BYTES;
    lab_call_t *const c = call(f, "/lm/x");
    g_assert_cmpint(c->how, !=, WEB_RESULT_COMPLETE);
    lab_call_free(c);
    expect_counted(&before, 3);
    g_free(event);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, fn) g_test_add("/spoiled-kinds/" name, fixture_t, NULL, set_up, fn, tear_down)
    ADD("junk", test_junk);
    ADD("unproven", test_unproven);
    ADD("broken", test_broken);
    ADD("ends-early", test_ends_early);
    ADD("prefill", test_prefill);
    ADD("event", test_event);
    return g_test_run();
}
