/** @file main.c
 * trackcove-load: open-loop load generator that verifies every answer. Prints a table and a line of JSON.
 */

#include <glib.h>
#include <math.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "backend/http_client.h"
#include "load/caller.h"
#include "load/mix.h"
#include "load/tally.h"

/* ===== Options ===== */

enum { CALLERS = 24, THREAD_STACK = 256 * 1024, SETTLE_TIMEOUT_MS = 5000, EXIT_USAGE = 2, EXIT_CHECK_FAILED = 1 };

static gchar *opt_entries, *opt_mix = "sahel", *opt_admin, *opt_scenario = "run", *opt_policy = "cell";
static gdouble opt_load = 1, opt_measured_s = 10, opt_cancel = 0.02, opt_warmup_s = 2;
static gchar *opt_second_mix;
static gdouble opt_shift_s;
static gint opt_seed = 1;
static gboolean opt_strict, opt_quiet;

static const GOptionEntry options[] = {
    {"entries", 'e', 0, G_OPTION_ARG_STRING, &opt_entries, "addresses of entry boxes, comma-separated", "IP:PORT,..."},
    {"mix", 'm', 0, G_OPTION_ARG_STRING, &opt_mix, "sahel, river, sahel-short or sahel-long", "NAME"},
    {"then", 0, 0, G_OPTION_ARG_STRING, &opt_second_mix, "second mix, used from --shift-at on", "NAME"},
    {"shift-at", 0, 0, G_OPTION_ARG_DOUBLE, &opt_shift_s, "time of the change to the second mix, s after the warm-up",
     "S"},
    {"load", 'l', 0, G_OPTION_ARG_DOUBLE, &opt_load, "offered load as a multiple of the deployment's capacity (1.0)",
     "X"},
    {"seconds", 't', 0, G_OPTION_ARG_DOUBLE, &opt_measured_s, "duration of the measurement, s (10)", "S"},
    {"warm", 0, 0, G_OPTION_ARG_DOUBLE, &opt_warmup_s, "warm-up before the measurement, s (2)", "S"},
    {"seed", 's', 0, G_OPTION_ARG_INT, &opt_seed, "seed of arrivals and prompts (1)", "N"},
    {"cancel", 0, 0, G_OPTION_ARG_DOUBLE, &opt_cancel, "share of callers that close the connection early (0.02)", "X"},
    {"admin", 0, 0, G_OPTION_ARG_STRING, &opt_admin, "address of trackcove-stub, to read its counts", "IP:PORT"},
    {"scenario", 0, 0, G_OPTION_ARG_STRING, &opt_scenario, "name for the output line", "NAME"},
    {"policy", 0, 0, G_OPTION_ARG_STRING, &opt_policy, "name for the output line", "NAME"},
    {"strict", 0, 0, G_OPTION_ARG_NONE, &opt_strict, "exit 1 unless every answer was complete or correctly refused",
     NULL},
    {"quiet", 'q', 0, G_OPTION_ARG_NONE, &opt_quiet, "print only the JSON line", NULL},
    {NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL}};

/* ===== Requests ===== */

static load_caller_t callers[CALLERS];
static const mix_t *mix, *second_mix;
static tally_t tally;
static atomic_int running;

typedef struct {
    mix_request_t request;
    load_caller_t *caller;
    char id[64];
    double cancel_after_ms;
    bool measured;
} job_t;

static void *run_job(void *arg)
{
    job_t *const job = arg;
    outcome_t outcome;
    load_caller_run(job->caller, mix->model, &job->request, job->id, job->cancel_after_ms, &outcome);
    if (job->measured || outcome.kind == OUTCOME_LOST || outcome.duplicated)
        tally_add(&tally, &outcome);
    g_free(job->request.prompt);
    free(job);
    atomic_fetch_sub(&running, 1);
    return NULL;
}

static void start_job(GRand *random, const mix_t *from, uint64_t number, bool measured, const pthread_attr_t *attr)
{
    job_t *const job = calloc(1, sizeof(*job));
    if (!job)
        abort();
    mix_draw(from, random, number, &job->request);
    job->caller = &callers[g_rand_int_range(random, 0, CALLERS)];
    job->measured = measured;
    if (g_rand_double(random) < opt_cancel && !job->request.kind->service)
        job->cancel_after_ms = 50 + 1500 * g_rand_double(random);
    snprintf(job->id, sizeof(job->id), "%s-%d-%llu-%x", opt_policy, opt_seed, (unsigned long long)number,
             g_random_int() & 0xffffff);
    pthread_t thread;
    atomic_fetch_add(&running, 1);
    if (pthread_create(&thread, attr, run_job, job) != 0) {
        fprintf(stderr, "trackcove-load: no more threads\n");
        exit(EXIT_CHECK_FAILED);
    }
}

