#include "cluster/engine_poller.h"

#include <glib.h>
#include <string.h>

#include "common/counter.h"
#include "forward/dialect.h"
#include "web/web_ask.h"

COUNTER_DEFINE(c_read, "counter", "trackcove_engines_read_total", "Answers of engines about what they run")
COUNTER_DEFINE(c_failed, "counter", "trackcove_engines_read_failed_total", "Engines that did not tell what they run")

/* ===== Constants ===== */

enum {
    OFTEN_MS = 500,   /* between two questions to one engine: streams last some seconds, answers lag by up to one */
    SELDOM_MS = 4000, /* the same while there is no reason to doubt what is counted */
    RATE_MAX_S = 20,  /* questions a second to all engines together: each is priced, and costs the leader's link some
                         kilobytes */
    AT_ONCE = 8,      /* questions under way */
    CONNECT_MS = 150, /* an engine in reach answers in a few ms, busy or not */
    ANSWER_MS = 300
};

/* ===== Types ===== */

typedef struct {
    engine_poller_t *reader;
    web_ask_t ask;
    char engine[CODEC_STR_SIZE];
} question_t;

struct engine_poller {
    loop_t *loop;
    web_client_t *client;
    call_gate_t *gate;
    engine_poller_fn_t fn;
    void *arg;
    question_t questions[AT_ONCE];
    uint32_t turn; /* through the list of back ends */
    tc_time_t asked_at;
};

/* ===== Answers ===== */

static void take_runs(const question_t *q, const GArray *runs)
{
    const engine_poller_t *const r = q->reader;
    sched_engine_request_t *const held = g_new0(sched_engine_request_t, runs->len + 1);
    for (guint i = 0; i < runs->len; i++) {
        const dialect_run_t *const run = &g_array_index(runs, dialect_run_t, i);
        codec_copy_string(held[i].engine_id, sizeof(held[i].engine_id), run->id);
        held[i].pieces = sched_pieces_of(SCHED_SMALL_PIECE_TOKENS, run->tokens, 0);
    }
    r->fn(r->arg, q->engine, held, runs->len);
    g_free(held);
}

static void on_head(void *arg, const web_head_t *head)
{
    const question_t *const q = arg;
    const availability_notice_t notice = dialect_read_notice(head);
    call_gate_update(q->reader->gate, q->engine, &notice, tc_time_now());
}

static void on_answer(void *arg, web_ask_end_t how)
{
    question_t *const q = arg;
    const bool whole = how == WEB_ASK_WHOLE && q->ask.status == 200;
    GArray *const runs = whole ? dialect_read_runs((const char *)q->ask.body->data, q->ask.body->len) : NULL;
    counter_add(runs ? &c_read : &c_failed, 1);
    if (!runs)
        return; /* the next question follows soon; what the engine held is counted as before */
    take_runs(q, runs);
    g_array_free(runs, TRUE);
}

/* ===== Questions ===== */

static question_t *free_question(engine_poller_t *r)
{
    for (int i = 0; i < AT_ONCE; i++)
        if (!r->questions[i].ask.call)
            return &r->questions[i];
    return NULL;
}

static bool runs_streams(const backend_t *b)
{
    return strcmp(b->stage, "decode") == 0;
}

/** The next decode engine in turn that takes the question, or NULL. */
static const backend_t *next_engine(engine_poller_t *r, const backend_t *backends, uint32_t n, tc_time_t now)
{
    for (uint32_t tries = 0; tries < n; tries++) {
        const backend_t *const b = &backends[r->turn++ % n];
        if (runs_streams(b) && call_gate_accepts(r->gate, b->id, CALL_MAINTENANCE, now))
            return b;
    }
    return NULL;
}

/** Time between two questions to any engine. */
static tc_time_t pause_of(const backend_t *backends, uint32_t n, tc_time_t every)
{
    uint32_t engines = 0;
    for (uint32_t i = 0; i < n; i++)
        engines += runs_streams(&backends[i]);
    const tc_time_t even = engines > 0 ? every / (tc_time_t)engines : every;
    const tc_time_t least = 1000 / RATE_MAX_S;
    return even > least ? even : least;
}

void engine_poller_tick(engine_poller_t *r, const backend_t *backends, uint32_t n, bool often, tc_time_t now)
{
    const tc_time_t pause = pause_of(backends, n, often ? OFTEN_MS : SELDOM_MS);
    if (n == 0 || now - r->asked_at < pause)
        return;
    question_t *const q = free_question(r);
    const backend_t *const engine = q ? next_engine(r, backends, n, now) : NULL;
    if (!engine)
        return;
    r->asked_at = now;
    const web_ask_where_t where = {.loop = r->loop,
                                   .client = r->client,
                                   .addr = engine->addr,
                                   .is_ours = dialect_is_query_answer,
                                   .on_head = on_head,
                                   .connect_ms = CONNECT_MS,
                                   .limit_ms = ANSWER_MS};
    codec_copy_string(q->engine, sizeof(q->engine), engine->id);
    web_ask(&q->ask, &where, dialect_write_engine_query(engine->addr), on_answer, q);
}

/* ===== Life ===== */

engine_poller_t *engine_poller_create(loop_t *loop, web_client_t *client, call_gate_t *gate, engine_poller_fn_t fn,
                                      void *arg)
{
    engine_poller_t *const r = g_new0(engine_poller_t, 1);
    r->loop = loop;
    r->client = client;
    r->gate = gate;
    r->fn = fn;
    r->arg = arg;
    for (int i = 0; i < AT_ONCE; i++) {
        r->questions[i].reader = r;
        r->questions[i].ask.body = g_byte_array_new();
    }
    return r;
}

void engine_poller_destroy(engine_poller_t *r)
{
    for (int i = 0; i < AT_ONCE; i++) {
        web_ask_cancel(&r->questions[i].ask);
        g_byte_array_free(r->questions[i].ask.body, TRUE);
    }
    g_free(r);
}
