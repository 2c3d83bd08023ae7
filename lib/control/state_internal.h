/** @file state_internal.h
 * Declarations shared by state.c and state_image.c; not included elsewhere.
 */
#ifndef TRACKCOVE_CONTROL_STATE_INTERNAL_H
#define TRACKCOVE_CONTROL_STATE_INTERNAL_H

/* ===== Dependencies ===== */

#include <glib.h>

#include "control/state.h"

/* ===== Types ===== */

struct state {
    uint64_t version;
    json_t *config_json;
    char *config_text; /* built on first use, NULL before */
    config_t config;
    GQueue changes;            /* change_t*, oldest first */
    GQueue answers;            /* answered_t*, oldest first */
    GHashTable *answers_by_id; /* request id -> answered_t, owned by the queue */
    GHashTable *plans;         /* plan -> plan_record_t */
    GHashTable *claims;        /* id -> claim_record_t */
    GQueue claim_order;        /* claim_record_t*, oldest first; owned by claims */
    GHashTable *cells;         /* cell -> cell_lease_t */
    GHashTable *drains;        /* box -> drain_record_t */
};

/* ===== Shared functions ===== */

/** Clear everything but the configuration. */
void state_clear(state_t *s);

/** Parse a configuration and make it the current one. @return 0, or negative with @p err and nothing changed */
int state_set_config(state_t *s, json_t *next, tc_err_t *err);

#endif
