/** @file text.h
 * Bytes from outside (callers, operators, back ends, other boxes) as text: where they are cut, and how they become
 * JSON.
 *
 * Names and ids are kept as the bytes that they are; what is written for people or as JSON passes through here.
 */
#ifndef TRACKCOVE_COMMON_TEXT_H
#define TRACKCOVE_COMMON_TEXT_H

/* ===== Dependencies ===== */

#include <jansson.h>
#include <stddef.h>

/* ===== Constants ===== */

/** What an invalid byte becomes: U+FFFD. */
#define TEXT_REPLACEMENT "\xef\xbf\xbd"

/* ===== Public functions ===== */

/** Size of the valid UTF-8 character at the start of @p size bytes, 1 to 4; 0 when there is none. */
size_t text_character(const char *bytes, size_t size);

/** Longest length up to @p size at which the bytes end with a whole character. Bytes that are no UTF-8 end anywhere. */
size_t text_cut(const char *bytes, size_t size);

/** Shorten a text that was cut at a byte, such as by snprintf, by the incomplete character at its end. */
void text_trim(char *text);

/** JSON string of any bytes; each invalid one is replaced. Never NULL. */
json_t *text_to_json(const char *text);
json_t *text_to_json_n(const char *bytes, size_t size);

/** Compact JSON text of a value, whose reference is taken. A value that is missing (jansson makes none of invalid
 * UTF-8) or cannot be written gives "{}" and an error line in the log. @return heap text for free(), never NULL */
char *text_from_json(json_t *value);

#endif
