#include "control/operators.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "common/text.h"
#include "control/merge.h"
#include "http/pages.h"

/* ===== Types ===== */

enum { BODY_MAX = 4 * 1024 * 1024, HISTORY_MAX = 200 };

typedef enum { MAY_NOTHING, MAY_READ, MAY_PLAN, MAY_CONFIRM } operator_role_t;

struct operators {
    control_t *control;
    const control_settings_t *settings;
};

/* ===== Tokens ===== */

void operators_hash_token(const char *token, char hash[CODEC_PATH_SIZE])
{
    /* Tokens are long and random, so they cannot be guessed and a fast hash is enough. */
    unsigned char digest[32];
    crypto_generichash(digest, sizeof(digest), (const unsigned char *)token, strlen(token), NULL, 0);
    sodium_bin2hex(hash, CODEC_PATH_SIZE, digest, sizeof(digest));
}

static operator_role_t role_of(const char *name)
{
    if (strcmp(name, "confirm") == 0)
        return MAY_CONFIRM;
    if (strcmp(name, "plan") == 0)
        return MAY_PLAN;
    return strcmp(name, "read") == 0 ? MAY_READ : MAY_NOTHING;
}

/** Find the operator of the request's token. @return NULL when the token is unknown or its role is below @p needed */
static const operator_cfg_t *authorize(const operators_t *o, const struct mg_connection *conn, operator_role_t needed)
{
    const char *const header = http_header(conn, "Authorization");
    if (strncmp(header, "Bearer ", 7) != 0)
        return NULL;
    char hash[CODEC_PATH_SIZE];
    operators_hash_token(header + 7, hash);
    const operator_cfg_t *found = NULL;
    for (uint32_t i = 0; i < o->settings->operators_n; i++) {
        const operator_cfg_t *const op = &o->settings->operators[i];
        if (strlen(op->token_hash) == strlen(hash) && sodium_memcmp(op->token_hash, hash, strlen(hash)) == 0)
            found = op;
    }
    return found && role_of(found->role) >= needed ? found : NULL;
}

/* ===== Replies ===== */

static int send_error(struct mg_connection *conn, int status, const char *type, const tc_err_t *err, const char *leader)
{
    return http_send_json(conn, status,
                          json_pack("{s:{s:s,s:i,s:s,s:o,s:o,s:s}}", "error", "type", type, "code", err->code, "step",
                                    err->step ? err->step : "", "peer", text_to_json(err->peer), "message",
                                    text_to_json(err->detail), "leader", leader),
                          0);
}

static int send_unauthorized(struct mg_connection *conn)
{
    tc_err_t err = {0};
    tc_err_set(&err, TC_E_AUTH, "authorize", NULL, "token is missing, unknown, or its role is not enough");
    return send_error(conn, 401, "unauthorized", &err, "");
}

static int status_for(int code)
{
    switch (code) {
    case TC_OK: return 200;
    case TC_E_INVALID: return 400;
    case TC_E_NOT_FOUND: return 404;
    case TC_E_CONFLICT: return 409;
    case TC_E_NOT_LEADER: return 421;
    case TC_E_FULL: return 507;
    default: return 503;
    }
}

/** Passed to a reader in the loop's thread, which fills it in. */
typedef struct {
    const operators_t *operators;
    json_t *out;
    char leader[CODEC_STR_SIZE];
    uint64_t version;
    const char *text;
    tc_err_t err;
} page_t;

/* ===== Reading ===== */

static void read_leader(void *arg, const control_view_t *view)
{
    page_t *const page = arg;
    codec_copy_string(page->leader, sizeof(page->leader), view->leader_http);
    page->version = state_version(view->state);
}

static const char *raft_role_name(raft_role_t role)
{
    static const char *const names[] = {"follower", "pre-candidate", "candidate", "leader"};
    return names[role];
}

static json_t *describe_member(const raft_member_t *m, const control_view_t *view)
{
    char id[24];
    snprintf(id, sizeof(id), "%016llx", (unsigned long long)m->id);
    return json_pack("{s:s,s:s,s:b,s:b,s:s}", "box", m->name, "id", id, "voter", m->voter, "leader",
                     m->id == view->raft.leader, "http", m->http);
}

