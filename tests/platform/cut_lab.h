/** @file cut_lab.h
 * Fixture of tests in which entry boxes lose their paths to back ends: control boxes, entry boxes, a plain service and
 * engines, all real and over loopback. Each entry box reaches each back end through a proxy of its own.
 */
#ifndef TRACKCOVE_TESTS_CUT_LAB_H
#define TRACKCOVE_TESTS_CUT_LAB_H

#include "harness/proxy.h"
#include "platform/entries_lab.h"

enum {
    BOXES_N = 6,
    SERVERS = 4,
    REQUEST_INTERVAL_MS = 5,
    LIST_INTERVAL_MS = 1000 /* control boxes read the platform's list once a second */
};

/** Callers' first tries at one group of boxes. */
typedef struct {
    unsigned sent, served;
} tries_t;

typedef struct {
    entries_lab_t lab;
    lab_backend_t *servers[SERVERS];
    proxy_t *paths[BOXES_N][SERVERS];
    bool is_cut[BOXES_N];
    GHashTable *runs; /* attempt -> number of times that back ends ran it, without prefills */
    bool is_loaded;   /* whether callers send requests */
    guint counted_at; /* index of the first call that is counted */
    unsigned next;    /* number of the next request */
    GArray *boxes;    /* int: the box of each call */
} cut_world_t;

/* ===== Back ends ===== */

static void count_run(const cut_world_t *w, const char *id, int size)
{
    char *const key = g_strndup(id, (gsize)size);
    const unsigned before = GPOINTER_TO_UINT(g_hash_table_lookup(w->runs, key));
    g_hash_table_insert(w->runs, key, GUINT_TO_POINTER(before + 1));
}

static lab_reply_t serve(void *arg, const char *request)
{
    static const char id_name[] = "Attempt-Id: ", stream[] = "id: 1\ndata: a\n\n",
                      handle[] = "{\"prefill_handle\":\"h\"}";
    const char *const id = strstr(request, id_name);
    const int id_size = id ? (int)strcspn(id + strlen(id_name), "\r") : 0;
    const char *const name = id ? id + strlen(id_name) : "";
    lab_reply_t reply;
    if (is_own_request(request, &reply))
        return reply;
    if (!strstr(request, "Stage: prefill"))
        count_run(arg, name, id_size);
    if (strstr(request, "Stage: prefill"))
        reply.bytes = g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen(handle), handle);
    else if (strstr(request, "/lm/"))
        reply.bytes = g_strdup_printf("HTTP/1.1 200 OK\r\nServer-Seal: s1\r\nAttempt-Id: %.*s\r\n"
                                      "Content-Type: text/event-stream\r\nContent-Length: %zu\r\n\r\n%s",
                                      id_size, name, strlen(stream), stream);
    else
        reply.bytes = g_strdup_printf("HTTP/1.1 200 OK\r\nServer-Seal: s1\r\nAttempt-Id: %.*s\r\n"
                                      "Content-Length: 2\r\n\r\nok",
                                      id_size, name);
    return reply;
}

static void start_servers(cut_world_t *w)
{
    static const char *const stages[SERVERS] = {"", "", "prefill", "decode"};
    w->lab.backends_n = SERVERS;
    for (int i = 0; i < SERVERS; i++)
        w->servers[i] = start_server(&w->lab, i, stages[i], "a", 64, serve, w);
}

/* ===== Paths ===== */

/** Gives a box a list of back ends by the addresses of its own proxies. */
static void start_paths(cut_world_t *w, int box)
{
    backend_t list[SERVERS];
    for (int i = 0; i < SERVERS; i++) {
        char addr[32];
        lab_unused_addr(addr);
        w->paths[box][i] = proxy_start(w->lab.f.loop, addr, w->lab.list[i].addr);
        list[i] = w->lab.list[i];
        codec_copy_string(list[i].addr, sizeof(list[i].addr), addr);
    }
    fleet_set_list(w->lab.entries[box].fleet, list, SERVERS, tc_time_now());
}

/** Cuts or heals the paths from a box to all back ends. */
static void cut_box(cut_world_t *w, int box, proxy_cut_t how)
{
    w->is_cut[box] = how != PROXY_CUT_NONE;
    for (int i = 0; i < SERVERS; i++)
        proxy_set_cut(w->paths[box][i], how);
}

/** Cuts the paths from the first @p n boxes to all back ends; heals those of the others. */
static __attribute__((unused)) void cut_boxes(cut_world_t *w, int n, proxy_cut_t how)
{
    for (int box = 0; box < BOXES_N; box++)
        cut_box(w, box, box < n ? how : PROXY_CUT_NONE);
}

/* ===== Callers ===== */

