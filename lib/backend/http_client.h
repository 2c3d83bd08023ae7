/** @file http_client.h
 * HTTP towards backend servers, over libcurl.
 *
 * CivetWeb's own client cannot stream (docs/design/http-client.md). Handles are
 * pooled with their connections; a call runs in the calling thread and can be
 * given up at any moment through its idle function.
 */
#ifndef TRACKCOVE_BACKEND_HTTP_CLIENT_H
#define TRACKCOVE_BACKEND_HTTP_CLIENT_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>

#include "common/err.h"
#include "common/time.h"

/* ===== Types ===== */

/** Called with every piece of a successful answer's body. @return false to give up (TC_E_CANCELLED) */
typedef bool (*http_data_fn_t)(void *arg, const char *data, size_t size);

/** Called at least every HTTP_CLIENT_IDLE_MS. @return false to give up */
typedef bool (*http_idle_fn_t)(void *arg);

#define HTTP_CLIENT_IDLE_MS 50

typedef struct {
    const char *url;
    const char *method; /**< "GET", "POST", ... */
    const char *body;   /**< may be NULL */
    size_t body_size;
    const char *const *headers; /**< NULL-ended "Name: value" strings, may be NULL */
    tc_time_t timeout;          /**< for the whole call, ms */
    const char *peer;           /**< name of the backend server, for errors */
    const char *step;           /**< for errors; a static string */
    bool no_resend;         /**< never sent twice: libcurl resends by itself what it sent over a kept connection that
                            turns out to be closed, so such a call gets a connection of its own */
    http_data_fn_t on_data; /**< may be NULL: the body is collected */
    http_idle_fn_t on_idle; /**< may be NULL */
    void *arg;
} http_call_t;

typedef struct {
    int status; /**< HTTP status, 0 when there was none */
    char *body; /**< collected body (errors: always collected), NULL or heap; free it */
    size_t body_size;
    tc_time_t retry_after; /**< of a refusal with 429 or 503 that asks for no calls for so long, ms; 0: it does not */
    bool sent;             /**< a connection was made, so the server may have seen the call */
} http_result_t;

/* ===== Public functions ===== */

/** Call before any thread starts. @param dc own data centre, sent along so that stand-ins can add delays */
void http_client_init(const char *dc);

/** Close pooled connections. */
void http_client_cleanup(void);

/** Make a call.
 * @return 0 with a status below 400; TC_E_REFUSED with status and body for others; TC_E_UNREACHABLE: no connection
 *  was made, so the server has seen nothing; TC_E_BROKEN or TC_E_TIMEOUT: it may have; TC_E_CANCELLED: given up */
int http_call(const http_call_t *call, http_result_t *result, tc_err_t *err);

#endif
