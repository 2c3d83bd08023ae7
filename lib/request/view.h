/** @file view.h
 * What an entry box knows of the system, as an immutable snapshot read on every request's path.
 *
 * Readers take the current snapshot under read-copy-update and a reference, so
 * that a request that lasts keeps the one it began with; writers, all in the
 * loop's thread, publish a new one.
 */
#ifndef TRACKCOVE_REQUEST_VIEW_H
#define TRACKCOVE_REQUEST_VIEW_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdatomic.h>
#include <stdbool.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Types ===== */

/** A configuration with its indexes, shared by all snapshots that hold it. Read-only. */
typedef struct {
    atomic_int refs;
    config_t config;
    GHashTable *engines;    /**< name -> engine_cfg_t */
    GHashTable *workspaces; /**< name -> workspace_cfg_t: there are thousands */
    GHashTable *leaving;    /**< name -> leaving_cfg_t */
    GHashTable *cells;      /**< model -> cell name */
} view_config_t;

/** A snapshot. Read-only once published. */
typedef struct {
    atomic_int refs;
    uint64_t version; /**< of the configuration; 0: none yet */
    view_config_t *shared;
    member_t *members; /**< live entry boxes */
    uint32_t n_members;
    cell_lease_t *cells; /**< who schedules which cell */
    uint32_t n_cells;
    char (*leaving)[CODEC_STR_SIZE]; /**< backend servers the platform lists as leaving */
    uint32_t n_leaving;
} view_t;

/** Holder of the current snapshot. */
typedef struct {
    view_t *current;
} view_slot_t;

/* ===== Public functions ===== */

void view_init(view_slot_t *slot);

/** Take the current snapshot. Any thread. Give it back with view_release. */
view_t *view_acquire(view_slot_t *slot);
void view_release(view_t *view);

/** A copy of the current snapshot to change and publish; loop's thread only. */
view_t *view_copy(const view_slot_t *slot);
void view_publish(view_slot_t *slot, view_t *view);

/** The configuration of a snapshot. */
static inline const config_t *view_config(const view_t *view)
{
    return &view->shared->config;
}

/** Set the configuration of a copy. */
int view_set_config(view_t *view, uint64_t version, const json_t *json, tc_err_t *err);
void view_set_members(view_t *view, const member_t *members, uint32_t n);
void view_set_cells(view_t *view, const cell_lease_t *cells, uint32_t n);
void view_set_leaving(view_t *view, const char (*names)[CODEC_STR_SIZE], uint32_t n);

const engine_cfg_t *view_engine(const view_t *view, const char *name);
const service_cfg_t *view_service(const view_t *view, const char *name);
const cell_lease_t *view_cell_lease(const view_t *view, const char *cell);

/** Whether a backend server or box is to get no new work. */
bool view_is_leaving(const view_t *view, const char *name);

/** Cell that serves a model, or NULL when no engine does. */
const char *view_cell_for_model(const view_t *view, const char *model);

/** Salt under which a workspace's prompt prefixes are cached: its prefix group, or itself. */
const char *view_salt(const view_t *view, const char *workspace);

#endif
