/* The scheduler while a box reaches no engine.
 *
 * Guards against engines that get nothing from any box since one box lost its own path: each call that it failed to
 * send took an engine from all boxes for 1 to 8 s, and it failed to send 112 in 7 s. */

#include "unit/sched_fixture.h"

enum { PREFILLS = 3, ENGINES = 6, NOW = 1000000, PIECES = 200 };

static sched_t *create(void)
{
    static const engine_cfg_t like = {.pieces = PIECES, .max_batch = 64, .prefill_rate = 20000};
    const sched_options_t options = {.cell = "c", .epoch = 1};
    engine_cfg_t engines[ENGINES];
    sched_fixture_fill_engines(engines, ENGINES, PREFILLS, &like);
    sched_t *const sched = sched_fixture_create(&options, engines, ENGINES, NULL, 0, NOW);
    sched_on_engine_list(sched, NOW);
    return sched;
}

static void report(sched_t *sched, const char *box, const char *id, uint32_t attempt, phase_t phase, const char *bad,
                   tc_time_t now)
{
    msg_progress_t progress = {.phase = phase, .attempt = attempt};
    codec_copy_string(progress.box, sizeof(progress.box), box);
    codec_copy_string(progress.id, sizeof(progress.id), id);
    codec_copy_string(progress.bad, sizeof(progress.bad), bad);
    sched_progress(sched, &progress, now);
}

/** Places a request of a box. @return its attempt; 0: no prefill engine was granted */
static uint32_t place(sched_t *sched, const char *box, const char *id, tc_time_t now)
{
    msg_place_t request = {.prompt_tokens = 1000, .max_tokens = 100, .wait_ms = 900, .patience_ms = 3000};
    uint32_t attempt = 0;
    codec_copy_string(request.id, sizeof(request.id), id);
    codec_copy_string(request.box, sizeof(request.box), box);
    codec_copy_string(request.model, sizeof(request.model), "m");
    sched_place(sched, &request, (sched_token_t){.a = 1}, now);
    sched_action_t action;
    while (sched_next_action(sched, &action))
        if (action.kind == SCHED_ACT_ANSWER && action.u.answer.placed.granted && action.u.answer.placed.prefill[0])
            attempt = action.u.answer.placed.attempt;
    return attempt;
}

/** Whether a request of another box gets engines at once. */
static bool is_served(sched_t *sched, const char *id, tc_time_t now)
{
    const uint32_t attempt = place(sched, "sound", id, now);
    if (attempt == 0)
        return false;
    report(sched, "sound", id, attempt, PHASE_TRANSFER, "", now + 1);
    report(sched, "sound", id, attempt, PHASE_FINISHED, "", now + 2);
    return true;
}

/** A box fails to reach one prefill engine after the other, while another box is answered. */
static void test_box_cut_off(void)
{
    sched_t *const sched = create();
    tc_time_t now = NOW + 1;
    g_assert_true(is_served(sched, "first", now));
    for (int i = 0; i < 40; i++) {
        char bad[8], id[8];
        g_snprintf(bad, sizeof(bad), "e%d", i % PREFILLS);
        g_snprintf(id, sizeof(id), "r%d", i);
        report(sched, "cut", id, 0, PHASE_PREFILL, bad, now += 10);
        g_assert_true(is_served(sched, id, now += 10));
    }
    sched_destroy(sched);
}

/** Control: engines that all boxes fail to reach get nothing. */
static void test_engines_down(void)
{
    static const char *const boxes[] = {"a", "b", "sound"};
    sched_t *const sched = create();
    for (int box = 0; box < 3; box++)
        for (int i = 0; i < PREFILLS; i++) {
            char bad[8];
            g_snprintf(bad, sizeof(bad), "e%d", i);
            report(sched, boxes[box], "x", 0, PHASE_PREFILL, bad, NOW + 1 + box);
        }
    g_assert_false(is_served(sched, "first", NOW + 10));
    sched_destroy(sched);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched-losses/box-cut-off", test_box_cut_off);
    g_test_add_func("/sched-losses/engines-down", test_engines_down);
    return g_test_run();
}
