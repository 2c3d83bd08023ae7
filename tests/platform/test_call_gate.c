/* Calls to engines other than requests: engines get none while their answers ask for none. */

#include <glib.h>
#include <string.h>

#include "backend/call_gate.h"
#include "cluster/engine_poller.h"
#include "harness/lab.h"

enum { ENGINES = 2 };

/* ===== Gate ===== */

static void test_gate(void)
{
    call_gate_t *const g = call_gate_create(NULL, NULL);
    const availability_notice_t closed = {.retry_after = 100}, leaving = {.leaving = true}, nothing = {0};
    call_gate_update(g, "a", &closed, 1000);
    call_gate_update(g, "a", &nothing, 1050);
    call_gate_update(g, "b", &leaving, 1000);
    g_assert_false(call_gate_accepts(g, "a", CALL_MAINTENANCE, 1099));
    g_assert_true(call_gate_accepts(g, "a", CALL_NEW_WORK, 1100));
    g_assert_false(call_gate_accepts(g, "b", CALL_NEW_WORK, 1001));
    g_assert_true(call_gate_accepts(g, "b", CALL_MAINTENANCE, 1001));
    g_assert_true(call_gate_accepts(g, "c", CALL_NEW_WORK, 1001));
    const backend_t list[] = {{.id = "b"}};
    call_gate_update(g, "a", &closed, 2000);
    call_gate_set_list(g, list, 1, 2000);
    g_assert_true(
        call_gate_accepts(g, "a", CALL_MAINTENANCE, 2001)); /* not listed any more: a new one may reuse its name */
    g_assert_false(call_gate_accepts(g, "b", CALL_NEW_WORK, 2001));
    call_gate_set_list(g, list, 1, 1000 + AVAILABILITY_LISTED_MS);
    g_assert_true(call_gate_accepts(g, "b", CALL_NEW_WORK, 2001));
    call_gate_destroy(g);
}

/* ===== Status queries to engines ===== */

typedef struct {
    unsigned queries[ENGINES], answers;
} counts_t;

static lab_reply_t refuse(void *arg, const char *request)
{
    (void)request;
    ++*(unsigned *)arg;
    return (lab_reply_t){.bytes = g_strdup("HTTP/1.1 503 Busy\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n")};
}

static lab_reply_t send_runs(void *arg, const char *request)
{
    (void)request;
    ++*(unsigned *)arg;
    return (lab_reply_t){.bytes = g_strdup("HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"runs\":[]}")};
}

static void on_read(void *arg, const char *engine, const sched_engine_request_t *held, uint32_t n)
{
    (void)engine, (void)held, (void)n;
    ((counts_t *)arg)->answers++;
}

static void tick(loop_t *loop, engine_poller_t *reader, const backend_t *list)
{
    engine_poller_tick(reader, list, ENGINES, true, tc_time_now());
    lab_run_for(loop, 5);
}

/** An engine that asked for no calls gets no status query until that time is over; the other engines do. */
static void test_reader(void)
{
    loop_t *const loop = loop_create();
    web_client_t *const client = web_client_create(loop);
    call_gate_t *const gate = call_gate_create(NULL, NULL);
    counts_t counts = {0};
    engine_poller_t *const reader = engine_poller_create(loop, client, gate, on_read, &counts);
    backend_t list[ENGINES];
    lab_backend_t *engines[ENGINES];
    memset(list, 0, sizeof(list));
    for (int i = 0; i < ENGINES; i++) {
        g_snprintf(list[i].id, sizeof(list[i].id), "e%d", i);
        codec_copy_string(list[i].stage, sizeof(list[i].stage), "decode");
        char addr[32];
        lab_unused_addr(addr);
        codec_copy_string(list[i].addr, sizeof(list[i].addr), addr);
        engines[i] = lab_backend_start(loop, addr, i == 0 ? refuse : send_runs, &counts.queries[i]);
    }
    while (call_gate_accepts(gate, "e0", CALL_MAINTENANCE, tc_time_now()))
        tick(loop, reader, list);
    g_assert_cmpuint(counts.queries[0], ==, 1);
    const unsigned before = counts.queries[1];
    while (!call_gate_accepts(gate, "e0", CALL_MAINTENANCE, tc_time_now())) {
        g_assert_cmpuint(counts.queries[0], ==, 1);
        tick(loop, reader, list);
    }
    g_assert_cmpuint(counts.queries[1], >, before);
    g_assert_cmpuint(counts.answers, >, 0);
    engine_poller_destroy(reader);
    call_gate_destroy(gate);
    for (int i = 0; i < ENGINES; i++)
        lab_backend_stop(engines[i]);
    web_client_destroy(client);
    loop_destroy(loop);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/call-gate/gate", test_gate);
    g_test_add_func("/call-gate/reader", test_reader);
    return g_test_run();
}
