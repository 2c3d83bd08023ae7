#include "control/control.h"

#include <semaphore.h>
#include <stdlib.h>
#include <string.h>

#include "backend/http_client.h"
#include "control/control_internal.h"

/* ===== Periodic work ===== */

static void on_tick(void *arg)
{
    control_t *const c = arg;
    const tc_time_t now = tc_time_now();
    if (!log_writer_is_stalled(c->writer)) {
        raft_tick(c->raft, now);
        control_join_or_bootstrap(c, now);
    }
    control_pump(c);
    control_leader_tick(c, now);
    proposal_t *p, *next;
    cds_list_for_each_entry_safe(p, next, &c->proposals, node)
        if (now >= p->deadline)
            control_fail_proposal(p, TC_E_TIMEOUT,
                                  "not accepted in time; the outcome is unknown: ask again with the same request id");
}

/* ===== Calls from other threads ===== */

typedef struct {
    control_t *control;
    const command_t *command;
    result_t *result;
    tc_err_t *err;
    int rc;
    sem_t done;
} waiter_t;

static void waiter_done(void *arg, const result_t *result, const tc_err_t *err)
{
    waiter_t *const w = arg;
    if (err) {
        w->rc = err->code;
        *w->err = *err;
    } else {
        w->result->code = result->code;
        w->result->version = result->version;
        codec_set_text(&w->result->detail, &w->result->detail_n, result->detail ? result->detail : "",
                       result->detail_n);
    }
    sem_post(&w->done);
}

static void waiter_propose(void *arg)
{
    waiter_t *const w = arg;
    control_propose(w->control, w->command, waiter_done, w);
}

int control_propose_wait(control_t *c, const command_t *command, result_t *result, tc_err_t *err)
{
    waiter_t w = {.control = c, .command = command, .result = result, .err = err};
    memset(result, 0, sizeof(*result));
    sem_init(&w.done, 0, 0);
    loop_post(c->loop, waiter_propose, &w);
    while (sem_wait(&w.done) != 0) {
    }
    sem_destroy(&w.done);
    return w.rc;
}

typedef struct {
    control_t *control;
    control_read_fn_t fn;
    void *arg;
} read_request_t;

static void run_read(void *arg)
{
    const read_request_t *const request = arg;
    control_t *const c = request->control;
    const tc_time_t now = tc_time_now();
    const raft_member_t *const leader = raft_find_member(c->raft, log_writer_leader(c->writer, c->raft));
    const control_view_t view = {.state = c->state,
                                 .members = c->members,
                                 .raft = raft_view(c->raft),
                                 .voters = raft_members(c->raft),
                                 .has_lease = control_leads(c, now),
                                 .now = now,
                                 .leader_http = leader ? leader->http : "",
                                 .in_force = c->in_force,
                                 .laggard = c->laggard};
    request->fn(request->arg, &view);
}

void control_read(control_t *c, control_read_fn_t fn, void *arg)
{
    read_request_t request = {.control = c, .fn = fn, .arg = arg};
    loop_post_wait(c->loop, run_read, &request);
}

/* ===== Creation and shutdown ===== */

static int fill_self(control_t *c, uint64_t id, tc_err_t *err)
{
    const control_settings_t *const s = c->settings;
    for (uint32_t i = 0; i < s->voters_n; i++) {
        if (strcmp(s->voters[i].name, s->box) != 0)
            continue;
        c->self.id = id;
        codec_copy_string(c->self.name, sizeof(c->self.name), s->box);
        codec_copy_string(c->self.peer, sizeof(c->self.peer), s->voters[i].peer);
        codec_copy_string(c->self.http, sizeof(c->self.http), s->voters[i].http);
        return TC_OK;
    }
    return tc_err_set(err, TC_E_INVALID, "read settings", "voters", "do not list this box, %s", s->box);
}

control_t *control_create(loop_t *loop, const control_settings_t *settings, uint64_t incarnation, tc_err_t *err)
{
    raft_start_t start;
    control_t *const c = calloc(1, sizeof(*c));
    if (!c)
        abort();
    c->loop = loop;
    c->settings = settings;
    CDS_INIT_LIST_HEAD(&c->proposals);
    c->senders = g_hash_table_new(g_direct_hash, g_direct_equal);
    store_t *const store = store_open(settings->data_dir, &start, err);
    if (!store || fill_self(c, start.id, err) < 0) {
        free(c);
        return NULL;
    }
    c->writer = log_writer_create(store);
    start.seed = incarnation ^ start.id;
    c->state = state_create();
    c->members = members_create();
    c->planner = planner_create();
    http_client_init(settings->dc);
    if (start.snapshot.last_index > 0)
        control_load_snapshot(c, &start.snapshot);
    c->raft = raft_create(&start, tc_time_now());
    store_start_free(&start);
    const peer_options_t options = {.box = settings->box,
                                    .incarnation = incarnation,
                                    .listen = settings->peer_listen,
                                    .key_file = settings->cluster_key_file,
                                    .handler = control_on_message,
                                    .arg = c};
    c->net = peer_create(loop, &options, err);
    if (!c->net) {
        control_stop(c);
        return NULL;
    }
    loop_add_tick(loop, TICK_MS, on_tick, c);
    (void)orders_create(control_get_orders_view, c);
    return c;
}

void control_stop(control_t *c)
{
    control_fail_proposals(c, "this control box is stopping: ask again with the same request id");
    if (c->net)
        peer_destroy(c->net);
    log_writer_destroy(c->writer);
}
