/* Caps over many boxes, of workspaces and of back ends: what all boxes and all leaders together let in stays within the
 * rules in every window, a workspace that asks less than its cap is refused next to nothing while control is in touch,
 * and a back end that names a limit gets most of what it takes. The ledger and the
 * parts are the real ones; boxes, leaders and callers are made up, and time passes in steps. What was let in is counted
 * from a list of every single request, not as the code counts.
 */

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "cap/cap_ledger.h"
#include "cap/cap_shares.h"
#include "common/sharers.h"

/* ===== World ===== */

enum {
    STEP_MS = 10,
    SPAN_MS = 40000,
    BOXES_MAX = 90,
    REPORT_MS = 300,
    ELECTION_MS = 1000,
    WORKSPACES = 6,
    EVENTS_MAX = 8
};

typedef struct {
    char name[CODEC_STR_SIZE];
    cap_t cap;
    double usual;     /* part of the rate that is asked */
    double stream;    /* part of the requests that are placed */
    tc_time_t hot_at; /* it asks hot times as much for a while */
    double hot;
} space_t;

typedef struct {
    char name[CODEC_STR_SIZE];
    cap_shares_t *parts;
    uint64_t incarnation;
    tc_time_t report_at, cut_until, down_until;
    tc_time_t closed_until[WORKSPACES]; /* of back ends: it was refused, and asks no more until then */
    bool silent;                        /* it is cut off, and goes on serving */
    bool told;                          /* by a leader, since it started: it knows how many boxes there are */
} box_t;

/** One request that was let in. */
typedef struct {
    tc_time_t at;
    double units;
} event_t;

/** What the caps are on. */
typedef enum {
    ON_WORKSPACES, /* some requests are placed by the leader, each of thousands of units */
    ON_BACKENDS,   /* the leader is asked for each request, which is one unit; many more are wanted than are allowed */
    ON_COLD        /* the same of back ends that have just started, within each second */
} subject_t;

typedef struct {
    GRand *random;
    subject_t subject;
    cap_rules_t rules;
    space_t spaces[WORKSPACES];
    box_t boxes[BOXES_MAX];
    unsigned boxes_n;
    cap_ledger_t *ledger; /* NULL: there is no leader */
    uint64_t term;
    tc_time_t leader_at; /* the next one is there then */
    tc_time_t now, unsettled_until;
    GArray *let_in[WORKSPACES];
    unsigned owed, refused; /* requests of workspaces that ask less than their cap while control is in touch */
    double settled_s;       /* time in which it is, */
    unsigned taken;         /* and what back ends got in it */
} world_t;

static bool is_on_backends(const world_t *w)
{
    return w->subject != ON_WORKSPACES;
}

static void configure(const world_t *w)
{
    cap_cfg_t list[WORKSPACES];
    memset(list, 0, sizeof(list));
    for (unsigned i = 0; i < WORKSPACES; i++) {
        codec_copy_string(list[i].name, sizeof(list[i].name), w->spaces[i].name);
        list[i].rate = w->spaces[i].cap.rate;
        list[i].burst = w->spaces[i].cap.burst;
    }
    cap_ledger_configure(w->ledger, list, WORKSPACES, w->now);
}

static void new_leader(world_t *w)
{
    w->ledger = cap_ledger_create(&w->rules);
    w->term++;
    configure(w);
    cap_ledger_start_term(w->ledger, w->now);
}

static void lose_leader(world_t *w)
{
    if (!w->ledger)
        return;
    cap_ledger_destroy(w->ledger);
    w->ledger = NULL;
    w->leader_at = w->now + ELECTION_MS + g_rand_int_range(w->random, -300, 2500);
    w->unsettled_until = w->leader_at + 2 * w->rules.window;
}

static void start_box(world_t *w, box_t *b)
{
    b->parts = cap_shares_create(&w->rules);
    b->incarnation = (uint64_t)w->now + 1;
    b->told = false;
    b->report_at = w->now + g_rand_int_range(w->random, 0, REPORT_MS);
}

