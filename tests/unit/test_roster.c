/* The leader's roster of the boxes that report to it.
 *
 * Guards against work that grows with the square of the fleet: when 1,000 boxes with 10,000 back ends started at once,
 * the leader stalled for up to 0.6 s and lost its lease repeatedly. Each of 1,000 reports in 0.3 s rebuilt the list of
 * boxes, and looked up each of thousands of back ends to send what the other boxes have in flight there.
 */

#include <glib.h>
#include <string.h>

#include "cluster/roster.h"

enum { REPORT_MS = 300 };

typedef struct {
    roster_t *roster;
    unsigned asked; /* number of calls of kind_of */
    unsigned lists; /* number of states of the published list */
    uint64_t hash;  /* of the last state */
} roster_use_t;

static roster_kind_t kind_of(void *arg, const char *id)
{
    ((roster_use_t *)arg)->asked++;
    return id[0] == 'e' ? ROSTER_DECODE : ROSTER_PLAIN;
}

/** Take a report of a box with work at @p busy engines and one plain back end, and build its answer. */
static void report(roster_use_t *l, unsigned box, unsigned busy, tc_time_t now)
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
    const roster_loads_t loads_sent = roster_loads(l->roster, message.self.box, kind_of, l, false);
    g_assert_cmpuint(loads_sent.n, <=, 1); /* loads of engines are sent only periodically */
    free(loads_sent.list);
    const uint64_t hash = list_publisher_hash(roster_list(l->roster, now));
    l->lists += hash != l->hash;
    l->hash = hash;
}

/** All boxes start within one report interval, and report for @p rounds intervals. */
static roster_use_t run_rounds(unsigned boxes, unsigned rounds)
{
    enum { BUSY = 8 };
    roster_use_t l = {.roster = roster_create()};
    for (unsigned round = 0; round < rounds; round++)
        for (unsigned i = 0; i < boxes; i++)
            report(&l, i, BUSY, 1000 + (tc_time_t)round * REPORT_MS + (tc_time_t)i * REPORT_MS / boxes);
    g_assert_cmpuint(roster_count(l.roster), ==, boxes);
    uint32_t n;
    (void)list_publisher_list(roster_list(l.roster, 1000 + rounds * REPORT_MS), &n);
    g_assert_cmpuint(n, ==, boxes); /* all are published in the end */
    roster_destroy(l.roster);
    return l;
}

static void test_lists_made(void)
{
    const unsigned of_few = run_rounds(100, 2).lists;
    g_assert_cmpuint(run_rounds(1000, 2).lists, <=, of_few);
    g_assert_cmpuint(run_rounds(2000, 2).lists, <=, of_few);
}

/** A back end is looked up once each time that its work is added, which is once a round here, and not for each report
 * of any box. */
static void test_back_ends_looked_up(void)
{
    static const unsigned sizes[] = {250, 1000};
    unsigned asked[G_N_ELEMENTS(sizes)];
    for (guint k = 0; k < G_N_ELEMENTS(sizes); k++)
        asked[k] = run_rounds(sizes[k], 4).asked;
    g_assert_cmpuint(asked[1], <=, asked[0] * 4 * 5 / 4);
}

/* Decode engines with a single request are left out: when their loads were sent, each of 995 boxes got those of 520
 * decode engines every 1.5 s, 10 MB per second in all, nearly all with one request. That is boxes times busy engines,
 * both of which grow with the fleet. A box needs the loads only while it places requests by itself, and then an engine
 * with one request of twelve is as good as an idle one. */

static void test_single_requests_are_not_sent(void)
{
    enum { ENGINES = 500 };
    roster_use_t l = {.roster = roster_create()};
    msg_report_t message = {.self = {.box = "a", .incarnation = 1}};
    message.loads = g_new0(backend_load_t, ENGINES);
    message.loads_n = ENGINES;
    for (unsigned i = 0; i < ENGINES; i++) {
        g_snprintf(message.loads[i].id, sizeof(message.loads[i].id), "e%u", i);
        message.loads[i].running = 1;
    }
    roster_update(l.roster, &message, 1000);
    message.loads_n = 20; /* another box has a request at 20 of them, too */
    codec_copy_string(message.self.box, sizeof(message.self.box), "b");
    roster_update(l.roster, &message, 1000);
    g_free(message.loads);
    const roster_loads_t loads_sent = roster_loads(l.roster, "c", kind_of, &l, true);
    g_assert_cmpuint(loads_sent.n, ==, 20);
    free(loads_sent.list);
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
    g_test_add_func("/roster/single-requests-are-not-sent", test_single_requests_are_not_sent);
    return g_test_run();
}
