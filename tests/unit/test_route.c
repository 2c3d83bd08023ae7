/* Routing table, retry budget, choice of back ends, and the roster, without I/O. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cluster/roster.h"
#include "common/box_count.h"
#include "common/feature.h"
#include "common/retry_budget.h"
#include "forward/fleet.h"
#include "forward/route.h"

/* ===== Routes ===== */

static route_t *make_route(const char *host, const char *prefix, const char *service)
{
    route_t *const route = g_new0(route_t, 1);
    route->host = g_strdup(host);
    route->prefix = g_strdup(prefix);
    route->targets = g_array_new(FALSE, TRUE, sizeof(route_target_t));
    const route_target_t target = {.service = g_strdup(service), .weight = 1};
    g_array_append_val(route->targets, target);
    return route;
}

static const char *found(const route_table_t *t, const char *host, const char *target)
{
    const route_t *const route = route_table_find(t, host, target);
    return route ? route->prefix : "none";
}

static void test_longest_prefix(void)
{
    route_table_t *const t = route_table_create(3);
    g_assert_true(route_table_add(t, make_route("h.example", "/a/", "s")));
    g_assert_true(route_table_add(t, make_route("h.example", "/a/b/", "s")));
    g_assert_true(route_table_add(t, make_route("other.example", "/", "s")));
    g_assert_false(route_table_add(t, make_route("h.example", "/a/", "s")));
    g_assert_cmpstr(found(t, "h.example", "/a/x"), ==, "/a/");
    g_assert_cmpstr(found(t, "H.Example:80", "/a/b/c?d=/a/"), ==, "/a/b/");
    g_assert_cmpstr(found(t, "h.example", "/a/b"), ==, "/a/");
    g_assert_cmpstr(found(t, "h.example", "/ab/"), ==, "none");
    g_assert_cmpstr(found(t, "other.example", "/zz"), ==, "/");
    g_assert_cmpstr(found(t, "nobody.example", "/a/"), ==, "none");
    route_table_unref(t);
}

static void add_service(route_table_t *t, const char *name, bool engines)
{
    route_service_t *const service = g_new0(route_service_t, 1);
    service->name = g_strdup(name);
    service->engines = engines;
    g_assert_true(route_table_add_service(t, service));
}

static void add_route(route_table_t *t, const char *prefix, const char *service, uint32_t priority, double weight)
{
    route_t *const route = make_route("h", prefix, service);
    route->priority = priority;
    g_array_index(route->targets, route_target_t, 0).weight = weight;
    g_assert_true(route_table_add(t, route));
}

/** Guards against admission by priority for a service whose requests all have the same, and against the priorities of
 *  routes that send it nothing. */
static void test_ranked(void)
{
    route_table_t *const t = route_table_create(1);
    add_service(t, "engines", true);
    add_service(t, "plain", false);
    add_route(t, "/a/", "engines", 1, 1);
    add_route(t, "/b/", "engines", 1, 1);
    add_route(t, "/c/", "plain", 2, 1);
    add_route(t, "/d/", "plain", 5, 1);
    add_route(t, "/e/", "engines", 0, 0);
    g_assert_false(route_table_is_ranked(t, "engines"));
    g_assert_true(route_table_is_ranked(t, "plain"));
    g_assert_false(route_table_is_ranked(t, "unknown"));
    g_assert_false(route_table_is_ranked(t, NULL));
    add_route(t, "/f/", "engines", 0, 1);
    g_assert_true(route_table_is_ranked(t, "engines"));
    g_assert_true(route_table_is_ranked(t, NULL));
    route_table_unref(t);
}

/** Guards against requests that an engine compares in another order than the scheduler: workspaces with priorities come
 *  before the routes' priorities. */
