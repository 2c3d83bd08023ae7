/* Evacuated data centres: the state after any sequence of orders, and that neither a box nor the scheduler sends new
 * requests there.
 *
 * Guards against missing support: evacuation orders were answered with 404, and the back ends of the data centre kept
 * getting requests, since no part of the program implemented evacuations. */

#include <glib.h>
#include <string.h>

#include "cluster/evacuations.h"
#include "cluster/leader_sched.h"
#include "common/counter.h"
#include "forward/fleet.h"
#include "harness/lab.h"

/* ===== State ===== */

static bool order(evacuations_t *held, const char *dc, bool on, uint64_t index)
{
    evacuation_t e = {.on = on};
    codec_copy_string(e.dc, sizeof(e.dc), dc);
    return evacuations_apply(held, &e, index);
}

static void test_orders(void)
{
    evacuations_t held = {0}, other = {0};
    g_assert_false(order(&held, "b", false, 3)); /* end of an evacuation that is not in force */
    g_assert_cmpuint(held.version, ==, 0);
    g_assert_true(order(&held, "b", true, 5));
    g_assert_false(order(&held, "b", true, 6)); /* repeated */
    g_assert_cmpuint(held.version, ==, 5);
    g_assert_true(order(&held, "a", true, 7));
    g_assert_true(order(&held, "c", true, 8));
    g_assert_true(evacuations_has(&held, "a") && evacuations_has(&held, "b") && evacuations_has(&held, "c"));
    g_assert_true(evacuations_update(&other, &held));
    g_assert_false(evacuations_update(&other, &held));
    g_assert_true(order(&held, "b", false, 9));
    g_assert_false(evacuations_has(&held, "b"));
    g_assert_true(evacuations_has(&other, "b"));
    g_assert_false(evacuations_update(&held, &other)); /* older */
    g_assert_true(evacuations_update(&other, &held));
    g_assert_false(evacuations_has(&other, "b"));
    g_assert_cmpuint(other.list_n, ==, 2);
    codec_free(&evacuations_desc, &held);
    codec_free(&evacuations_desc, &other);
}

/** Boxes receive versions in any order and miss some: each ends with the state of the log. */
static void test_random_orders(void)
{
    enum { SEEDS = 2000, DCS = 5, ENTRIES = 40, BOXES = 4 };
    for (uint32_t seed = 1; seed <= SEEDS; seed++) {
        GRand *const random = g_rand_new_with_seed(seed);
        evacuations_t states[ENTRIES + 1], box[BOXES];
        bool is_evacuated[DCS] = {false};
        memset(states, 0, sizeof(states));
        memset(box, 0, sizeof(box));
        for (uint64_t i = 1; i <= ENTRIES; i++) {
            const int dc = g_rand_int_range(random, 0, DCS);
            const char name[] = {(char)('a' + dc), '\0'};
            is_evacuated[dc] = g_rand_boolean(random);
            evacuations_copy(&states[i], &states[i - 1]);
            (void)order(&states[i], name, is_evacuated[dc], i);
            for (int k = 0; k < BOXES; k++)
                (void)evacuations_update(&box[k], &states[g_rand_int_range(random, 0, (gint)i + 1)]);
        }
        for (int k = 0; k < BOXES; k++) {
            (void)evacuations_update(&box[k], &states[ENTRIES]);
            for (int dc = 0; dc < DCS; dc++) {
                const char name[] = {(char)('a' + dc), '\0'};
                g_assert_true(evacuations_has(&box[k], name) == is_evacuated[dc]);
            }
            codec_free(&evacuations_desc, &box[k]);
        }
        for (int i = 0; i <= ENTRIES; i++)
            codec_free(&evacuations_desc, &states[i]);
        g_rand_free(random);
    }
}

/* ===== A box ===== */

static const backend_t backends[] = {{.id = "a1", .service = "app", .addr = "1", .dc = "a"},
                                     {.id = "b1", .service = "app", .addr = "2", .dc = "b"},
                                     {.id = "b2", .service = "app", .addr = "3", .dc = "b"}};

static unsigned count_chosen(fleet_t *fleet, const char *dc, tc_time_t now)
{
    unsigned n = 0;
    for (uint32_t draw = 0; draw < 50; draw++) {
        const fleet_query_t query = {.service = "app", .dc = "b", .now = now, .random = draw * 7919};
        instance_t *const chosen = fleet_choose(fleet, &query);
        if (!chosen)
            continue;
        g_assert_true(instance_accepts_work(chosen, now));
        n += strcmp(chosen->listed.dc, dc) == 0;
        instance_unref(chosen);
    }
    return n;
}