static void read_status(void *arg, const control_view_t *view)
{
    page_t *const page = arg;
    json_t *const cells = json_array(), *const control = json_array();
    const cell_lease_t *list[256];
    const uint32_t n = state_cells(view->state, list, 256);
    for (uint32_t i = 0; i < n; i++)
        json_array_append_new(cells, codec_to_json(&cell_lease_desc, list[i]));
    for (uint32_t i = 0; i < view->voters->list_n; i++) {
        const raft_member_t *const m = &view->voters->list[i];
        json_array_append_new(control, describe_member(m, view));
    }
    page->out = json_pack("{s:s,s:b,s:I,s:I,s:I,s:I,s:I,s:s,s:s,s:i,s:o,s:o}", "role", raft_role_name(view->raft.role),
                          "leads", view->has_lease, "term", (json_int_t)view->raft.term, "log_index",
                          (json_int_t)view->raft.last_index, "commit", (json_int_t)view->raft.commit, "accepted",
                          (json_int_t)state_version(view->state), "in_force", (json_int_t)view->in_force, "lags",
                          view->in_force < state_version(view->state) ? view->laggard : "", "leader", view->leader_http,
                          "claims", (int)state_claim_count(view->state), "cells", cells, "control", control);
}

static void read_config(void *arg, const control_view_t *view)
{
    page_t *const page = arg;
    page->out = json_pack("{s:I,s:o}", "version", (json_int_t)state_version(view->state), "config",
                          json_loads(state_config_text(view->state), 0, NULL));
}

static void read_history(void *arg, const control_view_t *view)
{
    page_t *const page = arg;
    const change_t *changes[HISTORY_MAX];
    const uint32_t n = state_history(view->state, changes, HISTORY_MAX);
    page->out = json_array();
    for (uint32_t i = 0; i < n; i++)
        json_array_append_new(page->out, json_pack("{s:I,s:o,s:o,s:I,s:o}", "version", (json_int_t)changes[i]->version,
                                                   "operator", text_to_json(changes[i]->operator), "request_id",
                                                   text_to_json(changes[i]->request_id), "wall_ms",
                                                   (json_int_t)changes[i]->wall_ms, "patch",
                                                   json_loads(changes[i]->patch, 0, NULL)));
}

static void read_plans(void *arg, const control_view_t *view)
{
    page_t *const page = arg;
    const plan_record_t *plans[256];
    const uint32_t n = state_plans(view->state, plans, 256);
    page->out = json_array();
    for (uint32_t i = 0; i < n; i++)
        json_array_append_new(page->out,
                              json_pack("{s:o,s:o,s:I,s:o}", "plan", text_to_json(plans[i]->plan), "operator",
                                        text_to_json(plans[i]->operator), "base", (json_int_t)plans[i]->base, "patch",
                                        json_loads(plans[i]->patch, 0, NULL)));
}

static void read_members(void *arg, const control_view_t *view)
{
    page_t *const page = arg;
    members_view_t views[512];
    const uint32_t n = members_list(view->members, views, 512, view->now);
    page->out = json_array();
    for (uint32_t i = 0; i < n; i++) {
        json_t *const item = codec_to_json(&member_desc, &views[i].self);
        json_object_set_new(item, "version", json_integer((json_int_t)views[i].version));
        json_object_set_new(item, "silent_ms", json_integer(views[i].silent_ms));
        json_object_set_new(item, "live", json_boolean(views[i].live));
        json_array_append_new(page->out, item);
    }
}

static int serve_page(struct mg_connection *conn, operators_t *o, control_read_fn_t read)
{
    if (!authorize(o, conn, MAY_READ))
        return send_unauthorized(conn);
    page_t page = {.operators = o};
    control_read(o->control, read, &page);
    return http_send_json(conn, 200, page.out, 0);
}

static int get_status(struct mg_connection *conn, void *arg)
{
    return serve_page(conn, arg, read_status);
}
static int get_config(struct mg_connection *conn, void *arg)
{
    return serve_page(conn, arg, read_config);
}
static int get_history(struct mg_connection *conn, void *arg)
{
    return serve_page(conn, arg, read_history);
}
static int get_plans(struct mg_connection *conn, void *arg)
{
    return serve_page(conn, arg, read_plans);
}
static int get_members(struct mg_connection *conn, void *arg)
{
    return serve_page(conn, arg, read_members);
}

static void read_rollback_patch(void *arg, const control_view_t *view)
{
    page_t *const page = arg;
    char *const patch = state_rollback_patch(view->state, page->version);
    page->out = patch ? json_string(patch) : NULL;
    free(patch);
}

