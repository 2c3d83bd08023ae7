/** @file planner.h
 * Which engine should change its role: a pure core.
 *
 * It hears from each cell's scheduler how busy prefill and decode are, and
 * proposes one move at a time: when one role has been hot and the other cold for
 * a while, an engine of the cold one changes over. Hysteresis, a minimum stay,
 * what hardware may serve, and "never the last of a role" are kept here; draining
 * comes with the change itself (orders.h).
 */
#ifndef TRACKCOVE_CONTROL_PLANNER_H
#define TRACKCOVE_CONTROL_PLANNER_H

#include <stdbool.h>

#include "common/time.h"
#include "gen/schema.h"

typedef struct planner planner_t;

/** A move, with what it was decided on. */
typedef struct {
    char cell[CODEC_STR_SIZE];
    char engine[CODEC_STR_SIZE];
    role_t to;
    double prefill_busy, decode_busy;
    uint32_t prefills, decodes; /**< engines of each role before the move */
} planner_move_t;

planner_t *planner_create(void);
void planner_destroy(planner_t *planner);

/** Forget everything heard; minimum stays begin anew. For a new leader. */
void planner_reset(planner_t *planner, tc_time_t now);

/** A cell's scheduler reports. Reports of an older epoch are dropped. */
void planner_update_load(planner_t *planner, const cell_load_t *load, const planner_cfg_t *cfg, tc_time_t now);

/** Decide. @return whether there is a move; it then counts as made */
bool planner_decide(planner_t *planner, const config_t *config, planner_move_t *move, tc_time_t now);

#endif
