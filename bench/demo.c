/** @file demo.c
 * Starts a deployment of real processes, runs callers and verifies every answer: `make demo`.
 */

#include <stdio.h>

#include "harness/cluster.h"

int main(int argc, char **argv)
{
    const char *const deployment = argc > 1 ? argv[1] : "sahel";
    const char *const seconds = argc > 2 ? argv[2] : "8";
    printf("starting %s: stub engines, 3 control boxes, entry boxes\n", deployment);
    const cluster_options_t options = {.deployment = deployment, .port_offset = 5000};
    cluster_t *const cluster = cluster_start(&options);
    if (!cluster)
        return 1;
    char *const entries = cluster_entry_addrs(cluster);
    printf("entries: %s\n", entries);
    const char *const load[] = {"trackcove-load", "--entries", entries,  "--admin", cluster_addr(cluster, "stub"),
                                "--mix",          deployment,  "--load", "0.7",     "--seconds",
                                seconds,          "--strict",  NULL};
    char *output = NULL;
    const int status = cluster_run(cluster, load, &output);
    printf("%s%s\n", output ? output : "", status == 0 ? "demo: all answers verified" : "demo: FAILED");
    g_free(output);
    g_free(entries);
    cluster_stop(cluster, status != 0);
    return status;
}
