/** @file bench.c
 * Compares scheduling policies at current deployment sizes, with and without faults: `make bench`.
 *
 * Each line of output is one run of one policy; lines also go to the output file.
 * Runs with the same seed have the same arrivals and prompts. Several deployments
 * run in parallel on different ports.
 */

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend/http_client.h"
#include "harness/cluster.h"

/* ===== The matrix ===== */

typedef enum { NO_FAULT, KILL_ENTRY, KILL_SCHEDULER, KILL_ENGINE, STALL_TRANSFER, FREEZE_ENTRY } fault_t;

static const char *const fault_names[] = {"plain",         "entry_killed",     "scheduler_killed",
                                          "engine_killed", "transfer_stalled", "entry_frozen"};

typedef struct {
    const char *deployment, *policy, *scenario, *stub_args;
    double load;
    int seed;
    fault_t fault;
} run_t;

static gchar *opt_out = "bench/results/policies.jsonl", *opt_only, *opt_policy;
static gdouble opt_seconds = 8;
static gint opt_seeds = 3, opt_parallel = 3, opt_ports;

enum { SHIFT_AT_S = 12, SHIFT_AFTER_S = 20 };
enum { WARMUP_S = 3, PORTS_PER_WORKER = 2000 };

static GArray *runs;
static GMutex lock;
static guint next_run;
static FILE *out;
static int failures;

static void add_run(const char *deployment, const char *policy, const char *scenario, const char *stub_args,
                    double load, int seed, fault_t fault)
{
    if ((opt_only && strcmp(opt_only, scenario) != 0) || (opt_policy && strcmp(opt_policy, policy) != 0))
        return;
    const run_t run = {deployment, policy, scenario, stub_args, load, seed, fault};
    g_array_append_val(runs, run);
}

/** Short prompts, then long ones: engines with fixed roles compared with the planner. */
static void add_load_shift_runs(void)
{
    for (int seed = 1; seed <= opt_seeds; seed++) {
        add_run("sahel", "cell", "load_shift", NULL, 1.2, seed, NO_FAULT);
        add_run("sahel", "planner", "load_shift", NULL, 1.2, seed, NO_FAULT);
    }
}

static void add_all_runs(void)
{
    static const char *const deployments[] = {"sahel", "river"};
    static const char *const policies[] = {"random", "least_loaded", "share", "cell"};
    static const double loads[] = {0.7, 1.0, 1.3, 2.0};
    for (size_t d = 0; d < G_N_ELEMENTS(deployments); d++)
        for (int seed = 1; seed <= opt_seeds; seed++) {
            for (size_t l = 0; l < G_N_ELEMENTS(loads); l++)
                for (size_t p = 0; p < G_N_ELEMENTS(policies); p++)
                    add_run(deployments[d], policies[p], "plain", NULL, loads[l], seed, NO_FAULT);
            for (size_t p = 0; p < G_N_ELEMENTS(policies); p++)
                add_run(deployments[d], policies[p], "lag_doubled", "--load-lag-ms 1000", 1.0, seed, NO_FAULT);
            for (int f = KILL_ENTRY; f <= FREEZE_ENTRY; f++) {
                add_run(deployments[d], "cell", fault_names[f], NULL, 0.7, seed, (fault_t)f);
                add_run(deployments[d], "least_loaded", fault_names[f], NULL, 0.7, seed, (fault_t)f);
            }
        }
    add_load_shift_runs();
    for (size_t d = 0; d < G_N_ELEMENTS(deployments); d++)
        for (int seed = 1; seed <= opt_seeds; seed++) {
            add_run(deployments[d], "cell", "nobody_leaves", NULL, 1.0, seed, NO_FAULT);
            add_run(deployments[d], "least_loaded", "nobody_leaves", NULL, 1.0, seed, NO_FAULT);
        }
}

/* ===== Faults ===== */

static void kill_and_restart(cluster_t *c, const char *name)
{
    enum { DOWN_US = 2000000 };
    cluster_signal(c, name, SIGKILL);
    g_usleep(DOWN_US);
    cluster_spawn(c, name);
}

static char *find_non_scheduler_entry(cluster_t *c)
{
    char *const scheduler = cluster_scheduler(c, 3000);
    char *const name = g_strdup(scheduler && strcmp(scheduler, "entry-1") == 0 ? "entry-2" : "entry-1");
    g_free(scheduler);
    return name;
}

static void inject_fault(cluster_t *c, fault_t fault)
{
    enum { FREEZE_US = 3000000, ENGINE_DOWN_US = 3000000, STALL_MS = 1500 };
    char *name = fault == KILL_SCHEDULER ? cluster_scheduler(c, 3000) : find_non_scheduler_entry(c);
    switch (fault) {
    case KILL_ENTRY:
    case KILL_SCHEDULER: kill_and_restart(c, name ? name : "entry-1"); break;
    case KILL_ENGINE:
        cluster_inject_fault(c, "d0", "die", 0);
        g_usleep(ENGINE_DOWN_US);
        cluster_inject_fault(c, "d0", "revive", 0);
        break;
    case STALL_TRANSFER:
        cluster_inject_fault(c, "d0", "stall", STALL_MS);
        cluster_inject_fault(c, "d1", "stall", STALL_MS);
        break;
    case FREEZE_ENTRY:
        cluster_signal(c, name, SIGSTOP);
        g_usleep(FREEZE_US);
        cluster_signal(c, name, SIGCONT);
        break;
    case NO_FAULT: break;
    }
    g_free(name);
}

/* ===== One run ===== */

