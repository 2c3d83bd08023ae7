#include "common/json_salvage.h"

#include <stdbool.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

enum {
    KINDS_CHECKED = 64 * 1024, /* levels of nesting at which a closing bracket must be of the opening one's kind */
    KINDS_PER_BYTE = 8
};

/* ===== Extents ===== */

typedef struct {
    const char *at, *end;
} span_t;

static bool is_one_of(char c, const char *set)
{
    return c != '\0' && strchr(set, c);
}

static bool is_space(char c)
{
    return is_one_of(c, " \t\n\r");
}

static const char *skip_space(const char *at, const char *end)
{
    while (at < end && is_space(*at))
        at++;
    return at;
}

/** @return the position behind the text that begins at @p at, or NULL when it does not end */
static const char *skip_text(const char *at, const char *end)
{
    for (at++; at < end; at++) {
        if (*at == '"')
            return at + 1;
        at += *at == '\\'; /* whatever is escaped does not end it */
    }
    return NULL;
}

/** Open brackets. */
typedef struct {
    unsigned depth;
    uint8_t is_array[KINDS_CHECKED / KINDS_PER_BYTE]; /* one bit a level */
} nesting_t;

static void open_bracket(nesting_t *n, bool is_array)
{
    const unsigned level = n->depth++;
    if (level >= KINDS_CHECKED)
        return;
    uint8_t *const byte = &n->is_array[level / KINDS_PER_BYTE];
    const uint8_t bit = (uint8_t)(1U << (level % KINDS_PER_BYTE));
    *byte = (uint8_t)(is_array ? *byte | bit : *byte & ~bit);
}

/** @return false when there is no such bracket to close */
static bool close_bracket(nesting_t *n, bool is_array)
{
    if (n->depth == 0)
        return false;
    const unsigned level = --n->depth;
    const unsigned byte = level < KINDS_CHECKED ? n->is_array[level / KINDS_PER_BYTE] : 0;
    return level >= KINDS_CHECKED || ((byte >> (level % KINDS_PER_BYTE)) & 1U) == is_array;
}

/** Whether a text may begin behind that character, or a character follow one. Otherwise a quote is missing, or one too
 *  many, and what is within texts cannot be told from what is not. */
static bool may_border_text(char before, char after)
{
    return before == '"' ? is_one_of(after, ",:]}") : after != '"' || is_one_of(before, "[{,:");
}

/** Handles the character at @p at, which is no space. @return the position behind it, or behind the text that begins
 *  there; NULL when the end of the value cannot be told */
static const char *skip_token(nesting_t *nesting, const char *at, const char *end)
{
    switch (*at) {
    case '"': return skip_text(at, end);
    case '[':
    case '{': open_bracket(nesting, *at == '['); return at + 1;
    case ']':
    case '}': return close_bracket(nesting, *at == ']') ? at + 1 : NULL;
    default: return at + 1;
    }
}

/** @return the position behind the value that begins at @p at, which is not empty; NULL when its end cannot be told */
static const char *skip_value(const char *at, const char *end)
{
    nesting_t nesting;
    nesting.depth = 0; /* the kinds are set as brackets open */
    const char *const begin = at;
    char before = '['; /* as within an array: a text may follow */
    while (at < end) {
        const bool ends = nesting.depth == 0 && is_one_of(*at, ",]}");
        if ((ends && at == begin) || !may_border_text(before, *at))
            return NULL;
        if (ends || (nesting.depth == 0 && is_space(*at)))
            return at;
        before = *at;
        at = skip_token(&nesting, at, end);
        if (!at)
            return NULL;
        if (nesting.depth == 0 && is_one_of(before, "\"]}"))
            return at;
        if (nesting.depth > 0)
            at = skip_space(at, end);
    }
    return NULL;
}

/** Finds the next element of an array or member of an object. @param rest behind the opening bracket, or behind the
 *  element before; set behind this one @param close the closing bracket @param found the element, empty when there is
 *  none left @return false when the array or object is not whole */
static bool next_value(span_t *rest, char close, bool is_first, span_t *found)
{
    const char *at = skip_space(rest->at, rest->end);
    *found = (span_t){at, at};
    if (at == rest->end)
        return false;
    if (*at == close) {
        rest->at = at + 1;
        return true;
    }
    if (!is_first) {
        if (*at != ',')
            return false;
        at = skip_space(at + 1, rest->end);
    }
    found->at = at;
    found->end = at < rest->end ? skip_value(at, rest->end) : NULL;
    rest->at = found->end;
    return found->end != NULL;
}

