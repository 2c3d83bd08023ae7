#include "control/state.h"

#include <assert.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "control/merge.h"
#include "control/state_internal.h"

/* ===== Memory ===== */

static void free_change(gpointer p)
{
    codec_free(&change_desc, p);
    g_free(p);
}

static void free_answer(gpointer p)
{
    codec_free(&answered_desc, p);
    g_free(p);
}

static void free_plan(gpointer p)
{
    codec_free(&plan_record_desc, p);
    g_free(p);
}

void state_clear(state_t *s)
{
    g_queue_clear_full(&s->changes, free_change);
    g_queue_clear(&s->claim_order);
    g_hash_table_remove_all(s->answers_by_id);
    g_queue_clear_full(&s->answers, free_answer);
    g_hash_table_remove_all(s->plans);
    g_hash_table_remove_all(s->claims);
    g_hash_table_remove_all(s->cells);
    g_hash_table_remove_all(s->drains);
    s->version = 0;
}

state_t *state_create(void)
{
    state_t *const s = g_new0(state_t, 1);
    s->config_json = json_object();
    const int rc = codec_from_json(&config_desc, &s->config, s->config_json, NULL);
    assert(rc == TC_OK); /* every field of a configuration has a default */
    (void)rc;
    g_queue_init(&s->changes);
    g_queue_init(&s->answers);
    g_queue_init(&s->claim_order);
    s->answers_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    s->plans = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_plan);
    s->claims = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    s->cells = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    s->drains = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return s;
}

void state_destroy(state_t *s)
{
    state_clear(s);
    g_hash_table_destroy(s->answers_by_id);
    g_hash_table_destroy(s->plans);
    g_hash_table_destroy(s->claims);
    g_hash_table_destroy(s->cells);
    g_hash_table_destroy(s->drains);
    codec_free(&config_desc, &s->config);
    json_decref(s->config_json);
    free(s->config_text);
    g_free(s);
}

/* ===== Results ===== */

static void set_result(result_t *result, int code, uint64_t version, const char *detail)
{
    result->code = code;
    result->version = version;
    codec_set_text(&result->detail, &result->detail_n, detail, strlen(detail));
}

static void copy_result(result_t *to, const result_t *from)
{
    set_result(to, (int)from->code, from->version, from->detail ? from->detail : "");
}

static void record_answer(state_t *s, const char *request_id, const result_t *result)
{
    if (request_id[0] == '\0')
        return;
    answered_t *const item = g_new0(answered_t, 1);
    codec_copy_string(item->request_id, sizeof(item->request_id), request_id);
    copy_result(&item->result, result);
    g_queue_push_tail(&s->answers, item);
    g_hash_table_insert(s->answers_by_id, item->request_id, item);
    if (g_queue_get_length(&s->answers) <= STATE_ANSWERS_KEPT)
        return;
    answered_t *const old = g_queue_pop_head(&s->answers);
    g_hash_table_remove(s->answers_by_id, old->request_id);
    free_answer(old);
}

const result_t *state_find_answer(const state_t *s, const char *request_id)
{
    const answered_t *const item = g_hash_table_lookup(s->answers_by_id, request_id);
    return item ? &item->result : NULL;
}

/* ===== Configuration ===== */

/** Make a checked configuration the current one. @param parsed moved into the state */
static void replace_config(state_t *s, json_t *next, config_t *parsed)
{
    codec_free(&config_desc, &s->config);
    s->config = *parsed;
    json_decref(s->config_json);
    s->config_json = json_incref(next);
    free(s->config_text);
    s->config_text = NULL;
}

int state_set_config(state_t *s, json_t *next, tc_err_t *err)
{
    config_t parsed;
    TC_CHECK(codec_from_json(&config_desc, &parsed, next, err));
    replace_config(s, next, &parsed);
    return TC_OK;
}

/** Apply a patch and parse the result. On success the caller owns @p next and @p parsed. */
static int parse_patched_config(const state_t *s, const char *patch, json_t **next, config_t *parsed, tc_err_t *err)
{
    json_error_t where;
    json_t *const change = json_loads(patch, JSON_REJECT_DUPLICATES, &where);
    if (!json_is_object(change)) {
        json_decref(change);
        return tc_err_set(err, TC_E_INVALID, "read patch", NULL, "must be a JSON object: line %d column %d: %s",
                          where.line, where.column, change ? "not an object" : where.text);
    }
    *next = merge_apply(s->config_json, change);
    json_decref(change);
    const int rc = codec_from_json(&config_desc, parsed, *next, err);
    if (rc == TC_OK)
        return rc;
    json_decref(*next);
    *next = NULL;
    return rc;
}

