/** @file entries_lab.h
 * Fixture of tests with control boxes, entry boxes, a few back ends and callers, all real and over loopback. Tests add
 * what their back ends answer.
 */
#ifndef TRACKCOVE_TESTS_ENTRIES_LAB_H
#define TRACKCOVE_TESTS_ENTRIES_LAB_H

#include "egress/relay_pool.h"
#include "forward/forward.h"
#include "platform/config.h"
#include "unit/cluster_lab.h"
#include "web/web_server.h"

enum { LAB_ENTRIES = 6, LAB_BACKENDS = 15 }; /* at most */

typedef struct {
    entry_box_t self;
    char addr[32];
    fleet_t *fleet;
    egress_t *egress;
    web_client_t *client;
    forwarder_t *forwarder;
    web_server_t *server;
    reporter_t *reporter;
} entry_t;

typedef struct {
    fixture_t f;
    route_table_t *table;
    backend_t list[LAB_BACKENDS];
    uint32_t backends_n;
    entry_t entries[LAB_ENTRIES];
    int entries_n;
    web_client_t *callers;
    GPtrArray *calls; /* lab_call_t */
    GRand *random;
    unsigned requested;
    retry_rules_t budget; /* of the entry boxes started from now on; that of the control boxes: f.budget */
    web_limits_t limits;  /* of callers' requests; may change at any time */
} entries_lab_t;

/* ===== Entry boxes ===== */

static bool on_document(void *arg, const document_t *document)
{
    (void)arg, (void)document;
    return true; /* the tests set the routes themselves */
}

static void fill_report(void *arg, msg_report_t *report)
{
    forwarder_fill_report(((entry_t *)arg)->forwarder, report);
}

static void take_versions(void *arg, const msg_report_ack_t *ack)
{
    forwarder_take_versions(((entry_t *)arg)->forwarder, ack);
}

static bool take_limits(void *arg, const msg_report_ack_t *ack)
{
    return forwarder_apply_limits(((entry_t *)arg)->forwarder, ack);
}

static const char *find_id(void *arg, const char *addr)
{
    const instance_t *const instance = fleet_find_at(arg, addr);
    return instance ? instance->listed.id : NULL;
}

static const char *find_addr(void *arg, const char *id)
{
    const instance_t *const instance = fleet_find(arg, id);
    return instance ? instance->listed.addr : NULL;
}

static void start_egress(entries_lab_t *lab, entry_t *e)
{
    tc_err_t err = {0};
    const egress_options_t options = {.box = e->self.box,
                                      .dc = "a",
                                      .peer_bind = e->self.peer_addr,
                                      .find_id = find_id,
                                      .find_addr = find_addr,
                                      .arg = e->fleet};
    e->egress = egress_create(lab->f.loop, &options, &err);
    g_assert_nonnull(e->egress);
    web_client_set_egress(e->client, e->egress);
}

/** Tells each box of the others, as the leader does. */
static void share_boxes(const entries_lab_t *lab)
{
    entry_box_t boxes[LAB_ENTRIES];
    for (int i = 0; i < lab->entries_n; i++)
        boxes[i] = lab->entries[i].self;
    for (int i = 0; i < lab->entries_n; i++)
        egress_set_boxes(lab->entries[i].egress, boxes, (uint32_t)lab->entries_n);
}

/** @param events in addition to the document, the limits and what the forwarder reports; called with the entry_t */
static void start_entry(entries_lab_t *lab, int i, reporter_events_t events)
{
    entry_t *const e = &lab->entries[i];
    const char *const nobody[] = {NULL};
    *e = (entry_t){.self = {.incarnation = (uint64_t)tc_time_now(), .ready = true}};
    g_snprintf(e->self.box, sizeof(e->self.box), "entry-%d", i);
    lab_unused_addr(e->addr);
    codec_copy_string(e->self.http_addr, sizeof(e->self.http_addr), e->addr);
    lab_unused_addr_pair(e->self.peer_addr);
    e->fleet = fleet_create();
    e->client = web_client_create(lab->f.loop);
    start_egress(lab, e);
    const forwarder_options_t options = {
        .box = e->self.box,
        .incarnation = e->self.incarnation,
        .dc = "a",
        .retries = lab->budget,
        .silence_timeout_ms = 60000,
        .egress = e->egress,
        .caps = {.window = 8000},
        .limits = {.advertised = {.window = 4000, .overrun = 0.5, .slack = 5, .strict = true},
                   .cold = {.window = 1000, .overrun = 0.5, .slack = 5, .strict = true}}};
    e->forwarder = forwarder_create(lab->f.loop, e->fleet, e->client, &options);
    forwarder_set_routes(e->forwarder, lab->table);
    fleet_set_list(e->fleet, lab->list, lab->backends_n, tc_time_now());
    tc_err_t err = {0};
    const reporter_options_t reports = {.peer_listen = e->self.peer_addr,
                                        .controls = lab->f.seeds,
                                        .neighbours = nobody,
                                        .quarantine = forwarder_quarantine(e->forwarder),
                                        .caps = forwarder_caps(e->forwarder)};
    events.on_document = on_document;
    events.fill_report = fill_report;
    events.take_versions = take_versions;
    events.take_limits = take_limits;
    events.arg = e;
    e->reporter = reporter_create(lab->f.loop, &e->self, &reports, &events, &err);
    g_assert_nonnull(e->reporter);
    forwarder_set_scheduler(e->forwarder, e->reporter);
    e->server = web_server_start(lab->f.loop, e->addr, &lab->limits, forwarder_handle, e->forwarder, &err);
    g_assert_nonnull(e->server);
}