static void test_urgency(void)
{
    route_table_t *const t = route_table_create(1);
    add_service(t, "engines", true);
    add_route(t, "/a/", "engines", 1, 1);
    add_route(t, "/b/", "engines", 5, 1);
    add_route(t, "/c/", "other", 0, 1);
    g_assert_cmpuint(route_table_urgency(t, "engines", 1, 0), ==, 4);
    g_assert_cmpuint(route_table_urgency(t, "engines", 5, 0), ==, 5);
    t->workspaces = workspaces_create();
    workspace_t *const workspace = g_new0(workspace_t, 1);
    *workspace = (workspace_t){.name = g_strdup("w"), .has_priority = true, .priority = 2};
    g_assert_nonnull(workspaces_add(t->workspaces, workspace));
    static const uint32_t in_order[][2] = {{1, 0}, {2, 1}, {2, 5}, {5, 0}};
    for (guint i = 0; i < G_N_ELEMENTS(in_order); i++)
        g_assert_cmpuint(route_table_urgency(t, "engines", in_order[i][0], in_order[i][1]), ==, 3 + i);
    g_assert_cmpuint(route_table_urgency(t, "unknown", 3, 0), <=, 9);
    route_table_unref(t);
}

static void test_split(void)
{
    route_table_t *const t = route_table_create(1);
    route_t *const route = make_route("h", "/", "one");
    const route_target_t second = {.service = g_strdup("two"), .weight = 3};
    g_array_append_val(route->targets, second);
    g_assert_true(route_table_add(t, route));
    unsigned twos = 0;
    for (uint32_t i = 0; i < 400; i++)
        twos += strcmp(route_pick_service(route, (i + 0.5) / 400), "two") == 0;
    g_assert_cmpuint(twos, ==, 300);
    route_table_unref(t);
}

static void test_repeatable(void)
{
    g_assert_true(route_is_repeatable(&(route_t){.kind = ROUTE_SAFE}));
    g_assert_false(route_is_repeatable(&(route_t){.kind = ROUTE_UNSAFE}));
    g_assert_false(route_is_repeatable(&(route_t){.kind = ROUTE_STREAM}));
    g_assert_true(route_is_repeatable(&(route_t){.kind = ROUTE_STREAM, .resumable = true}));
}

/* ===== Retry budget ===== */

static void test_budget_is_a_share(void)
{
    const retry_rules_t rules = {.ratio = 0.2, .allowance = 0, .window = 10000};
    retry_budget_t b;
    retry_budget_init(&b, 0);
    unsigned allowed = 0;
    for (tc_time_t now = 0; now < 10000; now += 10) {
        retry_budget_add_request(&b, &rules, now);
        allowed += retry_budget_spend(&b, &rules, 1, now);
    }
    g_assert_cmpuint(allowed, >, 100);
    g_assert_cmpuint(allowed, <=, 200); /* of 1,000 requests */
}

static void test_budget_allowance_is_shared(void)
{
    const retry_rules_t rules = {.ratio = 0, .allowance = 60, .window = 10000};
    retry_budget_t b;
    retry_budget_init(&b, 0);
    g_assert_false(retry_budget_spend(&b, &rules, 10, 10)); /* others may have spent it before this box started */
    unsigned allowed = 0;
    for (int i = 0; i < 100; i++)
        allowed += retry_budget_spend(&b, &rules, 10, 20000);
    g_assert_cmpuint(allowed, >, 2);
    g_assert_cmpuint(allowed, <=, 6);
    g_assert_true(retry_budget_spend(&b, &rules, 10, 40000)); /* a later window */
}

/** Guarantee: boxes that are partitioned for a while keep within the common budget. Three of nine boxes are missing
 * from the list of the others, and keep spending. */
