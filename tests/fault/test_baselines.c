/* The policies that place without a scheduler: what an entry began it ends by itself. */

#include <string.h>

#include "harness/client.h"

enum { OFFSET = 9000, NOWHERE = 60000 };

static cluster_t *cluster;

/** Sum of a count over all decode engines. */
static json_int_t decode_sum(const char *key)
{
    json_t *const stats = cluster_call(cluster, "stub", "/admin/stats", NULL, NULL);
    json_int_t n = 0;
    size_t i;
    json_t *e;
    json_array_foreach(json_object_get(stats, "engines"), i, e)
        if (strcmp(json_string_value(json_object_get(e, "role")), "decode") == 0)
            n += json_integer_value(json_object_get(e, key));
    json_decref(stats);
    return n;
}

/** The next event of each decode engine that ends at @p place or behind it stops in its middle. */
static void halt_at(unsigned place)
{
    enum { MIDDLE = 40 };
    static const char *const engines[] = {"d0", "d1", "d2", "d3", "d4"};
    for (size_t i = 0; i < G_N_ELEMENTS(engines); i++) {
        int status = 0;
        json_decref(cluster_call(
            cluster, "stub", "/admin/fault",
            json_pack("{s:s,s:s,s:i,s:i}", "name", engines[i], "kind", "halt", "n", MIDDLE, "place", (int)place),
            &status));
        g_assert_cmpint(status, ==, 200);
    }
}

static bool halted(void *arg)
{
    (void)arg;
    return decode_sum("stopped") > 0;
}

static bool one_runs(void *arg)
{
    (void)arg;
    return decode_sum("live") == 1;
}

/** A decode engine is silent within its first event, and another brings the answer: the first one lets go of it. */
static void test_silent_engine_is_let_go(void)
{
    client_t c;
    client_init(&c, "silent", 500, 8000); /* a minute of decode at least */
    halt_at(1);
    client_start(&c, cluster, "entry-1");
    g_assert_true(cluster_wait_until(halted, NULL, 10000));
    halt_at(NOWHERE);
    g_assert_true(client_wait_tokens(&c, 1, 20000));
    g_assert_true(cluster_wait_until(one_runs, NULL, 5000));
    atomic_store(&c.disconnect, true);
    client_join(&c);
    g_assert_false(c.wrong || c.duplicated);
    g_assert_true(client_wait_idle(cluster, 5000));
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    const cluster_options_t options = {.deployment = "sahel",
                                       .entries = 1,
                                       .port_offset = OFFSET,
                                       .config_patch = "{\"policy\":\"random\",\"targets\":{\"ttft_ms\":20000}}"};
    cluster = cluster_start(&options);
    g_assert_nonnull(cluster);
    g_test_add_func("/baselines/silent-engine-is-let-go", test_silent_engine_is_let_go);
    const int rc = g_test_run();
    cluster_stop(cluster, rc != 0);
    return rc;
}
