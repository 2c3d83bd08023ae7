/** @file scale.c
 * Scaling of the running system: costs by number of entry boxes, changes and requests. `make bench-scale`.
 *
 * Processor time is the kernel's count, summed over the threads of a process;
 * bytes are the processes' own counters of bytes sent and received.
 */

#include <dirent.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness/client.h"
#include "harness/cluster.h"

enum { PORT_OFFSET = 14000, IDLE_US = 5000000 };

static void print_point(const char *measure, double x, double y)
{
    printf("{\"measure\":\"%s\",\"x\":%g,\"y\":%.6g}\n", measure, x, y);
    fflush(stdout);
}

static double now_ms(void)
{
    return (double)g_get_monotonic_time() / 1000;
}

/* ===== Costs of a process ===== */

static double cpu_ms(GPid pid)
{
    char *const path = g_strdup_printf("/proc/%d/task", pid);
    DIR *const tasks = opendir(path);
    double sum = 0;
    for (const struct dirent *t = tasks ? readdir(tasks) : NULL; t; t = readdir(tasks)) {
        char *const file = g_strdup_printf("%s/%s/schedstat", path, t->d_name);
        char *text = NULL;
        if (t->d_name[0] != '.' && g_file_get_contents(file, &text, NULL, NULL))
            sum += strtod(text, NULL) / 1e6;
        g_free(text);
        g_free(file);
    }
    if (tasks)
        closedir(tasks);
    g_free(path);
    return sum;
}

static double resident_mb(GPid pid)
{
    char *const path = g_strdup_printf("/proc/%d/status", pid);
    char *text = NULL;
    double mb = 0;
    if (g_file_get_contents(path, &text, NULL, NULL)) {
        const char *const at = strstr(text, "VmRSS:");
        mb = at ? strtod(at + 6, NULL) / 1024 : 0;
    }
    g_free(text);
    g_free(path);
    return mb;
}

static double peer_bytes(cluster_t *c, const char *name)
{
    return (double)(client_metric(c, name, "trackcove_peer_bytes_sent_total") +
                    client_metric(c, name, "trackcove_peer_bytes_received_total"));
}

/* ===== Idle: costs by number of entry boxes ===== */

static cluster_t *start(const char *deployment, unsigned entries)
{
    const cluster_options_t options = {.deployment = deployment, .entries = entries, .port_offset = PORT_OFFSET};
    cluster_t *const c = cluster_start(&options);
    if (!c)
        exit(1);
    return c;
}

static void measure_idle(unsigned entries)
{
    cluster_t *const c = start("sahel", entries);
    char *const scheduler = cluster_scheduler(c, 10000);
    const char *const leader = cluster_leader(c, 10000);
    const char *const plain = strcmp(scheduler, "entry-1") == 0 ? "entry-2" : "entry-1";
    g_usleep(IDLE_US / 2); /* startup is complete */
    const char *const names[] = {leader, plain, scheduler};
    static const char *const kinds[] = {"leader", "entry", "scheduler"};
    double cpu[3], bytes[3];
    const double begin = now_ms();
    for (int i = 0; i < 3; i++) {
        cpu[i] = cpu_ms(cluster_pid(c, names[i]));
        bytes[i] = peer_bytes(c, names[i]);
    }
    g_usleep(IDLE_US);
    const double elapsed_ms = now_ms() - begin;
    for (int i = 0; i < 3; i++) {
        char measure[48];
        snprintf(measure, sizeof(measure), "idle_%s_core_share", kinds[i]);
        print_point(measure, entries, (cpu_ms(cluster_pid(c, names[i])) - cpu[i]) / elapsed_ms);
        snprintf(measure, sizeof(measure), "idle_%s_bytes_s", kinds[i]);
        print_point(measure, entries, (peer_bytes(c, names[i]) - bytes[i]) * 1000 / elapsed_ms);
        snprintf(measure, sizeof(measure), "idle_%s_mb", kinds[i]);
        print_point(measure, entries, resident_mb(cluster_pid(c, names[i])));
    }
    g_free(scheduler);
    cluster_stop(c, false);
}

/* ===== Under load: costs per request and per token ===== */

typedef struct {
    double cpu, bytes, frames, requests, tokens, sched_us, granted;
} totals_t;

