/* Bytes from outside as text: where they are cut, and how they become JSON and log lines. */

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "common/log.h"
#include "common/text.h"
#include "harness/log_check.h"

enum { ROUNDS = 3000, BYTES_MAX = 400 };

/** Random valid UTF-8. @return heap text */
static char *random_text(GRand *random)
{
    static const gunichar lasts[] = {0x7e, 0x7ff, 0xd7ff, 0x10ffff};
    GString *const text = g_string_new(NULL);
    const int size = g_rand_int_range(random, 1, BYTES_MAX);
    while ((int)text->len < size) {
        const gunichar c = (gunichar)g_rand_int_range(random, 0x20, (gint32)lasts[g_rand_int_range(random, 0, 4)] + 1);
        if (g_unichar_validate(c))
            g_string_append_unichar(text, c);
    }
    return g_string_free(text, FALSE);
}

/** Any bytes but 0. @return heap text */
static char *random_bytes(GRand *random)
{
    const int size = g_rand_int_range(random, 0, BYTES_MAX);
    char *const bytes = g_malloc((gsize)size + 1);
    for (int i = 0; i < size; i++)
        bytes[i] = (char)g_rand_int_range(random, 1, 256);
    bytes[size] = '\0';
    return bytes;
}

static void test_cut(void)
{
    GRand *const random = g_rand_new_with_seed(1);
    for (int round = 0; round < ROUNDS; round++) {
        char *const text = random_text(random);
        const size_t size = strlen(text);
        for (size_t at = 0; at <= size; at++) {
            const size_t cut = text_cut(text, at);
            g_assert_cmpuint(cut, <=, at);
            g_assert_cmpuint(at - cut, <, 4);
            g_assert_true(g_utf8_validate(text, (gssize)cut, NULL));
            g_assert_true(cut == at || !g_utf8_validate(text, (gssize)at, NULL));
        }
        g_free(text);
    }
    g_rand_free(random);
}

/** An error text that was cut within a character made no JSON, and its answer ended the process. */
static void test_errors_are_cut_at_a_character(void)
{
    GRand *const random = g_rand_new_with_seed(2);
    for (int round = 0; round < ROUNDS; round++) {
        char *const text = random_text(random);
        tc_err_t err;
        tc_err_set(&err, TC_E_INVALID, "test", text, "%s", text);
        g_assert_true(g_utf8_validate(err.peer, -1, NULL));
        g_assert_true(g_utf8_validate(err.detail, -1, NULL));
        g_assert_true(g_str_has_prefix(text, err.peer));
        g_free(text);
    }
    g_rand_free(random);
}

static void test_json(void)
{
    GRand *const random = g_rand_new_with_seed(3);
    for (int round = 0; round < ROUNDS; round++) {
        char *const bytes = random_bytes(random);
        char *const text = text_from_json(json_pack("{s:o}", "bytes", text_to_json(bytes)));
        json_t *const parsed = json_loads(text, 0, NULL);
        g_assert_nonnull(json_string_value(json_object_get(parsed, "bytes")));
        if (g_utf8_validate(bytes, -1, NULL))
            g_assert_cmpstr(json_string_value(json_object_get(parsed, "bytes")), ==, bytes);
        json_decref(parsed);
        free(text);
        g_free(bytes);
    }
    g_rand_free(random);
    char *const missing = text_from_json(json_pack("{s:s}", "bytes", "\xc3"));
    g_assert_cmpstr(missing, ==, "{}");
    free(missing);
}

/** Lines that quoted bytes which are no UTF-8, or a number that is none, were no JSON; a large number was written
 * beyond its buffer. */
static void test_log_lines(void)
{
    static const double numbers[] = {0, -0.5, 1e14, 1e308, -1e308, INFINITY, -INFINITY, NAN};
    GRand *const random = g_rand_new_with_seed(4);
    log_check_begin();
    for (int round = 0; round < ROUNDS; round++) {
        log_line_t line;
        log_begin(&line, LOG_INFO, "test");
        for (int i = g_rand_int_range(random, 0, 12); i > 0; i--) {
            char *const bytes = random_bytes(random);
            log_str(&line, "bytes", bytes);
            log_num(&line, "number", numbers[g_rand_int_range(random, 0, G_N_ELEMENTS(numbers))]);
            log_int(&line, "count", g_rand_int(random));
            g_free(bytes);
        }
        log_end(&line);
    }
    g_assert_cmpuint(log_check_end(), ==, ROUNDS);
    g_rand_free(random);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/text/cut", test_cut);
    g_test_add_func("/text/errors-are-cut-at-a-character", test_errors_are_cut_at_a_character);
    g_test_add_func("/text/json", test_json);
    g_test_add_func("/text/log-lines", test_log_lines);
    return g_test_run();
}
