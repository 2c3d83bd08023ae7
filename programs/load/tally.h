/** @file tally.h
 * Outcomes of requests as callers saw them, and their summary.
 */
#ifndef TRACKCOVE_LOAD_TALLY_H
#define TRACKCOVE_LOAD_TALLY_H

#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

/** How one request ended for its caller. LOST: no attempt gave a complete, correct answer or a known error. */
typedef enum {
    OUTCOME_COMPLETE,
    OUTCOME_NOT_RUN,
    OUTCOME_UNKNOWN,
    OUTCOME_CANCELLED,
    OUTCOME_LOST,
    OUTCOME_INVALID
} outcome_kind_t;

typedef struct {
    char id[64];
    outcome_kind_t kind;
    bool service, non_repeatable, duplicated;
    double ttft_ms, tpot_ms; /**< -1: no token received */
} outcome_t;

typedef struct {
    pthread_mutex_t lock;
    GArray *outcomes;
} tally_t;

/** Counts over a run: completions, then service calls; latencies in ms, of complete completions. */
typedef struct {
    uint32_t offered, good, complete, refused, unknown, cancelled, lost, duplicated, invalid;
    uint32_t calls, calls_complete, calls_refused, calls_unknown;
    uint32_t false_not_run, ran_twice;
    double ttft_p50, ttft_p95, tpot_p50, tpot_p95;
} summary_t;

void tally_init(tally_t *tally);
void tally_add(tally_t *tally, const outcome_t *outcome);

/** Counts the outcomes and computes percentiles. Targets in ms.
 * @param runs_url URL of the stub's execution counts, checked against the outcomes; NULL: not checked */
void tally_summarize(tally_t *tally, const char *runs_url, double ttft_target, double tpot_target, summary_t *summary);

#endif
