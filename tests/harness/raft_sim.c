#include "harness/raft_sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/raft.h"
#include "control/state.h"
#include "harness/fake_disk.h"

/* ===== Types ===== */

enum {
    NODES_MAX = 5,
    STEP_MS = 10,
    LINK_MAX_PACKETS = 4000,
    HEAL_STEPS = 1500,
    COMPACT_EVERY_ENTRIES = 25,
    MAX_REQUESTS = 400
};

typedef struct {
    unsigned number;
    uint64_t id;
    raft_member_t self;
    raft_t *raft; /* NULL while the box is down */
    state_t *state;
    uint64_t state_index;
    uint32_t since_snapshot;
    fake_disk_t synced, written;
    bool dirty;
    tc_time_t frozen_until, up_at, join_at;
    bool crash_now;
} node_t;

typedef struct {
    uint64_t to;
    unsigned from_node;
    uint32_t type;
    void *message;
    tc_time_t at;
} packet_t;

/** A proposal whose client waits for the result. */
typedef struct {
    unsigned node;
    uint64_t index, term;
    unsigned request;
} pending_proposal_t;

/** Result of a request, as its client received it. */
typedef struct {
    bool answered;
    int code;
    uint64_t version;
} request_outcome_t;

typedef struct {
    raft_sim_options_t options;
    chooser_t *chooser;
    node_t nodes[NODES_MAX];
    tc_time_t now;
    GArray *link;    /* packet_t */
    GArray *pending; /* pending_proposal_t */
    bool partitioned[NODES_MAX][NODES_MAX];
    bool healing;
    uint64_t next_id;
    request_outcome_t requests[MAX_REQUESTS];
    unsigned next_request;
    GArray *accepted; /* request number by version - 1 */
    raft_sim_result_t result;
} raft_sim_t;

static void report_violation(raft_sim_t *sim, const char *promise)
{
    if (!sim->result.violation)
        sim->result.violation = promise;
}

/* ===== Syncing ===== */

static void sync_node(raft_sim_t *sim, node_t *n)
{
    if (n->dirty && !sim->options.skip_sync)
        fake_disk_copy(&n->synced, &n->written);
    n->dirty = false;
}

/* ===== Start and stop of a node ===== */

static void start_node(raft_sim_t *sim, node_t *n)
{
    const fake_disk_t *const d = &n->synced;
    raft_start_t start = {.id = n->id,
                          .term = d->term,
                          .vote = d->vote,
                          .entries = d->entries,
                          .n_entries = d->n,
                          .seed = n->id * 77 + (uint64_t)sim->now};
    start.snapshot = d->snapshot;
    n->raft = raft_create(&start, sim->now);
    n->state = state_create();
    n->state_index = d->snapshot.last_index;
    if (n->state_index > 0)
        state_load(n->state, d->snapshot.state, d->snapshot.state_n);
    n->since_snapshot = 0;
    fake_disk_copy(&n->written, &n->synced);
    n->dirty = false;
}

static void stop_node(raft_sim_t *sim, node_t *n)
{
    if (!n->raft)
        return;
    raft_destroy(n->raft);
    state_destroy(n->state);
    n->raft = NULL;
    n->state = NULL;
    for (guint i = 0; i < sim->pending->len;) {
        if (g_array_index(sim->pending, pending_proposal_t, i).node == n->number)
            g_array_remove_index_fast(sim->pending, i); /* its client sends the request again */
        else
            i++;
    }
}

static void new_identity(raft_sim_t *sim, node_t *n)
{
    n->id = ++sim->next_id;
    n->self.id = n->id;
    snprintf(n->self.name, sizeof(n->self.name), "control-%u", n->number);
    snprintf(n->self.peer, sizeof(n->self.peer), "%u", n->number);
}

/* ===== The oracle ===== */

static void check_history(raft_sim_t *sim, const node_t *n)
{
    const change_t *changes[4];
    const uint32_t got = state_history(n->state, changes, 4);
    for (uint32_t i = 0; i < got; i++) {
        const uint64_t version = changes[i]->version;
        sim->result.checks++;
        if (version > sim->accepted->len)
            continue;
        const int wanted = g_array_index(sim->accepted, int, version - 1);
        if (wanted >= 0 && wanted != atoi(changes[i]->request_id + 1))
            report_violation(sim, "an accepted version holds another request on one of the boxes");
    }
}