/** Finds the value of a member behind its name. @return false when there is none */
static bool next_member_value(span_t *rest, span_t *value)
{
    const char *at = skip_space(rest->at, rest->end);
    if (at == rest->end || *at != ':')
        return false;
    at = skip_space(at + 1, rest->end);
    const char *const end = at < rest->end ? skip_value(at, rest->end) : NULL;
    *value = (span_t){at, end};
    rest->at = end;
    return end != NULL;
}

/* ===== Reading ===== */

typedef struct {
    json_salvage_t what;
    GArray *left_out; /* or NULL */
} salvage_t;

static json_t *parse(span_t span, json_error_t *error)
{
    return json_loadb(span.at, (size_t)(span.end - span.at), JSON_DECODE_ANY | JSON_ALLOW_NUL, error);
}

/** The member "id" of an object that cannot be read as a whole. */
static void read_id(span_t element, char *id, size_t size)
{
    span_t rest = {element.at + 1, element.end}, name, value;
    id[0] = '\0';
    if (*element.at != '{')
        return;
    for (bool first = true; next_value(&rest, '}', first, &name) && name.at < name.end; first = false) {
        if (!next_member_value(&rest, &value))
            return;
        const bool is_id = (size_t)(name.end - name.at) == strlen("\"id\"") && memcmp(name.at, "\"id\"", 4) == 0;
        json_t *const text = is_id ? parse(value, NULL) : NULL;
        if (json_is_string(text))
            g_strlcpy(id, json_string_value(text), size);
        json_decref(text);
    }
}

static void leave_out(const salvage_t *s, span_t element, const json_error_t *error)
{
    json_left_out_t left = {.size = (size_t)(element.end - element.at)};
    if (!s->left_out)
        return;
    left.hash = XXH3_64bits(element.at, left.size);
    read_id(element, left.id, sizeof(left.id));
    g_strlcpy(left.why, error->text, sizeof(left.why));
    g_array_append_val(s->left_out, left);
}

/** @return the array without the elements that cannot be read; NULL when it is not whole */
static json_t *salvage_array(const salvage_t *s, span_t array)
{
    json_t *const list = json_array();
    span_t rest = {array.at + 1, array.end}, element;
    json_error_t error;
    bool whole = true;
    for (bool first = true; (whole = next_value(&rest, ']', first, &element)) && element.at < element.end;
         first = false) {
        json_t *const value = parse(element, &error);
        if (value)
            json_array_append_new(list, value);
        else
            leave_out(s, element, &error);
    }
    if (whole && rest.at == array.end)
        return list;
    json_decref(list);
    return NULL;
}

/** Adds a member, or leaves it out. @return false when that makes the object unreadable */
static bool salvage_member(const salvage_t *s, json_t *object, span_t name, span_t value)
{
    json_error_t error;
    json_t *const key = parse(name, &error);
    if (!json_is_string(key) || strlen(json_string_value(key)) != json_string_length(key)) {
        json_decref(key);
        leave_out(s, name, &error);
        return s->what == JSON_SALVAGE_MEMBERS;
    }
    json_t *read = parse(value, &error);
    if (!read && *value.at == '[')
        read = salvage_array(s, value);
    else if (!read)
        leave_out(s, value, &error);
    const bool is_read = read != NULL;
    if (read)
        json_object_set_new(object, json_string_value(key), read);
    json_decref(key);
    return is_read || s->what == JSON_SALVAGE_MEMBERS;
}

static bool salvage_members(const salvage_t *s, json_t *object, span_t text)
{
    span_t rest = {skip_space(text.at, text.end), text.end}, name, value;
    if (rest.at == rest.end || *rest.at != '{')
        return false;
    rest.at++;
    for (bool first = true; next_value(&rest, '}', first, &name); first = false) {
        if (name.at == name.end)
            return skip_space(rest.at, rest.end) == rest.end; /* nothing may follow */
        if (!next_member_value(&rest, &value) || !salvage_member(s, object, name, value))
            return false;
    }
    return false;
}

json_t *json_salvage(const char *text, size_t size, json_salvage_t what, GArray *left_out, tc_err_t *err)
{
    json_error_t error;
    json_t *object = json_loadb(text, size, JSON_ALLOW_NUL, &error);
    if (json_is_object(object))
        return object;
    const bool is_other = object != NULL;
    json_decref(object);
    const salvage_t s = {.what = what, .left_out = left_out};
    object = json_object();
    if (!is_other && salvage_members(&s, object, (span_t){text, text + size}))
        return object;
    json_decref(object);
    tc_err_set(err, TC_E_INVALID, "read JSON", NULL, "no whole object: %s", is_other ? "another type" : error.text);
    return NULL;
}
