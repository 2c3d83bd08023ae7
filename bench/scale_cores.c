/** @file scale_cores.c
 * Scaling of the core modules in one thread, without I/O: `make bench-scale` runs it first. Processor time is the
 * thread's, heap use is from mallinfo2.
 */

#include <glib.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "cluster/roster.h"
#include "control/members.h"
#include "control/state.h"
#include "peer/frame.h"
#include "request/view.h"
#include "sched/sched.h"

/* ===== Clocks and output ===== */

static double cpu_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

static double heap_bytes(void)
{
    const struct mallinfo2 info = mallinfo2();
    return (double)(info.uordblks + info.hblkhd);
}

static void print_point(const char *measure, double x, double y)
{
    printf("{\"measure\":\"%s\",\"x\":%g,\"y\":%.6g}\n", measure, x, y);
    fflush(stdout);
}

static double frame_bytes(uint32_t type, const void *message)
{
    size_t size;
    free(frame_pack(type, 1, false, message, &size));
    return (double)size;
}

/* ===== Scheduler: a request's lifetime by number of engines in the cell ===== */

static config_t make_cell(unsigned engines)
{
    GString *const text = g_string_new("{\"engines\":{");
    for (unsigned i = 0; i < engines; i++)
        g_string_append_printf(
            text,
            "%s\"e%u\":{\"url\":\"u\",\"dc\":\"dc%u\",\"role\":\"%s\",\"model\":\"m\",\"pieces\":60,\"max_batch\":24}",
            i ? "," : "", i, i % 3, i % 2 ? "decode" : "prefill");
    g_string_append(text, "},\"targets\":{\"ttft_ms\":60000}}");
    config_t config;
    if (codec_from_json_text(&config_desc, &config, text->str, text->len, "bench", NULL) < 0)
        abort();
    g_string_free(text, TRUE);
    return config;
}

static void report_progress(sched_t *s, const char *id, uint32_t attempt, phase_t phase, tc_time_t now)
{
    msg_progress_t p = {.attempt = attempt, .phase = phase, .took_ms = 200, .computed_tokens = 3000};
    codec_copy_string(p.id, sizeof(p.id), id);
    sched_progress(s, &p, now);
}

typedef struct {
    char id[32];
    uint32_t attempt;
} placed_t;

static uint32_t place_request(sched_t *s, const char *id, tc_time_t now)
{
    uint64_t chain[2] = {g_str_hash(id), g_str_hash(id) + 1};
    msg_place_t message = {
        .prompt_tokens = 4000, .max_tokens = 200, .wait_ms = 60000, .chain = chain, .chain_n = 2, .repeatable = true};
    codec_copy_string(message.id, sizeof(message.id), id);
    codec_copy_string(message.model, sizeof(message.model), "m");
    codec_copy_string(message.box, sizeof(message.box), "entry-1");
    sched_place(s, &message, (sched_token_t){0}, now);
    sched_action_t action;
    uint32_t attempt = 0;
    while (sched_next_action(s, &action))
        if (action.kind == SCHED_ACT_ANSWER && action.u.answer.placed.granted)
            attempt = action.u.answer.placed.attempt;
    return attempt;
}

/** Above this number of engines their records exceed the processor's caches, and a request costs more than the linear
 * fit of smaller cells predicts: larger cells are fitted separately. */
enum { SMALL_CELL_ENGINES_MAX = 160 };

