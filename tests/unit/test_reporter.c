/* Lists that reach a box late, with another base, or from another publisher: the box only acts on complete lists that
 * were published, and never goes back to an older one. The control box is a fake in the event loop of the test. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "cluster/known_members.h"
#include "cluster/reporter.h"
#include "harness/lab.h"
#include "lists/list_publisher.h"

/* ===== Fixture ===== */

typedef struct {
    loop_t *loop;
    char addr[32];
    peer_net_t *control;
    entry_box_t self;
    reporter_t *reporter;
    bool asked; /* a report is waiting for its answer */
    peer_call_t call;
    uint64_t backends_hash, entries_hash; /* in that report */
    bool wants_backends;                  /* it asks for the back ends */
    uint64_t backends_passed_hash;        /* of the back ends last passed to the program */
    uint64_t members_hash;                /* in that report */
} fixture_t;

static void on_report(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    fixture_t *const f = arg;
    const msg_report_t *const report = message;
    (void)from;
    if (type != MSG_REPORT)
        return;
    if (!report->self.http_addr[0] || f->asked)
        return;
    f->asked = true;
    f->call = call;
    f->backends_hash = report->backends_hash;
    f->entries_hash = report->entries_hash;
    f->members_hash = report->members_hash;
    f->wants_backends = !report->without_backends;
}

static void on_backends(void *arg, const backend_t *list, uint32_t n)
{
    ((fixture_t *)arg)->backends_passed_hash = list_hash(list, n * sizeof(*list));
}

static void set_up(fixture_t *f, gconstpointer data)
{
    (void)data;
    const char *const no_neighbours[] = {NULL}, *const controls[] = {f->addr, NULL};
    tc_err_t err = {0};
    f->loop = loop_create();
    lab_unused_addr(f->addr);
    const peer_options_t net = {
        .box = "control", .incarnation = 1, .listen = f->addr, .key_file = "", .handler = on_report, .arg = f};
    f->control = peer_create(f->loop, &net, &err);
    g_assert_nonnull(f->control);
    lab_unused_addr(f->self.peer_addr);
    codec_copy_string(f->self.box, sizeof(f->self.box), "entry");
    codec_copy_string(f->self.http_addr, sizeof(f->self.http_addr), "127.0.0.1:1");
    f->self.incarnation = 1;
    const reporter_options_t options = {
        .peer_listen = f->self.peer_addr, .controls = controls, .neighbours = no_neighbours};
    const reporter_events_t events = {.on_backends = on_backends, .arg = f};
    f->reporter = reporter_create(f->loop, &f->self, &options, &events, &err);
    g_assert_nonnull(f->reporter);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
    (void)data;
    reporter_destroy(f->reporter);
    peer_destroy(f->control);
    loop_destroy(f->loop);
}

/** Answer the waiting report, and wait for the next one. */
static void answer(fixture_t *f, msg_report_ack_t *ack)
{
    g_assert_true(f->asked);
    f->asked = false;
    ack->leads = true;
    codec_copy_string(ack->leader, sizeof(ack->leader), f->addr);
    codec_copy_string(ack->peer, sizeof(ack->peer), f->addr);
    peer_reply(f->control, f->call, MSG_REPORT_ACK, ack);
    reporter_report_now(f->reporter);
    lab_run_until_true(f->loop, &f->asked);
}

static bool asked_for_backends(void *arg)
{
    fixture_t *const f = arg;
    if (!f->asked || f->wants_backends)
        return f->asked;
    f->asked = false; /* a side query asks for them: wait for the next report */
    return false;
}

/* ===== Late answers ===== */

static backend_t make_backend(const char *id)
{
    backend_t backend = {.slots = 1};
    codec_copy_string(backend.id, sizeof(backend.id), id);
    return backend;
}

/** A list that was read before the box read its own, and arrives after it, because of a long transfer time, is ignored.
 */
static void test_late_list(fixture_t *f, gconstpointer data)
{
    (void)data;
    enum { AGE_MS = 20, APART_MS = 60, LATE_MS = 120 };
    const backend_t older = make_backend("older"), newer = make_backend("newer");
    const uint64_t newer_hash = list_hash(&newer, sizeof(newer));
    lab_run_until(f->loop, asked_for_backends, f);
    list_publisher_t *const publisher = list_publisher_create(&list_of_backends);
    (void)list_publisher_set(publisher, &older, 1);
    msg_report_ack_t ack = {.backends_age_ms = AGE_MS, .backends = list_publisher_update_since(publisher, 0)};
    lab_run_for(f->loop, APART_MS);
    const tc_time_t read = tc_time_now();
    reporter_set_backends(f->reporter, &newer, 1, read);
    lab_run_for(f->loop, LATE_MS); /* transfer time */
    answer(f, &ack);
    g_assert_cmpuint(f->backends_passed_hash, ==, newer_hash);
    g_assert_cmpuint(f->backends_hash, ==, newer_hash);
    g_assert_cmpint(reporter_backends_time(f->reporter), ==, read);
    list_publisher_destroy(publisher);
}

/* ===== Bases and publishers ===== */

enum { PUBLISHERS = 2, ROUNDS = 40, NAMES = 12, STATES_MAX = ROUNDS * PUBLISHERS + 1 };

/** Publishers, and the hashes of all lists that they have published. */
typedef struct {
    list_publisher_t *entries[PUBLISHERS], *backends[PUBLISHERS];
    uint64_t entries_published[STATES_MAX], backends_published[STATES_MAX];
    unsigned n;
    GRand *random;
} publishers_t;

