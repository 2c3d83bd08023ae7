/* Log lines of requests. */

#include "common/log.h"
#include "forward/forward_internal.h"

void forward_log_routed(const forward_t *f)
{
    log_line_t line;
    log_begin(&line, LOG_INFO, "routed");
    log_str(&line, "request", f->facts.id);
    log_str(&line, "service", f->service);
    log_str(&line, "prefix", f->route->prefix);
    log_hash(&line, "fingerprint", f->fingerprint);
    log_int(&line, "config", (int64_t)f->table->version);
    log_int(&line, "patience_ms", f->facts.caller_timeout);
    log_int(&line, "priority", f->priority);
    log_int(&line, "route_priority", f->route->priority);
    log_int(&line, "ranked", route_table_is_ranked(f->table, f->service));
    if (f->workspace)
        log_str(&line, "workspace", f->workspace->name);
    log_int(&line, "timeout_ms", f->route->timeout);
    log_int(&line, "prompt_tokens", f->facts.prompt_tokens);
    log_int(&line, "output_tokens", f->facts.output_tokens);
    log_int(&line, "aim_ms", f->route->latency_target);
    log_int(&line, "pause_aim_ms", f->route->gap_target);
    if (f->facts.parts_n > 0) /* chosen by the caller, and the same in all its attempts */
        log_str(&line, "prompt", f->facts.parts[f->facts.parts_n - 1].id);
    if (parts_shared(f) > 0) {
        char shared[DIALECT_PARTS_MAX * (DIALECT_PART_SIZE + 1)] = "";
        for (unsigned i = 0; i < parts_shared(f); i++) {
            g_strlcat(shared, i > 0 ? "," : "", sizeof(shared));
            g_strlcat(shared, f->facts.parts[i].id, sizeof(shared));
        }
        log_str(&line, "parts", shared);
    }
    if (f->facts.resume_after[0])
        log_str(&line, "resume_after", f->facts.resume_after);
    if (f->facts.resumes[0])
        log_str(&line, "resumes", f->facts.resumes);
    log_end(&line);
}

/** Logs the age of an input of a decision, unless there is none. */
static void log_age(log_line_t *line, const char *key, tc_time_t age)
{
    if (age != TC_TIME_NEVER)
        log_int(line, key, age);
}

/** Logs the load that a back end stated last, unless there is none. */
static void log_reading(log_line_t *line, const instance_t *instance, tc_time_t now)
{
    const load_reading_t *const reading = &instance->reading;
    if (!reading->stated)
        return;
    log_int(line, "stated_running", reading->running);
    log_int(line, "stated_waiting", reading->waiting);
    log_int(line, "stated_slots", reading->slots);
    if (reading->pace > 0) {
        log_int(line, "stated_pace", reading->pace);
        log_num(line, "pace", load_estimate_pace(&instance->load, now));
    }
    log_int(line, "stated_age_ms", load_estimate_age(&instance->load, now));
}

void forward_log(const forward_t *f, const char *event, const char *why, int status, const instance_t *instance)
{
    const tc_time_t now = tc_time_now();
    log_line_t line;
    log_begin(&line, LOG_INFO, event);
    log_str(&line, "request", f->facts.id);
    log_str(&line, "why", why);
    if (status)
        log_int(&line, "status", status);
    if (instance) {
        log_str(&line, "backend", instance->listed.id);
        log_str(&line, "addr", instance->listed.addr);
        log_str(&line, "version", instance->listed.version);
        log_int(&line, "running", instance->running);
        log_int(&line, "others", instance->remote_running);
        log_age(&line, "loads_age_ms", fleet_loads_age(f->owner->fleet, now));
        log_age(&line, "list_age_ms", fleet_list_age(f->owner->fleet, now));
        log_reading(&line, instance, now);
        if (instance->limit.is_set)
            log_num(&line, "limit_s", instance->limit.rate);
        if (instance->cold)
            log_num(&line, "cold_s", f->settings->cold_rate);
        if (instance->evacuated)
            log_int(&line, "evacuated", true);
        if (availability_closed_for(&instance->availability, now) > 0)
            log_int(&line, "closed_ms", availability_closed_for(&instance->availability, now));
        if (instance->availability.leaving_since > 0)
            log_int(&line, "leaving_ms", now - instance->availability.leaving_since);
    }
    const char *const relay = f->call && f->call->http ? web_call_relay(f->call->http) : "";
    if (relay[0])
        log_str(&line, "relay", relay);
    log_int(&line, "config", (int64_t)f->table->version);
    log_int(&line, "arrivals", f->arrivals);
    log_int(&line, "left_ms", f->deadline - now);
    log_end(&line);
}

