/* The operators' interface: calls that start, end and list evacuations of data centres.
 *
 * Guards against 404 for these calls, and against delayed orders: an order that was delayed in the network arrives
 * together with the close of its connection, after its caller has sent another order. If it were carried out, an
 * evacuation that had ended would start again. */

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "platform/operators.h"
#include "unit/cluster_lab.h"

static const web_limits_t limits = {.header_bytes = 8192, .body_bytes = 4096, .header_ms = 2000, .idle_ms = 15000};
static const char *const dcs[] = {"a", "b", NULL};

typedef struct {
    fixture_t *f;
    operators_t operators[SEEDS];
    web_server_t *server[SEEDS];
    web_client_t *client;
} servers_t;

static void start_servers(servers_t *s, fixture_t *f)
{
    tc_err_t err = {0};
    s->f = f;
    s->client = web_client_create(f->loop);
    for (int i = 0; i < SEEDS; i++) {
        start_box(f, i, true);
        s->operators[i] = (operators_t){.replica = f->replica[i], .own_http = f->http[i], .dcs = dcs, .loop = f->loop};
        s->server[i] = web_server_start(f->loop, f->http[i], &limits, operators_handle, &s->operators[i], &err);
        g_assert_nonnull(s->server[i]);
    }
    lab_run_until(f->loop, has_leader, f);
    put(f, 4);
}

static void stop_servers(servers_t *s)
{
    for (int i = 0; i < SEEDS; i++)
        web_server_stop(s->server[i]);
    web_client_destroy(s->client);
}

/** Send a call. @param text expected in the response, or NULL @return the status */
static int call_at(servers_t *s, int at, const char *method, const char *path, const char *text)
{
    char *const request = g_strdup_printf("%s %s HTTP/1.1\r\nHost: x\r\n%s\r\n", method, path,
                                          strcmp(method, "POST") == 0 ? "Content-Length: 0\r\n" : "");
    lab_call_t *const call = lab_call(s->client, s->f->http[at], request);
    lab_run_until_true(s->f->loop, &call->done);
    const int status = call->status;
    if (text && !strstr(call->body->str, text) && !(call->headers && strstr(call->headers, text)))
        g_error("%s not in %s %s", text, call->headers, call->body->str);
    lab_call_free(call);
    g_free(request);
    return status;
}

static void test_calls(fixture_t *f, gconstpointer data)
{
    (void)data;
    servers_t s;
    start_servers(&s, f);
    const int at = leader(f), other = (at + 1) % SEEDS;
    g_assert_cmpint(call_at(&s, at, "POST", "/evacuations/a/start", NULL), ==, 200);
    g_assert_cmpint(call_at(&s, at, "POST", "/evacuations/a/start", NULL), ==, 200); /* idempotent */
    g_assert_cmpint(call_at(&s, at, "GET", "/evacuations", "[\"a\"]"), ==, 200);
    g_assert_cmpint(call_at(&s, at, "POST", "/evacuations/nowhere/start", "nowhere"), ==, 400);
    g_assert_cmpint(call_at(&s, at, "POST", "/evacuations/a/pause", NULL), ==, 404);
    g_assert_cmpint(call_at(&s, at, "GET", "/evacuations/a/start", NULL), ==, 404);
    g_assert_cmpint(call_at(&s, at, "POST", "/evacuations", NULL), ==, 404);
    g_assert_cmpint(call_at(&s, at, "POST", "/evacuations/b/end", NULL), ==, 200); /* was never started */
    g_assert_cmpint(call_at(&s, at, "POST", "/evacuations/a/end", NULL), ==, 200);
    g_assert_cmpint(call_at(&s, at, "GET", "/evacuations", "[]"), ==, 200);
    const int elsewhere = call_at(&s, other, "POST", "/evacuations/b/start", NULL);
    if (elsewhere == 307) /* else it knows no leader at present */
        (void)call_at(&s, other, "POST", "/evacuations/b/start", "/evacuations/b/start");
    g_assert_true(elsewhere == 307 || elsewhere == 503);
    stop_servers(&s);
}

static bool has_dropped_one(void *arg)
{
    return counter_read("trackcove_operators_dropped_total") > *(const int64_t *)arg;
}

/** An order whose connection closes right after it is not carried out. */
static void test_delayed_order(fixture_t *f, gconstpointer data)
{
    (void)data;
    servers_t s;
    start_servers(&s, f);
    const int at = leader(f);
    int64_t before = counter_read("trackcove_operators_dropped_total");
    tc_err_t err = {0};
    struct sockaddr_storage to;
    unsigned size;
    g_assert_cmpint(peer_parse_addr(f->http[at], &to, &size, &err), ==, TC_OK);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(connect(fd, (const struct sockaddr *)&to, size), ==, 0);
    static const char order[] = "POST /evacuations/a/start HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
    g_assert_cmpint(send(fd, order, sizeof(order) - 1, MSG_NOSIGNAL), ==, sizeof(order) - 1);
    close(fd);
    lab_run_until(f->loop, has_dropped_one, &before);
    g_assert_cmpint(call_at(&s, at, "GET", "/evacuations", "[]"), ==, 200);
    stop_servers(&s);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/operators/calls", fixture_t, NULL, set_up, test_calls, tear_down);
    g_test_add("/operators/delayed-order", fixture_t, NULL, set_up, test_delayed_order, tear_down);
    return g_test_run();
}
