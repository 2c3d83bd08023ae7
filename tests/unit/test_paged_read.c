/* One reader of the platform's list stays within its share of the platform's rate, and completes the list even if
 * others use up the rate.
 *
 * Guards against a list that is never refreshed: a read ignored the rate and could not continue after a refusal. With
 * 9,998 back ends (50 calls a read) and 995 boxes that read as well, the platform refused calls over its rate, and each
 * refused page dropped all pages before it: 587 of 588 failed reads at 116 boxes ended with status 429. A new leader
 * got no list and refused every stream. */

#include <glib.h>
#include <string.h>

#include "forward/paged_read.h"

enum { MS_PER_S = 1000, PAGE = 200 };

/* ===== Simulated platform ===== */

typedef struct {
    unsigned backends;
    double rate;
    GArray *calls; /* tc_time_t of the accepted calls */
    unsigned all, refused;
} platform_t;

/** Whether the platform accepts a call: at most its rate in any second. @param others_s calls per second of others */
static bool accepts(platform_t *p, unsigned others_s, tc_time_t now)
{
    unsigned in_second = 0;
    for (guint i = p->calls->len; i-- > 0 && g_array_index(p->calls, tc_time_t, i) > now - MS_PER_S;)
        in_second++;
    p->all++;
    if (in_second + others_s >= p->rate) {
        p->refused++;
        return false;
    }
    g_array_append_val(p->calls, now);
    return true;
}

static unsigned max_in_second(const platform_t *p)
{
    unsigned most = 0;
    guint from = 0;
    for (guint to = 0; to < p->calls->len; to++) {
        while (g_array_index(p->calls, tc_time_t, to) - g_array_index(p->calls, tc_time_t, from) >= MS_PER_S)
            from++;
        most = MAX(most, to - from + 1);
    }
    return most;
}

static void fill_page(const platform_t *p, unsigned from, GArray *page)
{
    g_array_set_size(page, 0);
    for (unsigned i = from; i < p->backends && i < from + PAGE; i++) {
        backend_t backend = {.slots = 1};
        g_snprintf(backend.id, sizeof(backend.id), "i-%05u", i);
        g_array_append_val(page, backend);
    }
}

/** Answers the requested page. */
static paged_read_outcome_t answer(platform_t *p, paged_read_t *r, unsigned others_s, tc_time_t now)
{
    tc_err_t err = {0};
    if (!accepts(p, others_s, now))
        return paged_read_refused(r, now, &err);
    const unsigned from = (unsigned)g_ascii_strtoull(paged_read_token(r), NULL, 10);
    GArray *const page = g_array_new(FALSE, TRUE, sizeof(backend_t));
    fill_page(p, from, page);
    char next[16];
    g_snprintf(next, sizeof(next), "%u", from + PAGE);
    const paged_read_outcome_t outcome = paged_read_page(r, page, from + PAGE < p->backends ? next : NULL, &err);
    g_array_free(page, TRUE);
    return outcome;
}

/** Runs a reader at its own interval. @param span duration, ms @param others_s calls per second of others, in the first
 *  half of it @return number of complete reads */
static unsigned read_for(platform_t *p, paged_read_t *r, unsigned others_s, tc_time_t from, tc_time_t span)
{
    unsigned complete = 0;
    for (tc_time_t now = from; now < from + span; now++) {
        tc_time_t until;
        if (paged_read_started_at(r) == 0 || now - paged_read_started_at(r) >= paged_read_interval(r))
            paged_read_begin(r, now);
        if (paged_read_next(r, now, &until) != PAGED_READ_REQUEST)
            continue;
        complete += answer(p, r, now < from + span / 2 ? others_s : 0, now) == PAGED_READ_COMPLETE;
    }
    return complete;
}

static platform_t platform_of(unsigned backends, double rate)
{
    return (platform_t){.backends = backends, .rate = rate, .calls = g_array_new(FALSE, FALSE, sizeof(tc_time_t))};
}

/* ===== Rate ===== */

/** One reader stays within half the rate in every second, so that two leaders in succession stay within the rate. Its
 *  list is never older than 2 s and the time of a read, also at twice the size. */
