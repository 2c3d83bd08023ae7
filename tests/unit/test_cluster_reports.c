/* Boxes that report to control boxes: what they are told and when it is in force, questions to the leader, and boxes
 * that start while control is slow to answer. */

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "unit/cluster_lab.h"

/* ===== Reporters ===== */

static bool on_document(void *arg, const document_t *document)
{
    fixture_t *const f = arg;
    g_assert_cmpuint(document->version, >, f->heard); /* never back */
    f->heard = document->version;
    return !f->slow;
}

static void on_backends(void *arg, const backend_t *list, uint32_t n)
{
    fixture_t *const f = arg;
    g_assert_cmpuint(n, ==, 1);
    f->told = true;
    f->leaving = list[0].draining;
}

static bool heard_wanted(void *arg)
{
    const fixture_t *const f = arg;
    return f->heard == f->want;
}

static void start_reporter_with(fixture_t *f, const char *const *controls)
{
    const char *const nobody[] = {NULL};
    char own[32];
    lab_free_addr(own);
    codec_copy_string(f->self.box, sizeof(f->self.box), "entry");
    codec_copy_string(f->self.http_addr, sizeof(f->self.http_addr), "127.0.0.1:1");
    codec_copy_string(f->self.peer_addr, sizeof(f->self.peer_addr), own);
    f->self.incarnation = 1;
    const reporter_options_t options = {.peer_listen = own, .controls = controls, .neighbours = nobody};
    const reporter_events_t events = {.on_document = on_document, .on_backends = on_backends, .arg = f};
    tc_err_t err = {0};
    f->reporter = reporter_create(f->loop, &f->self, &options, &events, &err);
    g_assert_nonnull(f->reporter);
}

static void start_reporter(fixture_t *f, const char *control)
{
    const char *const controls[] = {control, NULL};
    start_reporter_with(f, controls);
}

static bool reports_to_leader(void *arg)
{
    return reporter_leader_contact_time(((fixture_t *)arg)->reporter) > 0;
}

/** Whether the reporter names the box that leads. */
static bool names_leader(void *arg)
{
    const fixture_t *const f = arg;
    const int at = leader(f);
    return at >= 0 && strcmp(reporter_leader_http(f->reporter), f->http[at]) == 0;
}

static void ignore_offered(void *arg, int rc)
{
    (void)arg;
    g_assert_cmpint(rc, ==, TC_OK);
}

static void test_reporter_follows(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    start_reporter(f, f->addr[0]);
    f->want = 4;
    lab_run_until(f->loop, heard_wanted, f);
    stop_box(f, leader(f));
    put(f, 8);
    f->want = 8;
    lab_run_until(f->loop, heard_wanted, f); /* from the next leader, or from a box that had it from there */
    lab_run_until(f->loop, names_leader, f);
}

static bool one_offer_ended(void *arg)
{
    return ((fixture_t *)arg)->offered;
}

/** Promise: what is acknowledged is in force at every box that is there; while a box reads one version it is told of no
 *  other, and then of the newest. */
static void test_acknowledged_when_in_force(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    start_reporter(f, f->addr[leader(f)]);
    f->want = 4;
    lab_run_until(f->loop, heard_wanted, f);
    lab_run_until(f->loop, reports_to_leader, f);
    f->slow = true;
    const int64_t unspread = counter_read("trackcove_cluster_unspread_total");
    document_t document = {0};
    document_make(&document, 5, "content 5", 9);
    f->offered = false;
    replica_propose(f->replica[leader(f)], &document, on_offered, f);
    codec_free(&document_desc, &document);
    f->want = 5;
    lab_run_until(f->loop, heard_wanted, f);
    /* Not acknowledged, but for the time after which boxes that do not get there are waited for no more. */
    g_assert_true(!f->offered || counter_read("trackcove_cluster_unspread_total") > unspread);
    g_assert_cmpuint(reporter_version(f->reporter), ==, 4);
    document_make(&document, 6, "content 6", 9);
    replica_propose(f->replica[leader(f)], &document, ignore_offered, f);
    codec_free(&document_desc, &document);
    lab_run_for(f->loop, 200);
    g_assert_cmpuint(f->heard, ==, 5);
    f->slow = false;
    reporter_document_applied(f->reporter);
    lab_run_until(f->loop, one_offer_ended, f);
    g_assert_cmpint(f->offer_rc, ==, TC_OK);
    f->want = 6;
    lab_run_until(f->loop, heard_wanted, f);
}

