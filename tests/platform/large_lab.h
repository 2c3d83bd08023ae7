/** @file large_lab.h
 * Fixture of test_large.c and bench/config_sizes.c: control boxes as real processes behind proxies with limited
 * bandwidth, reporters of many entry boxes in the test's own loop, and an operator that sends configurations of any
 * size.
 */
#ifndef TRACKCOVE_TESTS_LARGE_LAB_H
#define TRACKCOVE_TESTS_LARGE_LAB_H

#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "cluster/reporter.h"
#include "common/counter.h"
#include "harness/lab.h"
#include "harness/process.h"
#include "harness/proxy.h"

/* ===== Constants ===== */

enum {
    CONTROLS = 3,
    ENTRIES = 66,
    /* Bandwidth of a connection in each direction: the link of an entry box, 10 Mbit/s. */
    LINK_BYTES_S = 1250 * 1000,
    PROCESSES = CONTROLS + 1
};

/* ===== Types ===== */

struct large;

/** One entry box: its reporter, and the version of its configuration. */
typedef struct {
    struct large *world;
    entry_box_t self;
    reporter_t *reporter;
    uint64_t version;
} entry_t;

/** One program running as a real process. */
typedef struct {
    const char *program;
    char ip[20], settings[96];
    pid_t pid;
} process_t;

/** One control box. */
typedef struct {
    process_t process;
    char peer[32], http[32], dir[64];
    proxy_t *proxy;
} control_t;

typedef struct large {
    loop_t *loop;
    web_client_t *client;
    int port;
    char root[48];
    control_t control[CONTROLS];
    process_t forward; /* one entry box as a real process, in addition to the reporters */
    entry_t entry[ENTRIES];
    uint64_t wanted_version; /* version that all_have_version waits for */
    int64_t wanted_pieces;   /* count of received pieces to wait for */
    const lab_call_t *put;   /* a refusal of this call also ends that wait */
} large_t;

/* ===== Processes ===== */

/** Ids of running processes, 0 for free entries. They are killed when the test fails, so that none outlives it. */
static volatile pid_t running[PROCESSES];

static void kill_running(int number)
{
    for (int i = 0; i < PROCESSES; i++)
        if (running[i])
            kill(running[i], SIGKILL);
    signal(number, SIG_DFL);
    raise(number);
}

static void set_running(pid_t before, pid_t now)
{
    int at = 0;
    while (running[at] != before)
        at++;
    running[at] = now;
}

static void process_start(process_t *p)
{
    const char *const bin = g_getenv("TRACKCOVE_BIN");
    char *const path = g_build_filename(bin ? bin : "build/bin", p->program, NULL);
    p->pid = process_spawn(path, p->settings);
    set_running(0, p->pid);
    g_free(path);
}

static void process_kill(process_t *p)
{
    set_running(p->pid, 0);
    g_assert_cmpint(kill(p->pid, SIGKILL), ==, 0);
    g_assert_cmpint(waitpid(p->pid, NULL, 0), ==, p->pid);
    p->pid = 0;
}

static long peak_kb(const process_t *p)
{
    const long kb = process_peak_kb(p->pid);
    g_test_message("%s at %s: peak %ld KB", p->program, p->ip, kb);
    g_assert_cmpint(kb, >, 0);
    return kb;
}

/* ===== Boxes as processes ===== */

static void write_settings(const large_t *w, const process_t *p, const char *data_dir, bool first)
{
    char *const text = g_strdup_printf(
        "{\"node_name\":\"%s\",\"ip\":\"%s\",\"internal_bind_ip\":\"127.0.4.%s\",\"zone\":\"z\",\"listen\":{"
        "\"front\":\"%s:%d\",\"ready\":\"%s:%d\",\"control\":\"%s:%d\",\"directory\":\"%s:%d\"},"
        "\"internal_ports\":[%d,%d],\"seeds\":[\"127.0.3.10:1\",\"127.0.3.11:1\",\"127.0.3.12:1\"],"
        "\"bootstrap\":%s,\"data_dir\":\"%s\",\"fault_tolerance\":{\"machines\":1},\"bounds\":{\"grace_s\":8,"
        "\"retry_budget_ratio\":0.2,\"retry_slack\":60,\"budget_window_s\":10},\"cloud\":{\"address\":\"127.0.3.2:1\","
        "\"rate_per_s\":50}}",
        p->ip, p->ip, strrchr(p->ip, '.') + 1, p->ip, w->port + 11, p->ip, w->port + 12, p->ip, w->port + 10, p->ip,
        w->port + 13, w->port, w->port + 5, first ? "true" : "false", data_dir);
    g_assert_true(g_file_set_contents(p->settings, text, -1, NULL));
    g_free(text);
}

