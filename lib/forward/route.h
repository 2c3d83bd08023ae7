/** @file route.h
 * Routing table: maps a request to its service and bounds. Built once from a configuration, then read only. A request
 * holds a reference to the table it was routed by until it ends.
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

/** How often a request may run. */
typedef enum {
    ROUTE_SAFE,   /**< any number of times */
    ROUTE_UNSAFE, /**< at most once */
    ROUTE_STREAM  /**< answered by a stream of events; at most once, unless resumable */
} route_kind_t;

/** One of the services among which a route's requests are split by weight. */
typedef struct {
    char *service;
    double weight; /**< 0 or more; only its ratio to the others counts */
    double bound;  /**< upper end of its part of [0, 1), set by route_table_add */
} route_target_t;

/** One route. Owned by its table. */
typedef struct {
    char *host;   /**< lower case, without a port */
    char *prefix; /**< begins and ends with a slash */
    route_kind_t kind;
    bool resumable;
    bool auth_exempt;         /**< requests need no key */
    uint32_t priority;        /**< 0 is the most urgent */
    uint32_t max_attempts;    /**< back ends that one request may run on, at most */
    tc_time_t timeout;        /**< time a request may take in all, ms */
    tc_time_t latency_target; /**< target for the answer or the first event, ms */
    tc_time_t gap_target;     /**< target for the gap between two events of a stream, ms; 0: none */
    GArray *targets;          /**< route_target_t */
} route_t;

/** One service. Owned by its table. */
typedef struct {
    char *name;
    uint32_t max_connections; /**< to one back end, from all boxes together */
    bool engines;             /**< its back ends are inference engines */
    uint32_t slots;           /**< concurrent requests per engine */
    uint32_t memory_tokens;   /**< KV cache per engine, in tokens */
    double link_tokens_s;     /**< transfer rate of one engine's link for KV cache, tokens/s; 0 when unknown */
    double cold_rate;         /**< requests/s from all boxes that a cold back end can serve; 0: no limit */
    tc_time_t hold_ttl;       /**< longest memory reservation at an engine, ms; 0: not supported */
    tc_time_t handle_ttl;     /**< how long an engine keeps a prefill result, ms */
} route_service_t;

/** All routes of one version of the configuration. Reference counted. */
typedef struct {
    uint64_t version;
    web_limits_t limits;
    GPtrArray *routes;        /**< route_t */
    GHashTable *services;     /**< name to route_service_t */
    GHashTable *by_prefix;    /**< host and prefix to route_t */
    GHashTable *ranks;        /**< service to the priorities of its routes; private to route.c */
    workspaces_t *workspaces; /**< NULL: none are configured, and requests need no key */
    unsigned refs;
} route_table_t;

/* ===== Public functions ===== */

/** Creates an empty table with one reference. */
route_table_t *route_table_create(uint64_t version);
/** Adds a reference. @return @p table */
route_table_t *route_table_ref(route_table_t *table);
/** Drops a reference and frees the table with the last one. NULL is ignored. */
void route_table_unref(route_table_t *table);

/** Adds a route, whose ownership is taken. @return false, with the route freed, when its host and prefix are in use */
bool route_table_add(route_table_t *table, route_t *route);
/** Frees a route that is in no table. */
void route_free(route_t *route);

/** Adds a service, whose ownership is taken. @return false, with the service freed, when its name is in use */
bool route_table_add_service(route_table_t *table, route_service_t *service);
/** @return the service of that name, or NULL */
const route_service_t *route_table_service(const route_table_t *table, const char *name);

/** Whether the service is ranked: its routes have different priorities. @param service NULL: whether any service of
 *  engines is */
bool route_table_is_ranked(const route_table_t *table, const char *service);

/** Urgency of a request among those of its service, 0 to 9 (common/urgency.h). @param rank as in msg_place_t */
unsigned route_table_urgency(const route_table_t *table, const char *service, uint32_t priority, uint32_t rank);

/** @return the route of that host with the longest prefix of the path, or NULL. A port in @p host is ignored. */
const route_t *route_table_find(const route_table_t *table, const char *host, const char *target);

/** Chooses one of the route's services by weight. @param draw a random number in [0, 1)
 * @return NULL when no weight is above 0 */
const char *route_pick_service(const route_t *route, double draw);

/** Whether a request of the route may run more than once. */
bool route_is_repeatable(const route_t *route);

#endif
