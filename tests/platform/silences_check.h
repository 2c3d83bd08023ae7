/** @file silences_check.h
 * Checks of test_silences.c and test_silences_random.c: what callers received against what back ends recorded.
 */
#ifndef TRACKCOVE_TESTS_SILENCES_CHECK_H
#define TRACKCOVE_TESTS_SILENCES_CHECK_H

#include "platform/silences_lab.h"

typedef struct {
    unsigned all, complete, refused, failed, left, late, spoilt, broken, stayed, rerun;
} silence_tally_t;

/** Whether an answer is broken off that a back end itself had begun and ended, by a crash or at a byte. */
static bool is_spoilt(const silence_request_t *q)
{
    for (guint i = 0; i < q->runs->len; i++) {
        const run_t *const run = g_ptr_array_index(q->runs, i);
        if (!run->prefill && run->answered > 0 && (run->spoils || run->progress.state == LAB_SHUT_DOWN))
            return true;
    }
    return false;
}

static const run_t *find_run(const silence_request_t *q, unsigned number)
{
    for (guint i = 0; i < q->runs->len; i++)
        if (((const run_t *)g_ptr_array_index(q->runs, i))->number == number)
            return g_ptr_array_index(q->runs, i);
    return NULL;
}

/** Events come once and in order, each from one run, and a run goes on after the last event before it.
 *  @param whole the answer ended well @return what is wrong, or NULL */
static const char *check_events(const silence_request_t *q, bool whole)
{
    unsigned last = 0, of = 0;
    const char *at = q->call->body->str, *end;
    while ((end = strstr(at, "\n\n"))) {
        unsigned id = 0, number = 0;
        if (sscanf(at, "id: %u\ndata: run %u\n\n", &id, &number) != 2)
            return "bytes that no run wrote";
        const run_t *const run = find_run(q, number);
        if (!run || id != last + 1)
            return "an event is lost, repeated or of another request";
        if (number != of && (number < of || run->after != last))
            return "runs are mixed";
        last = id;
        of = number;
        at = end + 2;
    }
    return whole && (last != q->events || *at) ? "ended well before its end" : NULL;
}

/** What is wrong with the end of a request that was not run, or is not to run twice; or NULL. */
static const char *check_runs(const silence_request_t *q)
{
    unsigned runs = 0;
    for (guint i = 0; i < q->runs->len; i++)
        runs += !((const run_t *)g_ptr_array_index(q->runs, i))->prefill;
    if (q->kind != KIND_ONCE && q->kind != KIND_SINGLE)
        return NULL;
    if (runs > 1)
        return "ran twice";
    const int status = q->left ? 0 : q->call->status;
    return runs > 0 && (status == 503 || status == 429) ? "ran, and was refused as not run" : NULL;
}

static void print_request(const silence_world_t *w, const silence_request_t *q, const char *why)
{
    static const char *const states[] = {"open", "sent", "left by the box", "shut down"};
    g_test_message("request %s of kind %d at box %d: %s; status %d, end %d, %zu bytes after %lld ms", q->id, q->kind,
                   q->box, why, q->call->status, q->call->how, q->call->body->len, (long long)q->took);
    for (guint i = 0; i < q->runs->len; i++) {
        const run_t *const run = g_ptr_array_index(q->runs, i);
        g_test_message("  run %u at %s%s after event %u: began %u ticks ago, answered %u, over %u: %s at byte %zu%s",
                       run->number, run->instance, run->prefill ? " (prefill)" : "", run->after, w->tick - run->began,
                       run->answered ? w->tick - run->answered : 0, run->over ? w->tick - run->over : 0,
                       states[run->progress.state], run->progress.sent, run->spoils ? ", breaks off" : "");
    }
}

/** Sorts the request into the tally. Anything but a complete answer or a refusal needs a reason: the caller left, the
 *  time was up, or the engine itself broke the answer off. */
static void count_request(const silence_world_t *w, const silence_request_t *q, silence_tally_t *t)
{
    const lab_call_t *const c = q->call;
    const bool complete = c->how == WEB_RESULT_COMPLETE;
    t->all++;
    t->rerun += q->runs->len > 2;
    if (q->left)
        t->left++;
    else if (complete && c->status == 200)
        t->complete++;
    else if (complete && (c->status == 503 || c->status == 429))
        t->refused++;
    else if (complete)
        t->failed++;
    else if (q->took >= TIMEOUT_MS - LIMIT_SLACK_MS)
        t->late++;
    else if (is_spoilt(q))
        t->spoilt++;
    else {
        t->broken++;
        print_request(w, q, "neither answer nor refusal");
    }
    if (q->stayed) {
        t->stayed++;
        print_request(w, q, "still worked on at an engine that it had left");
    }
}

/** Checks every request that was sent and prints the counts. */
static silence_tally_t check_requests(const silence_world_t *w)
{
    silence_tally_t t = {0};
    bool wrong = false;
    for (guint i = 0; i < w->requests->len; i++) {
        const silence_request_t *const q = g_ptr_array_index(w->requests, i);
        const lab_call_t *const c = q->call;
        const bool whole = !q->left && c->how == WEB_RESULT_COMPLETE;
        const char *why = check_runs(q);
        if (!why && c->status == 200 && q->kind <= KIND_SINGLE)
            why = check_events(q, whole);
        if (!why && whole && c->status == 200 && q->kind > KIND_SINGLE && strcmp(c->body->str, q->id) != 0)
            why = "the answer to another request";
        if (why)
            print_request(w, q, why);
        wrong = wrong || why;
        count_request(w, q, &t);
    }
    g_test_message(
        "%u requests: %u complete, %u refused, %u failed, %u left by callers, %u at their time limit, %u "
        "broken off by engines, %u with neither answer nor refusal, %u worked on twice, %u with further runs",
        t.all, t.complete, t.refused, t.failed, t.left, t.late, t.spoilt, t.broken, t.stayed, t.rerun);
    g_assert_false(wrong);
    return t;
}

#endif
