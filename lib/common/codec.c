#include "common/codec.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/text.h"

/* ===== Access to fields ===== */

static void *field_at(const void *object, const codec_field_t *field)
{
    return (char *)(uintptr_t)object + field->offset;
}

static uint32_t *count_at(const void *object, const codec_field_t *field)
{
    return (uint32_t *)(void *)((char *)(uintptr_t)object + field->count_offset);
}

static void *pointer_at(const void *object, const codec_field_t *field)
{
    void *value;
    memcpy(&value, field_at(object, field), sizeof(value));
    return value;
}

static void set_pointer(void *object, const codec_field_t *field, void *value, size_t count)
{
    memcpy(field_at(object, field), &value, sizeof(value));
    *count_at(object, field) = (uint32_t)count;
}

static void set_number(void *object, const codec_field_t *field, double value)
{
    void *at = field_at(object, field);
    switch (field->kind) {
    case CODEC_U32: *(uint32_t *)at = (uint32_t)value; break;
    case CODEC_U64: *(uint64_t *)at = (uint64_t)value; break;
    case CODEC_I64: *(int64_t *)at = (int64_t)value; break;
    case CODEC_F64: *(double *)at = value; break;
    case CODEC_BOOL: *(bool *)at = value != 0; break;
    case CODEC_ENUM: *(unsigned *)at = (unsigned)value; break;
    default: break;
    }
}

static void set_defaults(const codec_desc_t *desc, void *object)
{
    memset(object, 0, desc->size);
    for (size_t i = 0; i < desc->n_fields; i++) {
        const codec_field_t *field = &desc->fields[i];
        if (field->kind == CODEC_STRUCT)
            set_defaults(field->sub, field_at(object, field));
        else if (field->kind == CODEC_STR && field->def_text)
            codec_copy_string(field_at(object, field), field->size, field->def_text);
        else
            set_number(object, field, field->def);
    }
}

void codec_copy_string(char *to, size_t size, const char *from)
{
    const size_t length = strnlen(from, size - 1);
    memmove(to, from, length);
    to[length] = '\0';
}

void codec_set_text(char **field, uint32_t *count, const char *data, size_t size)
{
    char *copy = malloc(size + 1);
    if (!copy)
        abort(); /* out of memory is not recoverable here */
    if (size)
        memcpy(copy, data, size);
    copy[size] = '\0';
    free(*field);
    *field = copy;
    *count = (uint32_t)size;
}

void codec_free(const codec_desc_t *desc, void *object)
{
    for (size_t i = 0; i < desc->n_fields; i++) {
        const codec_field_t *field = &desc->fields[i];
        switch (field->kind) {
        case CODEC_STRUCT: codec_free(field->sub, field_at(object, field)); break;
        case CODEC_LIST:
        case CODEC_MAP:
            for (uint32_t k = 0; k < *count_at(object, field); k++)
                codec_free(field->sub, (char *)pointer_at(object, field) + k * field->sub->size);
            free(pointer_at(object, field));
            break;
        case CODEC_TEXT:
        case CODEC_U64LIST: free(pointer_at(object, field)); break;
        default: break;
        }
    }
    memset(object, 0, desc->size);
}

/* ===== msgpack ===== */

static void pack_bytes(msgpack_packer *packer, const char *data, size_t size)
{
    msgpack_pack_str(packer, size);
    msgpack_pack_str_body(packer, data, size);
}

