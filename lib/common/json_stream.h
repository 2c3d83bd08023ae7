/** @file json_stream.h
 * Reads a large JSON object piece by piece: its members as values, and the elements of a member that is a list one by
 * one, so that the whole is never in memory as a tree of values. A tree takes some 2 KB for a route of 300 bytes.
 */
#ifndef TRACKCOVE_COMMON_JSON_STREAM_H
#define TRACKCOVE_COMMON_JSON_STREAM_H

/* ===== Dependencies ===== */

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>

#include "common/err.h"

/* ===== Types ===== */

typedef struct json_stream json_stream_t;

/** What the outermost object holds. */
typedef enum {
    JSON_STREAM_VALUE,   /**< a member that is no list */
    JSON_STREAM_LIST,    /**< a member that is a list begins; the value is NULL */
    JSON_STREAM_ELEMENT, /**< an element of the list that began last */
} json_stream_kind_t;

/** Returned for a list: its elements are passed over, which costs a fifth of reading them. */
#define JSON_STREAM_SKIP 1

/** Takes a member or an element. @p value is borrowed. @return 0, JSON_STREAM_SKIP, or negative with @p err to stop
 *  reading */
typedef int (*json_stream_fn_t)(void *arg, json_stream_kind_t kind, const char *member, const json_t *value,
                                tc_err_t *err);

/* ===== Public functions ===== */

/** @param err filled when reading fails; borrowed until the end */
json_stream_t *json_stream_create(json_stream_fn_t fn, void *arg, tc_err_t *err);
/** Read on. @return false when the text is no JSON object, holds a member twice, or was stopped */
bool json_stream_add(json_stream_t *stream, const char *data, size_t size);
/** The text is at its end. Frees the stream. @return 0, or negative when it was not whole or had failed before */
int json_stream_end(json_stream_t *stream);

#endif
