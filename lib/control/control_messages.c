/* Handlers for messages from entry boxes and other control boxes. */

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/counter.h"
#include "common/log.h"
#include "control/control_internal.h"

COUNTER_DEFINE(c_beats, "counter", "trackcove_control_beats_total", "Heartbeats of entry boxes answered")

/* ===== Messages ===== */

static void reply_not_leader(control_t *c, peer_call_t call)
{
    const raft_member_t *const leader = raft_find_member(c->raft, raft_view(c->raft).leader);
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_NOT_LEADER, "ask control", leader ? leader->peer : "", "another control box leads");
    peer_reply_error(c->net, call, &err);
}

static void fill_cells(const control_t *c, msg_beat_ack_t *ack)
{
    enum { CELLS_MAX = 1024 };
    const cell_lease_t **const cells = calloc(CELLS_MAX, sizeof(const cell_lease_t *));
    if (!cells)
        abort();
    ack->cells_n = state_cells(c->state, cells, CELLS_MAX);
    ack->cells = calloc(ack->cells_n + 1, sizeof(*ack->cells));
    if (!ack->cells)
        abort();
    for (uint32_t i = 0; i < ack->cells_n; i++)
        ack->cells[i] = *cells[i];
    free(cells);
}

static void on_heartbeat(control_t *c, peer_call_t call, const msg_beat_t *beat, tc_time_t now)
{
    if (!control_leads(c, now)) {
        reply_not_leader(c, call);
        return;
    }
    tc_err_t err = {0};
    if (members_on_heartbeat(c->members, beat, now) < 0) {
        tc_err_set(&err, TC_E_FENCED, "beat", beat->self.box, "a newer start of this box was seen");
        peer_reply_error(c->net, call, &err);
        return;
    }
    counter_add(&c_beats, 1);
    if (beat->released)
        c->cells_at = now; /* reassign its cells without waiting for the next interval */
    for (uint32_t i = 0; i < beat->loads_n; i++)
        planner_update_load(c->planner, &beat->loads[i], &state_config(c->state)->planner, now);
    msg_beat_ack_t ack = {.term = raft_view(c->raft).term,
                          .version = state_version(c->state),
                          .lease_ms = state_config(c->state)->targets.config_lease_ms,
                          .members_version = members_version(c->members),
                          .drain = state_is_draining(c->state, beat->self.box)};
    ack.cells_version = state_cells_version(c->state);
    if (beat->cells_version != ack.cells_version)
        fill_cells(c, &ack);
    if (beat->members_version != ack.members_version)
        ack.members_n = members_list_changes(c->members, beat->members_version, &ack.members, &ack.members_all);
    peer_reply(c->net, call, MSG_BEAT_ACK, &ack);
    codec_free(&msg_beat_ack_desc, &ack);
}

static void on_fetch(control_t *c, peer_call_t call, const msg_fetch_t *fetch)
{
    msg_fetch_ack_t ack = {0};
    if (!state_changes(c->state, fetch->from, &ack)) {
        const char *const text = state_config_text(c->state);
        ack.whole_version = state_version(c->state);
        codec_set_text(&ack.whole, &ack.whole_n, text, strlen(text));
    }
    peer_reply(c->net, call, MSG_FETCH_ACK, &ack);
    codec_free(&msg_fetch_ack_desc, &ack);
}

/** A call that waits until its claim is applied. */
typedef struct {
    control_t *control;
    peer_call_t call;
} claim_call_t;

static void claim_applied(void *arg, const result_t *result, const tc_err_t *err)
{
    claim_call_t *const pending = arg;
    if (err) {
        if (err->code == TC_E_NOT_LEADER)
            reply_not_leader(pending->control, pending->call);
        else
            peer_reply_error(pending->control->net, pending->call, err);
    } else {
        msg_claim_ack_t ack = {.won = result->code == TC_OK, .state = (claim_state_t)result->version};
        codec_copy_string(ack.owner, sizeof(ack.owner), result->detail ? result->detail : "");
        peer_reply(pending->control->net, pending->call, MSG_CLAIM_ACK, &ack);
    }
    free(pending);
}

static void propose_claim(control_t *c, peer_call_t call, command_t *command)
{
    claim_call_t *const pending = calloc(1, sizeof(*pending));
    if (!pending)
        abort();
    *pending = (claim_call_t){.control = c, .call = call};
    command->wall_ms = tc_time_wall();
    control_propose(c, command, claim_applied, pending);
}

static void on_claim(control_t *c, peer_call_t call, const msg_claim_t *claim)
{
    command_t command = {.kind = COMMAND_KIND_CLAIM, .incarnation = claim->incarnation};
    codec_copy_string(command.id, sizeof(command.id), claim->id);
    codec_copy_string(command.box, sizeof(command.box), claim->box);
    propose_claim(c, call, &command);
}

static void on_claim_end(control_t *c, peer_call_t call, const msg_claim_end_t *end)
{
    command_t command = {.kind = COMMAND_KIND_CLAIM_END, .incarnation = end->incarnation, .state = end->state};
    codec_copy_string(command.id, sizeof(command.id), end->id);
    codec_copy_string(command.box, sizeof(command.box), end->box);
    propose_claim(c, call, &command);
}

static bool is_configured_voter(const control_t *c, const raft_member_t *member)
{
    for (uint32_t i = 0; i < c->settings->voters_n; i++)
        if (strcmp(c->settings->voters[i].name, member->name) == 0)
            return true;
    return false;
}

static void on_join(control_t *c, peer_call_t call, const msg_join_t *join, tc_time_t now)
{
    const raft_view_t view = raft_view(c->raft);
    const msg_join_ack_t ack = {.has_state = view.term > 0 || view.last_index > 0,
                                .is_member = raft_is_voter(c->raft, join->member.id)};
    peer_reply(c->net, call, MSG_JOIN_ACK, &ack);
    if (is_configured_voter(c, &join->member) && control_leads(c, now))
        raft_join(c->raft, &join->member, now);
}

/** Store the peer address, from the settings, of the box that sent a message of the log. Replies go there while the
 *  sender is not in this box's list of members. */
static void remember_sender(control_t *c, const char *box, uint64_t id)
{
    for (uint32_t i = 0; i < c->settings->voters_n && id != 0; i++)
        if (strcmp(c->settings->voters[i].name, box) == 0)
            g_hash_table_insert(c->senders, GSIZE_TO_POINTER(id), c->settings->voters[i].peer);
}

void control_on_message(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    control_t *const c = arg;
    const tc_time_t now = tc_time_now();
    switch (type) {
    case MSG_BEAT: on_heartbeat(c, call, message, now); break;
    case MSG_FETCH: on_fetch(c, call, message); break;
    case MSG_CLAIM: on_claim(c, call, message); break;
    case MSG_CLAIM_END: on_claim_end(c, call, message); break;
    case MSG_JOIN: on_join(c, call, message, now); break;
    default:
        remember_sender(c, from, raft_sender(type, message));
        if (!log_writer_is_stalled(c->writer)) /* dropped as if lost: no reply could be sent while the disk fails */
            raft_receive(c->raft, type, message, now);
        break;
    }
    control_pump(c);
}