static void pack_field(const codec_field_t *field, const void *object, msgpack_packer *packer)
{
    const void *at = field_at(object, field);
    switch (field->kind) {
    case CODEC_U32: msgpack_pack_uint32(packer, *(const uint32_t *)at); break;
    case CODEC_U64: msgpack_pack_uint64(packer, *(const uint64_t *)at); break;
    case CODEC_I64: msgpack_pack_int64(packer, *(const int64_t *)at); break;
    case CODEC_F64: msgpack_pack_double(packer, *(const double *)at); break;
    case CODEC_BOOL: *(const bool *)at ? msgpack_pack_true(packer) : msgpack_pack_false(packer); break;
    case CODEC_ENUM: msgpack_pack_uint32(packer, *(const unsigned *)at); break;
    case CODEC_STR: pack_bytes(packer, at, strnlen(at, field->size - 1)); break;
    case CODEC_TEXT: pack_bytes(packer, pointer_at(object, field), *count_at(object, field)); break;
    case CODEC_U64LIST: {
        const uint64_t *items = pointer_at(object, field);
        msgpack_pack_array(packer, *count_at(object, field));
        for (uint32_t i = 0; i < *count_at(object, field); i++)
            msgpack_pack_uint64(packer, items[i]);
        break;
    }
    case CODEC_STRUCT: codec_pack(field->sub, at, packer); break;
    case CODEC_LIST:
    case CODEC_MAP:
        msgpack_pack_array(packer, *count_at(object, field));
        for (uint32_t i = 0; i < *count_at(object, field); i++)
            codec_pack(field->sub, (const char *)pointer_at(object, field) + i * field->sub->size, packer);
        break;
    }
}

void codec_pack(const codec_desc_t *desc, const void *object, msgpack_packer *packer)
{
    msgpack_pack_array(packer, desc->n_fields);
    for (size_t i = 0; i < desc->n_fields; i++)
        pack_field(&desc->fields[i], object, packer);
}

/** Reads any msgpack number or boolean. @return false for another type */
static bool read_number(const msgpack_object *from, double *value)
{
    switch (from->type) {
    case MSGPACK_OBJECT_POSITIVE_INTEGER: *value = (double)from->via.u64; return true;
    case MSGPACK_OBJECT_NEGATIVE_INTEGER: *value = (double)from->via.i64; return true;
    case MSGPACK_OBJECT_FLOAT32:
    case MSGPACK_OBJECT_FLOAT64: *value = from->via.f64; return true;
    case MSGPACK_OBJECT_BOOLEAN: *value = from->via.boolean ? 1 : 0; return true;
    default: return false;
    }
}

static int bad_field(const codec_desc_t *desc, const codec_field_t *field, tc_err_t *err)
{
    return tc_err_set(err, TC_E_INVALID, "unpack", desc->name, "field %s has the wrong type or range", field->name);
}

