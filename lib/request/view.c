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

/** Configurations hold only items without texts of their own, so copying goes through JSON. */
static void copy_config(config_t *to, const config_t *from)
{
    json_t *const json = codec_to_json(&config_desc, from);
    const int rc = codec_from_json(&config_desc, to, json, NULL);
    assert(rc == TC_OK); /* what was read can be written and read again */
    (void)rc;
    json_decref(json);
}

static void view_free(view_t *view)
{
    codec_free(&config_desc, &view->config);
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
    const int rc = codec_from_json_text(&config_desc, &view->config, "{}", 2, "empty", NULL);
    assert(rc == TC_OK); /* every field of a configuration has a default */
    (void)rc;
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
    copy_config(&view->config, &old->config);
    view_set_members(view, old->members, old->n_members);
    view_set_cells(view, old->cells, old->n_cells);
    view_set_leaving(view, (const char(*)[CODEC_STR_SIZE])old->leaving, old->n_leaving);
    return view;
}

void view_publish(view_slot_t *slot, view_t *view)
{
    view_t *const old = slot->current;
    rcu_assign_pointer(slot->current, view);
    urcu_bp_synchronize_rcu(); /* whoever read the old pointer has its reference now */
    view_release(old);
}

int view_set_config(view_t *view, uint64_t version, const char *text, size_t size, tc_err_t *err)
{
    config_t config;
    TC_CHECK(codec_from_json_text(&config_desc, &config, text, size, "configuration", err));
    codec_free(&config_desc, &view->config);
    view->config = config;
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

/* ===== Questions ===== */

const engine_cfg_t *view_engine(const view_t *view, const char *name)
{
    for (uint32_t i = 0; i < view->config.engines_n; i++)
        if (strcmp(view->config.engines[i].name, name) == 0)
            return &view->config.engines[i];
    return NULL;
}

const service_cfg_t *view_service(const view_t *view, const char *name)
{
    for (uint32_t i = 0; i < view->config.services_n; i++)
        if (strcmp(view->config.services[i].name, name) == 0)
            return &view->config.services[i];
    return NULL;
}

const cell_lease_t *view_cell(const view_t *view, const char *cell)
{
    for (uint32_t i = 0; i < view->n_cells; i++)
        if (strcmp(view->cells[i].cell, cell) == 0)
            return &view->cells[i];
    return NULL;
}

bool view_is_leaving(const view_t *view, const char *name)
{
    for (uint32_t i = 0; i < view->config.leaving_n; i++)
        if (strcmp(view->config.leaving[i].name, name) == 0)
            return true;
    for (uint32_t i = 0; i < view->n_leaving; i++)
        if (strcmp(view->leaving[i], name) == 0)
            return true;
    return false;
}

const char *view_cell_for(const view_t *view, const char *model)
{
    for (uint32_t i = 0; i < view->config.engines_n; i++)
        if (strcmp(view->config.engines[i].model, model) == 0)
            return view->config.engines[i].cell;
    return NULL;
}

const char *view_salt(const view_t *view, const char *workspace)
{
    for (uint32_t i = 0; i < view->config.workspaces_n; i++) {
        const workspace_cfg_t *const w = &view->config.workspaces[i];
        if (strcmp(w->name, workspace) == 0 && w->prefix_group[0])
            return w->prefix_group;
    }
    return workspace;
}