static void test_budget_while_boxes_are_missing(void)
{
    enum { BOXES = 9, HEARD = 6, WINDOW = 10000, BEGIN = 2 * WINDOW, CUT = 25000, END = 50000, STEP = 100 };
    const retry_rules_t rules = {.ratio = 0, .allowance = 60, .window = WINDOW};
    retry_budget_t budgets[BOXES];
    box_count_t sharers[BOXES] = {0};
    unsigned spent[END / STEP] = {0};
    for (int i = 0; i < BOXES; i++)
        retry_budget_init(&budgets[i], 0);
    for (tc_time_t now = BEGIN; now < END; now += STEP) {
        for (int i = 0; i < BOXES; i++) {
            const unsigned there = i < HEARD && now >= CUT ? HEARD : BOXES;
            box_count_update(&sharers[i], there, WINDOW, now);
            spent[now / STEP] += retry_budget_spend(&budgets[i], &rules, box_count_get(&sharers[i]), now);
        }
    }
    /* For one window a missing box still counts; later it is considered gone. */
    for (tc_time_t from = BEGIN; from + WINDOW <= CUT + WINDOW; from += STEP) {
        unsigned sum = 0;
        for (tc_time_t at = from; at < from + WINDOW; at += STEP)
            sum += spent[at / STEP];
        g_assert_cmpuint(sum, <=, 60);
    }
}

/* ===== Choice ===== */

static backend_t backend(const char *id, const char *dc, const char *stage, bool draining)
{
    backend_t b = {.slots = 4, .draining = draining};
    codec_copy_string(b.id, sizeof(b.id), id);
    codec_copy_string(b.service, sizeof(b.service), "s");
    codec_copy_string(b.dc, sizeof(b.dc), dc);
    codec_copy_string(b.stage, sizeof(b.stage), stage);
    return b;
}

static void test_choice(void)
{
    const backend_t list[] = {backend("far", "b", "", false), backend("near", "a", "", false),
                              backend("leaving", "a", "", true), backend("engine", "a", "decode", false)};
    fleet_t *const f = fleet_create();
    fleet_set_list(f, list, G_N_ELEMENTS(list), 50);
    GPtrArray *const tried = g_ptr_array_new();
    /* The better of two random back ends is chosen: draws 1 and 2 draw both. */
    const fleet_query_t query = {.service = "s", .dc = "a", .tried = tried, .now = 100, .random = 1};
    const fleet_query_t swapped = {.service = "s", .dc = "a", .tried = tried, .now = 100, .random = 2};
    instance_t *const near = fleet_choose(f, &query);
    g_assert_cmpstr(near->listed.id, ==, "near");
    instance_t *const same = fleet_choose(f, &swapped);
    g_assert_true(same == near);
    instance_unref(same);
    instance_begin(near, 0, 0);
    instance_t *const far = fleet_choose(f, &query); /* load takes precedence over distance */
    g_assert_cmpstr(far->listed.id, ==, "far");
    instance_t *const again = fleet_choose(f, &swapped);
    g_assert_true(again == far);
    instance_unref(again);
    g_ptr_array_add(tried, near);
    g_ptr_array_add(tried, far);
    g_assert_null(fleet_choose(f, &query));
    fleet_set_list(f, list, 1, 60); /* a request keeps its back end even when that is no longer listed */
    g_assert_false(near->present);
    instance_end(near, 0, 0);
    instance_unref(near);
    instance_unref(far);
    g_ptr_array_free(tried, TRUE);
    fleet_destroy(f);
}

/** Guarantee: all boxes together open no more connections to a back end than it accepts, even without knowing of each
 *  other. Before, with 9 boxes and 20 connections, each box opened as many as it wanted. */
static void test_connections_are_shared(void)
{
    enum { BOXES = 9, TAKES = 20, PLENTY = 50 };
    const backend_t list[] = {backend("one", "a", "", false)};
    unsigned open = 0;
    for (int i = 0; i < BOXES; i++) {
        fleet_t *const f = fleet_create();
        fleet_set_list(f, list, 1, 50);
        const fleet_query_t query = {.service = "s", .dc = "a", .connections = TAKES, .boxes = BOXES, .now = 100};
        for (int k = 0; k < PLENTY; k++) {
            instance_t *const chosen = fleet_choose(f, &query);
            if (!chosen)
                continue;
            instance_begin(chosen, 0, 0);
            instance_unref(chosen);
            open++;
        }
        fleet_destroy(f);
    }
    g_assert_cmpuint(open, >, 0);
    g_assert_cmpuint(open, <=, TAKES);
}

