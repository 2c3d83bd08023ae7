#include "common/figure.h"

#include <glib.h>
#include <math.h>

/* ===== Members of JSON objects ===== */

static double number_of(const json_t *object, const char *key, double fallback)
{
    const json_t *const value = json_object_get(object, key);
    return json_is_number(value) ? json_number_value(value) : fallback;
}

bool figure_is_valid(const json_t *object, const char *key)
{
    const json_t *const value = json_object_get(object, key);
    return !value || json_is_null(value) || (json_is_number(value) && json_number_value(value) >= 0);
}

uint32_t figure_count(const json_t *object, const char *key, uint32_t fallback, uint32_t most)
{
    return (uint32_t)CLAMP(ceil(number_of(object, key, fallback)), 0, most);
}

tc_time_t figure_span(const json_t *object, const char *key, double fallback, double unit)
{
    return (tc_time_t)CLAMP(ceil(number_of(object, key, fallback) * unit), 0, FIGURE_SPAN_MAX_MS);
}

double figure_amount(const json_t *object, const char *key, double fallback)
{
    return CLAMP(number_of(object, key, fallback), 0, FIGURE_AMOUNT_MAX);
}

/* ===== Texts ===== */

const char *figure_parse(const char *text, uint64_t most, uint64_t *value)
{
    if (!g_ascii_isdigit(*text))
        return NULL;
    uint64_t sum = 0;
    for (; g_ascii_isdigit(*text); text++) {
        const uint64_t digit = (uint64_t)(*text - '0');
        sum = sum > (most - MIN(digit, most)) / 10 ? most : 10 * sum + digit;
    }
    *value = MIN(sum, most);
    return text;
}
