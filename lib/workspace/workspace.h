/** @file workspace.h
 * Workspaces and their API keys: which workspace a request belongs to, its priority and its usage cap. Built once from
 * a configuration, then read-only.
 *
 * API keys are secrets. Only keyed digests of them are stored, under a random key of each process, so that neither a
 * core dump nor the timing of a look-up reveals them.
 */
#ifndef TRACKCOVE_WORKSPACE_WORKSPACE_H
#define TRACKCOVE_WORKSPACE_WORKSPACE_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cap/cap.h"
#include "common/urgency.h"

/* ===== Constants ===== */

/** Longest API key, bytes; a longer one is never found. */
enum { WORKSPACE_KEY_MAX = 512 };

/* ===== Types ===== */

/** One workspace. */
typedef struct {
    char *name;
    bool has_priority;
    uint32_t priority; /**< overrides the route's; 0 is the most urgent */
    cap_t cap;
} workspace_t;

/** All workspaces of one version of the configuration. */
typedef struct workspaces workspaces_t;

/* ===== Public functions ===== */

/** Creates an empty set. @return for workspaces_free */
workspaces_t *workspaces_create(void);
/** @p all may be NULL. */
void workspaces_free(workspaces_t *all);

/** Adds a workspace and takes ownership of it, with its name in g_malloc memory. @return it, borrowed; NULL if its name
 *  exists already, and it is freed */
const workspace_t *workspaces_add(workspaces_t *all, workspace_t *workspace);
/** Adds an API key to a workspace, 1 to WORKSPACE_KEY_MAX bytes. @return false if any workspace has that key already */
bool workspaces_add_key(workspaces_t *all, const workspace_t *workspace, const char *key, size_t size);

/** The workspace with that API key, borrowed, or NULL. */
const workspace_t *workspaces_by_key(const workspaces_t *all, const char *key, size_t size);

/** Priorities that workspaces have. @p all may be NULL. */
urgency_set_t workspaces_priorities(const workspaces_t *all);
/** Number of workspaces. */
unsigned workspaces_count(const workspaces_t *all);
/** The workspace at index @p i, in the order of the configuration; borrowed. */
const workspace_t *workspaces_at(const workspaces_t *all, unsigned i);

#endif
