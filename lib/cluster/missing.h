/** @file missing.h
 * How many boxes are missing: gone from the list of boxes without having said that they leave, and not back yet. Those
 * who ask boxes for addresses ask missing ones too, and wait for them. Pure: lists and the time go in.
 */
#ifndef TRACKCOVE_CLUSTER_MISSING_H
#define TRACKCOVE_CLUSTER_MISSING_H

/* ===== Dependencies ===== */

#include <stdint.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Types ===== */

typedef struct missing missing_t;

/** A box that has been missing for so long is taken for gone: nobody is told of it any more. */
#define MISSING_TIMEOUT_MS 30000

/* ===== Public functions ===== */

missing_t *missing_create(void);
void missing_destroy(missing_t *missing);

/** The list of boxes has changed. Both lists are in order of names. */
void missing_update(missing_t *missing, const entry_box_t *before, uint32_t before_n, const entry_box_t *after,
                    uint32_t after_n, tc_time_t now);

/** How many are missing now. */
uint32_t missing_count(const missing_t *missing, tc_time_t now);

#endif
