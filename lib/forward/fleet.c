#include "forward/fleet.h"

#include <stdlib.h>
#include <string.h>

#include "cluster/cold.h"
#include "common/feature.h"
#include "common/ring.h"

/* ===== Constants ===== */

enum {
    FIRST_BACKOFF_MS = 300, /* a restarted back end is back within a few hundred ms */
    MAX_BACKOFF_MS = 3000,  /* a crashed one leaves the platform's list after some seconds */
    OUTDATED_MS = 2500,     /* the platform's list lags by about a second, and is read once a second */
    REFUSED_MS = 60,        /* about the time of one request: a slot may be free again */
    DEFAULT_SLOTS = 8       /* of back ends whose list entry has none */
};

/** Cost of another data centre, as a share of a back end's slots: about one request of eight slots, so that distance
 *  decides between back ends of equal load and does not outweigh load. */
static const double REMOTE_DC_COST = 0.12;
/** Cost of each suspect request at a back end for another suspect one (a back end has ended under it). Spreads them, so
 *  that one that makes back ends end does not end others with it. More than the cost of a full back end. */
static const double SUSPECT_COST = 1.5;
/** A prompt of this many tokens counts as one request when prefill engines are compared. */
static const double PROMPT_TOKENS = 5000.0;

/** A choice stops at this many matching instances, starting at a random index. Pools of a few hundred back ends are
 *  examined completely. */
enum { MAX_MATCHES = 512 };

/* ===== Types ===== */

/** Listed instances of one service and stage, borrowed. */
typedef struct {
    instance_t *const *instances;
    guint n;
} pool_t;

struct fleet {
    GPtrArray *instances; /* listed ones */
    GHashTable *pools;    /* the same by service and stage: text of pool_key_t -> GPtrArray, owned */
    uint64_t examined;    /* instances that queries have examined */
    GHashTable *by_id;    /* the same, instance_t.listed.id -> instance_t */
    GHashTable *by_addr;  /* the same, instance_t.listed.addr -> instance_t */
    evacuations_t evacuations;
    cold_t *cold;
    version_history_t *versions;
    GHashTable *shared;            /* services whose back ends state a pace */
    tc_time_t listed_at, loads_at; /* 0: never */
};

/* ===== Instances ===== */

instance_t *instance_ref(instance_t *instance)
{
    instance->refs++;
    return instance;
}

void instance_unref(instance_t *instance)
{
    if (--instance->refs > 0)
        return;
    if (instance->prefix_report)
        g_byte_array_unref(instance->prefix_report);
    g_free(instance);
}

bool instance_accepts_work(const instance_t *instance, tc_time_t now)
{
    return instance->present && !instance->listed.draining && !instance->evacuated &&
           availability_accepts(&instance->availability, CALL_NEW_WORK, now);
}

bool instance_accepts_maintenance(const instance_t *instance, tc_time_t now)
{
    return availability_accepts(&instance->availability, CALL_MAINTENANCE, now);
}

static void unref_instance(void *instance)
{
    instance_unref(instance);
}

void instance_begin(instance_t *instance, uint64_t tokens, unsigned ends)
{
    instance->running++;
    instance->tokens += tokens;
    instance->suspects += ends >= 1;
    instance->repeat_suspects += ends >= 2;
}

void instance_end(instance_t *instance, uint64_t tokens, unsigned ends)
{
    g_assert(instance->running > 0 && instance->tokens >= tokens); /* pairs with instance_begin */
    instance->running--;
    instance->tokens -= tokens;
    instance->suspects -= ends >= 1;
    instance->repeat_suspects -= ends >= 2;
}

bool instance_update_limit(instance_t *instance, const instance_limit_t *limit)
{
    const instance_limit_t before = instance->limit;
    if (limit->seen_at < before.seen_at)
        return false;
    instance->limit = *limit;
    if (!limit->is_set || limit->rate > before.rate)
        instance->limited_until = 0;
    return limit->is_set != before.is_set || limit->rate != before.rate;
}

