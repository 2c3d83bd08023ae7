/* The operators' interface: calls that start, end and list evacuations of data centres, and the view of admission.
 *
 * Guards against 404 for these calls, and against delayed orders: an order that was delayed in the network arrives
 * together with the close of its connection, after its caller has sent another order. If it were carried out, an
 * evacuation that had ended would start again. Also guards against a view of admission from a box that does not lead.
 */

#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness/log_check.h"
#include "platform/operators.h"
#include "unit/cluster_lab.h"

static const web_limits_t limits = {.header_bytes = 8192, .body_bytes = 4096, .header_ms = 2000, .idle_ms = 15000};
static const char *const dcs[] = {"a", "b", NULL};

typedef struct {
    fixture_t *f;
    operators_t operators[SEEDS];
    web_server_t *server[SEEDS];
    web_client_t *client;
    unsigned repeats; /* of calls that were too early */
} servers_t;

static void start_servers(servers_t *s, fixture_t *f)
{
    tc_err_t err = {0};
    s->f = f;
    s->repeats = 0;
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
    if (text && status != 503 && !strstr(call->body->str, text) && !(call->headers && strstr(call->headers, text)))
        g_error("%s not in %s %s", text, call->headers, call->body->str);
    lab_call_free(call);
    g_free(request);
    return status;
}

enum { LAPSE_NOTED_MS = 100 /* a lapse is counted at the next tick */ };

/** As call_at, at the leader. A leader whose lease lapses answers 503, which says nothing about the call: its metrics
 * tell of each lapse, and then the call is repeated. */
static int call_leader(servers_t *s, const char *method, const char *path, const char *text)
{
    for (;;) {
        lab_run_until(s->f->loop, has_leader, s->f);
        const int64_t before = counter_read("trackcove_cluster_lease_lapses_total");
        const int at = leader(s->f);
        const int status = at < 0 ? 503 : call_at(s, at, method, path, text);
        if (status == 503)
            lab_run_for(s->f->loop, LAPSE_NOTED_MS);
        if (status != 503 || counter_read("trackcove_cluster_lease_lapses_total") == before)
            return status;
    }
}

static void test_calls(fixture_t *f, gconstpointer data)
{
    (void)data;
    servers_t s;
    start_servers(&s, f);
    g_assert_cmpint(call_leader(&s, "POST", "/evacuations/a/start", NULL), ==, 200);
    g_assert_cmpint(call_leader(&s, "POST", "/evacuations/a/start", NULL), ==, 200); /* idempotent */
    g_assert_cmpint(call_leader(&s, "GET", "/evacuations", "[\"a\"]"), ==, 200);
    g_assert_cmpint(call_leader(&s, "POST", "/evacuations/nowhere/start", "nowhere"), ==, 400);
    g_assert_cmpint(call_leader(&s, "POST", "/evacuations/a/pause", NULL), ==, 404);
    g_assert_cmpint(call_leader(&s, "GET", "/evacuations/a/start", NULL), ==, 404);
    g_assert_cmpint(call_leader(&s, "POST", "/evacuations", NULL), ==, 404);
    g_assert_cmpint(call_leader(&s, "POST", "/evacuations/b/end", NULL), ==, 200); /* was never started */
    g_assert_cmpint(call_leader(&s, "POST", "/evacuations/a/end", NULL), ==, 200);
    g_assert_cmpint(call_leader(&s, "GET", "/evacuations", "[]"), ==, 200);
    const int other = (leader(f) + 1) % SEEDS;
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
    const int at = await_leader(f);
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

static void ignore_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    (void)arg, (void)rc, (void)type, (void)message, (void)err;
}

