#include "common/json_stream.h"

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <yajl/yajl_parse.h>

/* ===== Types ===== */

enum { DEPTH_MAX = 32 }; /* nesting within one member or element */

struct json_stream {
    yajl_handle parser;
    json_stream_fn_t fn;
    void *arg;
    tc_err_t *err;
    GHashTable *seen; /* names of the members parsed so far */
    char *member;     /* name of the current one */
    bool inside;      /* the outermost object has started */
    bool listing;     /* the current member is a list */
    bool skipping;    /* its elements are skipped */
    unsigned skipped; /* objects and lists open in a skipped element */
    GPtrArray *open;  /* json_t of the objects and lists being built, outermost first */
    GPtrArray *keys;  /* key of the next value, one for each open object or list; NULL in lists */
    bool failed;
};

/* ===== Errors ===== */

static int fail(json_stream_t *s, const char *why)
{
    if (!s->failed)
        (void)tc_err_set(s->err, TC_E_INVALID, "read JSON", s->member ? s->member : "?", "%s", why);
    s->failed = true;
    return 0;
}

/* ===== Building values ===== */

/** Passes a member or an element to the callback and frees it. @return 0 to stop the parser */
static int deliver(json_stream_t *s, json_stream_kind_t kind, json_t *value)
{
    const int rc = s->fn(s->arg, kind, s->member, value, s->err);
    json_decref(value);
    s->failed = s->failed || rc < 0;
    s->skipping = kind == JSON_STREAM_LIST && rc == JSON_STREAM_SKIP;
    return rc >= TC_OK;
}

/** Adds a complete value to its parent, or delivers it when it is outermost. */
static int add_value(json_stream_t *s, json_t *value)
{
    if (!value)
        return fail(s, "a value can't be read");
    if (s->open->len == 0) {
        if (!s->inside) {
            json_decref(value);
            return fail(s, "is no object");
        }
        return deliver(s, s->listing ? JSON_STREAM_ELEMENT : JSON_STREAM_VALUE, value);
    }
    json_t *const parent = g_ptr_array_index(s->open, s->open->len - 1);
    const char *const key = g_ptr_array_index(s->keys, s->keys->len - 1);
    const int rc =
        json_is_object(parent) ? json_object_set_new(parent, key, value) : json_array_append_new(parent, value);
    return rc == 0 ? 1 : fail(s, "a value can't be kept");
}

static int begin_value(json_stream_t *s, json_t *value)
{
    if (s->open->len >= DEPTH_MAX) {
        json_decref(value);
        return fail(s, "values lie too deep in each other");
    }
    g_ptr_array_add(s->open, value);
    g_ptr_array_add(s->keys, NULL);
    return 1;
}

static int end_value(json_stream_t *s)
{
    json_t *const value = g_ptr_array_remove_index(s->open, s->open->len - 1);
    g_free(g_ptr_array_remove_index(s->keys, s->keys->len - 1));
    return add_value(s, value);
}

/* ===== Parser events ===== */

static bool is_skipping(const json_stream_t *s)
{
    return s->skipping;
}

static int on_null(void *arg)
{
    return is_skipping(arg) ? 1 : add_value(arg, json_null());
}

static int on_boolean(void *arg, int value)
{
    return is_skipping(arg) ? 1 : add_value(arg, json_boolean(value));
}

static int on_number(void *arg, const char *text, size_t size)
{
    char copy[64];
    if (is_skipping(arg))
        return 1;
    if (size >= sizeof(copy))
        return fail(arg, "a number is too long");
    memcpy(copy, text, size);
    copy[size] = '\0';
    if (strpbrk(copy, ".eE"))
        return add_value(arg, json_real(g_ascii_strtod(copy, NULL))); /* NULL, and so refused, when out of range */
    errno = 0;
    const gint64 value = g_ascii_strtoll(copy, NULL, 10);
    return errno ? fail(arg, "a number is out of range") : add_value(arg, json_integer(value));
}

