/* Configurations with random figures, through the reader and the router: what is accepted can be used, with the meaning
 * that it was sent with. */

#include <glib.h>
#include <math.h>
#include <string.h>

#include "cluster/document.h"
#include "harness/parts.h"
#include "platform/config.h"

enum { TARGETS_MAX = 5, UNITS_MAX = 400, DRAWS = 64 };

#define SERVICES                                                                                                       \
    "\"services\":[{\"name\":\"s0\"},{\"name\":\"s1\"},{\"name\":\"s2\"},{\"name\":\"s3\"},"                           \
    "{\"name\":\"s4\",\"max_connections\":9,\"engine\":{\"slots\":8,\"kv_tokens\":900,\"kv_bytes\":18432,"             \
    "\"link_mbps\":350000.0,\"hold_ms\":20.5,\"handle_ttl_s\":0.5}}]"

/** Index of a service, by its name. */
static guint index_of(const char *service)
{
    g_assert_nonnull(service);
    return (guint)(service[1] - '0');
}

static route_table_t *read_text(const char *text, bool is_accepted)
{
    tc_err_t err = {0};
    if (!is_accepted)
        return config_read(text, strlen(text), &err);
    document_t document = {0};
    document_make(&document, 7, text, strlen(text));
    config_load_t *const load = config_load_begin(&document);
    while (config_load_step(load)) {
    }
    route_table_t *const table = config_load_end(load, &err);
    codec_free(&document_desc, &document);
    return table;
}

/* ===== Weights ===== */

/** Weights of @p units times ten to the power of @p scale. */
static char *split_text(const guint *units, guint n, int scale)
{
    GString *const text = g_string_new("{\"version\":7,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\","
                                       "\"timeout_ms\":1000,\"traffic_split\":[");
    for (guint i = 0; i < n; i++)
        g_string_append_printf(text, "%s{\"service\":\"s%u\",\"weight\":%ue%d}", i ? "," : "", i, units[i], scale);
    g_string_append(text, "]}]," SERVICES "}");
    return g_string_free(text, FALSE);
}

/** Checks that each target gets as many of as many draws as there are units, to the draw. */
static void check_ratio(const route_t *route, const guint *units, guint n, guint sum)
{
    guint got[TARGETS_MAX] = {0};
    for (guint draw = 0; draw < sum; draw++)
        got[index_of(route_pick_service(route, (draw + 0.5) / sum))]++;
    for (guint i = 0; i < n; i++)
        g_assert_cmpuint(got[i], ==, units[i]);
}

/** Weights below a thousandth were cut to 0, so that a valid route led to no service and ended each process that met
 * it; those above a million were made equal, and sums wrapped. */
static void test_weights_keep_their_ratio(void)
{
    const seed_range_t seeds = part_seeds(400);
    for (guint32 seed = seeds.first; seed < seeds.first + seeds.count; seed++) {
        GRand *const random = g_rand_new_with_seed(seed);
        const guint n = (guint)g_rand_int_range(random, 1, TARGETS_MAX + 1);
        const int scale = g_rand_int_range(random, -306, 305);
        guint units[TARGETS_MAX], sum = 0;
        for (guint i = 0; i < n; i++) {
            units[i] = g_rand_int_range(random, 0, 3) ? (guint)g_rand_int_range(random, 0, UNITS_MAX) : 0;
            sum += units[i];
        }
        char *const text = split_text(units, n, scale);
        route_table_t *const table = read_text(text, false);
        if ((table != NULL) != (sum > 0))
            g_error("seed %u: %s: %s", seed, table ? "accepted" : "refused", text);
        if (table)
            check_ratio(route_table_find(table, "h", "/x"), units, n, sum);
        route_table_unref(table);
        g_free(text);
        g_rand_free(random);
    }
}

