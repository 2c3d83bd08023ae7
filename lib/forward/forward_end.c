/* Ends of requests: the answer in place of a back end's, and the release of all that a request holds. */

#include <assert.h>

#include "common/counter.h"
#include "common/histogram.h"
#include "forward/forward_internal.h"

COUNTER_DEFINE(c_answered, "counter", "trackcove_forward_answered_total", "Requests answered by a back end")
COUNTER_DEFINE(c_not_run, "counter", "trackcove_forward_not_run_total", "Requests refused as not run")
COUNTER_DEFINE(c_unknown, "counter", "trackcove_forward_unknown_total", "Requests that failed after they may have run")
COUNTER_DEFINE(c_aborted, "counter", "trackcove_forward_aborted_total", "Begun answers that this box broke off")
COUNTER_DEFINE(c_aborted_silent, "counter", "trackcove_forward_aborted_silent_total",
               "Begun answers that this box broke off after it had given up a silent run of theirs")
HISTOGRAM_DEFINE(h_answer, "trackcove_forward_answer_ms", "From a request to the end of its answer")
COUNTER_DEFINE(c_left, "counter", "trackcove_forward_left_total", "Requests whose caller left")
COUNTER_DEFINE(c_held, "counter", "trackcove_forward_held_total",
               "Requests refused or broken off since back ends ended under them")
COUNTER_DEFINE(c_part_held, "counter", "trackcove_forward_part_held_total",
               "Requests refused or broken off since back ends ended under a part of their prompts")

static void forward_free(forward_t *f)
{
    assert(!f->call && !f->silent.call); /* a call in flight would report to freed memory */
    loop_disarm(&f->limit);
    loop_disarm(&f->call_timer);
    retry_cancel(f);
    trial_cancel(f);
    probe_leave(f);
    version_cancel(f);
    limit_cancel(f);
    slot_cancel(f);
    place_finish(f);
    hold_release(f);
    locate_cancel(f);
    handle_release(f);
    f->owner->in_flight--;
    cds_list_del(&f->node);
    g_ptr_array_free(f->tried, TRUE);
    g_ptr_array_free(f->tried_prefill, TRUE);
    g_free(f->last_event);
    route_table_unref(f->table);
    g_free(f);
}

void forward_finish(forward_t *f, int status, const char *why)
{
    counter_add(&c_answered, 1);
    histogram_add(&h_answer, tc_time_now() - f->request.arrived);
    if (status < 300)
        stop_record(f);
    forward_log_end(f, "done", why, status);
    forward_free(f);
}

void forward_abandon(forward_t *f)
{
    counter_add(&c_left, 1);
    silence_end(f, "connection closed");
    call_abandon(f);
    forward_log_end(f, "caller_gone", "connection closed", 0);
    forward_free(f);
}

/** Callers follow Retry-After up to this part of the time that they have left. Documented by the users' platform. */
enum { FOLLOWED_PART = 3 };

void forward_answer_empty(web_exchange_t *exchange, int status, tc_time_t after)
{
    char *const head = after == NO_RETRY_AFTER ? g_strdup("") : dialect_retry_after(after);
    web_respond(exchange, status, head, "", 0);
    g_free(head);
}

void forward_fail_after(forward_t *f, const char *why, tc_time_t retry_after)
{
    if (silence_resume(f, why))
        return;
    call_cancel(f, why);
    if (f->begun) {
        counter_add(&c_unknown, 1);
        counter_add(&c_aborted, 1);
        counter_add(&c_aborted_silent, f->silences > 0);
        forward_log_end(f, "aborted", why, 0);
        web_abort_response(f->exchange);
        forward_free(f);
        return;
    }
    const bool late = tc_time_now() >= f->deadline;
    const int status = f->runs == 0 ? STATUS_NOT_RUN : (late ? 504 : 502);
    counter_add(f->runs == 0 ? &c_not_run : &c_unknown, 1);
    f->told_ms = f->runs == 0 ? retry_after : 0;
    forward_log_end(f, "failed", why, status);
    /* Guarantee: 503 states that the request did not run, so it is sent only while no back end can have begun it. */
    forward_answer_empty(f->exchange, status, f->runs == 0 ? retry_after : NO_RETRY_AFTER);
    forward_free(f);
}

void forward_refuse(forward_t *f, int status, const char *why, tc_time_t after)
{
    assert(f->runs == 0 && !f->begun && !f->call); /* guarantee: a request refused as not run has not run */
    counter_add(&c_not_run, 1);
    f->told_ms = after;
    forward_log_end(f, "failed", why, status);
    forward_answer_empty(f->exchange, status, after > 0 ? after : NO_RETRY_AFTER);
    forward_free(f);
}

void forward_fail(forward_t *f, const char *why)
{
    forward_fail_after(f, why, RETRY_AFTER_MS);
}

void forward_fail_full(forward_t *f, const char *why)
{
    forward_fail_after(f, why, RETRY_FULL_MS + g_rand_int_range(f->owner->random, 0, RETRY_FULL_JITTER_MS));
}

tc_time_t forward_caller_patience(const forward_t *f)
{
    const tc_time_t end = f->facts.caller_timeout > 0 ? f->request.arrived + f->facts.caller_timeout : f->deadline;
    return MAX(end - tc_time_now(), 0);
}

void forward_fail_until(forward_t *f, const char *why, tc_time_t after)
{
    forward_fail_after(f, why, MIN(after, forward_caller_patience(f) / FOLLOWED_PART));
}

void forward_fail_quarantined(forward_t *f)
{
    const tc_time_t own = quarantine_remaining_ms(f->owner->quarantine, f->fingerprint, tc_time_now());
    const tc_time_t parts = parts_remaining_ms(f);
    counter_add(parts > own ? &c_part_held : &c_held, 1);
    const tc_time_t held = MAX(MAX(parts, own), QUARANTINE_SETTLE_MS); /* the leader may know more than this box */
    const tc_time_t after = MIN(held, MAX(trial_wait_ms(f), QUARANTINE_SETTLE_MS));
    forward_fail_after(f, parts > own ? REASON_PART_QUARANTINED : REASON_QUARANTINED, after);
}

unsigned forward_crash_count(const forward_t *f)
{
    if (f->trial.is_granted)
        return QUARANTINE_CRASH_LIMIT - 1;
    /* Parts that are only suspected do not count: many sound requests share them, and would avoid each other. */
    if (parts_are_held(f))
        return QUARANTINE_CRASH_LIMIT;
    return quarantine_crash_count(f->owner->quarantine, f->fingerprint, tc_time_now());
}
