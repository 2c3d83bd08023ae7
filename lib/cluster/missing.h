/** @file missing.h
 * Counts missing boxes: those that have disappeared from the list of boxes without announcing that they leave, and have
 * not come back. A query to all boxes also goes to missing ones, and waits for them. Pure: takes the lists and the
 * time.
 */
#ifndef TRACKCOVE_CLUSTER_MISSING_H
#define TRACKCOVE_CLUSTER_MISSING_H

/* ===== Dependencies ===== */

#include <stdint.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Types ===== */

typedef struct missing missing_t;

/** A box that has been missing for so long is no longer counted. */
#define MISSING_TIMEOUT_MS 30000

/* ===== Public functions ===== */

missing_t *missing_create(void);
void missing_destroy(missing_t *missing);

/** The list of boxes has changed. Both lists are sorted by name. */
void missing_update(missing_t *missing, const entry_box_t *before, uint32_t before_n, const entry_box_t *after,
                    uint32_t after_n, tc_time_t now);

/** Number of boxes missing now. */
uint32_t missing_count(const missing_t *missing, tc_time_t now);

#endif