static int unpack_number(const codec_desc_t *desc, const codec_field_t *field, void *object, const msgpack_object *from,
                         tc_err_t *err)
{
    double value;
    if (!read_number(from, &value) || !(value >= field->min && value <= field->max)) {
        /* Hash chains and incarnations use all 64 bits, which a double cannot hold. */
        if (field->kind != CODEC_U64 || from->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
            return bad_field(desc, field, err);
    }
    if (field->kind == CODEC_U64 && from->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
        *(uint64_t *)field_at(object, field) = from->via.u64;
    else
        set_number(object, field, value);
    return TC_OK;
}

static int unpack_u64list(const codec_desc_t *desc, const codec_field_t *field, void *object,
                          const msgpack_object *from, tc_err_t *err)
{
    if (from->type != MSGPACK_OBJECT_ARRAY || from->via.array.size > CODEC_LIST_MAX)
        return bad_field(desc, field, err);
    const uint32_t n = from->via.array.size;
    uint64_t *items = calloc(n ? n : 1, sizeof(*items));
    if (!items)
        return tc_err_set(err, TC_E_NOMEM, "unpack", desc->name, "field %s", field->name);
    set_pointer(object, field, items, n);
    for (uint32_t i = 0; i < n; i++) {
        if (from->via.array.ptr[i].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
            return bad_field(desc, field, err);
        items[i] = from->via.array.ptr[i].via.u64;
    }
    return TC_OK;
}

static int unpack_struct(const codec_desc_t *desc, void *object, const msgpack_object *from, tc_err_t *err);

static int unpack_list(const codec_desc_t *desc, const codec_field_t *field, void *object, const msgpack_object *from,
                       tc_err_t *err)
{
    if (from->type != MSGPACK_OBJECT_ARRAY || from->via.array.size > CODEC_LIST_MAX)
        return bad_field(desc, field, err);
    const uint32_t n = from->via.array.size;
    char *items = calloc(n ? n : 1, field->sub->size);
    if (!items)
        return tc_err_set(err, TC_E_NOMEM, "unpack", desc->name, "field %s", field->name);
    set_pointer(object, field, items, n);
    for (uint32_t i = 0; i < n; i++)
        TC_CHECK(unpack_struct(field->sub, items + i * field->sub->size, &from->via.array.ptr[i], err));
    return TC_OK;
}

static int unpack_field(const codec_desc_t *desc, const codec_field_t *field, void *object, const msgpack_object *from,
                        tc_err_t *err)
{
    switch (field->kind) {
    case CODEC_STR:
        if (from->type != MSGPACK_OBJECT_STR || from->via.str.size >= field->size)
            return bad_field(desc, field, err);
        if (from->via.str.size > 0) /* the pointer of an empty string may be NULL */
            memcpy(field_at(object, field), from->via.str.ptr, from->via.str.size);
        ((char *)field_at(object, field))[from->via.str.size] = '\0';
        return TC_OK;
    case CODEC_TEXT:
        if (from->type != MSGPACK_OBJECT_STR)
            return bad_field(desc, field, err);
        codec_set_text((char **)field_at(object, field), count_at(object, field), from->via.str.ptr,
                       from->via.str.size);
        return TC_OK;
    case CODEC_U64LIST: return unpack_u64list(desc, field, object, from, err);
    case CODEC_STRUCT: return unpack_struct(field->sub, field_at(object, field), from, err);
    case CODEC_LIST:
    case CODEC_MAP: return unpack_list(desc, field, object, from, err);
    default: return unpack_number(desc, field, object, from, err);
    }
}

/** As codec_unpack, but on error the outermost caller frees the partly decoded object. */
static int unpack_struct(const codec_desc_t *desc, void *object, const msgpack_object *from, tc_err_t *err)
{
    set_defaults(desc, object);
    if (from->type != MSGPACK_OBJECT_ARRAY)
        return tc_err_set(err, TC_E_INVALID, "unpack", desc->name, "not an array");
    for (size_t i = 0; i < desc->n_fields && i < from->via.array.size; i++)
        TC_CHECK(unpack_field(desc, &desc->fields[i], object, &from->via.array.ptr[i], err));
    return TC_OK;
}

int codec_unpack(const codec_desc_t *desc, void *object, const msgpack_object *from, tc_err_t *err)
{
    const int rc = unpack_struct(desc, object, from, err);
    if (rc < 0)
        codec_free(desc, object);
    return rc;
}

/* ===== JSON, reading ===== */

typedef struct {
    char path[160]; /**< path of the value being read, e.g. "engines.p0.pieces" */
    tc_err_t *err;
} json_reader_t;

static int json_bad(const json_reader_t *reader, const codec_field_t *field, const char *reason)
{
    return tc_err_set(reader->err, TC_E_INVALID, "read settings", reader->path, "%s%s%s", reason,
                      field && field->unit ? ", in " : "", field && field->unit ? field->unit : "");
}

static int json_number(const json_reader_t *reader, const codec_field_t *field, void *object, const json_t *from)
{
    if (field->kind == CODEC_BOOL) {
        if (!json_is_boolean(from))
            return json_bad(reader, field, "must be true or false");
        set_number(object, field, json_is_true(from) ? 1 : 0);
        return TC_OK;
    }
    const bool type_ok = field->kind == CODEC_F64 ? json_is_number(from) : json_is_integer(from);
    const double value = json_number_value(from);
    char reason[96];
    snprintf(reason, sizeof(reason), "must be %s from %.15g to %.15g",
             field->kind == CODEC_F64 ? "a number" : "a whole number", field->min, field->max);
    if (!type_ok || !(value >= field->min && value <= field->max))
        return json_bad(reader, field, reason);
    set_number(object, field, value);
    return TC_OK;
}

static int json_enum(const json_reader_t *reader, const codec_field_t *field, void *object, const json_t *from)
{
    const char *text = json_string_value(from);
    char reason[160] = "must be one of";
    for (unsigned i = 0; field->enum_names[i]; i++) {
        if (text && strcmp(text, field->enum_names[i]) == 0) {
            set_number(object, field, i);
            return TC_OK;
        }
        const size_t used = strlen(reason);
        snprintf(reason + used, sizeof(reason) - used, " %s", field->enum_names[i]);
    }
    return json_bad(reader, field, reason);
}

static int json_text(const json_reader_t *reader, const codec_field_t *field, void *object, const json_t *from)
{
    if (!json_is_string(from))
        return json_bad(reader, field, "must be a string");
    const size_t size = json_string_length(from);
    if (field->kind == CODEC_TEXT) {
        codec_set_text((char **)field_at(object, field), count_at(object, field), json_string_value(from), size);
        return TC_OK;
    }
    if (size >= field->size || strlen(json_string_value(from)) != size)
        return json_bad(reader, field, "is too long or holds a zero byte");
    codec_copy_string(field_at(object, field), field->size, json_string_value(from));
    return TC_OK;
}

static int json_struct(json_reader_t *reader, const codec_desc_t *desc, void *object, const json_t *from,
                       const char *map_key);

/** Appends @p name to the reader's path. @return the old length, at which the caller truncates the path again */
static size_t json_enter(json_reader_t *reader, const char *name)
{
    const size_t old = strlen(reader->path);
    snprintf(reader->path + old, sizeof(reader->path) - old, "%s%s", old ? "." : "", name);
    return old;
}

static int json_map(json_reader_t *reader, const codec_field_t *field, void *object, const json_t *from)
{
    if (!json_is_object(from))
        return json_bad(reader, field, "must be an object of named items");
    const size_t n = json_object_size(from);
    char *items = calloc(n ? n : 1, field->sub->size);
    if (!items)
        return json_bad(reader, field, "out of memory");
    set_pointer(object, field, items, n);
    const char *key;
    json_t *value;
    size_t i = 0;
    json_object_foreach((json_t *)(uintptr_t)from, key, value) {
        const size_t old = json_enter(reader, key);
        TC_CHECK(json_struct(reader, field->sub, items + i * field->sub->size, value, key));
        reader->path[old] = '\0';
        i++;
    }
    return TC_OK;
}

static int json_field(json_reader_t *reader, const codec_field_t *field, void *object, const json_t *from)
{
    switch (field->kind) {
    case CODEC_ENUM: return json_enum(reader, field, object, from);
    case CODEC_STR:
    case CODEC_TEXT: return json_text(reader, field, object, from);
    case CODEC_STRUCT: return json_struct(reader, field->sub, field_at(object, field), from, NULL);
    case CODEC_MAP: return json_map(reader, field, object, from);
    case CODEC_LIST:
    case CODEC_U64LIST: return json_bad(reader, field, "cannot be given in JSON");
    default: return json_number(reader, field, object, from);
    }
}

static const codec_field_t *find_field(const codec_desc_t *desc, const char *name)
{
    for (size_t i = 0; i < desc->n_fields; i++)
        if (strcmp(desc->fields[i].name, name) == 0)
            return &desc->fields[i];
    return NULL;
}

static int json_check_required(json_reader_t *reader, const codec_desc_t *desc, const json_t *from, const char *map_key)
{
    for (size_t i = map_key ? 1 : 0; i < desc->n_fields; i++) {
        const codec_field_t *field = &desc->fields[i];
        if (!field->required || json_object_get(from, field->name))
            continue;
        json_enter(reader, field->name);
        return json_bad(reader, field, "is required and missing");
    }
    return TC_OK;
}

/** @param map_key key of the struct in its map, which becomes its first field; NULL outside maps */
static int json_struct(json_reader_t *reader, const codec_desc_t *desc, void *object, const json_t *from,
                       const char *map_key)
{
    set_defaults(desc, object);
    if (!json_is_object(from))
        return json_bad(reader, NULL, "must be an object");
    if (map_key) {
        if (strlen(map_key) == 0 || strlen(map_key) >= CODEC_STR_SIZE)
            return json_bad(reader, NULL, "has an empty or too long name");
        codec_copy_string(field_at(object, &desc->fields[0]), CODEC_STR_SIZE, map_key);
    }
    const char *key;
    json_t *value;
    json_object_foreach((json_t *)(uintptr_t)from, key, value) {
        const codec_field_t *field = find_field(desc, key);
        const size_t old = json_enter(reader, key);
        if (!field || (map_key && field == &desc->fields[0]))
            return json_bad(reader, NULL, "is not a known setting");
        TC_CHECK(json_field(reader, field, object, value));
        reader->path[old] = '\0';
    }
    return json_check_required(reader, desc, from, map_key);
}

int codec_from_json(const codec_desc_t *desc, void *object, const json_t *from, tc_err_t *err)
{
    json_reader_t reader = {.err = err};
    const int rc = json_struct(&reader, desc, object, from, NULL);
    if (rc < 0)
        codec_free(desc, object);
    return rc;
}

int codec_from_json_text(const codec_desc_t *desc, void *object, const char *text, size_t size, const char *source,
                         tc_err_t *err)
{
    json_error_t where;
    memset(object, 0, desc->size);
    json_t *root = json_loadb(text, size, JSON_REJECT_DUPLICATES, &where);
    if (!root)
        return tc_err_set(err, TC_E_INVALID, "parse settings", source, "line %d column %d: %s", where.line,
                          where.column, where.text);
    const int rc = codec_from_json(desc, object, root, err);
    json_decref(root);
    return rc;
}

int codec_from_json_file(const codec_desc_t *desc, void *object, const char *path, tc_err_t *err)
{
    json_error_t where;
    memset(object, 0, desc->size);
    json_t *root = json_load_file(path, JSON_REJECT_DUPLICATES, &where);
    if (!root)
        return tc_err_set(err, TC_E_INVALID, "parse settings", path, "line %d column %d: %s", where.line, where.column,
                          where.text);
    const int rc = codec_from_json(desc, object, root, err);
    json_decref(root);
    return rc;
}

/* ===== JSON, writing ===== */

static json_t *map_to_json(const codec_field_t *field, const void *object)
{
    const bool keyed = field->kind == CODEC_MAP;
    json_t *out = keyed ? json_object() : json_array();
    for (uint32_t i = 0; i < *count_at(object, field); i++) {
        const char *item = (const char *)pointer_at(object, field) + i * field->sub->size;
        json_t *value = codec_to_json(field->sub, item);
        if (keyed) {
            json_object_del(value, field->sub->fields[0].name);
            json_object_set_new(out, field_at(item, &field->sub->fields[0]), value);
        } else {
            json_array_append_new(out, value);
        }
    }
    return out;
}

static json_t *field_to_json(const codec_field_t *field, const void *object)
{
    const void *at = field_at(object, field);
    switch (field->kind) {
    case CODEC_U32: return json_integer(*(const uint32_t *)at);
    case CODEC_U64: return json_integer((json_int_t)(*(const uint64_t *)at));
    case CODEC_I64: return json_integer(*(const int64_t *)at);
    case CODEC_F64: return json_real(*(const double *)at);
    case CODEC_BOOL: return json_boolean(*(const bool *)at);
    case CODEC_ENUM: return json_string(field->enum_names[*(const unsigned *)at]);
    case CODEC_STR: return text_to_json(at);
    case CODEC_TEXT: return text_to_json_n(pointer_at(object, field), *count_at(object, field));
    case CODEC_U64LIST: return json_integer(*count_at(object, field));
    case CODEC_STRUCT: return codec_to_json(field->sub, at);
    case CODEC_LIST:
    case CODEC_MAP: return map_to_json(field, object);
    }
    return json_null();
}

json_t *codec_to_json(const codec_desc_t *desc, const void *object)
{
    json_t *out = json_object();
    for (size_t i = 0; i < desc->n_fields; i++)
        json_object_set_new(out, desc->fields[i].name, field_to_json(&desc->fields[i], object));
    return out;
}
