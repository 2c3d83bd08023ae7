/* Answers with neither a length nor chunks, which end with their connection.
 *
 * Guards against taking such an answer for broken off when it is whole, or for whole when it was cut: a stream that
 * ends inside an event, or is reset, goes on at another engine; one that ends after an event is over. */

#include "platform/forward_lab.h"

static void start_unframed(fixture_t *f, const char *replies, const char *stream, size_t size)
{
    start_engines(f, "lm", "p", replies, "U");
    f->plan[1].stream = stream;
    f->plan[1].stream_size = size;
}

static void test_whole(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_unframed(f, "K", FIRST SECOND, strlen(FIRST SECOND));
    expect(f, "/again/x", 200, FIRST SECOND);
    expect(f, "/lm/x", 200, FIRST SECOND);
    g_assert_cmpuint(requests(f, 2), ==, 0);
}

/** Cut at every byte of its second event. */
static void test_cut_within_an_event(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_unframed(f, "K", FIRST SECOND, 0);
    for (size_t size = strlen(FIRST) + 1; size < strlen(FIRST SECOND); size++) {
        const unsigned before = requests(f, 2);
        f->plan[1].stream_size = size;
        expect(f, "/again/x", 200, FIRST SECOND);
        g_assert_cmpuint(requests(f, 2), ==, before + 1);
    }
}

/** On a route whose streams cannot be resumed, the caller sees that the answer is not whole. */
static void test_cut_for_good(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_unframed(f, "K", FIRST SECOND, strlen(FIRST SECOND) - 1);
    lab_call_t *const c = call(f, "/lm/x");
    g_assert_cmpint(c->how, ==, WEB_RESULT_TRUNCATED);
    g_assert_cmpstr(c->body->str, ==, FIRST);
    lab_call_free(c);
}

/** Between two events a close ends the stream, a reset does not. */
static void test_reset(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_unframed(f, "J", FIRST SECOND, strlen(FIRST));
    expect(f, "/again/x", 200, FIRST SECOND);
    g_assert_cmpuint(requests(f, 2), ==, 1);
}

/** The same on a connection that has been used before. An engine whose answer was lost is asked once more, and starts
 * over here. */
static void test_kept_connection(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_unframed(f, "SKSKSSJ", FIRST SECOND, strlen(FIRST SECOND));
    expect(f, "/again/x", 200, FIRST SECOND);
    expect(f, "/again/x", 200, FIRST SECOND);
    g_assert_cmpuint(requests(f, 2), ==, 0);
    expect(f, "/again/x", 200, FIRST SECOND);
    f->plan[1].stream_size--;
    expect(f, "/again/x", 200, FIRST SECOND);
    g_assert_cmpuint(requests(f, 2), ==, 1);
    expect(f, "/again/x", 200, FIRST SECOND);
    f->plan[1].stream_size = strlen(FIRST);
    expect(f, "/again/x", 200, FIRST SECOND);
    g_assert_cmpuint(requests(f, 2), ==, 2);
}

static void test_plain(fixture_t *f, gconstpointer data)
{
    (void)data;
    start_all(f, (backend_plan_t[]){{"app", "", "yY", false, false}}, 1);
    expect(f, "/once/x", 200, "ok");
    lab_call_t *const c = call(f, "/once/x");
    g_assert_cmpint(c->status, !=, 200); /* it may be cut */
    lab_call_free(c);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/unframed/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("whole", test_whole);
    TEST("cut-within-an-event", test_cut_within_an_event);
    TEST("cut-for-good", test_cut_for_good);
    TEST("reset", test_reset);
    TEST("kept-connection", test_kept_connection);
    TEST("plain", test_plain);
    return g_test_run();
}