int state_check_patch(const state_t *s, const char *patch, json_t **next, tc_err_t *err)
{
    json_t *merged = NULL;
    config_t parsed;
    TC_CHECK(parse_patched_config(s, patch, &merged, &parsed, err));
    codec_free(&config_desc, &parsed);
    if (next)
        *next = json_incref(merged);
    json_decref(merged);
    return TC_OK;
}

int state_check_size(const json_t *next, tc_err_t *err)
{
    const size_t size = json_dumpb(next, NULL, 0, JSON_COMPACT);
    if (size <= STATE_CONFIG_MAX_BYTES)
        return TC_OK;
    return tc_err_set(err, TC_E_INVALID, "check plan", "configuration", "would have %zu bytes, %d at most", size,
                      STATE_CONFIG_MAX_BYTES);
}

/** Accept a checked patch as the next version. */
static void accept_change(state_t *s, const command_t *command, const char *patch, json_t *next, config_t *parsed)
{
    json_t *const back = merge_diff(next, s->config_json);
    char *const reverse = json_dumps(back, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(back);
    change_t *const change = g_new0(change_t, 1);
    change->version = s->version + 1;
    codec_copy_string(change->operator, sizeof(change->operator), command->operator);
    codec_copy_string(change->request_id, sizeof(change->request_id), command->request_id);
    change->wall_ms = command->wall_ms;
    codec_set_text(&change->patch, &change->patch_n, patch, strlen(patch));
    codec_set_text(&change->reverse, &change->reverse_n, reverse, strlen(reverse));
    free(reverse);
    replace_config(s, next, parsed);
    s->version = change->version;
    g_queue_push_tail(&s->changes, change);
    if (g_queue_get_length(&s->changes) > STATE_CHANGES_KEPT)
        free_change(g_queue_pop_head(&s->changes));
}

static const change_t *find_change(const state_t *s, uint64_t version)
{
    for (const GList *l = s->changes.tail; l; l = l->prev)
        if (((const change_t *)l->data)->version == version)
            return l->data;
    return NULL;
}

/* ===== Commands ===== */

static void apply_found(state_t *s, const command_t *command, result_t *result)
{
    tc_err_t err = {0};
    json_t *next = NULL;
    config_t parsed;
    const char *const patch = command->patch_n ? command->patch : "{}";
    if (s->version > 0) {
        set_result(result, TC_E_CONFLICT, s->version, "the cluster has a configuration");
        return;
    }
    if (parse_patched_config(s, patch, &next, &parsed, &err) < 0) {
        set_result(result, TC_E_INVALID, s->version, err.detail);
        return;
    }
    accept_change(s, command, patch, next, &parsed);
    json_decref(next);
    set_result(result, TC_OK, s->version, "founded");
}

static void apply_plan(state_t *s, const command_t *command, result_t *result)
{
    enum { PLANS_MAX = 256 };
    char text[256];
    tc_err_t err = {0};
    if (command->base != s->version) {
        snprintf(text, sizeof(text), "made for version %llu, the configuration is at %llu",
                 (unsigned long long)command->base, (unsigned long long)s->version);
        set_result(result, TC_E_CONFLICT, s->version, text);
    } else if (g_hash_table_size(s->plans) >= PLANS_MAX) {
        set_result(result, TC_E_FULL, s->version, "too many plans wait: reject some");
    } else if (state_check_patch(s, command->patch ? command->patch : "", NULL, &err) < 0) {
        snprintf(text, sizeof(text), "%.90s %.150s", err.peer, err.detail);
        set_result(result, TC_E_INVALID, s->version, text);
    } else {
        plan_record_t *const plan = g_new0(plan_record_t, 1);
        codec_copy_string(plan->plan, sizeof(plan->plan), command->plan);
        codec_copy_string(plan->operator, sizeof(plan->operator), command->operator);
        plan->base = command->base;
        codec_set_text(&plan->patch, &plan->patch_n, command->patch, command->patch_n);
        g_hash_table_replace(s->plans, plan->plan, plan);
        set_result(result, TC_OK, s->version, command->plan);
    }
}

static void set_conflict_result(const state_t *s, const plan_record_t *plan, result_t *result)
{
    const change_t *const winner = find_change(s, plan->base + 1);
    char text[384];
    snprintf(text, sizeof(text), "version %llu was made by %s (request %s) from the same version %llu: plan again",
             (unsigned long long)plan->base + 1, winner ? winner->operator: "someone", winner ? winner->request_id : "?",
             (unsigned long long)plan->base);
    set_result(result, TC_E_CONFLICT, s->version, text);
}

static void apply_confirm(state_t *s, const command_t *command, result_t *result)
{
    const plan_record_t *const plan = g_hash_table_lookup(s->plans, command->plan);
    if (!plan) {
        set_result(result, TC_E_NOT_FOUND, s->version, "no such plan, or it was confirmed or rejected");
        return;
    }
    if (plan->base != s->version) {
        set_conflict_result(s, plan, result);
        g_hash_table_remove(s->plans, command->plan);
        return;
    }
    json_t *next = NULL;
    config_t parsed;
    const int rc = parse_patched_config(s, plan->patch, &next, &parsed, NULL);
    assert(rc == TC_OK); /* checked against the same version when the plan was made */
    (void)rc;
    accept_change(s, command, plan->patch, next, &parsed);
    json_decref(next);
    g_hash_table_remove(s->plans, command->plan);
    set_result(result, TC_OK, s->version, "accepted");
}

static void expire_claims(state_t *s, int64_t wall_ms)
{
    for (claim_record_t *old = g_queue_peek_head(&s->claim_order); old; old = g_queue_peek_head(&s->claim_order)) {
        if (wall_ms - old->wall_ms < STATE_CLAIM_KEEP_MS)
            return;
        g_queue_pop_head(&s->claim_order);
        g_hash_table_remove(s->claims, old->id);
    }
}

static void apply_claim(state_t *s, const command_t *command, result_t *result)
{
    expire_claims(s, command->wall_ms);
    claim_record_t *claim = g_hash_table_lookup(s->claims, command->id);
    if (claim && claim->state != CLAIM_STATE_NOT_RUN) {
        set_result(result, TC_E_CONFLICT, claim->state, claim->box);
        return;
    }
    if (!claim) {
        claim = g_new0(claim_record_t, 1);
        codec_copy_string(claim->id, sizeof(claim->id), command->id);
        claim->wall_ms = command->wall_ms;
        g_hash_table_insert(s->claims, claim->id, claim);
        g_queue_push_tail(&s->claim_order, claim);
    }
    /* Invariant: at most one run. The first box gets the claim; it is given again only after a "not run" report. */
    codec_copy_string(claim->box, sizeof(claim->box), command->box);
    claim->incarnation = command->incarnation;
    claim->state = CLAIM_STATE_RUNNING;
    set_result(result, TC_OK, claim->state, claim->box);
}

static void apply_claim_end(state_t *s, const command_t *command, result_t *result)
{
    claim_record_t *const claim = g_hash_table_lookup(s->claims, command->id);
    const bool is_owner = claim && claim->state == CLAIM_STATE_RUNNING && strcmp(claim->box, command->box) == 0 &&
                          claim->incarnation == command->incarnation;
    if (is_owner)
        claim->state = command->state;
    set_result(result, is_owner ? TC_OK : TC_E_FENCED, claim ? claim->state : 0, claim ? claim->box : "");
}

static void apply_cell(state_t *s, const command_t *command, result_t *result)
{
    cell_lease_t *cell = g_hash_table_lookup(s->cells, command->cell);
    if (command->base != (cell ? cell->epoch : 0)) {
        set_result(result, TC_E_CONFLICT, cell ? cell->epoch : 0, "the cell has another epoch");
        return;
    }
    if (!cell) {
        cell = g_new0(cell_lease_t, 1);
        codec_copy_string(cell->cell, sizeof(cell->cell), command->cell);
        g_hash_table_insert(s->cells, cell->cell, cell);
    }
    codec_copy_string(cell->box, sizeof(cell->box), command->box);
    codec_copy_string(cell->peer_addr, sizeof(cell->peer_addr), command->peer_addr);
    cell->incarnation = command->incarnation;
    cell->epoch++;
    set_result(result, TC_OK, cell->epoch, cell->box);
}

static void apply_drain(state_t *s, const command_t *command, result_t *result)
{
    if (command->on) {
        drain_record_t *const drain = g_new0(drain_record_t, 1);
        codec_copy_string(drain->box, sizeof(drain->box), command->box);
        g_hash_table_replace(s->drains, drain->box, drain);
    } else {
        g_hash_table_remove(s->drains, command->box);
    }
    set_result(result, TC_OK, s->version, command->on ? "draining" : "not draining");
}

static void apply_kind(state_t *s, const command_t *command, result_t *result)
{
    switch (command->kind) {
    case COMMAND_KIND_FOUND: apply_found(s, command, result); break;
    case COMMAND_KIND_PLAN: apply_plan(s, command, result); break;
    case COMMAND_KIND_CONFIRM: apply_confirm(s, command, result); break;
    case COMMAND_KIND_REJECT:
        set_result(result, g_hash_table_remove(s->plans, command->plan) ? TC_OK : TC_E_NOT_FOUND, s->version,
                   "rejected");
        break;
    case COMMAND_KIND_CLAIM: apply_claim(s, command, result); break;
    case COMMAND_KIND_CLAIM_END: apply_claim_end(s, command, result); break;
    case COMMAND_KIND_CELL: apply_cell(s, command, result); break;
    case COMMAND_KIND_DRAIN: apply_drain(s, command, result); break;
    case COMMAND_KIND_COUNT: break;
    }
}

char *state_pack_command(const command_t *command, size_t *size)
{
    return codec_pack_bytes(&command_desc, command, size);
}

void state_apply(state_t *s, const char *data, size_t size, result_t *result)
{
    command_t command;
    memset(result, 0, sizeof(*result));
    if (codec_unpack_bytes(&command_desc, &command, data, size, NULL) < 0) {
        set_result(result, TC_E_CORRUPT, s->version, "command cannot be decoded");
        return;
    }
    const uint64_t before = s->version;
    const result_t *const first = command.request_id[0] ? state_find_answer(s, command.request_id) : NULL;
    if (first) {
        copy_result(result, first);
    } else {
        apply_kind(s, &command, result);
        record_answer(s, command.request_id, result);
    }
    /* Invariant: an accepted configuration never reverts. */
    assert(s->version == before || s->version == before + 1);
    codec_free(&command_desc, &command);
}

/* ===== Views ===== */

uint64_t state_version(const state_t *s)
{
    return s->version;
}

const char *state_config_text(const state_t *s)
{
    if (!s->config_text) /* fills a cache; the state itself does not change */
        ((state_t *)(uintptr_t)s)->config_text = json_dumps(s->config_json, JSON_COMPACT | JSON_SORT_KEYS);
    return s->config_text;
}

const config_t *state_config(const state_t *s)
{
    return &s->config;
}

bool state_changes(const state_t *s, uint64_t from, msg_fetch_ack_t *ack)
{
    const change_t *const oldest = g_queue_peek_head((GQueue *)(uintptr_t)&s->changes);
    if (from > s->version || (from < s->version && (!oldest || oldest->version > from + 1)))
        return false;
    ack->patches = calloc(s->version - from + 1, sizeof(*ack->patches));
    if (!ack->patches)
        abort();
    for (const GList *l = s->changes.head; l; l = l->next) {
        const change_t *const change = l->data;
        if (change->version <= from)
            continue;
        patch_t *const patch = &ack->patches[ack->patches_n++];
        patch->version = change->version;
        codec_set_text(&patch->text, &patch->text_n, change->patch, change->patch_n);
    }
    return true;
}

uint32_t state_history(const state_t *s, const change_t **changes, uint32_t room)
{
    uint32_t n = 0;
    for (const GList *l = s->changes.tail; l && n < room; l = l->prev)
        changes[n++] = l->data;
    return n;
}

const plan_record_t *state_find_plan(const state_t *s, const char *plan)
{
    return g_hash_table_lookup(s->plans, plan);
}

/** List the values of a table as borrowed pointers. @return number filled, at most @p room */
static uint32_t list_table(GHashTable *table, const void **items, uint32_t room)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t n = 0;
    g_hash_table_iter_init(&iter, table);
    while (n < room && g_hash_table_iter_next(&iter, NULL, &value))
        items[n++] = value;
    return n;
}