/** When the instance is chosen again though there are others. */
static tc_time_t avoided_until(const instance_t *instance)
{
    return MAX(instance->avoid_until, spoil_record_next(&instance->spoiled));
}

bool instance_is_avoided(const instance_t *instance, tc_time_t now)
{
    return now < avoided_until(instance);
}

void instance_succeeded(instance_t *instance)
{
    instance->failures = 0;
    instance->avoid_until = 0;
}

void instance_failed(instance_t *instance, tc_time_t now)
{
    const unsigned doublings = instance->failures < 4 ? instance->failures : 4;
    const tc_time_t pause = (tc_time_t)FIRST_BACKOFF_MS << doublings;
    instance->failures++;
    if (!feature_is_enabled(FEATURE_EJECTION))
        return;
    instance->avoid_until = now + (pause < MAX_BACKOFF_MS ? pause : MAX_BACKOFF_MS);
}

void instance_outdated(instance_t *instance, tc_time_t now)
{
    instance->avoid_until = now + OUTDATED_MS;
}

void instance_refused(instance_t *instance, tc_time_t now)
{
    if (instance->avoid_until < now + REFUSED_MS)
        instance->avoid_until = now + REFUSED_MS;
}

/* ===== Pools ===== */

/** Hash key of a service and a stage. */
typedef struct {
    char text[CODEC_STR_SIZE + 8];
} pool_key_t;

static pool_key_t pool_key(const char *service, stage_t stage)
{
    pool_key_t key;
    g_snprintf(key.text, sizeof(key.text), "%d %s", (int)stage, service);
    return key;
}

static void pool_free(gpointer value)
{
    g_ptr_array_free(value, TRUE);
}

static GPtrArray *pool_get(const fleet_t *f, const instance_t *instance)
{
    const pool_key_t key = pool_key(instance->listed.service, instance->stage);
    GPtrArray *pool = g_hash_table_lookup(f->pools, key.text);
    if (pool)
        return pool;
    pool = g_ptr_array_new();
    g_hash_table_insert(f->pools, g_strdup(key.text), pool);
    return pool;
}

/** The listed instances of the query's service and stage; may be empty. */
static pool_t pool_of(const fleet_t *f, const fleet_query_t *query)
{
    const pool_key_t key = pool_key(query->service, query->stage);
    const GPtrArray *const pool = g_hash_table_lookup(f->pools, key.text);
    return pool ? (pool_t){.instances = (instance_t *const *)pool->pdata, .n = pool->len} : (pool_t){0};
}

/** The instance at @p index after @p from, with wrap-around. */
static instance_t *pool_at(fleet_t *f, const pool_t *pool, guint from, guint index)
{
    f->examined++;
    return pool->instances[(from + index) % pool->n];
}

uint64_t fleet_instances_examined(const fleet_t *f)
{
    return f->examined;
}

/* ===== The list ===== */

fleet_t *fleet_create(void)
{
    fleet_t *const f = g_new0(fleet_t, 1);
    f->instances = g_ptr_array_new_with_free_func(unref_instance);
    f->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    f->by_addr = g_hash_table_new(g_str_hash, g_str_equal);
    f->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, pool_free);
    f->cold = cold_create();
    f->versions = version_history_create();
    f->shared = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    return f;
}

void fleet_destroy(fleet_t *f)
{
    g_hash_table_destroy(f->by_id);
    g_hash_table_destroy(f->by_addr);
    g_hash_table_destroy(f->pools);
    g_ptr_array_free(f->instances, TRUE);
    codec_free(&evacuations_desc, &f->evacuations);
    cold_destroy(f->cold);
    version_history_destroy(f->versions);
    g_hash_table_destroy(f->shared);
    g_free(f);
}

static stage_t stage_of(const char *name)
{
    if (strcmp(name, "prefill") == 0)
        return STAGE_PREFILL;
    return strcmp(name, "decode") == 0 ? STAGE_DECODE : STAGE_NONE;
}

instance_t *fleet_find(const fleet_t *f, const char *id)
{
    return g_hash_table_lookup(f->by_id, id);
}

