#include "harness/raft_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/raft.h"
#include "control/state.h"
#include "harness/fake_disk.h"

/* ===== Types ===== */

enum { NODES_MAX = 5, STEP_MS = 10, LINK_MAX = 4000, HEAL_STEPS = 1500, COMPACT_EVERY = 25, REQUESTS = 400 };

typedef struct {
    unsigned number;
    uint64_t id;
    raft_member_t self;
    raft_t *raft; /* NULL while it is down */
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

/** A proposal whose client waits. */
typedef struct {
    unsigned node;
    uint64_t index, term;
    unsigned request;
} waiting_t;

/** What the oracle knows of a request. */
typedef struct {
    bool answered;
    int code;
    uint64_t version;
} known_t;

typedef struct {
    world_options_t options;
    chooser_t *chooser;
    node_t nodes[NODES_MAX];
    tc_time_t now;
    GArray *link;    /* packet_t */
    GArray *waiting; /* waiting_t */
    bool cut[NODES_MAX][NODES_MAX];
    bool healing;
    uint64_t next_id;
    known_t requests[REQUESTS];
    unsigned next_request;
    GArray *accepted; /* request number by version - 1 */
    world_result_t result;
} world_t;

static void broken(world_t *w, const char *promise)
{
    if (!w->result.broken)
        w->result.broken = promise;
}

/* ===== Syncing ===== */

static void sync_node(world_t *w, node_t *n)
{
    if (n->dirty && !w->options.skip_sync)
        disk_copy(&n->synced, &n->written);
    n->dirty = false;
}

/* ===== Life of a node ===== */

static void start_node(world_t *w, node_t *n)
{
    const fake_disk_t *const d = &n->synced;
    raft_start_t start = {.id = n->id,
                          .term = d->term,
                          .vote = d->vote,
                          .entries = d->entries,
                          .n_entries = d->n,
                          .seed = n->id * 77 + (uint64_t)w->now};
    start.snapshot = d->snapshot;
    n->raft = raft_create(&start, w->now);
    n->state = state_create();
    n->state_index = d->snapshot.last_index;
    if (n->state_index > 0)
        state_load(n->state, d->snapshot.state, d->snapshot.state_n);
    n->since_snapshot = 0;
    disk_copy(&n->written, &n->synced);
    n->dirty = false;
}

static void stop_node(world_t *w, node_t *n)
{
    if (!n->raft)
        return;
    raft_destroy(n->raft);
    state_destroy(n->state);
    n->raft = NULL;
    n->state = NULL;
    for (guint i = 0; i < w->waiting->len;) {
        if (g_array_index(w->waiting, waiting_t, i).node == n->number)
            g_array_remove_index_fast(w->waiting, i); /* its client will ask again */
        else
            i++;
    }
}

static void new_identity(world_t *w, node_t *n)
{
    n->id = ++w->next_id;
    n->self.id = n->id;
    snprintf(n->self.name, sizeof(n->self.name), "control-%u", n->number);
    snprintf(n->self.peer, sizeof(n->self.peer), "%u", n->number);
}

/* ===== The oracle ===== */

static void check_history(world_t *w, const node_t *n)
{
    const change_t *changes[4];
    const uint32_t got = state_history(n->state, changes, 4);
    for (uint32_t i = 0; i < got; i++) {
        const uint64_t version = changes[i]->version;
        w->result.checks++;
        if (version > w->accepted->len)
            continue;
        const int wanted = g_array_index(w->accepted, int, version - 1);
        if (wanted >= 0 && wanted != atoi(changes[i]->request_id + 1))
            broken(w, "an accepted version is another one elsewhere");
    }
}

static void learn_accepted(world_t *w, uint64_t version, unsigned request)
{
    const int none = -1;
    while (w->accepted->len < version)
        g_array_append_val(w->accepted, none);
    int *const at = &g_array_index(w->accepted, int, version - 1);
    if (*at >= 0 && *at != (int)request)
        broken(w, "two requests won one version");
    *at = (int)request;
}

/** The client of a request is told its answer. */
static void tell_client(world_t *w, unsigned request, const result_t *result)
{
    known_t *const known = &w->requests[request];
    w->result.checks++;
    if (known->answered && (known->code != (int)result->code || known->version != result->version))
        broken(w, "a resent request got another answer");
    known->answered = true;
    known->code = (int)result->code;
    known->version = result->version;
    if (result->code != TC_OK)
        return;
    learn_accepted(w, result->version, request);
    w->result.accepted++;
}

static void check_leases(world_t *w)
{
    unsigned leases = 0;
    for (unsigned i = 0; i < w->options.nodes; i++)
        leases += w->nodes[i].raft && raft_has_lease(w->nodes[i].raft, w->now);
    w->result.checks++;
    if (leases > 1)
        broken(w, "two leaders' leases are valid at once");
}

/* ===== Actions ===== */

static void send_packet(world_t *w, const node_t *from, raft_action_t *action)
{
    packet_t packet = {.to = action->to,
                       .from_node = from->number,
                       .type = action->type,
                       .message = action->message,
                       .at = w->now + 1};
    if (!w->healing) {
        packet.at += choose(w->chooser, 8) == 0 ? (tc_time_t)choose(w->chooser, 300) : (tc_time_t)choose(w->chooser, 5);
    }
    if (w->link->len >= LINK_MAX || (!w->healing && once_in(w->chooser, 30))) {
        return; /* lost; the action still owns the message */
    }
    g_array_append_val(w->link, packet);
    action->message = NULL;
}

static void applied(world_t *w, node_t *n, const log_entry_t *entry)
{
    result_t result;
    const uint64_t before = state_version(n->state);
    state_apply(n->state, entry->data, entry->data_n, &result);
    if (state_version(n->state) < before)
        broken(w, "a version went back");
    for (guint i = 0; i < w->waiting->len;) {
        const waiting_t wait = g_array_index(w->waiting, waiting_t, i);
        if (wait.node != n->number || wait.index != entry->index) {
            i++;
            continue;
        }
        if (wait.term == entry->term)
            tell_client(w, wait.request, &result);
        g_array_remove_index_fast(w->waiting, i);
    }
    codec_free(&result_desc, &result);
    n->state_index = entry->index;
    n->since_snapshot++;
    check_history(w, n);
}

static void act(world_t *w, node_t *n, raft_action_t *action)
{
    switch (action->kind) {
    case RAFT_ACT_META:
        n->written.term = action->term;
        n->written.vote = action->vote;
        n->synced.term = action->term;
        n->synced.vote = action->vote;
        break;
    case RAFT_ACT_APPEND:
        disk_add(&n->written, &action->entry);
        n->dirty = true;
        break;
    case RAFT_ACT_TRUNCATE:
        disk_cut(&n->written, (uint32_t)(action->index - n->written.snapshot.last_index - 1));
        n->dirty = true;
        break;
    case RAFT_ACT_SNAPSHOT:
        disk_snapshot(&n->written, &action->snapshot);
        n->dirty = true;
        sync_node(w, n);
        n->since_snapshot = 0;
        if (action->snapshot.last_index > n->state_index) {
            state_load(n->state, action->snapshot.state, action->snapshot.state_n);
            n->state_index = action->snapshot.last_index;
        }
        break;
    case RAFT_ACT_SEND:
        sync_node(w, n);
        send_packet(w, n, action);
        break;
    case RAFT_ACT_APPLY:
        sync_node(w, n);
        applied(w, n, &action->entry);
        break;
    case RAFT_ACT_LEADERSHIP_LOST: break;
    }
}

static void pump(world_t *w, node_t *n)
{
    raft_action_t action;
    while (n->raft && raft_next_action(n->raft, &action)) {
        act(w, n, &action);
        raft_action_free(&action);
        if (!w->healing && once_in(w->chooser, 4000)) {
            n->crash_now = true; /* in the middle of its work: what is not synced is gone */
            return;
        }
        if (n->since_snapshot < COMPACT_EVERY)
            continue;
        size_t size;
        char *const image = state_save(n->state, &size);
        raft_compact(n->raft, n->state_index, image, size);
        free(image);
        n->since_snapshot = 0;
    }
    if (n->raft)
        sync_node(w, n);
}

/* ===== Operations ===== */

static void propose(world_t *w, unsigned request)
{
    for (unsigned i = 0; i < w->options.nodes; i++) {
        node_t *const n = &w->nodes[i];
        if (!n->raft || n->frozen_until > w->now || !raft_has_lease(n->raft, w->now))
            continue;
        /* Operators race: a plan and its confirmation in one, for the version this leader shows. */
        char text[64];
        snprintf(text, sizeof(text), "{\"targets\":{\"max_queue\":%u}}", request + 1);
        command_t command = {.kind = COMMAND_KIND_PLAN,
                             .base = state_version(n->state),
                             .patch = text,
                             .patch_n = (uint32_t)strlen(text)};
        snprintf(command.plan, sizeof(command.plan), "plan-%u", request);
        size_t size;
        char *data = state_pack_command(&command, &size);
        raft_propose(n->raft, data, size, w->now);
        free(data);
        command.kind = COMMAND_KIND_CONFIRM;
        command.patch = NULL;
        command.patch_n = 0;
        snprintf(command.request_id, sizeof(command.request_id), "r%u", request);
        data = state_pack_command(&command, &size);
        const uint64_t term = raft_view(n->raft).term;
        const waiting_t wait = {
            .node = n->number, .index = raft_view(n->raft).last_index + 1, .term = term, .request = request};
        g_array_append_val(w->waiting, wait);
        raft_propose(n->raft, data, size, w->now);
        free(data);
        w->result.operations++;
        pump(w, n);
        return;
    }
}

static void deliver(world_t *w)
{
    for (guint i = 0; i < w->link->len;) {
        packet_t packet = g_array_index(w->link, packet_t, i);
        if (packet.at > w->now) {
            i++;
            continue;
        }
        const bool twice = !w->healing && once_in(w->chooser, 40);
        node_t *to = NULL;
        for (unsigned k = 0; k < w->options.nodes; k++)
            if (w->nodes[k].id == packet.to)
                to = &w->nodes[k];
        const bool frozen = to && to->frozen_until > w->now;
        if (frozen) { /* lies in its socket until it goes on */
            i++;
            continue;
        }
        if (to && to->raft && !w->cut[packet.from_node][to->number]) {
            raft_receive(to->raft, packet.type, packet.message, w->now);
            pump(w, to);
        }
        if (twice) {
            g_array_index(w->link, packet_t, i).at = w->now + 1 + (tc_time_t)choose(w->chooser, 400);
            continue;
        }
        g_array_remove_index_fast(w->link, i);
        codec_free(msg_desc(packet.type), packet.message);
        free(packet.message);
    }
}

static bool all_settled(const world_t *w)
{
    unsigned settled = 0;
    for (unsigned i = 0; i < w->options.nodes; i++) {
        const node_t *const n = &w->nodes[i];
        if (!n->raft || n->frozen_until > w->now)
            return false;
        const raft_members_t *const members = raft_members(n->raft);
        unsigned voters = 0;
        for (uint32_t k = 0; k < members->list_n; k++)
            voters += members->list[k].voter;
        settled += voters == w->options.nodes && members->list_n == w->options.nodes && raft_is_voter(n->raft, n->id) &&
                   raft_view(n->raft).commit > 0;
    }
    return settled == w->options.nodes;
}

/** A disk is replaced by an empty one, at a moment when all voters are there: also right after a repair. */
static void lose_disk(world_t *w, node_t *n)
{
    if (!all_settled(w))
        return;
    stop_node(w, n);
    disk_free(&n->synced);
    disk_free(&n->written);
    new_identity(w, n);
    n->up_at = w->now + choose(w->chooser, 500);
    w->result.lost_disks++;
}

static void crash(world_t *w, node_t *n)
{
    stop_node(w, n);
    n->crash_now = false;
    n->up_at = w->now + 20 + (tc_time_t)choose(w->chooser, 2000);
    w->result.crashes++;
}

static void disturb(world_t *w)
{
    node_t *const n = &w->nodes[choose(w->chooser, w->options.nodes)];
    const unsigned other = choose(w->chooser, w->options.nodes);
    w->result.operations++;
    switch (choose(w->chooser, 8)) {
    case 0:
        if (n->raft)
            crash(w, n);
        break;
    case 1: w->cut[n->number][other] = !w->cut[n->number][other]; break;
    case 2: /* cut off whole, silently */
        for (unsigned i = 0; i < w->options.nodes; i++)
            w->cut[n->number][i] = w->cut[i][n->number] = true;
        break;
    case 3:
    case 4: memset(w->cut, 0, sizeof(w->cut)); break;
    case 5: n->frozen_until = w->now + (tc_time_t)choose(w->chooser, 4000); break;
    case 6: lose_disk(w, n); break;
    default: /* a planned stop begins */
        if (!n->raft || n->frozen_until > w->now)
            break;
        (void)raft_resign(n->raft, w->now);
        pump(w, n);
        break;
    }
}

static void step_node(world_t *w, node_t *n)
{
    if (n->crash_now && n->raft)
        crash(w, n);
    if (!n->raft && w->now >= n->up_at)
        start_node(w, n);
    if (!n->raft || n->frozen_until > w->now)
        return;
    raft_tick(n->raft, w->now);
    pump(w, n);
    const bool placed = n->raft && raft_is_voter(n->raft, n->id) && raft_view(n->raft).leader != 0;
    if (!n->raft || placed || w->now < n->join_at)
        return;
    n->join_at = w->now + 200;
    for (unsigned i = 0; i < w->options.nodes; i++) {
        node_t *const leader = &w->nodes[i];
        const bool reachable = leader->raft && leader->frozen_until <= w->now && !w->cut[n->number][i];
        if (!reachable || !raft_has_lease(leader->raft, w->now))
            continue;
        raft_join(leader->raft, &n->self, w->now);
        pump(w, leader);
    }
}

static void step(world_t *w)
{
    w->now += STEP_MS;
    deliver(w);
    for (unsigned i = 0; i < w->options.nodes; i++)
        step_node(w, &w->nodes[i]);
    check_leases(w);
}

/* ===== Runs ===== */

static void found(world_t *w)
{
    for (unsigned i = 0; i < w->options.nodes; i++) {
        node_t *const n = &w->nodes[i];
        n->number = i;
        new_identity(w, n);
        start_node(w, n);
    }
    raft_bootstrap(w->nodes[0].raft, &w->nodes[0].self, w->now);
    pump(w, &w->nodes[0]);
    w->healing = true; /* no faults until the cluster stands */
    for (unsigned i = 0; i < 2000 && !all_settled(w); i++) {
        step(w);
        node_t *const founder = &w->nodes[0];
        if (founder->raft && raft_view(founder->raft).last_index == 0) { /* it crashed before anything was synced */
            raft_bootstrap(founder->raft, &founder->self, w->now);
            pump(w, founder);
        }
    }
    w->healing = false;
    if (!all_settled(w))
        broken(w, "the cluster did not come up");
}

static void disturbed_run(world_t *w)
{
    for (unsigned i = 0; i < w->options.steps && !w->result.broken && !chooser_empty(w->chooser); i++) {
        step(w);
        if (once_in(w->chooser, 6) && w->next_request < REQUESTS)
            propose(w, w->next_request++);
        if (once_in(w->chooser, 12) && w->next_request > 0) /* an answer was lost: the operator asks again */
            propose(w, choose(w->chooser, w->next_request));
        if (once_in(w->chooser, 40))
            disturb(w);
    }
}

static void check_end(world_t *w)
{
    uint64_t newest = 0;
    for (guint v = 0; v < w->accepted->len; v++)
        if (g_array_index(w->accepted, int, v) >= 0)
            newest = v + 1;
    for (unsigned i = 0; i < w->options.nodes; i++) {
        const node_t *const n = &w->nodes[i];
        w->result.checks++;
        if (!n->raft || state_version(n->state) < newest) {
            broken(w, "an accepted version is missing at the end");
            return;
        }
        check_history(w, n);
        const change_t **const changes = calloc(w->accepted->len + 2000, sizeof(*changes));
        const uint32_t got = state_history(n->state, changes, w->accepted->len + 1000);
        for (uint32_t k = 0; k < got; k++) {
            const uint64_t version = changes[k]->version;
            const int wanted = version <= w->accepted->len ? g_array_index(w->accepted, int, version - 1) : -1;
            if (wanted >= 0 && wanted != atoi(changes[k]->request_id + 1))
                broken(w, "an accepted version is another one at the end");
        }
        free(changes);
    }
}

static void heal(world_t *w)
{
    w->healing = true;
    memset(w->cut, 0, sizeof(w->cut));
    for (unsigned i = 0; i < w->options.nodes; i++) {
        w->nodes[i].frozen_until = 0;
        w->nodes[i].up_at = w->now;
    }
    for (unsigned i = 0; i < HEAL_STEPS; i++)
        step(w);
    if (!all_settled(w)) /* also while nothing is proposed */
        broken(w, "the cluster did not heal");
    /* Whoever lost an answer asks once more. */
    for (unsigned r = 0; r < w->next_request; r += 7)
        propose(w, r);
    for (unsigned i = 0; i < 200; i++)
        step(w);
    if (!all_settled(w))
        broken(w, "the cluster did not heal");
    check_end(w);
}

world_result_t raft_world_run(const world_options_t *options, chooser_t *chooser)
{
    world_t *const w = calloc(1, sizeof(*w));
    if (!w)
        abort();
    w->options = *options;
    w->chooser = chooser;
    w->now = 1000;
    w->link = g_array_new(FALSE, FALSE, sizeof(packet_t));
    w->waiting = g_array_new(FALSE, FALSE, sizeof(waiting_t));
    w->accepted = g_array_new(FALSE, FALSE, sizeof(int));
    found(w);
    if (!w->result.broken)
        disturbed_run(w);
    if (!w->result.broken)
        heal(w);
    const world_result_t result = w->result;
    for (unsigned i = 0; i < options->nodes; i++) {
        stop_node(w, &w->nodes[i]);
        disk_free(&w->nodes[i].synced);
        disk_free(&w->nodes[i].written);
    }
    for (guint i = 0; i < w->link->len; i++) {
        packet_t *const p = &g_array_index(w->link, packet_t, i);
        codec_free(msg_desc(p->type), p->message);
        free(p->message);
    }
    g_array_free(w->link, TRUE);
    g_array_free(w->waiting, TRUE);
    g_array_free(w->accepted, TRUE);
    free(w);
    return result;
}
