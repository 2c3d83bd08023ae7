/** @file caller.h
 * One caller: fetches the list of entry boxes, caches it, sends requests and verifies that answers are complete.
 */
#ifndef TRACKCOVE_LOAD_CALLER_H
#define TRACKCOVE_LOAD_CALLER_H

#include <pthread.h>

#include "common/time.h"
#include "load/mix.h"
#include "load/tally.h"

/** The entry boxes that a caller knows; shared by its requests, under lock. */
typedef struct {
    pthread_mutex_t lock;
    char name[32];
    char seeds[16][64]; /**< configured addresses, used while no fetched entry answers */
    uint32_t n_seeds;
    char entries[64][64];
    uint32_t n_entries;
    double entries_expire_ms; /**< when the fetched list expires; ms on the clock of tc_time_exact() */
} load_caller_t;

/** Sends one request, with retries at other entries, and waits for its outcome.
 * @param cancel_after_ms closes the connection after this time; 0: never */
void load_caller_run(load_caller_t *caller, const char *model, const mix_request_t *request, const char *id,
                     double cancel_after_ms, outcome_t *outcome);

#endif
