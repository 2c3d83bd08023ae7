/** @file caller.h
 * One caller: asks which entry to use, keeps the answer a while, connects, checks the answer whole.
 */
#ifndef TRACKCOVE_LOAD_CALLER_H
#define TRACKCOVE_LOAD_CALLER_H

#include <pthread.h>

#include "common/time.h"
#include "load/mix.h"
#include "load/tally.h"

/** A caller's knowledge of entries; shared by its requests. */
typedef struct {
    pthread_mutex_t lock;
    char name[32];
    char seeds[16][64]; /**< addresses known from settings */
    uint32_t n_seeds;
    char entries[64][64];
    uint32_t n_entries;
    double entries_expire_ms; /**< ms */
} load_caller_t;

/** Make one request and wait for its end.
 * @param cancel_after_ms leave in the middle after this, 0 for never */
void load_caller_run(load_caller_t *caller, const char *model, const mix_request_t *request, const char *id,
                     double cancel_after_ms, outcome_t *outcome);

#endif
