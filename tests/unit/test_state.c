/* The replicated state: concurrent changes, resent requests, rollback, claims; and the table of live boxes. */

#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "control/members.h"
#include "control/state.h"

static result_t apply(state_t *state, command_t *command)
{
    size_t size;
    char *const data = state_pack_command(command, &size);
    result_t result;
    state_apply(state, data, size, &result);
    free(data);
    return result;
}

static int run(state_t *state, command_kind_t kind, const char *request, const char *plan, const char *patch,
               uint64_t base)
{
    command_t command = {
        .kind = kind, .base = base, .patch = (char *)(uintptr_t)patch, .patch_n = patch ? (uint32_t)strlen(patch) : 0};
    codec_copy_string(command.request_id, sizeof(command.request_id), request);
    codec_copy_string(command.plan, sizeof(command.plan), plan);
    codec_copy_string(command.operator, sizeof(command.operator), request);
    result_t result = apply(state, &command);
    const int code = (int)result.code;
    codec_free(&result_desc, &result);
    return code;
}

static void accept_change(state_t *state, unsigned number)
{
    char request[32], plan[32], confirm[32], patch[64];
    snprintf(request, sizeof(request), "q%u", number);
    snprintf(plan, sizeof(plan), "p%u", number);
    snprintf(confirm, sizeof(confirm), "c%u", number);
    snprintf(patch, sizeof(patch), "{\"targets\":{\"max_queue\":%u}}", number + 1);
    g_assert_cmpint(run(state, COMMAND_KIND_PLAN, request, plan, patch, state_version(state)), ==, TC_OK);
    g_assert_cmpint(run(state, COMMAND_KIND_CONFIRM, confirm, plan, NULL, 0), ==, TC_OK);
}

static void test_race(void)
{
    state_t *const s = state_create();
    accept_change(s, 1);
    g_assert_cmpint(run(s, COMMAND_KIND_PLAN, "ada", "pa", "{\"targets\":{\"tpot_ms\":40}}", 1), ==, TC_OK);
    g_assert_cmpint(run(s, COMMAND_KIND_PLAN, "bo", "pb", "{\"targets\":{\"tpot_ms\":45}}", 1), ==, TC_OK);
    g_assert_cmpint(run(s, COMMAND_KIND_CONFIRM, "ada-c", "pa", NULL, 0), ==, TC_OK);
    command_t late = {.kind = COMMAND_KIND_CONFIRM};
    codec_copy_string(late.plan, sizeof(late.plan), "pb");
    codec_copy_string(late.request_id, sizeof(late.request_id), "bo-c");
    result_t result = apply(s, &late);
    g_assert_cmpint(result.code, ==, TC_E_CONFLICT);
    g_assert_nonnull(strstr(result.detail, "ada-c")); /* names the request that won */
    codec_free(&result_desc, &result);
    g_assert_cmpuint(state_version(s), ==, 2);
    g_assert_cmpuint(state_config(s)->targets.tpot_ms, ==, 40);
    state_destroy(s);
}

static void test_resend(void)
{
    state_t *s = state_create();
    accept_change(s, 1);
    accept_change(s, 2);
    g_assert_cmpint(run(s, COMMAND_KIND_CONFIRM, "c1", "p1", NULL, 0), ==,
                    TC_OK); /* the result of the first execution */
    g_assert_cmpuint(state_version(s), ==, 2);
    size_t size;
    char *const image = state_save(s, &size);
    state_t *const copy = state_create();
    g_assert_cmpint(state_load(copy, image, size), ==, TC_OK);
    free(image);
    g_assert_cmpint(run(copy, COMMAND_KIND_CONFIRM, "c1", "p1", NULL, 0), ==, TC_OK); /* also after a snapshot */
    g_assert_cmpuint(state_version(copy), ==, 2);
    g_assert_cmpstr(state_config_text(copy), ==, state_config_text(s));
    state_destroy(copy);
    state_destroy(s);
}