instance_t *fleet_find_at(const fleet_t *f, const char *addr)
{
    return g_hash_table_lookup(f->by_addr, addr);
}

instance_t *fleet_at(const fleet_t *f, unsigned index)
{
    g_assert(index < f->instances->len); /* contract of fleet_at */
    return g_ptr_array_index(f->instances, index);
}

void fleet_set_list(fleet_t *f, const backend_t *list, uint32_t n, tc_time_t fetched)
{
    f->listed_at = fetched;
    (void)cold_update_list(f->cold, fetched);
    version_history_set_list(f->versions, list, n, fetched);
    GPtrArray *const listed = g_ptr_array_new_with_free_func(unref_instance);
    for (uint32_t i = 0; i < n; i++) {
        instance_t *const known = fleet_find(f, list[i].id);
        instance_t *const instance = known ? instance_ref(known) : g_new0(instance_t, 1);
        if (!known) {
            instance->refs = 1;
            instance->ring = ring_position(list[i].id);
            load_estimate_init(&instance->load);
        }
        if (known && strcmp(known->listed.stage, list[i].stage) != 0)
            instance->avoid_until = 0; /* refusals and failures were those of its former stage */
        instance->listed = list[i];
        instance->stage = stage_of(list[i].stage);
        instance->evacuated = evacuations_has(&f->evacuations, list[i].dc);
        instance->cold = cold_is(f->cold, &list[i]);
        if (!list[i].draining)
            availability_listed_ready(&instance->availability, fetched);
        g_ptr_array_add(listed, instance);
    }
    for (guint i = 0; i < f->instances->len; i++)
        ((instance_t *)g_ptr_array_index(f->instances, i))->present = false;
    g_hash_table_remove_all(f->by_id);
    g_hash_table_remove_all(f->by_addr);
    g_hash_table_remove_all(f->pools);
    for (guint i = 0; i < listed->len; i++) {
        instance_t *const instance = g_ptr_array_index(listed, i);
        instance->present = true;
        g_hash_table_insert(f->by_id, instance->listed.id, instance);
        g_hash_table_insert(f->by_addr, instance->listed.addr, instance);
        g_ptr_array_add(pool_get(f, instance), instance);
    }
    g_ptr_array_free(f->instances, TRUE);
    f->instances = listed;
}

static void update_cold(const fleet_t *f)
{
    for (guint i = 0; i < f->instances->len; i++) {
        instance_t *const instance = g_ptr_array_index(f->instances, i);
        instance->cold = cold_is(f->cold, &instance->listed);
    }
}

void fleet_confirm_list(fleet_t *f, tc_time_t fetched)
{
    f->listed_at = fetched;
    if (cold_update_list(f->cold, fetched))
        update_cold(f);
    for (guint i = 0; i < f->instances->len; i++) {
        instance_t *const instance = g_ptr_array_index(f->instances, i);
        if (!instance->listed.draining)
            availability_listed_ready(&instance->availability, fetched);
    }
}

tc_time_t fleet_list_age(const fleet_t *f, tc_time_t now)
{
    return f->listed_at ? now - f->listed_at : TC_TIME_NEVER;
}

tc_time_t fleet_loads_age(const fleet_t *f, tc_time_t now)
{
    return f->loads_at ? now - f->loads_at : TC_TIME_NEVER;
}

unsigned fleet_size(const fleet_t *f)
{
    return f->instances->len;
}

void fleet_set_evacuations(fleet_t *f, const evacuations_t *evacuations, tc_time_t now)
{
    cold_update_evacuations(f->cold, &f->evacuations, evacuations, now);
    evacuations_copy(&f->evacuations, evacuations);
    for (guint i = 0; i < f->instances->len; i++) {
        instance_t *const instance = g_ptr_array_index(f->instances, i);
        instance->evacuated = evacuations_has(evacuations, instance->listed.dc);
    }
    update_cold(f);
}

void fleet_set_shared(fleet_t *f, const char *service)
{
    if (!g_hash_table_contains(f->shared, service))
        g_hash_table_add(f->shared, g_strdup(service));
}