static void sleep_until(double at)
{
    const double left = at - tc_time_exact();
    if (left > 0)
        g_usleep((gulong)(left * 1000));
}

/** Open loop with Poisson arrivals: a request starts whether or not earlier ones have ended. */
static void send_requests(void)
{
    GRand *const random = g_rand_new_with_seed((guint32)opt_seed);
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, THREAD_STACK);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    double completions = 0;
    for (uint32_t i = 0; i < mix->n_kinds; i++)
        completions += mix->kinds[i].service ? 0 : mix->kinds[i].share;
    const double rate = opt_load * mix->capacity / completions;
    const double begin = tc_time_exact(), end = begin + (opt_warmup_s + opt_measured_s) * 1000;
    const double shift = begin + (opt_warmup_s + opt_shift_s) * 1000;
    double at = begin, reported_at = begin;
    for (uint64_t number = 1;; number++) {
        at += -log(1 - g_rand_double(random)) * 1000 / rate;
        if (at >= end)
            break;
        sleep_until(at);
        start_job(random, second_mix && at >= shift ? second_mix : mix, number, at >= begin + opt_warmup_s * 1000,
                  &attr);
        if (!opt_quiet && tc_time_exact() - reported_at > 2000) {
            reported_at = tc_time_exact();
            fprintf(stderr, "  %.0f s: %llu sent, %d in flight\n", (reported_at - begin) / 1000,
                    (unsigned long long)number, atomic_load(&running));
        }
    }
    g_rand_free(random);
}

/* ===== Counts of the stub ===== */

static json_t *admin_stats(void)
{
    char url[128];
    snprintf(url, sizeof(url), "http://%s/admin/stats", opt_admin);
    const http_call_t call = {.url = url, .method = "GET", .timeout = 5000, .peer = opt_admin, .step = "stats"};
    http_result_t result;
    tc_err_t err = {0};
    json_t *const body =
        http_call(&call, &result, &err) == TC_OK ? json_loadb(result.body, result.body_size, 0, NULL) : NULL;
    free(result.body);
    if (!body) {
        fprintf(stderr, "trackcove-load: cannot read counts from the stub at %s\n", opt_admin);
        exit(EXIT_CHECK_FAILED);
    }
    return body;
}

static double get_stat(const json_t *stats, const char *key)
{
    return (double)json_integer_value(json_object_get(stats, key));
}

/** Waits until the engines hold no pieces, for SETTLE_TIMEOUT_MS at most. @return the last counts, new reference */
static json_t *wait_for_released_memory(void)
{
    const double until = tc_time_exact() + SETTLE_TIMEOUT_MS;
    json_t *stats = admin_stats();
    while (get_stat(stats, "held_pieces") > 0 && tc_time_exact() < until) {
        g_usleep(100000);
        json_decref(stats);
        stats = admin_stats();
    }
    return stats;
}

/* ===== Report ===== */

