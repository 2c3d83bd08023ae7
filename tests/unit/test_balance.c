/* Target size of the prefill pool. */

#include <glib.h>

#include "roles/balance.h"

static uint32_t wanted(uint32_t prefills, uint32_t decodes, double prefill_load, double decode_load)
{
    const role_pools_t b = {.prefills = prefills,
                            .decodes = decodes,
                            .load = {.prefill = prefill_load, .prefill_slow = prefill_load, .decode = decode_load}};
    return balance_target_prefills(&b);
}

/** A burst: prompts arrive at once, and the memory they take follows seconds later. The slow average is compared
 *  with memory; the fast one tells what the prefill pool must be able to read. */
static void test_burst(void)
{
    role_pools_t b = {.prefills = 76, .decodes = 180, .load = {.prefill = 40, .prefill_slow = 28, .decode = 80}};
    g_assert_cmpuint(balance_target_prefills(&b), ==, 75); /* 0.53 in use now, but 0.37 of each pool before the burst */
    b.load.prefill_slow = 40;
    g_assert_cmpuint(balance_target_prefills(&b), ==, 76);
    b.load = (pool_load_t){.prefill = 50, .prefill_slow = 28, .decode = 80};
    g_assert_cmpuint(balance_target_prefills(&b), ==, 76); /* the burst needs them */
}

static void test_idle_engines_become_decode(void)
{
    g_assert_cmpuint(wanted(6, 12, 2.0, 7.0), ==, 5); /* 2.0 of 5 is little */
    g_assert_cmpuint(wanted(49, 91, 13.0, 48.0), ==, 48);
    g_assert_cmpuint(wanted(4, 14, 2.0, 7.0), ==, 4); /* 2.0 of 3 leaves no reserve for a burst */
}

/** Memory is short in a burst or after losses: prompts that are read sooner would find none. */
static void test_short_of_memory(void)
{
    g_assert_cmpuint(wanted(6, 10, 3.5, 9.5), ==, 5);
    g_assert_cmpuint(wanted(6, 10, 4.5, 9.5), ==, 6);
    g_assert_cmpuint(wanted(3, 6, 2.2, 6.0), ==, 3);
}

static void test_memory_is_not_needed(void)
{
    g_assert_cmpuint(wanted(6, 12, 2.0, 1.0), ==, 6); /* the decode pool is less busy */
    g_assert_cmpuint(wanted(6, 12, 0.1, 0.2), ==, 6); /* hardly any load: it says nothing */
}

static void test_pools_keep_what_a_loss_needs(void)
{
    g_assert_cmpuint(wanted(2, 12, 0.3, 7.0), ==, 2);
    g_assert_cmpuint(wanted(2, 2, 1.95, 0.1), ==, 2);
    g_assert_cmpuint(wanted(1, 1, 0.1, 0.9), ==, 1);
    g_assert_cmpuint(wanted(0, 3, 0.0, 1.0), ==, 0);
}

static void test_short_of_prefill(void)
{
    g_assert_cmpuint(wanted(2, 12, 1.95, 3.0), ==, 3);
    g_assert_cmpuint(wanted(2, 12, 1.95, 9.0), ==, 2); /* the decode pool has none to spare */
    g_assert_cmpuint(wanted(2, 12, 1.5, 3.0), ==, 2);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/balance/idle-engines-become-decode", test_idle_engines_become_decode);
    g_test_add_func("/balance/burst", test_burst);
    g_test_add_func("/balance/short-of-memory", test_short_of_memory);
    g_test_add_func("/balance/memory-is-not-needed", test_memory_is_not_needed);
    g_test_add_func("/balance/pools-keep-what-a-loss-needs", test_pools_keep_what_a_loss_needs);
    g_test_add_func("/balance/short-of-prefill", test_short_of_prefill);
    return g_test_run();
}