/** When the load of the other boxes shows that they use all connections, none is left. */
static void test_connections_of_others(void)
{
    const backend_t list[] = {backend("one", "a", "", false)};
    fleet_t *const f = fleet_create();
    fleet_set_list(f, list, 1, 50);
    const backend_load_t load = {.id = "one", .running = 20};
    fleet_set_remote_loads(f, &load, 1, false, 60);
    const fleet_query_t query = {.service = "s", .dc = "a", .connections = 20, .boxes = 2, .now = 100};
    g_assert_null(fleet_choose(f, &query));
    fleet_destroy(f);
}

static void test_failed_is_avoided(void)
{
    const backend_t list[] = {backend("one", "a", "", false), backend("two", "a", "", false)};
    fleet_t *const f = fleet_create();
    fleet_set_list(f, list, 2, 50);
    instance_t *const one = fleet_find(f, "one");
    instance_failed(one, 1000);
    for (uint32_t draw = 0; draw < 8; draw++) {
        const fleet_query_t query = {.service = "s", .dc = "a", .now = 1100, .random = draw};
        instance_t *const chosen = fleet_choose(f, &query);
        g_assert_cmpstr(chosen->listed.id, ==, "two");
        instance_unref(chosen);
    }
    const tc_time_t first = one->avoid_until;
    instance_failed(one, 1000);
    g_assert_cmpint(one->avoid_until, >, first); /* longer after each failure in a row */
    instance_succeeded(one);
    g_assert_cmpint(one->avoid_until, ==, 0);
    fleet_destroy(f);
}

/** Counts how often each of two back ends is chosen. @param loads stated by them, or NULL */
static void count_choices(const char *const *loads, tc_time_t age, unsigned *taken)
{
    const backend_t list[] = {backend("0", "a", "", false), backend("1", "a", "", false)};
    fleet_t *const f = fleet_create();
    fleet_set_list(f, list, 2, 50);
    for (int i = 0; i < 2; i++) {
        const load_reading_t reading = load_reading_parse(loads[i]);
        fleet_add_reading(f, fleet_find(f, list[i].id), &reading, 100);
        taken[i] = 0;
    }
    const backend_load_t busy = {.id = "1", .running = 3};
    fleet_set_remote_loads(f, &busy, 1, false, 90);
    for (uint32_t draw = 0; draw < 64; draw++) {
        const fleet_query_t query = {.service = "s", .dc = "b", .now = 100 + age, .random = draw};
        instance_t *const chosen = fleet_choose(f, &query);
        taken[atoi(chosen->listed.id)]++;
        instance_unref(chosen);
    }
    fleet_destroy(f);
}

/** Requests went to back ends whose machines were busy with other programs, since the box compared only counts of
 *  requests. Without a pace, or once it is too old, the choice is as before. */
static void test_paces(void)
{
    static const char *const none[] = {NULL, NULL}, *const three[] = {"0,0,4", "0,0,4"},
                             *const slow[] = {"0,0,4,250", "3,0,4,100"}, *const slight[] = {"0,0,4,110", "3,0,4,100"},
                             *const newer[] = {"4,9,4,100", "0,0,4,100"};
    unsigned before[2], taken[2];
    count_choices(none, 0, before);
    g_assert_cmpuint(before[0], ==, 48); /* the idle one, unless both draws select the other */
    count_choices(three, 0, taken);
    g_assert_cmpuint(taken[0], ==, before[0]);
    count_choices(slow, 0, taken);
    g_assert_cmpuint(taken[1], ==, 48); /* 2.5 times the duration outweighs three of four slots */
    count_choices(slight, 0, taken);
    g_assert_cmpuint(taken[0], ==, 48);
    count_choices(slow, LOAD_READING_EXPIRY_MS, taken);
    g_assert_cmpuint(taken[0], ==, before[0]);
    count_choices(newer, 0, taken); /* what a back end states is newer than what boxes report of it */
    g_assert_cmpuint(taken[1], ==, 48);
    g_assert_true(feature_disable("readings"));
    count_choices(slow, 0, taken);
    g_assert_cmpuint(taken[0], ==, before[0]);
    feature_reset();
}