/** Weights as far apart as the format bears: the smaller ones may get nothing, but nothing breaks. */
static void test_weights_far_apart(void)
{
    static const char *const splits[][2] = {
        {"1e308", "1e-308"}, {"1e308", "1e308"}, {"5e-324", "5e-324"}, {"4294967296", "1"}, {"0", "5e-324"}};
    for (size_t i = 0; i < G_N_ELEMENTS(splits); i++) {
        char *const text = g_strdup_printf("{\"version\":7,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\",\"timeout_"
                                           "ms\":1,\"traffic_split\":[{\"service\":\"s0\",\"weight\":%s},"
                                           "{\"service\":\"s1\",\"weight\":%s}]}]," SERVICES "}",
                                           splits[i][0], splits[i][1]);
        route_table_t *const table = read_text(text, false);
        g_assert_nonnull(table);
        const route_t *const route = route_table_find(table, "h", "/x");
        unsigned firsts = 0;
        for (guint draw = 0; draw < DRAWS; draw++)
            firsts += index_of(route_pick_service(route, (double)draw / DRAWS)) == 0;
        static const unsigned expected[] = {DRAWS, DRAWS / 2, DRAWS / 2, DRAWS, 0};
        g_assert_cmpuint(firsts, ==, expected[i]);
        route_table_unref(table);
        g_free(text);
    }
}

/* ===== Other figures ===== */

/** @param timeout, attempts, rate of time-outs, attempts and caps, as JSON */
static char *figures_text(const char *timeout, const char *attempts, const char *rate)
{
    return g_strdup_printf("{\"version\":7,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\",\"timeout_ms\":%s,"
                           "\"max_attempts\":%s,\"service\":\"s0\"}],\"tenants\":[{\"name\":\"w\",\"rate_per_s\":%s,"
                           "\"plain_tokens\":%s,\"unit\":\"token_stream\"}]," SERVICES "}",
                           timeout, attempts, rate, rate);
}

/** A fraction of a unit became 0, which means something else; figures that were no numbers counted as missing. */
static void test_figures(void)
{
    static const struct {
        const char *timeout, *attempts, *rate;
        tc_time_t used_timeout; /* 0: refused */
        uint32_t used_attempts;
        double used_cost;
    } cases[] = {
        {"1", "1", "1", 1, 1, 1},
        {"0.25", "0.5", "0.2", 1, 1, 1},
        {"1e300", "1e300", "1e300", 24 * 3600 * 1000, UINT32_MAX, 100000000},
        {"4294967297", "4294967297", "4294967297", 24 * 3600 * 1000, UINT32_MAX, 100000000},
        {"5", "null", "null", 5, 1, 0},
        {"0", "1", "1", 0, 0, 0},
        {"-1", "1", "1", 0, 0, 0},
        {"\"5\"", "1", "1", 0, 0, 0},
        {"5", "-1", "1", 0, 0, 0},
        {"5", "true", "1", 0, 0, 0},
        {"5", "1", "-0.001", 0, 0, 0},
        {"5", "1", "[1]", 0, 0, 0},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *const text = figures_text(cases[i].timeout, cases[i].attempts, cases[i].rate);
        route_table_t *const table = read_text(text, false);
        g_assert_cmpint(table != NULL, ==, cases[i].used_timeout > 0);
        if (table) {
            const route_t *const route = route_table_find(table, "h", "/");
            g_assert_cmpint(route->timeout, ==, cases[i].used_timeout);
            g_assert_cmpuint(route->max_attempts, ==, cases[i].used_attempts);
            const cap_t *const cap = &workspaces_at(table->workspaces, 0)->cap;
            g_assert_cmpfloat(cap->default_cost, ==, cases[i].used_cost);
            g_assert_true(isfinite(cap->rate) && (cap->rate > 0) == (cases[i].used_cost > 0));
        }
        route_table_unref(table);
        g_free(text);
    }
}

/* ===== What another build accepted ===== */

/** A box met a route without a service that a control box of an earlier build had accepted, and ended. */
static void test_accepted_by_an_earlier_build(void)
{
    static const char *const weights[] = {"0", "-3", "\"90\"", "null"};
    for (size_t i = 0; i < G_N_ELEMENTS(weights); i++) {
        char *const text =
            g_strdup_printf("{\"version\":7,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\",\"timeout_"
                            "ms\":9,\"traffic_split\":[{\"service\":\"s0\",\"weight\":%s}]}]," SERVICES "}",
                            weights[i]);
        g_assert_null(read_text(text, false));
        route_table_t *const table = read_text(text, true);
        g_assert_nonnull(table);
        g_assert_null(route_pick_service(route_table_find(table, "h", "/"), 0.5));
        route_table_unref(table);
        g_free(text);
    }
}

