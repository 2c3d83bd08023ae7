/* Connections that break or stall at each byte that one side writes, and are replaced. The send() of this file
 * overrides that of the C library and writes only what the test allows. Uses real sockets on 127.0.0.1. */

#include <arpa/inet.h>
#include <errno.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "common/counter.h"
#include "harness/lab.h"
#include "peer/peer.h"

/* ===== Fault injection ===== */

/** @return how many of @p size bytes may be written now; 0: none yet; negative: the connection breaks
 * @param server port of the listening side @param client port of the dialling side
 * @param by_server whether the server writes */
typedef ssize_t (*fault_fn_t)(uint16_t server, uint16_t client, bool by_server, size_t size);

static fault_fn_t fault;         /* NULL: no faults */
static GHashTable *server_ports; /* of the current test */

static uint16_t port_of(int fd, int (*fn)(int, struct sockaddr *, socklen_t *))
{
    struct sockaddr_in at = {0};
    socklen_t size = sizeof(at);
    return fn(fd, (struct sockaddr *)&at, &size) == 0 ? ntohs(at.sin_port) : 0;
}

static int local_name(int fd, struct sockaddr *at, socklen_t *size)
{
    return getsockname(fd, at, size);
}

static int remote_name(int fd, struct sockaddr *at, socklen_t *size)
{
    return getpeername(fd, at, size);
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    if (!fault)
        return sendto(fd, data, size, flags, NULL, 0);
    const uint16_t local = port_of(fd, local_name), remote = port_of(fd, remote_name);
    const bool by_server = g_hash_table_contains(server_ports, GUINT_TO_POINTER(local));
    const ssize_t may = fault(by_server ? local : remote, by_server ? remote : local, by_server, size);
    if (may <= 0) {
        errno = may == 0 ? EAGAIN : ECONNRESET;
        return -1;
    }
    return sendto(fd, data, MIN((size_t)may, size), flags, NULL, 0);
}

static uint16_t addr_port(const char *addr)
{
    return (uint16_t)atoi(strchr(addr, ':') + 1);
}

static void watch_port(const char *addr)
{
    g_hash_table_add(server_ports, GUINT_TO_POINTER(addr_port(addr)));
}

static void set_up(void)
{
    server_ports = g_hash_table_new(g_direct_hash, g_direct_equal);
}

static void tear_down(void)
{
    fault = NULL;
    g_hash_table_destroy(server_ports);
}

/* ===== Pairs ===== */

enum { CALLS = 3, LIMIT_MS = 5000, LONGEST = 40 };

typedef struct pair pair_t;

/** One call by the client of a pair. */
typedef struct {
    pair_t *pair;
    char id[CODEC_STR_SIZE];
    unsigned ended;
    int rc;
} client_call_t;

/** A server and a client whose first connection breaks or stalls. */
struct pair {
    char addr[32];
    peer_net_t *server, *client;
    bool by_server; /* the fault is in what the server writes, else in what the client writes */
    bool stalls;    /* the connection stalls, else it breaks */
    size_t cut;     /* bytes written before the fault */
    size_t written;
    uint16_t first; /* client port of the first connection, 0 before it */
    bool faulted;
    GHashTable *received; /* ids received by the server */
    client_call_t calls[CALLS];
    client_call_t last; /* repeated until it is answered */
    unsigned tries;
    bool done;
};

static GPtrArray *pairs;

static pair_t *find_pair(uint16_t server)
{
    for (guint i = 0; i < pairs->len; i++) {
        pair_t *const p = g_ptr_array_index(pairs, i);
        if (addr_port(p->addr) == server)
            return p;
    }
    return NULL;
}

static ssize_t fault_pair(uint16_t server, uint16_t client, bool by_server, size_t size)
{
    pair_t *const p = find_pair(server);
    g_assert_nonnull(p); /* every connection belongs to a pair */
    if (by_server != p->by_server)
        return (ssize_t)size;
    p->first = p->first ? p->first : client;
    if (client != p->first || (p->faulted && !p->stalls))
        return (ssize_t)size;
    if (p->written < p->cut) {
        const size_t may = MIN(size, p->cut - p->written);
        p->written += may;
        return (ssize_t)may;
    }
    p->faulted = true;
    return p->stalls ? 0 : -1;
}

/** Every id received is one that was sent, unmodified, and is received once. */
static void on_claim(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    pair_t *const p = arg;
    const msg_claim_t *const claim = message;
    g_assert_cmpuint(type, ==, MSG_CLAIM);
    g_assert_cmpstr(from, ==, "client");
    bool known = strcmp(claim->id, p->last.id) == 0;
    for (int i = 0; i < CALLS; i++)
        known = known || strcmp(claim->id, p->calls[i].id) == 0;
    g_assert_true(known);
    g_assert_true(g_hash_table_add(p->received, g_strdup(claim->id)));
    msg_claim_ack_t ack = {.won = true};
    codec_copy_string(ack.owner, sizeof(ack.owner), claim->id);
    peer_reply(p->server, call, MSG_CLAIM_ACK, &ack);
}