uint32_t state_plans(const state_t *s, const plan_record_t **plans, uint32_t room)
{
    return list_table(s->plans, (const void **)plans, room);
}

const claim_record_t *state_find_claim(const state_t *s, const char *id)
{
    return g_hash_table_lookup(s->claims, id);
}

uint32_t state_claim_count(const state_t *s)
{
    return g_hash_table_size(s->claims);
}

const cell_lease_t *state_find_cell(const state_t *s, const char *cell)
{
    return g_hash_table_lookup(s->cells, cell);
}

uint64_t state_cells_version(const state_t *s)
{
    /* Epochs only grow, so every change of a lease changes their sum. Starts at 1, since 0 means no version known. */
    uint64_t sum = 1;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, s->cells);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        sum += ((const cell_lease_t *)value)->epoch;
    return sum;
}

uint32_t state_cells(const state_t *s, const cell_lease_t **cells, uint32_t room)
{
    return list_table(s->cells, (const void **)cells, room);
}

bool state_is_draining(const state_t *s, const char *box)
{
    return g_hash_table_lookup(s->drains, box) != NULL;
}

char *state_rollback_patch(const state_t *s, uint64_t version)
{
    if (version == 0 || version > s->version)
        return NULL;
    json_t *at = json_incref(s->config_json);
    for (uint64_t v = s->version; v > version; v--) {
        const change_t *const change = find_change(s, v);
        json_t *const reverse = change ? json_loads(change->reverse, 0, NULL) : NULL;
        json_t *const before = reverse ? merge_apply(at, reverse) : NULL;
        json_decref(reverse);
        json_decref(at);
        at = before;
        if (!at)
            return NULL;
    }
    json_t *const patch = merge_diff(s->config_json, at);
    char *const text = json_dumps(patch, JSON_COMPACT | JSON_SORT_KEYS);
    json_decref(patch);
    json_decref(at);
    return text;
}
