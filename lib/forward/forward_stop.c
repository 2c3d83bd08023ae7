/* Decides which requests a stopping box still begins, by the service times of earlier ones. */

#include "forward/forward_internal.h"

static service_time_t *service_time_of(const forward_t *f)
{
    service_time_t *stats = g_hash_table_lookup(f->owner->service_times, f->service);
    if (!stats) {
        stats = g_new0(service_time_t, 1);
        g_hash_table_insert(f->owner->service_times, g_strdup(f->service), stats);
    }
    return stats;
}

/** Output limit of a request in tokens; 0 when the service generates none. */
static unsigned output_of(const forward_t *f)
{
    return f->split ? f->facts.output_tokens : 0;
}

void stop_record(const forward_t *f)
{
    service_time_record(service_time_of(f), tc_time_now() - f->request.arrived, output_of(f), f->events);
}

bool stop_allows(const forward_t *f)
{
    const tc_time_t end = f->owner->stop_deadline;
    if (!end || f->deadline <= end)
        return true;
    const tc_time_t takes = service_time_estimate(service_time_of(f), output_of(f));
    return takes != TC_TIME_NEVER && tc_time_now() + takes <= end;
}

void forwarder_stop(forwarder_t *fw, tc_time_t last, tc_time_t end)
{
    fw->stop_begin_until = last;
    fw->stop_deadline = end;
}

/** Whether no back end can have begun the request. */
static bool is_unsent(const forward_t *f)
{
    return f->runs == 0 && !f->begun && (!f->call || f->call->op == DIALECT_PREFILL);
}

void forwarder_refuse_waiting(forwarder_t *fw)
{
    forward_t *f, *next;
    cds_list_for_each_entry_safe(f, next, &fw->requests, node)
        if (is_unsent(f))
            forward_fail_after(f, REASON_STOPPING, RETRY_ELSEWHERE_MS);
}
