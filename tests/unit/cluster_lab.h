/** @file cluster_lab.h
 * Fixture of the tests with a cluster: replicas with real data folders in one event loop over loopback, and an operator
 * that proposes documents.
 */
#ifndef TRACKCOVE_TESTS_CLUSTER_LAB_H
#define TRACKCOVE_TESTS_CLUSTER_LAB_H

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>

#include "cluster/known_members.h"
#include "cluster/replica.h"
#include "cluster/reporter.h"
#include "common/counter.h"
#include "control/store.h"
#include "harness/lab.h"
#include "harness/process.h"

/* ===== Types ===== */

enum { BOXES = 4, SEEDS = 3 };

typedef struct fixture {
    loop_t *loop;
    char addr[BOXES][32], http[BOXES][32], dir[BOXES][64];
    replica_t *replica[BOXES];
    const char *front[BOXES]; /* of a proxy, by which others know the box; NULL: addr */
    const char *seeds[SEEDS + 1];
    bool proposal_done;
    int proposal_rc;
    uint64_t awaited; /* version, or number of snapshots */
    int awaited_box;
    reporter_t *reporter;
    entry_box_t self;           /* what the reporter sends */
    uint64_t received;          /* version that the reporter has received */
    bool slow;                  /* the box does not act on a document at once */
    bool leaving;               /* state of the back end in the last list */
    bool signalled;             /* a list of back ends has arrived; in a probe, the scheduler has answered */
    unsigned retries, answered; /* granted retries and answered requests for one */
    retry_rules_t budget;       /* for the boxes started from now on */
} fixture_t;

/* ===== Boxes ===== */

/** @param bootstrap first start of the whole system */
static __attribute__((unused)) void start_box(fixture_t *f, int i, bool bootstrap)
{
    const replica_options_t options = {
        .peer_listen = f->front[i] ? f->front[i] : f->addr[i],
        .peer_bind = f->addr[i],
        .http_addr = f->http[i],
        .data_dir = f->dir[i],
        .voters_wanted = 3,
        .bootstrap = bootstrap,
        .seeds = f->seeds,
        .list_bytes_s = 6e6,
        .retries = f->budget,
        .limits = {.advertised = {.window = 4000, .overrun = 0.5, .slack = 5, .strict = true},
                   .cold = {.window = 1000, .overrun = 0.5, .slack = 5, .strict = true}}};
    tc_err_t err = {0};
    f->replica[i] = replica_create(f->loop, &options, &err);
    if (!f->replica[i])
        g_error("box %d: %s %s: %s", i, err.step, err.peer, err.detail);
}

static void stop_box(fixture_t *f, int i)
{
    g_assert_cmpint(i, >=, 0); /* no leader */
    if (!f->replica[i])
        return;
    replica_destroy(f->replica[i]);
    f->replica[i] = NULL;
}

/* ===== Setup ===== */

static void set_up(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->loop = loop_create();
    f->budget = (retry_rules_t){.ratio = 1, .allowance = 0, .window = 600000};
    for (int i = 0; i < BOXES; i++) {
        lab_unused_addr(f->addr[i]);
        lab_unused_addr(f->http[i]);
        g_strlcpy(f->dir[i], "/tmp/trackcove-cluster-XXXXXX", sizeof(f->dir[i]));
        g_assert_nonnull(g_mkdtemp(f->dir[i]));
    }
    for (int i = 0; i < SEEDS; i++)
        f->seeds[i] = f->addr[i];
}

static void tear_down(fixture_t *f, gconstpointer data)
{
    (void)data;
    if (f->reporter)
        reporter_destroy(f->reporter);
    for (int i = 0; i < BOXES; i++) {
        stop_box(f, i);
        folder_empty(f->dir[i]);
        g_rmdir(f->dir[i]);
    }
    loop_destroy(f->loop);
}

/* ===== Leader and document ===== */

