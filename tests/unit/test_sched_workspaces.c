/* One workspace sends as many requests as all others together, within its usage cap, to engines that can serve half
 * of the total. It must not reduce the share of the others, and must get its own.
 *
 * Load: eight engines that read 83 prompts of 3,200 tokens/s; ten workspaces send 166 requests/s at random for ten
 * seconds, one of them half of these. */

#include "unit/prefill_lab.h"

enum {
    WORKSPACES = 10, /* the first sends as much as the others together */
    PREFILLS = 8,
    DECODES = 12, /* with room for all requests */
    ENGINES = PREFILLS + DECODES,
    TOKENS = 3200,
    SPAN_MS = 10000
};

/** The served fraction of each workspace is at least half of the overall one. */
static void test_one_asks_much(void)
{
    prefill_lab_t *const w = prefill_lab_create(11);
    const engine_cfg_t like = {.pieces = 10000, .max_batch = 1000, .prefill_rate = PREFILL_LAB_TOKENS_PER_S};
    engine_cfg_t engines[ENGINES];
    sched_fixture_fill_engines(engines, ENGINES, PREFILLS, &like);
    prefill_lab_configure(w, engines, ENGINES);
    const tc_time_t end = w->now + SPAN_MS;
    while (w->now < end) {
        if (prefill_lab_step(w, 2.0 * PREFILLS * PREFILL_LAB_TOKENS_PER_S / 1000.0 / TOKENS))
            prefill_lab_add_prompt(
                w, TOKENS, g_rand_boolean(w->random) ? 0 : (unsigned)g_rand_int_range(w->random, 1, WORKSPACES));
        prefill_lab_end_step(w);
    }
    unsigned asked[WORKSPACES] = {0}, served[WORKSPACES] = {0}, all = w->n, all_served = 0;
    for (unsigned i = 0; i < w->n; i++) {
        asked[w->prompts[i].workspace]++;
        served[w->prompts[i].workspace] += w->prompts[i].placed;
        all_served += w->prompts[i].placed;
    }
    for (int i = 0; i < WORKSPACES; i++)
        g_test_message("workspace %d: %u asked, %u served", i, asked[i], served[i]);
    for (int i = 1; i < WORKSPACES; i++)
        g_assert_cmpuint(2 * served[i] * all, >=, all_served * asked[i]);
    g_assert_cmpuint(4 * served[0] * all, >=, all_served * asked[0]); /* the users' gate holds for it as well */
    prefill_lab_free(w);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched-workspaces/one-asks-much", test_one_asks_much);
    return g_test_run();
}
