#include "sched/sched.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/ring.h"
#include "sched/sched_choose.h"
#include "sched/sched_freed.h"
#include "sched/sched_returns.h"

/* ===== Helpers ===== */

void sched_engine_id(char *to, size_t size, const char *id, uint32_t attempt)
{
    snprintf(to, size, "%s.%u", id, attempt);
}

uint64_t sched_digest(const char *id, uint32_t attempt)
{
    return XXH3_64bits_withSeed(id, strlen(id), attempt);
}

uint32_t sched_pieces_of(uint32_t piece_tokens, uint32_t prompt_tokens, uint32_t max_tokens)
{
    const uint64_t tokens = (uint64_t)prompt_tokens + max_tokens;
    const uint64_t pieces = (tokens + piece_tokens - 1) / piece_tokens;
    return pieces > 0 ? (uint32_t)pieces : 1;
}

uint32_t sched_pieces(uint32_t prompt_tokens, uint32_t max_tokens)
{
    return sched_pieces_of(SCHED_PIECE_TOKENS, prompt_tokens, max_tokens);
}

sched_action_t *add_action(sched_t *s, sched_action_kind_t kind)
{
    queued_action_t *const item = g_new0(queued_action_t, 1);
    item->action.kind = kind;
    cds_list_add_tail(&item->node, &s->actions);
    return &item->action;
}

/* ===== Ticks ===== */

static void refuse_overdue(sched_t *s, tc_time_t now)
{
    request_t *r, *next;
    cds_list_for_each_entry_safe(r, next, &s->queue, node) {
        if (now < last_grant_at(s, r) || wait_on_late(s, r, now))
            continue;
        s->stats.expired++;
        refuse_for_room(s, r, "no engines became free in time", estimate_wait(s, r, now), now);
    }
}

/** Time constant of the load averages that planner and rebalancer use. */
static const double LOAD_AVERAGE_MS = 2000;
/** Time constant of the prefill average that is compared with the memory in use on decode engines. Memory follows
 *  the prompts with a delay of some seconds, the length of the streams. */
static const double LOAD_SLOW_AVERAGE_MS = 6000;

/** Usable engines and their load at one moment. */
typedef struct {
    double prefills; /* prefill engines */
    double working;  /* prefill engines that have work */
    double decodes;  /* decode engines */
    double taken; /* decode engines in use: sum of the share of memory or of batch places taken, whichever is larger */
} pool_use_t;

static pool_use_t measure_pool_use(const sched_t *s, tc_time_t now)
{
    pool_use_t use = {0};
    for (guint i = 0; i < s->engine_list->len; i++) {
        const engine_t *const e = g_ptr_array_index(s->engine_list, i);
        if (!engine_usable(e, now))
            continue;
        if (e->role == ROLE_PREFILL) {
            use.prefills++;
            use.working += engine_backlog(e, now) > 0 || e->prefills > 0;
            continue;
        }
        const double memory = (double)e->reserved / (e->pieces ? e->pieces : 1);
        const double batch = (double)e->batch / (e->max_batch ? e->max_batch : 1);
        use.decodes++;
        use.taken += memory > batch ? memory : batch;
    }
    return use;
}

static void update_load_averages(sched_t *s, tc_time_t now)
{
    const double span = (double)(now - s->load_updated_at);
    if (span <= 0)
        return;
    const pool_use_t use = measure_pool_use(s, now);
    const double weight = span < LOAD_AVERAGE_MS ? span / LOAD_AVERAGE_MS : 1;
    s->load_updated_at = now;
    s->stats.decode_load += weight * (use.taken - s->stats.decode_load);
    const double prompts = s->granted_prefill_ms / span;
    s->stats.prefill_load += weight * (prompts - s->stats.prefill_load);
    s->stats.prefill_load_slow +=
        (span < LOAD_SLOW_AVERAGE_MS ? span / LOAD_SLOW_AVERAGE_MS : 1) * (prompts - s->stats.prefill_load_slow);
    s->granted_prefill_ms = 0;
    if (use.prefills > 0)
        s->stats.prefill_busy += weight * (use.working / use.prefills - s->stats.prefill_busy);
    if (use.decodes > 0)
        s->stats.decode_busy += weight * (use.taken / use.decodes - s->stats.decode_busy);
}

/** Engines counted per ms of time. A small cell is counted on every tick; a large one skips ticks, so that counting
 *  costs the same. */
enum { ENGINES_COUNTED_PER_MS = 40 };

void sched_tick(sched_t *s, tc_time_t now)
{
    const bool counts = now >= s->next_count_at;
    update_free_rates(s, now);
    if (counts)
        update_load_averages(s, now);
    if (now >= s->admit_from)
        expire_leases(s, now);
    refuse_overdue(s, now);
    dispatch(s, now);
    send_cancels(s, now);
    if (!counts)
        return;
    sched_check(s);
    s->next_count_at = now + s->engine_list->len / ENGINES_COUNTED_PER_MS;
}

