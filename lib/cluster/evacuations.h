/** @file evacuations.h
 * Data centres that operators have evacuated: their back ends get nothing new. Replicated state beside the document,
 * changed by entries of the same log; the version is the index of the entry that changed it last, so that of two
 * versions that a box hears of the higher one is newer. Pure.
 */
#ifndef TRACKCOVE_CLUSTER_EVACUATIONS_H
#define TRACKCOVE_CLUSTER_EVACUATIONS_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "gen/schema.h"

/* ===== Public functions ===== */

/** Carry out an order that the log has at @p index. @return whether it changes anything: an evacuation that stands is
 *  not begun again, and one that does not stand is not ended */
bool evacuations_apply(evacuations_t *held, const evacuation_t *order, uint64_t index);
/** Take over what another box holds, if that is newer. @return whether it was */
bool evacuations_update(evacuations_t *held, const evacuations_t *told);
/** Replace what @p to holds by a copy. */
void evacuations_copy(evacuations_t *to, const evacuations_t *from);
/** Whether the back ends of that data centre get nothing new. */
bool evacuations_has(const evacuations_t *held, const char *dc);

#endif
