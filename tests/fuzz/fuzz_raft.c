/* libFuzzer over the same operations as the randomised run, with the same oracle. Its last line counts them. */

#include <stdio.h>
#include <stdlib.h>

#include "harness/raft_sim.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static uint64_t operations, checks;

static void print_counts(void)
{
    printf("fuzz_raft: %llu operations tried, %llu promises checked\n", (unsigned long long)operations,
           (unsigned long long)checks);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (operations == 0)
        atexit(print_counts);
    chooser_t chooser = {.bytes = data, .size = size};
    const raft_sim_options_t options = {.nodes = size % 2 ? 3 : 5, .steps = 2000};
    const raft_sim_result_t result = raft_sim_run(&options, &chooser);
    operations += result.operations + 1;
    checks += result.checks;
    if (result.violation) {
        fprintf(stderr, "broken: %s\n", result.violation);
        abort();
    }
    return 0;
}