static void measure_scheduler(unsigned engines)
{
    enum { REQUESTS = 4000 };
    config_t config = make_cell(engines);
    const sched_options_t options = {.cell = "main", .epoch = 1, .share_count = 1};
    sched_t *const s = sched_create(&options, 1000);
    sched_configure(s, &config, 1000);
    const unsigned held = engines / 2 * 15; /* three quarters of the decode engines' capacity */
    placed_t *const ring = calloc(held, sizeof(*ring));
    tc_time_t now = 1000;
    unsigned granted = 0;
    double in_flight_heap = 0;
    for (unsigned i = 0; i < held; i++) {
        now += 20;
        if (i == 0)
            in_flight_heap = heap_bytes();
        snprintf(ring[i].id, sizeof(ring[i].id), "warm-%u", i);
        ring[i].attempt = place_request(s, ring[i].id, now);
        report_progress(s, ring[i].id, ring[i].attempt, PHASE_TRANSFER, now);
        report_progress(s, ring[i].id, ring[i].attempt, PHASE_DECODE, now);
    }
    print_point(engines <= SMALL_CELL_ENGINES_MAX ? "sched_bytes_a_request" : "sched_bytes_a_request_large", engines,
                (heap_bytes() - in_flight_heap) / held);
    const double begin = cpu_us();
    for (unsigned i = 0; i < REQUESTS; i++) {
        placed_t *const old = &ring[i % held];
        now += 20;
        report_progress(s, old->id, old->attempt, PHASE_FINISHED, now);
        snprintf(old->id, sizeof(old->id), "run-%u", i);
        old->attempt = place_request(s, old->id, now);
        granted += old->attempt != 0;
        report_progress(s, old->id, old->attempt, PHASE_TRANSFER, now);
        report_progress(s, old->id, old->attempt, PHASE_DECODE, now);
    }
    print_point(engines <= SMALL_CELL_ENGINES_MAX ? "sched_us_a_request" : "sched_us_a_request_large", engines,
                (cpu_us() - begin) / REQUESTS);
    const double tick = cpu_us();
    for (int i = 0; i < 200; i++)
        sched_tick(s, now);
    print_point(engines <= SMALL_CELL_ENGINES_MAX ? "sched_us_a_tick" : "sched_us_a_tick_large", engines,
                (cpu_us() - tick) / 200);
    if (granted < REQUESTS * 9 / 10)
        fprintf(stderr, "scale: only %u of %d requests placed\n", granted, REQUESTS);
    sched_destroy(s);
    free(ring);
    codec_free(&config_desc, &config);
}

/* ===== Membership: a heartbeat by number of boxes ===== */

static msg_beat_t make_beat(unsigned box)
{
    msg_beat_t beat = {.version = 7, .members_version = 1, .cells_version = 1};
    snprintf(beat.self.box, sizeof(beat.self.box), "entry-%u", box);
    snprintf(beat.self.dc, sizeof(beat.self.dc), "region-1-dc-%u", box % 17);
    snprintf(beat.self.http_addr, sizeof(beat.self.http_addr), "10.1.%u.%u:8080", box / 200, box % 200);
    snprintf(beat.self.peer_addr, sizeof(beat.self.peer_addr), "10.1.%u.%u:7000", box / 200, box % 200);
    beat.self.incarnation = 1;
    beat.self.room = 100;
    return beat;
}

static void measure_members(unsigned boxes)
{
    enum { ROUNDS = 200 };
    members_t *const m = members_create();
    members_start_term(m, 0);
    const double heap = heap_bytes();
    for (unsigned i = 0; i < boxes; i++) {
        const msg_beat_t beat = make_beat(i);
        members_on_heartbeat(m, &beat, 10);
    }
    print_point("members_bytes_a_box", boxes, (heap_bytes() - heap) / boxes);
    const double begin = cpu_us();
    for (int r = 0; r < ROUNDS; r++)
        for (unsigned i = 0; i < boxes; i++) {
            const msg_beat_t beat = make_beat(i);
            members_on_heartbeat(m, &beat, 20 + r);
        }
    print_point("members_us_a_beat", boxes, (cpu_us() - begin) / ROUNDS / boxes);
    member_t *list;
    bool all;
    msg_beat_ack_t ack = {0};
    ack.members_n = members_list_changes(m, 0, &list, &all);
    ack.members = list;
    print_point("members_bytes_whole_list", boxes, frame_bytes(MSG_BEAT_ACK, &ack));
    ack.members_n = 1;
    const double one = frame_bytes(MSG_BEAT_ACK, &ack);
    ack.members_n = 0;
    print_point("members_bytes_one_news", boxes, one - frame_bytes(MSG_BEAT_ACK, &ack));
    print_point("members_bytes_quiet_ack", boxes, frame_bytes(MSG_BEAT_ACK, &ack));
    const msg_beat_t beat = make_beat(boxes - 1);
    print_point("members_bytes_beat", boxes, frame_bytes(MSG_BEAT, &beat));
    free(list);
    members_destroy(m);
}

/* ===== Boxes of the users' platform: a report by number of boxes ===== */

