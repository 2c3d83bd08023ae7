/** @file web_fetch.h
 * A small call whose answer is read whole, within a time limit. Everything runs in the loop's thread.
 */
#ifndef TRACKCOVE_WEB_WEB_FETCH_H
#define TRACKCOVE_WEB_WEB_FETCH_H

/* ===== Dependencies ===== */

#include "web/web_client.h"

/* ===== Types ===== */

/** How it ended. */
typedef enum {
    WEB_FETCH_OK,     /**< the answer came whole: status and body are the back end's */
    WEB_FETCH_FAILED, /**< no connection, or no whole answer */
    WEB_FETCH_TIMEOUT /**< not within the limit */
} web_fetch_result_t;

/** The call has ended; it may be begun again, or freed, from within. */
typedef void (*web_fetch_fn_t)(void *arg, web_fetch_result_t how);

/** The head of an answer came over the call's connection, to this call or not; the call goes on. */
typedef void (*web_fetch_head_fn_t)(void *arg, const web_head_t *head);

/** One such call at a time. Zeroed, with a body, before its first use. */
typedef struct {
    web_call_t *call; /**< NULL when none is under way */
    int status;       /**< 0 before a head has come */
    GByteArray *body;
    size_t body_bytes;
    loop_timer_t limit;
    bool (*is_ours)(const web_head_t *head);
    web_fetch_head_fn_t on_head;
    web_fetch_fn_t fn;
    void *arg;
} web_fetch_t;

/** Where and how long to ask. */
typedef struct {
    loop_t *loop;
    web_client_t *client;
    const char *addr;                        /**< "IP:port" */
    bool (*is_ours)(const web_head_t *head); /**< whether an answer may be the one to this call: others, which come late
                                                  on a kept connection, are read past; NULL: any may */
    web_fetch_head_fn_t on_head;             /**< or NULL; with the same argument as the end */
    tc_time_t connect_ms;                    /**< for the connection */
    tc_time_t limit_ms;                      /**< for all of it */
    size_t body_bytes; /**< the longest body that is taken, one beyond is as a broken answer; 0: any */
} web_fetch_options_t;

/* ===== Public functions ===== */

/** Send @p request (taken over), which may run twice. @p fn runs once, later, unless it is cancelled. */
void web_fetch(web_fetch_t *ask, const web_fetch_options_t *where, GByteArray *request, web_fetch_fn_t fn, void *arg);

/** Drop the call under way, if there is one: nothing is reported. */
void web_fetch_cancel(web_fetch_t *ask);

#endif
