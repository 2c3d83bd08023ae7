/* When a back end is left for spoiled answers, and when it is taken back.
 *
 * Guards against a back end that is chosen on and on since one good answer in between made up for all spoiled ones. */

#include "backend/spoil_record.h"

#include <glib.h>

enum { NOW = 1000000 };

/** Leaves the back end at NOW. */
static spoil_record_t make_left(void)
{
    spoil_record_t record = {0};
    g_assert_false(spoil_record_add_spoiled(&record, 1, NOW - 1, NOW));
    g_assert_true(spoil_record_allows(&record, NOW));
    g_assert_true(spoil_record_add_spoiled(&record, 2, NOW - 1, NOW));
    g_assert_false(spoil_record_allows(&record, NOW));
    return record;
}

/** A trial that is sent as soon as it may be, and answered 1 ms later. @return when it was answered */
static tc_time_t try_once(spoil_record_t *record, bool good, uint64_t request)
{
    const tc_time_t at = spoil_record_next(record);
    g_assert_false(spoil_record_allows(record, at - 1));
    g_assert_true(spoil_record_allows(record, at));
    spoil_record_begin(record, at);
    g_assert_false(spoil_record_allows(record, at + 1)); /* one trial at a time */
    if (good)
        (void)spoil_record_add_good(record, at, at + 1);
    else
        (void)spoil_record_add_spoiled(record, request, at, at + 1);
    return at + 1;
}

static void test_backoff(void)
{
    static const tc_time_t periods[] = {600, 1200, 2400, 3000, 3000};
    spoil_record_t record = make_left();
    g_assert_cmpint(spoil_record_next(&record), ==, NOW + SPOIL_BACKOFF_MS);
    for (unsigned i = 0; i < G_N_ELEMENTS(periods); i++) {
        const tc_time_t at = try_once(&record, false, 10 + i);
        g_assert_cmpint(spoil_record_next(&record), ==, at + periods[i]);
    }
}

static void test_return(void)
{
    spoil_record_t record = make_left();
    const tc_time_t at = try_once(&record, true, 0);
    g_assert_true(spoil_record_allows(&record, at)); /* for the next trial */
    spoil_record_begin(&record, at);
    g_assert_false(spoil_record_allows(&record, at));
    g_assert_true(spoil_record_add_good(&record, at, at + 1));
    spoil_record_begin(&record, at + 1);
    g_assert_true(spoil_record_allows(&record, at + 1));
    /* Left again soon: the next period, not the first one. */
    (void)spoil_record_add_spoiled(&record, 1, at + 2, at + 3);
    g_assert_true(spoil_record_add_spoiled(&record, 2, at + 2, at + 3));
    g_assert_cmpint(spoil_record_next(&record), ==, at + 3 + 2 * SPOIL_BACKOFF_MS);
}

static void test_forgets(void)
{
    spoil_record_t record = make_left();
    tc_time_t at = try_once(&record, true, 0);
    (void)spoil_record_add_good(&record, at, at);
    at += SPOIL_FORGET_MS + 1;
    (void)spoil_record_add_spoiled(&record, 1, at, at);
    g_assert_true(spoil_record_add_spoiled(&record, 2, at, at));
    g_assert_cmpint(spoil_record_next(&record), ==, at + SPOIL_BACKOFF_MS);
}

/** One request that makes a sound back end answer badly, sent again and again. */
static void test_one_request(void)
{
    spoil_record_t record = {0};
    for (int i = 0; i < 100; i++)
        g_assert_false(spoil_record_add_spoiled(&record, 1, NOW + i, NOW + i));
    g_assert_true(spoil_record_allows(&record, NOW + 100));
}

/** Several such requests among three times as many that are answered well. */
static void test_few(void)
{
    spoil_record_t record = {0};
    for (uint64_t i = 0; i < 100; i++) {
        g_assert_false(spoil_record_add_spoiled(&record, i, NOW, NOW));
        for (int good = 0; good < 3; good++)
            (void)spoil_record_add_good(&record, NOW, NOW);
    }
}

/** Each second answer is good: it is left, and one good trial does not take it back. */
static void test_half(void)
{
    spoil_record_t record = {0};
    unsigned spoiled = 0;
    while (!record.left) {
        (void)spoil_record_add_spoiled(&record, spoiled++, NOW, NOW);
        if (!record.left)
            (void)spoil_record_add_good(&record, NOW, NOW);
    }
    g_assert_cmpuint(spoiled, <=, SPOIL_REQUESTS + 1);
    (void)try_once(&record, true, 0);
    (void)spoil_record_add_spoiled(&record, 100, record.until, record.until);
    g_assert_true(record.left);
}

/** Calls that were in flight when it was left end later, well or not. */
static void test_in_flight(void)
{
    spoil_record_t record = make_left();
    for (uint64_t i = 0; i < 20; i++) {
        (void)spoil_record_add_spoiled(&record, 10 + i, NOW - 1, NOW + 1);
        (void)spoil_record_add_good(&record, NOW - 1, NOW + 1);
    }
    g_assert_cmpint(spoil_record_next(&record), ==, NOW + SPOIL_BACKOFF_MS);
}

/** A trial whose caller leaves keeps the next one waiting for a limited time. */
static void test_trial_without_result(void)
{
    spoil_record_t record = make_left();
    const tc_time_t at = spoil_record_next(&record);
    spoil_record_begin(&record, at);
    g_assert_false(spoil_record_allows(&record, at + SPOIL_TRIAL_MS - 1));
    g_assert_true(spoil_record_allows(&record, at + SPOIL_TRIAL_MS));
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, fn) g_test_add_func("/spoil-record/" name, fn)
    ADD("backoff", test_backoff);
    ADD("return", test_return);
    ADD("forgets", test_forgets);
    ADD("one-request", test_one_request);
    ADD("few", test_few);
    ADD("half", test_half);
    ADD("in-flight", test_in_flight);
    ADD("trial-without-result", test_trial_without_result);
    return g_test_run();
}