/** Ask the leader for slots of the service "app". */
static void take_slots(fixture_t *f, peer_net_t *box, const char *workspace, unsigned n)
{
    enum { PATIENCE_MS = 60000 };
    msg_slot_take_t take = {.box = "box", .service = "app", .wait_ms = PATIENCE_MS, .patience_ms = PATIENCE_MS};
    codec_copy_string(take.workspace, sizeof(take.workspace), workspace);
    for (unsigned i = 0; i < n; i++) {
        g_snprintf(take.id, sizeof(take.id), "%s-%u", workspace, i);
        peer_call(box, f->addr[await_leader(f)], MSG_SLOT_TAKE, &take, 1000, ignore_answer, NULL);
    }
}

static lab_call_t *get_view(servers_t *s, int at)
{
    lab_call_t *const call = lab_call(s->client, s->f->http[at], "GET /admission HTTP/1.1\r\nHost: x\r\n\r\n");
    lab_run_until_true(s->f->loop, &call->done);
    return call;
}

/** Whether the leader's view of admission has @p text. */
static bool view_has(servers_t *s, const char *text)
{
    lab_call_t *const call = get_view(s, await_leader(s->f));
    const bool has = call->status == 200 && strstr(call->body->str, text);
    lab_call_free(call);
    return has;
}

/** A box that does not lead sends the caller on, unless it knows no leader at present. */
static void expect_sent_on(servers_t *s)
{
    const int at = await_leader(s->f), other = (at + 1) % SEEDS;
    lab_call_t *const call = get_view(s, other);
    if (call->status == 307)
        g_assert_nonnull(strstr(call->headers, "/admission\n"));
    else if (leader(s->f) != other) /* it may have been elected meanwhile */
        g_assert_cmpint(call->status, ==, 503);
    lab_call_free(call);
}

/** Wait before a call is repeated. Fails the test after 60 s. */
static void wait_to_repeat(servers_t *s)
{
    enum { INTERVAL_MS = 20, REPEATS_MAX = 3000 };
    g_assert_cmpuint(s->repeats++, <, REPEATS_MAX);
    lab_run_for(s->f->loop, INTERVAL_MS);
}

/** The view from the leader shows a burst of one workspace first; other boxes send operators on, and a box that has
 * lost all others asks them to retry. */
static void test_admission(fixture_t *f, gconstpointer data)
{
    enum { BURST = 6, CALM = 2 };
    (void)data;
    servers_t s;
    tc_err_t err = {0};
    start_servers(&s, f);
    while (!view_has(&s, "{\"held\":true,\"services\":[]}"))
        wait_to_repeat(&s);
    g_assert_cmpint(call_at(&s, await_leader(f), "POST", "/admission", NULL), ==, 404);
    const backend_t app = {.id = "i", .service = "app", .addr = "127.0.0.1:1", .dc = "a", .slots = 1};
    for (int i = 0; i < SEEDS; i++)
        replica_set_backends(f->replica[i], &app, 1, tc_time_now());
    const peer_options_t options = {.box = "box", .incarnation = 1, .listen = "", .key_file = ""};
    peer_net_t *const box = peer_create(f->loop, &options, &err);
    g_assert_nonnull(box);
    do {
        take_slots(f, box, "calm", CALM);
        take_slots(f, box, "burst", BURST);
        wait_to_repeat(&s);
    } while (!view_has(&s, "\"workspaces\":[{\"workspace\":\"burst\""));
    expect_sent_on(&s);
    peer_destroy(box);
    const int at = await_leader(f);
    for (int i = 0; i < SEEDS; i++)
        if (i != at)
            stop_box(f, i);
    while (call_at(&s, at, "GET", "/admission", NULL) != 503)
        wait_to_repeat(&s);
    g_assert_cmpint(call_at(&s, at, "GET", "/admission", "0.3"), ==, 503);
    stop_servers(&s);
}

/* ===== Any bytes ===== */

enum { ANY_CALLS = 400, ANY_BYTES_MAX = 200 };