static void send_call(client_call_t *call);

static void on_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    client_call_t *const call = arg;
    pair_t *const p = call->pair;
    call->ended++;
    call->rc = rc;
    if (rc == TC_OK) {
        g_assert_cmpuint(type, ==, MSG_CLAIM_ACK);
        g_assert_cmpstr(((const msg_claim_ack_t *)message)->owner, ==, call->id); /* the answer belongs to this call */
    }
    if (rc == TC_E_UNREACHABLE)
        g_assert_false(g_hash_table_contains(p->received, call->id)); /* the call was not sent */
    if (call != &p->last)
        return;
    p->done = rc == TC_OK;
    if (p->done)
        return;
    /* Later connections have no fault; only dialling may be refused, in the backoff after a broken handshake. */
    g_assert_cmpint(rc, ==, TC_E_UNREACHABLE);
    g_assert_cmpstr(err->step, ==, "connect");
    send_call(call);
}

static void send_call(client_call_t *call)
{
    pair_t *const p = call->pair;
    if (call == &p->last)
        g_snprintf(call->id, sizeof(call->id), "the last, try %u", p->tries++);
    msg_claim_t claim = {0};
    codec_copy_string(claim.id, sizeof(claim.id), call->id);
    peer_call(p->client, p->addr, MSG_CLAIM, &claim, LIMIT_MS, on_answer, call);
}

static void no_op(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    (void)arg, (void)call, (void)from, (void)type, (void)message; /* this side is never called */
}

static peer_net_t *open_net(loop_t *loop, const char *box, const char *listen, peer_handler_t handler, void *arg)
{
    tc_err_t err = {0};
    const peer_options_t options = {
        .box = box, .incarnation = 1, .listen = listen, .key_file = "", .handler = handler, .arg = arg};
    peer_net_t *const net = peer_create(loop, &options, &err);
    g_assert_nonnull(net);
    return net;
}

static pair_t *open_pair(loop_t *loop, GRand *random, bool by_server, bool stalls, size_t cut)
{
    pair_t *const p = g_new0(pair_t, 1);
    p->by_server = by_server;
    p->stalls = stalls;
    p->cut = cut;
    p->received = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    lab_unused_addr(p->addr);
    watch_port(p->addr);
    p->server = open_net(loop, "server", p->addr, on_claim, p);
    p->client = open_net(loop, "client", "", no_op, NULL);
    g_ptr_array_add(pairs, p);
    for (int i = 0; i < CALLS; i++) {
        p->calls[i].pair = p;
        const int length = g_rand_int_range(random, 1, LONGEST);
        for (int k = 0; k < length; k++)
            p->calls[i].id[k] = (char)('a' + g_rand_int_range(random, 0, 26));
        p->calls[i].id[length] = (char)('0' + i); /* makes ids unique */
        send_call(&p->calls[i]);
    }
    p->last.pair = p;
    return p;
}

static void close_pair(pair_t *p)
{
    peer_destroy(p->client);
    peer_destroy(p->server);
    for (int i = 0; i < CALLS; i++)
        g_assert_cmpuint(p->calls[i].ended, ==, 1);
    g_hash_table_destroy(p->received);
    g_free(p);
}

static bool first_ended(void *arg)
{
    (void)arg;
    for (guint n = 0; n < pairs->len; n++) {
        const pair_t *const p = g_ptr_array_index(pairs, n);
        for (int i = 0; i < CALLS; i++)
            if (p->calls[i].ended == 0)
                return false;
    }
    return true;
}

static bool all_answered(void *arg)
{
    (void)arg;
    for (guint n = 0; n < pairs->len; n++)
        if (!((const pair_t *)g_ptr_array_index(pairs, n))->done)
            return false;
    return true;
}

/** Runs until all calls have ended and one more has succeeded, on another connection if the first one broke. */
static void run_calls(loop_t *loop)
{
    lab_run_until(loop, first_ended, NULL);
    for (guint n = 0; n < pairs->len; n++)
        send_call(&((pair_t *)g_ptr_array_index(pairs, n))->last);
    lab_run_until(loop, all_answered, NULL);
}

/** Bytes that one side writes in a run without faults. */
static size_t whole_length(bool by_server)
{
    loop_t *const loop = loop_create();
    GRand *const random = g_rand_new_with_seed(1);
    pairs = g_ptr_array_new();
    const pair_t *const p = open_pair(loop, random, by_server, false, G_MAXSIZE);
    run_calls(loop);
    const size_t written = p->written;
    close_pair(g_ptr_array_index(pairs, 0));
    g_ptr_array_free(pairs, TRUE);
    g_rand_free(random);
    loop_destroy(loop);
    return written;
}

