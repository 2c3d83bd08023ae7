/** @file lab.h
 * Everything in one loop on 127.0.0.1: fake back ends that answer by a script, callers, and waiting for events.
 */
#ifndef TRACKCOVE_TESTS_LAB_H
#define TRACKCOVE_TESTS_LAB_H

#include <glib.h>
#include <stdbool.h>

#include "peer/loop.h"
#include "web/web_client.h"

/** How a fake back end ends an answer. */
typedef enum {
    LAB_KEEP,  /**< keeps the connection */
    LAB_CLOSE, /**< closes it in order */
    LAB_RESET, /**< resets it */
    LAB_HANG   /**< keeps it and says nothing more */
} lab_end_t;

/** A part of an answer that is sent by itself. */
typedef struct {
    size_t size;
    tc_time_t wait; /**< ms before it is sent */
} lab_piece_t;

/** What a fake back end answers: bytes as they are. */
typedef struct {
    char *bytes; /**< freed by the lab; NULL for none */
    lab_end_t end;
    GArray
        *pieces; /**< lab_piece_t, freed by the lab: the answer's parts, the rest follows at once; NULL: all at once */
} lab_reply_t;

/** Called for every whole request. @param request its bytes as text, headers and body */
typedef lab_reply_t (*lab_script_t)(void *arg, const char *request);

typedef struct lab_backend lab_backend_t;

/** What came of one call of a caller. */
typedef struct {
    bool done;
    web_result_t how;
    int status;
    char *retry_after; /**< header, or NULL */
    char *headers;     /**< "name: value" lines, each with a line end before and behind it */
    GString *body;
    web_call_t *call;
} lab_call_t;

/** A free port on 127.0.0.1, as "127.0.0.1:PORT"; never the same twice. */
void lab_unused_addr(char to[32]);

/** The first of 20 ports for a program's boxes, which no other test of this machine has that listens at the first of
 * them at @p ip. */
int lab_unused_ports(const char *ip);

/** Listen at @p addr and answer by @p script. */
lab_backend_t *lab_backend_start(loop_t *loop, const char *addr, lab_script_t script, void *arg);
/** From now on answer as soon as a request's head is there, and read nothing more of it. */
void lab_backend_answer_early(lab_backend_t *backend);
/** From now on nothing is sent and nothing is read, as of a process that stands still; and on again. */
void lab_backend_freeze(lab_backend_t *backend, bool frozen);
/** The process ends, once what calls this has returned: its connections are reset, new ones are refused. Harmless when
 * it has ended. */
void lab_backend_crash(lab_backend_t *backend);
/** It is there again, at the same address, with nothing of before. */
void lab_backend_restart(lab_backend_t *backend);
/** Whether it runs. */
bool lab_backend_is_up(const lab_backend_t *backend);
/** Connections from now on are refused, those that stand are reset. */
void lab_backend_stop(lab_backend_t *backend);
/** Requests taken whole. */
unsigned lab_backend_requests(const lab_backend_t *backend);
/** Connections that the other side closed while a request was unanswered. */
unsigned lab_backend_abandoned(const lab_backend_t *backend);

/** Send a request, given as text. */
lab_call_t *lab_call(web_client_t *client, const char *addr, const char *request);
/** The same over a kept connection, if there is one. */
lab_call_t *lab_call_reuse(web_client_t *client, const char *addr, const char *request);
/** Only when the call is done or was cancelled. */
void lab_call_free(lab_call_t *call);

/** What lab_run_until waits for. */
typedef bool (*lab_condition_t)(void *arg);
/** Run the loop until the condition holds. Fails the test after a time that only a hang takes. */
void lab_run_until(loop_t *loop, lab_condition_t condition, void *arg);
/** The same for a flag. */
void lab_run_until_true(loop_t *loop, const bool *flag);
/** Let the loop turn for a while: for what must not happen. */
void lab_run_for(loop_t *loop, tc_time_t span);

#endif