static msg_report_t make_report(unsigned box, backend_load_t *loads, uint32_t n)
{
    msg_report_t report = {.loads = loads, .loads_n = n};
    const msg_beat_t beat = make_beat(box);
    codec_copy_string(report.self.box, sizeof(report.self.box), beat.self.box);
    codec_copy_string(report.self.dc, sizeof(report.self.dc), beat.self.dc);
    codec_copy_string(report.self.http_addr, sizeof(report.self.http_addr), beat.self.http_addr);
    codec_copy_string(report.self.peer_addr, sizeof(report.self.peer_addr), beat.self.peer_addr);
    report.self.incarnation = 1;
    report.self.ready = true;
    for (uint32_t i = 0; i < n; i++) {
        snprintf(loads[i].id, sizeof(loads[i].id), "i-%08x", box * 7 + i);
        loads[i].running = 1 + i;
    }
    return report;
}

static double update_bytes(list_publisher_t *list, uint64_t known)
{
    const msg_report_ack_t ack = {.entries = list_publisher_update_since(list, known)};
    return frame_bytes(MSG_REPORT_ACK, &ack);
}

/** Costs of a report with ten back ends for the leader, and size of the list of boxes in its answer. */
static void measure_roster(unsigned boxes)
{
    enum { ROUNDS = 100, LOADS = 10, LATER_MS = 1000000, MUCH_LATER_MS = 2 * LATER_MS };
    backend_load_t loads[LOADS];
    memset(loads, 0, sizeof(loads));
    roster_t *const r = roster_create();
    for (unsigned i = 0; i < boxes; i++) {
        const msg_report_t report = make_report(i, loads, LOADS);
        roster_update(r, &report, 0);
    }
    const double begin = cpu_us();
    for (int round = 1; round <= ROUNDS; round++)
        for (unsigned i = 0; i < boxes; i++) {
            const msg_report_t report = make_report(i, loads, LOADS);
            roster_update(r, &report, round);
            (void)list_publisher_update_since(roster_list(r, LATER_MS), 0);
        }
    print_point("roster_us_a_report", boxes, (cpu_us() - begin) / ROUNDS / boxes);
    const uint64_t known = list_publisher_hash(roster_list(r, LATER_MS));
    msg_report_t leaves = make_report(0, loads, LOADS);
    leaves.self.leaving = true;
    roster_update(r, &leaves, ROUNDS);
    print_point("roster_bytes_quiet_ack", boxes,
                update_bytes(roster_list(r, MUCH_LATER_MS), list_publisher_hash(roster_list(r, MUCH_LATER_MS))));
    print_point("roster_bytes_one_news", boxes, update_bytes(roster_list(r, MUCH_LATER_MS), known));
    print_point("roster_bytes_whole_list", boxes, update_bytes(roster_list(r, MUCH_LATER_MS), 0));
    roster_destroy(r);
}

/* ===== Configuration: a change by number of workspaces ===== */

static void apply_command(state_t *s, command_t *command)
{
    size_t size;
    char *const data = state_pack_command(command, &size);
    result_t result;
    state_apply(s, data, size, &result);
    if (result.code < 0)
        fprintf(stderr, "scale: %s\n", result.detail);
    codec_free(&result_desc, &result);
    free(data);
}

static char *make_workspaces(unsigned workspaces)
{
    GString *const text = g_string_new("{\"workspaces\":{");
    for (unsigned i = 0; i < workspaces; i++)
        g_string_append_printf(text, "%s\"workspace-%u\":{\"weight\":%u}", i ? "," : "", i, 1 + i % 5);
    g_string_append(text, "}}");
    return g_string_free(text, FALSE);
}

static void measure_config(unsigned workspaces)
{
    enum { CHANGES = 5 };
    char *const all = make_workspaces(workspaces);
    state_t *const s = state_create();
    command_t found = {.kind = COMMAND_KIND_FOUND, .patch = all, .patch_n = (uint32_t)strlen(all)};
    apply_command(s, &found);
    const double begin = cpu_us();
    for (unsigned i = 0; i < CHANGES; i++) {
        char patch[96];
        snprintf(patch, sizeof(patch), "{\"workspaces\":{\"workspace-%u\":{\"weight\":%u}}}", i, 10 + i);
        command_t plan = {
            .kind = COMMAND_KIND_PLAN, .base = state_version(s), .patch = patch, .patch_n = (uint32_t)strlen(patch)};
        codec_copy_string(plan.plan, sizeof(plan.plan), "p");
        apply_command(s, &plan);
        command_t confirm = {.kind = COMMAND_KIND_CONFIRM};
        codec_copy_string(confirm.plan, sizeof(confirm.plan), "p");
        apply_command(s, &confirm);
    }
    print_point("config_us_a_change", workspaces, (cpu_us() - begin) / CHANGES);
    size_t size;
    free(state_save(s, &size));
    print_point("config_bytes_snapshot", workspaces, (double)size);
    msg_fetch_ack_t ack = {0};
    state_changes(s, state_version(s) - 1, &ack);
    print_point("config_bytes_a_delta", workspaces, frame_bytes(MSG_FETCH_ACK, &ack));
    codec_free(&msg_fetch_ack_desc, &ack);
    view_slot_t slot;
    view_init(&slot);
    json_t *const json = json_loads(state_config_text(s), 0, NULL);
    const double heap = heap_bytes(), apply = cpu_us();
    view_t *const view = view_copy(&slot);
    if (view_set_config(view, 2, json, NULL) < 0)
        abort();
    view_publish(&slot, view);
    print_point("entry_us_a_change", workspaces, cpu_us() - apply);
    print_point("entry_bytes_config", workspaces, heap_bytes() - heap);
    json_decref(json);
    state_destroy(s);
    g_free(all);
}

