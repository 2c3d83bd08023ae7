/** @file route.h
 * Routing table: which service a request goes to, and under which bounds. Built once from a configuration, then
 * read only; a request keeps the table it was routed by until it ends.
 */
#ifndef TRACKCOVE_FORWARD_ROUTE_H
#define TRACKCOVE_FORWARD_ROUTE_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"
#include "web/web_server.h"
#include "workspace/workspace.h"

/* ===== Types ===== */

/** What may happen to a request more than once. */
typedef enum {
    ROUTE_SAFE,   /**< may run any number of times */
    ROUTE_UNSAFE, /**< may run at most once */
    ROUTE_STREAM  /**< answered by events; at most once, unless it may be resumed */
} route_kind_t;

/** One of the services that a route's requests are shared out to. */
typedef struct {
    char *service;
    uint32_t weight;
} route_target_t;

/** One route. Owned by its table. */
typedef struct {
    char *host;   /**< lower case, without a port */
    char *prefix; /**< begins and ends with a slash */
    route_kind_t kind;
    bool resumable;
    bool auth_exempt;         /**< whoever asks is served, without a key */
    uint32_t priority;        /**< 0 is the most urgent */
    uint32_t max_attempts;    /**< most back ends that one request may run on */
    tc_time_t timeout;        /**< longest time a request is held */
    tc_time_t latency_target; /**< answers later than this earn less */
    tc_time_t gap_target;     /**< streams with a longer pause between two events earn less; 0 when unknown */
    GArray *targets;          /**< route_target_t */
    uint32_t weight_sum;
} route_t;

/** One service. Owned by its table. */
typedef struct {
    char *name;
    uint32_t max_connections; /**< of all boxes together, to one back end */
    bool engines;             /**< its back ends compute prompts and tokens */
    uint32_t slots;           /**< requests that one engine runs at once */
    uint32_t memory_tokens;   /**< KV cache of one engine */
    double link_tokens_s;     /**< KV cache that one engine's link carries, tokens a second; 0 when unknown */
    double cold_rate;         /**< requests a second of all boxes that a cold back end bears; 0: as any other */
    tc_time_t hold_ttl;       /**< longest time that memory of an engine can be set aside, 0 for never */
    tc_time_t handle_ttl;     /**< how long a prefill result is kept */
} route_service_t;

/** All routes of one version of the configuration. Counted references. */
typedef struct {
    uint64_t version;
    web_limits_t limits;
    GPtrArray *routes;        /**< route_t */
    GHashTable *services;     /**< name to route_service_t */
    GHashTable *places;       /**< host and prefix to route_t */
    workspaces_t *workspaces; /**< NULL: the configuration knows none, and requests need no key */
    unsigned refs;
} route_table_t;

/* ===== Public functions ===== */

/** An empty table, with one reference. */
route_table_t *route_table_create(uint64_t version);
/** One more reference. @return @p table */
route_table_t *route_table_ref(route_table_t *table);
/** One reference less; freed with the last. NULL is none. */
void route_table_unref(route_table_t *table);

/** Take over a route with its targets. @return false, with the route freed, when its place is taken */
bool route_table_add(route_table_t *table, route_t *route);
/** Free a route that no table took over. */
void route_free(route_t *route);

/** Take over a service. @return false, with the service freed, when its name is taken */
bool route_table_add_service(route_table_t *table, route_service_t *service);
/** The service of that name, or NULL. */
const route_service_t *route_table_service(const route_table_t *table, const char *name);

/** The route of that host (a port behind it is passed over) whose prefix begins the path and is longest, or NULL. */
const route_t *route_table_find(const route_table_t *table, const char *host, const char *target);

/** Which of a route's services takes a request. @param draw a random number */
const char *route_pick_service(const route_t *route, uint32_t draw);

/** Whether a request of this route may run again after it may have run. */
bool route_is_repeatable(const route_t *route);

#endif
