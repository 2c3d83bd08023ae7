#include "forward/route.h"

#include <string.h>

#include "common/urgency.h"

/** Priorities of a service's routes. */
typedef struct {
    uint32_t lowest, highest;
    urgency_set_t all;
} rank_range_t;

/* ===== Creating and freeing ===== */

static void target_clear(void *target)
{
    g_free(((route_target_t *)target)->service);
}

void route_free(route_t *route)
{
    g_free(route->host);
    g_free(route->prefix);
    if (route->targets) {
        g_array_set_clear_func(route->targets, target_clear);
        g_array_free(route->targets, TRUE);
    }
    g_free(route);
}

static void service_free(void *service)
{
    g_free(((route_service_t *)service)->name);
    g_free(service);
}

static void free_route(void *route)
{
    route_free(route);
}

route_table_t *route_table_create(uint64_t version)
{
    route_table_t *const t = g_new0(route_table_t, 1);
    t->version = version;
    t->routes = g_ptr_array_new_with_free_func(free_route);
    t->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, service_free);
    t->by_prefix = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    t->ranks = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    t->refs = 1;
    return t;
}

route_table_t *route_table_ref(route_table_t *t)
{
    t->refs++;
    return t;
}

void route_table_unref(route_table_t *t)
{
    if (!t || --t->refs > 0)
        return;
    g_hash_table_destroy(t->ranks);
    g_hash_table_destroy(t->by_prefix);
    g_hash_table_destroy(t->services);
    g_ptr_array_free(t->routes, TRUE);
    workspaces_free(t->workspaces);
    g_free(t);
}

/* ===== Building ===== */

static char *prefix_key(const char *host, const char *prefix)
{
    return g_strconcat(host, " ", prefix, NULL); /* a host contains no space */
}

static void add_rank(route_table_t *t, const char *service, uint32_t priority)
{
    rank_range_t *range = g_hash_table_lookup(t->ranks, service);
    if (!range) {
        range = g_new0(rank_range_t, 1);
        *range = (rank_range_t){.lowest = priority, .highest = priority};
        g_hash_table_insert(t->ranks, g_strdup(service), range);
    }
    range->lowest = MIN(range->lowest, priority);
    range->highest = MAX(range->highest, priority);
    range->all = urgency_set_add(range->all, priority);
}

static bool is_ranked(const route_table_t *t, const char *service)
{
    const rank_range_t *const range = g_hash_table_lookup(t->ranks, service);
    return range && range->lowest != range->highest;
}

bool route_table_is_ranked(const route_table_t *t, const char *service)
{
    if (service)
        return is_ranked(t, service);
    GHashTableIter at;
    gpointer value;
    g_hash_table_iter_init(&at, t->services);
    while (g_hash_table_iter_next(&at, NULL, &value)) {
        const route_service_t *const s = value;
        if (s->engines && is_ranked(t, s->name))
            return true;
    }
    return false;
}

unsigned route_table_urgency(const route_table_t *t, const char *service, uint32_t priority, uint32_t rank)
{
    const rank_range_t *const range = g_hash_table_lookup(t->ranks, service);
    return urgency_level(range ? range->all : 0, workspaces_priorities(t->workspaces), priority, rank);
}

/** Divides [0, 1) among the targets. Weights are scaled by the largest first, so that no sum overflows or vanishes. */
static void set_bounds(GArray *targets)
{
    double largest = 0, sum = 0, end = 0;
    for (guint i = 0; i < targets->len; i++)
        largest = MAX(largest, g_array_index(targets, route_target_t, i).weight);
    for (guint i = 0; i < targets->len && largest > 0; i++)
        sum += g_array_index(targets, route_target_t, i).weight / largest;
    for (guint i = 0; i < targets->len && largest > 0; i++) {
        route_target_t *const target = &g_array_index(targets, route_target_t, i);
        end += target->weight / largest;
        target->bound = end / sum;
    }
}

bool route_table_add(route_table_t *t, route_t *route)
{
    char *const key = prefix_key(route->host, route->prefix);
    if (g_hash_table_contains(t->by_prefix, key)) {
        g_free(key);
        route_free(route);
        return false;
    }
    set_bounds(route->targets);
    for (guint i = 0; i < route->targets->len; i++) {
        const route_target_t *const target = &g_array_index(route->targets, route_target_t, i);
        if (target->weight > 0)
            add_rank(t, target->service, route->priority);
    }
    g_ptr_array_add(t->routes, route);
    g_hash_table_insert(t->by_prefix, key, route);
    return true;
}

bool route_table_add_service(route_table_t *t, route_service_t *service)
{
    if (g_hash_table_contains(t->services, service->name)) {
        service_free(service);
        return false;
    }
    g_hash_table_insert(t->services, service->name, service);
    return true;
}

const route_service_t *route_table_service(const route_table_t *t, const char *name)
{
    return g_hash_table_lookup(t->services, name);
}

/* ===== Looking up ===== */

const route_t *route_table_find(const route_table_t *t, const char *host, const char *target)
{
    char name[256], path[1024], key[sizeof(name) + sizeof(path) + 2];
    g_strlcpy(name, host, sizeof(name));
    name[strcspn(name, ":")] = '\0';
    for (char *c = name; *c; c++)
        *c = g_ascii_tolower(*c);
    g_strlcpy(path, target, sizeof(path));
    path[strcspn(path, "?#")] = '\0';
    /* Every prefix ends with a slash: try the path up to each slash, longest first. */
    for (char *slash = strrchr(path, '/'); slash; slash = strrchr(path, '/')) {
        slash[1] = '\0';
        g_snprintf(key, sizeof(key), "%s %s", name, path);
        const route_t *const route = g_hash_table_lookup(t->by_prefix, key);
        if (route)
            return route;
        slash[0] = '\0';
    }
    return NULL;
}

const char *route_pick_service(const route_t *route, double draw)
{
    const char *last = NULL; /* taken when rounding left its bound below the draw */
    for (guint i = 0; i < route->targets->len; i++) {
        const route_target_t *const target = &g_array_index(route->targets, route_target_t, i);
        if (target->weight <= 0)
            continue;
        if (draw < target->bound)
            return target->service;
        last = target->service;
    }
    return last;
}

bool route_is_repeatable(const route_t *route)
{
    switch (route->kind) {
    case ROUTE_SAFE: return true;
    case ROUTE_UNSAFE: return false;
    case ROUTE_STREAM: return route->resumable;
    }
    return false;
}