void forward_log_run(const backend_call_t *call, const char *why)
{
    const forward_t *const f = call->request;
    log_line_t line;
    log_begin(&line, LOG_INFO, "run_ended");
    log_str(&line, "request", f->facts.id);
    log_str(&line, "why", why);
    log_int(&line, "run", f->stream_runs);
    log_str(&line, "backend", call->instance->listed.id);
    log_str(&line, "addr", call->instance->listed.addr);
    log_str(&line, "version", call->instance->listed.version);
    if (call->http && web_call_relay(call->http)[0])
        log_str(&line, "relay", web_call_relay(call->http));
    log_str(&line, "after", call->run.after);
    log_str(&line, "first", call->run.first ? call->run.first : "");
    log_str(&line, "last", call->run.last ? call->run.last : "");
    log_int(&line, "events", call->run.events);
    log_int(&line, "bytes", (int64_t)call->run.bytes);
    log_int(&line, "unfinished", call->run.partial->len);
    log_int(&line, "unsent", (int64_t)web_unsent(f->exchange));
    log_int(&line, "took_ms", tc_time_now() - call->began);
    log_end(&line);
}

void forward_log_silence(forward_t *f)
{
    const instance_t *const instance = f->call->instance;
    log_line_t line;
    log_begin(&line, LOG_INFO, "run_suspected");
    log_str(&line, "request", f->facts.id);
    log_str(&line, "backend", instance->listed.id);
    log_str(&line, "addr", instance->listed.addr);
    log_int(&line, "run", f->stream_runs);
    log_int(&line, "events", f->call->run.events);
    log_int(&line, "silent_ms", tc_time_now() - MAX(f->event_at, f->call->began));
    log_int(&line, "running", instance->running);
    log_int(&line, "has_prefill", f->split && forward_has_any(f, STAGE_PREFILL));
    log_int(&line, "paid", f->retry.paid);
    log_int(&line, "counted", f->retry.counted);
    log_int(&line, "config", (int64_t)f->table->version);
    log_int(&line, "left_ms", f->deadline - tc_time_now());
    log_end(&line);
}

void forward_log_end(const forward_t *f, const char *event, const char *why, int status)
{
    const tc_time_t now = tc_time_now();
    log_line_t line;
    log_begin(&line, LOG_INFO, event);
    log_str(&line, "request", f->facts.id);
    log_str(&line, "why", why);
    log_int(&line, "status", status);
    log_int(&line, "took_ms", now - f->request.arrived);
    if (f->told_ms > 0)
        log_int(&line, "retry_after_ms", f->told_ms);
    if (f->first_at) {
        log_int(&line, "first_ms", f->first_at - f->request.arrived);
        log_int(&line, "pause_ms", f->pause);
        log_int(&line, "events", f->events);
        log_int(&line, "runs", f->stream_runs);
        log_int(&line, "silences", f->silences);
        log_str(&line, "last", f->last_event);
        log_int(&line, "bytes", (int64_t)f->bytes);
        log_hash(&line, "digest", f->digest);
    }
    log_int(&line, "config", (int64_t)f->table->version);
    log_int(&line, "arrivals", f->arrivals);
    log_int(&line, "left_ms", f->deadline - now);
    log_end(&line);
}
