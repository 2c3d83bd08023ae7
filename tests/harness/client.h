/** @file client.h
 * Client for fault tests: streams an answer in a thread of its own and checks every token.
 */
#ifndef TRACKCOVE_TESTS_CLIENT_H
#define TRACKCOVE_TESTS_CLIENT_H

#include <pthread.h>
#include <stdatomic.h>

#include "harness/cluster.h"

typedef struct {
    char id[64];
    char addr[64];
    unsigned prompt_tokens, max_tokens;
    bool once;           /* sends X-Trackcove-Repeatable: no */
    bool resend;         /* sends Last-Event-ID, to resume a request that was sent before */
    unsigned last_event; /* last token that the client already has */
    char event_id[48];   /* id of the last event received; when set before the start, sent instead of last_event */
    /* results */
    pthread_t thread;
    atomic_uint got;        /* last token received; starts at last_event */
    atomic_bool disconnect; /* set to make the client disconnect */
    atomic_bool ended;
    bool complete;   /* [DONE] was received */
    bool wrong;      /* the text or the length differs from the expected answer */
    bool duplicated; /* an event was received twice */
    char error[32];  /* error.type; "": no error */
    int status;      /* HTTP status; 0: no answer */
} client_t;

/** Initialises a request. The prompt is derived from @p id, so that prompts of different ids differ. */
void client_init(client_t *client, const char *id, unsigned prompt_tokens, unsigned max_tokens);

/** Starts the request at an entry box of the cluster, such as "entry-1". The caller joins it with client_join(). */
void client_start(client_t *client, const cluster_t *cluster, const char *entry);

/** Waits until the request has ended. */
void client_join(client_t *client);

/** Waits until the client has @p tokens tokens. @return false after @p limit_ms, or when the request ended with fewer
 */
bool client_wait_tokens(client_t *client, unsigned tokens, int limit_ms);

/** How often a run or an answer began for a request id, as counted by the stub. @param what "runs" or "answers" */
int client_count(cluster_t *cluster, const char *id, const char *what);

/** Value of a counter at a box's /metrics, -1 when it is absent or the box does not answer. */
long long client_metric(cluster_t *cluster, const char *name, const char *metric);

/** Waits until no engine of the stub holds KV pieces. @return false after @p limit_ms */
bool client_wait_idle(cluster_t *cluster, int limit_ms);

/** Calls a plain service. @param type receives error.type, or "" @return HTTP status, 0 when there was no answer */
int client_call_service(const cluster_t *cluster, const char *entry, const char *service, const char *id, bool once,
                        char type[32]);

/** Plans and confirms a configuration change. @param patch JSON merge patch @return HTTP status of the confirmation, or
 *  of the plan when that fails; 0 when no leader answered */
int client_change_config(cluster_t *cluster, const char *request, const char *patch);

/** Waits until the leader reports that the accepted configuration is in force on all boxes. @return false after
 *  @p limit_ms */
bool client_wait_in_force(cluster_t *cluster, int limit_ms);

#endif
