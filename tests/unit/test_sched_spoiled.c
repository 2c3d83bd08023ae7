/* The scheduler and engines that spoil their answers.
 *
 * Guards against engines that the leader grants on and on: decode engines' spoiled answers were not told to it, and a
 * prefill that another engine had read in place of the spoiling one counted as an answer of that one. */

#include "backend/spoil_record.h"
#include "unit/sched_fixture.h"

enum { PREFILLS = 2, ENGINES = 4, NOW = 1000000, ROUNDS = 20 };

/** Between fingerprints, by which a scan of the engines begins at another one each time. */
static const uint64_t FINGERPRINT_STEP = 0x9e3779b97f4a7c15;

typedef struct {
    sched_t *sched;
    tc_time_t now;
    unsigned next;
} lab_t;

static lab_t create(void)
{
    static const engine_cfg_t like = {.pieces = 200, .max_batch = 64, .prefill_rate = 20000};
    const sched_options_t options = {.cell = "c", .epoch = 1};
    engine_cfg_t engines[ENGINES];
    sched_fixture_fill_engines(engines, ENGINES, PREFILLS, &like);
    lab_t lab = {.now = NOW};
    lab.sched = sched_fixture_create(&options, engines, ENGINES, NULL, 0, NOW);
    sched_on_engine_list(lab.sched, NOW);
    return lab;
}

static void report(lab_t *lab, const char *box, const char *id, const msg_placed_t *placed, phase_t phase,
                   const char *spoiled_by)
{
    msg_progress_t progress = {.phase = phase, .attempt = placed->attempt, .spoiled = spoiled_by[0] != '\0'};
    codec_copy_string(progress.box, sizeof(progress.box), box);
    codec_copy_string(progress.id, sizeof(progress.id), id);
    codec_copy_string(progress.bad, sizeof(progress.bad), spoiled_by);
    sched_progress(lab->sched, &progress, lab->now);
}

/** @param fingerprint 0: the request is like no other */
static msg_placed_t place(lab_t *lab, const char *box, const char *id, uint64_t fingerprint)
{
    msg_place_t request = {.prompt_tokens = 1000, .max_tokens = 100, .wait_ms = 900, .patience_ms = 3000};
    msg_placed_t placed = {0};
    request.fingerprint = fingerprint;
    codec_copy_string(request.id, sizeof(request.id), id);
    codec_copy_string(request.box, sizeof(request.box), box);
    codec_copy_string(request.model, sizeof(request.model), "m");
    sched_place(lab->sched, &request, (sched_token_t){.a = 1}, lab->now);
    sched_action_t action;
    while (sched_next_action(lab->sched, &action))
        if (action.kind == SCHED_ACT_ANSWER)
            placed = action.u.answer.placed;
    return placed;
}

/** Runs a request through its engines; those named by @p bad spoil its answer, and the request is not run again.
 *  @return the number of engines that did */
static unsigned run(lab_t *lab, const char *box, uint64_t fingerprint, const char *bad, const char *bad_too)
{
    char id[16];
    g_snprintf(id, sizeof(id), "r%u", lab->next++);
    const msg_placed_t placed = place(lab, box, id, fingerprint);
    g_assert_true(placed.granted);
    const char *const engines[] = {placed.prefill, placed.decode};
    unsigned spoiled = 0;
    for (int i = 0; i < 2 && spoiled == 0; i++) {
        lab->now += 2;
        const bool is_bad = strcmp(engines[i], bad) == 0 || strcmp(engines[i], bad_too) == 0;
        spoiled += is_bad;
        report(lab, box, id, &placed, is_bad ? PHASE_PREFILL : (i == 0 ? PHASE_TRANSFER : PHASE_DECODE),
               is_bad ? engines[i] : "");
    }
    report(lab, box, id, &placed, spoiled ? PHASE_FAILED : PHASE_FINISHED, "");
    return spoiled;
}

static unsigned run_many(lab_t *lab, const char *bad, const char *bad_too)
{
    unsigned spoiled = 0;
    for (unsigned i = 0; i < ROUNDS; i++)
        spoiled += run(lab, i % 2 ? "a" : "b", (i + 1) * FINGERPRINT_STEP, bad, bad_too);
    return spoiled;
}

/** Rounds take 5 ms each at most, so no trial is due within them. */
static void test_left(gconstpointer engine)
{
    lab_t lab = create();
    g_assert_cmpuint(run_many(&lab, engine, ""), ==, SPOIL_REQUESTS);
    lab.now += SPOIL_BACKOFF_MS;
    g_assert_cmpuint(run_many(&lab, engine, ""), ==, 1); /* the trial */
    lab.now += 2 * SPOIL_BACKOFF_MS;
    g_assert_cmpuint(run_many(&lab, "", ""), ==, 0); /* it answers well again */
    g_assert_cmpuint(run_many(&lab, engine, ""), >, 0);
    sched_destroy(lab.sched);
}

/** Both engines of a stage spoil their answers: requests still get one. */
static void test_no_other(void)
{
    lab_t lab = create();
    g_assert_cmpuint(run_many(&lab, "e0", "e1"), ==, ROUNDS);
    sched_destroy(lab.sched);
}

/** One request that makes each engine answer badly takes none away. */
static void test_one_request(void)
{
    lab_t lab = create();
    for (unsigned i = 0; i < ROUNDS; i++)
        (void)run(&lab, "a", 1, "e0", "e1");
    sched_stats_t stats = sched_stats(lab.sched);
    g_assert_cmpuint(stats.left, ==, 0);
    sched_destroy(lab.sched);
}

/** A box whose path spoils all that passes it, while the engines answer another box. */
static void test_box_in_doubt(void)
{
    lab_t lab = create();
    for (unsigned i = 0; i < ROUNDS; i++) {
        const msg_placed_t none = {0};
        char id[16];
        g_snprintf(id, sizeof(id), "c%u", i);
        report(&lab, "cut", id, &none, PHASE_PREFILL, i % 2 ? "e0" : "e1");
        g_assert_cmpuint(run(&lab, "sound", 0, "", ""), ==, 0);
    }
    sched_stats_t stats = sched_stats(lab.sched);
    g_assert_cmpuint(stats.left, ==, 0);
    sched_destroy(lab.sched);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_data_func("/sched-spoiled/prefill", "e0", test_left);
    g_test_add_data_func("/sched-spoiled/decode", "e2", test_left);
    g_test_add_func("/sched-spoiled/no-other", test_no_other);
    g_test_add_func("/sched-spoiled/one-request", test_one_request);
    g_test_add_func("/sched-spoiled/box-in-doubt", test_box_in_doubt);
    return g_test_run();
}