static void test_fleet(void)
{
    fleet_t *const fleet = fleet_create();
    evacuations_t held = {0};
    const tc_time_t now = 1000;
    fleet_set_list(fleet, backends, G_N_ELEMENTS(backends), now);
    g_assert_cmpuint(count_chosen(fleet, "b", now), >, 0);
    order(&held, "b", true, 1);
    fleet_set_evacuations(fleet, &held, now);
    g_assert_cmpuint(count_chosen(fleet, "b", now), ==, 0);
    g_assert_cmpuint(count_chosen(fleet, "a", now), >, 0);
    g_assert_false(instance_accepts_work(fleet_find(fleet, "b1"), now));
    g_assert_true(instance_accepts_maintenance(fleet_find(fleet, "b1"), now));
    fleet_set_list(fleet, backends, G_N_ELEMENTS(backends), now + 1); /* a newer list does not end the evacuation */
    g_assert_cmpuint(count_chosen(fleet, "b", now), ==, 0);
    order(&held, "a", true, 2);
    fleet_set_evacuations(fleet, &held, now);
    g_assert_cmpuint(count_chosen(fleet, "a", now), ==, 0); /* all are evacuated */
    order(&held, "b", false, 3);
    fleet_set_evacuations(fleet, &held, now);
    g_assert_cmpuint(count_chosen(fleet, "b", now), ==, 50);
    codec_free(&evacuations_desc, &held);
    fleet_destroy(fleet);
}

/* ===== The scheduler ===== */

typedef struct {
    loop_t *loop;
    peer_net_t *net;
    leader_sched_t *leader_sched;
    tc_time_t now;
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
    (void)data;
    char addr[32];
    lab_unused_addr(addr);
    f->loop = loop_create();
    const peer_options_t options = {.box = "leader", .incarnation = 1, .listen = addr, .key_file = ""};
    tc_err_t err = {0};
    f->net = peer_create(f->loop, &options, &err);
    g_assert_nonnull(f->net);
    const retry_rules_t retries = {.ratio = 1, .allowance = 1, .window = 1000};
    f->leader_sched = leader_sched_create(f->net, &retries, &(cap_rules_t){.window = 8000},
                                          &(limit_rules_t){.advertised = {.window = 4000}, .cold = {.window = 1000}});
    const leader_sched_service_t service = {.service = "lm", .slots = 8, .memory_tokens = 100000};
    leader_sched_set_services(f->leader_sched, &service, 1);
    const backend_t engines[] = {{.id = "p1", .service = "lm", .addr = "1", .dc = "a", .stage = "prefill", .slots = 8},
                                 {.id = "d1", .service = "lm", .addr = "2", .dc = "a", .stage = "decode", .slots = 8},
                                 {.id = "p2", .service = "lm", .addr = "3", .dc = "b", .stage = "prefill", .slots = 8},
                                 {.id = "d2", .service = "lm", .addr = "4", .dc = "b", .stage = "decode", .slots = 8}};
    leader_sched_set_backends(f->leader_sched, engines, G_N_ELEMENTS(engines), tc_time_now());
    f->now = tc_time_now();
}

static void tear_down(fixture_t *f, gconstpointer data)
{
    (void)data;
    leader_sched_destroy(f->leader_sched);
    peer_destroy(f->net);
    loop_destroy(f->loop);
}

static void advance(fixture_t *f, tc_time_t span)
{
    const leader_sched_lease_t lease = {.term = 3, .held = true};
    f->now += span;
    leader_sched_tick(f->leader_sched, &lease, 0, f->now);
}

/** Requests one placement. @return the number of placements granted by it */
static int64_t place(fixture_t *f, const char *id)
{
    const int64_t before = counter_read("trackcove_placing_granted_total");
    msg_place_t place = {.prompt_tokens = 3000, .max_tokens = 40, .wait_ms = 900};
    codec_copy_string(place.id, sizeof(place.id), id);
    codec_copy_string(place.box, sizeof(place.box), "box");
    codec_copy_string(place.model, sizeof(place.model), "lm");
    leader_sched_handle_message(f->leader_sched, (peer_call_t){0}, MSG_PLACE, &place, f->now);
    return counter_read("trackcove_placing_granted_total") - before;
}

/** Nothing is granted on engines of an evacuated data centre; with all data centres evacuated, requests are refused at
 *  once. */
static void test_scheduler(fixture_t *f, gconstpointer data)
{
    (void)data;
    evacuations_t held = {0};
    advance(f, 0);
    advance(f, 2 * SCHED_REBUILD_MS);
    order(&held, "a", true, 1);
    leader_sched_set_evacuations(f->leader_sched, &held);
    g_assert_cmpint(place(f, "first"), ==, 1); /* in data centre b */
    pool_load_t load;
    g_assert_cmpstr(leader_sched_pool_load(f->leader_sched, &load), ==, "lm");
    order(&held, "b", true, 2);
    leader_sched_set_evacuations(f->leader_sched, &held);
    const int64_t refused = counter_read("trackcove_placing_refused_total");
    g_assert_cmpint(place(f, "second"), ==, 0);
    g_assert_cmpint(counter_read("trackcove_placing_refused_total"), ==, refused + 1);
    order(&held, "a", false, 3);
    leader_sched_set_evacuations(f->leader_sched, &held);
    g_assert_cmpint(place(f, "third"), ==, 1);
    codec_free(&evacuations_desc, &held);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/evacuations/orders", test_orders);
    g_test_add_func("/evacuations/random-orders", test_random_orders);
    g_test_add_func("/evacuations/fleet", test_fleet);
    g_test_add("/evacuations/scheduler", fixture_t, NULL, set_up, test_scheduler, tear_down);
    return g_test_run();
}
