/** @file evacuations.h
 * Data centres that operators have evacuated: their back ends get no new requests. Replicated state beside the
 * document, changed by entries of the same log. The version is the index of the log entry that changed it last, so of
 * two copies the one with the higher version is newer. No I/O, no clock.
 */
#ifndef TRACKCOVE_CLUSTER_EVACUATIONS_H
#define TRACKCOVE_CLUSTER_EVACUATIONS_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "gen/schema.h"

/* ===== Public functions ===== */

/** Applies the order in the log entry at @p index. @return whether it changed anything: the begin of an evacuation
 *  that is already in force and the end of one that is not have no effect */
bool evacuations_apply(evacuations_t *held, const evacuation_t *order, uint64_t index);
/** Replaces @p held by a copy of another box's state if that is newer. @return whether it was newer */
bool evacuations_update(evacuations_t *held, const evacuations_t *received);
/** Replaces the contents of @p to by a copy of @p from. */
void evacuations_copy(evacuations_t *to, const evacuations_t *from);
/** @return whether the data centre is evacuated */
bool evacuations_has(const evacuations_t *held, const char *dc);

#endif