static int get_diff(struct mg_connection *conn, void *arg)
{
    operators_t *const o = arg;
    if (!authorize(o, conn, MAY_READ))
        return send_unauthorized(conn);
    const char *const query = mg_get_request_info(conn)->query_string;
    page_t page = {.operators = o};
    page.version = query && strncmp(query, "version=", 8) == 0 ? strtoull(query + 8, NULL, 10) : 0;
    control_read(o->control, read_rollback_patch, &page);
    tc_err_t err = {0};
    if (!page.out) {
        tc_err_set(&err, TC_E_NOT_FOUND, "diff", NULL, "version %llu is not kept", (unsigned long long)page.version);
        return send_error(conn, 404, "invalid", &err, "");
    }
    json_t *const patch = json_loads(json_string_value(page.out), 0, NULL);
    json_decref(page.out);
    return http_send_json(conn, 200, patch, 0);
}

/* ===== Effect of a change ===== */

static const engine_cfg_t *find_engine(const config_t *config, const char *name)
{
    for (uint32_t i = 0; i < config->engines_n; i++)
        if (strcmp(config->engines[i].name, name) == 0)
            return &config->engines[i];
    return NULL;
}

static uint32_t weights_mb(const config_t *config, const char *model)
{
    enum { DEFAULT_WEIGHTS_MB = 16000 };
    for (uint32_t i = 0; i < config->models_n; i++)
        if (strcmp(config->models[i].name, model) == 0)
            return config->models[i].weights_mb;
    return DEFAULT_WEIGHTS_MB;
}

/** Share of the capacity of a model and role that is lost while one of its engines changes. */
static double share_of_role(const config_t *config, const engine_cfg_t *engine)
{
    uint32_t n = 0;
    for (uint32_t i = 0; i < config->engines_n; i++)
        n += config->engines[i].role == engine->role && strcmp(config->engines[i].model, engine->model) == 0;
    return n ? 1.0 / n : 0;
}

json_t *operators_describe_change(const config_t *from, const config_t *to)
{
    enum { ROLE_CHANGE_MS = 500 };
    json_t *const engines = json_array();
    double load_ms = 0, lost = 0;
    uint32_t loads = 0;
    for (uint32_t i = 0; i < to->engines_n; i++) {
        const engine_cfg_t *const b = &to->engines[i], *const a = find_engine(from, b->name);
        const bool same =
            a && a->role == b->role && strcmp(a->model, b->model) == 0 && strcmp(a->version, b->version) == 0;
        if (same)
            continue;
        const bool load = a && (strcmp(a->model, b->model) != 0 || strcmp(a->version, b->version) != 0);
        if (load) {
            loads++;
            load_ms += weights_mb(to, b->model) * 1000.0 / to->weight_store_mb_s;
        }
        lost += a ? share_of_role(from, a) : 0;
        json_array_append_new(engines,
                              json_pack("{s:s,s:s,s:s,s:s,s:b,s:b}", "engine", b->name, "role", role_names[b->role],
                                        "model", b->model, "version", b->version, "new", !a, "loads_weights", load));
    }
    for (uint32_t i = 0; i < from->engines_n; i++)
        if (!find_engine(to, from->engines[i].name))
            json_array_append_new(engines, json_pack("{s:s,s:b}", "engine", from->engines[i].name, "removed", 1));
    const size_t n = json_array_size(engines);
    return json_pack("{s:o,s:i,s:I,s:I,s:f}", "engines", engines, "weight_loads", (int)loads, "weight_store_ms",
                     (json_int_t)load_ms, "takes_ms", (json_int_t)(load_ms + (double)n * ROLE_CHANGE_MS),
                     "capacity_out_share", lost);
}

/** Reject a plan that leaves a model without a prefill or a decode engine, or gives an engine a role that its hardware
 *  may not serve. */
static int check_roles(const config_t *config, tc_err_t *err)
{
    for (uint32_t i = 0; i < config->engines_n; i++) {
        bool found[ROLE_COUNT] = {false, false};
        for (uint32_t k = 0; k < config->engines_n; k++)
            if (strcmp(config->engines[k].model, config->engines[i].model) == 0)
                found[config->engines[k].role] = true;
        if (!found[ROLE_PREFILL] || !found[ROLE_DECODE])
            return tc_err_set(err, TC_E_INVALID, "check plan", config->engines[i].model,
                              "the model would have no %s engine", found[ROLE_PREFILL] ? "decode" : "prefill");
        const engine_cfg_t *const e = &config->engines[i];
        if (strcmp(e->roles_allowed, "both") != 0 && strcmp(e->roles_allowed, role_names[e->role]) != 0)
            return tc_err_set(err, TC_E_INVALID, "check plan", e->name, "its hardware may not serve %s",
                              role_names[e->role]);
    }
    return TC_OK;
}

