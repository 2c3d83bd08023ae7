/** @file json_salvage.h
 * Reads a JSON object from outside in which single elements cannot be read: a control character or an invalid escape in
 * a text, bytes that are no UTF-8, a number out of range, nesting too deep. Such an element is left out, and the others
 * are read as they are.
 *
 * The extent of each element is found by its quotes, escapes and brackets alone, then each is parsed strictly by
 * itself. What frames the elements stays strict: an object that does not end, or one of which the end of an element
 * cannot be told, is refused as a whole, so that a text that was cut off never passes for a shorter one.
 *
 * Time is linear in the size of the text, and so is memory.
 */
#ifndef TRACKCOVE_COMMON_JSON_SALVAGE_H
#define TRACKCOVE_COMMON_JSON_SALVAGE_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "common/err.h"

/* ===== Types ===== */

/** What may be left out. */
typedef enum {
    JSON_SALVAGE_ELEMENTS, /**< elements of arrays that are members of the object */
    JSON_SALVAGE_MEMBERS   /**< also members of the object */
} json_salvage_t;

/** An element or a member that was left out. */
typedef struct {
    uint64_t hash;                        /**< of its bytes */
    size_t size;                          /**< bytes */
    char id[64];                          /**< its member "id", if that can be read, else "" */
    char why[JSON_ERROR_TEXT_LENGTH + 1]; /**< what the parser said */
} json_left_out_t;

/* ===== Public functions ===== */

/** Parses an object. @param left_out json_left_out_t, to which what was left out is appended; NULL: not wanted
 *  @return the object, to be released with json_decref; NULL with @p err TC_E_INVALID when the text is no whole object
 *  or something else than @p what cannot be read */
json_t *json_salvage(const char *text, size_t size, json_salvage_t what, GArray *left_out, tc_err_t *err);

#endif