/** Text of random characters, which are valid UTF-8 or, in one case of four, any bytes. JSON can quote it. */
static char *any_text(GRand *random)
{
    const bool any = g_rand_int_range(random, 0, 4) == 0;
    GString *const text = g_string_new(NULL);
    for (int left = g_rand_int_range(random, 0, ANY_BYTES_MAX); left > 0; left--) {
        const int c = g_rand_int_range(random, 0x80, any ? 0x100 : 0x800);
        if (any)
            g_string_append_c(text, (char)c);
        else
            g_string_append_unichar(text, g_rand_boolean(random) ? (gunichar)c : 'a');
    }
    return g_string_free(text, FALSE);
}

/** An invalid configuration: a route names a service that is not there, or a name is there twice, or no JSON at all. */
static char *any_config(GRand *random)
{
    static const char *const forms[] = {
        "{\"version\":9,\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/%s/\",\"timeout_ms\":9,\"service\":\"%s\"}],"
        "\"services\":[]}",
        "{\"version\":9,\"routes\":[],\"services\":[{\"name\":\"%s\"},{\"name\":\"%s\",\"max_connections\":-1}]}",
        "{\"version\":9,\"tenants\":[{\"name\":\"a%s\",\"api_keys\":[\"%s\",\"\"]}]}",
        "{\"version\":9,\"%s\":1,\"%s\":{",
    };
    char *const one = any_text(random), *const two = any_text(random);
    char *const text = g_strdup_printf(forms[g_rand_int_range(random, 0, G_N_ELEMENTS(forms))], one, two);
    g_free(one);
    g_free(two);
    return text;
}

/** A call with a random body, or with a random name in its path, as bytes that are quoted for a URL. */
static char *any_call(GRand *random)
{
    if (g_rand_boolean(random)) {
        char *const body = any_config(random);
        char *const call = g_strdup_printf("POST /config/put HTTP/1.1\r\nHost: x\r\nContent-Length: %zu\r\n\r\n%s",
                                           strlen(body), body);
        g_free(body);
        return call;
    }
    char *const name = any_text(random);
    GString *const quoted = g_string_new(NULL);
    for (const char *c = name; *c; c++)
        g_string_append_printf(quoted, "%%%02x", (unsigned)(unsigned char)*c);
    char *const call =
        g_strdup_printf("POST /evacuations/%s/start HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", quoted->str);
    g_string_free(quoted, TRUE);
    g_free(name);
    return call;
}

/** An error text that quoted a name cut within a character, or bytes that are no UTF-8, ended each control process that
 *  answered with it. */
static void test_any_bytes(fixture_t *f, gconstpointer data)
{
    (void)data;
    servers_t s;
    start_servers(&s, f);
    log_check_begin();
    GRand *const random = g_rand_new_with_seed(1);
    unsigned refused = 0;
    for (int i = 0; i < ANY_CALLS; i++) {
        char *const request = any_call(random);
        lab_call_t *const call = lab_call(s.client, f->http[i % SEEDS], request);
        lab_run_until_true(f->loop, &call->done);
        g_assert_cmpint(call->how, ==, WEB_RESULT_COMPLETE);
        json_t *const answer = json_loadb(call->body->str, call->body->len, 0, NULL);
        if (!json_is_object(answer) || call->status < 300)
            g_error("status %d, answer %s to %s", call->status, call->body->str, request);
        refused += call->status == 400;
        json_decref(answer);
        lab_call_free(call);
        g_free(request);
    }
    g_assert_cmpuint(refused, >, ANY_CALLS / 2);
    g_assert_cmpuint(log_check_end(), >=, refused);
    g_rand_free(random);
    stop_servers(&s);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/operators/calls", fixture_t, NULL, set_up, test_calls, tear_down);
    g_test_add("/operators/delayed-order", fixture_t, NULL, set_up, test_delayed_order, tear_down);
    g_test_add("/operators/admission", fixture_t, NULL, set_up, test_admission, tear_down);
    g_test_add("/operators/any-bytes", fixture_t, NULL, set_up, test_any_bytes, tear_down);
    return g_test_run();
}