static void record_accepted(raft_sim_t *sim, uint64_t version, unsigned request)
{
    const int none = -1;
    while (sim->accepted->len < version)
        g_array_append_val(sim->accepted, none);
    int *const at = &g_array_index(sim->accepted, int, version - 1);
    if (*at >= 0 && *at != (int)request)
        report_violation(sim, "two requests were accepted as the same version");
    *at = (int)request;
}

/** Record the result that the client of a request receives. */
static void record_client_result(raft_sim_t *sim, unsigned request, const result_t *result)
{
    request_outcome_t *const outcome = &sim->requests[request];
    sim->result.checks++;
    if (outcome->answered && (outcome->code != (int)result->code || outcome->version != result->version))
        report_violation(sim, "a resent request got another result");
    outcome->answered = true;
    outcome->code = (int)result->code;
    outcome->version = result->version;
    if (result->code != TC_OK)
        return;
    record_accepted(sim, result->version, request);
    sim->result.accepted++;
}

static void check_leases(raft_sim_t *sim)
{
    unsigned leases = 0;
    for (unsigned i = 0; i < sim->options.nodes; i++)
        leases += sim->nodes[i].raft && raft_has_lease(sim->nodes[i].raft, sim->now);
    sim->result.checks++;
    if (leases > 1)
        report_violation(sim, "two leaders' leases are valid at once");
}

/* ===== Actions ===== */

static void send_packet(raft_sim_t *sim, const node_t *from, raft_action_t *action)
{
    packet_t packet = {.to = action->to,
                       .from_node = from->number,
                       .type = action->type,
                       .message = action->message,
                       .at = sim->now + 1};
    if (!sim->healing) {
        packet.at +=
            choose(sim->chooser, 8) == 0 ? (tc_time_t)choose(sim->chooser, 300) : (tc_time_t)choose(sim->chooser, 5);
    }
    if (sim->link->len >= LINK_MAX_PACKETS || (!sim->healing && once_in(sim->chooser, 30))) {
        return; /* dropped; the action still owns the message */
    }
    g_array_append_val(sim->link, packet);
    action->message = NULL;
}

static void apply_entry(raft_sim_t *sim, node_t *n, const log_entry_t *entry)
{
    result_t result;
    const uint64_t before = state_version(n->state);
    state_apply(n->state, entry->data, entry->data_n, &result);
    if (state_version(n->state) < before)
        report_violation(sim, "the version decreased");
    for (guint i = 0; i < sim->pending->len;) {
        const pending_proposal_t proposal = g_array_index(sim->pending, pending_proposal_t, i);
        if (proposal.node != n->number || proposal.index != entry->index) {
            i++;
            continue;
        }
        if (proposal.term == entry->term)
            record_client_result(sim, proposal.request, &result);
        g_array_remove_index_fast(sim->pending, i);
    }
    codec_free(&result_desc, &result);
    n->state_index = entry->index;
    n->since_snapshot++;
    check_history(sim, n);
}

static void run_action(raft_sim_t *sim, node_t *n, raft_action_t *action)
{
    switch (action->kind) {
    case RAFT_ACT_META:
        n->written.term = action->term;
        n->written.vote = action->vote;
        n->synced.term = action->term;
        n->synced.vote = action->vote;
        break;
    case RAFT_ACT_APPEND:
        fake_disk_append(&n->written, &action->entry);
        n->dirty = true;
        break;
    case RAFT_ACT_TRUNCATE:
        fake_disk_truncate(&n->written, (uint32_t)(action->index - n->written.snapshot.last_index - 1));
        n->dirty = true;
        break;
    case RAFT_ACT_SNAPSHOT:
        fake_disk_save_snapshot(&n->written, &action->snapshot);
        n->dirty = true;
        sync_node(sim, n);
        n->since_snapshot = 0;
        if (action->snapshot.last_index > n->state_index) {
            state_load(n->state, action->snapshot.state, action->snapshot.state_n);
            n->state_index = action->snapshot.last_index;
        }
        break;
    case RAFT_ACT_SEND:
        sync_node(sim, n);
        send_packet(sim, n, action);
        break;
    case RAFT_ACT_APPLY:
        sync_node(sim, n);
        apply_entry(sim, n, &action->entry);
        break;
    case RAFT_ACT_LEADERSHIP_LOST: break;
    }
}

