/* Orders to engines: who may send them and when, which reports they refer to, and how answers are handled. Engines
 * are fakes on 127.0.0.1; the test sets the rebalancer's time. */

#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "harness/lab.h"
#include "roles/rebalancer.h"

enum { ENGINES = 8, PREFILLS = 4, ORDER_DELAY_MS = 3000 };

typedef struct {
    loop_t *loop;
    web_client_t *client;
    call_gate_t *gate;
    rebalancer_t *rebalancer;
    char addr[ENGINES][32];
    lab_backend_t *engine[ENGINES];
    backend_t list[ENGINES];
    rebalancer_input_t view;
    tc_time_t now;
    GString *orders; /* all orders received, concatenated */
    unsigned queries, ordered;
    unsigned orders_taken; /* number of accepted orders that engines report */
    const char *notice;    /* header lines of engines' reports */
    int status;            /* of the answer to an order */
    bool silent;           /* orders get no answer */
} fixture_t;

static lab_reply_t script(void *arg, const char *request)
{
    fixture_t *const f = arg;
    if (g_str_has_prefix(request, "GET /report ")) {
        f->queries++;
        char *const body = g_strdup_printf("{\"stage\":\"prefill\",\"busy\":false,\"call_seq\":%u}", f->orders_taken);
        const lab_reply_t reply = {.bytes = g_strdup_printf("HTTP/1.1 200 OK\r\n%sContent-Length: %zu\r\n\r\n%s",
                                                            f->notice, strlen(body), body)};
        g_free(body);
        return reply;
    }
    g_string_append(f->orders, request);
    f->ordered++;
    if (f->silent)
        return (lab_reply_t){.bytes = NULL};
    return (lab_reply_t){.bytes = g_strdup_printf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", f->status)};
}

static void set_up(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->loop = loop_create();
    f->client = web_client_create(f->loop);
    f->gate = call_gate_create(NULL, NULL);
    f->rebalancer = rebalancer_create(f->loop, f->client, f->gate, "box-1", ORDER_DELAY_MS);
    f->orders = g_string_new(NULL);
    f->status = 202;
    f->notice = "";
    f->orders_taken = 5;
    f->now = tc_time_now();
    for (int i = 0; i < ENGINES; i++) {
        lab_unused_addr(f->addr[i]);
        f->engine[i] = lab_backend_start(f->loop, f->addr[i], script, f);
        backend_t *const b = &f->list[i];
        g_snprintf(b->id, sizeof(b->id), "e%d", i);
        codec_copy_string(b->service, sizeof(b->service), "lm");
        codec_copy_string(b->addr, sizeof(b->addr), f->addr[i]);
        codec_copy_string(b->dc, sizeof(b->dc), i == 1 ? "b" : "a");
        codec_copy_string(b->stage, sizeof(b->stage), i < PREFILLS ? "prefill" : "decode");
    }
    f->view = (rebalancer_input_t){.term = 7,
                                   .backends = f->list,
                                   .backends_n = ENGINES,
                                   .service = "lm",
                                   /* three prefill engines would be half busy, two are too few */
                                   .load = {.prefill = 1.5, .prefill_slow = 1.5, .decode = 3.0}};
}

static void tear_down(fixture_t *f, gconstpointer data)
{
    (void)data;
    rebalancer_destroy(f->rebalancer);
    call_gate_destroy(f->gate);
    for (int i = 0; i < ENGINES; i++)
        lab_backend_stop(f->engine[i]);
    web_client_destroy(f->client);
    loop_destroy(f->loop);
    g_string_free(f->orders, TRUE);
}

/** Advances the rebalancer's time with a tick every 50 ms of it, and runs the loop so that calls are answered. */
static void advance(fixture_t *f, tc_time_t span)
{
    for (const tc_time_t until = f->now + span; f->now < until; f->now += 50) {
        rebalancer_tick(f->rebalancer, &f->view, f->now);
        lab_run_for(f->loop, 5);
    }
}

static uint32_t moving(const fixture_t *f)
{
    leaving_cfg_t list[ENGINES];
    return rebalancer_list_moving(f->rebalancer, list, ENGINES);
}

static void test_order(fixture_t *f, gconstpointer data)
{
    (void)data;
    advance(f, 6000);
    g_assert_cmpuint(f->ordered, ==, 1);
    g_assert_nonnull(strstr(f->orders->str, "POST /order "));
    g_assert_nonnull(strstr(f->orders->str, "Expect-Instance: e0\r\n")); /* the data centre with most prefill engines */
    g_assert_nonnull(strstr(f->orders->str, "\"op\":\"stage\""));
    g_assert_nonnull(strstr(f->orders->str, "\"stage\":\"decode\""));
    g_assert_nonnull(strstr(f->orders->str, "\"holder\":\"box-1\""));
    g_assert_nonnull(strstr(f->orders->str, "\"fencing_token\":7"));
    g_assert_nonnull(strstr(f->orders->str, "\"expected_rev\":5"));
    g_assert_cmpuint(moving(f), ==, 1);
    codec_copy_string(f->list[0].stage, sizeof(f->list[0].stage), "decode");
    advance(f, 100);
    g_assert_cmpuint(moving(f), ==, 0); /* the list shows the new stage */
}

/** Promise: no order is sent while one of an older leader may still arrive. */
static void test_waits_for_order_delay(fixture_t *f, gconstpointer data)
{
    (void)data;
    advance(f, ORDER_DELAY_MS);
    g_assert_cmpuint(f->queries, ==, 0);
    f->view.term = 0; /* the lease was lost for a moment: another box may have led */
    advance(f, 50);
    f->view.term = 7;
    advance(f, ORDER_DELAY_MS);
    g_assert_cmpuint(f->queries, ==, 0);
    f->view.term = 9;
    advance(f, ORDER_DELAY_MS);
    g_assert_cmpuint(f->queries, ==, 0);
    advance(f, 3000);
    g_assert_cmpuint(f->ordered, ==, 1);
}

static void test_no_order_without_leading(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->view.term = 0;
    advance(f, 8000);
    g_assert_cmpuint(f->queries + f->ordered, ==, 0);
}

/** Promise: after an engine has refused because of a higher fence, no more orders are sent. */
static void test_fenced(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->status = 412;
    advance(f, 20000);
    g_assert_cmpuint(f->ordered, ==, 1);
}

/** An order without an answer may still be carried out: meanwhile the engine gets no second order and no new work. */
static void test_unknown_order_is_not_repeated(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->silent = true;
    advance(f, 6000);
    g_assert_cmpuint(f->ordered, ==, 1);
    lab_run_for(f->loop, 1100); /* the call's time limit is in real time */
    advance(f, 10000);
    g_assert_cmpuint(moving(f), ==, 1);
    g_assert_cmpuint(f->ordered, ==, 1);
    advance(f, 10000);
    g_assert_cmpuint(f->ordered, ==, 2); /* given up, and started anew */
}

static void test_refused_engine_is_left_alone(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->status = 409;
    advance(f, 5500);
    g_assert_cmpuint(moving(f), ==, 0);
    g_assert_nonnull(strstr(f->orders->str, "Expect-Instance: e0\r\n"));
    g_assert_null(strstr(strstr(f->orders->str, "Expect-Instance: e0\r\n") + 1, "Expect-Instance: e0\r\n"));
}

/** An engine whose report says that it is leaving gets no order, and is not queried again. */
static void test_leaving_engine_gets_no_order(fixture_t *f, gconstpointer data)
{
    (void)data;
    f->notice = "Server-Leaving: 1\r\n";
    advance(f, 20000);
    g_assert_cmpuint(f->ordered, ==, 0);
    g_assert_cmpuint(f->queries, <=, PREFILLS); /* each prefill engine once */
}

/** A data centre with all prefill engines but one is evacuated: its engines count in no pool and get no calls, and a
 *  decode engine elsewhere is asked to replace them. */
static void test_evacuated_data_centre(fixture_t *f, gconstpointer data)
{
    (void)data;
    for (int i = PREFILLS; i < ENGINES; i++)
        codec_copy_string(f->list[i].dc, sizeof(f->list[i].dc), "b");
    evacuated_dc_t dc = {.dc = "a"};
    const evacuations_t held = {.version = 3, .list = &dc, .list_n = 1};
    f->view.evacuations = &held;
    f->view.load = (pool_load_t){.prefill = 1.5, .prefill_slow = 1.5, .decode = 1.0};
    advance(f, 6000);
    unsigned asked = 0;
    for (int i = 0; i < ENGINES; i++) {
        const unsigned requests = lab_backend_requests(f->engine[i]);
        g_assert_true(i >= PREFILLS || requests == 0);
        asked += requests;
    }
    g_assert_cmpuint(asked, >=, 1); /* the report that precedes an order */
}

static bool takes_calls(void *arg, const char *backend, call_purpose_t purpose)
{
    (void)arg, (void)purpose;
    return strcmp(backend, "e0") != 0;
}

/** Notices that the gate has from elsewhere count as well. */
static void test_engine_that_is_closed_by_others(fixture_t *f, gconstpointer data)
{
    (void)data;
    rebalancer_destroy(f->rebalancer);
    call_gate_destroy(f->gate);
    f->gate = call_gate_create(takes_calls, NULL);
    f->rebalancer = rebalancer_create(f->loop, f->client, f->gate, "box-1", ORDER_DELAY_MS);
    advance(f, 6000);
    g_assert_cmpuint(f->ordered, ==, 1);
    g_assert_null(strstr(f->orders->str, "Expect-Instance: e0\r\n"));
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
#define TEST(name, fn) g_test_add("/rebalancer/" name, fixture_t, NULL, set_up, fn, tear_down)
    TEST("evacuated-data-centre", test_evacuated_data_centre);
    TEST("order", test_order);
    TEST("waits-for-order-delay", test_waits_for_order_delay);
    TEST("no-order-without-leading", test_no_order_without_leading);
    TEST("leaving-engine-gets-no-order", test_leaving_engine_gets_no_order);
    TEST("engine-that-is-closed-by-others", test_engine_that_is_closed_by_others);
    TEST("fenced", test_fenced);
    TEST("unknown-order-is-not-repeated", test_unknown_order_is_not_repeated);
    TEST("refused-engine-is-left-alone", test_refused_engine_is_left_alone);
    return g_test_run();
}
