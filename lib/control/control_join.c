/* Joining a cluster, and bootstrapping a new one when all other control boxes are empty. */

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/counter.h"
#include "common/log.h"
#include "control/control_internal.h"

/* ===== Joining and bootstrapping ===== */

static void on_bootstrap_reply(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    control_t *const c = arg;
    (void)err;
    c->bootstrap_pending--;
    if (rc == TC_OK && type == MSG_JOIN_ACK && !((const msg_join_ack_t *)message)->has_state)
        c->bootstrap_empty++;
    if (c->bootstrap_pending > 0)
        return;
    c->bootstrapping = false;
    const raft_view_t view = raft_view(c->raft);
    /* A bootstrapping box that has lost its disk must not create a second cluster, so all others have to be empty. */
    if (c->bootstrap_empty == c->settings->voters_n - 1 && view.last_index == 0) {
        raft_bootstrap(c->raft, &c->self, tc_time_now());
        control_pump(c);
    }
}

static void ignore_reply(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    (void)arg, (void)rc, (void)type, (void)message, (void)err;
}

static void call_other_voters(control_t *c, peer_reply_t callback)
{
    const msg_join_t join = {.member = c->self};
    for (uint32_t i = 0; i < c->settings->voters_n; i++)
        if (strcmp(c->settings->voters[i].name, c->self.name) != 0)
            peer_call(c->net, c->settings->voters[i].peer, MSG_JOIN, &join, BOOTSTRAP_CALL_TIMEOUT_MS, callback, c);
}

void control_join_or_bootstrap(control_t *c, tc_time_t now)
{
    const raft_view_t view = raft_view(c->raft);
    /* A box that was unreachable for long may have been replaced as a voter without knowing it. It then receives no
     * messages of a leader. */
    if (now < c->join_at || (raft_is_voter(c->raft, c->self.id) && view.leader != 0))
        return;
    c->join_at = now + JOIN_INTERVAL_MS;
    const bool empty = view.last_index == 0; /* a crash during bootstrap leaves a term but no entry */
    if (!empty || !c->settings->found_cluster) {
        call_other_voters(c, ignore_reply);
        return;
    }
    if (c->bootstrapping)
        return;
    c->bootstrapping = true;
    c->bootstrap_empty = 0;
    c->bootstrap_pending = c->settings->voters_n - 1;
    if (c->bootstrap_pending == 0) {
        c->bootstrap_pending = 1;
        on_bootstrap_reply(c, TC_E_NOT_FOUND, MSG_NONE, NULL, NULL);
        return;
    }
    /* The call is also a join request, which an empty box ignores. */
    call_other_voters(c, on_bootstrap_reply);
}
