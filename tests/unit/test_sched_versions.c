/* Placement while engines of two software versions serve.
 *
 * Guards against a smaller version that is filled with new streams, so that the streams of an engine of it that crashes
 * find no room at the others: they may go to no engine of the other version. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "sched/sched.h"
#include "unit/sched_fixture.h"

enum {
    PREFILLS = 2,
    OLD = 3, /* decode engines of the smaller version */
    NEW = 7,
    ENGINES = PREFILLS + OLD + NEW,
    BATCH = 10,
    HOLD_MS = 2000,
    STEP_MS = 10,
    SPAN_MS = 60000,
    CRASH_MS = 3000,
    AWAY_MS = 2500,
    PATIENCE_MS = 1500 /* of a stream that broke */
};

typedef struct {
    char id[16];
    int engine; /* -1: not placed */
    uint32_t attempt;
    bool is_bound;
    tc_time_t until, asked_at;
} stream_t;

typedef struct {
    sched_t *sched;
    engine_cfg_t engines[ENGINES];
    tc_time_t back_at[ENGINES]; /* 0: it runs */
    GPtrArray *streams;
    GRand *random;
    unsigned next, fresh, begun, broken, went_on;
} world_t;

static int engine_index(const char *name)
{
    return atoi(name + 1);
}

static const char *version_of(int engine)
{
    return engine < PREFILLS + OLD ? "v1" : "v2";
}

static void configure(world_t *w, tc_time_t now)
{
    engine_cfg_t up[ENGINES];
    uint32_t n = 0;
    for (int i = 0; i < ENGINES; i++)
        if (w->back_at[i] == 0)
            up[n++] = w->engines[i];
    const config_t config = {.targets = {.max_queue = 512}, .engines = up, .engines_n = n};
    sched_configure(w->sched, &config, now);
    sched_on_engine_list(w->sched, now);
}

static void place(world_t *w, stream_t *s, const char *version, tc_time_t now)
{
    msg_place_t p = {.prompt_tokens = 1000,
                     .max_tokens = 100,
                     .wait_ms = version[0] ? PATIENCE_MS : 900,
                     .patience_ms = PATIENCE_MS};
    g_snprintf(s->id, sizeof(s->id), "r%u", ++w->next);
    codec_copy_string(p.id, sizeof(p.id), s->id);
    codec_copy_string(p.version, sizeof(p.version), version);
    s->asked_at = now;
    sched_fixture_place(w->sched, &p, w->next, now);
}

static stream_t *find_stream(const world_t *w, const char *id)
{
    for (guint i = 0; i < w->streams->len; i++)
        if (strcmp(((stream_t *)g_ptr_array_index(w->streams, i))->id, id) == 0)
            return g_ptr_array_index(w->streams, i);
    return NULL;
}

static void take_answers(world_t *w, tc_time_t now)
{
    sched_action_t action;
    while (sched_next_action(w->sched, &action)) {
        if (action.kind == SCHED_ACT_CANCEL) {
            sched_cancelled(w->sched, action.u.cancel.engine, action.u.cancel.engine_id, true, now);
            continue;
        }
        stream_t *const s = find_stream(w, action.u.answer.id);
        if (!s || action.u.answer.repeated)
            continue;
        if (!action.u.answer.placed.granted) {
            g_ptr_array_remove_fast(w->streams, s);
            continue;
        }
        s->engine = engine_index(action.u.answer.placed.decode);
        s->attempt = action.u.answer.placed.attempt;
        s->until = now + HOLD_MS / 2 + g_rand_int_range(w->random, 0, HOLD_MS);
        w->begun += !s->is_bound;
        w->went_on += s->is_bound;
        const msg_progress_t progress = {.attempt = s->attempt};
        sched_fixture_report(w->sched, s->id, PHASE_TRANSFER, progress, now);
        sched_fixture_report(w->sched, s->id, PHASE_DECODE, progress, now);
    }
}

