/* Guards against work that piles up at new engines while others are idle. It happens when engines are replaced
 * during a burst by ones that prefill more slowly than configured: they are never idle, so their rate has to be
 * measured under load.
 *
 * Load: prompts of random length, 3,200 tokens on average, read at two thirds of the configured rate. Two calm
 * seconds at a third of the engines' capacity, then a burst at a third above it; half of the engines are replaced in
 * the first second of the burst. */

#include "unit/prefill_lab.h"

enum {
    PREFILLS = 8,
    NEW = 4,      /* of these, engines that come later and replace others */
    DECODES = 12, /* with room for all requests */
    ENGINES = PREFILLS + NEW + DECODES,
    SETTINGS_RATE = 50000, /* tokens/s */
    BURST_MS = 2000,
    CHANGE_MS = 3000,
    SPAN_MS = 8000,
    MEAN = 3200, /* tokens of a prompt */
    MOST = 5400,
    /* Prefill of the longest prompt behind two others as long: about half of a usual latency target, which must
     * leave time for the rest. */
    MOST_MS = 3 * MOST * 1000 / PREFILL_LAB_TOKENS_PER_S,
};

/** @param changed whether the new engines have come and the ones they replace have gone */
static void configure(prefill_lab_t *w, engine_cfg_t *all, bool changed)
{
    engine_cfg_t list[ENGINES];
    uint32_t n = 0;
    for (int i = 0; i < ENGINES; i++) {
        const bool is_new = i >= PREFILLS && i < PREFILLS + NEW;
        const bool is_old = i < NEW;
        if ((is_new && !changed) || (is_old && changed))
            continue;
        list[n++] = all[i];
    }
    prefill_lab_configure(w, list, n);
}

static void test_engines_come_in_a_burst(void)
{
    prefill_lab_t *const w = prefill_lab_create(7);
    const engine_cfg_t like = {.pieces = 10000, .max_batch = 1000, .prefill_rate = SETTINGS_RATE};
    engine_cfg_t engines[ENGINES];
    sched_fixture_fill_engines(engines, ENGINES, PREFILLS + NEW, &like);
    configure(w, engines, false);
    const tc_time_t start = w->now;
    const double most_a_ms = PREFILLS * PREFILL_LAB_TOKENS_PER_S / 1000.0 / MEAN;
    while (w->now < start + SPAN_MS) {
        if (w->now == start + CHANGE_MS)
            configure(w, engines, true);
        if (prefill_lab_step(w, most_a_ms * (w->now < start + BURST_MS ? 0.33 : 1.33)))
            prefill_lab_add_prompt(w, (unsigned)g_rand_int_range(w->random, 2 * MEAN - MOST, MOST), 0);
        prefill_lab_end_step(w);
    }
    g_test_message("%u prompts, %u read, one took %lld ms at most", w->n, w->finished, (long long)w->longest);
    g_assert_cmpuint(w->finished, >, w->n / 2);
    g_assert_cmpint(w->longest, <, MOST_MS);
    prefill_lab_free(w);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched-prefill-rate/engines-come-in-a-burst", test_engines_come_in_a_burst);
    return g_test_run();
}
