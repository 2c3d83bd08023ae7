/** @file web_server.h
 * Event-driven HTTP/1.1 server: many connections, one thread, buffered requests, buffered or streamed responses.
 *
 * A request is read completely before its handler runs, so that it can be sent to
 * more than one back end. Each connection handles one request at a time and is
 * watched meanwhile: a caller that closes is reported at once.
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
#include "web/buffer_budget.h"
#include "web/web.h"

/* ===== Types ===== */

typedef struct web_server web_server_t;

/** Default send timeout. A caller that accepts no byte for this long is treated as gone although its connection is
 * still open: callers give up a stream themselves after a pause of 2 to 4 s. */
#define WEB_SEND_TIMEOUT_MS 4000

/** One request and its response. Valid from the start of the handler until the response is complete or aborted, or the
 *  disconnect callback has run. */
typedef struct web_exchange web_exchange_t;

/** Limits on the size and duration of requests and responses. Times in ms. */
typedef struct {
    size_t header_bytes;   /**< of the target, and of all header lines; above: 431 */
    size_t body_bytes;     /**< of one request body; above: 413 */
    size_t buffered_bytes; /**< request bodies and responses of all connections together; 0: no limit. A request whose
                                body would exceed it is refused with 503 before its body is read */
    tc_time_t header_ms;   /**< from the first byte of a request to its end; above: 408 */
    tc_time_t body_ms; /**< when not 0, header_ms ends with the headers, and this limits the time between two reads of
                          the body */
    tc_time_t idle_ms; /**< keep-alive time of a connection without a request */
    tc_time_t send_timeout_ms; /**< of a response in progress, without a byte accepted by the caller; 0:
                                    WEB_SEND_TIMEOUT_MS */
} web_limits_t;

/** A request as received. Borrowed, valid as long as its exchange. */
typedef struct {
    const char *method;
    const char *target; /**< path and query, as sent */
    const web_headers_t *headers;
    const GByteArray *body;
    tc_time_t arrived; /**< time at which its first byte was read */
} web_request_t;

/** Handles one request; responds at once or later. */
typedef void (*web_handler_t)(void *arg, web_exchange_t *exchange, const web_request_t *request);

/* ===== Public functions ===== */

/** Listen on "IP:port". @p limits is borrowed and may change while the server runs. @return NULL with @p err set */
web_server_t *web_server_start(loop_t *loop, const char *listen, const web_limits_t *limits, web_handler_t handler,
                               void *arg, tc_err_t *err);

/** Count bytes that callers have not read yet in @p budget, which must outlive the server. A caller whose bytes are the
 *  most when its limit is reached is disconnected. To be set before the first connection. */
void web_server_set_budget(web_server_t *server, buffer_budget_t *budget);
/** Start draining: from now on every response carries Connection: close, and its connection is closed after it. */
void web_server_drain(web_server_t *server);
/** Number of requests being handled. */
unsigned web_server_in_flight(const web_server_t *server);
/** Number of connections with response bytes that are not sent yet. */
unsigned web_server_unsent(const web_server_t *server);
/** Close the listener and all connections, and free the server. */
void web_server_stop(web_server_t *server);

/** Run @p fn if the caller disconnects before the response is complete. The exchange is invalid once @p fn has run. */
void web_on_disconnect(web_exchange_t *exchange, loop_fn_t fn, void *arg);

/** Free the request body before the response is sent, when it is no longer needed. */
void web_drop_body(web_exchange_t *exchange);
/** Whether a response of @p size bytes fits into limits->buffered_bytes. */
bool web_can_buffer(const web_exchange_t *exchange, size_t size);

/** Send a complete response and end the exchange.
 * @param head header lines, each ending in CRLF, or ""; Content-Length and Connection are added here */
void web_respond(web_exchange_t *exchange, int status, const char *head, const void *body, size_t size);

/** As web_respond, without a copy of the body. @param body ownership passes */
void web_respond_owned(web_exchange_t *exchange, int status, const char *head, GByteArray *body);

/** Start a response of unknown length. @param head as for web_respond */
void web_begin_response(web_exchange_t *exchange, int status, const char *head);
/** Append to the body of a response that was started. */
void web_write(web_exchange_t *exchange, const void *data, size_t size);
/** Response bytes not yet written to the socket. */
size_t web_unsent(const web_exchange_t *exchange);
/** Finish a response that was started. Ends the exchange. */
void web_end_response(web_exchange_t *exchange);

/** Abort the response by closing the connection, so that it cannot be mistaken for a complete one. Ends the exchange.
 */
void web_abort_response(web_exchange_t *exchange);

#endif
