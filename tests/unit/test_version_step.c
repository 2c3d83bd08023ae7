/* How a request finds out which software version its stream is bound to.
 *
 * Guards against streams of callers who name no attempt that are refused by boxes that have just started, though one
 * version serves; and against waits that cannot help. */

#include <glib.h>

#include "forward/version_step.h"

/** A stream that is taken up at a box that is in touch, while one version serves. */
static const version_view_t usual = {
    .is_taken_up = true, .names_attempt = true, .can_ask = true, .versions = 1, .is_current = true, .may_wait = true};

static void test_one_version(void)
{
    version_view_t v = usual;
    g_assert_cmpint(version_next_step(&v), ==, VERSION_ANY);
    v.names_attempt = v.can_ask = false;
    g_assert_cmpint(version_next_step(&v), ==, VERSION_ANY);
    v.awaits_leader = true;
    g_assert_cmpint(version_next_step(&v), ==, VERSION_WAIT);
    v.awaits_leader = v.is_current = false;
    g_assert_cmpint(version_next_step(&v), ==, VERSION_WAIT);
    v.may_wait = false;
    g_assert_cmpint(version_next_step(&v), ==, VERSION_REFUSE);
}

static void test_several_versions(void)
{
    version_view_t v = usual;
    v.versions = 2;
    g_assert_cmpint(version_next_step(&v), ==, VERSION_ASK);
    v.was_asked = true;
    g_assert_cmpint(version_next_step(&v), ==, VERSION_WAIT);
    v.may_wait = false;
    g_assert_cmpint(version_next_step(&v), ==, VERSION_REFUSE);
    v.is_known = true;
    g_assert_cmpint(version_next_step(&v), ==, VERSION_BOUND);
    v = usual;
    v.versions = 2;
    v.names_attempt = false; /* nobody can tell */
    g_assert_cmpint(version_next_step(&v), ==, VERSION_REFUSE);
    v.is_taken_up = false;
    g_assert_cmpint(version_next_step(&v), ==, VERSION_ANY);
}

/** A box that was suspended for 1.6 s took its list for current, and let streams of a version that it had not heard of
 * go on at another one. */
static void test_news_from_before_a_pause(void)
{
    version_news_t n = {.listed = 9000, .asked = 9500};
    g_assert_true(version_news_are_current(&n, 10000));
    g_assert_true(version_news_are_current(&n, 9500 + VERSION_NEWS_MAX_AGE_MS));
    g_assert_false(version_news_are_current(&n, 9501 + VERSION_NEWS_MAX_AGE_MS));
    n.woken_at = 11100; /* stood still since 9500 */
    g_assert_false(version_news_are_current(&n, 11100));
    n.asked = 11101;
    g_assert_true(version_news_are_current(&n, 11102));
    n = (version_news_t){.woken_at = 0};
    g_assert_false(version_news_are_current(&n, 10000)); /* heard nothing yet */
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/version-step/one-version", test_one_version);
    g_test_add_func("/version-step/several-versions", test_several_versions);
    g_test_add_func("/version-step/news-from-before-a-pause", test_news_from_before_a_pause);
    return g_test_run();
}
