#include "egress/relay_pool.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "common/codec.h"

struct relay_pool {
    GPtrArray *relays;   /* relay_t, owned */
    GHashTable *by_addr; /* the same, addr -> relay_t */
};

/** Cost of a box in another data centre, in open tunnels: every byte crosses the border between them. */
enum { REMOTE_DC_TUNNELS = 4 };

relay_pool_t *relay_pool_create(void)
{
    relay_pool_t *const pool = g_new0(relay_pool_t, 1);
    pool->relays = g_ptr_array_new_with_free_func(g_free);
    pool->by_addr = g_hash_table_new(g_str_hash, g_str_equal);
    return pool;
}

void relay_pool_destroy(relay_pool_t *pool)
{
    g_hash_table_destroy(pool->by_addr);
    g_ptr_array_free(pool->relays, TRUE);
    g_free(pool);
}

bool relay_addr_of(const char *peer_addr, char to[CODEC_STR_SIZE])
{
    const char *const colon = strrchr(peer_addr, ':');
    const long port = colon ? strtol(colon + 1, NULL, 10) : 0;
    if (port <= 0 || port >= UINT16_MAX)
        return false;
    g_snprintf(to, CODEC_STR_SIZE, "%.*s:%ld", (int)(colon - peer_addr), peer_addr, port + 1);
    return true;
}

relay_t *relay_pool_find(const relay_pool_t *pool, const char *addr)
{
    return g_hash_table_lookup(pool->by_addr, addr);
}

static relay_t *make_relay(const relay_pool_t *pool, const entry_box_t *box, const char *addr)
{
    const relay_t *const known = relay_pool_find(pool, addr);
    relay_t *const relay = known ? g_memdup2(known, sizeof(*known)) : g_new0(relay_t, 1);
    codec_copy_string(relay->box, sizeof(relay->box), box->box);
    codec_copy_string(relay->addr, sizeof(relay->addr), addr);
    codec_copy_string(relay->dc, sizeof(relay->dc), box->dc);
    return relay;
}

void relay_pool_set(relay_pool_t *pool, const entry_box_t *boxes, uint32_t n, const char *self)
{
    GPtrArray *const relays = g_ptr_array_new_with_free_func(g_free);
    for (uint32_t i = 0; i < n; i++) {
        char addr[CODEC_STR_SIZE];
        if (!boxes[i].ready || boxes[i].leaving || strcmp(boxes[i].box, self) == 0 ||
            !relay_addr_of(boxes[i].peer_addr, addr))
            continue;
        g_ptr_array_add(relays, make_relay(pool, &boxes[i], addr));
    }
    g_hash_table_remove_all(pool->by_addr);
    g_ptr_array_free(pool->relays, TRUE);
    pool->relays = relays;
    for (guint i = 0; i < relays->len; i++) {
        relay_t *const relay = g_ptr_array_index(relays, i);
        g_hash_table_insert(pool->by_addr, relay->addr, relay);
    }
}

static bool was_tried(const relay_t *relay, const relay_query_t *query)
{
    for (unsigned i = 0; i < query->tried_n; i++)
        if (strcmp(query->tried[i], relay->addr) == 0)
            return true;
    return false;
}

static unsigned cost_of(const relay_t *relay, const relay_query_t *query)
{
    return relay->tunnels + (strcmp(relay->dc, query->dc) == 0 ? 0 : REMOTE_DC_TUNNELS);
}

relay_t *relay_pool_choose(const relay_pool_t *pool, const relay_query_t *query)
{
    GPtrArray *const good = g_ptr_array_new();
    relay_t *last_resort = NULL; /* the avoided one whose time ends first */
    for (guint i = 0; i < pool->relays->len; i++) {
        relay_t *const relay = g_ptr_array_index(pool->relays, i);
        if (was_tried(relay, query))
            continue;
        if (relay->avoid_until <= query->now)
            g_ptr_array_add(good, relay);
        else if (!last_resort || relay->avoid_until < last_resort->avoid_until)
            last_resort = relay;
    }
    relay_t *chosen = query->known_good ? NULL : last_resort;
    if (good->len > 0) {
        relay_t *const one = g_ptr_array_index(good, query->random % good->len);
        relay_t *const two = g_ptr_array_index(good, query->random / good->len % good->len);
        chosen = cost_of(one, query) <= cost_of(two, query) ? one : two;
    }
    g_ptr_array_free(good, TRUE);
    return chosen;
}

void relay_record_success(relay_t *relay)
{
    relay->failures = 0;
    relay->avoid_until = 0;
}

void relay_record_failure(relay_t *relay, tc_time_t now)
{
    enum { DOUBLINGS_MAX = 3 };
    const tc_time_t pause = (tc_time_t)RELAY_AVOID_MIN_MS << MIN(relay->failures, DOUBLINGS_MAX);
    relay->failures++;
    relay->avoid_until = now + MIN(pause, RELAY_AVOID_MAX_MS);
}
