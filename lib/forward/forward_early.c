/* Requests that arrive before the box has a configuration and back ends. After its start a box usually receives both
 * within tens of ms, so such requests wait instead of being refused. */

#include <urcu/list.h>

#include "common/counter.h"
#include "common/feature.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_held, "counter", "trackcove_forward_early_total", "Requests that came before the box knew where to")

/* ===== Types ===== */

/** A waiting request. */
typedef struct {
    struct cds_list_head node;
    forwarder_t *owner;
    web_exchange_t *exchange;
    web_request_t request;
    loop_timer_t limit;
} early_request_t;

/* ===== Ending ===== */

/** Removes the request from the queue and frees the entry. */
static void early_end(early_request_t *e)
{
    loop_disarm(&e->limit);
    cds_list_del(&e->node);
    e->owner->in_flight--;
    g_free(e);
}

/** Begins the request, which is then sent or refused like any other. */
static void early_begin(early_request_t *e)
{
    forwarder_t *const fw = e->owner;
    web_exchange_t *const exchange = e->exchange;
    const web_request_t request = e->request;
    web_on_disconnect(exchange, NULL, NULL);
    early_end(e);
    forward_route(fw, exchange, &request);
}

static void on_limit(void *arg)
{
    early_begin(arg);
}

static void on_gone(void *arg)
{
    early_end(arg);
}

/* ===== Waiting ===== */

static bool is_configured(const forwarder_t *fw)
{
    return fw->table && fleet_size(fw->fleet) > 0;
}

bool early_queue(forwarder_t *fw, web_exchange_t *exchange, const web_request_t *request)
{
    const tc_time_t now = tc_time_now();
    if (!feature_is_enabled(FEATURE_STARTUP_WAIT) || is_configured(fw) || now - fw->created > EARLY_PHASE_MS)
        return false;
    counter_add(&c_held, 1);
    early_request_t *const e = g_new0(early_request_t, 1);
    e->owner = fw;
    e->exchange = exchange;
    e->request = *request;
    cds_list_add_tail(&e->node, &fw->early);
    fw->in_flight++;
    web_on_disconnect(exchange, on_gone, e);
    loop_arm(fw->loop, &e->limit, now + EARLY_WAIT_MS, on_limit, e);
    return true;
}

void forwarder_on_change(forwarder_t *fw)
{
    early_request_t *e, *next;
    limit_apply_leader_list(fw);
    if (!is_configured(fw))
        return;
    cds_list_for_each_entry_safe(e, next, &fw->early, node)
        early_begin(e);
}