static void send_request(void *arg)
{
    static const char *const paths[] = {"/safe/x", "/once/x", "/lm/x"};
    cut_world_t *const w = arg;
    if (!w->is_loaded)
        return;
    const int box = (int)(w->next % BOXES_N);
    (void)send_to_entry(&w->lab, &w->lab.entries[box], paths[w->next / BOXES_N % G_N_ELEMENTS(paths)],
                        "Deadline-Ms: 3000\r\nToken-Count: 100,50\r\n", "body");
    g_array_append_val(w->boxes, box);
    w->next++;
}

/** Sends requests to all boxes in turn for @p span, and waits for their answers. */
static void run_load(cut_world_t *w, tc_time_t span)
{
    w->counted_at = w->lab.calls->len;
    w->is_loaded = true;
    lab_run_for(w->lab.f.loop, span);
    w->is_loaded = false;
    await_answers(&w->lab);
}

/** Counts what came of the last load at the boxes that are cut, or at the others. */
static __attribute__((unused)) tries_t count_tries(const cut_world_t *w, bool cut)
{
    tries_t tries = {0};
    for (guint i = w->counted_at; i < w->lab.calls->len; i++) {
        const lab_call_t *const call = g_ptr_array_index(w->lab.calls, i);
        if (w->is_cut[g_array_index(w->boxes, int, i)] != cut)
            continue;
        const bool served = call->how == WEB_RESULT_COMPLETE && call->status == 200;
        tries.sent++;
        tries.served += served;
        if (!served)
            g_test_message("request %08x at box %d: result %d, status %d", i + 1, g_array_index(w->boxes, int, i),
                           (int)call->how, call->status);
    }
    return tries;
}

/* ===== Life ===== */

static const char config[] =
    "{\"version\":3,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/safe/\",\"kind\":\"safe\",\"timeout_ms\":3000,"
    "\"max_attempts\":2,\"service\":\"app\"},{\"host\":\"h\",\"path_prefix\":\"/once/\",\"kind\":\"unsafe\","
    "\"timeout_ms\":3000,\"max_attempts\":1,\"service\":\"app\"},{\"host\":\"h\",\"path_prefix\":\"/lm/\",\"kind\":"
    "\"stream\",\"timeout_ms\":3000,\"target_latency_ms\":900,\"max_attempts\":1,\"service\":\"lm\"}],"
    "\"services\":[{\"name\":\"app\"},{\"name\":\"lm\",\"engine\":{\"slots\":64,\"kv_tokens\":90000,"
    "\"handle_ttl_s\":5}}]}";

static bool has_leader_contact(void *arg)
{
    const cut_world_t *const w = arg;
    for (int i = 0; i < BOXES_N; i++)
        if (reporter_leader_contact_time(w->lab.entries[i].reporter) == 0)
            return false;
    return true;
}

/** The platform's list still has all engines, which ends their suspicion. */
static void read_list(void *arg)
{
    const cut_world_t *const w = arg;
    for (int i = 0; i < SEEDS; i++)
        replica_set_backends(w->lab.f.replica[i], w->lab.list, w->lab.backends_n, tc_time_now());
}

static void set_up_cut_world(cut_world_t *w, gconstpointer data)
{
    (void)data;
    w->boxes = g_array_new(FALSE, FALSE, sizeof(int));
    w->runs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    set_up_entries(&w->lab, config);
    start_servers(w);
    start_controls(&w->lab);
    const leader_sched_service_t service = {.service = "lm", .slots = 64, .memory_tokens = 90000, .link_tokens_s = 1e6};
    for (int i = 0; i < SEEDS; i++)
        replica_set_services(w->lab.f.replica[i], &service, 1);
    read_list(w);
    start_entries(&w->lab, BOXES_N, (reporter_events_t){0});
    for (int i = 0; i < BOXES_N; i++)
        start_paths(w, i);
    lab_run_until(w->lab.f.loop, has_leader_contact, w);
    set_box_count(&w->lab);
    loop_add_tick(w->lab.f.loop, REQUEST_INTERVAL_MS, send_request, w);
    loop_add_tick(w->lab.f.loop, LIST_INTERVAL_MS, read_list, w);
}

static void tear_down_cut_world(cut_world_t *w, gconstpointer data)
{
    loop_remove_ticks(w->lab.f.loop, w);
    tear_down_entries(&w->lab);
    for (int box = 0; box < BOXES_N; box++)
        for (int i = 0; i < SERVERS; i++)
            proxy_stop(w->paths[box][i]);
    for (int i = 0; i < SERVERS; i++)
        lab_backend_stop(w->servers[i]);
    g_array_free(w->boxes, TRUE);
    g_hash_table_destroy(w->runs);
    tear_down(&w->lab.f, data);
}

#endif