static void make_backends(world_t *w)
{
    for (unsigned i = 0; i < WORKSPACES; i++) {
        space_t *const s = &w->spaces[i];
        g_snprintf(s->name, sizeof(s->name), "backend-%u", i);
        const double rate = 0.5 * pow(100, g_rand_double(w->random)); /* 0.5 to 50 a second */
        s->cap = (cap_t){.unit = CAP_REQUESTS, .rate = rate};
        s->usual = 2 + 8 * g_rand_double(w->random);
        s->stream = 1;
        s->hot_at = TC_TIME_NEVER;
        w->let_in[i] = g_array_new(FALSE, FALSE, sizeof(event_t));
    }
}

static void make_spaces(world_t *w)
{
    for (unsigned i = 0; i < WORKSPACES; i++) {
        space_t *const s = &w->spaces[i];
        g_snprintf(s->name, sizeof(s->name), "space-%u", i);
        const double rate = 20000 * pow(12, g_rand_double(w->random)); /* 20,000 to 240,000 a second */
        s->cap = (cap_t){.unit = CAP_TOKENS, .rate = rate, .burst = rate, .default_cost = 200};
        s->usual = 0.1 + 0.7 * g_rand_double(w->random);
        s->stream = 0.3 + 0.4 * g_rand_double(w->random);
        s->hot_at = i < 2 ? g_rand_int_range(w->random, 2000, SPAN_MS) : TC_TIME_NEVER;
        s->hot = 4 + 4 * g_rand_double(w->random);
        w->let_in[i] = g_array_new(FALSE, FALSE, sizeof(event_t));
    }
}

/* ===== What happens ===== */

static void hear_reports(world_t *w, box_t *b)
{
    b->report_at = w->now + REPORT_MS;
    uint32_t n;
    cap_use_t *const used = cap_shares_report(b->parts, &n, w->now);
    if (w->ledger && !b->silent) {
        cap_ledger_apply_report(w->ledger, b->name, b->incarnation, used, n, w->now);
        uint32_t told;
        const cap_state_t *const states = cap_ledger_get_states(w->ledger, &told, w->now);
        if (g_rand_double(w->random) > 0.02) { /* an answer may be lost */
            b->told = true;
            b->report_at =
                cap_shares_apply_reply(b->parts, w->term, states, told, w->now) ? w->now + STEP_MS : b->report_at;
        }
    }
    free(used);
}

/** Everything is killed, and there again a second later, but for a leader. */
static void restart_all(world_t *w)
{
    lose_leader(w);
    for (unsigned i = 0; i < w->boxes_n; i++) {
        box_t *const b = &w->boxes[i];
        if (b->parts)
            cap_shares_destroy(b->parts);
        b->parts = NULL;
        b->down_until = w->now + 1000;
    }
    w->leader_at = MAX(w->leader_at, w->now + 1500);
}

static unsigned count_present(const world_t *w)
{
    unsigned n = 0;
    for (unsigned i = 0; i < w->boxes_n; i++)
        n += w->boxes[i].parts && !w->boxes[i].silent;
    return n;
}

/** Something goes wrong now and then: the leader goes, a box is killed, or some are cut off and serve on. */
static void disturb(world_t *w)
{
    if (g_rand_double(w->random) > 0.0015)
        return;
    const double what = g_rand_double(w->random);
    if (what < 0.1) {
        restart_all(w);
        return;
    }
    box_t *const b = &w->boxes[g_rand_int_range(w->random, 0, (gint32)w->boxes_n)];
    if (what < 0.4) {
        lose_leader(w);
    } else if (what < 0.7 && b->parts) {
        cap_shares_destroy(b->parts);
        b->parts = NULL;
        b->down_until = w->now + 800;
    } else {
        for (unsigned i = 0; i < w->boxes_n / 12 + 1; i++)
            w->boxes[(unsigned)g_rand_int_range(w->random, 0, (gint32)w->boxes_n)].cut_until = w->now + 4000;
        w->unsettled_until = MAX(w->unsettled_until, w->now + 4000 + 2 * w->rules.window);
    }
}

static bool is_settled(const world_t *w)
{
    return w->now > w->unsettled_until && w->now > 2 * w->rules.window;
}