static char *run_load(cluster_t *c, const run_t *run)
{
    char load[16], seconds[16], warm[16], seed[16];
    snprintf(load, sizeof(load), "%g", run->load);
    snprintf(seconds, sizeof(seconds), "%g", opt_seconds);
    snprintf(warm, sizeof(warm), "%d", WARMUP_S);
    snprintf(seed, sizeof(seed), "%d", run->seed);
    const bool shift = strcmp(run->scenario, "load_shift") == 0;
    if (shift)
        snprintf(seconds, sizeof(seconds), "%d", SHIFT_AT_S + SHIFT_AFTER_S);
    char *const entries = cluster_entry_addrs(c);
    char at[16];
    snprintf(at, sizeof(at), "%d", SHIFT_AT_S);
    const char *const argv[] = {"trackcove-load",
                                "--entries",
                                entries,
                                "--admin",
                                cluster_addr(c, "stub"),
                                "--mix",
                                shift ? "sahel-short" : run->deployment,
                                "--load",
                                load,
                                "--seconds",
                                seconds,
                                "--warm",
                                warm,
                                "--seed",
                                seed,
                                "--scenario",
                                run->scenario,
                                "--policy",
                                run->policy,
                                "--quiet",
                                "--cancel",
                                strcmp(run->scenario, "nobody_leaves") == 0 ? "0" : "0.02",
                                shift ? "--then" : NULL,
                                "sahel-long",
                                "--shift-at",
                                at,
                                NULL};
    const GPid pid = cluster_run_async(c, argv, "load.out");
    if (run->fault != NO_FAULT) {
        g_usleep((gulong)((WARMUP_S + opt_seconds * 0.3) * 1e6));
        inject_fault(c, run->fault);
    }
    const int status = cluster_join(pid);
    char *const path = g_build_filename(cluster_dir(c), "load.out", NULL);
    char *text = NULL;
    g_file_get_contents(path, &text, NULL, NULL);
    g_free(path);
    g_free(entries);
    if (status == 0)
        return text;
    fprintf(stderr, "trackcove-load for %s %s exited with status %d: %s\n", run->deployment, run->policy, status,
            text ? text : "");
    g_free(text);
    return NULL;
}

static void execute_run(const run_t *run, unsigned worker)
{
    char patch[192];
    const bool planner = strcmp(run->policy, "planner") == 0;
    snprintf(patch, sizeof(patch),
             "{\"policy\":\"%s\",\"planner\":{\"enabled\":%s,\"sustain_ms\":2000,\"min_stay_ms\":4000}}",
             planner ? "cell" : run->policy, planner ? "true" : "false");
    const cluster_options_t options = {.deployment = run->deployment,
                                       .config_patch = patch,
                                       .entry_patch = "{\"threads\":160}", /* several deployments run in parallel */
                                       .stub_args = run->stub_args,
                                       .port_offset = (unsigned)opt_ports + worker * PORTS_PER_WORKER};
    cluster_t *const c = cluster_start(&options);
    char *const text = c ? run_load(c, run) : NULL;
    const char *const line = text ? strstr(text, "{\"scenario\"") : NULL;
    g_mutex_lock(&lock);
    if (line) {
        fputs(line, out);
        fputs(line, stdout);
        fflush(out);
        fflush(stdout);
    } else {
        failures++;
    }
    g_mutex_unlock(&lock);
    g_free(text);
    if (c)
        cluster_stop(c, false);
}

static gpointer run_worker(gpointer arg)
{
    for (;;) {
        g_mutex_lock(&lock);
        const run_t *const run = next_run < runs->len ? &g_array_index(runs, run_t, next_run++) : NULL;
        g_mutex_unlock(&lock);
        if (!run)
            return NULL;
        execute_run(run, GPOINTER_TO_UINT(arg));
    }
}

int main(int argc, char **argv)
{
    const GOptionEntry entries[] = {
        {"out", 'o', 0, G_OPTION_ARG_FILENAME, &opt_out, "output file", "FILE"},
        {"seconds", 't', 0, G_OPTION_ARG_DOUBLE, &opt_seconds, "duration of a measurement, s (8)", "S"},
        {"seeds", 's', 0, G_OPTION_ARG_INT, &opt_seeds, "number of seeds (3)", "N"},
        {"parallel", 'p', 0, G_OPTION_ARG_INT, &opt_parallel, "deployments run in parallel (3)", "N"},
        {"policy", 0, 0, G_OPTION_ARG_STRING, &opt_policy, "run one policy only", "NAME"},
        {"ports", 0, 0, G_OPTION_ARG_INT, &opt_ports, "added to every port (0)", "N"},
        {"only", 0, 0, G_OPTION_ARG_STRING, &opt_only, "run one scenario only", "NAME"},
        {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};
    GOptionContext *const context = g_option_context_new("- compare scheduling policies");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "bench: %s\n", error->message);
        return 2;
    }
    runs = g_array_new(FALSE, FALSE, sizeof(run_t));
    add_all_runs();
    out = fopen(opt_out, "w");
    if (!out) {
        fprintf(stderr, "bench: cannot open output file %s\n", opt_out);
        return 1;
    }
    cluster_init();
    GThread *threads[16];
    const int n = opt_parallel < 16 ? opt_parallel : 16;
    for (int i = 0; i < n; i++)
        threads[i] = g_thread_new("bench", run_worker, GUINT_TO_POINTER(i));
    for (int i = 0; i < n; i++)
        g_thread_join(threads[i]);
    fclose(out);
    fprintf(stderr, "%u runs, %d failed\n", runs->len, failures);
    return failures ? 1 : 0;
}
