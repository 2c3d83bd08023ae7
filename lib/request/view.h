/** @file view.h
 * Immutable snapshot of the configuration and membership that an entry box knows, read by every request.
 *
 * Readers take a reference to the current snapshot under read-copy-update, so
 * that a long request keeps the one it started with. Writers, all in the
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

/** A configuration with its indexes, shared by all snapshots that refer to it. Read-only. */
typedef struct {
    atomic_int refs;
    config_t config;
    GHashTable *engines;    /**< name -> engine_cfg_t */
    GHashTable *workspaces; /**< name -> workspace_cfg_t; there may be thousands */
    GHashTable *leaving;    /**< name -> leaving_cfg_t */
    GHashTable *cells;      /**< model -> cell name */
} view_config_t;

/** A snapshot. Read-only once published. */
typedef struct {
    atomic_int refs;
    uint64_t version; /**< version of the configuration; 0: none yet */
    view_config_t *shared;
    member_t *members; /**< live entry boxes */
    uint32_t n_members;
    cell_lease_t *cells; /**< holder of each cell's lease */
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

/** Acquires the current snapshot; release it with view_release(). Any thread. */
view_t *view_acquire(view_slot_t *slot);
void view_release(view_t *view);

/** Copies the current snapshot, to be changed and published or released. Loop's thread. */
view_t *view_copy(const view_slot_t *slot);

/** Makes @p view the current snapshot and takes over the caller's reference. Loop's thread. */
void view_publish(view_slot_t *slot, view_t *view);

static inline const config_t *view_config(const view_t *view)
{
    return &view->shared->config;
}

/** Sets the configuration of an unpublished copy from @p json.
 * @return 0, or TC_E_INVALID with @p err set and the copy unchanged */
int view_set_config(view_t *view, uint64_t version, const json_t *json, tc_err_t *err);
void view_set_members(view_t *view, const member_t *members, uint32_t n);
void view_set_cells(view_t *view, const cell_lease_t *cells, uint32_t n);
void view_set_leaving(view_t *view, const char (*names)[CODEC_STR_SIZE], uint32_t n);

const engine_cfg_t *view_engine(const view_t *view, const char *name);
const service_cfg_t *view_service(const view_t *view, const char *name);
const cell_lease_t *view_cell_lease(const view_t *view, const char *cell);

/** Whether a backend server or box must get no new work: the configuration or the platform lists it as leaving. */
bool view_is_leaving(const view_t *view, const char *name);

/** The cell that serves @p model, or NULL when no engine does. */
const char *view_cell_for_model(const view_t *view, const char *model);

/** Cache salt of a workspace's prompt prefixes: its prefix group if it has one, otherwise its name. */
const char *view_salt(const view_t *view, const char *workspace);

#endif