/** Boxes with the same knowledge must not all choose the same back end. */
static void test_choices_spread(void)
{
    backend_t list[8];
    unsigned taken[8] = {0}, used = 0;
    for (int i = 0; i < 8; i++) {
        char id[8];
        g_snprintf(id, sizeof(id), "%d", i);
        list[i] = backend(id, "a", "", false);
    }
    fleet_t *const f = fleet_create();
    fleet_set_list(f, list, 8, 50);
    const backend_load_t busy = {.id = "3", .running = 4};
    fleet_set_remote_loads(f, &busy, 1, false, 90);
    for (uint32_t draw = 0; draw < 64; draw++) {
        const fleet_query_t query = {.service = "s", .dc = "a", .now = 100, .random = draw};
        instance_t *const chosen = fleet_choose(f, &query);
        taken[atoi(chosen->listed.id)]++;
        instance_unref(chosen);
    }
    for (int i = 0; i < 8; i++)
        used += taken[i] > 0;
    g_assert_cmpuint(used, ==, 8);
    g_assert_cmpuint(taken[3], ==, 1); /* only when both draws select it */
    fleet_destroy(f);
}

/* Guards against needless calls to other data centres. At low load four of five requests went to another of five data
 * centres, though each had hundreds of idle back ends: of two random back ends both are remote in 64 of 100 cases. */

enum { DCS = 5, EACH = 40 };

/** Number of 500 choices that select data centre "0". @param running requests of other boxes at each back end there */
static unsigned count_local(unsigned running)
{
    enum { CHOICES = 500 };
    static const char *const names[DCS] = {"0", "1", "2", "3", "4"};
    backend_t list[DCS * EACH];
    for (int i = 0; i < DCS * EACH; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "%03d", i);
        list[i] = backend(id, names[i % DCS], "", false);
    }
    fleet_t *const f = fleet_create();
    fleet_set_list(f, list, DCS * EACH, 50);
    backend_load_t loads[EACH];
    memset(loads, 0, sizeof(loads));
    for (int i = 0; i < EACH; i++) {
        codec_copy_string(loads[i].id, sizeof(loads[i].id), list[i * DCS].id);
        loads[i].running = running;
    }
    fleet_set_remote_loads(f, loads, EACH, false, 60);
    GRand *const random = g_rand_new_with_seed(3);
    unsigned near = 0, taken[DCS * EACH] = {0};
    for (int i = 0; i < CHOICES; i++) {
        const fleet_query_t query = {.service = "s", .dc = "0", .now = 100, .random = g_rand_int(random)};
        instance_t *const chosen = fleet_choose(f, &query);
        near += strcmp(chosen->listed.dc, "0") == 0;
        g_assert_cmpuint(++taken[atoi(chosen->listed.id)], <, CHOICES / EACH * 3); /* spread over all local back ends */
        instance_unref(chosen);
    }
    g_rand_free(random);
    fleet_destroy(f);
    return near;
}

static void test_local_at_low_load(void)
{
    g_assert_cmpuint(count_local(0), ==, 500);
    g_assert_cmpuint(count_local(2), <, 50); /* half full: load takes precedence over distance */
}

/* Guards against a cost per request that grows with the fleet. With 10,000 back ends, a box with an eighth of a core
 * took 30 ms to choose one of the 190 back ends of a small service: each choice, and each check when a back end accepts
 * work again, scanned the back ends of all services. */

