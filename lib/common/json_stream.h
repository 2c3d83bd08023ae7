/** @file json_stream.h
 * Streaming parser for a large JSON object. Members are delivered as values, and the elements of a member that is a
 * list one by one, so that the whole tree of values is never in memory. A tree takes about 2 KB for a route of 300
 * bytes.
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

/** Parts of the outermost object. */
typedef enum {
    JSON_STREAM_VALUE,   /**< a member that is not a list */
    JSON_STREAM_LIST,    /**< start of a member that is a list; the value is NULL */
    JSON_STREAM_ELEMENT, /**< an element of the list that started last */
} json_stream_kind_t;

/** Returned for a list: its elements are skipped, which costs a fifth of parsing them. */
#define JSON_STREAM_SKIP 1

/** Receives a member or an element. @p value is borrowed. @return 0, JSON_STREAM_SKIP, or negative with @p err filled
 *  to stop parsing */
typedef int (*json_stream_fn_t)(void *arg, json_stream_kind_t kind, const char *member, const json_t *value,
                                tc_err_t *err);

/* ===== Public functions ===== */

/** @param err filled when parsing fails; borrowed until json_stream_end */
json_stream_t *json_stream_create(json_stream_fn_t fn, void *arg, tc_err_t *err);
/** Parses the next bytes. @return false when the text is not a JSON object, repeats a member, or parsing was stopped */
bool json_stream_add(json_stream_t *stream, const char *data, size_t size);
/** Ends the text and frees the stream. @return 0, or TC_E_INVALID when the text is incomplete or parsing has failed */
int json_stream_end(json_stream_t *stream);

#endif