/* ===== Configuration ===== */

static model_t *model_get(sched_t *s, const char *name)
{
    model_t *model = model_find(s, name);
    if (model)
        return model;
    model = g_new0(model_t, 1);
    codec_copy_string(model->name, sizeof(model->name), name);
    for (guint i = 0; i < G_N_ELEMENTS(model->pools); i++)
        model->pools[i].engines = g_ptr_array_new();
    g_hash_table_insert(s->models, model->name, model);
    return model;
}

static void model_free(gpointer value)
{
    model_t *const model = value;
    for (guint i = 0; i < G_N_ELEMENTS(model->pools); i++)
        g_ptr_array_free(model->pools[i].engines, TRUE);
    keep_free(&model->keep);
    g_free(model);
}

static void configure_engine(sched_t *s, const engine_cfg_t *cfg)
{
    model_t *const model = model_get(s, cfg->model);
    model_init_rate(model, cfg->prefill_rate / 1000.0 / s->share_count);
    engine_t *e = engine_find(s, cfg->name);
    if (!e) {
        e = g_new0(engine_t, 1);
        codec_copy_string(e->name, sizeof(e->name), cfg->name);
        e->ring_position = ring_position(e->name);
        e->rate = model->rate;
        e->grants_left = SCHED_NO_LIMIT;
        g_hash_table_insert(s->engines, e->name, e);
        g_ptr_array_add(s->engine_list, e);
        g_ptr_array_add(s->by_ring, e);
    }
    const bool other = e->model && (e->role != cfg->role || e->model != model || strcmp(e->version, cfg->version) != 0);
    if (other) {
        memset(e->cache, 0, sizeof(e->cache));
        e->samples = (prefill_samples_t){{{0}}};
        e->outdated_until = 0;
        e->leaving_self = true; /* until its state shows that it has taken over the new configuration */
    }
    codec_copy_string(e->version, sizeof(e->version), cfg->version);
    e->dc = dc_get_or_add(s, cfg->dc);
    e->model = model;
    e->role = cfg->role;
    e->pieces = cfg->pieces / s->share_count;
    e->max_batch = cfg->max_batch;
    e->configured = true;
    e->leaving_config = false;
}

static gint compare_ring_positions(gconstpointer a, gconstpointer b)
{
    const uint64_t one = (*(engine_t *const *)a)->ring_position, two = (*(engine_t *const *)b)->ring_position;
    return one < two ? -1 : one > two;
}

static void fill_pools(sched_t *s)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->models);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        for (guint i = 0; i < G_N_ELEMENTS(((model_t *)value)->pools); i++)
            g_ptr_array_set_size(((model_t *)value)->pools[i].engines, 0);
    for (guint i = 0; i < s->by_ring->len; i++) {
        engine_t *const e = g_ptr_array_index(s->by_ring, i);
        if (e->configured)
            g_ptr_array_add(e->model->pools[e->role].engines, e);
    }
}

static void configure_links(sched_t *s, const config_t *config)
{
    for (uint32_t i = 0; i < config->links_n; i++) {
        const link_cfg_t *const cfg = &config->links[i];
        link_t *link = link_between(s, cfg->a, cfg->b);
        if (!link) {
            link = g_new0(link_t, 1);
            g_ptr_array_add(s->links, link);
        }
        codec_copy_string(link->name, sizeof(link->name), cfg->name);
        codec_copy_string(link->a, sizeof(link->a), cfg->a);
        codec_copy_string(link->b, sizeof(link->b), cfg->b);
        link->rate = cfg->rate / 1000.0;
    }
}

void sched_set_share_count(sched_t *s, uint32_t share_count)
{
    s->share_count = share_count > 0 ? share_count : 1;
}

static void configure_weights(sched_t *s, const config_t *config)
{
    GHashTableIter iter;
    gpointer workspace;
    g_hash_table_iter_init(&iter, s->weights);
    while (g_hash_table_iter_next(&iter, &workspace, NULL))
        fair_share_set_weight(s->share, workspace, 1);
    g_hash_table_remove_all(s->weights);
    for (uint32_t i = 0; i < config->workspaces_n; i++) {
        const uint32_t weight = config->workspaces[i].weight;
        g_hash_table_insert(s->weights, g_strdup(config->workspaces[i].name), GUINT_TO_POINTER(weight));
        fair_share_set_weight(s->share, config->workspaces[i].name, MAX(weight, 1));
    }
}

