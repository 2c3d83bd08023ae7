/** @file codec.h
 * One codec for every generated type, driven by descriptors.
 *
 * lib/gen/schema.c holds a codec_desc_t for each struct of the schema. With it
 * this module encodes and decodes msgpack (messages between processes, the
 * replicated log) and JSON (settings, configuration). Bounds are checked when
 * decoding either format, required fields when decoding JSON.
 */
#ifndef TRACKCOVE_COMMON_CODEC_H
#define TRACKCOVE_COMMON_CODEC_H

/* ===== Dependencies ===== */

#include <jansson.h>
#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/err.h"

/* ===== Types ===== */

/** Size in bytes of a `str` field, with its terminating zero: names, ids, addresses. */
#define CODEC_STR_SIZE 96
/** Size in bytes of a `path` field, with its terminating zero: files and URLs. */
#define CODEC_PATH_SIZE 256
/** Most elements of a decoded list; bounds the memory that a faulty peer can make this process allocate. */
#define CODEC_LIST_MAX 100000

typedef enum {
    CODEC_U32,
    CODEC_U64,
    CODEC_I64,
    CODEC_F64,
    CODEC_BOOL,
    CODEC_ENUM,
    CODEC_STR,     /**< char array inside the struct */
    CODEC_TEXT,    /**< heap bytes with a count and a terminating zero */
    CODEC_U64LIST, /**< heap array of uint64_t with a count */
    CODEC_STRUCT,  /**< struct by value */
    CODEC_LIST,    /**< heap array of structs with a count */
    CODEC_MAP      /**< as LIST; in JSON an object keyed by the first field */
} codec_kind_t;

typedef struct codec_desc codec_desc_t;

/** Describes one field of a struct. */
typedef struct {
    const char *name;
    codec_kind_t kind;
    size_t offset;
    size_t count_offset;
    size_t size;                   /**< CODEC_STR: array size */
    const codec_desc_t *sub;       /**< STRUCT, LIST, MAP */
    const char *const *enum_names; /**< ENUM */
    double min, max, def;
    const char *def_text;
    bool required;
    const char *unit;
} codec_field_t;

/** Describes one struct. */
struct codec_desc {
    const char *name;
    size_t size;
    const codec_field_t *fields;
    size_t n_fields;
};

/* ===== Public functions ===== */

/** Appends @p object as a msgpack array. */
void codec_pack(const codec_desc_t *desc, const void *object, msgpack_packer *packer);

/** Decodes @p object from msgpack. Missing trailing fields get their defaults and extra ones are ignored, so that
 * adjacent versions are compatible. On error nothing is left to free.
 * @return 0 or TC_E_INVALID naming the field */
int codec_unpack(const codec_desc_t *desc, void *object, const msgpack_object *from, tc_err_t *err);

/** As codec_pack, into a heap buffer of @p size bytes, which the caller frees. */
char *codec_pack_bytes(const codec_desc_t *desc, const void *object, size_t *size);

/** Decodes @p object from all of @p data. @return 0, TC_E_CORRUPT when the bytes are not a single complete value, or an
 *  error of codec_unpack */
int codec_unpack_bytes(const codec_desc_t *desc, void *object, const char *data, size_t size, tc_err_t *err);

/** Whether the bytes are a single complete msgpack value whose counts fit into its size. The msgpack library allocates
 *  memory by the counts it reads, so untrusted bytes are checked first. */
bool codec_scan(const char *data, size_t size);

/** Decodes @p object from JSON. Unknown keys, wrong types, values out of range and missing required fields are refused
 * with the field's full path, unit and range. On error nothing is left to free. */
int codec_from_json(const codec_desc_t *desc, void *object, const json_t *from, tc_err_t *err);

/** As codec_from_json, from text. @param source names the text in errors, e.g. the file. */
int codec_from_json_text(const codec_desc_t *desc, void *object, const char *text, size_t size, const char *source,
                         tc_err_t *err);

/** As codec_from_json, from a file. */
int codec_from_json_file(const codec_desc_t *desc, void *object, const char *path, tc_err_t *err);

/** Encodes as JSON. @return a new reference, owned by the caller */
json_t *codec_to_json(const codec_desc_t *desc, const void *object);

/** Frees what @p object owns (not @p object itself) and zeroes it. */
void codec_free(const codec_desc_t *desc, void *object);

/** Replaces the value of a `text` field by a copy of @p data. */
void codec_set_text(char **field, uint32_t *count, const char *data, size_t size);

/** Copies a string into a `str` or `path` field; longer strings are truncated. */
#define CODEC_COPY(field, text) codec_copy_string((field), sizeof(field), (text))
void codec_copy_string(char *to, size_t size, const char *from);

#endif
