/* Numbers from outside: none wraps, and none that is above 0 becomes 0. */

#include <glib.h>
#include <string.h>

#include "common/figure.h"

/** Numbers beyond the largest wrapped or saturated at another one. */
static void test_parse(void)
{
    static const struct {
        const char *text;
        uint64_t most, value;
        const char *rest; /* NULL: no number */
    } cases[] = {{"0", 9, 0, ""},
                 {"12,7", 99, 12, ",7"},
                 {"100x", 99, 99, "x"},
                 {"00042", 99, 42, ""},
                 {"18446744073709551615", UINT64_MAX, UINT64_MAX, ""},
                 {"18446744073709551616", UINT64_MAX, UINT64_MAX, ""},
                 {"99999999999999999999999999", 1000, 1000, ""},
                 {"7", 3, 3, ""},
                 {"5", 0, 0, ""},
                 {"-1", 99, 0, NULL},
                 {"", 99, 0, NULL}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        uint64_t value = 0;
        const char *const rest = figure_parse(cases[i].text, cases[i].most, &value);
        g_assert_cmpstr(rest, ==, cases[i].rest);
        g_assert_cmpuint(value, ==, cases[i].value);
    }
}

static void test_parse_any(void)
{
    GRand *const random = g_rand_new_with_seed(1);
    for (int i = 0; i < 20000; i++) {
        const uint64_t most =
            ((uint64_t)g_rand_int(random) << 32 | g_rand_int(random)) >> g_rand_int_range(random, 0, 64);
        const uint64_t number =
            ((uint64_t)g_rand_int(random) << 32 | g_rand_int(random)) >> g_rand_int_range(random, 0, 64);
        char text[32];
        g_snprintf(text, sizeof(text), "%" G_GUINT64_FORMAT, number);
        uint64_t value = 0;
        g_assert_nonnull(figure_parse(text, most, &value));
        g_assert_cmpuint(value, ==, MIN(number, most));
    }
    g_rand_free(random);
}

static void test_members(void)
{
    json_t *const object = json_pack("{s:f,s:I,s:i,s:s,s:n,s:f}", "small", 1e-9, "large", (json_int_t)1 << 40, "below",
                                     -3, "text", "5", "null", "huge", 1e300);
    g_assert_cmpuint(figure_count(object, "small", 7, 100), ==, 1);
    g_assert_cmpuint(figure_count(object, "large", 7, UINT32_MAX), ==, UINT32_MAX);
    g_assert_cmpuint(figure_count(object, "below", 7, 100), ==, 0);
    g_assert_cmpuint(figure_count(object, "text", 7, 100), ==, 7);
    g_assert_cmpuint(figure_count(object, "missing", 7, 100), ==, 7);
    g_assert_cmpuint(figure_count(NULL, "missing", 7, 100), ==, 7);
    g_assert_cmpint(figure_span(object, "small", 0, 1000), ==, 1);
    g_assert_cmpint(figure_span(object, "huge", 0, 1000), ==, FIGURE_SPAN_MAX_MS);
    g_assert_cmpfloat(figure_amount(object, "huge", 0), ==, FIGURE_AMOUNT_MAX);
    g_assert_cmpfloat(figure_amount(object, "below", 0), ==, 0);
    static const char *const valid[] = {"small", "large", "null", "missing", "huge"}, *const invalid[] = {"below",
                                                                                                          "text"};
    for (size_t i = 0; i < G_N_ELEMENTS(valid); i++)
        g_assert_true(figure_is_valid(object, valid[i]));
    for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
        g_assert_false(figure_is_valid(object, invalid[i]));
    json_decref(object);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/figure/parse", test_parse);
    g_test_add_func("/figure/parse-any", test_parse_any);
    g_test_add_func("/figure/members", test_members);
    return g_test_run();
}