static void test_told_before_a_leader(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    f->want = (uint64_t)counter_read("trackcove_cluster_snapshots_total") + SEEDS;
    put(f, 4);
    f->who = leader(f);
    lab_run_until(f->loop, snapshots_wanted, f); /* what was accepted lies in a snapshot soon */
    for (int i = 0; i < SEEDS; i++)
        stop_box(f, i);
    start_box(f, f->who, false); /* alone it can never lead */
    start_reporter(f, f->addr[f->who]);
    f->want = 4;
    lab_run_until(f->loop, heard_wanted, f);
    g_assert_false(who_leads(f));
}

static void test_seeds_that_are_no_members_are_told(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    /* A box without a disk is a seed now and knows nobody. */
    const char *const nobody = "127.0.0.1:1";
    start_reporter(f, nobody);
    const char *const seeds[] = {f->self.peer_addr, NULL};
    for (int i = 0; i < SEEDS; i++)
        replica_set_seeds(f->replica[i], seeds);
    f->want = 4;
    lab_run_until(f->loop, heard_wanted, f);
}

/** An engine that changes its role is told to all boxes as leaving, so that nobody gives it work. */
static void test_moving_engine_is_told_as_leaving(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    replica_t *const r = f->replica[leader(f)];
    backend_t engine = {.id = "e1", .service = "lm", .addr = "127.0.0.1:1", .stage = "prefill"};
    replica_set_backends(r, &engine, 1, tc_time_now());
    start_reporter(f, f->addr[leader(f)]);
    lab_run_until_true(f->loop, &f->told);
    g_assert_false(f->leaving);
    const leaving_cfg_t moving = {.name = "e1"};
    replica_set_role_changes(r, &moving, 1);
    replica_set_backends(r, &engine, 1, tc_time_now());
    lab_run_until_true(f->loop, &f->leaving);
    replica_set_role_changes(r, NULL, 0);
    replica_set_backends(r, &engine, 1, tc_time_now());
    f->told = false;
    lab_run_until_true(f->loop, &f->told);
    g_assert_false(f->leaving);
}

/* ===== The leader's part of the retry budget ===== */

/** The scheduler begins a moment after its box leads: whether it has. */
static void on_probe(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    fixture_t *const f = arg;
    (void)type, (void)message, (void)err;
    f->answered = 1;
    f->told = rc == TC_OK;
}

static bool one_answered(void *arg)
{
    return ((fixture_t *)arg)->answered == 1;
}

static void on_retry(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    fixture_t *const f = arg;
    (void)err;
    g_assert_cmpint(rc, ==, TC_OK);
    g_assert_cmpuint(type, ==, MSG_RETRY_ACK);
    f->answered++;
    f->lent += ((const msg_retry_ack_t *)message)->granted;
}

static void ignore_placed(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    (void)arg, (void)rc, (void)type, (void)message, (void)err; /* there are no engines */
}

static bool all_answered(void *arg)
{
    return ((fixture_t *)arg)->answered == 10;
}

/** Wait until the scheduler beside the leader answers. */
static void wait_for_scheduler(fixture_t *f, const msg_retry_t *retry)
{
    while (!f->told) {
        f->answered = 0;
        if (reporter_call_leader(f->reporter, MSG_RETRY, retry, 5000, on_probe, f))
            lab_run_until(f->loop, one_answered, f);
        else
            lab_run_for(f->loop, 10);
    }
}

/** Ten requests, each asked for twice. */
static void place_ten(fixture_t *f)
{
    msg_place_t place = {.model = "lm", .box = "entry", .prompt_tokens = 10, .wait_ms = 10};
    for (int i = 0; i < 20; i++) {
        g_snprintf(place.id, sizeof(place.id), "r%d", i / 2);
        place.again = i % 2;
        while (!reporter_call_leader(f->reporter, MSG_PLACE, &place, 5000, ignore_placed, f))
            lab_run_for(f->loop, 10);
    }
}

