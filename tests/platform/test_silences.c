/* Engines that fall silent for a second or so and go on, under streams that may be resumed elsewhere.
 *
 * Guards against a begun answer that is broken off although its engine was sound: its run was ended on suspicion, and
 * what was to replace it failed, since the prefill engines fell silent too and the retry budget was used up. */

#include "platform/silences_check.h"

enum {
    ROUNDS = 4,
    ROUND_MS = 2400,
    LOAD_MS = 20,
    DECODE_SILENCE_MS = 1300,
    STAGGER_MS = 250, /* shorter than the silence after which a stream moves */
    PREFILL_SILENCE_MS = 1800
};

/** Share of the decode engines that fall silent at once. */
static const double silent_decodes = 0.75;
/** Retry budget that covers the first further arrival of most streams and the second of few. */
static const double scarce = 0.3;

/** Most of the decode engines fall silent, then the prefill engines. */
static void test_staggered(silence_world_t *w, gconstpointer data)
{
    (void)data;
    start_silence_world(w, (guint32)g_test_rand_int(), scarce, 24);
    w->only_streams = true;
    run_load(w, LOAD_MS, ROUND_MS);
    for (int i = 0; i < ROUNDS; i++) {
        silence_share(w, DECODE_0, DECODES, silent_decodes, DECODE_SILENCE_MS);
        run_load(w, LOAD_MS, STAGGER_MS);
        silence_share(w, 0, PREFILLS, 1, PREFILL_SILENCE_MS);
        run_load(w, LOAD_MS, ROUND_MS - STAGGER_MS);
    }
    await_requests(w);
    const silence_tally_t t = check_requests(w);
    g_assert_cmpuint(t.rerun, >, 0); /* engines were silent for long enough to be suspected */
    g_assert_cmpuint(t.broken, ==, 0);
    g_assert_cmpuint(t.stayed, ==, 0);
}

/** Guards against a silent run that is ended since another engine has had the request for a while: that one was silent
 *  as well, had not begun, and refuses the request later. Without prefill engines, as the next run needs none then. */
static void test_silent_replacements(silence_world_t *w, gconstpointer data)
{
    enum { HALF = DECODES / 2, REPLACEMENT_SILENCE_MS = 800, REFUSAL_MS = 700 };
    (void)data;
    start_silence_world(w, (guint32)g_test_rand_int(), scarce, 24);
    w->only_streams = true;
    for (int i = 0; i < PREFILLS; i++)
        w->lab.list[i].draining = true;
    run_load(w, LOAD_MS, ROUND_MS);
    for (int i = 0; i < ROUNDS; i++) {
        silence_share(w, DECODE_0, HALF, 1, DECODE_SILENCE_MS);
        run_load(w, LOAD_MS, STAGGER_MS);
        silence_share(w, DECODE_0 + HALF, HALF, 1, REPLACEMENT_SILENCE_MS);
        w->refused_share = 1;
        run_load(w, LOAD_MS, STAGGER_MS + REFUSAL_MS);
        w->refused_share = 0;
        run_load(w, LOAD_MS, ROUND_MS);
    }
    await_requests(w);
    const silence_tally_t t = check_requests(w);
    g_assert_cmpuint(t.complete, >, 0);
    g_assert_cmpuint(t.broken, ==, 0);
    g_assert_cmpuint(t.stayed, ==, 0);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/silences/staggered", silence_world_t, NULL, NULL, test_staggered, tear_down_silence_world);
    g_test_add("/silences/silent-replacements", silence_world_t, NULL, NULL, test_silent_replacements,
               tear_down_silence_world);
    return g_test_run();
}
