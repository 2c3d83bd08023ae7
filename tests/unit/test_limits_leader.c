/* Rate limits of back ends at the leader: which it knows, and how it counts requests against them. */

#include <glib.h>
#include <string.h>

#include "cluster/limits.h"

typedef struct {
    sched_t *sched;
    limits_t *limits;
    tc_time_t now;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
    (void)data;
    const limit_rules_t rules = {.advertised = {.window = 4000, .overrun = 0.5, .slack = 5, .strict = true},
                                 .cold = {.window = 1000, .overrun = 0.5, .slack = 5, .strict = true}};
    f->limits = limits_create(&rules);
    f->now = 1000000;
    f->sched = sched_create(&(sched_options_t){.cell = "main"}, f->now);
    limits_reset(f->limits, f->now);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
    (void)data;
    limits_destroy(f->limits);
    sched_destroy(f->sched);
}

static limit_news_t make_news(const char *backend, bool is_set, double rate, uint64_t age_ms)
{
    limit_news_t news = {.is_set = is_set, .rate = rate, .age_ms = age_ms};
    codec_copy_string(news.backend, sizeof(news.backend), backend);
    return news;
}

/** Sends a box's report with @p news, or none. @param hash in: of the list that the box has; out: of the leader's list
 *  @return the leader's answer */
static msg_report_ack_t report(fixture_t *f, limit_news_t *news, uint64_t *hash)
{
    msg_report_t message = {.limits = news, .limits_n = news ? 1 : 0, .limits_hash = *hash};
    msg_report_ack_t ack = {0};
    limits_handle_report(f->limits, f->sched, &message, &ack, f->now);
    *hash = ack.limits.hash;
    return ack;
}

static bool try_acquire(fixture_t *f, const char *backend)
{
    tc_time_t after;
    const msg_take_limit_t take = {.limit = make_news(backend, false, 0, 1000000)}; /* too old to change a limit */
    return limits_acquire(f->limits, f->sched, &take, f->now, &after);
}

/** @return number of requests that are allowed at once */
static unsigned count_allowed(fixture_t *f, const char *backend)
{
    enum { COUNT_MAX = 1000 };
    unsigned n = 0;
    while (n < COUNT_MAX && try_acquire(f, backend))
        n++;
    return n;
}

/** Of two answers the newer one counts, whichever is reported first. */
static void test_newest_counts(fixture_t *f, gconstpointer data)
{
    (void)data;
    uint64_t hash = 0;
    limit_news_t newer = make_news("a", true, 4, 100), older = make_news("a", true, 9, 500);
    msg_report_ack_t ack = report(f, &newer, &hash);
    g_assert_cmpuint(ack.limits.list_n, ==, 1);
    const uint64_t previous = hash;
    ack = report(f, &older, &hash);
    g_assert_cmpuint(hash, ==, previous); /* nothing has changed */
    g_assert_cmpuint(ack.limits.list_n, ==, 0);
    uint64_t none = 0;
    ack = report(f, NULL, &none);
    g_assert_cmpuint(ack.limits.list_n, ==, 1);
    g_assert_cmpfloat(ack.limits.list[0].rate, ==, 4);
    g_assert_cmpuint(ack.limits.list[0].age_ms, ==, 100);
}

/** When a back end no longer declares its limit, boxes that apply it are informed; later the entry is dropped. */
static void test_lifted(fixture_t *f, gconstpointer data)
{
    (void)data;
    uint64_t hash = 0;
    limit_news_t set = make_news("a", true, 4, 0);
    (void)report(f, &set, &hash);
    g_assert_cmpuint(count_allowed(f, "a"), <, 10);
    f->now += 100;
    limit_news_t lifted = make_news("a", false, 0, 0);
    const msg_report_ack_t ack = report(f, &lifted, &hash);
    g_assert_cmpuint(ack.limits.list_n, ==, 1);
    g_assert_false(ack.limits.list[0].is_set);
    g_assert_true(try_acquire(f, "a"));
    g_assert_cmpuint(count_allowed(f, "a"), >=, 1000);
    f->now += 20000;
    limits_tick(f->limits, f->sched, 3, f->now);
    (void)report(f, NULL, &hash);
    g_assert_cmpuint(hash, ==, 0);
}

static void test_new_leader_knows_nothing(fixture_t *f, gconstpointer data)
{
    (void)data;
    uint64_t hash = 0;
    limit_news_t set = make_news("a", true, 4, 0);
    (void)report(f, &set, &hash);
    limits_reset(f->limits, f->now);
    const msg_report_ack_t ack = report(f, NULL, &hash);
    g_assert_cmpuint(hash, ==, 0); /* empty table: boxes report their limits again */
    g_assert_cmpuint(ack.limits.list_n, ==, 0);
    (void)report(f, &set, &hash);
    g_assert_cmpuint(count_allowed(f, "a"), <=, 1);
}

static void test_unlisted(fixture_t *f, gconstpointer data)
{
    (void)data;
    uint64_t hash = 0;
    limit_news_t a = make_news("a", true, 4, 0), b = make_news("b", true, 4, 0);
    (void)report(f, &a, &hash);
    (void)report(f, &b, &hash);
    const backend_t listed[] = {{.id = "b"}};
    limits_set_backends(f->limits, listed, 1, f->now);
    const msg_report_ack_t ack = report(f, NULL, &hash);
    g_assert_cmpuint(ack.limits.list_n, ==, 1);
    g_assert_cmpstr(ack.limits.list[0].backend, ==, "b");
}

/** A back end with limit 0 still gets a request now and then: only its answers can raise the limit again. */
static void test_takes_nothing(fixture_t *f, gconstpointer data)
{
    (void)data;
    uint64_t hash = 0;
    limit_news_t none = make_news("a", true, 0, 0);
    (void)report(f, &none, &hash);
    unsigned taken = 0;
    for (int s = 0; s < 60; s++) {
        f->now += 1000;
        taken += try_acquire(f, "a");
    }
    g_assert_cmpuint(taken, >=, 3);
    g_assert_cmpuint(taken, <=, 8);
}

/** Requests that boxes sent on their own count against the limit. */
static void test_own_sends_count(fixture_t *f, gconstpointer data)
{
    (void)data;
    uint64_t hash = 0;
    limit_news_t set = make_news("a", true, 4, 0);
    (void)report(f, &set, &hash);
    f->now += 4000;
    cap_use_t used = {.total = 6, .fresh = 6, .window = 6};
    codec_copy_string(used.name, sizeof(used.name), "a");
    msg_report_t message = {.limits_used = &used, .limits_used_n = 1, .limits_hash = hash};
    msg_report_ack_t ack = {0};
    limits_handle_report(f->limits, f->sched, &message, &ack, f->now);
    g_assert_cmpuint(count_allowed(f, "a"), ==, 0);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, fn) g_test_add("/limits-leader/" name, fixture_t, NULL, set_up, fn, tear_down)
    ADD("newest-counts", test_newest_counts);
    ADD("lifted", test_lifted);
    ADD("new-leader-knows-nothing", test_new_leader_knows_nothing);
    ADD("unlisted", test_unlisted);
    ADD("takes-nothing", test_takes_nothing);
    ADD("own-sends-count", test_own_sends_count);
    return g_test_run();
}