/** Runs a pair for each @p step bytes from @p from on, at most @p most pairs, in one loop. @return the next byte */
static size_t run_pairs(bool by_server, bool stalls, size_t from, size_t end, size_t step, guint most)
{
    loop_t *const loop = loop_create();
    GRand *const random = g_rand_new_with_seed((guint32)from + 1);
    pairs = g_ptr_array_new();
    const int64_t refused = counter_read("trackcove_peer_refused_total");
    size_t cut = from;
    for (; cut < end && pairs->len < most; cut += step)
        (void)open_pair(loop, random, by_server, stalls, cut);
    run_calls(loop);
    for (guint n = 0; n < pairs->len; n++) {
        pair_t *const p = g_ptr_array_index(pairs, n);
        g_assert_true(p->faulted);
        close_pair(p);
    }
    g_assert_cmpint(counter_read("trackcove_peer_refused_total"), ==, refused);
    g_ptr_array_free(pairs, TRUE);
    g_rand_free(random);
    loop_destroy(loop);
    return cut;
}

enum { AT_ONCE = 60 }; /* each pair uses two of the loop's ticks */

static void test_breaks(gconstpointer by_server)
{
    set_up();
    fault = fault_pair;
    /* Lengths of ids vary with the seed: the fault is reached by every pair only below the shortest total. */
    const size_t end = whole_length(by_server != NULL) - CALLS * LONGEST;
    for (size_t cut = 0; cut < end;)
        cut = run_pairs(by_server != NULL, false, cut, end, 1, AT_ONCE);
    tear_down();
}

static void test_stalls(gconstpointer by_server)
{
    set_up();
    fault = fault_pair;
    const size_t end = whole_length(by_server != NULL) - CALLS * LONGEST;
    (void)run_pairs(by_server != NULL, true, 0, end, end / AT_ONCE + 1, AT_ONCE);
    tear_down();
}

/* ===== Handshake before urgent frames ===== */

typedef struct {
    loop_t *loop;
    peer_net_t *server;
    char server_addr[32], client_addr[32];
    unsigned writes; /* by the server */
    bool blocked;    /* writes after its first one are delayed */
    bool tried;      /* a write was delayed */
    GString *order;  /* ids received by the client */
} hello_t;

static hello_t hello;

static ssize_t block_last_hello(uint16_t server, uint16_t client, bool by_server, size_t size)
{
    (void)server, (void)client;
    if (!by_server || hello.writes++ == 0 || !hello.blocked)
        return (ssize_t)size;
    hello.tried = true;
    return 0;
}

static void record_order(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    (void)arg, (void)call, (void)from, (void)type;
    g_string_append(hello.order, ((const msg_claim_t *)message)->id);
}

static void unblock(void *arg)
{
    (void)arg;
    hello.blocked = false;
}

static bool received_three(void *arg)
{
    (void)arg;
    return hello.order->len == 3;
}

static void send_named(peer_net_t *net, const char *addr, const char *id, bool first)
{
    msg_claim_t claim = {0};
    codec_copy_string(claim.id, sizeof(claim.id), id);
    (first ? peer_send_urgent : peer_send)(net, addr, MSG_CLAIM, &claim);
}

/** The last handshake frame waits for a full socket: urgent frames must not overtake it, or the peer refuses them. */
static void test_hello_is_not_overtaken(void)
{
    set_up();
    hello = (hello_t){.loop = loop_create(), .blocked = true, .order = g_string_new(NULL)};
    lab_unused_addr(hello.server_addr);
    lab_unused_addr(hello.client_addr);
    watch_port(hello.server_addr);
    fault = block_last_hello;
    hello.server = open_net(hello.loop, "server", hello.server_addr, no_op, NULL);
    peer_net_t *const client = open_net(hello.loop, "client", hello.client_addr, record_order, NULL);
    const int64_t refused = counter_read("trackcove_peer_refused_total");
    send_named(client, hello.server_addr, "x", false);
    lab_run_until_true(hello.loop, &hello.tried);
    send_named(hello.server, hello.client_addr, "a", false);
    send_named(hello.server, hello.client_addr, "1", true);
    send_named(hello.server, hello.client_addr, "2", true);
    loop_post(hello.loop, unblock, NULL);
    lab_run_until(hello.loop, received_three, NULL);
    g_assert_cmpstr(hello.order->str, ==, "12a");
    g_assert_cmpint(counter_read("trackcove_peer_refused_total"), ==, refused);
    peer_destroy(client);
    peer_destroy(hello.server);
    loop_destroy(hello.loop);
    g_string_free(hello.order, TRUE);
    tear_down();
}

/* ===== Callbacks that close connections ===== */

enum { ENDS = 2, SHORT_MS = 100 };

