/* Transfer of leadership in a group of three members. Messages are delivered without the time advancing, so only the
 * transfer itself can elect the successor. */

#include <glib.h>
#include <string.h>

#include "control/raft.h"

enum { MEMBERS = 3 };

typedef struct {
    raft_t *raft[MEMBERS];
    bool partitioned[MEMBERS]; /* receives and sends nothing */
} fixture_t;

static void set_up(fixture_t *f, gconstpointer data)
{
    (void)data;
    raft_member_t list[MEMBERS];
    memset(list, 0, sizeof(list));
    for (int i = 0; i < MEMBERS; i++) {
        list[i].id = (uint64_t)i + 1;
        list[i].voter = true;
    }
    for (int i = 0; i < MEMBERS; i++) {
        const raft_start_t start = {
            .id = (uint64_t)i + 1,
            .snapshot = {.last_index = 1, .last_term = 1, .members = {.list = list, .list_n = MEMBERS}},
            .seed = (uint64_t)i + 7};
        f->raft[i] = raft_create(&start, 0);
    }
}

static void tear_down(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < MEMBERS; i++)
        raft_destroy(f->raft[i]);
}

/** Deliver messages until there are none left. */
static void deliver_all(fixture_t *f, tc_time_t now)
{
    bool quiet = false;
    while (!quiet) {
        quiet = true;
        for (int i = 0; i < MEMBERS; i++) {
            raft_action_t action;
            while (raft_next_action(f->raft[i], &action)) {
                quiet = false;
                const int to = (int)action.to - 1;
                if (action.kind == RAFT_ACT_SEND && !f->partitioned[i] && !f->partitioned[to])
                    raft_receive(f->raft[to], action.type, action.message, now);
                raft_action_free(&action);
            }
        }
    }
}

/** The member that holds a valid lease, -1 for none. Fails when there are two. */
static int leader(const fixture_t *f, tc_time_t now)
{
    int found = -1;
    for (int i = 0; i < MEMBERS; i++) {
        if (!raft_has_lease(f->raft[i], now))
            continue;
        g_assert_cmpint(found, ==, -1);
        found = i;
    }
    return found;
}

/** Make the first member leader. @return the time of its election */
static tc_time_t elect(fixture_t *f)
{
    const tc_time_t now = RAFT_ELECTION_MAX_MS + 1;
    raft_tick(f->raft[0], now);
    deliver_all(f, now);
    g_assert_cmpint(leader(f, now), ==, 0);
    return now;
}

static void test_successor_leads_at_once(fixture_t *f, gconstpointer data)
{
    (void)data;
    const tc_time_t now = elect(f);
    g_assert_false(raft_resign(f->raft[1], now));
    g_assert_true(raft_resign(f->raft[0], now));
    g_assert_cmpint(leader(f, now), ==, -1); /* it gives up its lease before another member can lead */
    deliver_all(f, now);
    g_assert_cmpint(leader(f, now), >, 0);
}

/** The yield message is lost because the successor is partitioned: a leader is elected after the usual timeout. */
static void test_lost_yield(fixture_t *f, gconstpointer data)
{
    (void)data;
    const tc_time_t now = elect(f);
    f->partitioned[1] = f->partitioned[2] = true;
    g_assert_true(raft_resign(f->raft[0], now));
    deliver_all(f, now);
    g_assert_cmpint(leader(f, now), ==, -1);
    f->partitioned[1] = f->partitioned[2] = false;
    const tc_time_t later = now + RAFT_ELECTION_MAX_MS + 1;
    raft_tick(f->raft[2], later);
    deliver_all(f, later);
    g_assert_cmpint(leader(f, later), ==, 2);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/resign/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("successor-leads-at-once", test_successor_leads_at_once);
    TEST("lost-yield", test_lost_yield);
#undef TEST
    return g_test_run();
}
