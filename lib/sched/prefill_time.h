/** @file prefill_time.h
 * How long an engine takes for a prompt: a fixed latency, and reading at a rate. An engine reads one prompt at a time,
 * but its latency overlaps with the reading of the next prompt, so only reading occupies it.
 *
 * The latency is learned per model from prompts that an engine read alone. Two such prompts of one engine determine
 * a line of time over tokens, whose value at 0 tokens is the latency whatever the speed of the engine; the estimate is
 * the median over the newest pairs, so single stalls and changes of speed have no influence. The rate is learned by
 * the scheduler (engine_update_rate), per engine and per model.
 *
 * While the latency is not known to exceed PREFILL_LATENCY_MIN_MS it counts as PREFILL_BASE_MS: shorter ones are
 * covered by the scheduler's dispatch window.
 *
 * Pure: no I/O, no clock. Not thread-safe.
 */
#ifndef TRACKCOVE_SCHED_PREFILL_TIME_H
#define TRACKCOVE_SCHED_PREFILL_TIME_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

/* ===== Constants ===== */

/** Latency that is assumed until another is known, ms. */
#define PREFILL_BASE_MS 20
/** Shortest latency that is modelled, ms: two dispatch windows of the scheduler. */
#define PREFILL_LATENCY_MIN_MS 80
/** A latency is modelled once it exceeds PREFILL_LATENCY_MIN_MS by this factor, and until it falls below the minimum:
 *  with single times off by 8 ms a latency of 75 ms passed the minimum 224 times in 20,000 prompts, and each change
 *  makes the rates learned before it wrong. */
#define PREFILL_LATENCY_MARGIN 1.25
/** Newest pairs of prompts that the median is taken over. */
#define PREFILL_FIT_PAIRS 64
/** Fewest pairs that give an estimate: a single stall disturbs a few of them, which does not move the median beyond the
 *  spread of the others. */
#define PREFILL_FIT_PAIRS_MIN 16
/** Prompts that are remembered per engine. */
#define PREFILL_SAMPLES 3

/* ===== Types ===== */

/** Last prompts that an engine read alone, newest first. All zero: none yet. Each new one is paired with all of them:
 *  under load an engine seldom reads a prompt alone. */
typedef struct {
    struct {
        double tokens, ms;
    } last[PREFILL_SAMPLES];
} prefill_samples_t;

/** Latencies that the newest pairs of prompts show. Plain data, set up by prefill_fit_init. */
typedef struct {
    double latencies[PREFILL_FIT_PAIRS]; /**< ms, a ring buffer */
    uint32_t n;                          /**< entries in use */
    uint32_t next;                       /**< entry to be written next */
    double latency;                      /**< median; 0 until there are PREFILL_FIT_PAIRS_MIN */
    bool known;                          /**< the latency is modelled */
} prefill_fit_t;

/* ===== Public functions ===== */

void prefill_fit_init(prefill_fit_t *fit);
/** Adds a prompt that the engine read while it had no other. Prompts of nearly equal length form no pair.
 *  @param samples of that engine @param tokens more than 0 @param took_ms more than 0 */
void prefill_fit_add(prefill_fit_t *fit, prefill_samples_t *samples, double tokens, double took_ms);
/** Adds a prompt that the engine read beside others. No prompt takes less than the latency: one that did shows that it
 * has shrunk, also where no prompt is read alone any more. */
void prefill_fit_add_queued(prefill_fit_t *fit, double took_ms);
/** Latency of a prompt, ms: PREFILL_BASE_MS unless the fit shows one of at least PREFILL_LATENCY_MIN_MS. */
double prefill_fit_latency(const prefill_fit_t *fit);
/** Whether prefill_fit_latency is a learned one, which is modelled apart from reading. */
bool prefill_fit_is_known(const prefill_fit_t *fit);

#endif
