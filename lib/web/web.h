/** @file web.h
 * What the event-driven HTTP server and client share: header lists and outgoing bytes.
 *
 * Parsing is http_parser's (the library); this module holds what it found.
 * CivetWeb, which serves trackcove's own interface, keeps a thread for every
 * open connection; docs/design/platform.md weighs that against this loop.
 */
#ifndef TRACKCOVE_WEB_WEB_H
#define TRACKCOVE_WEB_WEB_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>

/* ===== Types ===== */

/** One header line as received. */
typedef struct {
    char *name;
    char *value;
} web_header_t;

/** Header lines in the order of their arrival; owns its strings. */
typedef struct {
    GArray *lines;     /**< web_header_t */
    bool value_opened; /**< the parser has begun the value of the last line */
    size_t bytes;      /**< of names and values, for limits */
} web_headers_t;

/* ===== Public functions ===== */

/** Make an empty list. */
void web_headers_init(web_headers_t *headers);
/** Forget all lines, keep the list. */
void web_headers_clear(web_headers_t *headers);
/** Free the list; harmless when it was freed. */
void web_headers_free(web_headers_t *headers);

/** What the parser's callbacks hand over piece by piece. */
void web_headers_on_name(web_headers_t *headers, const char *data, size_t size);
void web_headers_on_value(web_headers_t *headers, const char *data, size_t size);

/** Value of the first line of that name, any case, or NULL. Borrowed. */
const char *web_headers_get(const web_headers_t *headers, const char *name);

/** Whether a header concerns one connection alone and is never passed on: the fixed ones, and those that the
 *  Connection header names. */
bool web_header_is_hop_by_hop(const web_headers_t *headers, const char *name);

/** Append "name: value" and a line end; control characters in the value become blanks. */
void web_append_header(GString *to, const char *name, const char *value);

#endif