static void test_refuses(void)
{
    state_t *const s = state_create();
    g_assert_cmpint(run(s, COMMAND_KIND_PLAN, "a", "p", "{\"targets\":{\"ttft_ms\":0}}", 0), ==, TC_E_INVALID);
    g_assert_cmpint(run(s, COMMAND_KIND_PLAN, "b", "p", "not json", 0), ==, TC_E_INVALID);
    g_assert_cmpint(run(s, COMMAND_KIND_PLAN, "c", "p", "{}", 7), ==, TC_E_CONFLICT);
    g_assert_cmpint(run(s, COMMAND_KIND_CONFIRM, "d", "p", NULL, 0), ==, TC_E_NOT_FOUND);
    g_assert_cmpuint(state_version(s), ==, 0);
    state_destroy(s);
}

/** Found by fuzzing: an initial configuration command without a patch. */
static void test_initial_without_patch(void)
{
    state_t *const s = state_create();
    g_assert_cmpint(run(s, COMMAND_KIND_FOUND, "f", "", NULL, 0), ==, TC_OK);
    g_assert_cmpuint(state_version(s), ==, 1);
    state_destroy(s);
}

static void test_rollback(void)
{
    state_t *const s = state_create();
    accept_change(s, 1);
    char *const wanted = g_strdup(state_config_text(s));
    accept_change(s, 2);
    accept_change(s, 3);
    char *const patch = state_rollback_patch(s, 1);
    g_assert_nonnull(patch);
    g_assert_cmpint(run(s, COMMAND_KIND_PLAN, "back", "pback", patch, 3), ==, TC_OK);
    g_assert_cmpint(run(s, COMMAND_KIND_CONFIRM, "backc", "pback", NULL, 0), ==, TC_OK);
    g_assert_cmpuint(state_version(s), ==, 4); /* a rollback is a new version; the version never decreases */
    g_assert_cmpstr(state_config_text(s), ==, wanted);
    msg_fetch_ack_t ack = {0};
    g_assert_true(state_changes(s, 1, &ack));
    g_assert_cmpuint(ack.patches_n, ==, 3);
    codec_free(&msg_fetch_ack_desc, &ack);
    g_assert_null(state_rollback_patch(s, 9));
    free(patch);
    g_free(wanted);
    state_destroy(s);
}

static int claim(state_t *s, command_kind_t kind, const char *id, const char *box, claim_state_t state, int64_t wall_ms)
{
    command_t command = {.kind = kind, .incarnation = 1, .state = state, .wall_ms = wall_ms};
    codec_copy_string(command.id, sizeof(command.id), id);
    codec_copy_string(command.box, sizeof(command.box), box);
    result_t result = apply(s, &command);
    const int code = (int)result.code;
    codec_free(&result_desc, &result);
    return code;
}

static void test_claims(void)
{
    state_t *const s = state_create();
    g_assert_cmpint(claim(s, COMMAND_KIND_CLAIM, "x", "entry-1", 0, 1000), ==, TC_OK);
    g_assert_cmpint(claim(s, COMMAND_KIND_CLAIM, "x", "entry-2", 0, 1000), ==, TC_E_CONFLICT);
    g_assert_cmpint(claim(s, COMMAND_KIND_CLAIM_END, "x", "entry-2", CLAIM_STATE_NOT_RUN, 1000), ==, TC_E_FENCED);
    g_assert_cmpint(claim(s, COMMAND_KIND_CLAIM_END, "x", "entry-1", CLAIM_STATE_NOT_RUN, 1000), ==, TC_OK);
    g_assert_cmpint(claim(s, COMMAND_KIND_CLAIM, "x", "entry-2", 0, 1000), ==,
                    TC_OK); /* not run: may be claimed again */
    g_assert_cmpint(claim(s, COMMAND_KIND_CLAIM_END, "x", "entry-2", CLAIM_STATE_DONE, 1000), ==, TC_OK);
    g_assert_cmpint(claim(s, COMMAND_KIND_CLAIM, "x", "entry-3", 0, 1000), ==, TC_E_CONFLICT);
    g_assert_cmpint(claim(s, COMMAND_KIND_CLAIM, "y", "entry-3", 0, 1000 + STATE_CLAIM_KEEP_MS), ==, TC_OK);
    g_assert_cmpuint(state_claim_count(s), ==, 1); /* the old claim has expired */
    state_destroy(s);
}