static void test_one_reader(void)
{
    static const unsigned sizes[] = {50, 3000, 9998, 19996};
    enum { RATE = 320, SPAN_S = 30 };
    for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
        platform_t p = platform_of(sizes[i], RATE);
        paged_read_t *const r = paged_read_create(RATE);
        const unsigned complete = read_for(&p, r, 0, 100000, SPAN_S * MS_PER_S);
        g_assert_cmpuint(p.refused, ==, 0);
        g_assert_cmpuint(max_in_second(&p), <=, RATE / 2);
        g_assert_cmpuint(complete, >=, SPAN_S / 2 - 1);
        g_assert_cmpuint(paged_read_list(r)->len, ==, sizes[i]);
        paged_read_destroy(r);
        g_array_free(p.calls, TRUE);
    }
}

/** Ten control boxes without a leader: together within the rate, and each completes the list. */
static void test_many_readers(void)
{
    enum { RATE = 320, READERS = 10 };
    platform_t p = platform_of(9998, RATE);
    paged_read_t *readers[READERS];
    unsigned complete = 0;
    for (int i = 0; i < READERS; i++) {
        readers[i] = paged_read_create(RATE);
        paged_read_set_readers(readers[i], READERS);
        paged_read_begin(readers[i], 100000);
    }
    for (tc_time_t now = 100000; now < 110000; now++) {
        tc_time_t until;
        for (int i = 0; i < READERS; i++)
            if (paged_read_next(readers[i], now, &until) == PAGED_READ_REQUEST)
                complete += answer(&p, readers[i], 0, now) == PAGED_READ_COMPLETE;
    }
    g_assert_cmpuint(complete, ==, READERS);
    g_assert_cmpuint(p.refused, ==, 0);
    g_assert_cmpuint(max_in_second(&p), <=, RATE / 2);
    for (int i = 0; i < READERS; i++)
        paged_read_destroy(readers[i]);
    g_array_free(p.calls, TRUE);
}

/** Others use up most of the rate: the read continues at the refused page, with a bounded number of calls. */
static void test_others_use_the_rate_up(void)
{
    enum { RATE = 320, LEFT = 12, SPAN_MS = 16000 };
    platform_t p = platform_of(9998, RATE);
    paged_read_t *const r = paged_read_create(RATE);
    g_assert_cmpuint(read_for(&p, r, RATE - LEFT, 100000, SPAN_MS), >=, 2);
    g_assert_cmpuint(p.refused * 2, <=, p.all);
    paged_read_destroy(r);
    g_array_free(p.calls, TRUE);
}

/* ===== Bad input ===== */

static void test_refuses_all(void)
{
    paged_read_t *const r = paged_read_create(320);
    unsigned calls = 0, failed = 0;
    for (tc_time_t now = 1000; now < 61000; now++) {
        tc_time_t until;
        tc_err_t err = {0};
        if (paged_read_started_at(r) == 0 || now - paged_read_started_at(r) >= paged_read_interval(r))
            paged_read_begin(r, now);
        if (paged_read_next(r, now, &until) != PAGED_READ_REQUEST)
            continue;
        calls++;
        failed += paged_read_refused(r, now, &err) == PAGED_READ_FAILED;
    }
    g_assert_cmpuint(failed, >, 0);
    g_assert_cmpuint(calls, <=, 60 * 4);
    g_assert_cmpuint(paged_read_list(r)->len, ==, 0);
    paged_read_destroy(r);
}

/** Advances the time until the next page is requested. */
static void request_next(paged_read_t *r, tc_time_t *now)
{
    tc_time_t until;
    while (paged_read_next(r, *now, &until) != PAGED_READ_REQUEST)
        ++*now;
}

static paged_read_outcome_t send_page(paged_read_t *r, const char *const *ids, const char *next, tc_time_t *now)
{
    tc_err_t err = {0};
    GArray *const page = g_array_new(FALSE, TRUE, sizeof(backend_t));
    for (; *ids; ids++) {
        backend_t backend = {0};
        codec_copy_string(backend.id, sizeof(backend.id), *ids);
        g_array_append_val(page, backend);
    }
    request_next(r, now);
    const paged_read_outcome_t outcome = paged_read_page(r, page, next, &err);
    g_assert_true((outcome == PAGED_READ_FAILED) == (err.code < 0));
    g_array_free(page, TRUE);
    return outcome;
}

