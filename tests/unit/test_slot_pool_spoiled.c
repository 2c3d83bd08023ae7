/* The slot pool and back ends that spoil their answers.
 *
 * Guards against a back end that is granted on and on since each second of its answers is good: each of these ended
 * what the pool held against it. */

#include "backend/spoil_record.h"
#include "unit/slot_lab.h"

enum { CALLS = 100, CALL_MS = 1, BACKENDS = 3 };

/** How the first back end answers. */
typedef struct {
    unsigned one_in; /* of its answers is spoiled */
    bool alike;      /* all requests are the same one */
} manner_t;

/** Calls that end after CALL_MS each. @return spoiled answers */
static unsigned run_calls(lab_t *lab, const manner_t *manner)
{
    unsigned spoiled = 0, taken = 0;
    for (unsigned i = 0; i < CALLS; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "r%u", lab->requests_n++);
        const lab_ask_t ask = {
            .wait_ms = 1000, .patience_ms = 5000, .fingerprint = manner->alike ? 1 : lab->requests_n + 1};
        const msg_slot_take_t take = lab_make_take(id, i % 2 ? "a" : "b", &ask);
        slot_answer_t granted;
        slot_pool_take(lab->pool, &take, (slot_token_t){.a = i}, lab->now);
        g_assert_true(slot_pool_next_answer(lab->pool, &granted) && granted.taken.granted);
        lab->now += CALL_MS;
        const bool bad = strcmp(granted.taken.backend, "be-0") == 0 && ++taken % manner->one_in == 0;
        msg_slot_done_t done = slot_done_make("plain", take.box, id, granted.taken.backend, granted.taken.ticket,
                                              bad ? SLOT_OUTCOME_LOST : SLOT_OUTCOME_ANSWERED, CALL_MS);
        done.spoiled = bad;
        slot_pool_done(lab->pool, &done, lab->now);
        spoiled += bad;
    }
    lab->requests_n = 0;
    return spoiled;
}

/** No trial is due within CALLS. */
static void test_half(void)
{
    g_autoptr(lab_t) lab = lab_create(BACKENDS, 6, CALL_MS);
    g_assert_cmpuint(run_calls(lab, &(manner_t){.one_in = 2}), <=, SPOIL_REQUESTS + 1);
    lab->now += SPOIL_BACKOFF_MS;
    g_assert_cmpuint(run_calls(lab, &(manner_t){.one_in = 2}), <=, 1);
}

/** It is the only one: it is granted. */
static void test_no_other(void)
{
    g_autoptr(lab_t) lab = lab_create(1, 6, CALL_MS);
    g_assert_cmpuint(run_calls(lab, &(manner_t){.one_in = 2}), ==, CALLS / 2);
}

/** One request that makes it answer badly each second time is no reason to leave it. */
static void test_one_request(void)
{
    g_autoptr(lab_t) lab = lab_create(BACKENDS, 6, CALL_MS);
    g_assert_cmpuint(run_calls(lab, &(manner_t){.one_in = 2, .alike = true}), >, SPOIL_REQUESTS + 1);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/slot-pool-spoiled/half", test_half);
    g_test_add_func("/slot-pool-spoiled/no-other", test_no_other);
    g_test_add_func("/slot-pool-spoiled/one-request", test_one_request);
    return g_test_run();
}
