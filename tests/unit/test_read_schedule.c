/* Boxes that nobody tells the list of back ends: few of them read it at once, many take turns, and of a list of many
 * pages fewer.
 *
 * Seen: 995 boxes before 9,998 back ends made 24,344 calls on a calm day, 429 was the answer to most, and no reading of
 * 50 pages came to its end, the leader's among them. Cause: turns counted readings and not calls, took 30 for the
 * number of boxes where a box knew none, and the platform's rate was read and used nowhere. Proved by the counts below,
 * which grew by boxes times pages. */

#include <glib.h>

#include "forward/read_schedule.h"

enum { STEP_MS = 100, BOXES_MOST = 2000 };

/** Of a list of one page, which the platform gives as often as it is asked. */
static read_schedule_load_t light(uint32_t boxes)
{
    return (read_schedule_load_t){.boxes = boxes, .calls = 1, .rate = 1500};
}

/** Readings of all boxes together while nobody tells any of them the list, and what is read is not passed on. */
static unsigned count_reads(uint32_t boxes, const read_schedule_load_t *load, tc_time_t span)
{
    static read_schedule_t turns[BOXES_MOST];
    GRand *const random = g_rand_new_with_seed(boxes);
    unsigned reads = 0;
    for (uint32_t i = 0; i < boxes; i++)
        turns[i] = (read_schedule_t){0};
    for (tc_time_t now = 10000; now < 10000 + span; now += STEP_MS)
        for (uint32_t i = 0; i < boxes; i++)
            reads += read_schedule_is_due(&turns[i], READ_SCHEDULE_STALE_MS + now, load, g_rand_int(random), now);
    g_rand_free(random);
    return reads;
}

static void test_many(void)
{
    static const uint32_t sizes[] = {60, 300, 1000};
    for (guint i = 0; i < G_N_ELEMENTS(sizes); i++) {
        const read_schedule_load_t load = light(sizes[i]);
        g_assert_cmpuint(count_reads(sizes[i], &load, 30000), <=, 30 * 7); /* 5 a second, and the luck of the draw */
    }
}

/** Calls of all boxes together do not grow with their number or with the pages of the list: by half of what the
 * platform takes they leave the reader of the control boxes its part. */
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
    read_schedule_t turn = {0};
    const read_schedule_load_t load = light(7);
    g_assert_false(read_schedule_is_due(&turn, READ_SCHEDULE_STALE_MS - 1, &load, 1, 1000));
    g_assert_true(read_schedule_is_due(&turn, READ_SCHEDULE_STALE_MS, &load, 1, 1001)); /* at once */
    g_assert_false(read_schedule_is_due(&turn, READ_SCHEDULE_STALE_MS, &load, 1, 2400));
    g_assert_true(read_schedule_is_due(&turn, READ_SCHEDULE_STALE_MS, &load, 1, 4100));
}

/** Control that was lost again and again for a moment makes no box read that would not have. */
static void test_turns_are_drawn_anew(void)
{
    unsigned reads = 0;
    GRand *const random = g_rand_new_with_seed(1);
    read_schedule_t turns[300] = {{0}};
    const read_schedule_load_t load = light(300);
    for (tc_time_t now = 0; now < 60000; now += STEP_MS)
        for (int i = 0; i < 300; i++)
            reads += read_schedule_is_due(&turns[i], now % 5000 < 2500 ? 0 : READ_SCHEDULE_STALE_MS, &load,
                                          g_rand_int(random), now);
    g_rand_free(random);
    g_assert_cmpuint(reads, <=, 30 * 7); /* of 60 s the list is stale for 30 */
}

/** Boxes that have just started and know no other one. */
static void test_start(void)
{
    const read_schedule_load_t load = light(0);
    g_assert_cmpuint(count_reads(300, &load, 1000), <=, 100);
    g_assert_cmpuint(count_reads(995, &load, 30000), <=, 30 * 7);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/read-turn/many-boxes", test_many);
    g_test_add_func("/read-turn/many-pages", test_many_pages);
    g_test_add_func("/read-turn/few-boxes", test_few);
    g_test_add_func("/read-turn/drawn-anew", test_turns_are_drawn_anew);
    g_test_add_func("/read-turn/start", test_start);
    return g_test_run();
}
