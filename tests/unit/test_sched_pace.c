/* A burst during which engines are exchanged for new ones, all of which read prompts more slowly than settings say:
 * work must not pile up at the new ones, which never stand idle, while others have none.
 *
 * The load: prompts of 3,200 tokens in the mean, by lot, read at two thirds of the pace in the settings; two calm
 * seconds with a third of what the engines can read, then a burst of a third more than that, in the first second of
 * which half of the engines are exchanged. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "unit/sched_lab.h"

enum {
    PREFILLS = 8,
    NEW = 4,      /* of these, which come later and take the place of others */
    DECODES = 12, /* with room for all */
    ENGINES = PREFILLS + NEW + DECODES,
    SETTINGS_RATE = 50000, /* tokens a second, */
    TRUE_RATE = 33333,     /* and as it is */
    FIXED_MS = 20,
    REPORT_MS = 5, /* a report's way */
    PROMPTS_MAX = 4096,
    BURST_MS = 2000,
    CHANGE_MS = 3000,
    SPAN_MS = 8000,
    /* The longest prompt, behind two others as long: some half of a usual aim, in which the rest of the way must fit.
     */
    MOST_MS = 3 * 5400 * 1000 / TRUE_RATE,
};

typedef struct {
    bool placed, done;
    unsigned tokens;
    uint32_t attempt;
    int engine;
    tc_time_t sent, done_at;
} prompt_t;

typedef struct {
    sched_t *sched;
    engine_cfg_t engines[ENGINES];
    GRand *random;
    prompt_t prompts[PROMPTS_MAX];
    unsigned n;
    tc_time_t now, free_at[ENGINES]; /* when a prefill engine has read all that it was sent */
    tc_time_t longest;               /* that a prompt took at its engine */
    unsigned finished;
} world_t;

/** @param changed whether the new engines have come and the ones they replace are gone */
static void configure(world_t *w, bool changed)
{
    engine_cfg_t list[ENGINES];
    uint32_t n = 0;
    for (int i = 0; i < ENGINES; i++) {
        const bool is_new = i >= PREFILLS && i < PREFILLS + NEW;
        const bool is_old = i < NEW;
        if ((is_new && !changed) || (is_old && changed))
            continue;
        list[n++] = w->engines[i];
    }
    const config_t config = {.targets = {.max_queue = 512}, .engines = list, .engines_n = n};
    sched_configure(w->sched, &config, w->now);
    for (uint32_t i = 0; i < n; i++)
        sched_engine_seen(w->sched, list[i].name, 1, false, NULL, 0, w->now, w->now);
}

static void set_up(world_t *w)
{
    const sched_options_t options = {.cell = "c", .epoch = 1, .piece_tokens = 256};
    memset(w, 0, sizeof(*w));
    w->now = 1000;
    w->sched = sched_create(&options, w->now);
    w->random = g_rand_new_with_seed(7);
    const engine_cfg_t like = {.pieces = 10000, .max_batch = 1000, .prefill_rate = SETTINGS_RATE};
    lab_fill_engines(w->engines, ENGINES, PREFILLS + NEW, &like);
    configure(w, false);
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
    *free_at = MAX(*free_at, idle_from) + (tc_time_t)((gint64)p->tokens * 1000 / TRUE_RATE);
    p->done_at = *free_at;
    w->longest = MAX(w->longest, p->done_at - w->now);
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
    prompt->tokens = (unsigned)g_rand_int_range(w->random, 1000, 5400);
    msg_place_t place = {.prompt_tokens = prompt->tokens, .max_tokens = 30, .wait_ms = 900};
    g_snprintf(place.id, sizeof(place.id), "r%u", w->n);
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
        w->finished++;
        msg_progress_t progress = {.attempt = p->attempt,
                                   .phase = PHASE_TRANSFER,
                                   .took_ms = (uint32_t)(p->done_at - p->sent),
                                   .computed_tokens = p->tokens};
        g_snprintf(progress.id, sizeof(progress.id), "r%u", i);
        codec_copy_string(progress.box, sizeof(progress.box), "box");
        sched_progress(w->sched, &progress, w->now);
        progress.phase = PHASE_FINISHED;
        sched_progress(w->sched, &progress, w->now);
    }
}

static void test_engines_come_in_a_burst(void)
{
    world_t *const w = g_new0(world_t, 1);
    set_up(w);
    const double most_a_ms = PREFILLS * TRUE_RATE / 1000.0 / 3200;
    bool changed = false;
    while (w->now < 1000 + SPAN_MS) {
        w->now++;
        if (!changed && w->now >= 1000 + CHANGE_MS) {
            changed = true;
            configure(w, true);
        }
        report_done(w);
        if (g_rand_double(w->random) < most_a_ms * (w->now < 1000 + BURST_MS ? 0.33 : 1.33))
            ask(w);
        if (w->now % 5 == 0)
            sched_tick(w->sched, w->now);
        take_answers(w);
    }
    g_test_message("%u prompts, %u read, one took %lld ms at most", w->n, w->finished, (long long)w->longest);
    g_assert_cmpuint(w->finished, >, w->n / 2);
    g_assert_cmpint(w->longest, <, MOST_MS);
    sched_destroy(w->sched);
    g_rand_free(w->random);
    g_free(w);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched-pace/engines-come-in-a-burst", test_engines_come_in_a_burst);
    return g_test_run();
}