static void run_actions(raft_sim_t *sim, node_t *n)
{
    raft_action_t action;
    while (n->raft && raft_next_action(n->raft, &action)) {
        run_action(sim, n, &action);
        raft_action_free(&action);
        if (!sim->healing && once_in(sim->chooser, 4000)) {
            n->crash_now = true; /* between two actions: unsynced writes are lost */
            return;
        }
        if (n->since_snapshot < COMPACT_EVERY_ENTRIES)
            continue;
        size_t size;
        char *const image = state_save(n->state, &size);
        raft_compact(n->raft, n->state_index, image, size);
        free(image);
        n->since_snapshot = 0;
    }
    if (n->raft)
        sync_node(sim, n);
}

/* ===== Operations ===== */

static void propose(raft_sim_t *sim, unsigned request)
{
    for (unsigned i = 0; i < sim->options.nodes; i++) {
        node_t *const n = &sim->nodes[i];
        if (!n->raft || n->frozen_until > sim->now || !raft_has_lease(n->raft, sim->now))
            continue;
        /* Operators race: plan and confirmation are proposed together, based on the version that this leader has. */
        char text[64];
        snprintf(text, sizeof(text), "{\"targets\":{\"max_queue\":%u}}", request + 1);
        command_t command = {.kind = COMMAND_KIND_PLAN,
                             .base = state_version(n->state),
                             .patch = text,
                             .patch_n = (uint32_t)strlen(text)};
        snprintf(command.plan, sizeof(command.plan), "plan-%u", request);
        size_t size;
        char *data = state_pack_command(&command, &size);
        raft_propose(n->raft, data, size, sim->now);
        free(data);
        command.kind = COMMAND_KIND_CONFIRM;
        command.patch = NULL;
        command.patch_n = 0;
        snprintf(command.request_id, sizeof(command.request_id), "r%u", request);
        data = state_pack_command(&command, &size);
        const uint64_t term = raft_view(n->raft).term;
        const pending_proposal_t proposal = {
            .node = n->number, .index = raft_view(n->raft).last_index + 1, .term = term, .request = request};
        g_array_append_val(sim->pending, proposal);
        raft_propose(n->raft, data, size, sim->now);
        free(data);
        sim->result.operations++;
        run_actions(sim, n);
        return;
    }
}

static void deliver(raft_sim_t *sim)
{
    for (guint i = 0; i < sim->link->len;) {
        packet_t packet = g_array_index(sim->link, packet_t, i);
        if (packet.at > sim->now) {
            i++;
            continue;
        }
        const bool twice = !sim->healing && once_in(sim->chooser, 40);
        node_t *to = NULL;
        for (unsigned k = 0; k < sim->options.nodes; k++)
            if (sim->nodes[k].id == packet.to)
                to = &sim->nodes[k];
        const bool frozen = to && to->frozen_until > sim->now;
        if (frozen) { /* stays in the socket buffer until the box resumes */
            i++;
            continue;
        }
        if (to && to->raft && !sim->partitioned[packet.from_node][to->number]) {
            raft_receive(to->raft, packet.type, packet.message, sim->now);
            run_actions(sim, to);
        }
        if (twice) {
            g_array_index(sim->link, packet_t, i).at = sim->now + 1 + (tc_time_t)choose(sim->chooser, 400);
            continue;
        }
        g_array_remove_index_fast(sim->link, i);
        codec_free(msg_desc(packet.type), packet.message);
        free(packet.message);
    }
}

static bool is_stable(const raft_sim_t *sim)
{
    unsigned settled = 0;
    for (unsigned i = 0; i < sim->options.nodes; i++) {
        const node_t *const n = &sim->nodes[i];
        if (!n->raft || n->frozen_until > sim->now)
            return false;
        const raft_members_t *const members = raft_members(n->raft);
        unsigned voters = 0;
        for (uint32_t k = 0; k < members->list_n; k++)
            voters += members->list[k].voter;
        settled += voters == sim->options.nodes && members->list_n == sim->options.nodes &&
                   raft_is_voter(n->raft, n->id) && raft_view(n->raft).commit > 0;
    }
    return settled == sim->options.nodes;
}