/** The box that is the leader, -1 while none is. */
static int leader(const fixture_t *f)
{
    for (int i = 0; i < BOXES; i++)
        if (f->replica[i] && replica_is_leader(f->replica[i]))
            return i;
    return -1;
}

static bool has_leader(void *arg)
{
    return leader(arg) >= 0;
}

/** Wait for a leader and return it. leader() may give -1 at any time: a leader does not count as one while its lease is
 *  lapsed, as when one turn of the event loop takes longer than the lease on a busy machine. */
static __attribute__((unused)) int await_leader(fixture_t *f)
{
    int at;
    do {
        lab_run_until(f->loop, has_leader, f);
        at = leader(f);
    } while (at < 0);
    return at;
}

static void on_proposal_done(void *arg, int rc)
{
    fixture_t *const f = arg;
    f->proposal_done = true;
    f->proposal_rc = rc;
}

/** Propose a version with that text to box @p at, once. */
static void propose_text(fixture_t *f, int at, uint64_t version, const char *text)
{
    document_t document = {0};
    document_make(&document, version, text, strlen(text));
    f->proposal_done = false;
    replica_propose(f->replica[at], &document, on_proposal_done, f);
    lab_run_until_true(f->loop, &f->proposal_done);
    codec_free(&document_desc, &document);
}

/** Propose a version to the current leader until it is accepted, as an operator does. */
static __attribute__((unused)) void put_text(fixture_t *f, uint64_t version, const char *text)
{
    do {
        propose_text(f, await_leader(f), version, text);
    } while (f->proposal_rc == TC_E_NOT_LEADER || f->proposal_rc == TC_E_BROKEN || f->proposal_rc == TC_E_TIMEOUT);
    g_assert_cmpint(f->proposal_rc, ==, TC_OK);
}

static __attribute__((unused)) void put(fixture_t *f, uint64_t version)
{
    char text[32];
    g_snprintf(text, sizeof(text), "content %" G_GUINT64_FORMAT, version);
    put_text(f, version, text);
}

static bool reads_awaited(void *arg)
{
    const fixture_t *const f = arg;
    const int at = leader(f);
    const document_t *const document = at >= 0 ? replica_read(f->replica[at]) : NULL;
    return document && document->version == f->awaited;
}

/** Wait until a read at the leader returns that version. */
static __attribute__((unused)) void expect_read(fixture_t *f, uint64_t version)
{
    f->awaited = version;
    lab_run_until(f->loop, reads_awaited, f);
}

/* ===== Members ===== */

/** Whether the members are three, one of which is box f->awaited_box as a voter. */
static __attribute__((unused)) bool three_with_awaited(void *arg)
{
    const fixture_t *const f = arg;
    const int at = leader(f);
    if (at < 0)
        return false;
    const raft_members_t *const members = replica_members(f->replica[at]);
    bool with_who = false;
    for (uint32_t i = 0; i < members->list_n; i++)
        with_who = with_who || (members->list[i].voter && strcmp(members->list[i].peer, f->addr[f->awaited_box]) == 0);
    return with_who && members->list_n == 3;
}

/** Whether there is a fourth member, without a vote. */
static __attribute__((unused)) bool has_fourth_nonvoter(void *arg)
{
    const fixture_t *const f = arg;
    const int at = leader(f);
    const raft_members_t *const members = at >= 0 ? replica_members(f->replica[at]) : NULL;
    uint32_t voters = 0;
    for (uint32_t i = 0; members && i < members->list_n; i++)
        voters += members->list[i].voter;
    return members && members->list_n == 4 && voters == 3;
}

static __attribute__((unused)) bool snapshots_awaited(void *arg)
{
    return counter_read("trackcove_cluster_snapshots_total") >= (int64_t)((fixture_t *)arg)->awaited;
}

static __attribute__((unused)) bool awaited_leads(void *arg)
{
    const fixture_t *const f = arg;
    return f->replica[f->awaited_box] && replica_is_leader(f->replica[f->awaited_box]);
}

#endif