static void heartbeat(members_t *m, const char *box, uint64_t incarnation, uint64_t version, bool released,
                      tc_time_t now, int wanted)
{
    msg_beat_t message = {.version = version, .released = released};
    message.self.incarnation = incarnation;
    codec_copy_string(message.self.box, CODEC_STR_SIZE, box);
    g_assert_cmpint(members_on_heartbeat(m, &message, now), ==, wanted);
}

static void test_members(void)
{
    char lag[CODEC_STR_SIZE];
    members_t *const m = members_create();
    members_start_term(m, 0);
    heartbeat(m, "a", 5, 1, false, 100, TC_OK);
    heartbeat(m, "a", 4, 1, false, 110, TC_E_FENCED); /* a former incarnation */
    heartbeat(m, "b", 1, 2, false, 100, TC_OK);
    g_assert_false(members_in_force(m, 2, 4000, lag, 200)); /* leases of the former leader may still be valid */
    heartbeat(m, "a", 5, 1, false, 3900, TC_OK);
    heartbeat(m, "b", 1, 2, false, 3900, TC_OK);
    g_assert_false(members_in_force(m, 2, 4000, lag, 4200));
    g_assert_cmpstr(lag, ==, "a");
    g_assert_true(members_in_force(m, 2, 4000, lag, 7900)); /* a's lease has expired, so a cannot act on version 1 */
    g_assert_false(members_holder_gone(m, "a", 5, 3900 + MEMBERS_CELL_LEASE_MS));
    g_assert_true(members_holder_gone(m, "a", 5, 3900 + MEMBERS_CELL_LEASE_MS + MEMBERS_CELL_LEASE_MARGIN_MS));
    heartbeat(m, "a", 5, 2, false, 7950, TC_OK);
    g_assert_true(members_holder_gone(m, "a", 4, 7951)); /* the lease was that of a former incarnation */
    g_assert_false(members_holder_gone(m, "a", 5, 7951));
    heartbeat(m, "a", 5, 2, true, 8000, TC_OK);
    g_assert_true(members_holder_gone(m, "a", 5, 8001)); /* released */
    members_tick(m, 8000 + MEMBERS_HEARTBEAT_TIMEOUT_MS);
    member_t *list;
    bool all;
    g_assert_cmpuint(members_list_changes(m, 0, &list, &all), ==, 0); /* the full list holds live boxes only */
    g_assert_true(all);
    free(list);
    heartbeat(m, "c", 1, 2, false, 9600, TC_OK);
    const uint64_t seen = members_version(m);
    g_assert_cmpuint(members_list_changes(m, seen, &list, &all), ==, 0);
    g_assert_false(all);
    free(list);
    members_tick(m, 9600 + MEMBERS_HEARTBEAT_TIMEOUT_MS);
    g_assert_cmpuint(members_list_changes(m, seen, &list, &all), ==, 1);
    g_assert_true(list[0].gone);
    free(list);
    members_destroy(m);
}

/** A configuration too large for a box to fetch in one frame is refused before it is proposed. */
static void test_size(void)
{
    char *const text = g_strnfill(STATE_CONFIG_MAX_BYTES, 'x');
    json_t *const next = json_pack("{s:s}", "a", text);
    tc_err_t err = {0};
    g_assert_cmpint(state_check_size(next, &err), ==, TC_E_INVALID);
    text[STATE_CONFIG_MAX_BYTES - 64] = '\0';
    json_object_set_new(next, "a", json_string(text));
    g_assert_cmpint(state_check_size(next, &err), ==, TC_OK);
    json_decref(next);
    g_free(text);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/state/race", test_race);
    g_test_add_func("/state/resend", test_resend);
    g_test_add_func("/state/refuses", test_refuses);
    g_test_add_func("/state/initial-without-patch", test_initial_without_patch);
    g_test_add_func("/state/rollback", test_rollback);
    g_test_add_func("/state/claims", test_claims);
    g_test_add_func("/members/leases", test_members);
    g_test_add_func("/state/size", test_size);
    return g_test_run();
}
