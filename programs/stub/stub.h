/** @file stub.h
 * Shared by the HTTP handlers of the stub: engines and services (stub.c), faults and counts (admin.c).
 */
#ifndef TRACKCOVE_STUB_STUB_H
#define TRACKCOVE_STUB_STUB_H

#include <jansson.h>

#include "http/http.h"
#include "stub/sim.h"

enum { STUB_WORKERS_MAX = 64 };

/** A worker of a plain service. */
typedef struct {
    char name[CODEC_STR_SIZE];
    bool dead, leaving, leaving_listed;
    double slow_ms, list_update_at;
    double shed_until;                        /* ms; until then it answers 503 with Retry-After */
    double die_before_until, die_after_until; /* ms; until then connections close before, or after, the work is done */
} worker_t;

extern sim_t *sim;
extern worker_t workers[STUB_WORKERS_MAX];
extern uint32_t n_workers;

/** Sends an error response. @return @p status */
int stub_send_error(struct mg_connection *conn, int status, const char *type, const char *text);

/** @return the string of a JSON object at @p key, or "" if there is none */
const char *stub_json_string(const json_t *body, const char *key);

/** Reads the request's body. @return a new reference, or NULL if it is not valid JSON */
json_t *stub_read_json(struct mg_connection *conn);

worker_t *stub_find_worker(const char *name);

/** Handlers for tests. */
int stub_fault_handler(struct mg_connection *conn, void *arg);
int stub_stats_handler(struct mg_connection *conn, void *arg);
int stub_runs_handler(struct mg_connection *conn, void *arg);

#endif
