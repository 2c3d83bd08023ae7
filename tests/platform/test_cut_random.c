/* Paths from boxes to back ends that are cut and heal at random, in the three ways, some at a time and overlapping.
 *
 * Guards against a request that runs twice, or ran although its caller was told that it did not, since its connection
 * went through another box; and against boxes that do not recover once the paths have healed. The runs that back ends
 * count are the oracle. CUT_SEEDS sets the number of seeds, RANDOM_FIRST the first. */

#include <stdlib.h>

#include "platform/cut_lab.h"

enum {
    SEEDS_DEFAULT = 2,
    CHANGES = 14,
    CHANGE_MIN_MS = 50,
    CHANGE_MAX_MS = 600,
    HEALED_MS = 2500 /* longer than between two probes of a cut path */
};

static int setting(const char *name, int otherwise)
{
    const char *const text = getenv(name);
    return text ? atoi(text) : otherwise;
}

/** Cuts or heals a random box; the last one always reaches the back ends, or nobody could serve. */
static void change_path(cut_world_t *w, GRand *random)
{
    const int box = g_rand_int_range(random, 0, BOXES_N - 1);
    cut_box(w, box, (proxy_cut_t)g_rand_int_range(random, 0, PROXY_CUTS));
}

/** What the callers were told is what the back ends saw. */
static void check_runs(const cut_world_t *w)
{
    for (guint i = 0; i < w->lab.calls->len; i++) {
        const lab_call_t *const call = g_ptr_array_index(w->lab.calls, i);
        char id[16];
        g_snprintf(id, sizeof(id), "%08x", i + 1);
        const unsigned runs = GPOINTER_TO_UINT(g_hash_table_lookup(w->runs, id));
        const bool is_safe = i / BOXES_N % 3 == 0; /* as send_request chooses the path */
        g_assert_cmpuint(runs, <=, is_safe ? 2 : 1);
        if (call->status == 503)
            g_assert_cmpuint(runs, ==, 0);
        if (call->status == 200)
            g_assert_cmpuint(runs, >=, 1);
    }
}

static void test_random(cut_world_t *w, gconstpointer data)
{
    GRand *const random = g_rand_new_with_seed((guint32)GPOINTER_TO_INT(data));
    w->is_loaded = true;
    for (int i = 0; i < CHANGES; i++) {
        lab_run_for(w->lab.f.loop, g_rand_int_range(random, CHANGE_MIN_MS, CHANGE_MAX_MS));
        change_path(w, random);
    }
    cut_boxes(w, 0, PROXY_CUT_NONE);
    lab_run_for(w->lab.f.loop, HEALED_MS);
    w->is_loaded = false;
    await_answers(&w->lab);
    check_runs(w);
    run_load(w, 500);
    const tries_t healed = count_tries(w, false);
    g_assert_cmpuint(healed.served * 50, >=, healed.sent * 49);
    check_runs(w);
    for (int i = 0; i < BOXES_N; i++)
        g_assert_false(egress_is_cut_off(w->lab.entries[i].egress));
    g_rand_free(random);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    const int first = setting("RANDOM_FIRST", 1), seeds = setting("CUT_SEEDS", SEEDS_DEFAULT);
    for (int seed = first; seed < first + seeds; seed++) {
        char name[32];
        g_snprintf(name, sizeof(name), "/cut-random/%d", seed);
        g_test_add(name, cut_world_t, GINT_TO_POINTER(seed), set_up_cut_world, test_random, tear_down_cut_world);
    }
    return g_test_run();
}