/** Replace the disk of a box by an empty one. Only while all boxes are voters, which includes the time right after an
 *  earlier replacement. */
static void replace_disk(raft_sim_t *sim, node_t *n)
{
    if (!is_stable(sim))
        return;
    stop_node(sim, n);
    fake_disk_free(&n->synced);
    fake_disk_free(&n->written);
    new_identity(sim, n);
    n->up_at = sim->now + choose(sim->chooser, 500);
    sim->result.lost_disks++;
}

static void crash(raft_sim_t *sim, node_t *n)
{
    stop_node(sim, n);
    n->crash_now = false;
    n->up_at = sim->now + 20 + (tc_time_t)choose(sim->chooser, 2000);
    sim->result.crashes++;
}

static void inject_fault(raft_sim_t *sim)
{
    node_t *const n = &sim->nodes[choose(sim->chooser, sim->options.nodes)];
    const unsigned other = choose(sim->chooser, sim->options.nodes);
    sim->result.operations++;
    switch (choose(sim->chooser, 8)) {
    case 0:
        if (n->raft)
            crash(sim, n);
        break;
    case 1: sim->partitioned[n->number][other] = !sim->partitioned[n->number][other]; break;
    case 2: /* partition the box from all others */
        for (unsigned i = 0; i < sim->options.nodes; i++)
            sim->partitioned[n->number][i] = sim->partitioned[i][n->number] = true;
        break;
    case 3:
    case 4: memset(sim->partitioned, 0, sizeof(sim->partitioned)); break;
    case 5: n->frozen_until = sim->now + (tc_time_t)choose(sim->chooser, 4000); break;
    case 6: replace_disk(sim, n); break;
    default: /* transfer of leadership, as at a planned stop */
        if (!n->raft || n->frozen_until > sim->now)
            break;
        (void)raft_resign(n->raft, sim->now);
        run_actions(sim, n);
        break;
    }
}

static void step_node(raft_sim_t *sim, node_t *n)
{
    if (n->crash_now && n->raft)
        crash(sim, n);
    if (!n->raft && sim->now >= n->up_at)
        start_node(sim, n);
    if (!n->raft || n->frozen_until > sim->now)
        return;
    raft_tick(n->raft, sim->now);
    run_actions(sim, n);
    const bool placed = n->raft && raft_is_voter(n->raft, n->id) && raft_view(n->raft).leader != 0;
    if (!n->raft || placed || sim->now < n->join_at)
        return;
    n->join_at = sim->now + 200;
    for (unsigned i = 0; i < sim->options.nodes; i++) {
        node_t *const leader = &sim->nodes[i];
        const bool reachable = leader->raft && leader->frozen_until <= sim->now && !sim->partitioned[n->number][i];
        if (!reachable || !raft_has_lease(leader->raft, sim->now))
            continue;
        raft_join(leader->raft, &n->self, sim->now);
        run_actions(sim, leader);
    }
}

static void step(raft_sim_t *sim)
{
    sim->now += STEP_MS;
    deliver(sim);
    for (unsigned i = 0; i < sim->options.nodes; i++)
        step_node(sim, &sim->nodes[i]);
    check_leases(sim);
}

/* ===== Runs ===== */

static void bootstrap_cluster(raft_sim_t *sim)
{
    for (unsigned i = 0; i < sim->options.nodes; i++) {
        node_t *const n = &sim->nodes[i];
        n->number = i;
        new_identity(sim, n);
        start_node(sim, n);
    }
    raft_bootstrap(sim->nodes[0].raft, &sim->nodes[0].self, sim->now);
    run_actions(sim, &sim->nodes[0]);
    sim->healing = true; /* no faults until the cluster is complete */
    for (unsigned i = 0; i < 2000 && !is_stable(sim); i++) {
        step(sim);
        node_t *const first = &sim->nodes[0];
        if (first->raft && raft_view(first->raft).last_index == 0) { /* it crashed before it synced anything */
            raft_bootstrap(first->raft, &first->self, sim->now);
            run_actions(sim, first);
        }
    }
    sim->healing = false;
    if (!is_stable(sim))
        report_violation(sim, "the cluster was not complete after the bootstrap");
}

