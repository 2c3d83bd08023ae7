#include "sched/prefill_time.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/** Smallest difference between the lengths of a pair, as a fraction of the longer prompt. An error of 1 ms in a time
 *  becomes one of up to 7 ms in the latency at a quarter. */
static const double PAIR_DIFFERENCE_MIN = 0.25;

void prefill_fit_init(prefill_fit_t *fit)
{
    memset(fit, 0, sizeof(*fit));
}

static int compare_doubles(const void *a, const void *b)
{
    const double x = *(const double *)a, y = *(const double *)b;
    return x < y ? -1 : x > y;
}

static double median(const double *values, uint32_t n)
{
    double sorted[PREFILL_FIT_PAIRS];
    memcpy(sorted, values, n * sizeof(*values));
    qsort(sorted, n, sizeof(*sorted), compare_doubles);
    return n % 2 ? sorted[n / 2] : (sorted[n / 2 - 1] + sorted[n / 2]) / 2;
}

static void add_latency(prefill_fit_t *fit, double latency)
{
    fit->latencies[fit->next] = latency;
    fit->next = (fit->next + 1) % PREFILL_FIT_PAIRS;
    fit->n += fit->n < PREFILL_FIT_PAIRS;
    if (fit->n >= PREFILL_FIT_PAIRS_MIN)
        fit->latency = median(fit->latencies, fit->n);
    if (fit->latency >= PREFILL_LATENCY_MIN_MS * PREFILL_LATENCY_MARGIN)
        fit->known = true;
    else if (fit->latency < PREFILL_LATENCY_MIN_MS)
        fit->known = false;
}

static void add_pair(prefill_fit_t *fit, double tokens, double ms, double other_tokens, double other_ms)
{
    const double difference = tokens - other_tokens;
    if (other_tokens <= 0 || fabs(difference) < PAIR_DIFFERENCE_MIN * fmax(tokens, other_tokens))
        return;
    add_latency(fit, (other_ms * tokens - ms * other_tokens) / difference);
}

void prefill_fit_add(prefill_fit_t *fit, prefill_samples_t *samples, double tokens, double took_ms)
{
    if (!(tokens > 0) || !(took_ms > 0))
        return;
    for (int i = 0; i < PREFILL_SAMPLES; i++)
        add_pair(fit, tokens, took_ms, samples->last[i].tokens, samples->last[i].ms);
    memmove(&samples->last[1], &samples->last[0], sizeof(samples->last) - sizeof(samples->last[0]));
    samples->last[0].tokens = tokens;
    samples->last[0].ms = took_ms;
}

void prefill_fit_add_queued(prefill_fit_t *fit, double took_ms)
{
    if (prefill_fit_is_known(fit) && took_ms > 0 && took_ms < fit->latency)
        add_latency(fit, took_ms);
}

bool prefill_fit_is_known(const prefill_fit_t *fit)
{
    return fit->known;
}

double prefill_fit_latency(const prefill_fit_t *fit)
{
    return prefill_fit_is_known(fit) ? fit->latency : PREFILL_BASE_MS;
}