static totals_t totals(cluster_t *c, unsigned entries)
{
    totals_t t = {0};
    for (unsigned i = 1; i <= entries; i++) {
        char name[32];
        snprintf(name, sizeof(name), "entry-%u", i);
        t.cpu += cpu_ms(cluster_pid(c, name));
        t.bytes += peer_bytes(c, name);
        t.frames += (double)client_metric(c, name, "trackcove_peer_frames_sent_total");
        t.requests += (double)client_metric(c, name, "trackcove_requests_total");
        t.tokens += (double)client_metric(c, name, "trackcove_tokens_total");
        t.sched_us += (double)client_metric(c, name, "trackcove_sched_core_us_total");
        t.granted += (double)client_metric(c, name, "trackcove_sched_granted_total");
    }
    return t;
}

static int compare_doubles(const void *a, const void *b)
{
    const double x = *(const double *)a, y = *(const double *)b;
    return x < y ? -1 : (x > y ? 1 : 0);
}

/** Percentiles of the waiting time for a placement, from the logs of the entry boxes. */
static void place_percentiles(const cluster_t *c, unsigned entries, double load)
{
    GArray *const waits = g_array_new(FALSE, FALSE, sizeof(double));
    for (unsigned i = 1; i <= entries; i++) {
        char *const path = g_strdup_printf("%s/log/entry-%u.log", cluster_dir(c), i);
        char *text = NULL;
        g_file_get_contents(path, &text, NULL, NULL);
        for (const char *at = text ? strstr(text, "\"place_us\":") : NULL; at; at = strstr(at + 1, "\"place_us\":")) {
            const double us = strtod(at + strlen("\"place_us\":"), NULL);
            g_array_append_val(waits, us);
        }
        g_free(text);
        g_free(path);
    }
    qsort(waits->data, waits->len, sizeof(double), compare_doubles);
    if (waits->len > 0) {
        print_point("place_wait_p50_us", load, g_array_index(waits, double, waits->len / 2));
        print_point("place_wait_p99_us", load, g_array_index(waits, double, waits->len * 99 / 100));
    }
    g_array_free(waits, TRUE);
}

static void measure_load(double load)
{
    enum { ENTRIES = 9 };
    cluster_t *const c = start("sahel", ENTRIES);
    g_usleep(IDLE_US / 5);
    const totals_t idle_begin = totals(c, ENTRIES);
    const double begin = now_ms();
    g_usleep(IDLE_US / 2);
    const totals_t idle_end = totals(c, ENTRIES);
    const double idle_elapsed_ms = now_ms() - begin;
    char *const entries = cluster_entry_addrs(c);
    char text[16];
    snprintf(text, sizeof(text), "%g", load);
    const char *const argv[] = {"trackcove-load",
                                "--entries",
                                entries,
                                "--admin",
                                cluster_addr(c, "stub"),
                                "--mix",
                                "sahel",
                                "--load",
                                text,
                                "--warm",
                                "0",
                                "--seconds",
                                "6",
                                "--quiet",
                                NULL};
    const double load_begin = now_ms();
    cluster_run(c, argv, NULL);
    const double elapsed_ms = now_ms() - load_begin;
    const totals_t end = totals(c, ENTRIES);
    const double requests = end.requests - idle_end.requests, tokens = end.tokens - idle_end.tokens;
    const double idle = elapsed_ms / idle_elapsed_ms;
    print_point("load_cpu_us_a_token", load,
                ((end.cpu - idle_end.cpu) - (idle_end.cpu - idle_begin.cpu) * idle) * 1000 / tokens);
    print_point("load_peer_bytes_a_request", load,
                ((end.bytes - idle_end.bytes) - (idle_end.bytes - idle_begin.bytes) * idle) / requests);
    print_point("load_frames_a_request", load,
                ((end.frames - idle_end.frames) - (idle_end.frames - idle_begin.frames) * idle) / requests);
    print_point("load_sched_us_a_placement", load,
                (end.sched_us - idle_end.sched_us) / (end.granted - idle_end.granted));
    print_point("load_entry_mb", load, resident_mb(cluster_pid(c, "entry-3")));
    place_percentiles(c, ENTRIES, load);
    g_free(entries);
    cluster_stop(c, false);
}

/* ===== Changes ===== */

static bool submit_change(cluster_t *c, const char *name, int value)
{
    char patch[64];
    snprintf(patch, sizeof(patch), "{\"targets\":{\"max_queue\":%d}}", value);
    return client_change_config(c, name, patch) == 200;
}

