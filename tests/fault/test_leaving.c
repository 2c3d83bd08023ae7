/* Planned stops: SIGTERM or a drain of an entry, and a backend server that leaves. Guards against answers that are cut
 * off or refused while an entry stops, and against new work for a backend server that has said it leaves. */

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "harness/client.h"

static cluster_t *cluster;

static GPid start_load(const char *seconds, const char *output)
{
    char *const entries = cluster_entry_addrs(cluster);
    const char *const load[] = {"trackcove-load",
                                "--entries",
                                entries,
                                "--admin",
                                cluster_addr(cluster, "stub"),
                                "--mix",
                                "sahel",
                                "--load",
                                "0.5",
                                "--warm",
                                "0",
                                "--seconds",
                                seconds,
                                "--cancel",
                                "0",
                                "--strict",
                                NULL};
    const GPid pid = cluster_run_async(cluster, load, output);
    g_free(entries);
    return pid;
}

/** Assert that each request of the load was answered completely: its own check passes, and none was refused, lost or of
 *  unknown outcome. */
static void assert_clean(GPid pid, const char *output)
{
    const int status = cluster_join(pid);
    /* Entries give up an engine that is silent for 350 ms, and the scheduler then avoids it: where the machine stalls
     * the engines, too few are left, and requests are refused. Stalls count until the load ends. */
    g_test_message("engines stalled for %lld ms since their start", cluster_stat(cluster, "stalled_ms"));
    char *const path = g_build_filename(cluster_dir(cluster), output, NULL);
    char *text = NULL;
    g_file_get_contents(path, &text, NULL, NULL);
    const char *const line = text ? strstr(text, "{\"scenario\"") : NULL;
    json_t *const result = line ? json_loads(line, JSON_DISABLE_EOF_CHECK, NULL) : NULL;
    if (status != 0 || !result || json_real_value(json_object_get(result, "refused")) > 0 ||
        json_integer_value(json_object_get(result, "unknown")) > 0)
        g_error("load generator exited with status %d: %s", status, line ? line : text);
    json_decref(result);
    g_free(text);
    g_free(path);
}

typedef struct {
    const char *entry;
    long long requests;
} served_t;

static bool has_served(void *arg)
{
    const served_t *const s = arg;
    return client_metric(cluster, s->entry, "trackcove_requests_total") > s->requests;
}

static void test_sigterm(void)
{
    const GPid load = start_load("8", "sigterm.out");
    served_t served = {.entry = "entry-2"};
    g_assert_true(cluster_wait_until(has_served, &served, 15000));
    cluster_signal(cluster, "entry-2", SIGTERM);
    g_assert_cmpint(cluster_wait_exit(cluster, "entry-2", 60000), ==, 0);
    assert_clean(load, "sigterm.out");
    cluster_spawn(cluster, "entry-2");
    g_assert_true(cluster_wait_ready(cluster, "entry-2", 20000));
}

/** An operator drains the box that schedules: it hands its cell over before it exits. */
static void test_drain_scheduler(void)
{
    char *const scheduler = cluster_scheduler(cluster, 10000);
    const GPid load = start_load("8", "drain.out");
    served_t served = {.entry = scheduler};
    g_assert_true(cluster_wait_until(has_served, &served, 15000));
    const char *const argv[] = {"trackcove",
                                "drain",
                                scheduler,
                                "--control",
                                cluster_addr(cluster, "control-1"),
                                "--token",
                                "demo-operator-token-0123456789abcdef",
                                NULL};
    /* The command finds the leader among the control boxes that it is given. */
    char *control = g_strdup_printf("%s,%s,%s", cluster_addr(cluster, "control-1"), cluster_addr(cluster, "control-2"),
                                    cluster_addr(cluster, "control-3"));
    const char *const drain[] = {argv[0], argv[1], argv[2], argv[3], control, argv[5], argv[6], NULL};
    g_assert_cmpint(cluster_run(cluster, drain, NULL), ==, 0);
    g_free(control);
    g_assert_cmpint(cluster_wait_exit(cluster, scheduler, 60000), ==, 0);
    assert_clean(load, "drain.out");
    char *const next = cluster_scheduler(cluster, 10000);
    g_assert_cmpstr(next, !=, scheduler);
    int status = 0;
    json_decref(cluster_call_leader(cluster, "/v1/drain",
                                    json_pack("{s:s,s:s,s:b}", "request_id", "undrain", "box", scheduler, "on", 0),
                                    &status, 10000));
    g_assert_cmpint(status, ==, 200);
    cluster_spawn(cluster, scheduler);
    g_assert_true(cluster_wait_ready(cluster, scheduler, 20000));
    g_free(next);
    g_free(scheduler);
}

static long long requests_started(const char *engine)
{
    json_t *const stats = cluster_call(cluster, "stub", "/admin/stats", NULL, NULL);
    long long n = -1;
    size_t i;
    json_t *e;
    json_array_foreach(json_object_get(stats, "engines"), i, e)
        if (strcmp(json_string_value(json_object_get(e, "name")), engine) == 0)
            n = json_integer_value(json_object_get(e, "started"));
    json_decref(stats);
    return n;
}

static bool d0_has_started_more(void *before)
{
    return requests_started("d0") > *(const long long *)before;
}

static void test_engine_leaves(void)
{
    enum { NO_NEW_WORK_AFTER_US = 3000000 };
    const GPid load = start_load("8", "engine.out");
    long long before = requests_started("d0");
    if (!cluster_wait_until(d0_has_started_more, &before, 15000)) /* as when the load generator could not start */
        g_error("d0 got no request: load generator exited with status %d", cluster_join(load));
    cluster_inject_fault(cluster, "d0", "leave", 0);
    cluster_inject_fault(cluster, "p0", "leave", 0);
    g_usleep(NO_NEW_WORK_AFTER_US); /* the guaranteed limit, not an estimate: no new work starts after it */
    const long long d0 = requests_started("d0"), p0 = requests_started("p0");
    assert_clean(load, "engine.out");
    g_assert_cmpint(requests_started("d0"), ==, d0);
    g_assert_cmpint(requests_started("p0"), ==, p0);
    cluster_inject_fault(cluster, "d0", "stay", 0);
    cluster_inject_fault(cluster, "p0", "stay", 0);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    const cluster_options_t options = {.deployment = "sahel", .entries = 4, .port_offset = cluster_unused_offset()};
    cluster = cluster_start(&options);
    g_assert_nonnull(cluster);
    g_test_add_func("/leaving/sigterm", test_sigterm);
    g_test_add_func("/leaving/drain-scheduler", test_drain_scheduler);
    g_test_add_func("/leaving/engine", test_engine_leaves);
    const int rc = g_test_run();
    cluster_stop(cluster, rc != 0);
    return rc;
}
