#include "control/orders.h"

#include <glib.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "backend/engine.h"
#include "common/counter.h"
#include "common/log.h"

/* ===== Constants ===== */

enum {
    CHECK_INTERVAL_MS = 250,
    STATE_TIMEOUT_MS = 500,
    RECHECK_INTERVAL_MS = 30000, /* interval of checks of an engine that matches the configuration */
    DRAIN_TIMEOUT_MS = 120000    /* an engine that does not drain is ordered anyway after this */
};

COUNTER_DEFINE(c_orders, "counter", "trackcove_orders_total", "Orders sent to engines")
COUNTER_DEFINE(c_fenced, "counter", "trackcove_orders_fenced_total", "Orders refused by engines as outdated")
COUNTER_DEFINE(c_pending, "gauge", "trackcove_orders_pending", "Engines that are not yet what the configuration says")

/* ===== Types ===== */

/** What this leader knows of one engine. Discarded when the term changes. */
typedef struct {
    uint64_t matched_version; /* configuration version that it was found to match */
    tc_time_t recheck_at;     /* earliest time of the next check while it matches */
    tc_time_t mismatch_since; /* time since when it is known not to match, 0 when it is not */
} engine_record_t;

struct orders {
    pthread_t thread;
    orders_view_fn_t get_view;
    void *arg;
    GHashTable *records; /* engine -> engine_record_t */
    uint64_t term;
    bool loading; /* an engine loads weights: the weight store is busy */
};

/* ===== One engine ===== */

static engine_record_t *get_record(orders_t *o, const char *engine)
{
    engine_record_t *record = g_hash_table_lookup(o->records, engine);
    if (!record) {
        record = g_new0(engine_record_t, 1);
        g_hash_table_insert(o->records, g_strdup(engine), record);
    }
    return record;
}

static bool matches_config(const engine_cfg_t *cfg, const engine_state_t *state)
{
    return strcmp(state->role, role_names[cfg->role]) == 0 && strcmp(state->model, cfg->model) == 0 &&
           strcmp(state->version, cfg->version) == 0;
}

static bool needs_weights(const engine_cfg_t *cfg, const engine_state_t *state)
{
    return strcmp(state->model, cfg->model) != 0 || strcmp(state->version, cfg->version) != 0;
}

static void log_order(const engine_cfg_t *cfg, const engine_state_t *state, const engine_order_t *order,
                      const tc_err_t *err)
{
    log_line_t line;
    log_begin(&line, err ? LOG_WARN : LOG_INFO, "engine_order");
    log_str(&line, "engine", cfg->name);
    log_str(&line, "from_role", state->role);
    log_str(&line, "from_model", state->model);
    log_str(&line, "to_role", role_names[order->role]);
    log_str(&line, "to_model", order->model);
    log_str(&line, "to_version", order->version);
    log_int(&line, "term", (int64_t)order->term);
    log_int(&line, "index", (int64_t)order->index);
    log_int(&line, "held", state->n_held);
    if (err)
        log_err(&line, err);
    log_end(&line);
}

/** Whether an order may be sent now. */
static bool may_order(orders_t *o, const orders_view_t *view, const engine_cfg_t *cfg, const engine_state_t *state,
                      const engine_record_t *record, tc_time_t now)
{
    if (state->loading)
        return false;
    if (!cfg->checks_fence && now < view->leader_since + ORDERS_UNFENCED_DELAY_MS)
        return false; /* an order of the former leader may still be in flight */
    if (state->n_held > 0 && now - record->mismatch_since < DRAIN_TIMEOUT_MS)
        return false; /* schedulers send it no new requests; running ones finish first */
    return !(needs_weights(cfg, state) && o->loading); /* one load at a time: the weight store's bandwidth is shared */
}

static void order_engine(orders_t *o, const engine_cfg_t *cfg, const engine_state_t *state)
{
    /* The lease is checked again just before sending: no order may be sent after it has expired. */
    orders_view_t view = {0};
    o->get_view(o->arg, &view);
    free(view.engines);
    if (!view.leads || view.term != o->term)
        return;
    const engine_order_t order = {
        .term = view.term, .index = view.version, .role = cfg->role, .model = cfg->model, .version = cfg->version};
    tc_err_t err = {0};
    counter_add(&c_orders, 1);
    const int rc = engine_order(cfg->name, cfg->url, &order, ORDERS_TIMEOUT_MS, &err);
    if (rc == TC_E_FENCED)
        counter_add(&c_fenced, 1);
    log_order(cfg, state, &order, rc < 0 ? &err : NULL);
    o->loading = o->loading || (rc == TC_OK && needs_weights(cfg, state));
}

/** Check one engine and order it if needed. @return whether it does not match the configuration, or is unreachable */
static bool check_engine(orders_t *o, const orders_view_t *view, const engine_cfg_t *cfg, tc_time_t now)
{
    engine_record_t *const record = get_record(o, cfg->name);
    if (record->matched_version == view->version && now < record->recheck_at)
        return false;
    engine_state_t state;
    tc_err_t err = {0};
    if (engine_state(cfg->name, cfg->url, STATE_TIMEOUT_MS, &state, &err) < 0)
        return true;
    const bool matches = matches_config(cfg, &state);
    o->loading = o->loading || state.loading;
    if (matches) {
        record->matched_version = view->version;
        record->recheck_at = now + RECHECK_INTERVAL_MS;
        record->mismatch_since = 0;
    } else {
        record->mismatch_since = record->mismatch_since ? record->mismatch_since : now;
        if (may_order(o, view, cfg, &state, record, now))
            order_engine(o, cfg, &state);
    }
    engine_state_free(&state);
    return !matches;
}

/* ===== The thread ===== */

static void check_engines(orders_t *o)
{
    orders_view_t view = {0};
    o->get_view(o->arg, &view);
    if (view.term != o->term) {
        g_hash_table_remove_all(o->records);
        o->term = view.term;
    }
    int64_t pending = 0;
    o->loading = false;
    for (uint32_t i = 0; i < view.n && view.leads; i++)
        pending += check_engine(o, &view, &view.engines[i], tc_time_now());
    counter_set(&c_pending, pending);
    free(view.engines);
}

static void *run(void *arg)
{
    orders_t *const o = arg;
    for (;;) {
        check_engines(o);
        tc_time_sleep(CHECK_INTERVAL_MS);
    }
    return NULL;
}

orders_t *orders_create(orders_view_fn_t get_view, void *arg)
{
    orders_t *const o = g_new0(orders_t, 1);
    o->get_view = get_view;
    o->arg = arg;
    o->records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    if (pthread_create(&o->thread, NULL, run, o) != 0)
        abort();
    return o;
}
