/** @file control_client.h
 * Client of the control boxes for an entry box: heartbeats, configuration, leases and claims.
 */
#ifndef TRACKCOVE_REQUEST_CONTROL_CLIENT_H
#define TRACKCOVE_REQUEST_CONTROL_CLIENT_H

#include "request/entry.h"

/** Creates the client and starts its heartbeats. */
control_client_t *control_client_create(entry_t *entry);

/** Announces with the next heartbeat that this box has released its cells. Call from the loop's thread. */
void control_client_release(control_client_t *client);

/** Claims the id of a request that must not run twice. Blocks up to @p limit ms; must not be called from the loop's
 * thread.
 * @return 0: this box owns the id, and the claim is on the disks of a majority of the control boxes. TC_E_CONFLICT:
 * another claim exists, @p ack has its owner and state. Other errors: the claim is uncertain, and nothing may be sent
 * to a back end */
int control_client_claim(control_client_t *client, const char *id, tc_time_t limit, msg_claim_ack_t *ack,
                         tc_err_t *err);

/** Reports the final state of a claimed request. Best effort; blocks up to 500 ms. */
void control_client_claim_end(control_client_t *client, const char *id, claim_state_t state);

#endif
