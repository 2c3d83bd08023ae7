/** @file callers.h
 * The soak's clients: each sends one request after the other to any box, and resumes a stream that broke off. Their
 * answers are checked.
 */
#ifndef TRACKCOVE_TESTS_SOAK_CALLERS_H
#define TRACKCOVE_TESTS_SOAK_CALLERS_H

#include "platform/soak/routes.h"
#include "platform/soak/world.h"

enum { CALLERS_MAX = 60 };

/** A client that sends one request after the other. */
typedef struct {
    lab_call_t *call; /* NULL between requests */
    char id[24];      /* of the attempt */
    char name[16];    /* of the plain request or stream, the same for all its attempts */
    kind_t kind;
    int box;
    record_t *stream;      /* requested until it is complete, or NULL */
    char first_id[24];     /* attempt that brought the stream's first event; "": none yet */
    unsigned requests;     /* attempts for name so far */
    size_t abort_at_bytes; /* the client closes after this many bytes; 0: never */
    tc_time_t began;       /* when the request was sent */
} caller_t;

/** All clients. Set up with zeroes, the world and the client. */
typedef struct {
    world_t *world;
    web_client_t *client;
    caller_t callers[CALLERS_MAX];
    unsigned started, answered, served, refused, unknown;
    unsigned aborted, resumed; /* streams that clients aborted; streams that they resumed */
    unsigned served_in_row;    /* requests served since the last failure */
} callers_t;

/** Sends the requests that are due and checks the answers. */
void callers_drive(callers_t *callers);

#endif