/** Promise: what the leader hands out stays below its part of the budget, however often a box asks. */
static void test_leader_hands_out_its_part(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    start_reporter(f, f->addr[leader(f)]);
    f->want = 4;
    lab_run_until(f->loop, heard_wanted, f);
    const msg_retry_t retry = {.service = "lm"};
    wait_for_scheduler(f, &retry);
    f->answered = 0;
    place_ten(f);
    for (int i = 0; i < 10; i++)
        g_assert_true(reporter_call_leader(f->reporter, MSG_RETRY, &retry, 5000, on_retry, f));
    lab_run_until(f->loop, all_answered, f);
    g_assert_cmpuint(f->lent, >=, 2);
    g_assert_cmpuint(f->lent, <=, 5); /* half of one for each request */
}

/* ===== A leader that stood still ===== */

/** Somebody who asks the leader, in a loop of his own. */
typedef struct {
    fixture_t *f;
    loop_t *loop;
    peer_net_t *net;
} asker_t;

static void no_message(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    (void)arg, (void)call, (void)from, (void)type, (void)message;
}

static asker_t asker_create(fixture_t *f)
{
    asker_t a = {.f = f, .loop = loop_create()};
    const peer_options_t options = {
        .box = "asker", .incarnation = 1, .listen = "", .key_file = "", .handler = no_message};
    tc_err_t err = {0};
    a.net = peer_create(a.loop, &options, &err);
    g_assert_nonnull(a.net);
    return a;
}

static void asker_destroy(const asker_t *a)
{
    peer_destroy(a->net);
    loop_destroy(a->loop);
}

/** Put a question to box @p to, which does not read it yet. */
static void asker_send(const asker_t *a, int to)
{
    enum { WRITTEN_MS = 20 };
    const msg_retry_t retry = {.service = "lm"};
    a->f->answered = 0;
    peer_call(a->net, a->f->addr[to], MSG_RETRY, &retry, 5000, on_probe, a->f);
    lab_run_for(a->loop, WRITTEN_MS);
}

static void asker_wait(const asker_t *a)
{
    while (a->f->answered == 0) {
        lab_run_for(a->f->loop, 2);
        lab_run_for(a->loop, 2);
    }
}

/** What waits for a leader that stood still, for so long that another may lead, is not answered as by the leader: it is
 *  read before the leader's own clock shows it how late it is. */
static void test_nothing_is_granted_behind_a_standstill(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    const int led = leader(f);
    const asker_t asker = asker_create(f);
    do {
        asker_send(&asker, led);
        asker_wait(&asker);
    } while (!f->told); /* the scheduler begins a moment after its box leads */
    asker_send(&asker, led);
    g_usleep((gulong)(RAFT_ELECTION_MIN_MS + 100) * 1000);
    asker_wait(&asker);
    g_assert_false(f->told);
    asker_destroy(&asker);
}

/* ===== Learning ===== */

/** Whether somebody has dialled @p fd's listener. */
static bool was_dialled(int fd)
{
    const int taken = accept4(fd, NULL, NULL, SOCK_NONBLOCK);
    if (taken >= 0)
        close(taken);
    return taken >= 0;
}

/** A box that knows nothing asks everybody at once: those that never answer hold it up no more. */
static void test_learning_waits_for_nobody(fixture_t *f, gconstpointer data)
{
    (void)data;
    enum { DEAF = 5 };
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    put(f, 4);
    int fds[DEAF];
    char addrs[DEAF][32];
    const char *controls[DEAF + 2] = {0};
    tc_err_t err = {0};
    for (int i = 0; i < DEAF; i++) {
        lab_free_addr(addrs[i]);
        fds[i] = peer_open_listener(addrs[i], "listen", &err);
        g_assert_cmpint(fds[i], >=, 0);
        controls[i] = addrs[i];
    }
    controls[DEAF] = f->addr[leader(f)];
    start_reporter_with(f, controls);
    f->want = 4;
    lab_run_until(f->loop, heard_wanted, f);
    for (int i = 0; i < DEAF; i++) {
        g_assert_true(was_dialled(fds[i]));
        close(fds[i]);
    }
}

/* ===== A box that starts, and control that is slow to answer ===== */

enum { SLOW_CONTROLS = 3, ENOUGH_QUESTIONS = 20, QUESTION_LIMIT_MS = 450 };

typedef struct {
    unsigned questions, with_list;
} slow_t;

