/** @file web_server.h
 * HTTP/1.1 server on the loop: many connections, one thread, whole requests in, answers out whole or piece by piece.
 *
 * A request is read whole before its handler runs, so that it can be sent to more
 * than one back end. One request a connection is handled at a time. While it is,
 * the connection is watched: a caller who closes is reported at once.
 *
 * Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_WEB_WEB_SERVER_H
#define TRACKCOVE_WEB_WEB_SERVER_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>

#include "common/err.h"
#include "common/time.h"
#include "peer/loop.h"
#include "web/web.h"

/* ===== Types ===== */

typedef struct web_server web_server_t;

/** A caller that takes up nothing for so long is gone, though its connection was never closed: callers give a stream up
 *  themselves after a pause of two to four seconds. */
#define WEB_SEND_TIMEOUT_MS 4000

/** One request and its answer. Valid from the handler's start until the answer is complete, aborted or on_gone ran. */
typedef struct web_exchange web_exchange_t;

/** What a caller may send and how long it may take. */
typedef struct {
    size_t header_bytes;
    size_t body_bytes;
    size_t buffered_bytes; /**< of bodies and answers of all connections together, 0 for any number: a request whose
                            body would go beyond is refused with 503 before it is read */
    tc_time_t header_ms;   /**< from the first byte of a request to its end */
    tc_time_t body_ms;     /**< when not 0, only to the end of its headers, and then between two bytes of its body */
    tc_time_t idle_ms;     /**< a kept connection without a request */
    tc_time_t send_timeout_ms; /**< of an answer under way, between two bytes that the caller takes up; 0:
                                  WEB_SEND_TIMEOUT_MS */
} web_limits_t;

/** A request as it came in. Borrowed, valid as long as its exchange. */
typedef struct {
    const char *method;
    const char *target; /**< path and query, as sent */
    const web_headers_t *headers;
    const GByteArray *body;
    tc_time_t arrived; /**< when its first byte was read */
} web_request_t;

/** Takes one request; answers now or later. */
typedef void (*web_handler_t)(void *arg, web_exchange_t *exchange, const web_request_t *request);

/* ===== Public functions ===== */

/** Listen on "IP:port". @p limits is borrowed and may change. @return NULL with @p err */
web_server_t *web_server_start(loop_t *loop, const char *listen, const web_limits_t *limits, web_handler_t handler,
                               void *arg, tc_err_t *err);

/** From now on answers tell callers to close, and the connection is closed behind them. */
void web_server_drain(web_server_t *server);
/** Requests being handled. */
unsigned web_server_in_flight(const web_server_t *server);
/** Close everything. */
void web_server_stop(web_server_t *server);

/** Report when the caller leaves before the answer is complete; the exchange is invalid once @p fn has run. */
void web_on_disconnect(web_exchange_t *exchange, loop_fn_t fn, void *arg);

/** The request's body is needed no more: free it before the answer. */
void web_drop_body(web_exchange_t *exchange);
/** Whether the server may hold an answer of so many bytes, by buffered_bytes. */
bool web_can_buffer(const web_exchange_t *exchange, size_t size);

/** Answer whole and end the exchange. @param head header lines, each with its line end, or ""; length and connection
 *  are added here. */
void web_respond(web_exchange_t *exchange, int status, const char *head, const void *body, size_t size);

/** Begin an answer of unknown length. @param head as for web_respond */
void web_begin_response(web_exchange_t *exchange, int status, const char *head);
/** Add to an answer that was begun. */
void web_write(web_exchange_t *exchange, const void *data, size_t size);
/** Bytes of answers that the connection has not taken yet. */
size_t web_unsent(const web_exchange_t *exchange);
/** The answer that was begun is complete. Ends the exchange. */
void web_end_response(web_exchange_t *exchange);

/** Break the answer off so that it can't be taken for complete: the connection is closed. Ends the exchange. */
void web_abort_response(web_exchange_t *exchange);

#endif
