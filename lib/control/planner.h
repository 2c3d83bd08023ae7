/** @file planner.h
 * Decides which engine should change its role. Does no I/O and reads no clock.
 *
 * Each cell's scheduler reports how busy prefill and decode are. When one role
 * has been hot and the other cold for a sustained time, the planner proposes to
 * move one engine of the cold role to the hot one, one move at a time. It enforces
 * hysteresis, a minimum stay, the roles that the hardware may serve, and that a
 * role never loses its last engine. Draining is part of the change itself
 * (orders.h).
 */
#ifndef TRACKCOVE_CONTROL_PLANNER_H
#define TRACKCOVE_CONTROL_PLANNER_H

#include <stdbool.h>

#include "common/time.h"
#include "gen/schema.h"

typedef struct planner planner_t;

/** A role change, with the load that it was decided on. */
typedef struct {
    char cell[CODEC_STR_SIZE];
    char engine[CODEC_STR_SIZE];
    role_t to;
    double prefill_busy, decode_busy;
    uint32_t prefills, decodes; /**< engines of each role before the move */
} planner_move_t;

planner_t *planner_create(void);
void planner_destroy(planner_t *planner);

/** Clear all reports and restart the minimum stays. Called by a new leader. */
void planner_reset(planner_t *planner, tc_time_t now);

/** Record a load report of a cell's scheduler. Reports of an older epoch are dropped. */
void planner_update_load(planner_t *planner, const cell_load_t *load, const planner_cfg_t *cfg, tc_time_t now);

/** Decide on a move. @return whether there is one; it is then recorded as made */
bool planner_decide(planner_t *planner, const config_t *config, planner_move_t *move, tc_time_t now);

#endif
