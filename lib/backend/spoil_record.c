#include "backend/spoil_record.h"

/** Weights of one answer. Back ends that spoil more than a third of their answers are left sooner or later. */
enum { SPOILED_WEIGHT = 2, GOOD_WEIGHT = 1, LEFT_SCORE = SPOILED_WEIGHT * SPOIL_REQUESTS };

static bool is_remembered(const spoil_record_t *record, uint64_t request)
{
    const unsigned n = record->requests_n < SPOIL_REMEMBERED ? record->requests_n : SPOIL_REMEMBERED;
    for (unsigned i = 0; i < n; i++)
        if (record->requests[i] == request)
            return true;
    return false;
}

/** @return whether the request is new */
static bool remember(spoil_record_t *record, uint64_t request)
{
    if (is_remembered(record, request))
        return false;
    record->requests[record->requests_n++ % SPOIL_REMEMBERED] = request;
    return true;
}

/** Starts a back-off period. */
static void leave(spoil_record_t *record, tc_time_t now)
{
    const unsigned doublings = record->periods < 4 ? record->periods : 4;
    const tc_time_t period = (tc_time_t)SPOIL_BACKOFF_MS << doublings;
    record->periods++;
    record->left = true;
    record->good = 0;
    record->since = now;
    record->until = now + (period < SPOIL_BACKOFF_MAX_MS ? period : SPOIL_BACKOFF_MAX_MS);
    record->trial_until = 0;
}

bool spoil_record_add_spoiled(spoil_record_t *record, uint64_t request, tc_time_t began, tc_time_t now)
{
    if (began < record->since)
        return false;
    const bool is_new = remember(record, request);
    if (record->left) {
        leave(record, now);
        return false;
    }
    if (!is_new)
        return false;
    record->score += SPOILED_WEIGHT;
    if (record->score < LEFT_SCORE)
        return false;
    if (now - record->since > SPOIL_FORGET_MS)
        record->periods = 0;
    leave(record, now);
    return true;
}

bool spoil_record_add_good(spoil_record_t *record, tc_time_t began, tc_time_t now)
{
    if (began < record->since)
        return false;
    if (!record->left) {
        record->score -= record->score > 0 ? GOOD_WEIGHT : 0;
        return false;
    }
    record->trial_until = 0;
    if (++record->good < SPOIL_RETURN_ANSWERS)
        return false;
    record->left = false;
    record->score = 0;
    record->requests_n = 0;
    record->since = now;
    return true;
}

void spoil_record_begin(spoil_record_t *record, tc_time_t now)
{
    if (record->left)
        record->trial_until = now + SPOIL_TRIAL_MS;
}

tc_time_t spoil_record_next(const spoil_record_t *record)
{
    if (!record->left)
        return 0;
    return record->until > record->trial_until ? record->until : record->trial_until;
}

bool spoil_record_allows(const spoil_record_t *record, tc_time_t now)
{
    return now >= spoil_record_next(record);
}
