/* Trial runs of held requests. The leader grants a few for all boxes together; a run that completes has the request
 * released everywhere. */

#include "common/log.h"
#include "forward/forward_internal.h"

/** Timeout of the leader, which answers within a round trip. After it the request is refused. */
enum { ANSWER_TIMEOUT_MS = 300 };

static quarantine_t *table_of(const forward_t *f, const trial_t *trial)
{
    return trial->is_part ? f->owner->parts : f->owner->quarantine;
}

/** What a trial run of the request would be for: the request itself, or the one part of its prompt that is held.
 *  @return false when one run can't clear it, since more than that is held */
static bool find_held(const forward_t *f, trial_t *trial)
{
    const uint64_t part = parts_held_key(f);
    const bool is_held = quarantine_remaining_ms(f->owner->quarantine, f->fingerprint, tc_time_now()) > 0;
    *trial = (trial_t){.key = is_held ? f->fingerprint : part, .is_part = !is_held};
    return is_held ? !parts_are_held(f) : part != 0;
}

tc_time_t trial_wait_ms(const forward_t *f)
{
    trial_t trial;
    if (!f->owner->scheduler || !reporter_leader_grants_trials(f->owner->scheduler) || !find_held(f, &trial))
        return TC_TIME_NEVER;
    return quarantine_trial_wait_ms(table_of(f, &trial), trial.key, tc_time_now());
}

bool trial_is_due(const forward_t *f)
{
    return trial_wait_ms(f) == 0;
}

static void on_answer(forward_t *f, int rc, uint32_t type, const void *message)
{
    const msg_trial_taken_t *const taken = rc == TC_OK && type == MSG_TRIAL_TAKEN ? message : NULL;
    if (taken && taken->granted) {
        f->trial.is_granted = true;
        forward_continue(f);
        return;
    }
    if (taken)
        quarantine_delay_trial(table_of(f, &f->trial), f->trial.key, taken->after_ms, tc_time_now());
    forward_fail_quarantined(f);
}

void trial_request(forward_t *f)
{
    if (!find_held(f, &f->trial)) {
        forward_fail_quarantined(f);
        return;
    }
    msg_trial_take_t take = {.request = f->trial.key, .is_part = f->trial.is_part};
    codec_copy_string(take.id, sizeof(take.id), f->facts.id);
    if (!leader_query(f, &f->trial.query, MSG_TRIAL_TAKE, &take, ANSWER_TIMEOUT_MS, on_answer))
        forward_fail_quarantined(f);
}

void trial_complete(const forward_t *f)
{
    if (f->trial.is_granted)
        quarantine_release(table_of(f, &f->trial), f->trial.key, tc_time_now());
}

void trial_cancel(forward_t *f)
{
    leader_query_drop(&f->trial.query);
}
