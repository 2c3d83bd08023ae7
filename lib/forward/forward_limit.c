/* Limits that back ends name for all boxes together. */

#include "common/counter.h"
#include "common/log.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_changes, "counter", "trackcove_forward_limit_changes_total",
               "Limits that back ends named, changed or no longer named, as this box heard")

/* ===== What is heard ===== */

static void log_limit(const instance_t *instance, const char *from)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "backend_limit");
    log_str(&line, "backend", instance->listed.id);
    log_str(&line, "addr", instance->listed.addr);
    log_str(&line, "from", from);
    log_int(&line, "set", instance->limit.is_set);
    log_num(&line, "limit_s", instance->limit.rate);
    log_end(&line);
}

/** Whether the absence of a limit means something: the back end itself answered, and did not fail. */
static bool speaks_for_backend(const step_t *s)
{
    return s->reply.limited || (s->reply.success && (s->reply.genuine || s->ask == DIALECT_PREFILL));
}

void limit_hear(const step_t *s)
{
    if (!speaks_for_backend(s))
        return;
    const instance_limit_t limit = {.is_set = s->reply.limited, .rate = s->reply.limit, .seen_at = tc_time_now()};
    if (!instance_hear_limit(s->instance, &limit))
        return;
    counter_add(&c_changes, 1);
    log_limit(s->instance, "its answer");
}
