/* The software version that a stream is bound to. What two versions write does not fit together, so once a stream has
 * an event it goes on only at the version that wrote the first one: within one answer, and over the attempts of its
 * caller at any box. */

#include <string.h>

#include "common/counter.h"
#include "common/log.h"
#include "common/mutant.h"
#include "forward/forward_internal.h"
#include "forward/version_step.h"

COUNTER_DEFINE(c_bound, "counter", "trackcove_version_bound_total",
               "Streams taken up again while several versions serve, whose version was known")
COUNTER_DEFINE(c_unknown, "counter", "trackcove_version_unknown_total",
               "Streams refused since the version that began them is not known")
COUNTER_DEFINE(c_gone, "counter", "trackcove_version_gone_total",
               "Streams ended since no back end of their version is left")

/* ===== Constants ===== */

enum {
    /* Timeout of the leader's answer. */
    FIND_TIMEOUT_MS = 220,
    /* Boxes report new streams within this time; a stream that is unknown after it stays unknown. */
    REPORTED_MS = 400,
    /* The loop turns more often than this, but for a machine that was suspended or starved. */
    STOOD_STILL_MS = 300,
    /* How long a stream waits for the first answer of a leader to a box that has just started. After it the box goes by
       its own list. */
    FIRST_CONTACT_MS = 500,
    /* Retry-After of a stream whose version is not known: boxes may have reported it by then. */
    RETRY_UNKNOWN_MS = 300,
    /* Retry-After of a stream of which no version is left: another attempt is of no use soon. */
    RETRY_GONE_MS = 10000,
    /* Part of the caller's patience that a new run needs until its first event. */
    RUN_START_MS = 400
};

/* ===== What this box knows ===== */

static unsigned count_versions(const forward_t *f)
{
    return version_history_count(fleet_versions(f->owner->fleet), f->service, tc_time_now());
}

const char *version_required(const forward_t *f)
{
    return f->binding.name[0] && !MUTANT_IS(MUTANT_ANY_VERSION) ? f->binding.name : NULL;
}

/** Also where the one version that this box knows is another one. */
bool version_restricts(const forward_t *f)
{
    const char *const required = version_required(f);
    return required && (count_versions(f) > 1 ||
                        !version_history_has(fleet_versions(f->owner->fleet), f->service, required, tc_time_now()));
}

static uint64_t taken_up_key(const forward_t *f)
{
    return stream_versions_key(f->facts.resumes, f->fingerprint);
}

void version_note_turn(forwarder_t *fw)
{
    const tc_time_t now = tc_time_now();
    if (now - fw->seen_at >= STOOD_STILL_MS)
        fw->woken_at = now;
    fw->seen_at = now;
}

static bool is_list_current(const forwarder_t *fw, tc_time_t now)
{
    if (!fw->scheduler)
        return true; /* there are no other boxes */
    const tc_time_t age = fleet_list_age(fw->fleet, now);
    const version_news_t news = {.listed = age == TC_TIME_NEVER ? 0 : now - age,
                                 .asked = reporter_leader_asked_time(fw->scheduler),
                                 .woken_at = fw->woken_at};
    return version_news_are_current(&news, now);
}

tc_time_t version_wait_until(const forward_t *f)
{
    return f->event_at > 0 ? place_wait_until(f) : place_patience_end(f) - RUN_START_MS;
}

/** Whether versions may have left before this box started, of which a leader will tell. */
static bool awaits_leader(const forward_t *f, tc_time_t now)
{
    const forwarder_t *const fw = f->owner;
    return fw->scheduler && !fw->knows_left_versions && now - fw->created < VERSION_HISTORY_KEEP_MS &&
           now - f->request.arrived < FIRST_CONTACT_MS;
}

static version_view_t view_of(const forward_t *f, tc_time_t now)
{
    const forwarder_t *const fw = f->owner;
    const tc_time_t reported = f->binding.unknown_since ? f->binding.unknown_since + REPORTED_MS : TC_TIME_NEVER;
    return (version_view_t){.is_taken_up = f->facts.resume_after[0] && f->route->kind == ROUTE_STREAM,
                            .is_known = stream_versions_find(fw->streams, taken_up_key(f), now),
                            .names_attempt = f->facts.resumes[0],
                            .can_ask = fw->scheduler && reporter_leader_finds_streams(fw->scheduler),
                            .was_asked = f->binding.was_asked,
                            .versions = count_versions(f),
                            .is_current = is_list_current(fw, now),
                            .awaits_leader = awaits_leader(f, now),
                            .may_wait = now < MIN(reported, version_wait_until(f))};
}

/* ===== Finding out ===== */

static void log_binding(const forward_t *f, const char *why)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "version");
    log_str(&line, "request", f->facts.id);
    log_str(&line, "why", why);
    log_str(&line, "resumes", f->facts.resumes);
    log_str(&line, "version", f->binding.name);
    log_int(&line, "versions", count_versions(f));
    log_int(&line, "list_age_ms", fleet_list_age(f->owner->fleet, tc_time_now()));
    log_int(&line, "took_ms", tc_time_now() - f->request.arrived);
    log_end(&line);
}