static bool is_let_in(world_t *w, box_t *b, unsigned i, bool placed, double units)
{
    space_t *const s = &w->spaces[i];
    const cap_request_t ask = {.name = s->name, .cap = &s->cap, .units = units, .leader_decides = placed};
    if (placed && w->ledger && !b->silent) {
        tc_time_t after;
        if (!cap_ledger_take(w->ledger, s->name, units, w->now, &after)) {
            g_assert_cmpint(after, >, 0);
            b->closed_until[i] = w->now + after;
            return false;
        }
        cap_shares_record(b->parts, &ask, w->now);
        return true;
    }
    cap_decision_t verdict;
    if (cap_shares_take(b->parts, &ask, b->told ? w->boxes_n : SHARERS_UNKNOWN, g_rand_double(w->random), w->now,
                        &verdict))
        return true;
    g_assert_cmpint(verdict.after, >, 0);
    b->closed_until[i] = w->now + verdict.after;
    return false;
}

static void ask(world_t *w, unsigned i, bool is_hot)
{
    space_t *const s = &w->spaces[i];
    box_t *const b = &w->boxes[g_rand_int_range(w->random, 0, (gint32)w->boxes_n)];
    const bool placed = g_rand_double(w->random) < s->stream;
    const double large = placed ? floor(1000 + 5000 * g_rand_double(w->random)) : s->cap.default_cost;
    const double units = is_on_backends(w) ? 1 : large;
    if (!b->parts || (is_on_backends(w) && w->now < b->closed_until[i]))
        return;
    const bool passed = is_let_in(w, b, i, placed, units);
    if (passed) {
        const event_t event = {.at = w->now, .units = units};
        g_array_append_val(w->let_in[i], event);
    }
    if (!is_hot && s->hot_at == TC_TIME_NEVER && is_settled(w)) {
        w->owed++;
        w->refused += !passed;
        w->taken += passed;
    }
}

/** Requests of one step, by lot. */
static void ask_all(world_t *w)
{
    for (unsigned i = 0; i < WORKSPACES; i++) {
        const space_t *const s = &w->spaces[i];
        const bool is_hot = w->now >= s->hot_at && w->now < s->hot_at + 10000;
        const double mean = is_on_backends(w) ? 1 : s->stream * 3500 + (1 - s->stream) * s->cap.default_cost;
        double due = s->usual * (is_hot ? s->hot : 1) * s->cap.rate / mean * STEP_MS / 1000;
        while (due > 0) {
            if (g_rand_double(w->random) < due)
                ask(w, i, is_hot);
            due -= 1;
        }
    }
}

static void step(world_t *w)
{
    w->now += STEP_MS;
    disturb(w);
    if (!w->ledger && w->now >= w->leader_at)
        new_leader(w);
    if (w->ledger) {
        cap_ledger_set_boxes(w->ledger, count_present(w), w->now);
        cap_ledger_tick(w->ledger, w->now);
    }
    for (unsigned i = 0; i < w->boxes_n; i++) {
        box_t *const b = &w->boxes[i];
        b->silent = w->now < b->cut_until;
        if (!b->parts && w->now >= b->down_until)
            start_box(w, b);
        if (b->parts && w->now >= b->report_at)
            hear_reports(w, b);
    }
    ask_all(w);
    w->settled_s += is_settled(w) ? STEP_MS / 1000.0 : 0;
}

/* ===== Judging ===== */

/** The most that any window holds: one begins at each request. */
static double most_in_window(const GArray *events, tc_time_t window)
{
    double sum = 0, most = 0;
    guint from = 0;
    for (guint to = 0; to < events->len; to++) {
        const event_t *const last = &g_array_index(events, event_t, to);
        sum += last->units;
        while (last->at - g_array_index(events, event_t, from).at > window)
            sum -= g_array_index(events, event_t, from++).units;
        most = MAX(most, sum);
    }
    return most;
}

static void check(const world_t *w, uint32_t seed)
{
    for (unsigned i = 0; i < WORKSPACES; i++) {
        const cap_t *const cap = &w->spaces[i].cap;
        const double units = cap->rate * (double)w->rules.window / 1000 + cap->burst;
        const double limit = units * (1 + w->rules.overrun) + w->rules.slack;
        const double most = most_in_window(w->let_in[i], w->rules.window);
        if (most > limit)
            g_error("seed %u: workspace %u (rate %.0f): %.0f in a window, %.0f are allowed", seed, i, cap->rate, most,
                    limit);
    }
}