bool fleet_is_shared(const fleet_t *f, const char *service)
{
    return g_hash_table_contains(f->shared, service);
}

void fleet_add_left_version(fleet_t *f, const left_version_t *left, tc_time_t now)
{
    version_history_add_left(f->versions, left, now);
}

const version_history_t *fleet_versions(const fleet_t *f)
{
    return f->versions;
}

/* ===== Loads ===== */

void fleet_add_reading(fleet_t *f, instance_t *instance, const load_reading_t *reading, tc_time_t now)
{
    if (!reading->stated)
        return;
    instance->reading = *reading;
    load_estimate_add_reading(&instance->load, reading, instance->running, now);
    if (reading->pace > 0)
        fleet_set_shared(f, instance->listed.service);
}

void fleet_set_remote_loads(fleet_t *f, const backend_load_t *loads, uint32_t n, bool partial, tc_time_t now)
{
    f->loads_at = now;
    for (guint i = 0; i < f->instances->len; i++) {
        instance_t *const instance = g_ptr_array_index(f->instances, i);
        if (partial && instance->stage != STAGE_NONE)
            continue;
        instance->remote_running = 0;
        instance->remote_tokens = 0;
    }
    for (uint32_t i = 0; i < n; i++) {
        instance_t *const instance = fleet_find(f, loads[i].id);
        if (!instance)
            continue;
        instance->remote_running = loads[i].running;
        instance->remote_tokens = loads[i].tokens;
    }
}

backend_load_t *fleet_own_loads(const fleet_t *f, uint32_t *n)
{
    backend_load_t *const loads = calloc(f->instances->len + 1, sizeof(*loads));
    if (!loads)
        abort();
    *n = 0;
    for (guint i = 0; i < f->instances->len; i++) {
        const instance_t *const instance = g_ptr_array_index(f->instances, i);
        if (instance->running == 0)
            continue;
        backend_load_t *const load = &loads[(*n)++];
        codec_copy_string(load->id, sizeof(load->id), instance->listed.id);
        load->running = instance->running;
        load->tokens = instance->tokens;
    }
    return loads;
}

/* ===== Queries ===== */

/** As in the scheduler: a request that two back ends have ended under does not run beside another suspect one. */
static bool allows_suspects(const instance_t *instance, unsigned ends)
{
    if (ends >= 2)
        return instance->suspects == 0;
    return ends == 0 || instance->repeat_suspects == 0;
}

/** Whether one more connection (one per request) is within the limit: that of all boxes together, as far as their loads
 *  are known, and this box's equal share of it. Engines accept fewer requests than connections. */
static bool has_connection(const instance_t *instance, const fleet_query_t *query)
{
    if (query->connections == 0 || instance->stage != STAGE_NONE)
        return true;
    const unsigned part = MAX(query->connections / query->boxes, 1);
    return instance->running < part && instance->running + instance->remote_running < query->connections;
}

bool instance_has_version(const instance_t *instance, const char *version)
{
    return !version || !instance->listed.version[0] || strcmp(instance->listed.version, version) == 0;
}

/** Whether it meets the query's requirements, whether or not it accepts work now. */
static bool is_suitable(const instance_t *instance, const fleet_query_t *query)
{
    return instance_has_version(instance, query->version) && !instance->listed.draining && !instance->evacuated &&
           instance->availability.leaving_since == 0 && allows_suspects(instance, query->ends) &&
           has_connection(instance, query);
}

static bool was_tried(const instance_t *instance, const fleet_query_t *query)
{
    return query->tried && g_ptr_array_find((GPtrArray *)(uintptr_t)query->tried, instance, NULL);
}

bool fleet_matches(const instance_t *instance, const fleet_query_t *query)
{
    if (query->now < instance->limited_until || (query->exclude_limited && instance->limit.is_set))
        return false;
    return is_suitable(instance, query) && instance_accepts_work(instance, query->now) && !was_tried(instance, query);
}

