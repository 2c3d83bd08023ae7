/* Work of the leader: cell assignment, the planner's role changes, orders to engines, the version in force. */

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/counter.h"
#include "common/log.h"
#include "control/control_internal.h"

/** Name of the planner's own plan. At most one exists at a time. */
#define PLANNER_PLAN "plan-of-the-planner"

COUNTER_DEFINE(c_leader, "gauge", "trackcove_control_is_leader", "1 while this box leads")
COUNTER_DEFINE(c_term, "gauge", "trackcove_control_term", "Term of the replicated log")
COUNTER_DEFINE(c_in_force, "gauge", "trackcove_control_config_in_force", "Newest version in force everywhere")

/* ===== Cell assignment ===== */

static uint32_t count_cells(void *arg, const char *box)
{
    const control_t *const c = arg;
    const cell_lease_t *cells[64];
    const uint32_t n = state_cells(c->state, cells, 64);
    uint32_t held = 0;
    for (uint32_t i = 0; i < n; i++)
        held += strcmp(cells[i]->box, box) == 0;
    return held;
}

static void cell_assigned(void *arg, const result_t *result, const tc_err_t *err)
{
    control_t *const c = arg;
    c->cell_pending = false;
    if (err)
        return;
    log_line_t line;
    log_begin(&line, LOG_INFO, "cell_assigned");
    log_str(&line, "box_chosen", result->detail ? result->detail : "");
    log_int(&line, "epoch", (int64_t)result->version);
    log_int(&line, "code", result->code);
    log_end(&line);
}

static void assign_cell(control_t *c, const char *name, tc_time_t now)
{
    const cell_lease_t *const cell = state_find_cell(c->state, name);
    if (cell && !members_holder_gone(c->members, cell->box, cell->incarnation, now))
        return;
    const member_t *const member = members_choose_holder(c->members, name, count_cells, c, now);
    if (!member)
        return;
    command_t command = {.kind = COMMAND_KIND_CELL, .base = cell ? cell->epoch : 0, .wall_ms = tc_time_wall()};
    command.incarnation = member->incarnation;
    codec_copy_string(command.cell, sizeof(command.cell), name);
    codec_copy_string(command.box, sizeof(command.box), member->box);
    codec_copy_string(command.peer_addr, sizeof(command.peer_addr), member->peer_addr);
    c->cell_pending = true;
    control_propose(c, &command, cell_assigned, c);
}

static void assign_cells(control_t *c, tc_time_t now)
{
    const config_t *const config = state_config(c->state);
    for (uint32_t i = 0; i < config->engines_n && !c->cell_pending; i++) {
        bool first = true;
        for (uint32_t k = 0; k < i && first; k++)
            first = strcmp(config->engines[k].cell, config->engines[i].cell) != 0;
        if (first)
            assign_cell(c, config->engines[i].cell, now);
    }
}

/* ===== The planner's role changes ===== */

static void move_confirmed(void *arg, const result_t *result, const tc_err_t *err)
{
    control_t *const c = arg;
    c->move_pending = false;
    if (err)
        log_failure(LOG_WARN, "planner_move_lost", err);
    else if (result->code < 0)
        c->move_pending = false; /* an operator's change came first; the planner decides again */
}

static void move_planned(void *arg, const result_t *result, const tc_err_t *err)
{
    control_t *const c = arg;
    if (err || result->code < 0) {
        c->move_pending = false;
        return;
    }
    command_t confirm = {.kind = COMMAND_KIND_CONFIRM, .wall_ms = tc_time_wall()};
    codec_copy_string(confirm.operator, sizeof(confirm.operator), "planner");
    codec_copy_string(confirm.plan, sizeof(confirm.plan), PLANNER_PLAN);
    control_propose(c, &confirm, move_confirmed, c);
}

static void log_move(const planner_move_t *move)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "planner_move");
    log_str(&line, "cell", move->cell);
    log_str(&line, "engine", move->engine);
    log_str(&line, "to", role_names[move->to]);
    log_num(&line, "prefill_busy", move->prefill_busy);
    log_num(&line, "decode_busy", move->decode_busy);
    log_int(&line, "prefills", move->prefills);
    log_int(&line, "decodes", move->decodes);
    log_end(&line);
}