enum { PLAIN = 100 };

/** Back ends examined by a few choices of a box with @p engines of one service and PLAIN back ends of another. */
static uint64_t count_looks(uint32_t engines, const char *service, const char *stage)
{
    backend_t *const list = g_new0(backend_t, engines + PLAIN);
    for (uint32_t i = 0; i < engines + PLAIN; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "%u", i);
        list[i] = backend(id, "a", i < engines ? "decode" : "", false);
        codec_copy_string(list[i].service, sizeof(list[i].service), i < engines ? "lm" : "plain");
    }
    fleet_t *const f = fleet_create();
    fleet_set_list(f, list, engines + PLAIN, 50);
    g_free(list);
    for (uint32_t draw = 0; draw < 10; draw++) {
        const fleet_query_t query = {.service = service,
                                     .stage = stage[0] ? STAGE_DECODE : STAGE_NONE,
                                     .dc = "a",
                                     .now = 100,
                                     .random = draw * 2654435761U};
        instance_unref(fleet_choose(f, &query));
        g_assert_cmpint(fleet_next_available_at(f, &query), ==, TC_TIME_NEVER);
    }
    const uint64_t looks = fleet_instances_examined(f);
    fleet_destroy(f);
    return looks;
}

static void test_looks_do_not_grow(void)
{
    g_assert_cmpuint(count_looks(10000, "plain", ""), ==, count_looks(1000, "plain", ""));
    g_assert_cmpuint(count_looks(10000, "lm", "decode"), ==, count_looks(1000, "lm", "decode"));
}

/** Choices are spread over all back ends, also when there are more than one choice examines. */
static void test_choices_of_many_spread(void)
{
    enum { MANY = 2000, CHOICES = 20000 };
    backend_t *const list = g_new0(backend_t, MANY);
    for (uint32_t i = 0; i < MANY; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "%u", i);
        list[i] = backend(id, "a", "", false);
    }
    fleet_t *const f = fleet_create();
    fleet_set_list(f, list, MANY, 50);
    g_free(list);
    GRand *const random = g_rand_new_with_seed(1);
    unsigned taken[MANY] = {0}, most = 0;
    for (int i = 0; i < CHOICES; i++) {
        const fleet_query_t query = {.service = "s", .dc = "a", .now = 100, .random = g_rand_int(random)};
        instance_t *const chosen = fleet_choose(f, &query);
        const unsigned times = ++taken[atoi(chosen->listed.id)];
        most = MAX(most, times);
        instance_unref(chosen);
    }
    g_assert_cmpuint(most, <, 40); /* ten on average; none has twice that by chance */
    g_rand_free(random);
    fleet_destroy(f);
}

/* ===== Roster ===== */

/** The list, one second after the last one was made. */
static list_publisher_t *list_of(roster_t *r)
{
    static tc_time_t now;
    now += 1000;
    return roster_list(r, now);
}

static roster_kind_t kind_of(void *arg, const char *id)
{
    (void)arg, (void)id;
    return ROSTER_PLAIN;
}

/** Number of requests that all boxes except @p box have in flight at a back end. */
static uint32_t running_elsewhere(roster_t *r, const char *box, const char *id)
{
    uint32_t running = 0;
    const roster_loads_t loads = roster_loads(r, box, kind_of, NULL, false);
    for (uint32_t i = 0; i < loads.n; i++)
        running += strcmp(loads.list[i].id, id) == 0 ? loads.list[i].running : 0;
    free(loads.list);
    return running;
}