typedef struct {
    peer_net_t *asker; /* dials the middle box and calls it; never answers calls itself */
    char addr[32];
    peer_call_t question; /* handle of its call at the middle box */
    bool asked, answered;
    unsigned ended[ENDS]; /* how often each call of the middle box to it has ended */
} end_t;

static struct {
    peer_net_t *middle;
    char addr[32];
    end_t ends[ENDS];
    bool broken; /* writes of the middle box fail */
    bool crossed;
} middle;

static ssize_t break_middle(uint16_t server, uint16_t client, bool by_server, size_t size)
{
    (void)client;
    return middle.broken && by_server && server == addr_port(middle.addr) ? -1 : (ssize_t)size;
}

static void on_question(void *arg, peer_call_t call, const char *from, uint32_t type, const void *message)
{
    (void)arg, (void)type, (void)message;
    end_t *const end = &middle.ends[from[0] - '0'];
    end->question = call;
    end->asked = true;
}

static void on_question_end(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    (void)type, (void)message, (void)err;
    g_assert_cmpint(rc, ==, TC_E_BROKEN);
    ((end_t *)arg)->answered = true;
}

/** A call of the middle box has ended, and it answers the call of an asker: on the same connection, or on the other. */
static void on_middle_end(int end, int n)
{
    middle.broken = true;
    middle.ends[end].ended[n]++;
    const tc_err_t err = {.code = TC_E_UNREACHABLE, .step = "call"};
    peer_reply_error(middle.middle, middle.ends[middle.crossed ? 1 - end : end].question, &err);
}

static void on_end_00(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    (void)arg, (void)rc, (void)type, (void)message, (void)err;
    on_middle_end(0, 0);
}

static void on_end_01(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    (void)arg, (void)rc, (void)type, (void)message, (void)err;
    on_middle_end(0, 1);
}

static void on_end_10(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    (void)arg, (void)rc, (void)type, (void)message, (void)err;
    on_middle_end(1, 0);
}

static void on_end_11(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    (void)arg, (void)rc, (void)type, (void)message, (void)err;
    on_middle_end(1, 1);
}

static bool both_asked(void *arg)
{
    (void)arg;
    return middle.ends[0].asked && middle.ends[1].asked;
}

static bool both_answered(void *arg)
{
    (void)arg;
    return middle.ends[0].answered && middle.ends[1].answered;
}

/** Calls time out, and their callbacks send on connections that then turn out to be broken: each call ends once. */
static void test_callback_closes_connection(gconstpointer crossed)
{
    static const peer_reply_t fns[ENDS][ENDS] = {{on_end_00, on_end_01}, {on_end_10, on_end_11}};
    set_up();
    memset(&middle, 0, sizeof(middle));
    middle.crossed = crossed != NULL;
    loop_t *const loop = loop_create();
    lab_unused_addr(middle.addr);
    watch_port(middle.addr);
    fault = break_middle;
    middle.middle = open_net(loop, "middle", middle.addr, on_question, NULL);
    const msg_claim_t claim = {0};
    for (int i = 0; i < ENDS; i++) {
        end_t *const end = &middle.ends[i];
        lab_unused_addr(end->addr);
        end->asker = open_net(loop, i == 0 ? "0" : "1", end->addr, no_op, NULL);
        peer_call(end->asker, middle.addr, MSG_CLAIM, &claim, LIMIT_MS, on_question_end, end);
    }
    lab_run_until(loop, both_asked, NULL);
    for (int i = 0; i < ENDS; i++)
        for (int n = 0; n < ENDS; n++)
            peer_call(middle.middle, middle.ends[i].addr, MSG_CLAIM, &claim, SHORT_MS, fns[i][n], NULL);
    lab_run_until(loop, both_answered, NULL);
    for (int i = 0; i < ENDS; i++)
        for (int n = 0; n < ENDS; n++)
            g_assert_cmpuint(middle.ends[i].ended[n], ==, 1);
    for (int i = 0; i < ENDS; i++)
        peer_destroy(middle.ends[i].asker);
    peer_destroy(middle.middle);
    loop_destroy(loop);
    tear_down();
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_data_func("/peer-torn/client-breaks", NULL, test_breaks);
    g_test_add_data_func("/peer-torn/server-breaks", "server", test_breaks);
    g_test_add_data_func("/peer-torn/client-stands-still", NULL, test_stalls);
    g_test_add_data_func("/peer-torn/server-stands-still", "server", test_stalls);
    g_test_add_func("/peer-torn/hello-is-not-overtaken", test_hello_is_not_overtaken);
    g_test_add_data_func("/peer-torn/ends-within-a-walk", NULL, test_callback_closes_connection);
    g_test_add_data_func("/peer-torn/ends-within-a-walk-crossed", "crossed", test_callback_closes_connection);
    return g_test_run();
}
