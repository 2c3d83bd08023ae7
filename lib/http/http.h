/** @file http.h
 * Thin wrapper around the CivetWeb server: listening, size-limited bodies, JSON responses, streams.
 *
 * Handlers run in CivetWeb's worker threads, one thread per connection.
 */
#ifndef TRACKCOVE_HTTP_HTTP_H
#define TRACKCOVE_HTTP_HTTP_H

/* ===== Dependencies ===== */

#include <civetweb.h>
#include <jansson.h>
#include <stdbool.h>

#include "common/err.h"
#include "common/time.h"

/* ===== Types ===== */

typedef struct http_server http_server_t;

/** Handles one request. @return the status sent */
typedef int (*http_handler_t)(struct mg_connection *conn, void *arg);

/** A streamed response with chunked encoding: server-sent events, or JSON preceded by white space. */
typedef struct {
    struct mg_connection *conn;
    bool open;   /**< headers have been sent */
    bool broken; /**< the caller has disconnected */
    bool sse;
} http_stream_t;

/* ===== Public functions ===== */

/** Starts a server.
 * @param listen "IP:port"
 * @param threads number of connections served at once
 * @return NULL with @p err set on failure */
http_server_t *http_start(const char *listen, unsigned threads, tc_err_t *err);
void http_stop(http_server_t *server);

/** Registers a handler for a CivetWeb pattern, which also matches longer paths ("/v1/services/..."). */
void http_route(http_server_t *server, const char *pattern, http_handler_t handler, void *arg);

/** Sets whether responses of all servers carry "Connection: close", which ends kept-alive connections after their next
 * response. */
void http_set_closing(bool closing);

/** Reads the complete body.
 * @return heap buffer with a terminating NUL, or NULL with @p err set (TC_E_FULL: over @p limit bytes; TC_E_BROKEN:
 * truncated, or out of memory) */
char *http_read_body(struct mg_connection *conn, size_t limit, size_t *size, tc_err_t *err);

/** Sends a JSON response and consumes the reference to @p body.
 * @param retry_after_ms 0 for no Retry-After header
 * @return @p status */
int http_send_json(struct mg_connection *conn, int status, json_t *body, unsigned retry_after_ms);

/** Sends a text response of content type @p type. @return @p status */
int http_send_text(struct mg_connection *conn, int status, const char *type, const char *text);

/** The value of a request header, or "" when it is missing. */
const char *http_header(const struct mg_connection *conn, const char *name);

bool http_method_is(const struct mg_connection *conn, const char *method);

/** Sends the headers of a streamed response unless they have been sent. */
void http_stream_open(http_stream_t *stream);

/** Sends one chunk, after the headers if needed. Sets stream->broken when the caller has disconnected. */
void http_stream_send(http_stream_t *stream, const char *data, size_t size);

/** Sends data that callers ignore (an empty comment or a space) to detect a disconnected caller. */
void http_stream_probe(http_stream_t *stream);

/** Sends the last chunk. Does nothing when the stream is not open or is broken. */
void http_stream_close(http_stream_t *stream);

#endif
