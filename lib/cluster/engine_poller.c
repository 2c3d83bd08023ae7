#include "cluster/engine_poller.h"

#include <glib.h>
#include <string.h>

#include "common/counter.h"
#include "forward/dialect.h"
#include "web/web_fetch.h"

COUNTER_DEFINE(c_read, "counter", "trackcove_engines_read_total", "Answers of engines about what they run")
COUNTER_DEFINE(c_failed, "counter", "trackcove_engines_read_failed_total", "Engines that did not tell what they run")

/* ===== Constants ===== */

enum {
    /* Interval between queries to one engine while the scheduler's count is in doubt: streams last some seconds, and
     * answers lag by up to one. */
    SHORT_INTERVAL_MS = 500,
    /* The same interval while there is no reason to doubt the count. */
    LONG_INTERVAL_MS = 4000,
    /* Queries per second to all engines together: each is billed, and costs the leader's link some kilobytes. */
    QUERIES_PER_S_MAX = 20,
    QUERIES_IN_FLIGHT_MAX = 8,
    CONNECT_TIMEOUT_MS = 150, /* a reachable engine accepts within a few ms, busy or not */
    QUERY_TIMEOUT_MS = 300
};

/* ===== Types ===== */

typedef struct {
    engine_poller_t *poller;
    web_fetch_t ask;
    char engine[CODEC_STR_SIZE];
} query_t;

struct engine_poller {
    loop_t *loop;
    web_client_t *client;
    call_gate_t *gate;
    engine_poller_fn_t fn;
    void *arg;
    query_t queries[QUERIES_IN_FLIGHT_MAX];
    uint32_t next_index;  /* round-robin position in the list of back ends */
    tc_time_t queried_at; /* time of the last query to any engine */
};

/* ===== Answers ===== */

static void report_runs(const query_t *q, const GArray *runs)
{
    const engine_poller_t *const p = q->poller;
    sched_engine_request_t *const held = g_new0(sched_engine_request_t, runs->len + 1);
    for (guint i = 0; i < runs->len; i++) {
        const dialect_run_t *const run = &g_array_index(runs, dialect_run_t, i);
        codec_copy_string(held[i].engine_id, sizeof(held[i].engine_id), run->id);
        held[i].pieces = sched_pieces_of(SCHED_SMALL_PIECE_TOKENS, run->tokens, 0);
    }
    p->fn(p->arg, q->engine, held, runs->len);
    g_free(held);
}

static void on_head(void *arg, const web_head_t *head)
{
    const query_t *const q = arg;
    const availability_notice_t notice = dialect_read_notice(head);
    call_gate_update(q->poller->gate, q->engine, &notice, tc_time_now());
}

static void on_answer(void *arg, web_fetch_result_t how)
{
    query_t *const q = arg;
    const bool ok = how == WEB_FETCH_OK && q->ask.status == 200;
    GArray *const runs = ok ? dialect_read_runs((const char *)q->ask.body->data, q->ask.body->len) : NULL;
    counter_add(runs ? &c_read : &c_failed, 1);
    if (!runs)
        return; /* the next query follows soon; until then the engine's last known requests stay counted */
    report_runs(q, runs);
    g_array_free(runs, TRUE);
}

/* ===== Queries ===== */

static query_t *find_free_query(engine_poller_t *p)
{
    for (int i = 0; i < QUERIES_IN_FLIGHT_MAX; i++)
        if (!p->queries[i].ask.call)
            return &p->queries[i];
    return NULL;
}

static bool is_decode_engine(const backend_t *b)
{
    return strcmp(b->stage, "decode") == 0;
}

/** @return the next decode engine, round-robin, that accepts calls; NULL when none does */
static const backend_t *next_engine(engine_poller_t *p, const backend_t *backends, uint32_t n, tc_time_t now)
{
    for (uint32_t tries = 0; tries < n; tries++) {
        const backend_t *const b = &backends[p->next_index++ % n];
        if (is_decode_engine(b) && call_gate_accepts(p->gate, b->id, CALL_MAINTENANCE, now))
            return b;
    }
    return NULL;
}

/** @return the interval between queries to any two engines. @param per_engine_ms interval for one engine */
static tc_time_t compute_interval(const backend_t *backends, uint32_t n, tc_time_t per_engine_ms)
{
    uint32_t engines = 0;
    for (uint32_t i = 0; i < n; i++)
        engines += is_decode_engine(&backends[i]);
    const tc_time_t interval = engines > 0 ? per_engine_ms / (tc_time_t)engines : per_engine_ms;
    const tc_time_t interval_min = 1000 / QUERIES_PER_S_MAX;
    return interval > interval_min ? interval : interval_min;
}

void engine_poller_tick(engine_poller_t *p, const backend_t *backends, uint32_t n, bool often, tc_time_t now)
{
    const tc_time_t interval = compute_interval(backends, n, often ? SHORT_INTERVAL_MS : LONG_INTERVAL_MS);
    if (n == 0 || now - p->queried_at < interval)
        return;
    query_t *const q = find_free_query(p);
    const backend_t *const engine = q ? next_engine(p, backends, n, now) : NULL;
    if (!engine)
        return;
    p->queried_at = now;
    const web_fetch_options_t where = {.loop = p->loop,
                                       .client = p->client,
                                       .addr = engine->addr,
                                       .accepts_head = dialect_is_query_answer,
                                       .on_head = on_head,
                                       .connect_ms = CONNECT_TIMEOUT_MS,
                                       .limit_ms = QUERY_TIMEOUT_MS,
                                       .body_bytes = DIALECT_REPORT_MAX_BYTES};
    codec_copy_string(q->engine, sizeof(q->engine), engine->id);
    web_fetch(&q->ask, &where, dialect_write_engine_query(engine->addr), on_answer, q);
}

/* ===== Life ===== */

engine_poller_t *engine_poller_create(loop_t *loop, web_client_t *client, call_gate_t *gate, engine_poller_fn_t fn,
                                      void *arg)
{
    engine_poller_t *const p = g_new0(engine_poller_t, 1);
    p->loop = loop;
    p->client = client;
    p->gate = gate;
    p->fn = fn;
    p->arg = arg;
    for (int i = 0; i < QUERIES_IN_FLIGHT_MAX; i++) {
        p->queries[i].poller = p;
        p->queries[i].ask.body = g_byte_array_new();
    }
    return p;
}

void engine_poller_destroy(engine_poller_t *p)
{
    for (int i = 0; i < QUERIES_IN_FLIGHT_MAX; i++) {
        web_fetch_cancel(&p->queries[i].ask);
        g_byte_array_free(p->queries[i].ask.body, TRUE);
    }
    g_free(p);
}