static void change(publishers_t *w, int publisher)
{
    entry_box_t entries[NAMES];
    backend_t backends[NAMES];
    memset(entries, 0, sizeof(entries));
    memset(backends, 0, sizeof(backends));
    uint32_t n = 0;
    for (int i = 0; i < NAMES; i++) {
        if (g_rand_int_range(w->random, 0, 3) == 0)
            continue;
        g_snprintf(entries[n].box, sizeof(entries[n].box), "box-%d", i);
        entries[n].incarnation = (uint64_t)g_rand_int_range(w->random, 1, 3);
        g_snprintf(backends[n].id, sizeof(backends[n].id), "engine-%d", i);
        backends[n].slots = (uint32_t)g_rand_int_range(w->random, 1, 3);
        n++;
    }
    (void)list_publisher_set(w->entries[publisher], entries, n);
    (void)list_publisher_set(w->backends[publisher], backends, n);
    w->entries_published[w->n] = list_publisher_hash(w->entries[publisher]);
    w->backends_published[w->n++] = list_publisher_hash(w->backends[publisher]);
}

static bool was_published(const uint64_t *published, unsigned n, uint64_t hash)
{
    for (unsigned i = 0; i < n; i++)
        if (published[i] == hash)
            return true;
    return hash == 0;
}

/** A publisher's answer to a box that has the lists with those hashes. */
static msg_report_ack_t make_answer(const publishers_t *w, int publisher, uint64_t entries_known,
                                    uint64_t backends_known)
{
    return (msg_report_ack_t){.entries = list_publisher_update_since(w->entries[publisher], entries_known),
                              .backends = list_publisher_update_since(w->backends[publisher], backends_known)};
}

static void assert_published(const fixture_t *f, const publishers_t *w)
{
    uint32_t n;
    const entry_box_t *const entries = reporter_entries(f->reporter, &n);
    g_assert_true(was_published(w->entries_published, w->n, f->entries_hash));
    g_assert_true(was_published(w->backends_published, w->n, f->backends_hash));
    g_assert_cmpuint(f->backends_hash, ==, f->backends_passed_hash);
    if (f->entries_hash != 0)
        g_assert_cmpuint(list_hash(entries, n * sizeof(*entries)), ==, f->entries_hash);
}

/** Two control boxes lead in turn, each with a history of its own. Some answers are made for a list that the box no
 *  longer has, or carry the hash of another list: those change nothing, and the next one that fits is applied. */
static void test_only_published_lists(fixture_t *f, gconstpointer data)
{
    (void)data;
    publishers_t w = {.random = g_rand_new_with_seed(12)};
    for (int i = 0; i < PUBLISHERS; i++) {
        w.entries[i] = list_publisher_create(&list_of_entries);
        w.backends[i] = list_publisher_create(&list_of_backends);
        change(&w, i);
    }
    uint64_t entries_before = 0, backends_before = 0;
    unsigned fitting = 0, followed = 0, refused = 0;
    lab_run_until_true(f->loop, &f->asked);
    for (int round = 0; round < ROUNDS; round++) {
        const int publisher = g_rand_int_range(w.random, 0, PUBLISHERS);
        if (g_rand_boolean(w.random))
            change(&w, publisher);
        const bool stale = g_rand_boolean(w.random), wrong = g_rand_int_range(w.random, 0, 5) == 0;
        const uint64_t entries_now = f->entries_hash, backends_now = f->backends_hash;
        msg_report_ack_t ack =
            make_answer(&w, publisher, stale ? entries_before : entries_now, stale ? backends_before : backends_now);
        const uint64_t named = ack.entries.hash;
        if (wrong)
            ack.entries.hash = ack.backends.hash = 2; /* the hash of no list: hashes are odd */
        const bool fits = !wrong && (ack.entries.base == 0 || ack.entries.base == entries_now);
        answer(f, &ack);
        assert_published(f, &w);
        g_assert_true(f->entries_hash == entries_now || (fits && f->entries_hash == named));
        fitting += fits;
        followed += fits && f->entries_hash == named;
        refused += !fits;
        entries_before = entries_now;
        backends_before = backends_now;
    }
    g_assert_cmpuint(fitting, >=, ROUNDS / 8);
    g_assert_cmpuint(refused, >=, ROUNDS / 8);
    g_assert_cmpuint(fitting - followed, <=, 1); /* an answer may time out when the machine stalls */
    for (int i = 0; i < PUBLISHERS; i++) {
        list_publisher_destroy(w.entries[i]);
        list_publisher_destroy(w.backends[i]);
    }
    g_rand_free(w.random);
}

/** The list of control boxes is sent once; after that reports and answers carry its hash. */
static void test_members_sent_once(fixture_t *f, gconstpointer data)
{
    (void)data;
    raft_member_t members[2] = {{.name = "a", .id = 1, .voter = true}, {.name = "b", .id = 2}};
    codec_copy_string(members[0].peer, sizeof(members[0].peer), f->addr);
    codec_copy_string(members[1].peer, sizeof(members[1].peer), f->addr);
    const uint64_t hash = known_members_hash(members, 2);
    lab_run_until_true(f->loop, &f->asked);
    g_assert_cmpuint(f->members_hash, ==, 0);
    msg_report_ack_t full = {.members = members, .members_n = 2, .members_hash = hash};
    answer(f, &full);
    g_assert_cmpuint(f->members_hash, ==, hash);
    msg_report_ack_t same = {.members_hash = hash};
    answer(f, &same);
    g_assert_cmpuint(f->members_hash, ==, hash);
    members[1].voter = true;
    g_assert_cmpuint(known_members_hash(members, 2), !=, hash);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/reporter/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("late-list", test_late_list);
    TEST("only-published-lists", test_only_published_lists);
    TEST("members-sent-once", test_members_sent_once);
    return g_test_run();
}
