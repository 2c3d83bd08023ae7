/* Cold back ends, which have just started, are sent few requests per second by all boxes together.
 *
 * Guards against a missing limit: nothing read which back ends are cold, so they got the full rate. The end of an
 * evacuation brings many cold back ends at once, before the list marks them. Load: one cold engine gets as many
 * requests as possible from boxes and from the scheduler at the same time. test_caps_random tests the limits
 * themselves, over many boxes and without a leader. */

#include <glib.h>
#include <string.h>

#include "cluster/cold.h"
#include "cluster/limits.h"

/* ===== Detection ===== */

static void test_reopened(void)
{
    cold_t *const cold = cold_create();
    const backend_t in = {.id = "1", .dc = "a"}, other = {.id = "2", .dc = "b"},
                    marked = {.id = "3", .dc = "b", .cold = true};
    evacuated_dc_t dc = {.dc = "a"};
    const evacuations_t none = {.version = 5}, one = {.version = 4, .list = &dc, .list_n = 1};
    g_assert_true(cold_is(cold, &marked));
    g_assert_false(cold_is(cold, &in));
    cold_update_evacuations(cold, &none, &one, 1000);
    g_assert_false(cold_is(cold, &in)); /* evacuated: it gets no requests */
    cold_update_evacuations(cold, &one, &none, 9000);
    g_assert_true(cold_is(cold, &in));
    g_assert_false(cold_is(cold, &other));
    g_assert_false(cold_update_list(cold, 9900)); /* within the list's lag */
    g_assert_true(cold_is(cold, &in));
    g_assert_true(cold_update_list(cold, 11000));
    g_assert_false(cold_is(cold, &in));
    cold_destroy(cold);
}

/* ===== Limits ===== */

enum { RATE = 20, WINDOW_MS = 1000, ALLOWED = RATE + RATE / 2 + 5, SPAN_MS = 12000, STEP_MS = 10 };

static const limit_rules_t rules = {.advertised = {.window = 4000, .overrun = 0.5, .slack = 5, .strict = true},
                                    .cold = {.window = WINDOW_MS, .overrun = 0.5, .slack = 5, .strict = true}};

typedef struct {
    sched_t *sched;
    limits_t *limits;
    GArray *sent; /* tc_time_t of each request sent to the engine */
    unsigned requested, placed;
} world_t;

static void add_sent(world_t *w, tc_time_t now)
{
    g_array_append_val(w->sent, now);
}

/** Requests one placement from the scheduler; granted ones are reported as finished at once. */
static void place(world_t *w, tc_time_t now)
{
    msg_place_t place = {.prompt_tokens = 100, .max_tokens = 10, .wait_ms = 300};
    codec_copy_string(place.box, sizeof(place.box), "box");
    codec_copy_string(place.model, sizeof(place.model), "m");
    g_snprintf(place.id, sizeof(place.id), "r%u", w->requested++);
    sched_place(w->sched, &place, (sched_token_t){0}, now);
    sched_action_t action;
    while (sched_next_action(w->sched, &action)) {
        if (action.kind != SCHED_ACT_ANSWER || !action.u.answer.placed.granted)
            continue;
        add_sent(w, now);
        w->placed++;
        msg_progress_t finished = {.attempt = action.u.answer.placed.attempt, .phase = PHASE_FINISHED};
        codec_copy_string(finished.id, sizeof(finished.id), action.u.answer.id);
        sched_progress(w->sched, &finished, now);
    }
}

/** Requests one slot of the limit as a box. */
static void acquire(world_t *w, tc_time_t now)
{
    tc_time_t after;
    msg_take_limit_t message = {.cold = true};
    codec_copy_string(message.limit.backend, sizeof(message.limit.backend), "d");
    if (limits_acquire(w->limits, w->sched, &message, now, &after))
        add_sent(w, now);
}

static unsigned max_in_window(const GArray *sent)
{
    unsigned max = 0;
    guint from = 0;
    for (guint to = 0; to < sent->len; to++) {
        while (g_array_index(sent, tc_time_t, to) - g_array_index(sent, tc_time_t, from) >= WINDOW_MS)
            from++;
        max = MAX(max, to - from + 1);
    }
    return max;
}

static void start_world(world_t *w, tc_time_t now)
{
    engine_cfg_t engines[2] = {{.role = ROLE_PREFILL}, {.role = ROLE_DECODE}};
    for (int i = 0; i < 2; i++) {
        codec_copy_string(engines[i].name, sizeof(engines[i].name), i == 0 ? "p" : "d");
        codec_copy_string(engines[i].cell, sizeof(engines[i].cell), "main");
        codec_copy_string(engines[i].model, sizeof(engines[i].model), "m");
        engines[i].pieces = engines[i].max_batch = 100000;
        engines[i].prefill_rate = 10000000;
    }
    const config_t config = {.engines = engines, .engines_n = 2, .targets = {.max_queue = 512}};
    *w = (world_t){.sched = sched_create(&(sched_options_t){.cell = "main"}, now), .limits = limits_create(&rules)};
    w->sent = g_array_new(FALSE, FALSE, sizeof(tc_time_t));
    sched_configure(w->sched, &config, now);
    for (int i = 0; i < 2; i++)
        sched_on_engine_state(w->sched, engines[i].name, 1, false, NULL, 0, now, now);
    limits_reset(w->limits, now);
}

static void test_engine(void)
{
    const tc_time_t from = 1000000;
    world_t w;
    start_world(&w, from);
    cap_cfg_t cold = {.rate = RATE};
    codec_copy_string(cold.name, sizeof(cold.name), "d");
    limits_set_cold(w.limits, &cold, 1, from);
    limits_tick(w.limits, w.sched, 1, from);
    for (tc_time_t now = from; now < from + SPAN_MS; now += STEP_MS) {
        limits_tick(w.limits, w.sched, 1, now);
        sched_tick(w.sched, now);
        for (int i = 0; i < 3; i++) {
            place(&w, now);
            acquire(&w, now);
        }
    }
    g_assert_cmpuint(max_in_window(w.sent), <=, ALLOWED);
    g_assert_cmpuint(w.sent->len, >=, RATE * (SPAN_MS / 1000) * 2 / 3);
    /* No longer cold: the scheduler grants as many as the engine has room for. */
    limits_set_cold(w.limits, NULL, 0, from + SPAN_MS);
    limits_tick(w.limits, w.sched, 1, from + SPAN_MS);
    g_assert_cmpuint(w.placed, >, 0);
    w.placed = 0;
    for (tc_time_t now = from + SPAN_MS; now < from + SPAN_MS + WINDOW_MS; now += STEP_MS) {
        sched_tick(w.sched, now);
        place(&w, now);
    }
    g_assert_cmpuint(w.placed, >, ALLOWED);
    g_array_free(w.sent, TRUE);
    limits_destroy(w.limits);
    sched_destroy(w.sched);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/cold/reopened", test_reopened);
    g_test_add_func("/cold/engine", test_engine);
    return g_test_run();
}
