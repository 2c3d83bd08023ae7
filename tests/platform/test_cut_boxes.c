/* Boxes that are cut off from all back ends, while callers and the other boxes reach them.
 *
 * Guards against callers who are served far worse there: cut boxes served 2 of 125 first tries and answered the others
 * "not run" at once, or after several time-outs, while the other boxes served 172 of 176 and had room. */

#include "platform/cut_lab.h"

enum {
    LEARN_MS = 1000, /* from the cut on; the users' bound is 3 s */
    LOAD_MS = 1500
};

/** The users' bound: first tries at cut boxes are served at least two thirds as often as those at the others, or not
 *  more than 10 + 1 in 50 of all first tries fail there. */
static void expect_bound(const tries_t *cut, const tries_t *others)
{
    const unsigned all = cut->sent + others->sent, failed = cut->sent - cut->served;
    const bool rate = 3 * cut->served * others->sent >= 2 * others->served * cut->sent;
    g_test_message("cut boxes served %u of %u, the others %u of %u", cut->served, cut->sent, others->served,
                   others->sent);
    g_assert_cmpuint(others->served * 50, >=, others->sent * 49); /* the control: others are not affected */
    g_assert_true(rate || failed <= 10 + all / 50);
    g_assert_cmpuint(failed, <=, 10 + all / 50); /* stricter than the bound: nobody can tell who was cut */
}

static void cut_and_load(cut_world_t *w, int n, proxy_cut_t how)
{
    run_load(w, LOAD_MS / 3); /* connections that the cut can break */
    cut_boxes(w, n, how);
    run_load(w, LEARN_MS);
    run_load(w, LOAD_MS);
    const tries_t cut = count_tries(w, true), others = count_tries(w, false);
    expect_bound(&cut, &others);
    cut_boxes(w, 0, PROXY_CUT_NONE);
    run_load(w, LOAD_MS / 3);
    const tries_t healed = count_tries(w, false);
    g_assert_cmpuint(healed.served * 50, >=, healed.sent * 49);
}

/** Two of six boxes lose all paths, in each of the three ways. */
static void test_some(cut_world_t *w, gconstpointer data)
{
    cut_and_load(w, 2, (proxy_cut_t)GPOINTER_TO_INT(data));
}

/** All boxes but one lose all paths, which is more than a data centre. */
static void test_all_but_one(cut_world_t *w, gconstpointer data)
{
    cut_and_load(w, BOXES_N - 1, (proxy_cut_t)GPOINTER_TO_INT(data));
}

/** Control: a sound back end falls silent for a second and goes on. No box concludes that it is cut. */
static void test_paused_back_end(cut_world_t *w, gconstpointer data)
{
    (void)data;
    run_load(w, LOAD_MS / 3);
    lab_backend_freeze(w->servers[0], true);
    w->is_loaded = true;
    lab_run_for(w->lab.f.loop, 1000);
    lab_backend_freeze(w->servers[0], false);
    w->is_loaded = false;
    await_answers(&w->lab);
    run_load(w, LOAD_MS / 3);
    const tries_t all = count_tries(w, false);
    g_assert_cmpuint(all.served * 50, >=, all.sent * 49);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define ADD(name, fn, how)                                                                                             \
    g_test_add("/cut/" name, cut_world_t, GINT_TO_POINTER(how), set_up_cut_world, fn, tear_down_cut_world)
    ADD("some-silent", test_some, PROXY_CUT_SILENT);
    ADD("some-refuse", test_some, PROXY_CUT_REFUSE);
    ADD("some-reset", test_some, PROXY_CUT_RESET);
    ADD("all-but-one-silent", test_all_but_one, PROXY_CUT_SILENT);
    ADD("all-but-one-refuse", test_all_but_one, PROXY_CUT_REFUSE);
    ADD("paused-back-end", test_paused_back_end, PROXY_CUT_NONE);
    return g_test_run();
}