static double share(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

static void print_table(const summary_t *s, double wasted, double held)
{
    printf("%-28s %10s\n", "measure", opt_policy);
    printf("%-28s %10u\n", "completions offered", s->offered);
    printf("%-28s %10.3f\n", "goodput (share)", share(s->good, s->offered));
    printf("%-28s %10.4f\n", "wasted prefill (share)", wasted);
    printf("%-28s %10u\n", "refused as not run", s->refused);
    printf("%-28s %10u\n", "outcome unknown", s->unknown);
    printf("%-28s %10u\n", "cancelled by the caller", s->cancelled);
    printf("%-28s %10u / %u\n", "service calls complete", s->calls_complete, s->calls);
    printf("%-28s %10u\n", "lost", s->lost);
    printf("%-28s %10u\n", "doubled", s->duplicated);
    printf("%-28s %10u\n", "false not run", s->false_not_run);
    printf("%-28s %10u\n", "ran twice", s->ran_twice);
    printf("%-28s %10.0f\n", "pieces held at the end", held);
    printf("%-28s %6.0f / %.0f\n", "first token p50 / p95, ms", s->ttft_p50, s->ttft_p95);
    printf("%-28s %6.1f / %.1f\n", "between tokens p50/p95, ms", s->tpot_p50, s->tpot_p95);
}

static void print_line(const summary_t *s, double wasted, double held)
{
    json_t *const line =
        json_pack("{s:s,s:s,s:s,s:f,s:i,s:f,s:f,s:f,s:i,s:i,s:i,s:i,s:i,s:i,s:f,s:f,s:i,s:i,s:i}", "scenario",
                  opt_scenario, "mix", mix->name, "policy", opt_policy, "load", opt_load, "seed", opt_seed, "goodput",
                  share(s->good, s->offered), "wasted_prefill", wasted, "refused", share(s->refused, s->offered),
                  "lost", (int)s->lost, "doubled", (int)s->duplicated, "false_not_run", (int)s->false_not_run,
                  "ran_twice", (int)s->ran_twice, "held_after", (int)held, "unknown",
                  (int)(s->unknown + s->calls_unknown), "ttft_p95_ms", s->ttft_p95, "tpot_p95_ms", s->tpot_p95,
                  "offered", (int)s->offered, "calls", (int)s->calls, "calls_whole", (int)s->calls_complete);
    char *const text = json_dumps(line, JSON_REAL_PRECISION(5));
    printf("%s\n", text);
    free(text);
    json_decref(line);
}

/* ===== Main ===== */

static void init_callers(void)
{
    gchar **const parts = g_strsplit(opt_entries, ",", 0);
    const guint n = g_strv_length(parts);
    for (int i = 0; i < CALLERS; i++) {
        load_caller_t *const c = &callers[i];
        pthread_mutex_init(&c->lock, NULL);
        snprintf(c->name, sizeof(c->name), "caller-%d-%d", opt_seed, i);
        /* Each caller knows all addresses and starts with a different one. */
        for (guint k = 0; k < n && k < G_N_ELEMENTS(c->seeds); k++)
            g_strlcpy(c->seeds[c->n_seeds++], parts[(k + (guint)i) % n], sizeof(c->seeds[0]));
    }
    g_strfreev(parts);
}

static bool parse_options(int argc, char **argv)
{
    GOptionContext *const context = g_option_context_new("- open-loop load generator for trackcove");
    g_option_context_add_main_entries(context, options, NULL);
    GError *error = NULL;
    const bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    mix = mix_find(opt_mix);
    second_mix = opt_second_mix ? mix_find(opt_second_mix) : NULL;
    if (!parsed)
        fprintf(stderr, "trackcove-load: %s\n", error->message);
    else if (!opt_entries || !mix || (opt_second_mix && !second_mix))
        fprintf(stderr, "trackcove-load: %s\n",
                mix && (!opt_second_mix || second_mix) ? "--entries is required" : "unknown mix; see --help");
    return parsed && opt_entries && mix && (!opt_second_mix || second_mix);
}

int main(int argc, char **argv)
{
    if (!parse_options(argc, argv))
        return EXIT_USAGE;
    signal(SIGPIPE, SIG_IGN);
    http_client_init("callers");
    tally_init(&tally);
    init_callers();
    json_t *const before = opt_admin ? admin_stats() : NULL;
    send_requests();
    while (atomic_load(&running) > 0)
        g_usleep(20000);
    double wasted = 0, held = 0;
    char runs_url[128] = "";
    if (opt_admin) {
        json_t *const after = wait_for_released_memory();
        wasted = share(get_stat(after, "wasted") - get_stat(before, "wasted"),
                       get_stat(after, "prefilled") - get_stat(before, "prefilled"));
        held = get_stat(after, "held_pieces");
        json_decref(after);
        json_decref(before);
        snprintf(runs_url, sizeof(runs_url), "http://%s/admin/runs", opt_admin);
    }
    summary_t s;
    tally_summarize(&tally, opt_admin ? runs_url : NULL, 1600, 51, &s);
    if (!opt_quiet)
        print_table(&s, wasted, held);
    print_line(&s, wasted, held);
    const bool passed = s.lost == 0 && s.duplicated == 0 && s.false_not_run == 0 && s.ran_twice == 0 && held == 0 &&
                        s.invalid == 0 && s.complete > 0;
    return opt_strict && !passed ? EXIT_CHECK_FAILED : 0;
}