static int on_string(void *arg, const unsigned char *text, size_t size)
{
    if (is_skipping(arg))
        return 1;
    if (memchr(text, '\0', size))
        return fail(arg, "a string holds a zero byte");
    return add_value(arg, json_stringn((const char *)text, size));
}

static int on_key(void *arg, const unsigned char *text, size_t size)
{
    json_stream_t *const s = arg;
    if (s->skipping)
        return 1;
    char *const key = g_strndup((const char *)text, size);
    if (s->open->len > 0) {
        char **const slot = (char **)&g_ptr_array_index(s->keys, s->keys->len - 1);
        g_free(*slot);
        *slot = key;
        return 1;
    }
    g_free(s->member);
    s->member = key;
    return g_hash_table_add(s->seen, g_strdup(key)) ? 1 : fail(s, "is there twice");
}

static int on_object(void *arg)
{
    json_stream_t *const s = arg;
    if (s->skipping) {
        s->skipped++;
        return 1;
    }
    if (s->inside)
        return begin_value(s, json_object());
    s->inside = true;
    return 1;
}

static int on_object_end(void *arg)
{
    json_stream_t *const s = arg;
    if (s->skipping) {
        s->skipped--;
        return 1;
    }
    return s->open->len > 0 ? end_value(s) : 1;
}

static int on_list(void *arg)
{
    json_stream_t *const s = arg;
    if (s->skipping) {
        s->skipped++;
        return 1;
    }
    if (!s->inside)
        return fail(s, "is no object");
    if (s->open->len > 0 || s->listing)
        return begin_value(s, json_array());
    s->listing = true;
    return deliver(s, JSON_STREAM_LIST, NULL);
}

static int on_list_end(void *arg)
{
    json_stream_t *const s = arg;
    if (s->skipping && s->skipped > 0) {
        s->skipped--;
        return 1;
    }
    if (s->open->len > 0)
        return end_value(s);
    s->listing = false;
    s->skipping = false;
    return 1;
}

static const yajl_callbacks callbacks = {.yajl_null = on_null,
                                         .yajl_boolean = on_boolean,
                                         .yajl_number = on_number,
                                         .yajl_string = on_string,
                                         .yajl_start_map = on_object,
                                         .yajl_map_key = on_key,
                                         .yajl_end_map = on_object_end,
                                         .yajl_start_array = on_list,
                                         .yajl_end_array = on_list_end};

/* ===== Public functions ===== */

static void free_value(void *value)
{
    json_decref(value);
}

json_stream_t *json_stream_create(json_stream_fn_t fn, void *arg, tc_err_t *err)
{
    json_stream_t *const s = g_new0(json_stream_t, 1);
    s->fn = fn;
    s->arg = arg;
    s->err = err;
    s->seen = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->open = g_ptr_array_new();
    s->keys = g_ptr_array_new();
    s->parser = yajl_alloc(&callbacks, NULL, s);
    if (!s->parser)
        abort();
    return s;
}

bool json_stream_add(json_stream_t *s, const char *data, size_t size)
{
    if (s->failed)
        return false;
    if (yajl_parse(s->parser, (const unsigned char *)data, size) != yajl_status_ok)
        (void)fail(s, "is no JSON");
    return !s->failed;
}

int json_stream_end(json_stream_t *s)
{
    if (!s->failed && (yajl_complete_parse(s->parser) != yajl_status_ok || !s->inside))
        (void)fail(s, "is no JSON, or not whole");
    const int rc = s->failed ? TC_E_INVALID : TC_OK;
    yajl_free(s->parser);
    g_ptr_array_set_free_func(s->open, free_value);
    g_ptr_array_free(s->open, TRUE);
    g_ptr_array_set_free_func(s->keys, g_free);
    g_ptr_array_free(s->keys, TRUE);
    g_hash_table_destroy(s->seen);
    g_free(s->member);
    g_free(s);
    return rc;
}
