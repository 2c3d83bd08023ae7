#include "cluster/leader_log.h"

#include "common/counter.h"
#include "common/log.h"

COUNTER_DEFINE(c_granted, "counter", "trackcove_placing_granted_total", "Placements granted by the scheduler")
COUNTER_DEFINE(c_refused, "counter", "trackcove_placing_refused_total", "Placements refused by the scheduler")
COUNTER_DEFINE(c_pieces, "gauge", "trackcove_placing_decode_pieces", "Memory of the decode engines that can be used")
COUNTER_DEFINE(c_latency, "gauge", "trackcove_placing_prefill_latency_ms",
               "Fixed latency of prompts that is modelled apart from reading; 0 when none is")
COUNTER_DEFINE(c_kept, "gauge", "trackcove_placing_kept_engines",
               "Decode engines that requests without room keep for themselves")
COUNTER_DEFINE(c_yielded_late, "counter", "trackcove_placing_yielded_late_total",
               "Queued requests refused in favour of others since they were late; since this box leads")
COUNTER_DEFINE(c_yielded_share, "counter", "trackcove_placing_yielded_share_total",
               "Queued requests refused since their workspace used most for its weight; since this box leads")
COUNTER_DEFINE(c_yielded_urgency, "counter", "trackcove_placing_yielded_urgency_total",
               "Queued requests refused in favour of more urgent ones; since this box leads")
COUNTER_DEFINE(c_taken, "gauge", "trackcove_placing_decode_taken", "Of it, what the scheduler takes for taken")
COUNTER_DEFINE(c_returns_refused, "counter", "trackcove_returns_refused_total",
               "Refusals for lack of memory that were told when to return")
COUNTER_DEFINE(c_returns_promised, "counter", "trackcove_returns_promised_total",
               "Of them, those for whose return memory was set aside")
COUNTER_DEFINE(c_returns_in_time, "counter", "trackcove_returns_in_time_total",
               "Promised returns at the time that was told")
COUNTER_DEFINE(c_returns_early, "counter", "trackcove_returns_early_total", "Returns before the time that was told")
COUNTER_DEFINE(c_returns_lapsed, "counter", "trackcove_returns_lapsed_total",
               "Promised returns so late that the promise had lapsed")
COUNTER_DEFINE(c_returns_kept, "counter", "trackcove_returns_kept_total", "Promised returns in time that were granted")
COUNTER_DEFINE(c_returns_broken, "counter", "trackcove_returns_broken_total",
               "Promised returns in time that were refused again")
COUNTER_DEFINE(c_returns_remembered, "gauge", "trackcove_returns_remembered", "Refused requests that are remembered")

void leader_log_count_returns(const returns_stats_t *stats, const returns_stats_t *before)
{
    counter_add(&c_returns_refused, (int64_t)(stats->refused - before->refused));
    counter_add(&c_returns_promised, (int64_t)(stats->promised - before->promised));
    counter_add(&c_returns_in_time, (int64_t)(stats->in_time - before->in_time));
    counter_add(&c_returns_early, (int64_t)(stats->early - before->early));
    counter_add(&c_returns_lapsed, (int64_t)(stats->lapsed - before->lapsed));
    counter_add(&c_returns_kept, (int64_t)(stats->kept - before->kept));
    counter_add(&c_returns_broken, (int64_t)(stats->broken - before->broken));
    counter_set(&c_returns_remembered, stats->remembered);
}

/* ===== Log lines ===== */

/** Logs the scheduler's view of the engines, on which its refusals are based. */
static void log_picture(log_line_t *line, const sched_load_t *load)
{
    log_int(line, "prefills", load->prefills);
    log_int(line, "decodes", load->decodes);
    log_int(line, "queued", load->queued);
    log_int(line, "placed", load->placed);
    log_int(line, "decode_pieces", load->decode_pieces);
    log_int(line, "decode_taken", load->decode_taken);
    log_int(line, "prefill_backlog_ms", (int64_t)load->backlog_ms);
    log_int(line, "freed_pieces_s", (int64_t)(load->free_rate * 1000));
}

void leader_log_engines(const sched_t *sched, tc_time_t now)
{
    const sched_load_t load = sched_load(sched, now);
    const sched_stats_t stats = sched_stats(sched);
    counter_set(&c_taken, load.decode_taken);
    counter_set(&c_pieces, load.decode_pieces);
    counter_set(&c_kept, stats.kept);
    counter_set(&c_yielded_late, (int64_t)stats.yielded_late);
    counter_set(&c_yielded_share, (int64_t)stats.yielded_share);
    counter_set(&c_yielded_urgency, (int64_t)stats.yielded_urgency);
    counter_set(&c_latency, (int64_t)stats.prefill_latency_ms);
    log_line_t line;
    log_begin(&line, LOG_INFO, "engines");
    log_picture(&line, &load);
    log_int(&line, "adopted", (int64_t)stats.adopted);
    log_int(&line, "lapsed", (int64_t)stats.lapsed);
    log_int(&line, "prefill_latency_ms", (int64_t)stats.prefill_latency_ms);
    log_int(&line, "kept", stats.kept);
    log_int(&line, "granted_kept", (int64_t)stats.granted_kept);
    log_int(&line, "left_for_answers", (int64_t)stats.left);
    log_int(&line, "yielded_late", (int64_t)stats.yielded_late);
    log_int(&line, "yielded_share", (int64_t)stats.yielded_share);
    log_int(&line, "yielded_urgency", (int64_t)stats.yielded_urgency);
    log_end(&line);
}

static const char *return_kind_name(return_kind_t kind)
{
    switch (kind) {
    case RETURN_NEW: return "new";
    case RETURN_PROMISED: return "promised";
    case RETURN_UNPROMISED: return "unpromised";
    case RETURN_EARLY: return "early";
    }
    return "";
}

static void log_returned(log_line_t *line, const sched_return_t *returned)
{
    if (!returned->known)
        return;
    log_str(line, "returned", return_kind_name(returned->kind));
    log_int(line, "late", returned->late);
    log_int(line, "first_age_ms", returned->first_age_ms);
    log_int(line, "left_pieces_s", (int64_t)(returned->left_rate * 1000));
}

void leader_log_placed(const sched_t *sched, const sched_answer_t *answer, tc_time_t now)
{
    counter_add(answer->placed.granted ? &c_granted : &c_refused, 1);
    const msg_placed_t *const placed = &answer->placed;
    log_line_t line;
    log_begin(&line, LOG_INFO, "placement");
    log_str(&line, "request", answer->id);
    log_int(&line, "granted", placed->granted);
    log_str(&line, "reason", placed->reason);
    log_str(&line, "prefill", placed->prefill);
    log_str(&line, "decode", placed->decode);
    log_int(&line, "attempt", placed->attempt);
    log_int(&line, "candidates", placed->candidates);
    log_int(&line, "est_ttft_ms", placed->est_ttft_ms);
    log_returned(&line, &answer->returned);
    if (!placed->granted) {
        const sched_load_t load = sched_load(sched, now);
        log_int(&line, "retry_after_ms", placed->retry_after_ms);
        log_int(&line, "promised", placed->promised);
        log_picture(&line, &load);
    }
    log_end(&line);
}
