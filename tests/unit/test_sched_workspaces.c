/* One workspace asks as much as all others together, within its usage cap, of engines that can serve half of what is
 * asked: it takes nobody's share, and has its own.
 *
 * The load: eight engines that read 83 prompts of 3,200 tokens a second; ten workspaces ask 166, one of them half of
 * that, for ten seconds, by lot. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "unit/sched_lab.h"

enum {
    WORKSPACES = 10, /* the first asks as much as the others together */
    PREFILLS = 8,
    DECODES = 12, /* with room for all */
    ENGINES = PREFILLS + DECODES,
    RATE = 33333, /* tokens a second */
    TOKENS = 3200,
    FIXED_MS = 20,
    REPORT_MS = 5, /* a report's way */
    PROMPTS_MAX = 4096,
    SPAN_MS = 10000
};

typedef struct {
    bool placed, done;
    uint32_t attempt;
    int engine, workspace;
    tc_time_t sent, done_at;
} prompt_t;

typedef struct {
    sched_t *sched;
    GRand *random;
    prompt_t prompts[PROMPTS_MAX];
    unsigned n;
    tc_time_t now, free_at[ENGINES]; /* when a prefill engine has read all that it was sent */
    unsigned asked[WORKSPACES], served[WORKSPACES];
} world_t;

static void set_up(world_t *w)
{
    const sched_options_t options = {.cell = "c", .epoch = 1, .piece_tokens = 256};
    const engine_cfg_t like = {.pieces = 10000, .max_batch = 1000, .prefill_rate = RATE};
    engine_cfg_t engines[ENGINES];
    memset(w, 0, sizeof(*w));
    w->now = 1000;
    w->sched = sched_create(&options, w->now);
    w->random = g_rand_new_with_seed(11);
    lab_fill_engines(engines, ENGINES, PREFILLS, &like);
    const config_t config = {.targets = {.max_queue = 512}, .engines = engines, .engines_n = ENGINES};
    sched_configure(w->sched, &config, w->now);
    for (int i = 0; i < ENGINES; i++)
        sched_engine_seen(w->sched, engines[i].name, 1, false, NULL, 0, w->now, w->now);
}

/** An engine reads its prompts one after the other. */
static void begin(world_t *w, prompt_t *p, const msg_placed_t *placed)
{
    p->placed = true;
    p->attempt = placed->attempt;
    p->engine = (int)strtol(placed->prefill + 1, NULL, 10);
    p->sent = w->now;
    tc_time_t *const free_at = &w->free_at[p->engine];
    const tc_time_t idle_from = w->now + FIXED_MS;
    *free_at = MAX(*free_at, idle_from) + (tc_time_t)((gint64)TOKENS * 1000 / RATE);
    p->done_at = *free_at;
    w->served[p->workspace]++;
}

static void take_answers(world_t *w)
{
    sched_action_t action;
    while (sched_next_action(w->sched, &action)) {
        const sched_answer_t *const answer = &action.u.answer;
        if (action.kind == SCHED_ACT_ANSWER && answer->placed.granted)
            begin(w, &w->prompts[answer->token.a], &answer->placed);
    }
}

static void ask(world_t *w)
{
    g_assert_cmpuint(w->n, <, PROMPTS_MAX);
    prompt_t *const prompt = &w->prompts[w->n];
    prompt->workspace = g_rand_boolean(w->random) ? 0 : g_rand_int_range(w->random, 1, WORKSPACES);
    w->asked[prompt->workspace]++;
    msg_place_t place = {.prompt_tokens = TOKENS, .max_tokens = 30, .wait_ms = 900};
    g_snprintf(place.id, sizeof(place.id), "r%u", w->n);
    g_snprintf(place.workspace, sizeof(place.workspace), "workspace-%d", prompt->workspace);
    codec_copy_string(place.box, sizeof(place.box), "box");
    codec_copy_string(place.model, sizeof(place.model), "m");
    sched_place(w->sched, &place, (sched_token_t){.a = w->n++}, w->now);
}

static void report_done(world_t *w)
{
    for (unsigned i = 0; i < w->n; i++) {
        prompt_t *const p = &w->prompts[i];
        if (!p->placed || p->done || w->now < p->done_at + REPORT_MS)
            continue;
        p->done = true;
        msg_progress_t progress = {.attempt = p->attempt,
                                   .phase = PHASE_TRANSFER,
                                   .took_ms = (uint32_t)(p->done_at - p->sent),
                                   .computed_tokens = TOKENS};
        g_snprintf(progress.id, sizeof(progress.id), "r%u", i);
        codec_copy_string(progress.box, sizeof(progress.box), "box");
        sched_progress(w->sched, &progress, w->now);
        progress.phase = PHASE_FINISHED;
        sched_progress(w->sched, &progress, w->now);
    }
}

/** Of a workspace's requests at least half as many are served as of all. */
static void test_one_asks_much(void)
{
    world_t *const w = g_new0(world_t, 1);
    set_up(w);
    const double due_a_ms = 2.0 * PREFILLS * RATE / 1000.0 / TOKENS;
    while (w->now < 1000 + SPAN_MS) {
        w->now++;
        report_done(w);
        if (g_rand_double(w->random) < due_a_ms)
            ask(w);
        if (w->now % 5 == 0)
            sched_tick(w->sched, w->now);
        take_answers(w);
    }
    unsigned asked = 0, served = 0;
    for (int i = 0; i < WORKSPACES; i++) {
        asked += w->asked[i];
        served += w->served[i];
    }
    for (int i = 0; i < WORKSPACES; i++)
        g_test_message("workspace %d: %u asked, %u served", i, w->asked[i], w->served[i]);
    for (int i = 1; i < WORKSPACES; i++)
        g_assert_cmpuint(2 * w->served[i] * asked, >=, served * w->asked[i]);
    g_assert_cmpuint(4 * w->served[0] * asked, >=, served * w->asked[0]); /* the users' gate holds for it as well */
    sched_destroy(w->sched);
    g_rand_free(w->random);
    g_free(w);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched-workspaces/one-asks-much", test_one_asks_much);
    return g_test_run();
}
