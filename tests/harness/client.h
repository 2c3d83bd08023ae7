/** @file client.h
 * One caller of a fault test: streams an answer in a thread of its own and checks every token.
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
    bool once;           /* not repeatable */
    bool resend;         /* says that it sends this id again */
    unsigned last_event; /* the answer is had up to here */
    char event_id[48];   /* id of the last event, as it came; set before it begins it is sent instead of last_event */
    /* what happened */
    pthread_t thread;
    atomic_uint got;   /* tokens, those before last_event included */
    atomic_bool leave; /* set to make the caller go */
    atomic_bool ended;
    bool whole, wrong, doubled;
    char error[32]; /* error.type, "" for none */
    int status;
} client_t;

/** Fill in a request; prompts differ by id. */
void client_init(client_t *client, const char *id, unsigned prompt_tokens, unsigned max_tokens);

/** Begin on an entry of the cluster ("entry-1"). */
void client_start(client_t *client, const cluster_t *cluster, const char *entry);

/** Wait for its end. */
void client_join(client_t *client);

/** Wait until it has so many tokens. @return false after @p limit_ms or when it ended before */
bool client_wait_tokens(client_t *client, unsigned tokens, int limit_ms);

/** How often work, or answers, began for an id, as the stand-in counts. @param what "runs" or "answers" */
int client_count(cluster_t *cluster, const char *id, const char *what);

/** Value of a counter of a box's /metrics. */
long long client_metric(cluster_t *cluster, const char *name, const char *metric);

/** Wait until engines hold nothing. */
bool client_wait_idle(cluster_t *cluster, int limit_ms);

/** Call a plain service. @param type filled with error.type or "" @return HTTP status, 0 when there was no answer */
int client_call_service(const cluster_t *cluster, const char *entry, const char *service, const char *id, bool once,
                        char type[32]);

/** Plan and confirm a configuration change. @return HTTP status of the confirmation, 0 when no leader answered */
int client_change_config(cluster_t *cluster, const char *request, const char *patch);

/** Wait until the leader says that its accepted version is in force everywhere. */
bool client_wait_in_force(cluster_t *cluster, int limit_ms);

#endif
