/** @file web_client_internal.h
 * Shared by web_client.c (connections, requests) and web_client_response.c (responses). Private to these two files.
 */
#ifndef TRACKCOVE_WEB_WEB_CLIENT_INTERNAL_H
#define TRACKCOVE_WEB_WEB_CLIENT_INTERNAL_H

/* ===== Dependencies ===== */

#include <http_parser.h>
#include <urcu/list.h>

#include "egress/dial.h"
#include "egress/tunnel.h"
#include "web/answer_meter.h"
#include "web/web_client.h"

/* ===== Types ===== */

struct web_call {
    struct cds_list_head node; /* in client->calls, or in client->idle */
    web_client_t *client;
    char addr[CODEC_STR_SIZE];
    dial_t dial;                /* until connected */
    loop_watch_t watch;         /* fd is -1 until connected */
    char relay[CODEC_STR_SIZE]; /* address of the relay that the connection goes through; "": it is direct */
    tunnel_reader_t tunnel;
    tc_time_t opened_at; /* when the connection was begun */
    bool writing, idle;
    bool reused;      /* the connection has served another call before */
    bool answered;    /* bytes came for this call */
    bool sent;        /* a byte of the request may have left this box */
    bool head_seen;   /* a response head was accepted */
    bool skipping;    /* the response being read belongs to another request */
    bool complete;    /* the parser has the complete response */
    bool send_failed; /* sending failed: an end of the connection is then not an orderly one */
    bool cancelled;   /* cancelled from within one of its own callbacks */
    bool in_callback;
    GByteArray *request;
    size_t written;
    http_parser parser;
    web_headers_t headers;      /* of the head being read; empty while a body is */
    buffer_share_t head_buffer; /* counts headers */
    bool in_body;               /* after a head: header lines are trailers, and dropped */
    answer_meter_t meter;
    web_sink_t sink;
    loop_timer_t strand_timer; /* ends a call that a cut leaves hanging */
    tc_time_t idle_until;
    tc_time_t idle_ms;
};

struct web_client {
    loop_t *loop;
    egress_t *egress;        /* NULL: all connections are direct */
    buffer_budget_t *budget; /* NULL: no limit */
    struct cds_list_head calls;
    struct cds_list_head idle;
    loop_timer_t sweep;
    unsigned idle_max;
};

/* ===== web_client.c ===== */

/** Close the connection of the call and free it. */
void web_call_free(web_call_t *call);
/** End a call. @param keep whether its connection may serve another */
void web_call_finish(web_call_t *call, web_result_t how, bool keep);
/** The connection failed or was closed early, or a response exceeded a limit. */
void web_call_fail(web_call_t *call);

/* ===== web_client_response.c ===== */

/** Begin to count what is read and buffered for a call. */
void web_call_begin_response(web_call_t *call);
/** Feed bytes to the parser; size 0 is an orderly end of the connection. May free the call.
 *  @return whether the call goes on */
bool web_call_parse(web_call_t *call, const char *data, size_t size);
/** Tell the call's user which limit its response exceeded. */
void web_call_report_excess(const web_call_t *call);

#endif