static void run_with_faults(raft_sim_t *sim)
{
    for (unsigned i = 0; i < sim->options.steps && !sim->result.violation && !chooser_empty(sim->chooser); i++) {
        step(sim);
        if (once_in(sim->chooser, 6) && sim->next_request < MAX_REQUESTS)
            propose(sim, sim->next_request++);
        if (once_in(sim->chooser, 12) &&
            sim->next_request > 0) /* the reply was lost: the operator resends the request */
            propose(sim, choose(sim->chooser, sim->next_request));
        if (once_in(sim->chooser, 40))
            inject_fault(sim);
    }
}

static void check_end(raft_sim_t *sim)
{
    uint64_t newest = 0;
    for (guint v = 0; v < sim->accepted->len; v++)
        if (g_array_index(sim->accepted, int, v) >= 0)
            newest = v + 1;
    for (unsigned i = 0; i < sim->options.nodes; i++) {
        const node_t *const n = &sim->nodes[i];
        sim->result.checks++;
        if (!n->raft || state_version(n->state) < newest) {
            report_violation(sim, "an accepted version is missing at the end");
            return;
        }
        check_history(sim, n);
        const change_t **const changes = calloc(sim->accepted->len + 2000, sizeof(*changes));
        const uint32_t got = state_history(n->state, changes, sim->accepted->len + 1000);
        for (uint32_t k = 0; k < got; k++) {
            const uint64_t version = changes[k]->version;
            const int wanted = version <= sim->accepted->len ? g_array_index(sim->accepted, int, version - 1) : -1;
            if (wanted >= 0 && wanted != atoi(changes[k]->request_id + 1))
                report_violation(sim, "an accepted version holds another request at the end");
        }
        free(changes);
    }
}

static void run_without_faults(raft_sim_t *sim)
{
    sim->healing = true;
    memset(sim->partitioned, 0, sizeof(sim->partitioned));
    for (unsigned i = 0; i < sim->options.nodes; i++) {
        sim->nodes[i].frozen_until = 0;
        sim->nodes[i].up_at = sim->now;
    }
    for (unsigned i = 0; i < HEAL_STEPS; i++)
        step(sim);
    if (!is_stable(sim)) /* must become complete without any proposal */
        report_violation(sim, "the cluster did not recover after the faults");
    /* Resend some requests, as if their replies were lost. */
    for (unsigned r = 0; r < sim->next_request; r += 7)
        propose(sim, r);
    for (unsigned i = 0; i < 200; i++)
        step(sim);
    if (!is_stable(sim))
        report_violation(sim, "the cluster did not recover after the faults");
    check_end(sim);
}

raft_sim_result_t raft_sim_run(const raft_sim_options_t *options, chooser_t *chooser)
{
    raft_sim_t *const sim = calloc(1, sizeof(*sim));
    if (!sim)
        abort();
    sim->options = *options;
    sim->chooser = chooser;
    sim->now = 1000;
    sim->link = g_array_new(FALSE, FALSE, sizeof(packet_t));
    sim->pending = g_array_new(FALSE, FALSE, sizeof(pending_proposal_t));
    sim->accepted = g_array_new(FALSE, FALSE, sizeof(int));
    bootstrap_cluster(sim);
    if (!sim->result.violation)
        run_with_faults(sim);
    if (!sim->result.violation)
        run_without_faults(sim);
    const raft_sim_result_t result = sim->result;
    for (unsigned i = 0; i < options->nodes; i++) {
        stop_node(sim, &sim->nodes[i]);
        fake_disk_free(&sim->nodes[i].synced);
        fake_disk_free(&sim->nodes[i].written);
    }
    for (guint i = 0; i < sim->link->len; i++) {
        packet_t *const p = &g_array_index(sim->link, packet_t, i);
        codec_free(msg_desc(p->type), p->message);
        free(p->message);
    }
    g_array_free(sim->link, TRUE);
    g_array_free(sim->pending, TRUE);
    g_array_free(sim->accepted, TRUE);
    free(sim);
    return result;
}
