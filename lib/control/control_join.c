/* Becoming a member: joining, and founding a cluster when all others are empty. */

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/counter.h"
#include "common/log.h"
#include "control/control_internal.h"

/* ===== Joining and founding ===== */

static void on_found_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    control_t *const c = arg;
    (void)err;
    c->founding_asked--;
    if (rc == TC_OK && type == MSG_JOIN_ACK && !((const msg_join_ack_t *)message)->has_state)
        c->founding_empty++;
    if (c->founding_asked > 0)
        return;
    c->founding = false;
    const raft_view_t view = raft_view(c->raft);
    /* A founder whose disk was lost must not found a second cluster: all others have to be empty. */
    if (c->founding_empty == c->settings->voters_n - 1 && view.last_index == 0) {
        raft_bootstrap(c->raft, &c->self, tc_time_now());
        control_pump(c);
    }
}

static void ignore_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    (void)arg, (void)rc, (void)type, (void)message, (void)err;
}

static void ask_others(control_t *c, peer_reply_t callback)
{
    const msg_join_t join = {.member = c->self};
    for (uint32_t i = 0; i < c->settings->voters_n; i++)
        if (strcmp(c->settings->voters[i].name, c->self.name) != 0)
            peer_call(c->net, c->settings->voters[i].peer, MSG_JOIN, &join, FOUND_CALL_MS, callback, c);
}

void control_join_or_bootstrap(control_t *c, tc_time_t now)
{
    const raft_view_t view = raft_view(c->raft);
    /* A box that was silent for long may have lost its place to another and not know it: it hears no leader then. */
    if (now < c->join_at || (raft_is_voter(c->raft, c->self.id) && view.leader != 0))
        return;
    c->join_at = now + JOIN_EVERY_MS;
    const bool empty = view.last_index == 0; /* a crash in the middle of founding leaves a term and no entry */
    if (!empty || !c->settings->found_cluster) {
        ask_others(c, ignore_answer);
        return;
    }
    if (c->founding)
        return;
    c->founding = true;
    c->founding_empty = 0;
    c->founding_asked = c->settings->voters_n - 1;
    if (c->founding_asked == 0) {
        c->founding_asked = 1;
        on_found_answer(c, TC_E_NOT_FOUND, MSG_NONE, NULL, NULL);
        return;
    }
    /* They take the question for a wish to join too, which an empty box does not grant. */
    ask_others(c, on_found_answer);
}
