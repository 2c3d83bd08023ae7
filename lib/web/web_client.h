/** @file web_client.h
 * HTTP/1.1 client on the loop: one call a connection at a time, connections kept for a while where that is safe.
 *
 * A call is sent exactly once: nothing here ever repeats a request, since only
 * the caller of this module knows whether it may run twice. How a call ended tells
 * whether the back end can have seen it.
 *
 * Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_WEB_WEB_CLIENT_H
#define TRACKCOVE_WEB_WEB_CLIENT_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>

#include "common/time.h"
#include "peer/loop.h"
#include "web/web.h"

/* ===== Types ===== */

typedef struct web_client web_client_t;
/** One call under way. Valid until on_end ran or it was cancelled. */
typedef struct web_call web_call_t;

/** How a call ended. */
typedef enum {
    WEB_RESULT_COMPLETE,    /**< the answer came whole */
    WEB_RESULT_NOT_SENT,    /**< no connection: the back end has seen nothing of the request */
    WEB_RESULT_NO_RESPONSE, /**< the connection ended, or what came is no HTTP, before an answer's head: it may have run
                             */
    WEB_RESULT_TRUNCATED    /**< the answer broke off behind its head */
} web_result_t;

/** What to do with an answer whose head has come. */
typedef enum {
    WEB_HEAD_ACCEPT, /**< it is ours */
    WEB_HEAD_SKIP    /**< it belongs to an earlier request: read past it and wait for the next */
} web_head_action_t;

/** The head of an answer; borrowed for the call of on_head. */
typedef struct {
    int status;
    const web_headers_t *headers;
} web_head_t;

/** Where a call reports to. on_end comes last and exactly once, unless the call is cancelled. None of them is called
 *  from within web_call or web_call_cancel. */
typedef struct {
    web_head_action_t (*on_head)(void *arg, const web_head_t *head);
    void (*on_data)(void *arg, const char *data, size_t size);
    void (*on_end)(void *arg, web_result_t how);
    void *arg;
} web_sink_t;

/* ===== Public functions ===== */

/** A client that keeps no idle connections: see web_client_set_idle_max. */
web_client_t *web_client_create(loop_t *loop);
/** Calls still open end without a report. */
void web_client_destroy(web_client_t *client);

/** Most idle connections kept to one address. */
void web_client_set_idle_max(web_client_t *client, unsigned idle_max);

/** Send a request.
 * @param addr "IP:port"
 * @param request the whole request as bytes; taken over
 * @param reuse whether a kept connection may be used: only for what may run twice, since a back end may close such a
 *  connection at any moment
 * @param connect_ms how long the connection may take to come up */
web_call_t *web_call(web_client_t *client, const char *addr, GByteArray *request, bool reuse, tc_time_t connect_ms,
                     const web_sink_t *sink);

/** Drop the call and close its connection; nothing is reported any more. */
void web_call_cancel(web_call_t *call);

/** Whether something of the answer, or the end of the connection, has come and was not read yet. */
bool web_call_has_input(const web_call_t *call);

/** Whether a byte of the request may have left this box. */
bool web_call_sent(const web_call_t *call);

#endif