/* ===== Fuzzing ===== */

static const char *const pieces[] = {"0",     "1e-320", "-1",    "1e308", "0.0004", "4294967296", "9223372036854775807",
                                     "null",  "\"\"",   "true",  "[]",    "{}",     "\"s4\"",     "\"s0\"",
                                     "1e400", "\"/\"",  "\"h\"", "900",   "0.5",    "\"é\""};

/** Replaces a value of a valid configuration by one of the pieces, or a byte by any. */
static char *mutate(GRand *random, const char *text)
{
    GString *const to = g_string_new(text);
    for (int i = g_rand_int_range(random, 1, 4); i > 0; i--) {
        const char *const colon = strchr(to->str + g_rand_int_range(random, 0, (gint32)to->len / 2), ':');
        if (!colon || g_rand_int_range(random, 0, 8) == 0) {
            to->str[g_rand_int_range(random, 0, (gint32)to->len)] = (char)g_rand_int_range(random, 1, 256);
            continue;
        }
        const gssize at = colon + 1 - to->str;
        g_string_erase(to, at, (gssize)strcspn(to->str + at, ",]}"));
        g_string_insert(to, at, pieces[g_rand_int_range(random, 0, G_N_ELEMENTS(pieces))]);
    }
    return g_string_free(to, FALSE);
}

/** Uses each part of an accepted configuration as a box does. */
static void use_table(GRand *random, route_table_t *table)
{
    for (guint i = 0; i < table->routes->len; i++) {
        const route_t *const route = g_ptr_array_index(table->routes, i);
        g_assert_cmpint(route->timeout, >, 0);
        for (guint draw = 0; draw < DRAWS; draw++) {
            const char *const service = route_pick_service(route, g_rand_double(random));
            g_assert_nonnull(service);
            g_assert_nonnull(route_table_service(table, service));
        }
        g_assert_cmpuint(route_table_urgency(table, "s0", route->priority, 0), <=, 9);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, table->services);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const route_service_t *const service = value;
        g_assert_true(isfinite(service->link_tokens_s) && service->link_tokens_s >= 0);
        g_assert_true(isfinite(service->cold_rate) && service->cold_rate >= 0);
    }
}

/** What the control boxes accept, every box can read and use. */
static void test_accepted_is_usable(void)
{
    const seed_range_t seeds = part_seeds(300);
    const guint units[] = {90, 10, 0, 0, 7};
    char *const valid = split_text(units, G_N_ELEMENTS(units), 0);
    unsigned accepted = 0;
    for (guint32 seed = seeds.first; seed < seeds.first + seeds.count; seed++) {
        GRand *const random = g_rand_new_with_seed(seed);
        for (int i = 0; i < 20; i++) {
            char *const text = mutate(random, valid);
            route_table_t *const table = read_text(text, false);
            route_table_t *const again = table ? read_text(text, true) : NULL;
            if (table && !again)
                g_error("seed %u: accepted, but not read by boxes: %s", seed, text);
            if (table)
                use_table(random, table);
            if (again)
                use_table(random, again);
            accepted += table != NULL;
            route_table_unref(table);
            route_table_unref(again);
            g_free(text);
        }
        g_rand_free(random);
    }
    g_free(valid);
    g_test_message("%u accepted", accepted);
    g_assert_cmpuint(accepted, >, seeds.count);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/config/random/weights-keep-their-ratio", test_weights_keep_their_ratio);
    g_test_add_func("/config/random/weights-far-apart", test_weights_far_apart);
    g_test_add_func("/config/random/figures", test_figures);
    g_test_add_func("/config/random/accepted-by-an-earlier-build", test_accepted_by_an_earlier_build);
    g_test_add_func("/config/random/accepted-is-usable", test_accepted_is_usable);
    return g_test_run();
}
