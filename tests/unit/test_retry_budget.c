/* Retries at back ends exceeded what all boxes together may send in a window of ten seconds, by four of 94, when back
 * ends ended in waves nine to eleven seconds apart.
 *
 * Each wave caused a burst of retries. The budget counts in slices, of which the newest is incomplete: retries at the
 * end of a slice were forgotten nine tenths of a window later, so that two bursts less than a window apart each got
 * nearly the whole budget. The sliding window below found up to twice the budget; it finds no excess when retries are
 * remembered for a whole window. */

#include <glib.h>

#include "common/box_count.h"
#include "harness/windows.h"

enum { WINDOW = 10000, END = 6 * WINDOW };

static const retry_rules_t rules = {.ratio = 0.2, .allowance = 58, .window = WINDOW};

/** Spends all retries that are allowed at @p now. */
static void spend_all(retry_budget_t *budget, GArray *retries, tc_time_t now)
{
    while (retry_budget_spend(budget, &rules, 1, now))
        g_array_append_val(retries, now);
}

/** One request each 100 ms; all allowed retries are spent at the end of a slice and again nine slices later. */
static void check_two_bursts(void)
{
    retry_budget_t budget;
    GArray *const requests = g_array_new(FALSE, FALSE, sizeof(tc_time_t));
    GArray *const retries = g_array_new(FALSE, FALSE, sizeof(tc_time_t));
    retry_budget_init(&budget, 0);
    for (tc_time_t now = 0; now < END; now++) {
        if (now % 100 == 0) {
            retry_budget_add_request(&budget, &rules, now);
            g_array_append_val(requests, now);
        }
        if (now == 2 * WINDOW + 999 || now == 3 * WINDOW + 10)
            spend_all(&budget, retries, now);
    }
    g_assert_cmpuint(retries->len, >, 0);
    g_assert_cmpfloat(windows_max_excess(requests, retries, &rules), <=, 0);
    g_array_free(requests, TRUE);
    g_array_free(retries, TRUE);
}

/** Requests and bursts at random times. */
static void check_random_bursts(void)
{
    for (guint32 seed = 1; seed <= 200; seed++) {
        GRand *const random = g_rand_new_with_seed(seed);
        retry_budget_t budget;
        GArray *const requests = g_array_new(FALSE, FALSE, sizeof(tc_time_t));
        GArray *const retries = g_array_new(FALSE, FALSE, sizeof(tc_time_t));
        const int pause = g_rand_int_range(random, 20, 400);
        retry_budget_init(&budget, 0);
        for (tc_time_t now = 0; now < END; now++) {
            if (g_rand_int_range(random, 0, pause) == 0) {
                retry_budget_add_request(&budget, &rules, now);
                g_array_append_val(requests, now);
            }
            if (g_rand_int_range(random, 0, 1500) == 0)
                spend_all(&budget, retries, now);
        }
        if (windows_max_excess(requests, retries, &rules) > 0)
            g_test_message("seed %u", seed);
        g_assert_cmpfloat(windows_max_excess(requests, retries, &rules), <=, 0);
        g_array_free(requests, TRUE);
        g_array_free(retries, TRUE);
        g_rand_free(random);
    }
}

static void test_sliding_window(void)
{
    check_two_bursts();
    check_random_bursts();
}

/** Boxes that have all just started, and know neither a leader nor each other, together spend no more than the
 * allowance. Each had assumed to be the only box and used the whole allowance. Found by checking other limits on a sum
 * over boxes. */
static void test_new_boxes(void)
{
    enum { BOXES = 20, STEP = 50 };
    GArray *const requests = g_array_new(FALSE, FALSE, sizeof(tc_time_t));
    GArray *const retries = g_array_new(FALSE, FALSE, sizeof(tc_time_t));
    retry_budget_t budgets[BOXES];
    box_count_t counts[BOXES] = {0};
    for (int i = 0; i < BOXES; i++)
        retry_budget_init(&budgets[i], 0);
    for (tc_time_t now = 0; now < 2 * WINDOW; now += STEP) {
        for (int i = 0; i < BOXES; i++) {
            box_count_update(&counts[i], 0, WINDOW, now);
            while (retry_budget_spend(&budgets[i], &rules, box_count_get(&counts[i]), now))
                g_array_append_val(retries, now);
        }
    }
    g_assert_cmpfloat(windows_max_excess(requests, retries, &rules), <=, 0);
    g_array_free(requests, TRUE);
    g_array_free(retries, TRUE);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/retry-budget/sliding-window", test_sliding_window);
    g_test_add_func("/retry-budget/new-boxes", test_new_boxes);
    return g_test_run();
}
