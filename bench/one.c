/** @file one.c
 * A single load run, for comparing two builds:
 * TRACKCOVE_BIN=build/bin build/bench/one MIX LOAD SEED NAME [SECONDS] [CANCEL] [PATCH]
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness/cluster.h"

int main(int argc, char **argv)
{
    enum { PORTS = 2000 };
    if (argc < 5) {
        fprintf(stderr, "usage: one MIX LOAD SEED NAME [SECONDS] [CANCEL] [PATCH]\n");
        return 2;
    }
    const cluster_options_t options = {.deployment = argv[1],
                                       .port_offset = (unsigned)(strlen(argv[4]) % 6) * PORTS,
                                       .config_patch = argc > 7 ? argv[7] : NULL};
    cluster_t *const c = cluster_start(&options);
    if (!c)
        return 1;
    char *const entries = cluster_entry_addrs(c);
    const char *const load[] = {"trackcove-load",
                                "--entries",
                                entries,
                                "--admin",
                                cluster_addr(c, "stub"),
                                "--mix",
                                argv[1],
                                "--load",
                                argv[2],
                                "--seed",
                                argv[3],
                                "--policy",
                                argv[4],
                                "--warm",
                                "3",
                                "--seconds",
                                argc > 5 ? argv[5] : "8",
                                "--cancel",
                                argc > 6 ? argv[6] : "0.02",
                                "--quiet",
                                NULL};
    char *output = NULL;
    const int status = cluster_run(c, load, &output);
    printf("%s", output ? output : "");
    g_free(output);
    g_free(entries);
    cluster_stop(c, false);
    return status;
}