tc_time_t fleet_next_available_at(fleet_t *f, const fleet_query_t *query)
{
    const pool_t pool = pool_of(f, query);
    tc_time_t earliest = TC_TIME_NEVER;
    for (guint i = 0; i < pool.n; i++) {
        const instance_t *const instance = pool_at(f, &pool, 0, i);
        const tc_time_t opens = MAX(instance->limited_until, instance->availability.closed_until);
        if (!is_suitable(instance, query))
            continue;
        if (query->now >= opens)
            return TC_TIME_NEVER;
        earliest = MIN(earliest, opens);
    }
    return earliest;
}

tc_time_t fleet_closed_until(fleet_t *f, const fleet_query_t *query)
{
    const pool_t pool = pool_of(f, query);
    tc_time_t earliest = 0;
    for (guint i = 0; i < pool.n; i++) {
        const instance_t *const instance = pool_at(f, &pool, 0, i);
        if (!is_suitable(instance, query))
            continue;
        if (query->now >= instance->availability.closed_until)
            return 0;
        earliest = earliest ? MIN(earliest, instance->availability.closed_until) : instance->availability.closed_until;
    }
    return earliest;
}

bool fleet_is_evacuated(fleet_t *f, const fleet_query_t *query)
{
    const pool_t pool = f->evacuations.list_n > 0 ? pool_of(f, query) : (pool_t){0};
    for (guint i = 0; i < pool.n; i++)
        if (!pool_at(f, &pool, 0, i)->evacuated)
            return false;
    return pool.n > 0;
}

void fleet_each(fleet_t *f, const fleet_query_t *query, void (*fn)(void *arg, instance_t *instance), void *arg)
{
    const pool_t pool = pool_of(f, query);
    const guint from = pool.n > 0 ? query->random % pool.n : 0;
    for (guint i = 0; i < pool.n; i++) {
        instance_t *const instance = pool_at(f, &pool, from, i);
        if (fleet_matches(instance, query))
            fn(arg, instance);
    }
}

void fleet_each_listed(fleet_t *f, const fleet_query_t *query, void (*fn)(void *arg, instance_t *instance), void *arg)
{
    const pool_t pool = pool_of(f, query);
    for (guint i = 0; i < pool.n; i++)
        fn(arg, pool_at(f, &pool, 0, i));
}

unsigned fleet_count(const fleet_t *f, const fleet_query_t *query)
{
    return pool_of(f, query).n;
}

/** Inserts the instance into the sorted array of the nearest ones. @param max capacity of @p nearest @return their new
 *  number */
static unsigned insert_nearest(instance_t **nearest, unsigned n, unsigned max, uint64_t position, instance_t *instance)
{
    const uint64_t distance = ring_distance(position, instance->ring);
    unsigned at = n;
    while (at > 0 && distance < ring_distance(position, nearest[at - 1]->ring))
        at--;
    if (at == max)
        return n;
    const unsigned kept = n < max ? n : max - 1;
    memmove(&nearest[at + 1], &nearest[at], (kept - at) * sizeof(*nearest));
    nearest[at] = instance;
    return kept + 1;
}

void fleet_each_successor(fleet_t *f, const fleet_query_t *query, uint64_t position, unsigned max,
                          void (*fn)(void *arg, instance_t *instance), void *arg)
{
    const pool_t pool = pool_of(f, query);
    instance_t **const nearest = g_new0(instance_t *, max + 1);
    unsigned n = 0;
    for (guint i = 0; i < pool.n && max > 0; i++) {
        instance_t *const instance = pool_at(f, &pool, 0, i);
        if (fleet_matches(instance, query))
            n = insert_nearest(nearest, n, max, position, instance);
    }
    for (unsigned i = 0; i < n; i++)
        fn(arg, nearest[i]);
    g_free(nearest);
}

/** Used share of a back end's capacity: 0 is idle, above 1 requests queue there. @param others requests of other boxes
 */
static double load_of(const instance_t *instance, unsigned others)
{
    if (instance->stage == STAGE_PREFILL)
        return (double)(instance->tokens + instance->remote_tokens) / PROMPT_TOKENS;
    const unsigned slots = instance->listed.slots ? instance->listed.slots : DEFAULT_SLOTS;
    return (double)(instance->running + others) / slots;
}

