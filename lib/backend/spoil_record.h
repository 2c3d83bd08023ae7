/** @file spoil_record.h
 * Whether a back end is left for spoiled answers: bytes that are no answer.
 *
 * It is left once spoiled answers to several different requests outweigh its good ones: a single request, sent again
 * and again, may make a sound back end answer badly. It then gets no request for a back-off period, after that one
 * trial at a time. A spoiled trial starts the next period, twice as long; some good ones in a row end it. Answers to
 * calls that began before the last decision say nothing about the time since, so they count for nothing.
 *
 * A record is kept by whoever chooses among back ends, who uses one that is left when there is no other.
 *
 * Pure: no I/O, no clock. A record that is all zero is that of a back end without spoiled answers.
 */
#ifndef TRACKCOVE_BACKEND_SPOIL_RECORD_H
#define TRACKCOVE_BACKEND_SPOIL_RECORD_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"

/* ===== Constants ===== */

enum {
    SPOIL_REQUESTS = 2,          /**< different requests with spoiled answers, and none good, for which it is left */
    SPOIL_BACKOFF_MS = 300,      /**< first back-off period */
    SPOIL_BACKOFF_MAX_MS = 3000, /**< longest one */
    SPOIL_TRIAL_MS = 1500,       /**< the next trial may begin this long after one without a result */
    SPOIL_RETURN_ANSWERS = 2,    /**< good trials in a row after which it is no longer left */
    SPOIL_FORGET_MS = 10000,     /**< periods start at the first one again if it is left this long after its return */
    SPOIL_REMEMBERED = 4         /**< requests with spoiled answers that are told apart */
};

/* ===== Types ===== */

typedef struct {
    uint64_t requests[SPOIL_REMEMBERED]; /**< with spoiled answers, the newest ones */
    unsigned requests_n;                 /**< all that were added */
    unsigned score;                      /**< weight of spoiled answers beyond good ones */
    unsigned periods;                    /**< back-off periods in a row */
    unsigned good;                       /**< good trials in a row */
    bool left;
    tc_time_t since;       /**< time of the last decision; 0: none */
    tc_time_t until;       /**< end of the back-off period */
    tc_time_t trial_until; /**< no other trial before then */
} spoil_record_t;

/* ===== Public functions ===== */

/** An answer was spoiled. @param request a hash, the same for all attempts at one request @param began when the call
 * was sent @return whether the back end is left from now on, and was not before */
bool spoil_record_add_spoiled(spoil_record_t *record, uint64_t request, tc_time_t began, tc_time_t now);
/** An answer was good. @return whether it ended that the back end is left */
bool spoil_record_add_good(spoil_record_t *record, tc_time_t began, tc_time_t now);
/** A request is sent to the back end: a trial if it is left. */
void spoil_record_begin(spoil_record_t *record, tc_time_t now);
/** Whether the back end may get a request: it is not left, or due for a trial. */
bool spoil_record_allows(const spoil_record_t *record, tc_time_t now);
/** When it may get one next; 0: at any time. */
tc_time_t spoil_record_next(const spoil_record_t *record);

#endif
