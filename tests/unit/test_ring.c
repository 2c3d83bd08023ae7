/* Where a stream that is taken up again is looked for, in a large pool of engines.
 *
 * After a restart of everything 120 streams were taken up again before 5,989 decode engines. Each box asked as many of
 * them as it may, 30,000 questions in all, and found the prompts of four; the others were read once more, 617,000
 * tokens for nothing. Questions grow with streams times engines. What proved it: the count of questions, and of what
 * was found.
 *
 * The scheduler begins its choice at the place of the request's fingerprint among the engines' names, and a box asks
 * the engines behind that place.
 */

#include <glib.h>

#include "forward/fleet.h"
#include "sched/sched_internal.h"
#include "unit/sched_fixture.h"

enum { DCS = 5, REQUESTS = 300, ASKED = 32 };

typedef struct {
    const char *wanted;
    unsigned asked;
    bool found;
} search_t;

static void ask(void *arg, instance_t *instance)
{
    search_t *const search = arg;
    search->asked++;
    search->found = search->found || strcmp(instance->listed.id, search->wanted) == 0;
}

static engine_cfg_t *make_engines(uint32_t n)
{
    engine_cfg_t *const engines = g_new0(engine_cfg_t, n);
    const engine_cfg_t like = {.pieces = 1300, .max_batch = 12, .prefill_rate = 50000};
    sched_fixture_fill_engines(engines, (int)n, (int)n / 3, &like);
    for (uint32_t i = 0; i < n; i++)
        g_snprintf(engines[i].dc, sizeof(engines[i].dc), "dc%u", i % DCS);
    return engines;
}

/** The list as a box has it. @param missing one in so many has gone meanwhile */
static fleet_t *make_fleet(const engine_cfg_t *engines, uint32_t n, uint32_t missing)
{
    backend_t *const list = g_new0(backend_t, n);
    uint32_t listed = 0;
    for (uint32_t i = 0; i < n; i++) {
        if (i % missing == 0)
            continue;
        backend_t *const b = &list[listed++];
        codec_copy_string(b->id, sizeof(b->id), engines[i].name);
        codec_copy_string(b->dc, sizeof(b->dc), engines[i].dc);
        codec_copy_string(b->service, sizeof(b->service), "m");
        codec_copy_string(b->stage, sizeof(b->stage), engines[i].role == ROLE_PREFILL ? "prefill" : "decode");
    }
    fleet_t *const fleet = fleet_create();
    fleet_set_list(fleet, list, listed, 50);
    g_free(list);
    return fleet;
}

/** Place a request; its engine's name is in @p to. */
static void place(sched_t *s, unsigned number, uint64_t fingerprint, char to[CODEC_STR_SIZE])
{
    msg_place_t p = {.prompt_tokens = 3000, .max_tokens = 35, .wait_ms = 900, .fingerprint = fingerprint};
    g_snprintf(p.id, sizeof(p.id), "r%u", number);
    g_snprintf(p.dc, sizeof(p.dc), "dc%u", number % DCS);
    codec_copy_string(p.box, sizeof(p.box), "box");
    codec_copy_string(p.model, sizeof(p.model), "m");
    sched_place(s, &p, (sched_token_t){.a = number}, 1000 + 4 * (tc_time_t)number);
    sched_action_t action;
    g_assert_true(sched_next_action(s, &action));
    g_assert_true(action.u.answer.placed.granted);
    codec_copy_string(to, CODEC_STR_SIZE, action.u.answer.placed.decode);
}

/** @return of REQUESTS that run, whose engines were among those asked */
static unsigned count_found(uint32_t engines_n)
{
    engine_cfg_t *const engines = make_engines(engines_n);
    const config_t config = {.targets = {.max_queue = 16}, .engines = engines, .engines_n = engines_n};
    const sched_options_t options = {.cell = "c", .epoch = 1, .piece_tokens = 32};
    sched_t *const s = sched_create(&options, 0);
    sched_configure(s, &config, 0);
    fleet_t *const fleet = make_fleet(engines, engines_n, 20);
    GRand *const random = g_rand_new_with_seed(5);
    unsigned found = 0;
    for (unsigned i = 0; i < REQUESTS; i++) {
        const uint64_t fingerprint = (uint64_t)g_rand_int(random) << 32 | g_rand_int(random);
        char engine[CODEC_STR_SIZE];
        place(s, i, fingerprint, engine);
        search_t search = {.wanted = engine};
        const fleet_query_t query = {.service = "m", .stage = STAGE_DECODE, .dc = "dc0", .now = 100};
        fleet_each_successor(fleet, &query, fingerprint, ASKED, ask, &search);
        g_assert_cmpuint(search.asked, ==, ASKED);
        found += search.found;
    }
    g_rand_free(random);
    fleet_destroy(fleet);
    sched_destroy(s);
    g_free(engines);
    return found;
}

/** One in twenty engines has gone, and with it what it kept. */
static void test_found(void)
{
    enum { MOST_MISSED = REQUESTS / 20 + REQUESTS / 50 };
    g_assert_cmpuint(count_found(1500), >=, REQUESTS - MOST_MISSED);
    g_assert_cmpuint(count_found(6000), >=, REQUESTS - MOST_MISSED);
}

/** Of a pool of fewer all are asked, each once, nearest first. */
static void test_few(void)
{
    engine_cfg_t *const engines = make_engines(30);
    fleet_t *const fleet = make_fleet(engines, 30, 31);
    search_t search = {.wanted = "e29"};
    const fleet_query_t query = {.service = "m", .stage = STAGE_DECODE, .dc = "dc0", .now = 100};
    fleet_each_successor(fleet, &query, 1, ASKED, ask, &search);
    g_assert_cmpuint(search.asked, ==, 20);
    g_assert_cmpuint(fleet_count(fleet, &query), ==, 20);
    g_assert_true(search.found);
    fleet_destroy(fleet);
    g_free(engines);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/ring/found", test_found);
    g_test_add_func("/ring/few", test_few);
    return g_test_run();
}
