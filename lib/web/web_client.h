/** @file web_client.h
 * Event-driven HTTP/1.1 client: one call per connection at a time, with idle connections kept for reuse.
 *
 * A call is sent at most once: this module never retries a request, since only
 * its user knows whether the request may be executed twice. The result of a call
 * tells whether the back end may have seen the request.
 *
 * What a call reads is limited in bytes (web/answer_meter.h): a response that
 * exceeds a limit ends the call as an invalid one.
 *
 * Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_WEB_WEB_CLIENT_H
#define TRACKCOVE_WEB_WEB_CLIENT_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>

#include "common/time.h"
#include "egress/egress.h"
#include "peer/loop.h"
#include "web/buffer_budget.h"
#include "web/web.h"

/* ===== Types ===== */

typedef struct web_client web_client_t;
/** One call in progress. Valid until on_end returns or the call is cancelled. */
typedef struct web_call web_call_t;

/** Result of a call. */
typedef enum {
    WEB_RESULT_COMPLETE, /**< complete response received */
    WEB_RESULT_NOT_SENT, /**< no connection, or one that had ended before the first byte was written: the back end has
                            seen nothing of the request */
    WEB_RESULT_NO_RESPONSE, /**< connection closed, or the memory for answers was used up, before a response head: the
                               request may have been executed */
    WEB_RESULT_TRUNCATED,   /**< the response ended early, or the memory for answers was used up, after its head */
    WEB_RESULT_INVALID      /**< bytes that are no valid HTTP, or exceed a limit, came before the head or after it, on a
                               connection that had not ended: the request may have been executed */
} web_result_t;

/** What to do with a response after its head. */
typedef enum {
    WEB_HEAD_ACCEPT, /**< it belongs to this call */
    WEB_HEAD_SKIP    /**< it belongs to an earlier request: discard it and wait for the next */
} web_head_action_t;

/** Head of a response. Borrowed, valid during on_head. */
typedef struct {
    int status;
    const web_headers_t *headers;
} web_head_t;

/** Callbacks of a call. on_end runs last and exactly once, unless the call is cancelled. None of them runs from within
 *  web_call or web_call_cancel. */
typedef struct {
    web_head_action_t (*on_head)(void *arg, const web_head_t *head);
    void (*on_data)(void *arg, const char *data, size_t size);
    /** Runs before on_end when the response exceeded a limit; may be NULL. @p kind: which one, a constant for the log;
     *  @p bytes: how many exceeded it */
    void (*on_excess)(void *arg, const char *kind, uint64_t bytes);
    void (*on_end)(void *arg, web_result_t how);
    void *arg;
} web_sink_t;

/* ===== Public functions ===== */

/** Create a client. It keeps no idle connections until web_client_set_idle_max is called. */
web_client_t *web_client_create(loop_t *loop);
/** Destroy the client. Calls in progress are dropped without a callback. */
void web_client_destroy(web_client_t *client);

/** Open connections to back ends by @p egress, which must outlive the client. Without it, all are direct. */
void web_client_set_egress(web_client_t *client, egress_t *egress);
/** Count what calls buffer in @p budget, which must outlive the client: the heads here, the bodies by those who keep
 * them. To be set before the first call. */
void web_client_set_budget(web_client_t *client, buffer_budget_t *budget);
/** NULL: there is none. */
buffer_budget_t *web_client_budget(const web_client_t *client);
/** Set how many idle connections are kept per address. */
void web_client_set_idle_max(web_client_t *client, unsigned idle_max);

/** Send a request.
 * @param addr "IP:port"
 * @param request the complete request as bytes; ownership passes to the call
 * @param reuse whether an idle connection may be used. Only for requests that may be executed twice, since a back end
 *  may close an idle connection at any moment
 * @param connect_ms connect timeout */
web_call_t *web_call(web_client_t *client, const char *addr, GByteArray *request, bool reuse, tc_time_t connect_ms,
                     const web_sink_t *sink);

/** Limit the body of the response, in bytes; 0: no limit, as at first. When set in on_head at the latest, a response
 * that names a longer body is ended at its head. */
void web_call_limit_body(web_call_t *call, size_t bytes);

/** Cancel the call and close its connection. No callback runs afterwards. */
void web_call_cancel(web_call_t *call);

/** Whether unread input is pending: bytes of a response, or the end of the connection. */
bool web_call_has_input(const web_call_t *call);

/** Address of the relay that the call's connection goes through; "": it is direct, or not open yet. */
const char *web_call_relay(const web_call_t *call);

/** Whether any byte of the request may have left this box. */
bool web_call_sent(const web_call_t *call);

#endif
