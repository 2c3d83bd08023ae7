/* What the leader keeps of the boxes that report to it.
 *
 * With 1,000 boxes and 10,000 back ends the leader lost its lease again and again after all had started at once: it
 * stood still for up to 0.6 s. Each of 1,000 reports in 0.3 s made the list of boxes anew, and looked up each of
 * thousands of back ends to tell what the other boxes have in flight there. Both grow with the square of the fleet.
 * Turns of the leader's loop showed where the time went.
 */

#include <glib.h>
#include <string.h>

#include "cluster/roster.h"

enum { REPORT_MS = 300 };

typedef struct {
    roster_t *roster;
    unsigned asked; /* whether a back end is an engine */
    unsigned lists; /* states of the list of boxes that were made */
    uint64_t hash;  /* of the last one */
} leader_t;

static roster_kind_t kind_of(void *arg, const char *id)
{
    ((leader_t *)arg)->asked++;
    return id[0] == 'e' ? ROSTER_DECODE : ROSTER_PLAIN;
}

/** A report of one box, which has @p busy engines and one plain back end, and its answer. */
static void report(leader_t *l, unsigned box, unsigned busy, tc_time_t now)
{
    backend_load_t loads[16];
    memset(loads, 0, sizeof(loads));
    g_assert_cmpuint(busy, <, G_N_ELEMENTS(loads));
    for (unsigned i = 0; i < busy; i++) {
        g_snprintf(loads[i].id, sizeof(loads[i].id), "e%u", box * busy + i);
        loads[i].running = 1;
    }
    codec_copy_string(loads[busy].id, sizeof(loads[busy].id), "plain");
    loads[busy].running = 1;
    msg_report_t message = {.loads = loads, .loads_n = busy + 1};
    g_snprintf(message.self.box, sizeof(message.self.box), "box%u", box);
    message.self.incarnation = 1;
    roster_update(l->roster, &message, now);
    const roster_loads_t told = roster_loads(l->roster, message.self.box, kind_of, l, false);
    g_assert_cmpuint(told.n, <=, 1); /* the engines are told now and then, the plain one always */
    free(told.list);
    const uint64_t hash = list_feed_hash(roster_list(l->roster, now));
    l->lists += hash != l->hash;
    l->hash = hash;
}

/** All boxes start within one interval between reports, and report for @p rounds of them. */
static leader_t run_rounds(unsigned boxes, unsigned rounds)
{
    enum { BUSY = 8 };
    leader_t l = {.roster = roster_create()};
    for (unsigned round = 0; round < rounds; round++)
        for (unsigned i = 0; i < boxes; i++)
            report(&l, i, BUSY, 1000 + (tc_time_t)round * REPORT_MS + (tc_time_t)i * REPORT_MS / boxes);
    g_assert_cmpuint(roster_count(l.roster), ==, boxes);
    uint32_t n;
    (void)list_feed_list(roster_list(l.roster, 1000 + rounds * REPORT_MS), &n);
    g_assert_cmpuint(n, ==, boxes); /* all are told in the end */
    roster_destroy(l.roster);
    return l;
}

static void test_lists_made(void)
{
    const unsigned of_few = run_rounds(100, 2).lists;
    g_assert_cmpuint(run_rounds(1000, 2).lists, <=, of_few);
    g_assert_cmpuint(run_rounds(2000, 2).lists, <=, of_few);
}

/** Each back end with work is looked up once for each time that it has work anew: a round later, not for each report.
 */
static void test_back_ends_looked_up(void)
{
    static const unsigned sizes[] = {250, 1000};
    unsigned asked[G_N_ELEMENTS(sizes)];
    for (guint k = 0; k < G_N_ELEMENTS(sizes); k++)
        asked[k] = run_rounds(sizes[k], 4).asked;
    g_assert_cmpuint(asked[1], <=, asked[0] * 4 * 5 / 4);
}

/* Each of 995 boxes was told the loads of 520 decode engines each 1.5 s, 10 MB a second, nearly all with one request
 * each: boxes times busy engines, both of which grow with the fleet. They are needed only where a box places alone, and
 * there an engine with one request of twelve is as good as an idle one. */

static void test_single_requests_are_not_told(void)
{
    enum { ENGINES = 500 };
    leader_t l = {.roster = roster_create()};
    msg_report_t message = {.self = {.box = "a", .incarnation = 1}};
    message.loads = g_new0(backend_load_t, ENGINES);
    message.loads_n = ENGINES;
    for (unsigned i = 0; i < ENGINES; i++) {
        g_snprintf(message.loads[i].id, sizeof(message.loads[i].id), "e%u", i);
        message.loads[i].running = 1;
    }
    roster_update(l.roster, &message, 1000);
    message.loads_n = 20; /* another box has a request at a few of them, too */
    codec_copy_string(message.self.box, sizeof(message.self.box), "b");
    roster_update(l.roster, &message, 1000);
    g_free(message.loads);
    const roster_loads_t told = roster_loads(l.roster, "c", kind_of, &l, true);
    g_assert_cmpuint(told.n, ==, 20);
    free(told.list);
    const roster_loads_t to_one = roster_loads(l.roster, "b", kind_of, &l, true);
    g_assert_cmpuint(to_one.n, ==, 0);
    free(to_one.list);
    roster_destroy(l.roster);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/roster/lists-made", test_lists_made);
    g_test_add_func("/roster/back-ends-looked-up", test_back_ends_looked_up);
    g_test_add_func("/roster/single-requests-are-not-told", test_single_requests_are_not_told);
    return g_test_run();
}