static void test_roster(void)
{
    roster_t *const r = roster_create();
    backend_load_t load = {.running = 2, .tokens = 100};
    codec_copy_string(load.id, sizeof(load.id), "x");
    msg_report_t a = {.loads = &load, .loads_n = 1}, b = a;
    codec_copy_string(a.self.box, sizeof(a.self.box), "a");
    codec_copy_string(b.self.box, sizeof(b.self.box), "b");
    b.self.incarnation = 7;
    roster_update(r, &a, 1000);
    roster_update(r, &b, 2000);
    uint32_t n;
    const uint64_t before = list_publisher_hash(list_of(r));
    (void)list_publisher_list(list_of(r), &n);
    g_assert_cmpuint(n, ==, 2);
    g_assert_cmpuint(running_elsewhere(r, "a", "x"), ==, 2); /* of the others only */
    g_assert_cmpuint(running_elsewhere(r, "a", "y"), ==, 0);
    b.self.incarnation = 6;
    b.self.leaving = true;
    roster_update(r, &b, 2100); /* from an earlier incarnation */
    g_assert_cmpuint(before, ==, list_publisher_hash(list_of(r)));
    load.running = 5;
    load.tokens = 700;
    b.self.incarnation = 7;
    b.self.leaving = false;
    roster_update(r, &b, 2200);
    g_assert_cmpuint(running_elsewhere(r, "a", "x"), ==, 5); /* replaces the earlier report */
    roster_expire(r, NULL, NULL, 1000 + ROSTER_TIMEOUT_MS + 1);
    g_assert_cmpuint(roster_count(r), ==, 1);
    g_assert_cmpuint(before, !=, list_publisher_hash(list_of(r)));
    g_assert_cmpuint(running_elsewhere(r, "b", "x"), ==, 0);
    roster_destroy(r);
}

/** Boxes that receive only the loads of plain back ends keep the loads of engines. */
static void test_partial_loads(void)
{
    const backend_t list[] = {backend("1", "a", "", false), backend("2", "a", "decode", false)};
    fleet_t *const f = fleet_create();
    fleet_set_list(f, list, 2, 50);
    const backend_load_t all[] = {{.id = "1", .running = 4}, {.id = "2", .running = 6}};
    fleet_set_remote_loads(f, all, 2, false, 60);
    const backend_load_t some = {.id = "1", .running = 1};
    fleet_set_remote_loads(f, &some, 1, true, 70);
    g_assert_cmpuint(fleet_find(f, "1")->remote_running, ==, 1);
    g_assert_cmpuint(fleet_find(f, "2")->remote_running, ==, 6);
    fleet_set_remote_loads(f, &some, 1, false, 80);
    g_assert_cmpuint(fleet_find(f, "2")->remote_running, ==, 0);
    fleet_destroy(f);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/route/longest-prefix", test_longest_prefix);
    g_test_add_func("/route/ranked", test_ranked);
    g_test_add_func("/route/urgency", test_urgency);
    g_test_add_func("/route/split-by-weight", test_split);
    g_test_add_func("/route/repeatable", test_repeatable);
    g_test_add_func("/retry-budget/share-of-requests", test_budget_is_a_share);
    g_test_add_func("/retry-budget/allowance-of-all-boxes", test_budget_allowance_is_shared);
    g_test_add_func("/retry-budget/while-boxes-are-missing", test_budget_while_boxes_are_missing);
    g_test_add_func("/fleet/choice", test_choice);
    g_test_add_func("/fleet/partial-loads", test_partial_loads);
    g_test_add_func("/fleet/connections-are-shared", test_connections_are_shared);
    g_test_add_func("/fleet/connections-of-others", test_connections_of_others);
    g_test_add_func("/fleet/failed-is-avoided", test_failed_is_avoided);
    g_test_add_func("/fleet/paces", test_paces);
    g_test_add_func("/fleet/choices-spread", test_choices_spread);
    g_test_add_func("/fleet/local-at-low-load", test_local_at_low_load);
    g_test_add_func("/fleet/looks-do-not-grow", test_looks_do_not_grow);
    g_test_add_func("/fleet/choices-of-many-spread", test_choices_of_many_spread);
    g_test_add_func("/roster/boxes-and-loads", test_roster);
    return g_test_run();
}
