/** @file leader_slots.h
 * Slots of plain back ends at the leader of the control boxes: one slot pool per plain service, the messages between
 * boxes and pools, and the log of every decision.
 *
 * Sources: calls of boxes (slot_take, slot_done), their reports (what they have in flight, and that they live), the
 * published list of back ends and the evacuated data centres. All state is soft: it is dropped when this box stops
 * leading, and the next leader rebuilds it from the reports. Owned by leader_sched, whose lease and ticks it shares.
 */
#ifndef TRACKCOVE_CLUSTER_LEADER_SLOTS_H
#define TRACKCOVE_CLUSTER_LEADER_SLOTS_H

/* ===== Dependencies ===== */

#include "admission/admission_view.h"
#include "admission/slot_pool.h"
#include "cluster/evacuations.h"
#include "gen/schema.h"
#include "peer/peer.h"

/* ===== Types ===== */

typedef struct leader_slots leader_slots_t;

/* ===== Public functions ===== */

/** @param net borrowed; used to send answers */
leader_slots_t *leader_slots_create(peer_net_t *net);
/** Pending calls get no answer. */
void leader_slots_destroy(leader_slots_t *slots);

/** Sets the back ends as they are sent to boxes; copied, engines included. Those that are draining, or in an evacuated
 *  data centre, get no new requests. Call it again when the evacuations change. */
void leader_slots_set_backends(leader_slots_t *slots, const backend_t *list, uint32_t n,
                               const evacuations_t *evacuations, tc_time_t now);

/** Handles the report of a box that takes callers: it lives, and this is all that it has in flight. Call only while
 *  this box leads. @param ack grants_slots is set */
void leader_slots_handle_report(leader_slots_t *slots, const msg_report_t *report, msg_report_ack_t *ack,
                                tc_time_t now);

/** @return whether messages of this type are for leader_slots_handle_message */
bool leader_slots_handles_type(uint32_t type);
/** Handles slot_take, which is answered now or later, and slot_done. Call only while this box leads. A service without
 *  listed slots is answered with TC_E_REFUSED: its boxes choose back ends by themselves. */
void leader_slots_handle_message(leader_slots_t *slots, peer_call_t call, uint32_t type, const void *message,
                                 tc_time_t now);

/** Adds the pools to a view. */
void leader_slots_view(const leader_slots_t *slots, admission_view_t *view, tc_time_t now);

/** Advances time. Call every tick, and when the lease changes. A change of @p term drops all pools; their pending calls
 *  get no answer.
 *  @param term 0: this box does not lead
 *  @param held whether it holds the lease now; without it nothing is granted, and the state is kept
 *  @param boxes number of live boxes that take callers */
void leader_slots_tick(leader_slots_t *slots, uint64_t term, bool held, uint32_t boxes, tc_time_t now);

#endif