static void crash_old(world_t *w, tc_time_t now)
{
    const int engine = PREFILLS + g_rand_int_range(w->random, 0, OLD);
    w->back_at[engine] = now + AWAY_MS;
    configure(w, now);
    const guint before = w->streams->len;
    for (guint i = 0; i < before; i++) {
        stream_t *const s = g_ptr_array_index(w->streams, i);
        if (s->engine != engine)
            continue;
        sched_fixture_report(w->sched, s->id, PHASE_FAILED, (msg_progress_t){.attempt = s->attempt}, now);
        s->engine = -1;
        s->is_bound = true;
        w->broken++;
        place(w, s, version_of(engine), now);
    }
}

static void end_streams(world_t *w, tc_time_t now)
{
    for (guint i = w->streams->len; i-- > 0;) {
        stream_t *const s = g_ptr_array_index(w->streams, i);
        if (s->engine < 0)
            continue;
        if (now < s->until) { /* renews its lease */
            sched_fixture_report(w->sched, s->id, PHASE_DECODE, (msg_progress_t){.attempt = s->attempt}, now);
            continue;
        }
        sched_fixture_report(w->sched, s->id, PHASE_FINISHED, (msg_progress_t){.attempt = s->attempt}, now);
        g_ptr_array_remove_index_fast(w->streams, i);
    }
}

/** @param load of all decode engines, in percent of their batches */
static void run(world_t *w, unsigned load)
{
    const double each_step = (double)((OLD + NEW) * BATCH * load) / 100 * STEP_MS / HOLD_MS;
    tc_time_t crash_at = CRASH_MS;
    double due = 0;
    for (tc_time_t now = STEP_MS; now < SPAN_MS; now += STEP_MS) {
        for (int i = 0; i < ENGINES; i++) {
            if (w->back_at[i] == 0 || now < w->back_at[i])
                continue;
            w->back_at[i] = 0;
            configure(w, now);
        }
        due += each_step;
        while (due >= 1) {
            due -= 1;
            stream_t *const s = g_new0(stream_t, 1);
            s->engine = -1;
            g_ptr_array_add(w->streams, s);
            w->fresh++;
            place(w, s, "", now);
        }
        if (now >= crash_at) {
            crash_at += CRASH_MS;
            crash_old(w, now);
        }
        sched_tick(w->sched, now);
        take_answers(w, now);
        end_streams(w, now);
    }
}

/** The users' bound: of the streams that broke half as many go on as new ones begin; as many is the aim. */
static void test_small_version(gconstpointer data)
{
    static world_t w;
    w = (world_t){.random = g_rand_new_with_seed(1), .streams = g_ptr_array_new_with_free_func(g_free)};
    const engine_cfg_t like = {.pieces = 35 * BATCH, .max_batch = 4 * BATCH, .prefill_rate = 500000};
    sched_fixture_fill_engines(w.engines, ENGINES, PREFILLS, &like);
    for (int i = 0; i < ENGINES; i++)
        codec_copy_string(w.engines[i].version, sizeof(w.engines[i].version), version_of(i));
    const sched_options_t options = {.cell = "c", .epoch = 1, .piece_tokens = 32, .adopt_unknown = true};
    w.sched = sched_create(&options, 0);
    configure(&w, 0);
    run(&w, GPOINTER_TO_UINT(data));
    g_test_message("load %u: %u of %u new streams begun, %u of %u broken ones went on", GPOINTER_TO_UINT(data), w.begun,
                   w.fresh, w.went_on, w.broken);
    g_assert_cmpuint(w.broken, >=, 12);
    g_assert_cmpuint(2 * w.went_on * w.fresh, >=, w.begun * w.broken);
    sched_destroy(w.sched);
    g_ptr_array_free(w.streams, TRUE);
    g_rand_free(w.random);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_data_func("/sched-versions/load-60", GUINT_TO_POINTER(60), test_small_version);
    g_test_add_data_func("/sched-versions/load-80", GUINT_TO_POINTER(80), test_small_version);
    g_test_add_data_func("/sched-versions/load-110", GUINT_TO_POINTER(110), test_small_version);
    return g_test_run();
}