/* ===== Claims and lease renewals ===== */

static void measure_claims(unsigned claims)
{
    state_t *const s = state_create();
    const double heap = heap_bytes(), begin = cpu_us();
    size_t bytes = 0;
    for (unsigned i = 0; i < claims; i++) {
        command_t claim = {.kind = COMMAND_KIND_CLAIM, .incarnation = 1, .wall_ms = 1};
        snprintf(claim.id, sizeof(claim.id), "request-%u", i);
        codec_copy_string(claim.box, sizeof(claim.box), "entry-17");
        size_t size;
        char *const data = state_pack_command(&claim, &size);
        bytes += size;
        result_t result;
        state_apply(s, data, size, &result);
        codec_free(&result_desc, &result);
        free(data);
    }
    print_point("claim_us", claims, (cpu_us() - begin) / claims);
    print_point("claim_heap_bytes", claims, (heap_bytes() - heap) / claims);
    print_point("claim_log_bytes", claims, (double)bytes / claims);
    state_destroy(s);
}

static void measure_renew(unsigned requests)
{
    held_t *const held = calloc(requests, sizeof(*held));
    for (unsigned i = 0; i < requests; i++) {
        held[i] = (held_t){
            .attempt = 1000000 + i, .phase = PHASE_DECODE, .pieces = 3, .prompt_tokens = 4000, .max_tokens = 500};
        snprintf(held[i].id, sizeof(held[i].id), "request-%024u", i);
        snprintf(held[i].prefill, sizeof(held[i].prefill), "engine-%04u", i);
        snprintf(held[i].decode, sizeof(held[i].decode), "engine-%04u", i);
    }
    const msg_renew_t renew = {.held = held, .held_n = requests};
    print_point("renew_list_bytes", requests, frame_bytes(MSG_RENEW, &renew));
    msg_renew_t quiet = {.incarnation = 1796214793000, .epoch = 12, .count = requests, .digest = UINT64_MAX};
    codec_copy_string(quiet.cell, sizeof(quiet.cell), "region-1-cell-12");
    codec_copy_string(quiet.box, sizeof(quiet.box), "entry-410");
    const msg_renew_ack_t ack = {.epoch = 12};
    print_point("renew_digest_bytes", requests, frame_bytes(MSG_RENEW, &quiet) + frame_bytes(MSG_RENEW_ACK, &ack));
    free(held);
}

int main(void)
{
    static const unsigned engines[] = {10, 20, 40, 80, 160, 600, 2400}, boxes[] = {10, 50, 100, 200, 410};
    static const unsigned workspaces[] = {10, 1000, 5000, 21000}, claims[] = {1000, 5000, 20000},
                          held[] = {10, 50, 200};
    for (size_t i = 0; i < G_N_ELEMENTS(engines); i++)
        measure_scheduler(engines[i]);
    for (size_t i = 0; i < G_N_ELEMENTS(boxes); i++)
        measure_members(boxes[i]);
    for (size_t i = 0; i < G_N_ELEMENTS(boxes); i++)
        measure_roster(boxes[i]);
    for (size_t i = 0; i < G_N_ELEMENTS(workspaces); i++)
        measure_config(workspaces[i]);
    for (size_t i = 0; i < G_N_ELEMENTS(claims); i++)
        measure_claims(claims[i]);
    for (size_t i = 0; i < G_N_ELEMENTS(held); i++)
        measure_renew(held[i]);
    return 0;
}
