/* Boxes without a list from a leader: a few read it at once, many are spread over time, and fewer read a list of many
 * pages.
 *
 * Guards against boxes that exceed the platform's rate together: the schedule counted reads and not calls, assumed 30
 * boxes where their number was unknown, and ignored the platform's rate. 995 boxes with 9,998 back ends made 24,344
 * calls, most were answered with 429, and no read of 50 pages was completed, the leader's included. The counts below
 * grew with boxes times pages. */

#include <glib.h>

#include "forward/read_schedule.h"

enum { STEP_MS = 100, MAX_BOXES = 2000 };

/** A list of one page, at a rate that is no bound. */
static read_schedule_load_t one_page(uint32_t boxes)
{
    return (read_schedule_load_t){.boxes = boxes, .calls = 1, .rate = 1500};
}

/** Number of reads by all boxes if none gets the list from another box. @param span duration, ms */
static unsigned count_reads(uint32_t boxes, const read_schedule_load_t *load, tc_time_t span)
{
    static read_schedule_t schedules[MAX_BOXES];
    GRand *const random = g_rand_new_with_seed(boxes);
    unsigned reads = 0;
    for (uint32_t i = 0; i < boxes; i++)
        schedules[i] = (read_schedule_t){0};
    for (tc_time_t now = 10000; now < 10000 + span; now += STEP_MS)
        for (uint32_t i = 0; i < boxes; i++)
            reads += read_schedule_is_due(&schedules[i], READ_SCHEDULE_STALE_MS + now, load, g_rand_int(random), now);
    g_rand_free(random);
    return reads;
}

static void test_many(void)
{
    static const uint32_t sizes[] = {60, 300, 1000};
    for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
        const read_schedule_load_t load = one_page(sizes[i]);
        g_assert_cmpuint(count_reads(sizes[i], &load, 30000), <=, 30 * 7); /* 5 per second, and random variation */
    }
}

/** Calls of all boxes together do not grow with the number of boxes or pages: at half of the platform's rate at most,
 * they leave the readers of the control boxes their share. */
static void test_many_pages(void)
{
    enum { RATE = 320, SPAN_S = 60 };
    static const struct {
        uint32_t boxes;
        unsigned calls;
    } sizes[] = {{300, 15}, {995, 50}, {2000, 100}};
    for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
        const read_schedule_load_t load = {.boxes = sizes[i].boxes, .calls = sizes[i].calls, .rate = RATE};
        const unsigned reads = count_reads(sizes[i].boxes, &load, 1000 * SPAN_S);
        g_assert_cmpuint(reads, >, 0);
        g_assert_cmpuint(reads * sizes[i].calls, <=, RATE * SPAN_S / 2);
    }
}

static void test_few(void)
{
    read_schedule_t schedule = {0};
    const read_schedule_load_t load = one_page(7);
    g_assert_false(read_schedule_is_due(&schedule, READ_SCHEDULE_STALE_MS - 1, &load, 1, 1000));
    g_assert_true(read_schedule_is_due(&schedule, READ_SCHEDULE_STALE_MS, &load, 1, 1001)); /* at once */
    g_assert_false(read_schedule_is_due(&schedule, READ_SCHEDULE_STALE_MS, &load, 1, 2400));
    g_assert_true(read_schedule_is_due(&schedule, READ_SCHEDULE_STALE_MS, &load, 1, 4100));
}

/** Short losses of control in a row do not make more boxes read: each loss draws new delays. */
static void test_delays_are_redrawn(void)
{
    unsigned reads = 0;
    GRand *const random = g_rand_new_with_seed(1);
    read_schedule_t schedules[300] = {{0}};
    const read_schedule_load_t load = one_page(300);
    for (tc_time_t now = 0; now < 60000; now += STEP_MS)
        for (int i = 0; i < 300; i++)
            reads += read_schedule_is_due(&schedules[i], now % 5000 < 2500 ? 0 : READ_SCHEDULE_STALE_MS, &load,
                                          g_rand_int(random), now);
    g_rand_free(random);
    g_assert_cmpuint(reads, <=, 30 * 7); /* the list is stale for 30 of 60 s */
}

/** Boxes that have just started and know of no other box. */
static void test_start(void)
{
    const read_schedule_load_t load = one_page(0);
    g_assert_cmpuint(count_reads(300, &load, 1000), <=, 100);
    g_assert_cmpuint(count_reads(995, &load, 30000), <=, 30 * 7);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/read-schedule/many-boxes", test_many);
    g_test_add_func("/read-schedule/many-pages", test_many_pages);
    g_test_add_func("/read-schedule/few-boxes", test_few);
    g_test_add_func("/read-schedule/drawn-anew", test_delays_are_redrawn);
    g_test_add_func("/read-schedule/start", test_start);
    return g_test_run();
}
