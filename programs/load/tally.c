#include "load/tally.h"

#include <stdlib.h>
#include <string.h>

#include "backend/http_client.h"

void tally_init(tally_t *t)
{
    pthread_mutex_init(&t->lock, NULL);
    t->outcomes = g_array_new(FALSE, TRUE, sizeof(outcome_t));
}

void tally_add(tally_t *t, const outcome_t *outcome)
{
    pthread_mutex_lock(&t->lock);
    g_array_append_vals(t->outcomes, outcome, 1);
    pthread_mutex_unlock(&t->lock);
}

static int compare_doubles(gconstpointer a, gconstpointer b)
{
    const double x = *(const double *)a, y = *(const double *)b;
    return x < y ? -1 : (x > y ? 1 : 0);
}

static double percentile(GArray *values, double share)
{
    if (values->len == 0)
        return 0;
    g_array_sort(values, compare_doubles);
    const guint at = (guint)(share * (values->len - 1) + 0.5);
    return g_array_index(values, double, at);
}

static void count_outcome(const outcome_t *o, double ttft_target, double tpot_target, summary_t *s)
{
    s->duplicated += o->duplicated;
    s->lost += o->kind == OUTCOME_LOST;
    s->invalid += o->kind == OUTCOME_INVALID;
    if (o->service) {
        s->calls++;
        s->calls_complete += o->kind == OUTCOME_COMPLETE;
        s->calls_refused += o->kind == OUTCOME_NOT_RUN;
        s->calls_unknown += o->kind == OUTCOME_UNKNOWN;
        return;
    }
    s->cancelled += o->kind == OUTCOME_CANCELLED;
    s->offered += o->kind != OUTCOME_CANCELLED;
    s->complete += o->kind == OUTCOME_COMPLETE;
    s->refused += o->kind == OUTCOME_NOT_RUN;
    s->unknown += o->kind == OUTCOME_UNKNOWN;
    s->good += o->kind == OUTCOME_COMPLETE && o->ttft_ms <= ttft_target && o->tpot_ms <= tpot_target;
}

/** Compares the outcomes with the stub's count of executions per id: counts requests reported as not run that ran, and
 * non-repeatable requests that ran twice. */
static void check_runs(const tally_t *t, const char *url, summary_t *s)
{
    json_t *const ids = json_array();
    for (guint i = 0; i < t->outcomes->len; i++)
        json_array_append_new(ids, json_string(g_array_index(t->outcomes, outcome_t, i).id));
    json_t *const body = json_pack("{s:o}", "ids", ids);
    char *const text = json_dumps(body, JSON_COMPACT);
    json_decref(body);
    const http_call_t call = {.url = url,
                              .method = "POST",
                              .body = text,
                              .body_size = strlen(text),
                              .timeout = 10000,
                              .peer = "stand-in",
                              .step = "count runs"};
    http_result_t result;
    tc_err_t err = {0};
    const int rc = http_call(&call, &result, &err);
    json_t *const answer = rc == TC_OK ? json_loadb(result.body, result.body_size, 0, NULL) : NULL;
    if (!answer) {
        fprintf(stderr, "trackcove-load: cannot read execution counts from the stub: %s\n", err.detail);
        exit(1); /* without the counts the check has not passed */
    }
    for (guint i = 0; i < t->outcomes->len; i++) {
        const outcome_t *const o = &g_array_index(t->outcomes, outcome_t, i);
        const json_int_t runs = json_integer_value(json_array_get(json_object_get(answer, "runs"), i));
        const json_int_t answers = json_integer_value(json_array_get(json_object_get(answer, "answers"), i));
        s->false_not_run += o->kind == OUTCOME_NOT_RUN && runs > 0;
        s->ran_twice += o->non_repeatable && answers > 1;
    }
    json_decref(answer);
    free(result.body);
    free(text);
}

void tally_summarize(tally_t *t, const char *runs_url, double ttft_target, double tpot_target, summary_t *s)
{
    memset(s, 0, sizeof(*s));
    GArray *const ttft = g_array_new(FALSE, FALSE, sizeof(double));
    GArray *const tpot = g_array_new(FALSE, FALSE, sizeof(double));
    for (guint i = 0; i < t->outcomes->len; i++) {
        const outcome_t *const o = &g_array_index(t->outcomes, outcome_t, i);
        count_outcome(o, ttft_target, tpot_target, s);
        if (!o->service && o->kind == OUTCOME_COMPLETE && o->ttft_ms >= 0)
            g_array_append_val(ttft, o->ttft_ms);
        if (!o->service && o->kind == OUTCOME_COMPLETE && o->tpot_ms >= 0)
            g_array_append_val(tpot, o->tpot_ms);
    }
    s->ttft_p50 = percentile(ttft, 0.5);
    s->ttft_p95 = percentile(ttft, 0.95);
    s->tpot_p50 = percentile(tpot, 0.5);
    s->tpot_p95 = percentile(tpot, 0.95);
    g_array_free(ttft, TRUE);
    g_array_free(tpot, TRUE);
    if (runs_url)
        check_runs(t, runs_url, s);
}
