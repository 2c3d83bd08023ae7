/** @file lab.h
 * Loopback test bed: fake back ends that answer by a script, HTTP clients, and waiting for conditions, all in one event
 * loop on 127.0.0.1.
 */
#ifndef TRACKCOVE_TESTS_LAB_H
#define TRACKCOVE_TESTS_LAB_H

#include <glib.h>
#include <stdbool.h>

#include "peer/loop.h"
#include "web/web_client.h"

/** What a fake back end does with the connection after an answer. */
typedef enum {
    LAB_KEEP,  /**< keeps it open for further requests */
    LAB_CLOSE, /**< closes it */
    LAB_RESET, /**< resets it */
    LAB_HANG   /**< keeps it open and counts the request as unanswered */
} lab_end_t;

/** A part of an answer that is sent separately. */
typedef struct {
    size_t size;    /**< in bytes */
    tc_time_t wait; /**< ms between the part before it and this one */
} lab_piece_t;

/** What has become of an answer. */
typedef enum {
    LAB_OPEN,     /**< it is being sent, or waits to be */
    LAB_SENT,     /**< all bytes are sent */
    LAB_LEFT,     /**< the client closed the connection before that */
    LAB_SHUT_DOWN /**< the back end crashed or stopped before that */
} lab_state_t;

/** How far an answer has come. */
typedef struct {
    lab_state_t state;
    size_t sent; /**< bytes */
} lab_progress_t;

/** The answer of a fake back end. */
typedef struct {
    char *bytes; /**< sent as they are, then freed with g_free(); NULL: no answer */
    lab_end_t end;
    size_t endless; /**< so many of the last bytes are sent again and again, until the client closes; 0: none. The
                       request counts as unanswered, as by LAB_HANG */
    GArray *pieces; /**< lab_piece_t, freed by the fake back end; bytes behind the last one follow at once; NULL: sent
                       in one part */
    lab_progress_t *progress; /**< kept up to date, borrowed; NULL: none */
} lab_reply_t;

/** Called for every complete request. @param request head and body, as a string */
typedef lab_reply_t (*lab_script_t)(void *arg, const char *request);

typedef struct lab_backend lab_backend_t;

/** State and result of one HTTP call. */
typedef struct {
    bool done;         /**< the call has ended, and how is set */
    web_result_t how;  /**< how the call ended */
    int status;        /**< HTTP status; 0: no head was received */
    char *retry_after; /**< Retry-After header, or NULL */
    char *headers;     /**< "name: value" lines, each with a newline before and after it; NULL: no head was received */
    GString *body;     /**< received so far */
    web_call_t *call;  /**< to cancel the call until it is done */
} lab_call_t;

/** Returns an unused port on 127.0.0.1, as "127.0.0.1:PORT". A process never gets the same port twice, nor one of
 * another test that runs. */
void lab_unused_addr(char to[32]);

/** As lab_unused_addr(); the port after it is unused too. */
void lab_unused_addr_pair(char to[32]);

/** Returns the first of 20 consecutive ports for a test's boxes. Tests that run at the same time get different ports if
 * they give the same @p ip, that of one of the boxes. */
int lab_unused_ports(const char *ip);

/** Listens at @p addr and answers by @p script. Free with lab_backend_stop(). */
lab_backend_t *lab_backend_start(loop_t *loop, const char *addr, lab_script_t script, void *arg);
/** From now on, answers as soon as the head of a request is received and doesn't read the rest. */
void lab_backend_answer_early(lab_backend_t *backend);
/** Stops (true) or resumes (false) reading and sending, as a suspended process does; connections stay open. */
void lab_backend_freeze(lab_backend_t *backend, bool frozen);
/** Simulates a crash, after the current callback of the loop has returned: connections are reset, new ones refused. No
 * effect when the back end is down. */
void lab_backend_crash(lab_backend_t *backend);
/** Listens again at the same address after a crash, without connections. */
void lab_backend_restart(lab_backend_t *backend);
/** Whether the back end listens: it has not crashed. */
bool lab_backend_is_up(const lab_backend_t *backend);
/** Resets all connections, stops listening and frees the back end. */
void lab_backend_stop(lab_backend_t *backend);
/** Number of complete requests received. */
unsigned lab_backend_requests(const lab_backend_t *backend);
/** Number of connections that the client closed while a request was left unanswered (LAB_HANG). */
unsigned lab_backend_abandoned(const lab_backend_t *backend);

/** Sends a request, given as text, over a new connection. Free with lab_call_free(). */
lab_call_t *lab_call(web_client_t *client, const char *addr, const char *request);
/** As lab_call(), over an idle connection if there is one. */
lab_call_t *lab_call_reuse(web_client_t *client, const char *addr, const char *request);
/** Frees the call, which must be done or cancelled. */
void lab_call_free(lab_call_t *call);

/** Condition that lab_run_until() waits for. */
typedef bool (*lab_condition_t)(void *arg);
/** Runs the loop until the condition holds. Fails the test after 60 s. */
void lab_run_until(loop_t *loop, lab_condition_t condition, void *arg);
/** As lab_run_until(), until @p flag is true. */
void lab_run_until_true(loop_t *loop, const bool *flag);
/** Runs the loop for @p span ms, to check that something does not happen. */
void lab_run_for(loop_t *loop, tc_time_t span);

#endif
