/* What back ends say of themselves in their answers, to requests and to questions. */

#include "common/counter.h"
#include "common/log.h"
#include "common/sabotage.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_closed, "counter", "trackcove_forward_backend_closed_total",
               "Answers by which back ends asked this box for no calls for a while")
COUNTER_DEFINE(c_leaving, "counter", "trackcove_forward_backend_leaving_total",
               "Back ends that said in their answers that they leave")

static void log_notice(const instance_t *instance, const availability_notice_t *notice)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "backend_notice");
    log_str(&line, "backend", instance->listed.id);
    log_str(&line, "addr", instance->listed.addr);
    log_int(&line, "leaving", notice->leaving);
    log_int(&line, "retry_after_ms", notice->retry_after);
    log_end(&line);
}

void notice_hear(instance_t *instance, const web_head_t *head)
{
    if (SABOTAGE_IS(SABOTAGE_NO_NOTICE))
        return;
    const availability_notice_t notice = dialect_read_notice(head);
    const bool was_leaving = instance->availability.leaving_since > 0;
    if (!availability_hear(&instance->availability, &notice, tc_time_now()))
        return;
    counter_add(&c_closed, notice.retry_after > 0);
    counter_add(&c_leaving, notice.leaving && !was_leaving);
    log_notice(instance, &notice);
}