/** What came of days. */
typedef struct {
    unsigned owed, refused;
    double taken, takeable; /* of back ends, while control is in touch */
} outcome_t;

static void play(subject_t subject, uint32_t seed, outcome_t *outcome)
{
    static const cap_rules_t rules[] = {[ON_WORKSPACES] = {.window = 8000, .overrun = 0.1, .slack = 190000},
                                        [ON_BACKENDS] = {.window = 4000, .overrun = 0.5, .slack = 5, .strict = true},
                                        [ON_COLD] = {.window = 1000, .overrun = 0.5, .slack = 5, .strict = true}};
    world_t w = {.random = g_rand_new_with_seed(seed), .subject = subject, .rules = rules[subject]};
    w.boxes_n = (unsigned)g_rand_int_range(w.random, 9, BOXES_MAX);
    w.now = 1000000;
    w.unsettled_until = w.now + 2 * w.rules.window; /* nothing is known yet */
    if (is_on_backends(&w))
        make_backends(&w);
    else
        make_spaces(&w);
    for (unsigned i = 0; i < WORKSPACES; i++)
        w.spaces[i].hot_at += w.spaces[i].hot_at == TC_TIME_NEVER ? 0 : w.now;
    for (unsigned i = 0; i < w.boxes_n; i++) {
        g_snprintf(w.boxes[i].name, sizeof(w.boxes[i].name), "box-%u", i);
        start_box(&w, &w.boxes[i]);
    }
    new_leader(&w);
    const tc_time_t end = w.now + SPAN_MS;
    while (w.now < end)
        step(&w);
    check(&w, seed);
    outcome->owed += w.owed;
    outcome->refused += w.refused;
    outcome->taken += w.taken;
    for (unsigned i = 0; i < WORKSPACES; i++)
        outcome->takeable += w.settled_s * w.spaces[i].cap.rate;
    for (unsigned i = 0; i < w.boxes_n; i++)
        if (w.boxes[i].parts)
            cap_shares_destroy(w.boxes[i].parts);
    for (unsigned i = 0; i < WORKSPACES; i++)
        g_array_free(w.let_in[i], TRUE);
    if (w.ledger)
        cap_ledger_destroy(w.ledger);
    g_rand_free(w.random);
}

static unsigned seeds(void)
{
    const char *const text = g_getenv("RANDOM_SEEDS");
    return text ? (unsigned)atoi(text) : 40;
}

static outcome_t play_all(subject_t subject)
{
    outcome_t outcome = {0};
    for (uint32_t seed = 1; seed <= seeds(); seed++)
        play(subject, seed, &outcome);
    return outcome;
}

/** Within the rules whatever happens, and of what is owed while control is in touch less than 1 in 200 is refused. */
static void test_workspaces(void)
{
    const outcome_t outcome = play_all(ON_WORKSPACES);
    g_test_message("%u seeds: %u owed, %u of them refused", seeds(), outcome.owed, outcome.refused);
    g_assert_cmpuint(outcome.owed, >, 0);
    g_assert_cmpuint(outcome.refused * 200, <, outcome.owed);
}

/** Within the rules whatever happens, and a back end gets at least two thirds of what it takes while control is in
 * touch. @param data subject_t */
static void test_backends(gconstpointer data)
{
    const outcome_t outcome = play_all((subject_t)GPOINTER_TO_INT(data));
    g_test_message("%u seeds: %.0f could be taken, %.0f were", seeds(), outcome.takeable, outcome.taken);
    g_assert_cmpfloat(outcome.takeable, >, 0);
    g_assert_cmpfloat(outcome.taken, >, outcome.takeable * 2 / 3);
}

int main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/caps-random/windows", test_workspaces);
    g_test_add_data_func("/caps-random/limits", GINT_TO_POINTER(ON_BACKENDS), test_backends);
    g_test_add_data_func("/caps-random/cold", GINT_TO_POINTER(ON_COLD), test_backends);
    return g_test_run();
}
