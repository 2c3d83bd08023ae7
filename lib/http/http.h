/** @file http.h
 * Thin cover over CivetWeb's server: listening, bodies with a limit, JSON answers, streams.
 *
 * Handlers run in CivetWeb's worker threads, one thread a connection.
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

/** Handle one request and return the status sent. */
typedef int (*http_handler_t)(struct mg_connection *conn, void *arg);

/** An answer being streamed: chunked, server-sent events or JSON preceded by white space. */
typedef struct {
    struct mg_connection *conn;
    bool open;   /**< headers are sent */
    bool broken; /**< the caller is gone */
    bool sse;
} http_stream_t;

/* ===== Public functions ===== */

/** Listen. @param listen "IP:port" @param threads connections served at once
 * @param closing when not NULL and true, answers say "Connection: close" */
http_server_t *http_start(const char *listen, unsigned threads, tc_err_t *err);
void http_stop(http_server_t *server);

/** Route a CivetWeb pattern ("/v1/entries", "/v1/services/" followed by anything) to a handler. */
void http_route(http_server_t *server, const char *pattern, http_handler_t handler, void *arg);

/** From now on answers ask callers to close their connection: the polite end of kept-alive connections. */
void http_set_closing(bool closing);

/** Read the whole body. @return heap bytes with an end mark, NULL with @p err (TC_E_FULL: over @p limit) */
char *http_read_body(struct mg_connection *conn, size_t limit, size_t *size, tc_err_t *err);

/** Send a JSON answer; takes over the reference. @param retry_after_ms 0 for no Retry-After header
 * @return @p status */
int http_send_json(struct mg_connection *conn, int status, json_t *body, unsigned retry_after_ms);

/** Send text. @return @p status */
int http_send_text(struct mg_connection *conn, int status, const char *type, const char *text);

/** A request header, or "" when it is missing. */
const char *http_header(const struct mg_connection *conn, const char *name);

/** Whether the request's method is @p method. */
bool http_method_is(const struct mg_connection *conn, const char *method);

/** Send the head of a streamed answer if that was not done yet. */
void http_stream_open(http_stream_t *stream);

/** Send a piece; sets stream->broken when the caller is gone. */
void http_stream_send(http_stream_t *stream, const char *data, size_t size);

/** Send something that carries no meaning, to learn whether the caller is still there. */
void http_stream_probe(http_stream_t *stream);

/** End the answer properly. */
void http_stream_close(http_stream_t *stream);

#endif
