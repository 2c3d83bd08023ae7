/* Losses of calls, judged by the boxes that report them. */

#include <glib.h>

#include "backend/loss_evidence.h"

/** A back end that has ended: every box loses its calls there and is answered elsewhere. All losses count. */
static void test_back_end_ended(void)
{
    loss_evidence_t *const e = loss_evidence_create();
    for (int i = 0; i < 3; i++) {
        loss_evidence_add_loss(e, "box-a", "ended");
        loss_evidence_add_answer(e, "box-a", "other");
        loss_evidence_add_loss(e, "box-b", "ended");
    }
    g_assert_cmpuint(loss_evidence_count(e, "ended"), ==, 6);
    g_assert_cmpuint(loss_evidence_count(e, "other"), ==, 0);
    loss_evidence_add_answer(e, "box-c", "ended");
    g_assert_cmpuint(loss_evidence_count(e, "ended"), ==, 0);
    loss_evidence_destroy(e);
}

/** A box that loses its calls at several back ends while others are answered: its losses count nowhere, those of the
 *  others do, until it is answered itself. */
static void test_box_cut_off(void)
{
    loss_evidence_t *const e = loss_evidence_create();
    loss_evidence_add_loss(e, "cut", "b1");
    loss_evidence_add_answer(e, "sound", "b2");
    g_assert_cmpuint(loss_evidence_count(e, "b1"), ==, 1); /* may be the back end */
    loss_evidence_add_loss(e, "cut", "b2");
    g_assert_true(loss_evidence_is_in_doubt(e, "cut"));
    g_assert_false(loss_evidence_is_in_doubt(e, "sound"));
    g_assert_cmpuint(loss_evidence_count(e, "b1"), ==, 0);
    loss_evidence_add_loss(e, "sound", "b1");
    g_assert_cmpuint(loss_evidence_count(e, "b1"), ==, 1);
    loss_evidence_add_answer(e, "cut", "b3");
    g_assert_false(loss_evidence_is_in_doubt(e, "cut"));
    g_assert_cmpuint(loss_evidence_count(e, "b1"), ==, 2);
    loss_evidence_destroy(e);
}

/** All back ends are down: nobody is answered, so no box is in doubt and all losses count. */
static void test_all_down(void)
{
    loss_evidence_t *const e = loss_evidence_create();
    loss_evidence_add_loss(e, "box-a", "b1");
    loss_evidence_add_loss(e, "box-a", "b2");
    loss_evidence_add_loss(e, "box-b", "b1");
    g_assert_false(loss_evidence_is_in_doubt(e, "box-a"));
    g_assert_cmpuint(loss_evidence_count(e, "b1"), ==, 2);
    loss_evidence_forget(e, "box-a");
    loss_evidence_forget(e, "box-b");
    g_assert_true(loss_evidence_is_empty(e));
    loss_evidence_destroy(e);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/loss-evidence/back-end-ended", test_back_end_ended);
    g_test_add_func("/loss-evidence/box-cut-off", test_box_cut_off);
    g_test_add_func("/loss-evidence/all-down", test_all_down);
    return g_test_run();
}