/* ===== Planning and confirming ===== */

static void check_plan(void *arg, const control_view_t *view)
{
    page_t *const page = arg;
    json_t *next = NULL;
    page->version = state_version(view->state);
    codec_copy_string(page->leader, sizeof(page->leader), view->leader_http);
    if (state_check_patch(view->state, page->text, &next, &page->err) < 0)
        return;
    config_t to;
    if (state_check_size(next, &page->err) == TC_OK && codec_from_json(&config_desc, &to, next, &page->err) == TC_OK) {
        if (check_roles(&to, &page->err) == TC_OK)
            page->out = operators_describe_change(state_config(view->state), &to);
        codec_free(&config_desc, &to);
    }
    json_decref(next);
}

static json_t *read_body(struct mg_connection *conn, tc_err_t *err)
{
    size_t size;
    char *const text = http_read_body(conn, BODY_MAX, &size, err);
    if (!text)
        return NULL;
    json_error_t where;
    json_t *const body = json_loadb(text, size, JSON_REJECT_DUPLICATES, &where);
    free(text);
    if (!json_is_object(body)) {
        json_decref(body);
        tc_err_set(err, TC_E_INVALID, "read body", NULL, "must be a JSON object: %s", body ? "it is not" : where.text);
        return NULL;
    }
    return body;
}

static void copy_field(char *to, size_t size, const json_t *body, const char *key)
{
    const char *const text = json_string_value(json_object_get(body, key));
    codec_copy_string(to, size, text ? text : "");
}

/** Propose a command and reply with its result. @param extra added to the reply, may be NULL; consumed */
static int propose_and_reply(struct mg_connection *conn, const operators_t *o, const command_t *command, json_t *extra)
{
    result_t result;
    tc_err_t err = {0};
    page_t page = {.operators = o};
    if (control_propose_wait(o->control, command, &result, &err) < 0) {
        json_decref(extra);
        control_read(o->control, read_leader, &page);
        const char *const type = err.code == TC_E_NOT_LEADER ? "not_leader"
                                 : err.code == TC_E_FULL     ? "not_run"
                                                             : "outcome_unknown";
        return send_error(conn, status_for(err.code), type, &err, page.leader);
    }
    log_line_t line;
    log_begin(&line, LOG_INFO, "operator_command");
    log_str(&line, "kind", command_kind_names[command->kind]);
    log_str(&line, "operator", command->operator);
    log_str(&line, "request", command->request_id);
    log_int(&line, "code", result.code);
    log_int(&line, "version", (int64_t)result.version);
    log_end(&line);
    json_t *const body = extra ? extra : json_object();
    json_object_set_new(body, "ok", json_boolean(result.code == TC_OK));
    json_object_set_new(body, "code", json_integer(result.code));
    json_object_set_new(body, "error", json_string(result.code < 0 ? tc_err_name((int)result.code) : ""));
    json_object_set_new(body, "version", json_integer((json_int_t)result.version));
    json_object_set_new(body, "detail", text_to_json(result.detail ? result.detail : ""));
    if (command->plan[0])
        json_object_set_new(body, "plan", text_to_json(command->plan));
    const int status = status_for((int)result.code);
    codec_free(&result_desc, &result);
    return http_send_json(conn, status, body, 0);
}

/** The patch that a plan request asks for. @return heap text, or NULL with @p err */
static char *requested_patch(const operators_t *o, const json_t *body, tc_err_t *err)
{
    const json_t *const rollback = json_object_get(body, "rollback");
    const json_t *const patch = json_object_get(body, "patch");
    if (json_is_integer(rollback)) {
        page_t page = {.version = (uint64_t)json_integer_value(rollback)};
        control_read(o->control, read_rollback_patch, &page);
        char *const text = page.out ? strdup(json_string_value(page.out)) : NULL;
        json_decref(page.out);
        if (!text)
            tc_err_set(err, TC_E_NOT_FOUND, "rollback", NULL, "version %lld is not kept", json_integer_value(rollback));
        return text;
    }
    if (!json_is_object(patch)) {
        tc_err_set(err, TC_E_INVALID, "plan", "patch", "must be an object, or give rollback");
        return NULL;
    }
    return json_dumps(patch, JSON_COMPACT | JSON_SORT_KEYS);
}

