/* A box that is to end: which requests it still begins, by the pace of those it has served. */

#include "forward/forward_internal.h"

static pace_t *pace_of(const forward_t *f)
{
    pace_t *pace = g_hash_table_lookup(f->owner->paces, f->service);
    if (!pace) {
        pace = g_new0(pace_t, 1);
        g_hash_table_insert(f->owner->paces, g_strdup(f->service), pace);
    }
    return pace;
}

/** Tokens that a request may generate; 0 where it generates none. */
static unsigned output_of(const forward_t *f)
{
    return f->split ? f->facts.output_tokens : 0;
}

void stop_learn(const forward_t *f)
{
    pace_learn(pace_of(f), tc_time_now() - f->request.arrived, output_of(f), f->events);
}

bool stop_allows(const forward_t *f)
{
    const tc_time_t end = f->owner->stop_end;
    if (!end || f->deadline <= end)
        return true;
    const tc_time_t takes = pace_expect(pace_of(f), output_of(f));
    return takes != TC_TIME_NEVER && tc_time_now() + takes <= end;
}

void forwarder_stop(forwarder_t *fw, tc_time_t last, tc_time_t end)
{
    fw->stop_last = last;
    fw->stop_end = end;
}