void sched_configure(sched_t *s, const config_t *config, tc_time_t now)
{
    const guint before = s->engine_list->len;
    s->targets = config->targets;
    for (guint i = 0; i < s->engine_list->len; i++)
        ((engine_t *)g_ptr_array_index(s->engine_list, i))->configured = false;
    for (uint32_t i = 0; i < config->engines_n; i++)
        if (strcmp(config->engines[i].cell, s->cell) == 0)
            configure_engine(s, &config->engines[i]);
    if (s->engine_list->len > before)
        g_ptr_array_sort(s->by_ring, compare_ring_positions);
    fill_pools(s);
    configure_links(s, config);
    links_rebuild_index(s);
    request_t *r;
    cds_list_for_each_entry(r, &s->queue, node)
        r->model = model_find(s, r->model_name);
    for (uint32_t i = 0; i < config->leaving_n; i++) {
        engine_t *const e = engine_find(s, config->leaving[i].name);
        if (e)
            e->leaving_config = true;
    }
    configure_weights(s, config);
}

/* ===== Lifecycle ===== */

sched_t *sched_create(const sched_options_t *options, tc_time_t now)
{
    sched_t *const s = g_new0(sched_t, 1);
    codec_copy_string(s->cell, sizeof(s->cell), options->cell);
    s->epoch = options->epoch;
    s->share_count = options->share_count > 0 ? options->share_count : 1;
    s->piece_tokens = options->piece_tokens > 0 ? options->piece_tokens : SCHED_PIECE_TOKENS;
    s->local_prefill_after_ms = options->local_prefill_after_ms;
    s->rebuilding = options->rebuild;
    s->adopt_unknown = options->adopt_unknown;
    s->returns = options->returns;
    s->rebuild_from = now;
    s->admit_from = options->rebuild ? now + SCHED_REBUILD_MS : now;
    s->reconcile_until = now + RECONCILE_MS;
    s->losses = loss_evidence_create();
    s->requests = g_hash_table_new(g_str_hash, g_str_equal);
    s->engines = g_hash_table_new(g_str_hash, g_str_equal);
    s->engine_list = g_ptr_array_new_with_free_func(g_free);
    s->by_ring = g_ptr_array_new();
    s->links = g_ptr_array_new_with_free_func(g_free);
    s->dcs = g_ptr_array_new_with_free_func(g_free);
    s->models = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, model_free);
    links_rebuild_index(s);
    s->owners = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, owner_free);
    s->share = fair_share_create();
    s->weights = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    CDS_INIT_LIST_HEAD(&s->queue);
    CDS_INIT_LIST_HEAD(&s->placed);
    CDS_INIT_LIST_HEAD(&s->finished);
    CDS_INIT_LIST_HEAD(&s->cancelling);
    CDS_INIT_LIST_HEAD(&s->orphans);
    CDS_INIT_LIST_HEAD(&s->actions);
    s->freed_at = now;
    s->load_updated_at = now;
    /* Attempt numbers differ between epochs, so that late messages of a former lease holder match no attempt. */
    s->next_attempt = (uint32_t)((options->epoch % 4000) * 1000000);
    s->targets.max_queue = 512;
    return s;
}

static void free_requests(struct cds_list_head *list)
{
    request_t *r, *next;
    cds_list_for_each_entry_safe(r, next, list, node) {
        g_free(r->chain);
        g_free(r);
    }
}

void sched_destroy(sched_t *s)
{
    sched_action_t action;
    while (sched_next_action(s, &action)) {
    }
    loss_evidence_destroy(s->losses);
    free_requests(&s->queue);
    free_requests(&s->placed);
    free_requests(&s->finished);
    cancelling_t *c, *c_next;
    cds_list_for_each_entry_safe(c, c_next, &s->cancelling, node)
        g_free(c);
    orphan_t *x, *x_next;
    cds_list_for_each_entry_safe(x, x_next, &s->orphans, node)
        g_free(x);
    g_hash_table_destroy(s->requests);
    g_hash_table_destroy(s->engines);
    g_hash_table_destroy(s->owners);
    g_ptr_array_free(s->by_ring, TRUE);
    g_ptr_array_free(s->engine_list, TRUE);
    g_ptr_array_free(s->links, TRUE);
    g_ptr_array_free(s->dcs, TRUE);
    g_free(s->link_of);
    g_free(s->best);
    g_hash_table_destroy(s->models);
    g_hash_table_destroy(s->weights);
    fair_share_destroy(s->share);
    g_free(s);
}

bool sched_next_action(sched_t *s, sched_action_t *action)
{
    if (cds_list_empty(&s->actions))
        return false;
    queued_action_t *const item = cds_list_first_entry(&s->actions, queued_action_t, node);
    /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the analyzer does not see cds_list_del take the item out */
    *action = item->action;
    cds_list_del(&item->node);
    g_free(item);
    return true;
}