static int plan(struct mg_connection *conn, const operators_t *o, const operator_cfg_t *op, const json_t *body)
{
    tc_err_t err = {0};
    char *const patch = requested_patch(o, body, &err);
    if (!patch)
        return send_error(conn, status_for(err.code), "invalid", &err, "");
    page_t page = {.operators = o, .text = patch};
    control_read(o->control, check_plan, &page);
    if (!page.out) {
        free(patch);
        return send_error(conn, status_for(page.err.code), "invalid", &page.err, page.leader);
    }
    const json_t *const base = json_object_get(body, "base");
    command_t command = {.kind = COMMAND_KIND_PLAN,
                         .wall_ms = tc_time_wall(),
                         .patch = patch,
                         .patch_n = (uint32_t)strlen(patch),
                         .base = json_is_integer(base) ? (uint64_t)json_integer_value(base) : page.version};
    copy_field(command.request_id, sizeof(command.request_id), body, "request_id");
    codec_copy_string(command.operator, sizeof(command.operator), op->name);
    /* Derived from the request id, so that a resend names the same plan. */
    snprintf(command.plan, sizeof(command.plan), "plan-%.80s", command.request_id);
    text_trim(command.plan);
    json_t *const extra = json_pack("{s:I,s:o,s:o}", "base", (json_int_t)command.base, "effect", page.out, "patch",
                                    json_loads(patch, 0, NULL));
    const int status = propose_and_reply(conn, o, &command, extra);
    free(patch);
    return status;
}

static int post(struct mg_connection *conn, operators_t *o, command_kind_t kind, operator_role_t needed)
{
    const operator_cfg_t *const op = authorize(o, conn, needed);
    if (!op)
        return send_unauthorized(conn);
    tc_err_t err = {0};
    json_t *const body = read_body(conn, &err);
    if (!body)
        return send_error(conn, 400, "invalid", &err, "");
    int status;
    command_t command = {.kind = kind, .wall_ms = tc_time_wall(), .on = json_is_true(json_object_get(body, "on"))};
    copy_field(command.request_id, sizeof(command.request_id), body, "request_id");
    copy_field(command.plan, sizeof(command.plan), body, "plan");
    copy_field(command.box, sizeof(command.box), body, "box");
    codec_copy_string(command.operator, sizeof(command.operator), op->name);
    if (command.request_id[0] == '\0') {
        tc_err_set(&err, TC_E_INVALID, "read body", "request_id", "is required: a resend with the same one is safe");
        status = send_error(conn, 400, "invalid", &err, "");
    } else if (kind == COMMAND_KIND_PLAN) {
        status = plan(conn, o, op, body);
    } else {
        status = propose_and_reply(conn, o, &command, NULL);
    }
    json_decref(body);
    return status;
}

static int post_plan(struct mg_connection *conn, void *arg)
{
    return post(conn, arg, COMMAND_KIND_PLAN, MAY_PLAN);
}
static int post_confirm(struct mg_connection *conn, void *arg)
{
    return post(conn, arg, COMMAND_KIND_CONFIRM, MAY_CONFIRM);
}
static int post_reject(struct mg_connection *conn, void *arg)
{
    return post(conn, arg, COMMAND_KIND_REJECT, MAY_PLAN);
}
static int post_drain(struct mg_connection *conn, void *arg)
{
    return post(conn, arg, COMMAND_KIND_DRAIN, MAY_CONFIRM);
}

/* ===== Creation and destruction ===== */

operators_t *operators_create(http_server_t *server, control_t *control, const control_settings_t *settings)
{
    operators_t *const o = calloc(1, sizeof(*o));
    if (!o)
        abort();
    o->control = control;
    o->settings = settings;
    http_route(server, "/v1/status", get_status, o);
    http_route(server, "/v1/config", get_config, o);
    http_route(server, "/v1/history", get_history, o);
    http_route(server, "/v1/diff", get_diff, o);
    http_route(server, "/v1/plans", get_plans, o);
    http_route(server, "/v1/members", get_members, o);
    http_route(server, "/v1/plan", post_plan, o);
    http_route(server, "/v1/confirm", post_confirm, o);
    http_route(server, "/v1/reject", post_reject, o);
    http_route(server, "/v1/drain", post_drain, o);
    pages_route(server);
    return o;
}

void operators_destroy(operators_t *o)
{
    free(o);
}
