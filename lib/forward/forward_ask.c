/* Questions that a request puts beside the call that serves it: to the leader of the control boxes and to engines. */

#include <assert.h>

#include "forward/forward_internal.h"

/* ===== To the leader ===== */

/** A question under way. The transport can't take it back, so it outlives its request when the caller leaves. */
struct leader_ask {
    forward_t *request; /* NULL once it has ended */
    leader_ask_t **slot;
    leader_answer_t fn;
};

static void on_leader_answer(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    leader_ask_t *const ask = arg;
    forward_t *const f = ask->request;
    const leader_answer_t fn = ask->fn;
    (void)err; /* what counts is that there is no answer */
    if (f)
        *ask->slot = NULL;
    g_free(ask);
    if (f)
        fn(f, rc, type, message);
}

bool leader_ask(forward_t *f, leader_ask_t **slot, uint32_t type, const void *message, tc_time_t limit,
                leader_answer_t fn)
{
    assert(!*slot); /* one at a time: an answer to an older question would pass for the newer one's */
    leader_ask_t *const ask = g_new0(leader_ask_t, 1);
    ask->request = f;
    ask->slot = slot;
    ask->fn = fn;
    *slot = ask;
    if (reporter_call_leader(f->owner->scheduler, type, message, limit, on_leader_answer, ask))
        return true;
    *slot = NULL;
    g_free(ask);
    return false;
}

void leader_ask_drop(leader_ask_t **slot)
{
    if (*slot)
        (*slot)->request = NULL;
    *slot = NULL;
}

/* ===== To an engine ===== */

static void on_engine_head(void *arg, const web_head_t *head)
{
    const engine_ask_t *const e = arg;
    notice_hear(e->request->owner, e->instance, head);
}

engine_ask_t *engine_ask(forward_t *f, instance_t *instance, GByteArray *request, const engine_ask_limits_t *limits,
                         web_ask_fn_t fn)
{
    assert(instance_accepts_work(instance, tc_time_now())); /* promise: as of requests */
    engine_ask_t *const e = g_new0(engine_ask_t, 1);
    e->request = f;
    e->instance = instance;
    e->ask.body = g_byte_array_new();
    const web_ask_where_t where = {.loop = f->owner->loop,
                                   .client = f->owner->client,
                                   .addr = instance->listed.addr,
                                   .is_ours = dialect_is_query_answer,
                                   .on_head = on_engine_head,
                                   .connect_ms = limits->connect_ms,
                                   .limit_ms = limits->answer_ms};
    web_ask(&e->ask, &where, request, fn, e);
    return e;
}

void engine_ask_free(engine_ask_t *e)
{
    web_ask_cancel(&e->ask);
    instance_unref(e->instance);
    g_byte_array_unref(e->ask.body);
    g_free(e);
}

/* ===== Whose answer changes nothing ===== */

/** One such call. It outlives the request that it is about. */
typedef struct {
    struct cds_list_head node;
    forwarder_t *owner;
    instance_t *instance; /* a reference */
} upkeep_t;

static void upkeep_free(upkeep_t *u)
{
    cds_list_del(&u->node);
    instance_unref(u->instance);
    g_free(u);
}

static web_verdict_t on_upkeep_head(void *arg, const web_head_t *head)
{
    const upkeep_t *const u = arg;
    notice_hear(u->owner, u->instance, head);
    return WEB_TAKE;
}

static void ignore_data(void *arg, const char *data, size_t size)
{
    (void)arg, (void)data, (void)size;
}

static void on_upkeep_end(void *arg, web_end_t how)
{
    (void)how; /* what an engine keeps for us it drops by itself soon after */
    upkeep_free(arg);
}

void upkeep_call(forwarder_t *fw, instance_t *instance, GByteArray *request)
{
    if (!instance_accepts_maintenance(instance, tc_time_now())) {
        g_byte_array_unref(request); /* an engine drops by itself what nobody takes */
        return;
    }
    upkeep_t *const u = g_new0(upkeep_t, 1);
    u->owner = fw;
    u->instance = instance_ref(instance);
    cds_list_add(&u->node, &fw->upkeeps);
    const web_sink_t sink = {.on_head = on_upkeep_head, .on_data = ignore_data, .on_end = on_upkeep_end, .arg = u};
    (void)web_call(fw->client, instance->listed.addr, request, true, CONNECT_MS, &sink);
}

void upkeeps_end(forwarder_t *fw)
{
    upkeep_t *u, *next;
    cds_list_for_each_entry_safe(u, next, &fw->upkeeps, node)
        upkeep_free(u);
}
