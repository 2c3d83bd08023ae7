/** @file web.h
 * Header lists, shared by the event-driven HTTP server and client.
 *
 * The http_parser library parses; this module stores the headers that it finds.
 * CivetWeb, which serves trackcove's own interface, needs a thread for every
 * open connection; docs/design/platform.md compares it with this event loop.
 */
#ifndef TRACKCOVE_WEB_WEB_H
#define TRACKCOVE_WEB_WEB_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>

/* ===== Types ===== */

/** One header line as received. Both strings are owned by the list; value is NULL before any of it has arrived. */
typedef struct {
    char *name;
    char *value;
} web_header_t;

/** Header lines in order of arrival; owns its strings. */
typedef struct {
    GArray *lines;     /**< web_header_t */
    bool value_opened; /**< the parser has started the value of the last line */
    size_t bytes;      /**< total size of names and values, for limits */
} web_headers_t;

/* ===== Public functions ===== */

/** Initialize an empty list. */
void web_headers_init(web_headers_t *headers);
/** Remove all lines; the list stays usable. */
void web_headers_clear(web_headers_t *headers);
/** Free the list. Safe to call twice. */
void web_headers_free(web_headers_t *headers);

/** Append a fragment of a header name or value, as the parser's callbacks deliver it. */
void web_headers_on_name(web_headers_t *headers, const char *data, size_t size);
void web_headers_on_value(web_headers_t *headers, const char *data, size_t size);

/** Whether each name is a token (RFC 9110, 5.6.2). A blank before the colon makes two names of one for readers that
 *  differ in whether they drop it, so a server must refuse it (RFC 9112, 5.1). */
bool web_headers_are_valid(const web_headers_t *headers);
/** Remove blanks before the colons, as a proxy must do in responses (RFC 9112, 5.1).
 * @return false when that changes the name of a field that tells where the body ends: the response was parsed without
 * it */
bool web_headers_strip_names(const web_headers_t *headers);

/** Value of the first line with that name (case-insensitive), or NULL. Borrowed. */
const char *web_headers_get(const web_headers_t *headers, const char *name);

/** Whether a header applies to one connection only and must not be forwarded: the standard hop-by-hop headers and those
 *  listed in the Connection header. */
bool web_header_is_hop_by_hop(const web_headers_t *headers, const char *name);

/** Append "name: value\r\n". Control characters in the value are replaced by spaces, so a value cannot add lines. */
void web_append_header(GString *to, const char *name, const char *value);

#endif
