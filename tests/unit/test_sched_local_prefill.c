/* Local prefill: decode engines read prompts themselves where prefill engines are scarce. Also engines closed to a
 * box, abandoned requests, and engines that fail in a row. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "unit/sched_fixture.h"

enum { ENGINES = 4, LOCAL_PREFILL_AFTER_MS = 100 };

typedef struct {
    sched_t *sched;
    config_t config;
    engine_cfg_t engines[ENGINES];
    msg_placed_t placed[8]; /* indexed by token */
    bool answered[8];
} fixture_t;

/** @param prefills number of prefill engines among ENGINES */
static void set_up(fixture_t *f, int prefills)
{
    memset(f, 0, sizeof(*f));
    const sched_options_t options = {
        .cell = "c", .epoch = 1, .piece_tokens = 256, .local_prefill_after_ms = LOCAL_PREFILL_AFTER_MS};
    f->sched = sched_create(&options, 0);
    const engine_cfg_t like = {.pieces = 1000, .max_batch = 8, .prefill_rate = 10000};
    sched_fixture_fill_engines(f->engines, ENGINES, prefills, &like);
    f->config = (config_t){.targets = {.max_queue = 16}, .engines = f->engines, .engines_n = ENGINES};
    sched_configure(f->sched, &f->config, 0);
    for (int i = 0; i < ENGINES; i++)
        sched_on_engine_state(f->sched, f->engines[i].name, 1, false, NULL, 0, 0, 0);
}

static void take_answers(fixture_t *f)
{
    sched_action_t action;
    while (sched_next_action(f->sched, &action)) {
        g_assert_cmpint(action.kind, ==, SCHED_ACT_ANSWER);
        f->placed[action.u.answer.token.a] = action.u.answer.placed;
        f->answered[action.u.answer.token.a] = true;
    }
    sched_check(f->sched);
}

static void place(fixture_t *f, uint64_t token, tc_time_t now)
{
    msg_place_t p = {.prompt_tokens = 5000, .max_tokens = 100, .wait_ms = 20000};
    g_snprintf(p.id, sizeof(p.id), "r%d", (int)token);
    codec_copy_string(p.box, sizeof(p.box), "box");
    codec_copy_string(p.model, sizeof(p.model), "m");
    sched_place(f->sched, &p, (sched_token_t){.a = token}, now);
    take_answers(f);
}

static void tick(fixture_t *f, tc_time_t now)
{
    sched_tick(f->sched, now);
    take_answers(f);
}

static void test_short_of_prefill(void)
{
    fixture_t f;
    set_up(&f, 1);
    place(&f, 0, 0);
    g_assert_true(f.answered[0]);
    g_assert_cmpstr(f.placed[0].prefill, ==, "e0");
    for (uint64_t i = 1; i <= 5; i++)
        place(&f, i, 1); /* the prefill engine has a backlog of half a second */
    g_assert_false(f.answered[1]);
    tick(&f, LOCAL_PREFILL_AFTER_MS + 1);
    unsigned local_prefills = 0;
    for (int i = 1; i <= 5; i++) {
        if (!f.answered[i])
            continue;
        local_prefills++;
        g_assert_true(f.placed[i].granted);
        g_assert_cmpstr(f.placed[i].prefill, ==, "");
        g_assert_cmpstr(f.placed[i].decode, !=, "");
    }
    g_assert_cmpuint(local_prefills, ==, 3); /* one per decode engine */
    msg_progress_t first = {.attempt = f.placed[1].attempt, .phase = PHASE_DECODE};
    codec_copy_string(first.id, sizeof(first.id), "r1");
    sched_progress(f.sched, &first, LOCAL_PREFILL_AFTER_MS + 2); /* its prompt has been read */
    take_answers(&f);
    g_assert_true(f.answered[4] || f.answered[5]);
    sched_destroy(f.sched);
}

static void test_pools_in_proportion(void)
{
    fixture_t f;
    set_up(&f, 2);
    for (uint64_t i = 0; i <= 4; i++)
        place(&f, i, 0);
    tick(&f, LOCAL_PREFILL_AFTER_MS + 1);
    for (int i = 0; i <= 4; i++)
        g_assert_true(!f.answered[i] || strcmp(f.placed[i].prefill, "") != 0);
    sched_destroy(f.sched);
}

/** Decode engines that accept no calls of the box read no prompts for it until their notices expire. */
static void test_closed_to_the_box(void)
{
    fixture_t f;
    set_up(&f, 0);
    backend_notice_t closed[ENGINES];
    memset(closed, 0, sizeof(closed));
    for (int i = 0; i < ENGINES; i++) {
        codec_copy_string(closed[i].backend, sizeof(closed[i].backend), f.engines[i].name);
        closed[i].closed_ms = i == 2 ? LOCAL_PREFILL_AFTER_MS : 10 * LOCAL_PREFILL_AFTER_MS;
    }
    sched_set_notices(f.sched, "box", closed, ENGINES, 0);
    place(&f, 0, 0);
    tick(&f, LOCAL_PREFILL_AFTER_MS - 1);
    g_assert_false(f.answered[0]);
    tick(&f, LOCAL_PREFILL_AFTER_MS + 1);
    g_assert_true(f.answered[0] && f.placed[0].granted);
    g_assert_cmpstr(f.placed[0].decode, ==, "e2");
    g_assert_false(sched_engine_accepts(f.sched, "box", "e1", LOCAL_PREFILL_AFTER_MS + 1));
    g_assert_true(sched_engine_accepts(f.sched, "another box", "e1", LOCAL_PREFILL_AFTER_MS + 1));
    sched_set_notices(f.sched, "box", NULL, 0, LOCAL_PREFILL_AFTER_MS + 1);
    g_assert_true(sched_engine_accepts(f.sched, "box", "e1", LOCAL_PREFILL_AFTER_MS + 1));
    sched_destroy(f.sched);
}