static void resolve(forward_t *f, const char *version, const char *why)
{
    f->binding.is_resolved = true;
    codec_copy_string(f->binding.name, sizeof(f->binding.name), version);
    if (!f->facts.resume_after[0])
        return;
    counter_add(&c_bound, version_restricts(f));
    log_binding(f, why);
}

static void on_found(forward_t *f, int rc, uint32_t type, const void *message)
{
    const msg_stream_found_t *const found = rc == TC_OK && type == MSG_STREAM_FOUND ? message : NULL;
    const tc_time_t now = tc_time_now();
    if (found && found->version[0])
        stream_versions_add(f->owner->streams, taken_up_key(f), found->version, now, now);
    else
        f->binding.was_asked = true; /* also when there was no answer: it is asked again after a wait */
    if (found && f->binding.unknown_since == 0)
        f->binding.unknown_since = now;
    forward_continue(f);
}

static bool ask_leader(forward_t *f)
{
    msg_stream_find_t find = {.stream = taken_up_key(f)};
    codec_copy_string(find.id, sizeof(find.id), f->facts.id);
    return leader_query(f, &f->binding.query, MSG_STREAM_FIND, &find, FIND_TIMEOUT_MS, on_found);
}

/** Looks again a little later. */
static void wait_or_refuse(forward_t *f, bool may_wait)
{
    if (may_wait && forward_retry_soon(f, version_wait_until(f))) {
        f->binding.was_asked = false;
        return;
    }
    counter_add(&c_unknown, 1);
    log_binding(f, REASON_VERSION_UNKNOWN);
    forward_fail_after(f, REASON_VERSION_UNKNOWN, RETRY_UNKNOWN_MS);
}

bool version_resolve(forward_t *f)
{
    if (f->binding.is_resolved)
        return false;
    if (f->binding.query)
        return true;
    version_note_turn(f->owner);
    const tc_time_t now = tc_time_now();
    const version_view_t view = view_of(f, now);
    switch (version_next_step(&view)) {
    case VERSION_ANY: resolve(f, "", "one version serves"); return false;
    case VERSION_BOUND:
        resolve(f, stream_versions_find(f->owner->streams, taken_up_key(f), now), "known");
        return false;
    case VERSION_ASK:
        if (!ask_leader(f))
            wait_or_refuse(f, view.may_wait);
        return true;
    case VERSION_WAIT: wait_or_refuse(f, true); return true;
    case VERSION_REFUSE:
    default: wait_or_refuse(f, false); return true;
    }
}

void version_cancel(forward_t *f)
{
    leader_query_drop(&f->binding.query);
}

/* ===== Binding ===== */

void version_bind(forward_t *f, const instance_t *instance)
{
    const tc_time_t now = tc_time_now();
    if (!f->binding.name[0])
        codec_copy_string(f->binding.name, sizeof(f->binding.name), instance->listed.version);
    if (!route_is_repeatable(f->route))
        return;
    stream_versions_add(f->owner->streams, stream_versions_key(f->facts.id, f->fingerprint), f->binding.name, now, now);
    stream_versions_add(f->owner->streams, taken_up_key(f), f->binding.name, now, now);
}

bool version_wait(forward_t *f)
{
    if (!version_restricts(f) || forward_has_any(f, f->split ? STAGE_DECODE : STAGE_NONE))
        return false;
    if (!version_history_is_gone(fleet_versions(f->owner->fleet), f->service, f->binding.name, tc_time_now()))
        return forward_retry_soon(f, version_wait_until(f));
    counter_add(&c_gone, 1);
    log_binding(f, REASON_VERSION_GONE);
    forward_fail_after(f, REASON_VERSION_GONE, RETRY_GONE_MS);
    return true;
}

/* ===== Reports ===== */

void version_fill_report(forwarder_t *fw, msg_report_t *report)
{
    const tc_time_t now = tc_time_now();
    const bool shares = version_history_is_mixed(fleet_versions(fw->fleet), now);
    stream_versions_tick(fw->streams, now);
    stream_versions_fill_report(fw->streams, shares, &report->streams, &report->streams_n, now);
}

void forwarder_take_versions(forwarder_t *fw, const msg_report_ack_t *ack)
{
    const tc_time_t now = tc_time_now();
    for (uint32_t i = 0; i < ack->left_versions_n; i++)
        fleet_add_left_version(fw->fleet, &ack->left_versions[i], now);
    fw->knows_left_versions = fw->knows_left_versions || ack->finds_streams;
}

bool version_confirm_report(forwarder_t *fw, const msg_report_ack_t *ack)
{
    return stream_versions_confirm_report(fw->streams, ack->quarantine.term);
}
