/** @file workspace.h
 * Workspaces and their keys: whose request it is, how urgent its requests are and how much it may ask. Built once from
 * a configuration, then read only.
 *
 * Keys are secrets. Only keyed digests of them are held, under a key that each process draws for itself, so that
 * neither a core dump nor the time that a look-up takes tells any of them.
 */
#ifndef TRACKCOVE_WORKSPACE_WORKSPACE_H
#define TRACKCOVE_WORKSPACE_WORKSPACE_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "cap/cap.h"

/* ===== Constants ===== */

/** Longest key, bytes: a longer one is nobody's. */
enum { WORKSPACE_KEY_MAX = 512 };

/* ===== Types ===== */

/** One workspace. */
typedef struct {
    char *name;
    bool has_priority;
    uint32_t priority; /**< goes before the route's; 0 is the most urgent */
    cap_t cap;
} workspace_t;

/** All workspaces of one version of the configuration. */
typedef struct workspaces workspaces_t;

/* ===== Public functions ===== */

/** None yet. @return for workspaces_free */
workspaces_t *workspaces_create(void);
/** NULL is none. */
void workspaces_free(workspaces_t *all);

/** Take over a workspace. @return it, borrowed; NULL, with it freed, when its name is taken */
const workspace_t *workspaces_add(workspaces_t *all, workspace_t *workspace);
/** Give a workspace one of its keys, 1 to WORKSPACE_KEY_MAX bytes. @return false when the key is taken, by whichever */
bool workspaces_add_key(workspaces_t *all, const workspace_t *workspace, const char *key, size_t size);

/** The workspace that holds the key, or NULL. */
const workspace_t *workspaces_by_key(const workspaces_t *all, const char *key, size_t size);

/** How many there are. */
unsigned workspaces_count(const workspaces_t *all);
/** One of them, in order of the configuration. */
const workspace_t *workspaces_at(const workspaces_t *all, unsigned i);

#endif
