/* The test proxy: which bytes it forwards on a connection that is muted in one direction. */

#include <errno.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness/lab.h"
#include "harness/proxy.h"
#include "peer/peer.h"

enum {
    SETTLE_MS = 50 /* ten ticks of the proxy: all bytes that it forwards have arrived */
};

/* ===== Types ===== */

/** One end of a connection through the proxy. */
typedef struct {
    int fd;
    GString *in;
    size_t expected; /* bytes that end_expect waits for */
    bool over;       /* closed or reset by the other side */
} end_t;

typedef struct {
    end_t caller, server;
} connection_t;

typedef struct {
    loop_t *loop;
    char at[32], to[32];
    int listener, accepted;
    proxy_t *proxy;
} fixture_t;

/* ===== Set-up ===== */

static void set_up(fixture_t *f, gconstpointer data)
{
    tc_err_t err = {0};
    (void)data;
    f->loop = loop_create();
    lab_unused_addr(f->at);
    lab_unused_addr(f->to);
    f->listener = peer_open_listener(f->to, "listen", &err);
    g_assert_cmpint(f->listener, >=, 0);
    f->proxy = proxy_start(f->loop, f->at, f->to);
}

static void tear_down(fixture_t *f, gconstpointer data)
{
    (void)data;
    proxy_stop(f->proxy);
    close(f->listener);
    loop_destroy(f->loop);
}

/* ===== Connections ===== */

static bool has_accepted(void *arg)
{
    fixture_t *const f = arg;
    f->accepted = accept4(f->listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    return f->accepted >= 0;
}

static connection_t connection_open(fixture_t *f)
{
    struct sockaddr_storage at;
    unsigned size = 0;
    tc_err_t err = {0};
    g_assert_cmpint(peer_parse_addr(f->at, &at, &size, &err), ==, TC_OK);
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    g_assert_cmpint(connect(fd, (const struct sockaddr *)&at, size), ==, 0);
    lab_run_until(f->loop, has_accepted, f);
    return (connection_t){.caller = {.fd = fd, .in = g_string_new(NULL)},
                          .server = {.fd = f->accepted, .in = g_string_new(NULL)}};
}

static void end_close(end_t *e)
{
    close(e->fd);
    g_string_free(e->in, TRUE);
}

static void connection_close(connection_t *c)
{
    end_close(&c->caller);
    end_close(&c->server);
}

static void end_send(const end_t *e, const char *bytes)
{
    g_assert_cmpint(send(e->fd, bytes, strlen(bytes), MSG_NOSIGNAL), ==, (ssize_t)strlen(bytes));
}

static void end_read(end_t *e)
{
    char data[256];
    ssize_t n;
    while ((n = recv(e->fd, data, sizeof(data), MSG_DONTWAIT)) > 0)
        g_string_append_len(e->in, data, n);
    e->over |= n == 0 || errno != EAGAIN;
}

static bool end_has(void *arg)
{
    end_t *const e = arg;
    end_read(e);
    return e->over || e->in->len >= e->expected;
}

/** Asserts that exactly @p bytes were received and the connection is open. */
static void end_expect(const fixture_t *f, end_t *e, const char *bytes)
{
    e->expected = strlen(bytes);
    lab_run_until(f->loop, end_has, e);
    lab_run_for(f->loop, SETTLE_MS);
    end_read(e);
    g_assert_cmpstr(e->in->str, ==, bytes);
    g_assert_false(e->over);
}

/* ===== Tests ===== */

static const bool answers = true, calls = false;

/** @param data whether answers are dropped, else calls */
static void test_mute_after(fixture_t *f, gconstpointer data)
{
    const bool of_answers = *(const bool *)data;
    connection_t old = connection_open(f);
    end_t *const from = of_answers ? &old.server : &old.caller;
    end_t *const to = of_answers ? &old.caller : &old.server;
    end_send(from, "before ");
    end_expect(f, to, "before ");
    proxy_blackhole_after(f->proxy, of_answers, 8);
    end_send(from, "01234");
    end_expect(f, to, "before 01234");
    end_send(from, "56789");
    end_expect(f, to, "before 01234567"); /* the last two bytes are dropped */
    end_send(from, "more");
    end_expect(f, to, "before 01234567"); /* and all bytes after them */
    proxy_set(f->proxy, PROXY_PASS);
    end_send(from, "more");
    end_expect(f, to, "before 01234567"); /* the connection stays open and muted */
    end_send(to, "the other way");
    end_expect(f, from, "the other way"); /* the other direction is forwarded */
    connection_t new = connection_open(f);
    end_send(&new.caller, "a call of more than eight bytes");
    end_expect(f, &new.server, "a call of more than eight bytes");
    end_send(&new.server, "an answer of more than eight bytes");
    end_expect(f, &new.caller, "an answer of more than eight bytes");
    end_expect(f, to, "before 01234567");
    connection_close(&new);
    connection_close(&old);
}

/** With a limit of 0 the next byte is dropped already. */
static void test_mute_after_nothing(fixture_t *f, gconstpointer data)
{
    connection_t c = connection_open(f);
    (void)data;
    proxy_blackhole_after(f->proxy, answers, 0);
    end_send(&c.server, "lost");
    end_send(&c.caller, "call");
    end_expect(f, &c.server, "call");
    end_expect(f, &c.caller, "");
    connection_close(&c);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add("/proxy/mute-after-some-answers", fixture_t, &answers, set_up, test_mute_after, tear_down);
    g_test_add("/proxy/mute-after-some-calls", fixture_t, &calls, set_up, test_mute_after, tear_down);
    g_test_add("/proxy/mute-after-nothing", fixture_t, NULL, set_up, test_mute_after_nothing, tear_down);
    return g_test_run();
}
