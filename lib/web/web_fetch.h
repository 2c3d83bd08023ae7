/** @file web_fetch.h
 * HTTP request whose response is buffered in full, within a time limit. Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_WEB_WEB_FETCH_H
#define TRACKCOVE_WEB_WEB_FETCH_H

/* ===== Dependencies ===== */

#include "web/web_client.h"

/* ===== Types ===== */

/** Outcome of a fetch. */
typedef enum {
    WEB_FETCH_OK,     /**< complete response: status and body are set */
    WEB_FETCH_FAILED, /**< no connection, no complete response, or one that exceeds a limit */
    WEB_FETCH_TIMEOUT /**< no complete response within limit_ms */
} web_fetch_result_t;

/** The fetch has ended. The callback may start it again or free it. */
typedef void (*web_fetch_fn_t)(void *arg, web_fetch_result_t how);

/** A response head arrived on the connection, whether or not it belongs to this fetch, which continues. */
typedef void (*web_fetch_head_fn_t)(void *arg, const web_head_t *head);

/** One fetch at a time. Zero it and allocate body before first use, and call web_fetch_cancel before it is freed. */
typedef struct {
    web_call_t *call; /**< NULL when idle */
    int status;       /**< HTTP status; 0 until a head is accepted */
    char addr[CODEC_STR_SIZE];
    GByteArray *body;
    buffer_share_t buffer; /**< counts body, until the next fetch or web_fetch_cancel */
    loop_timer_t timeout_timer;
    bool (*accepts_head)(const web_head_t *head);
    web_fetch_head_fn_t on_head;
    web_fetch_fn_t fn;
    void *arg;
} web_fetch_t;

/** Target and limits of a fetch. */
typedef struct {
    loop_t *loop;
    web_client_t *client;
    const char *addr;                             /**< "IP:port" */
    bool (*accepts_head)(const web_head_t *head); /**< whether a response may belong to this fetch. Others, which arrive
                                                  late on a reused connection, are skipped. NULL: any may */
    web_fetch_head_fn_t on_head;                  /**< or NULL; gets the same arg as fn */
    tc_time_t connect_ms;                         /**< connect timeout */
    tc_time_t limit_ms;                           /**< timeout of the whole fetch */
    size_t body_bytes; /**< maximum response body, not 0; a longer one gives WEB_FETCH_FAILED */
} web_fetch_options_t;

/* ===== Public functions ===== */

/** Send @p request (ownership passes), which must be safe to execute twice, since an idle connection may be reused.
 *  @p fn runs once, never from within this call, unless the fetch is cancelled. */
void web_fetch(web_fetch_t *fetch, const web_fetch_options_t *options, GByteArray *request, web_fetch_fn_t fn,
               void *arg);

/** Cancel the fetch in progress, if any. No callback runs. The body counts no longer as buffered. */
void web_fetch_cancel(web_fetch_t *fetch);

#endif