/** Propose the planner's move as an ordinary plan and confirm it, so it is in the history with operator "planner". */
static void run_planner(control_t *c, tc_time_t now)
{
    planner_move_t move;
    if (c->move_pending || !planner_decide(c->planner, state_config(c->state), &move, now))
        return;
    log_move(&move);
    char patch[CODEC_STR_SIZE + 64];
    const int n =
        snprintf(patch, sizeof(patch), "{\"engines\":{\"%s\":{\"role\":\"%s\"}}}", move.engine, role_names[move.to]);
    command_t plan = {.kind = COMMAND_KIND_PLAN,
                      .base = state_version(c->state),
                      .patch = patch,
                      .patch_n = (uint32_t)n,
                      .wall_ms = tc_time_wall()};
    codec_copy_string(plan.operator, sizeof(plan.operator), "planner");
    codec_copy_string(plan.plan, sizeof(plan.plan), PLANNER_PLAN);
    c->move_pending = true;
    control_propose(c, &plan, move_planned, c);
}

/* ===== Orders to engines ===== */

typedef struct {
    control_t *control;
    orders_view_t *view;
} orders_view_request_t;

static void fill_orders_view(void *arg)
{
    const orders_view_request_t *const request = arg;
    control_t *const c = request->control;
    orders_view_t *const view = request->view;
    const config_t *const config = state_config(c->state);
    view->leads = c->was_leader && control_leads(c, tc_time_now());
    view->term = raft_view(c->raft).term;
    view->version = state_version(c->state);
    view->leader_since = raft_view(c->raft).leader_since;
    if (!view->leads)
        return;
    view->n = config->engines_n;
    view->engines = calloc(view->n + 1, sizeof(*view->engines));
    if (!view->engines)
        abort();
    memcpy(view->engines, config->engines, view->n * sizeof(*view->engines));
}

void control_get_orders_view(void *arg, orders_view_t *view)
{
    orders_view_request_t request = {.control = arg, .view = view};
    loop_post_wait(request.control->loop, fill_orders_view, &request);
}

/* ===== Initial configuration and periodic work ===== */

static void on_initial_applied(void *arg, const result_t *result, const tc_err_t *err)
{
    (void)arg;
    if (err)
        log_failure(LOG_ERROR, "found_failed", err);
    else if (result->code < 0 && result->code != TC_E_CONFLICT) {
        tc_err_t error;
        tc_err_set(&error, (int)result->code, "found", NULL, "%s", result->detail);
        log_failure(LOG_ERROR, "found_failed", &error);
    }
}

/** The first command of a new cluster: the initial configuration becomes version 1. */
static void propose_initial_config(control_t *c)
{
    gchar *text = NULL;
    gsize size = 0;
    if (!c->settings->initial_config[0] || !g_file_get_contents(c->settings->initial_config, &text, &size, NULL))
        text = g_strdup("{}");
    command_t command = {
        .kind = COMMAND_KIND_FOUND, .patch = text, .patch_n = (uint32_t)strlen(text), .wall_ms = tc_time_wall()};
    codec_copy_string(command.operator, sizeof(command.operator), "initial");
    control_propose(c, &command, on_initial_applied, c);
    g_free(text);
}

void control_leader_tick(control_t *c, tc_time_t now)
{
    const bool leads = control_leads(c, now);
    if (leads && !c->was_leader) {
        members_start_term(c->members, now);
        planner_reset(c->planner, now);
        c->move_pending = false;
        c->in_force = 0;
        c->cell_pending = false;
        log_line_t line;
        log_begin(&line, LOG_INFO, "leader");
        log_int(&line, "term", (int64_t)raft_view(c->raft).term);
        log_end(&line);
        if (state_version(c->state) == 0 && c->settings->found_cluster)
            propose_initial_config(c);
    }
    c->was_leader = leads;
    counter_set(&c_leader, leads);
    counter_set(&c_term, (int64_t)raft_view(c->raft).term);
    if (!leads)
        return;
    members_tick(c->members, now);
    const uint64_t version = state_version(c->state);
    const tc_time_t lease = state_config(c->state)->targets.config_lease_ms;
    if (c->in_force < version && members_in_force(c->members, version, lease, c->laggard, now)) {
        c->in_force = version;
        counter_set(&c_in_force, (int64_t)version);
    }
    if (now < c->cells_at)
        return;
    c->cells_at = now + CELLS_INTERVAL_MS;
    assign_cells(c, now);
    run_planner(c, now);
}
