/** @file known_members.h
 * Hash of the list of control boxes: the list is sent to a box only when the box has another hash. Pure.
 */
#ifndef TRACKCOVE_CLUSTER_KNOWN_MEMBERS_H
#define TRACKCOVE_CLUSTER_KNOWN_MEMBERS_H

/* ===== Dependencies ===== */

#include <stdint.h>

#include "gen/schema.h"

/* ===== Public functions ===== */

/** Hash of a list of control boxes. 0, which stands for knowing none, is returned only when @p n is 0. */
uint64_t known_members_hash(const raft_member_t *list, uint32_t n);

#endif
