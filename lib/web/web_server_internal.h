/** @file web_server_internal.h
 * Shared by web_server.c (connections, requests) and web_response.c (responses). Private to these two files.
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
    bool paused; /* nothing is read: enough of the next request is buffered */
    bool broken; /* bytes of a response were dropped: no more are sent */
    exchange_state_t state;
    http_parser parser;
    bool request_started; /* a byte of the request has been read */
    bool in_body;         /* all its headers have been read */
    bool complete;        /* the parser has a complete request */
    bool keep_alive;      /* the connection stays open after the response */
    bool head_only;       /* HEAD request: no response to it has a body */
    bool bodiless;        /* the response in progress has no body */
    bool chunked;         /* the response in progress uses chunked encoding */
    bool unframed;     /* the end of the connection ends the response: if it ends early, the connection must be reset */
    bool is_http10;    /* the request is HTTP/1.0 or older */
    int refuse_status; /* status with which the request is refused, set by the parser callbacks; 0: none */
    GString *target;
    web_headers_t headers;
    GByteArray *body;
    size_t body_counted, response_counted; /* its share of the server's buffered_bytes */
    GByteArray *pipelined;                 /* bytes after the request being handled, not parsed yet */
    loop_timer_t next_timer;               /* parses them from the loop, so that handlers never nest */
    GByteArray *out;
    size_t out_sent;
    buffer_share_t unsent; /* of out, while the caller does not read */
    uint64_t bytes_queued,
        bytes_sent;        /* totals of the connection: bytes added to out, and bytes written to the socket */
    tc_time_t progress_at; /* time of the last change of state or of the last progress */
    tc_time_t arrived;
    loop_fn_t on_disconnect;
    void *disconnect_arg;
};

struct web_server {
    loop_t *loop;
    loop_watch_t listener;
    const web_limits_t *limits;
    web_handler_t handler;
    void *arg;
    struct cds_list_head conns;
    loop_timer_t sweep;
    buffer_budget_t *budget; /* NULL: no limit */
    size_t buffered_bytes;   /* request bodies and responses of all connections */
    unsigned in_flight;
    bool draining;
};

/* ===== web_server.c ===== */

/** Close the connection and free it. */
void exchange_close(web_exchange_t *c);
/** Feed bytes to the parser. May respond, and so may free the connection. */
void exchange_parse(web_exchange_t *c, const char *data, size_t size);

/** Empty a buffer, and release its memory when it is large. */
void exchange_reset_buffer(GByteArray **bytes);
/** Free the request body and remove it from the server's buffered_bytes. */
void exchange_free_body(web_exchange_t *c);

/* ===== web_response.c ===== */

/** Remove the response from the server's buffered_bytes. */
void exchange_uncount_response(web_exchange_t *c);

/** Stop or resume reading from the caller. */
void exchange_pause(web_exchange_t *c, bool paused);

/** Append bytes to the output buffer. */
void exchange_queue(web_exchange_t *c, const void *data, size_t size);
/** Write the output buffer to the socket as far as possible. @return false when the connection is broken or the buffer
 *  exceeds its limit */
bool exchange_flush(web_exchange_t *c);

#endif
