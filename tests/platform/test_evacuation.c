/* Requests while the data centres of their back ends are evacuated: no new request is sent there, running ones go on,
 * and requests that no other data centre can serve are refused at once. Load: each kind of request, one after the
 * other, at a box without a leader. */

#include "platform/forward_lab.h"

/** Begins or ends the evacuation of the one data centre that has all back ends of the lab. */
static void evacuate(const fixture_t *f, bool on)
{
    evacuations_t held = {0};
    evacuation_t order = {.on = true};
    codec_copy_string(order.dc, sizeof(order.dc), fleet_at(f->fleet, 0)->listed.dc);
    if (on)
        evacuations_apply(&held, &order, 1);
    fleet_set_evacuations(f->fleet, &held, tc_time_now());
    codec_free(&evacuations_desc, &held);
}

static unsigned all_requests(const fixture_t *f)
{
    unsigned n = 0;
    for (int i = 0; i < BACKENDS; i++)
        n += requests(f, i);
    return n;
}

static void test_refused_at_once(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f,
              (backend_plan_t[]){{"app", "", "o", false, false},
                                 {"lm", "prefill", "p", false, false},
                                 {"lm", "decode", "S", false, false},
                                 {"held", "prefill", "p", false, false},
                                 {"held", "decode", "H", false, false}},
              5);
    evacuate(f, true);
    expect(f, "/safe/x", 503, "");
    expect(f, "/once/x", 503, "");
    expect(f, "/lm/x", 503, "");
    expect(f, "/again/x", 503, "");
    expect(f, "/held/x", 503, ""); /* and no memory is reserved */
    g_assert_cmpuint(all_requests(f), ==, 0);
    evacuate(f, false);
    expect(f, "/safe/x", 200, "ok");
    expect(f, "/lm/x", 200, NULL);
}

static bool has_prefill(void *arg)
{
    return requests(arg, 0) > 0;
}

/** The evacuation begins during prefill, so no decode engine is left: the request is refused, and the prefilled cache
 * is released. */
static void test_between_engines(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"lm", "prefill", "P", false, false}, {"lm", "decode", "S", false, false}}, 2);
    lab_call_t *const c = begin(f, "/lm/x");
    lab_run_until(f->loop, has_prefill, f);
    evacuate(f, true);
    lab_run_until_true(f->loop, &c->done);
    g_assert_cmpint(c->status, ==, 503);
    lab_call_free(c);
    g_assert_cmpuint(requests(f, 1), ==, 0);
}

static bool has_decode(void *arg)
{
    return requests(arg, 1) > 0;
}

/** A running stream goes on to its end. */
static void test_running_stream(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "o", true, false}, {"lm", "decode", "t", false, false}}, 2);
    lab_call_t *const c = begin(f, "/lm/x");
    lab_run_until(f->loop, has_decode, f);
    evacuate(f, true);
    lab_run_until_true(f->loop, &c->done);
    g_assert_nonnull(strstr(c->body->str, FIRST)); /* the engine breaks off after that */
    lab_call_free(c);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/evacuation/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("refused-at-once", test_refused_at_once);
    TEST("between-engines", test_between_engines);
    TEST("running-stream", test_running_stream);
    return g_test_run();
}
