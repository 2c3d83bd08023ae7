/** @file leader_lab.h
 * A fake leader of the control boxes for the entry box of forward_lab.h, used by test_availability.c,
 * test_forward_leader.c and test_workspaces.c.
 */
#ifndef TRACKCOVE_TESTS_LEADER_LAB_H
#define TRACKCOVE_TESTS_LEADER_LAB_H

#include "cluster/reporter.h"
#include "peer/peer.h"
#include "platform/forward_lab.h"

/** The leader, and the reporter of the entry box. */
typedef struct {
    char addr[32];
    peer_net_t *net;
    entry_box_t self; /* what the entry box reports */
    reporter_t *reporter;
} leader_t;

static bool leader_has_answered(void *arg)
{
    return reporter_leader_contact_time(((const leader_t *)arg)->reporter) > 0;
}

/** Starts a leader that answers by @p handler; the entry box reports to it and uses it as scheduler. @param events for
 *  the reporter @param arg for the handler and the events */
static void leader_join(leader_t *l, fixture_t *f, peer_handler_t handler, reporter_events_t events, void *arg)
{
    tc_err_t err = {0};
    lab_unused_addr(l->addr);
    const peer_options_t options = {
        .box = "leader", .incarnation = 1, .listen = l->addr, .key_file = "", .handler = handler, .arg = arg};
    l->net = peer_create(f->loop, &options, &err);
    g_assert_nonnull(l->net);
    codec_copy_string(l->self.box, sizeof(l->self.box), "entry");
    lab_unused_addr(l->self.peer_addr);
    l->self.incarnation = 1;
    const char *const controls[] = {l->addr, NULL};
    const char *const no_neighbours[] = {NULL};
    const reporter_options_t reports = {.peer_listen = l->self.peer_addr,
                                        .controls = controls,
                                        .neighbours = no_neighbours,
                                        .caps = forwarder_caps(f->forwarder)};
    events.arg = arg;
    l->reporter = reporter_create(f->loop, &l->self, &reports, &events, &err);
    g_assert_nonnull(l->reporter);
    lab_run_until(f->loop, leader_has_answered, l);
    forwarder_set_scheduler(f->forwarder, l->reporter);
}

/** Stops the leader. No request may be in flight. */
static void leader_leave(leader_t *l)
{
    if (l->reporter)
        reporter_destroy(l->reporter);
    if (l->net)
        peer_destroy(l->net);
}

/** The leader's answer to a report, without lists. */
static msg_report_ack_t leader_ack(const leader_t *l)
{
    msg_report_ack_t ack = {.leads = true};
    codec_copy_string(ack.leader, sizeof(ack.leader), l->addr);
    codec_copy_string(ack.peer, sizeof(ack.peer), l->addr);
    return ack;
}

#endif