/** Hears and never answers, as seen from behind a link that is full. */
static void on_question(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    slow_t *const slow = arg;
    (void)call, (void)from;
    if (type != MSG_REPORT)
        return;
    slow->questions++;
    slow->with_list += !((const msg_report_t *)message)->without_backends;
}

static bool asked_enough(void *arg)
{
    return ((const slow_t *)arg)->questions >= ENOUGH_QUESTIONS;
}

/** A list of a thousand back ends fills the link of a small box for a good part of the time that it waits for one: it
 *  asks one box at a time, or several lists on their way keep each other from arriving in time, again and again. */
static void test_one_list_at_a_time(fixture_t *f, gconstpointer data)
{
    (void)data;
    slow_t slow = {0};
    peer_net_t *nets[SLOW_CONTROLS];
    const char *controls[SLOW_CONTROLS + 1] = {NULL};
    for (int i = 0; i < SLOW_CONTROLS; i++) {
        const peer_options_t options = {.box = f->addr[i],
                                        .incarnation = 1,
                                        .listen = f->addr[i],
                                        .key_file = "",
                                        .handler = on_question,
                                        .arg = &slow};
        tc_err_t err = {0};
        nets[i] = peer_create(f->loop, &options, &err);
        g_assert_nonnull(nets[i]);
        controls[i] = f->addr[i];
    }
    const tc_time_t begun = tc_time_now();
    start_reporter_with(f, controls);
    lab_run_until(f->loop, asked_enough, &slow);
    g_assert_cmpuint(slow.with_list, >=, 1);
    g_assert_cmpuint(slow.with_list, <=, 1 + (tc_time_now() - begun) / QUESTION_LIMIT_MS);
    reporter_destroy(f->reporter);
    f->reporter = NULL;
    for (int i = 0; i < SLOW_CONTROLS; i++)
        peer_destroy(nets[i]);
}

/* ===== What an answer carries ===== */

/** Of an answer that is awaited. */
typedef struct {
    bool came;
    uint32_t members_n;
} report_answer_t;

static void on_report_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    report_answer_t *const answer = arg;
    (void)err;
    g_assert_cmpint(rc, ==, TC_OK);
    g_assert_cmpuint(type, ==, MSG_REPORT_ACK);
    answer->members_n = ((const msg_report_ack_t *)message)->members_n;
    answer->came = true;
}

static uint32_t members_told(fixture_t *f, uint64_t known)
{
    msg_report_t report = {.self = f->self, .members_hash = known};
    report_answer_t answer = {0};
    g_assert_true(reporter_call_leader(f->reporter, MSG_REPORT, &report, 5000, on_report_answer, &answer));
    lab_run_until_true(f->loop, &answer.came);
    return answer.members_n;
}

/** Ten control boxes are 2 KB in each of 3,300 answers a second to 1,000 boxes: they are told to those who know
 *  others. */
static void test_members_are_told_once(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = 0; i < SEEDS; i++)
        start_box(f, i, true);
    lab_run_until(f->loop, has_leader, f);
    start_reporter(f, f->addr[leader(f)]);
    lab_run_until(f->loop, reports_to_leader, f);
    const raft_members_t *const members = replica_members(f->replica[leader(f)]);
    g_assert_cmpuint(members_told(f, 0), ==, members->list_n);
    g_assert_cmpuint(members_told(f, known_members_hash(members->list, members->list_n)), ==, 0);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/cluster/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("reporter-follows-the-leader", test_reporter_follows);
    TEST("acknowledged-when-in-force", test_acknowledged_when_in_force);
    TEST("told-before-a-leader", test_told_before_a_leader);
    TEST("seeds-that-are-no-members-are-told", test_seeds_that_are_no_members_are_told);
    TEST("moving-engine-is-told-as-leaving", test_moving_engine_is_told_as_leaving);
    TEST("leader-hands-out-its-part", test_leader_hands_out_its_part);
    TEST("nothing-is-granted-behind-a-standstill", test_nothing_is_granted_behind_a_standstill);
    TEST("learning-waits-for-nobody", test_learning_waits_for_nobody);
    TEST("one-list-at-a-time", test_one_list_at_a_time);
    TEST("members-are-told-once", test_members_are_told_once);
    return g_test_run();
}
