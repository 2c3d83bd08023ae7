/* Queries that a request sends besides its call: to the leader of the control boxes and to engines. */

#include <assert.h>

#include "common/log.h"
#include "forward/forward_internal.h"

/* ===== To the leader ===== */

/** A query in flight. The transport cannot cancel it, so it outlives its request when the caller leaves. */
struct leader_query {
    forward_t *request; /* NULL once the request has ended */
    leader_query_t **slot;
    leader_answer_fn_t fn;
};

static void on_leader_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    leader_query_t *const query = arg;
    forward_t *const f = query->request;
    const leader_answer_fn_t fn = query->fn;
    (void)err; /* it only matters that there is no answer */
    if (f)
        *query->slot = NULL;
    g_free(query);
    if (f)
        fn(f, rc, type, message);
}

bool leader_query(forward_t *f, leader_query_t **slot, uint32_t type, const void *message, tc_time_t limit,
                  leader_answer_fn_t fn)
{
    assert(!*slot); /* one at a time: the answer to an older query would be taken for that of the newer one */
    leader_query_t *const query = g_new0(leader_query_t, 1);
    query->request = f;
    query->slot = slot;
    query->fn = fn;
    *slot = query;
    if (reporter_call_leader(f->owner->scheduler, type, message, limit, on_leader_answer, query))
        return true;
    *slot = NULL;
    g_free(query);
    return false;
}

void leader_query_drop(leader_query_t **slot)
{
    if (*slot)
        (*slot)->request = NULL;
    *slot = NULL;
}

/* ===== To an engine ===== */

static void on_engine_head(void *arg, const web_head_t *head)
{
    const engine_query_t *const e = arg;
    notice_apply(e->request->owner, e->instance, head);
}

engine_query_t *engine_query(forward_t *f, instance_t *instance, GByteArray *request,
                             const engine_query_limits_t *limits, web_fetch_fn_t fn)
{
    assert(instance_accepts_work(instance, tc_time_now())); /* guarantee: the same as for requests */
    engine_query_t *const e = g_new0(engine_query_t, 1);
    e->request = f;
    e->instance = instance;
    e->ask.body = g_byte_array_new();
    const web_fetch_options_t where = {.loop = f->owner->loop,
                                       .client = f->owner->client,
                                       .addr = instance->listed.addr,
                                       .accepts_head = dialect_is_query_answer,
                                       .on_head = on_engine_head,
                                       .connect_ms = limits->connect_ms,
                                       .limit_ms = limits->answer_ms,
                                       .body_bytes = DIALECT_REPORT_MAX_BYTES};
    web_fetch(&e->ask, &where, request, fn, e);
    return e;
}

void engine_query_free(engine_query_t *e)
{
    web_fetch_cancel(&e->ask);
    instance_unref(e->instance);
    g_byte_array_unref(e->ask.body);
    g_free(e);
}

/* ===== Cleanup calls ===== */

/** A call whose answer is ignored. It outlives the request that it concerns. */
typedef struct {
    struct cds_list_head node;
    forwarder_t *owner;
    instance_t *instance; /* a reference */
    web_call_t *http;
    loop_timer_t timer; /* its timeout */
} cleanup_t;

static void cleanup_free(cleanup_t *u)
{
    loop_disarm(&u->timer);
    cds_list_del(&u->node);
    instance_unref(u->instance);
    g_free(u);
}

static void log_cleanup(const cleanup_t *u, const char *why, uint64_t bytes)
{
    log_line_t line;
    log_begin(&line, LOG_WARN, "cleanup_ended");
    log_str(&line, "why", why);
    log_str(&line, "backend", u->instance->listed.id);
    log_str(&line, "addr", u->instance->listed.addr);
    log_int(&line, "bytes", (int64_t)bytes);
    log_end(&line);
}

static web_head_action_t on_cleanup_head(void *arg, const web_head_t *head)
{
    const cleanup_t *const u = arg;
    notice_apply(u->owner, u->instance, head);
    return WEB_HEAD_ACCEPT;
}

static void ignore_data(void *arg, const char *data, size_t size)
{
    (void)arg, (void)data, (void)size;
}

static void on_cleanup_timeout(void *arg)
{
    cleanup_t *const u = arg;
    log_cleanup(u, "no complete answer in time", 0);
    web_call_cancel(u->http);
    cleanup_free(u);
}

static void on_cleanup_excess(void *arg, const char *kind, uint64_t bytes)
{
    log_cleanup(arg, kind, bytes);
}

static void on_cleanup_end(void *arg, web_result_t how)
{
    (void)how; /* an engine soon drops by itself what it keeps for us */
    cleanup_free(arg);
}

void cleanup_call(forwarder_t *fw, instance_t *instance, GByteArray *request)
{
    if (!instance_accepts_maintenance(instance, tc_time_now())) {
        g_byte_array_unref(request); /* an engine drops unused results and reservations by itself */
        return;
    }
    cleanup_t *const u = g_new0(cleanup_t, 1);
    u->owner = fw;
    u->instance = instance_ref(instance);
    cds_list_add(&u->node, &fw->cleanups);
    const web_sink_t sink = {.on_head = on_cleanup_head,
                             .on_data = ignore_data,
                             .on_excess = on_cleanup_excess,
                             .on_end = on_cleanup_end,
                             .arg = u};
    u->http = web_call(fw->client, instance->listed.addr, request, true, CONNECT_TIMEOUT_MS, &sink);
    web_call_limit_body(u->http, CLEANUP_MAX_BYTES);
    loop_arm(fw->loop, &u->timer, tc_time_now() + CLEANUP_TIMEOUT_MS, on_cleanup_timeout, u);
}

void cleanups_destroy(forwarder_t *fw)
{
    cleanup_t *u, *next;
    cds_list_for_each_entry_safe(u, next, &fw->cleanups, node)
        cleanup_free(u);
}
