/** @file http_client.h
 * HTTP client for backend servers, over libcurl.
 *
 * CivetWeb's own client cannot stream (docs/design/http-client.md). Handles are pooled with their connections. A call
 * runs in the calling thread and can be cancelled at any time through its idle function.
 */
#ifndef TRACKCOVE_BACKEND_HTTP_CLIENT_H
#define TRACKCOVE_BACKEND_HTTP_CLIENT_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>

#include "common/err.h"
#include "common/time.h"

/* ===== Types ===== */

/** Called with each part of the body of a successful answer. @return false to cancel (TC_E_CANCELLED) */
typedef bool (*http_data_fn_t)(void *arg, const char *data, size_t size);

/** Called at least every HTTP_CLIENT_IDLE_MS. @return false to cancel (TC_E_CANCELLED) */
typedef bool (*http_idle_fn_t)(void *arg);

#define HTTP_CLIENT_IDLE_MS 50

typedef struct {
    const char *url;
    const char *method; /**< "GET", "POST", ... */
    const char *body;   /**< may be NULL */
    size_t body_size;
    const char *const *headers; /**< NULL-ended "Name: value" strings, may be NULL */
    tc_time_t timeout;          /**< for the whole call, ms */
    const char *peer;           /**< name of the backend server, for error messages */
    const char *step;           /**< for error messages; a static string */
    bool no_resend;             /**< never sent twice, on a connection of its own: libcurl resends a call by itself if a
                                reused connection turns out to be closed */
    bool follow;            /**< follows up to 3 redirects; an Authorization header is not sent to other addresses */
    http_data_fn_t on_data; /**< may be NULL: the body is collected */
    http_idle_fn_t on_idle; /**< may be NULL */
    void *arg;
} http_call_t;

typedef struct {
    int status; /**< HTTP status, 0 if there was none */
    char *body; /**< collected body (always collected for errors), heap for free(), or NULL */
    size_t body_size;
    tc_time_t retry_after; /**< Retry-After of an answer with 429 or 503, ms; 0: none */
    bool sent;             /**< request bytes were sent, so the server may have seen the call */
} http_result_t;

/* ===== Public functions ===== */

/** Call before any thread starts. @param dc own data centre, sent as a header so that stub servers can add delays */
void http_client_init(const char *dc);

/** Closes the pooled connections. No call may be in progress. */
void http_client_cleanup(void);

/** Makes a call.
 * @return 0 for a status below 400; TC_E_REFUSED with status and body for others; TC_E_UNREACHABLE: nothing was sent,
 * so the server has not seen the call; TC_E_BROKEN or TC_E_TIMEOUT: it may have; TC_E_CANCELLED: a callback cancelled
 */
int http_call(const http_call_t *call, http_result_t *result, tc_err_t *err);

#endif