static void start_control(const large_t *w, control_t *c, bool first)
{
    write_settings(w, &c->process, c->dir, first);
    process_start(&c->process);
}

static void start_forward(large_t *w)
{
    process_t *const p = &w->forward;
    p->program = "trackcove-forwardd";
    g_strlcpy(p->ip, "127.0.3.20", sizeof(p->ip));
    g_snprintf(p->settings, sizeof(p->settings), "%s/forward.json", w->root);
    write_settings(w, p, "", true);
    process_start(p);
}

/* ===== Entry boxes ===== */

static bool on_document(void *arg, const document_t *document)
{
    entry_t *const e = arg;
    g_assert_cmpuint(document->version, >, e->version); /* versions only increase */
    e->version = document->version;
    return true;
}

static void start_entry(large_t *w, int i)
{
    entry_t *const e = &w->entry[i];
    const char *controls[CONTROLS + 1] = {0};
    const char *const nobody[] = {NULL};
    for (int k = 0; k < CONTROLS; k++)
        controls[k] = w->control[k].peer;
    *e = (entry_t){.world = w};
    g_snprintf(e->self.box, sizeof(e->self.box), "entry-%02d", i);
    codec_copy_string(e->self.http_addr, sizeof(e->self.http_addr), "127.0.0.1:1");
    lab_unused_addr(e->self.peer_addr);
    e->self.incarnation = 1;
    const reporter_options_t options = {.peer_listen = e->self.peer_addr, .controls = controls, .neighbours = nobody};
    const reporter_events_t events = {.on_document = on_document, .arg = e};
    tc_err_t err = {0};
    e->reporter = reporter_create(w->loop, &e->self, &options, &events, &err);
    g_assert_nonnull(e->reporter);
}

static void stop_entries(large_t *w)
{
    for (int i = 0; i < ENTRIES; i++) {
        reporter_destroy(w->entry[i].reporter);
        w->entry[i].reporter = NULL;
    }
}

static bool all_have_version(void *arg)
{
    const large_t *const w = arg;
    for (int i = 0; i < ENTRIES; i++)
        if (w->entry[i].version < w->wanted_version)
            return false;
    return true;
}

/* ===== Operator ===== */

/** A configuration of @p routes routes, some 300 bytes each, with random names like those of operators' tools. */
static char *make_config(uint64_t version, int routes)
{
    GRand *const random = g_rand_new_with_seed(7); /* the same routes in every version */
    GString *const text = g_string_new(NULL);
    g_string_append_printf(text, "{\"version\":%" G_GUINT64_FORMAT ",\"routes\":[", version);
    for (int i = 0; i < routes; i++) {
        const guint32 a = g_rand_int(random), b = g_rand_int(random);
        g_string_append_printf(
            text,
            "%s{\"name\":\"r-%08x\",\"host\":\"h%04x.example\",\"path_prefix\":\"/p%08x/%d/\",\"kind\":\"stream\","
            "\"timeout_ms\":14000,\"target_latency_ms\":900,\"priority\":1,\"traffic_split\":[{\"service\":\"huvo11a\","
            "\"weight\":90},{\"service\":\"wuno96b\",\"weight\":10}],\"max_attempts\":2,\"sticky_session\":true,"
            "\"resumable\":true,\"gap_aim_ms\":300}",
            i ? "," : "", a, b & 0xffff, b, i);
    }
    g_string_append(text, "],\"services\":[{\"name\":\"huvo11a\",\"health_path\":\"/health\",\"max_connections\":630,"
                          "\"engine\":{\"slots\":128,\"kv_tokens\":53213,\"kv_bytes\":18432,\"link_mbps\":350000.0}},"
                          "{\"name\":\"wuno96b\",\"health_path\":\"/health\",\"max_connections\":110}],\"limits\":{}}");
    g_rand_free(random);
    return g_string_free(text, FALSE);
}

