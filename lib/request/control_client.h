/** @file control_client.h
 * An entry box's dealings with the control boxes: beats, configuration, leases, claims.
 */
#ifndef TRACKCOVE_REQUEST_CONTROL_CLIENT_H
#define TRACKCOVE_REQUEST_CONTROL_CLIENT_H

#include "request/entry.h"

/** Start beating. */
control_client_t *control_client_create(entry_t *entry);

/** This box schedules nothing any more and says so with its beats. Loop's thread. */
void control_client_release(control_client_t *client);

/** Claim the id of a not repeatable request; blocks, not from the loop's thread.
 * @return 0: it is ours and on a majority of the control boxes' disks. TC_E_CONFLICT: someone else's, @p ack says
 *  whose and how it stands. Others: not claimed for sure, nothing may be sent */
int control_client_claim(control_client_t *client, const char *id, tc_time_t limit, msg_claim_ack_t *ack,
                         tc_err_t *err);

/** Say how a claimed request ended. Blocks for a short while; best effort. */
void control_client_claim_end(control_client_t *client, const char *id, claim_state_t state);

#endif