static void start_entries(entries_lab_t *lab, int n, reporter_events_t events)
{
    lab->entries_n = n;
    for (int i = 0; i < n; i++)
        start_entry(lab, i, events);
    share_boxes(lab);
}

/** Sets the number of boxes in all entry boxes; each computes its shares from it. */
static void set_box_count(const entries_lab_t *lab)
{
    for (int i = 0; i < lab->entries_n; i++)
        forwarder_set_boxes(lab->entries[i].forwarder, (uint32_t)lab->entries_n);
}

static bool is_idle(void *arg)
{
    return forwarder_in_flight(((entry_t *)arg)->forwarder) == 0;
}

static void stop_entry(entries_lab_t *lab, int i)
{
    entry_t *const e = &lab->entries[i];
    do
        lab_run_until(lab->f.loop, is_idle, e);
    while (!is_idle(e)); /* a request may have arrived after the check, in the loop's last iteration */
    reporter_destroy(e->reporter);
    e->reporter = NULL;
    web_client_destroy(e->client);
    egress_destroy(e->egress);
    web_server_stop(e->server);
    forwarder_destroy(e->forwarder);
    fleet_destroy(e->fleet);
}

/* ===== Back ends ===== */

/** Starts a back end. @param stage of an engine, or "" @return to be stopped with lab_backend_stop */
static lab_backend_t *start_server(entries_lab_t *lab, int i, const char *stage, const char *dc, uint32_t slots,
                                   lab_script_t script, void *arg)
{
    char addr[32];
    lab_unused_addr(addr);
    backend_t *const listed = &lab->list[i];
    *listed = (backend_t){.slots = slots};
    g_snprintf(listed->id, sizeof(listed->id), "i-%d", i);
    codec_copy_string(listed->service, sizeof(listed->service), stage[0] ? "lm" : "app");
    codec_copy_string(listed->stage, sizeof(listed->stage), stage);
    codec_copy_string(listed->dc, sizeof(listed->dc), dc);
    codec_copy_string(listed->addr, sizeof(listed->addr), addr);
    return lab_backend_start(lab->f.loop, addr, script, arg);
}

/** Answers a request of a box itself. @return whether it is one */
static bool is_own_request(const char *request, lab_reply_t *reply)
{
    *reply = (lab_reply_t){.end = LAB_KEEP};
    if (strstr(request, "Attempt-Id: "))
        return false;
    reply->bytes = g_strdup("HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n");
    return true;
}

/* ===== Callers ===== */

/** Sends a request to a box. @param headers further ones, each with its end of line */
static lab_call_t *send_to_entry(entries_lab_t *lab, const entry_t *e, const char *path, const char *headers,
                                 const char *body)
{
    char *const text =
        g_strdup_printf("POST %s HTTP/1.1\r\nHost: h\r\nAttempt-Id: %08x\r\n%sContent-Length: %zu\r\n\r\n%s", path,
                        ++lab->requested, headers, strlen(body), body);
    lab_call_t *const call = lab_call(lab->callers, e->addr, text);
    g_free(text);
    g_ptr_array_add(lab->calls, call);
    return call;
}

static bool all_answered(void *arg)
{
    const entries_lab_t *const lab = arg;
    for (guint i = 0; i < lab->calls->len; i++)
        if (!((const lab_call_t *)g_ptr_array_index(lab->calls, i))->done)
            return false;
    return true;
}

static void await_answers(entries_lab_t *lab)
{
    lab_run_until(lab->f.loop, all_answered, lab);
}

static __attribute__((unused)) unsigned count_status(const entries_lab_t *lab, int status)
{
    unsigned n = 0;
    for (guint i = 0; i < lab->calls->len; i++)
        n += ((const lab_call_t *)g_ptr_array_index(lab->calls, i))->status == status;
    return n;
}

static void free_call(void *call)
{
    lab_call_free(call);
}

/* ===== Life ===== */

/** @param config of the operators */
static void set_up_entries(entries_lab_t *lab, const char *config)
{
    set_up(&lab->f, NULL);
    tc_err_t err = {0};
    lab->table = config_read(config, strlen(config), &err);
    g_assert_nonnull(lab->table);
    lab->limits = lab->table->limits;
    lab->budget = (retry_rules_t){.ratio = 1, .allowance = 0, .window = 60000};
    lab->random = g_rand_new_with_seed(1);
    lab->calls = g_ptr_array_new_with_free_func(free_call);
    lab->callers = web_client_create(lab->f.loop);
}

/** Starts the control boxes, with the list of the back ends that there are, and waits for a leader. */
static void start_controls(entries_lab_t *lab)
{
    for (int i = 0; i < SEEDS; i++) {
        start_box(&lab->f, i, true);
        if (lab->backends_n > 0)
            replica_set_backends(lab->f.replica[i], lab->list, lab->backends_n, tc_time_now());
    }
    lab_run_until(lab->f.loop, has_leader, &lab->f);
}

/** To be followed by tear_down of the control boxes. */
static void tear_down_entries(entries_lab_t *lab)
{
    await_answers(lab);
    for (int i = 0; i < lab->entries_n; i++)
        stop_entry(lab, i);
    g_ptr_array_free(lab->calls, TRUE);
    web_client_destroy(lab->callers);
    route_table_unref(lab->table);
    g_rand_free(lab->random);
}

#endif