static lab_call_t *begin_put(large_t *w, int at, const char *body)
{
    char *const request = g_strdup_printf(
        "POST /config/put HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n%s",
        strlen(body), body);
    lab_call_t *const call = lab_call(w->client, w->control[at].http, request);
    g_free(request);
    return call;
}

static bool is_done(void *arg)
{
    return ((const lab_call_t *)arg)->done;
}

/** Send a configuration as operators do: retry at the next box until the result is definite.
 * @return the box that acknowledged it, or refused it with @p expected */
static int put_expecting(large_t *w, const char *body, int expected)
{
    for (int at = 0;; at = (at + 1) % CONTROLS) {
        if (!w->control[at].process.pid)
            continue;
        lab_call_t *const call = begin_put(w, at, body);
        lab_run_until(w->loop, is_done, call);
        const int status = call->status;
        lab_call_free(call);
        if (status == expected)
            return at;
        g_assert_cmpint(status, !=, 200);
        g_assert_cmpint(status / 100, !=, 4);
        lab_run_for(w->loop, 50);
    }
}

static int put(large_t *w, const char *body)
{
    return put_expecting(w, body, 200);
}

/** The leader: the box that acknowledges an older version. */
static int find_leader(large_t *w)
{
    char *const body = make_config(1, 1); /* an older version: it changes nothing */
    const int leader = put(w, body);
    g_free(body);
    return leader;
}

static void put_routes(large_t *w, uint64_t version, int routes)
{
    char *const body = make_config(version, routes);
    (void)put(w, body);
    g_free(body);
}

/* ===== Lifecycle ===== */

static void set_up(large_t *w, gconstpointer data)
{
    (void)data;
    signal(SIGABRT, kill_running);
    signal(SIGTERM, kill_running);
    w->loop = loop_create();
    w->client = web_client_create(w->loop);
    w->port = lab_unused_ports("127.0.3.10"); /* the first control box */
    g_strlcpy(w->root, "/tmp/trackcove-large-XXXXXX", sizeof(w->root));
    g_assert_nonnull(g_mkdtemp(w->root));
    for (int i = 0; i < CONTROLS; i++) {
        control_t *const c = &w->control[i];
        process_t *const p = &c->process;
        char bound[32];
        p->program = "trackcove-registryd";
        g_snprintf(p->ip, sizeof(p->ip), "127.0.3.%d", 10 + i);
        g_snprintf(p->settings, sizeof(p->settings), "%s/control-%d.json", w->root, i);
        g_snprintf(c->peer, sizeof(c->peer), "%s:%d", p->ip, w->port);
        g_snprintf(c->http, sizeof(c->http), "%s:%d", p->ip, w->port + 10);
        g_snprintf(bound, sizeof(bound), "127.0.4.%d:%d", 10 + i, w->port);
        g_snprintf(c->dir, sizeof(c->dir), "%s/data-%d", w->root, i);
        g_assert_cmpint(g_mkdir(c->dir, 0700), ==, 0);
        c->proxy = proxy_start(w->loop, c->peer, bound);
        proxy_set_rate(c->proxy, LINK_BYTES_S);
        start_control(w, c, true);
    }
    start_forward(w);
    for (int i = 0; i < ENTRIES; i++)
        start_entry(w, i);
}

static void tear_down(large_t *w, gconstpointer data)
{
    (void)data;
    stop_entries(w);
    process_kill(&w->forward);
    for (int i = 0; i < CONTROLS; i++) {
        if (w->control[i].process.pid)
            process_kill(&w->control[i].process);
        proxy_stop(w->control[i].proxy);
        folder_empty(w->control[i].dir);
        g_rmdir(w->control[i].dir);
    }
    folder_empty(w->root);
    g_rmdir(w->root);
    web_client_destroy(w->client);
    loop_destroy(w->loop);
}

#endif
