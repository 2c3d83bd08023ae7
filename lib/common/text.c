#include "common/text.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"

enum { CHARACTER_MAX = 4 };

/** Bytes that a character with this first byte has; 1 for bytes that begin none. */
static size_t length_by_first(unsigned char first)
{
    if (first >= 0xf0 && first < 0xf8)
        return 4;
    if (first >= 0xe0 && first < 0xf0)
        return 3;
    return first >= 0xc0 && first < 0xe0 ? 2 : 1;
}

size_t text_character(const char *bytes, size_t size)
{
    const size_t length = size > 0 ? length_by_first((unsigned char)*bytes) : 0;
    return length > 0 && length <= size && g_utf8_validate(bytes, (gssize)length, NULL) ? length : 0;
}

size_t text_cut(const char *bytes, size_t size)
{
    size_t first = size;
    while (first > 0 && size - first < CHARACTER_MAX - 1 && ((unsigned char)bytes[first - 1] & 0xc0) == 0x80)
        first--;
    if (first == 0)
        return size;
    return length_by_first((unsigned char)bytes[first - 1]) > size - first + 1 ? first - 1 : size;
}

void text_trim(char *text)
{
    text[text_cut(text, strlen(text))] = '\0';
}

json_t *text_to_json_n(const char *bytes, size_t size)
{
    json_t *value = json_stringn(bytes, size);
    if (value)
        return value;
    char *const valid = g_utf8_make_valid(bytes, (gssize)size);
    value = json_string(valid);
    g_free(valid);
    if (!value)
        abort(); /* out of memory is not recoverable here */
    return value;
}

json_t *text_to_json(const char *text)
{
    return text_to_json_n(text, strlen(text));
}

char *text_from_json(json_t *value)
{
    char *text = value ? json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY) : NULL;
    json_decref(value);
    if (text)
        return text;
    const tc_err_t err = {.code = TC_E_INVALID, .step = "write JSON", .detail = "a value is missing or no valid UTF-8"};
    log_failure(LOG_ERROR, "json_unwritable", &err);
    text = strdup("{}");
    if (!text)
        abort(); /* out of memory is not recoverable here */
    return text;
}
