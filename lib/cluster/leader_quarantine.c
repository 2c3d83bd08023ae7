#include "cluster/leader_quarantine.h"

#include <glib.h>

#include "common/log.h"

unsigned leader_quarantine_count(const leader_quarantine_t *q, const msg_place_t *place, tc_time_t now)
{
    if (place->is_trial)
        return place->ends;
    const unsigned known =
        q->requests && place->fingerprint ? quarantine_crash_count(q->requests, place->fingerprint, now) : 0;
    return MAX(known, place->ends);
}

void leader_quarantine_refuse(peer_net_t *net, peer_call_t call, const char *id)
{
    msg_placed_t placed = {.held = true};
    codec_copy_string(placed.reason, sizeof(placed.reason), "back ends ended whenever they ran it");
    log_line_t line;
    log_begin(&line, LOG_INFO, "placement");
    log_str(&line, "request", id);
    log_int(&line, "granted", false);
    log_str(&line, "reason", placed.reason);
    log_end(&line);
    peer_reply(net, call, MSG_PLACED, &placed);
}

void leader_quarantine_answer_trial(const leader_quarantine_t *q, peer_net_t *net, peer_call_t call,
                                    const msg_trial_take_t *take, tc_time_t now)
{
    quarantine_t *const table = take->is_part ? q->parts : q->requests;
    tc_time_t after = QUARANTINE_HOLD_MS;
    msg_trial_taken_t taken = {.granted = table && quarantine_take_trial(table, take->request, now, &after)};
    taken.after_ms = (uint32_t)MIN(after, QUARANTINE_HOLD_MS);
    log_line_t line;
    log_begin(&line, LOG_INFO, "trial");
    log_str(&line, "request", take->id);
    log_hash(&line, take->is_part ? "key" : "fingerprint", take->request);
    log_int(&line, "granted", taken.granted);
    log_int(&line, "after_ms", taken.after_ms);
    log_end(&line);
    peer_reply(net, call, MSG_TRIAL_TAKEN, &taken);
}