/** Requests of other boxes, by what the instance stated itself if that is newer than the reports of the boxes. */
static unsigned others_at(const fleet_t *f, const instance_t *instance, tc_time_t now)
{
    return load_estimate_age(&instance->load, now) < fleet_loads_age(f, now) ? load_estimate_others(&instance->load)
                                                                             : instance->remote_running;
}

/** Load of an instance of a service that shares its machines, as the expected duration of one more request in units of
 *  the usual one: it takes longer at a slow pace, even on an idle instance. Differs from load_of by 1 at the usual
 * pace.
 */
static double paced_load_of(const fleet_t *f, const instance_t *instance, tc_time_t now)
{
    const double pace = load_estimate_pace(&instance->load, now) / LOAD_READING_PACE_USUAL;
    return pace * (1 + load_of(instance, others_at(f, instance, now)));
}

static double cost_of(const fleet_t *f, const instance_t *instance, const fleet_query_t *query)
{
    const double remote = strcmp(instance->listed.dc, query->dc) != 0 ? REMOTE_DC_COST : 0;
    const double suspects = query->ends >= 1 ? SUSPECT_COST * instance->suspects : 0;
    const bool paced = feature_is_enabled(FEATURE_READINGS) && fleet_is_shared(f, query->service);
    const double load = paced ? paced_load_of(f, instance, query->now) : load_of(instance, instance->remote_running);
    return load + remote + suspects;
}

static instance_t *cheaper_of(const fleet_t *f, instance_t *one, instance_t *two, const fleet_query_t *query)
{
    return cost_of(f, one, query) <= cost_of(f, two, query) ? one : two;
}

/** Derives another pseudo-random number. */
static uint32_t next_random(uint32_t draw)
{
    enum { MULTIPLIER = 0x9e3779b1u, SHIFT = 15 };
    return (draw ^ (draw >> SHIFT)) * MULTIPLIER;
}

/** The best of two random ones of all and a random one of the preferred data centre.
 *  @param good the matching ones, at least one @param near those of them in the preferred data centre */
static instance_t *choose_random(const fleet_t *f, const GPtrArray *good, const GPtrArray *near, uint32_t draw,
                                 const fleet_query_t *query)
{
    instance_t *const one = g_ptr_array_index(good, draw % good->len);
    instance_t *const two = g_ptr_array_index(good, (draw / good->len) % good->len);
    instance_t *const best = cheaper_of(f, one, two, query);
    if (near->len == 0)
        return best;
    return cheaper_of(f, best, g_ptr_array_index(near, next_random(draw) % near->len), query);
}

/** Takes the best of a few random matching instances. The loads of the other boxes are some hundred ms old: if all
 * boxes took the instance with the lowest known load, it would be overloaded before they learn of it. */
instance_t *fleet_choose(fleet_t *f, const fleet_query_t *query)
{
    const pool_t pool = pool_of(f, query);
    const guint from = pool.n > MAX_MATCHES ? query->random % pool.n : 0;
    GPtrArray *const good = g_ptr_array_new(), *const near = g_ptr_array_new();
    instance_t *last_resort = NULL; /* the avoided one whose backoff ends first */
    for (guint i = 0; i < pool.n && good->len < MAX_MATCHES; i++) {
        instance_t *const instance = pool_at(f, &pool, from, i);
        if (!fleet_matches(instance, query))
            continue;
        if (!instance_is_avoided(instance, query->now)) {
            g_ptr_array_add(good, instance);
            if (strcmp(instance->listed.dc, query->dc) == 0)
                g_ptr_array_add(near, instance);
        } else if (!last_resort || avoided_until(instance) < avoided_until(last_resort)) {
            last_resort = instance;
        }
    }
    instance_t *best = last_resort;
    if (good->len > 0)
        best = choose_random(f, good, near, from > 0 ? query->random / pool.n : query->random, query);
    g_ptr_array_free(good, TRUE);
    g_ptr_array_free(near, TRUE);
    return best ? instance_ref(best) : NULL;
}
