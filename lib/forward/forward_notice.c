/* Availability notices and stated loads of back ends, in their answers to requests and to queries. */

#include "common/counter.h"
#include "common/mutant.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_closed, "counter", "trackcove_forward_backend_closed_total",
               "Answers by which back ends asked this box for no calls for a while")
COUNTER_DEFINE(c_leaving, "counter", "trackcove_forward_backend_leaving_total",
               "Back ends that said in their answers that they leave")

COUNTER_DEFINE(c_readings, "counter", "trackcove_forward_readings_total",
               "Answers by which back ends stated their load")
COUNTER_DEFINE(c_paces, "counter", "trackcove_forward_readings_paced_total",
               "Of these, those that state a pace: the back end shares its machine with other programs")

/** Applies the load that the answer states. */
static void apply_reading(forwarder_t *fw, instance_t *instance, const web_head_t *head)
{
    const load_reading_t reading = dialect_read_load(head);
    counter_add(&c_readings, reading.stated);
    counter_add(&c_paces, reading.pace > 0);
    fleet_add_reading(fw->fleet, instance, &reading, tc_time_now());
}

void notice_apply(forwarder_t *fw, instance_t *instance, const web_head_t *head)
{
    apply_reading(fw, instance, head);
    if (MUTANT_IS(MUTANT_NO_NOTICE))
        return;
    const availability_notice_t notice = dialect_read_notice(head);
    const bool was_leaving = instance->availability.leaving_since > 0;
    if (!availability_update(&instance->availability, &notice, tc_time_now()))
        return;
    counter_add(&c_closed, notice.retry_after > 0);
    availability_log(instance->listed.id, &notice);
    if (!notice.leaving || was_leaving)
        return;
    counter_add(&c_leaving, 1);
    if (fw->scheduler)
        reporter_report_now(fw->scheduler);
}

/* ===== Reports ===== */

/** @return false, with an empty notice, when there is nothing to report */
static bool fill_notice(const instance_t *instance, backend_notice_t *notice, tc_time_t now)
{
    const availability_t *const a = &instance->availability;
    *notice = (backend_notice_t){.leaving = a->leaving_since > 0 && !instance->listed.draining,
                                 .closed_ms = (uint64_t)availability_closed_for(a, now)};
    if (!notice->leaving && notice->closed_ms == 0)
        return false;
    notice->leaving_age_ms = notice->leaving ? (uint64_t)(now - a->leaving_since) : 0;
    codec_copy_string(notice->backend, sizeof(notice->backend), instance->listed.id);
    return true;
}

/** @return backend_notice_t, for free() */
static backend_notice_t *list_notices(const forwarder_t *fw, uint32_t *n)
{
    const tc_time_t now = tc_time_now();
    GArray *const list = g_array_new(FALSE, FALSE, sizeof(backend_notice_t));
    for (unsigned i = 0; i < fleet_size(fw->fleet); i++) {
        backend_notice_t notice;
        if (fill_notice(fleet_at(fw->fleet, i), &notice, now))
            g_array_append_val(list, notice);
    }
    *n = list->len;
    return (backend_notice_t *)(void *)g_array_free(list, FALSE);
}

void forwarder_fill_report(forwarder_t *fw, msg_report_t *report)
{
    limit_fill_report(fw, report);
    report->notices = list_notices(fw, &report->notices_n);
    version_fill_report(fw, report);
    quarantine_fill_report(fw->parts, &report->parts, tc_time_now());
    report->parts_hash = quarantine_suspects_hash(fw->parts);
}