/** Time from sending the confirmation until the change is in force on all boxes, ms; -1: the change failed. */
static double time_in_force(cluster_t *c, int number)
{
    char request[32];
    snprintf(request, sizeof(request), "force-%d", number);
    const double begin = now_ms();
    if (!submit_change(c, request, 1000 + number))
        return -1;
    for (;;) {
        json_t *const status = cluster_call_leader(c, "/v1/status", NULL, NULL, 1000);
        const bool done = json_integer_value(json_object_get(status, "accepted")) ==
                          json_integer_value(json_object_get(status, "in_force"));
        json_decref(status);
        if (done)
            return now_ms() - begin;
        g_usleep(2000);
    }
}

static void measure_in_force(const char *deployment, unsigned entries, bool restarting)
{
    enum { CHANGES = 40 };
    cluster_t *const c = start(deployment, 0);
    client_wait_in_force(c, 20000);
    double times[CHANGES];
    int n = 0;
    for (int i = 0; i < CHANGES; i++) {
        if (restarting && i % 10 == 5) {
            cluster_signal(c, "entry-2", SIGKILL);
            cluster_spawn(c, "entry-2");
        }
        const double ms = time_in_force(c, i);
        if (ms >= 0)
            times[n++] = ms;
    }
    qsort(times, (size_t)n, sizeof(double), compare_doubles);
    print_point(restarting ? "in_force_restart_p50_ms" : "in_force_p50_ms", entries, times[n / 2]);
    print_point(restarting ? "in_force_restart_p99_ms" : "in_force_p99_ms", entries, times[n * 99 / 100]);
    cluster_stop(c, false);
}

/* ===== Leader failover, catch-up, rate of changes ===== */

static json_int_t read_version(cluster_t *c, const char *control)
{
    json_t *const config = cluster_call(c, control, "/v1/config", NULL, NULL);
    const json_int_t version = json_integer_value(json_object_get(config, "version"));
    json_decref(config);
    return version;
}

static void measure_control(void)
{
    enum { CHANGES = 500, LEADER_KILLS = 5 };
    cluster_t *const c = start("sahel", 2);
    const char *leader = cluster_leader(c, 10000);
    const char *const behind = strcmp(leader, "control-3") == 0 ? "control-2" : "control-3";
    cluster_signal(c, behind, SIGKILL);
    const double begin = now_ms();
    for (int i = 0; i < CHANGES; i++) {
        char request[32];
        snprintf(request, sizeof(request), "rate-%d", i);
        if (!submit_change(c, request, 2000 + i))
            exit(1);
    }
    print_point("changes_a_second", CHANGES, CHANGES * 1000 / (now_ms() - begin));
    const json_int_t newest = read_version(c, leader);
    const double spawn = now_ms();
    cluster_spawn(c, behind);
    while (read_version(c, behind) < newest)
        g_usleep(5000);
    print_point("catch_up_ms", CHANGES, now_ms() - spawn);
    double sum = 0, worst = 0;
    for (int i = 0; i < LEADER_KILLS; i++) {
        leader = cluster_leader(c, 10000);
        char request[32];
        snprintf(request, sizeof(request), "after-kill-%d", i);
        const double killed = now_ms();
        cluster_signal(c, leader, SIGKILL);
        while (!submit_change(c, request, 3000 + i))
            g_usleep(5000);
        const double ms = now_ms() - killed;
        sum += ms;
        worst = ms > worst ? ms : worst;
        cluster_spawn(c, leader);
        client_wait_in_force(c, 20000);
    }
    print_point("leader_loss_mean_ms", LEADER_KILLS, sum / LEADER_KILLS);
    print_point("leader_loss_worst_ms", LEADER_KILLS, worst);
    cluster_stop(c, false);
}

int main(int argc, char **argv)
{
    static const unsigned entries[] = {3, 9, 30, 60, 120};
    static const double loads[] = {0.2, 0.5, 1.0};
    if (argc > 1 && strcmp(argv[1], "load") == 0) { /* the costs per token only, for comparing two builds */
        measure_load(1.0);
        return 0;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(entries); i++)
        measure_idle(entries[i]);
    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++)
        measure_load(loads[i]);
    measure_in_force("sahel", 9, false);
    measure_in_force("river", 11, false);
    measure_in_force("sahel", 9, true);
    measure_control();
    return 0;
}