/** A list whose pages repeat or never end is dropped; the last complete list stays. */
static void test_no_end(void)
{
    paged_read_t *const r = paged_read_create(1e6);
    static const char *const one[] = {"a", NULL}, *const none[] = {NULL};
    tc_time_t now = 1000;
    paged_read_begin(r, now);
    g_assert_cmpint(send_page(r, one, NULL, &now), ==, PAGED_READ_COMPLETE);
    paged_read_begin(r, ++now);
    g_assert_cmpint(send_page(r, one, "p1", &now), ==, PAGED_READ_MORE);
    g_assert_cmpint(send_page(r, one, "p2", &now), ==, PAGED_READ_MORE);
    g_assert_cmpint(send_page(r, one, "p1", &now), ==, PAGED_READ_FAILED);
    paged_read_begin(r, ++now);
    paged_read_outcome_t outcome = PAGED_READ_MORE;
    unsigned calls = 0;
    for (; outcome == PAGED_READ_MORE && calls < 100000; calls++) {
        char next[16];
        g_snprintf(next, sizeof(next), "q%u", calls);
        outcome = send_page(r, none, next, &now);
    }
    g_assert_cmpint(outcome, ==, PAGED_READ_FAILED);
    g_assert_cmpuint(calls, <=, 2000);
    g_assert_cmpuint(paged_read_list(r)->len, ==, 1);
    paged_read_destroy(r);
}

static bool has(const paged_read_t *r, const char *id)
{
    const GArray *const list = paged_read_list(r);
    for (guint i = 0; i < list->len; i++)
        if (strcmp(g_array_index(list, backend_t, i).id, id) == 0)
            return true;
    return false;
}

/** If entries before the next page are removed, the rest moves forward and the read misses some. A back end counts as
 *  removed only when two reads in a row do not have it; a list of one page is always exact. */
static void test_shrinks_between_pages(void)
{
    static const char *const first[] = {"a", "b", NULL}, *const second[] = {"c", "d", NULL};
    static const char *const rest[] = {"d", NULL}, *const all[] = {"b", "c", "d", NULL};
    paged_read_t *const r = paged_read_create(1e6);
    tc_time_t now = 1000;
    paged_read_begin(r, now);
    (void)send_page(r, first, "2", &now);
    g_assert_cmpint(send_page(r, second, NULL, &now), ==, PAGED_READ_COMPLETE);
    paged_read_begin(r, ++now);
    (void)send_page(r, first, "2", &now); /* a is removed then, and c moves to this page */
    g_assert_cmpint(send_page(r, rest, NULL, &now), ==, PAGED_READ_COMPLETE);
    g_assert_true(has(r, "c"));
    g_assert_cmpuint(paged_read_list(r)->len, ==, 4);
    for (int i = 0; i < 2; i++) {
        paged_read_begin(r, ++now);
        (void)send_page(r, second, "2", &now);
        (void)send_page(r, rest, NULL, &now);
    }
    g_assert_false(has(r, "a"));
    g_assert_true(has(r, "c"));
    paged_read_begin(r, ++now);
    g_assert_cmpint(send_page(r, all, NULL, &now), ==, PAGED_READ_COMPLETE);
    paged_read_begin(r, ++now);
    g_assert_cmpint(send_page(r, rest, NULL, &now), ==, PAGED_READ_COMPLETE);
    g_assert_false(has(r, "c"));
    paged_read_destroy(r);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/paged-read/one-reader", test_one_reader);
    g_test_add_func("/paged-read/many-readers", test_many_readers);
    g_test_add_func("/paged-read/others-use-the-rate-up", test_others_use_the_rate_up);
    g_test_add_func("/paged-read/refuses-all", test_refuses_all);
    g_test_add_func("/paged-read/no-end", test_no_end);
    g_test_add_func("/paged-read/shrinks-between-pages", test_shrinks_between_pages);
    return g_test_run();
}
