/* Cost of sending on a box with many connections.
 *
 * The leader of 995 boxes blocked its loop for 74 ms at a time while it sent a new configuration to all of them: for
 * each box it searched its connections for the address, and for each overdue call it started again at the first
 * connection. Both costs grow with the square of the number of boxes.
 */

#include <glib.h>

#include "common/counter.h"
#include "harness/lab.h"
#include "peer/peer.h"

typedef struct star star_t;

/** A box that is connected to the hub. */
typedef struct {
    star_t *star;
    char addr[32];
    peer_net_t *net;
    bool received; /* it has received a message of the hub */
} spoke_t;

struct star {
    loop_t *loop;
    char addr[32];
    peer_net_t *hub;
    spoke_t *spokes;
    unsigned n, connected, received, failed;
};

static void on_hub(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    (void)call, (void)from, (void)type, (void)message;
    ((star_t *)arg)->connected++;
}

static void on_spoke(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    spoke_t *const m = arg;
    (void)call, (void)from, (void)type, (void)message; /* calls are never answered */
    m->star->received += !m->received;
    m->received = true;
}

static peer_net_t *start(star_t *w, const char *addr, peer_handler_t handler, void *arg)
{
    const peer_options_t options = {
        .box = addr, .incarnation = 1, .listen = addr, .key_file = "", .handler = handler, .arg = arg};
    tc_err_t err = {0};
    peer_net_t *const net = peer_create(w->loop, &options, &err);
    if (!net)
        g_error("%s: %s", err.peer, err.detail);
    return net;
}

static bool all_connected(void *arg)
{
    return ((star_t *)arg)->connected == ((star_t *)arg)->n;
}

static bool all_received(void *arg)
{
    return ((star_t *)arg)->received == ((star_t *)arg)->n;
}

static bool all_failed(void *arg)
{
    return ((star_t *)arg)->failed == ((star_t *)arg)->n;
}

static star_t begin(unsigned n)
{
    star_t w = {.loop = loop_create(), .n = n};
    lab_unused_addr(w.addr);
    w.spokes = g_new0(spoke_t, n);
    return w;
}

/** Connects all boxes: each sends one message to the hub. */
static void connect_all(star_t *w)
{
    const msg_claim_t claim = {.id = "hello"};
    w->hub = start(w, w->addr, on_hub, w);
    for (unsigned i = 0; i < w->n; i++) {
        spoke_t *const m = &w->spokes[i];
        m->star = w;
        lab_unused_addr(m->addr);
        m->net = start(w, m->addr, on_spoke, m);
        peer_send(m->net, w->addr, MSG_CLAIM, &claim);
    }
    lab_run_until(w->loop, all_connected, w);
}

static void end(star_t *w)
{
    for (unsigned i = 0; i < w->n; i++)
        peer_destroy(w->spokes[i].net);
    peer_destroy(w->hub);
    g_free(w->spokes);
    loop_destroy(w->loop);
}

static int64_t visits(void)
{
    return counter_read("trackcove_peer_looked_total");
}

/** Sends one message to each box. @return connections visited for it, without those of ticks */
static int64_t send_all(unsigned n)
{
    star_t w = begin(n);
    connect_all(&w);
    const msg_claim_t claim = {.id = "news"};
    const int64_t before = visits();
    for (unsigned i = 0; i < n; i++)
        peer_send(w.hub, w.spokes[i].addr, MSG_CLAIM, &claim);
    const tc_time_t from = tc_time_now();
    lab_run_until(w.loop, all_received, &w);
    const int64_t ticks =
        (tc_time_now() - from) / 25 + 2; /* each visits all connections of the hub, and one of each other box */
    const int64_t spent = visits() - before - ticks * 2 * n;
    end(&w);
    return spent;
}

static void test_send_by_address(void)
{
    g_assert_cmpint(send_all(20), <=, 20);
    g_assert_cmpint(send_all(80), <=, 80);
}

static void on_failed(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    (void)type, (void)message, (void)err;
    g_assert_cmpint(rc, ==, TC_E_TIMEOUT);
    ((star_t *)arg)->failed++;
}

static int64_t call_all(unsigned n)
{
    enum { LIMIT_MS = 200 };
    star_t w = begin(n);
    connect_all(&w);
    const msg_claim_t claim = {.id = "question"};
    const int64_t before = visits();
    const tc_time_t from = tc_time_now();
    for (unsigned i = 0; i < n; i++)
        peer_call(w.hub, w.spokes[i].addr, MSG_CLAIM, &claim, LIMIT_MS, on_failed, &w);
    lab_run_until(w.loop, all_failed, &w);
    const int64_t ticks = (tc_time_now() - from) / 25 + 2;
    const int64_t spent = visits() - before - ticks * 2 * n;
    end(&w);
    return spent;
}

/** One visit for the address of each call, and one for its end. */
static void test_overdue_together(void)
{
    g_assert_cmpint(call_all(20), <=, 2 * 20);
    g_assert_cmpint(call_all(80), <=, 2 * 80);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/peer-many/told-by-address", test_send_by_address);
    g_test_add_func("/peer-many/overdue-together", test_overdue_together);
    return g_test_run();
}