/** Where no prefill engine accepts calls of the box, decode engines read its prompts. */
static void test_prefills_closed_to_the_box(void)
{
    fixture_t f;
    set_up(&f, 2);
    backend_notice_t closed[2];
    memset(closed, 0, sizeof(closed));
    for (int i = 0; i < 2; i++) {
        codec_copy_string(closed[i].backend, sizeof(closed[i].backend), f.engines[i].name);
        closed[i].closed_ms = 10 * LOCAL_PREFILL_AFTER_MS;
    }
    sched_set_notices(f.sched, "box", closed, 2, 0);
    place(&f, 0, 0);
    g_assert_false(f.answered[0]);
    tick(&f, LOCAL_PREFILL_AFTER_MS + 1);
    g_assert_true(f.answered[0] && f.placed[0].granted);
    g_assert_cmpstr(f.placed[0].prefill, ==, "");
    sched_destroy(f.sched);
}

static void test_no_prefill_engine(void)
{
    fixture_t f;
    set_up(&f, 0);
    place(&f, 0, 0);
    g_assert_false(f.answered[0]); /* not refused: a decode engine can serve it */
    tick(&f, LOCAL_PREFILL_AFTER_MS + 1);
    g_assert_true(f.answered[0] && f.placed[0].granted);
    sched_destroy(f.sched);
}

/** A box abandons a request while its grant is on the way: the grant must not hold its engines. */
static void test_abandoned_while_granted(void)
{
    fixture_t f;
    set_up(&f, 1);
    place(&f, 0, 0);
    g_assert_true(f.answered[0] && f.placed[0].granted);
    msg_progress_t gone = {.phase = PHASE_FAILED}; /* the box knows no attempt number yet */
    codec_copy_string(gone.id, sizeof(gone.id), "r0");
    codec_copy_string(gone.box, sizeof(gone.box), "another");
    sched_progress(f.sched, &gone, 1); /* a former box of the request must not end it */
    g_assert_cmpuint(sched_stats(f.sched).placed, ==, 1);
    codec_copy_string(gone.box, sizeof(gone.box), "box");
    sched_progress(f.sched, &gone, 2);
    sched_check(f.sched);
    g_assert_cmpuint(sched_stats(f.sched).placed, ==, 0);
    place(&f, 1, 3); /* its prefill engine is free at once */
    g_assert_true(f.answered[1] && f.placed[1].granted);
    sched_destroy(f.sched);
}

static void report_failed(fixture_t *f, int request, tc_time_t now)
{
    msg_progress_t p = {.attempt = f->placed[request].attempt, .phase = PHASE_PREFILL};
    g_snprintf(p.id, sizeof(p.id), "r%d", request);
    codec_copy_string(p.bad, sizeof(p.bad), f->placed[request].prefill);
    sched_progress(f->sched, &p, now);
    take_answers(f);
}

/** An engine that hangs is retried at growing intervals, not once a second by every box. */
static void test_failures_in_a_row(void)
{
    fixture_t f;
    set_up(&f, 2);
    place(&f, 0, 0);
    char bad[CODEC_STR_SIZE];
    codec_copy_string(bad, sizeof(bad), f.placed[0].prefill);
    report_failed(&f, 0, 10);
    place(&f, 1, 20);
    g_assert_cmpstr(f.placed[1].prefill, !=, bad);
    place(&f, 2, 1100); /* retried after a second */
    g_assert_cmpstr(f.placed[2].prefill, ==, bad);
    report_failed(&f, 2, 1200);
    place(&f, 3, 2400); /* too soon after the second failure */
    g_assert_cmpstr(f.placed[3].prefill, !=, bad);
    place(&f, 4, 2401);
    g_assert_false(f.answered[4]); /* the other engine is busy */
    sched_destroy(f.sched);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched-solo/short-of-prefill", test_short_of_prefill);
    g_test_add_func("/sched-solo/pools-in-proportion", test_pools_in_proportion);
    g_test_add_func("/sched-solo/no-prefill-engine", test_no_prefill_engine);
    g_test_add_func("/sched-solo/closed-to-the-box", test_closed_to_the_box);
    g_test_add_func("/sched-solo/prefills-closed-to-the-box", test_prefills_closed_to_the_box);
    g_test_add_func("/sched-solo/abandoned-while-granted", test_abandoned_while_granted);
    g_test_add_func("/sched-solo/failures-in-a-row", test_failures_in_a_row);
    return g_test_run();
}
