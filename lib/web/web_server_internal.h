/** @file web_server_internal.h
 * Shared by web_server.c (connections and what comes in) and web_response.c (what goes out); nobody else includes it.
 */
#ifndef TRACKCOVE_WEB_WEB_SERVER_INTERNAL_H
#define TRACKCOVE_WEB_WEB_SERVER_INTERNAL_H

/* ===== Dependencies ===== */

#include <http_parser.h>
#include <urcu/list.h>

#include "web/web_server.h"

/* ===== Types ===== */

typedef enum { EXCHANGE_READING, EXCHANGE_HANDLING, EXCHANGE_CLOSING } exchange_state_t;

struct web_exchange {
    struct cds_list_head node;
    web_server_t *server;
    loop_watch_t watch;
    bool writing;
    exchange_state_t state;
    http_parser parser;
    bool begun;     /* a byte of the next request has come */
    bool in_body;   /* its headers have come */
    bool complete;  /* the parser has a whole request */
    bool keep;      /* the caller keeps the connection */
    bool head_only; /* the caller reads no body behind any answer to the request being handled */
    bool bodiless;  /* and none behind the answer under way */
    bool chunked;   /* the answer under way goes in chunks */
    bool unframed;  /* the end of the connection is the answer's end: one that ends early must be reset */
    bool old;       /* HTTP/1.0 */
    int refuse;     /* status to refuse the request with, found while reading */
    GString *target;
    web_headers_t headers;
    GByteArray *body;
    size_t body_held, answer_held; /* what the server counts for it */
    GByteArray *ahead;             /* bytes behind the request being handled, or waiting for their turn */
    loop_timer_t next;             /* hands them to the parser, from the loop, so that handlers never nest */
    GByteArray *out;
    size_t out_sent;
    uint64_t put, sent; /* bytes since the connection was made: added to out, and written to the socket */
    tc_time_t since;    /* state or last progress */
    tc_time_t arrived;
    loop_fn_t gone;
    void *gone_arg;
};

struct web_server {
    loop_t *loop;
    loop_watch_t listener;
    const web_limits_t *limits;
    web_handler_t handler;
    void *arg;
    struct cds_list_head conns;
    loop_timer_t sweep;
    size_t held; /* bytes of bodies and answers, as counted */
    unsigned busy;
    bool retiring;
};

/* ===== web_server.c ===== */

/** Close the connection and free it. */
void exchange_close(web_exchange_t *c);
/** Hand bytes to the parser; may answer and so free the connection. */
void exchange_parse(web_exchange_t *c, const char *data, size_t size);

/** Make an array empty, and free its room when that is large. */
void exchange_empty(GByteArray **bytes);
/** The body is needed no more. */
void exchange_drop_body(web_exchange_t *c);

/* ===== web_response.c ===== */

/** The server counts the answer no more. */
void exchange_release_answer(web_exchange_t *c);

/** Add bytes to those that wait to be sent. */
void exchange_put(web_exchange_t *c, const void *data, size_t size);
/** Send what waits, as far as the caller takes it. @return false when the connection broke, or too much waits */
bool exchange_flush(web_exchange_t *c);

#endif
