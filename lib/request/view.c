#include "request/view.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <urcu-bp.h>

/* ===== Copies ===== */

static void *copy_items(const void *items, size_t size, uint32_t n)
{
    void *const copy = calloc(n + 1, size);
    if (!copy)
        abort();
    if (n)
        memcpy(copy, items, n * size);
    return copy;
}

/* ===== Shared configuration ===== */

static void index_config(view_config_t *c)
{
    config_t *const config = &c->config;
    c->engines = g_hash_table_new(g_str_hash, g_str_equal);
    c->workspaces = g_hash_table_new(g_str_hash, g_str_equal);
    c->leaving = g_hash_table_new(g_str_hash, g_str_equal);
    c->cells = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < config->engines_n; i++) {
        engine_cfg_t *const e = &config->engines[i];
        g_hash_table_insert(c->engines, e->name, e);
        if (!g_hash_table_contains(c->cells, e->model))
            g_hash_table_insert(c->cells, e->model, e->cell);
    }
    for (uint32_t i = 0; i < config->workspaces_n; i++)
        g_hash_table_insert(c->workspaces, config->workspaces[i].name, &config->workspaces[i]);
    for (uint32_t i = 0; i < config->leaving_n; i++)
        g_hash_table_insert(c->leaving, config->leaving[i].name, &config->leaving[i]);
}

static view_config_t *make_config(const json_t *json, tc_err_t *err)
{
    view_config_t *const c = calloc(1, sizeof(*c));
    if (!c)
        abort();
    if (codec_from_json(&config_desc, &c->config, json, err) < 0) {
        free(c);
        return NULL;
    }
    atomic_init(&c->refs, 1);
    index_config(c);
    return c;
}

static void release_config(view_config_t *c)
{
    if (!c || atomic_fetch_sub(&c->refs, 1) != 1)
        return;
    g_hash_table_destroy(c->engines);
    g_hash_table_destroy(c->workspaces);
    g_hash_table_destroy(c->leaving);
    g_hash_table_destroy(c->cells);
    codec_free(&config_desc, &c->config);
    free(c);
}

static void view_free(view_t *view)
{
    release_config(view->shared);
    free(view->members);
    free(view->cells);
    free(view->leaving);
    free(view);
}

/* ===== Public functions ===== */

void view_init(view_slot_t *slot)
{
    view_t *const view = calloc(1, sizeof(*view));
    if (!view)
        abort();
    atomic_init(&view->refs, 1);
    json_t *const empty = json_object();
    view->shared = make_config(empty, NULL);
    assert(view->shared); /* every configuration field has a default, so an empty object is valid */
    json_decref(empty);
    slot->current = view;
}

view_t *view_acquire(view_slot_t *slot)
{
    urcu_bp_read_lock();
    view_t *const view = rcu_dereference(slot->current);
    atomic_fetch_add(&view->refs, 1);
    urcu_bp_read_unlock();
    return view;
}

void view_release(view_t *view)
{
    if (atomic_fetch_sub(&view->refs, 1) == 1)
        view_free(view);
}

view_t *view_copy(const view_slot_t *slot)
{
    const view_t *const old = slot->current;
    view_t *const view = calloc(1, sizeof(*view));
    if (!view)
        abort();
    atomic_init(&view->refs, 1);
    view->version = old->version;
    view->shared = old->shared;
    atomic_fetch_add(&view->shared->refs, 1);
    view_set_members(view, old->members, old->n_members);
    view_set_cells(view, old->cells, old->n_cells);
    view_set_leaving(view, (const char(*)[CODEC_STR_SIZE])old->leaving, old->n_leaving);
    return view;
}

void view_publish(view_slot_t *slot, view_t *view)
{
    view_t *const old = slot->current;
    rcu_assign_pointer(slot->current, view);
    urcu_bp_synchronize_rcu(); /* all readers of the old pointer have taken their reference */
    view_release(old);
}

int view_set_config(view_t *view, uint64_t version, const json_t *json, tc_err_t *err)
{
    view_config_t *const next = make_config(json, err);
    if (!next)
        return TC_E_INVALID;
    release_config(view->shared);
    view->shared = next;
    view->version = version;
    return TC_OK;
}

void view_set_members(view_t *view, const member_t *members, uint32_t n)
{
    member_t *const copy = copy_items(members, sizeof(*members), n);
    free(view->members);
    view->members = copy;
    view->n_members = n;
}

void view_set_cells(view_t *view, const cell_lease_t *cells, uint32_t n)
{
    cell_lease_t *const copy = copy_items(cells, sizeof(*cells), n);
    free(view->cells);
    view->cells = copy;
    view->n_cells = n;
}

void view_set_leaving(view_t *view, const char (*names)[CODEC_STR_SIZE], uint32_t n)
{
    void *const copy = copy_items(names, CODEC_STR_SIZE, n);
    free(view->leaving);
    view->leaving = copy;
    view->n_leaving = n;
}

/* ===== Lookups ===== */

const engine_cfg_t *view_engine(const view_t *view, const char *name)
{
    return g_hash_table_lookup(view->shared->engines, name);
}

const service_cfg_t *view_service(const view_t *view, const char *name)
{
    const config_t *const config = view_config(view);
    for (uint32_t i = 0; i < config->services_n; i++)
        if (strcmp(config->services[i].name, name) == 0)
            return &config->services[i];
    return NULL;
}

const cell_lease_t *view_cell_lease(const view_t *view, const char *cell)
{
    for (uint32_t i = 0; i < view->n_cells; i++)
        if (strcmp(view->cells[i].cell, cell) == 0)
            return &view->cells[i];
    return NULL;
}

bool view_is_leaving(const view_t *view, const char *name)
{
    if (g_hash_table_contains(view->shared->leaving, name))
        return true;
    for (uint32_t i = 0; i < view->n_leaving; i++)
        if (strcmp(view->leaving[i], name) == 0)
            return true;
    return false;
}

const char *view_cell_for_model(const view_t *view, const char *model)
{
    return g_hash_table_lookup(view->shared->cells, model);
}

const char *view_salt(const view_t *view, const char *workspace)
{
    const workspace_cfg_t *const w = g_hash_table_lookup(view->shared->workspaces, workspace);
    return w && w->prefix_group[0] ? w->prefix_group : workspace;
}
