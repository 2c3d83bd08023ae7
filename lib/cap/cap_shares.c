#include "cap/cap_shares.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

#include "cap/cap_window.h"
#include "common/mechanism.h"

/* ===== Constants ===== */

enum {
    MS_PER_S = 1000,
    TOLD_MS = 500,    /* a leader answers a report each 300 ms: so old, what it told holds without more */
    FREE_MS = 1500,   /* without a leader, a subject that was far from its cap is let in for so long: an election takes
                         one second */
    REST_WINDOWS = 3, /* what was let in is remembered for so many windows: the leader forgets after two */
    START_RESTED_MS = 1300, /* a box that starts begins with so much of an equal part: while everything was down nothing
                               was let in */
    DEPTH_MS = 300          /* no more than so long a box's part adds up */
};

/** Of a short window, START_RESTED_MS and DEPTH_MS are no more than these parts. */
static const double START_RESTED_PART = 0.325, DEPTH_PART = 0.075;

/** Of the cap, this part is divided equally, */
static const double FLOOR_PART = 0.3;
/** and this part of what a box let in over the last window, which of all boxes together is 1.34 times the cap at most
 * where the slack is four seconds of it: both together are below the cap. With all of it divided equally a box whose
 * callers ask twice as much as others' would refuse half of what is owed. */
static const double FOLLOW_PART = 0.4;
/** Within FREE_MS a box lets in no more than so many times what it did before, or a single request: a subject that
 * begins to ask seven times its usual in the moment in which the leader goes stays within the rules (test_caps_random).
 */
static const double FREE_GROWTH = 1.2;
/** A box at which the subject was not active lets a first request in with this chance: were all to do so, a subject
 * that begins to ask seven times its usual would have a burst of its own (1 of 12,000 days beyond the rules, by 1 in
 * 100). */
static const double FIRST_CHANCE = 0.6;
/** Of the slack, this part is for requests that are larger than what a box's part brings in a moment. */
static const double SLACK_PART = 0.3;
/** The same of a box that has just started and has heard no leader: after a restart of everything nothing was let in
 * for a while. */
static const double START_SLACK_PART = 0.6;

/* ===== Types ===== */

typedef struct {
    char *name;
    double level; /* of this box's part */
    tc_time_t level_at;
    bool is_begun;        /* the part has been used since it last rested */
    double free_units;    /* let in since the leader told the state of the caps, */
    tc_time_t free_since; /* then */
    tc_time_t used_at;    /* the last one was let in */
    cap_window_t window;  /* let in, by whomever */
    uint64_t total, sent; /* let in by this box, and as the report under way says */
    uint64_t heard;       /* and as a leader has heard */
} part_t;

struct cap_shares {
    cap_rules_t rules;
    GHashTable *by_name; /* part_t.name -> part_t */
    GHashTable *states;  /* subject -> cap_state_t: those near their caps, as a leader told last */
    tc_time_t told_at;   /* 0: never */
    uint64_t term;       /* of the leader that told, */
    bool tells_all;      /* and has not been told of the last window */
    bool told_all;       /* by the report under way it is */
};

/* ===== Parts ===== */

static void part_free(void *arg)
{
    part_t *const p = arg;
    g_free(p->name);
    g_free(p);
}

static part_t *part_get(cap_shares_t *c, const char *name)
{
    part_t *p = g_hash_table_lookup(c->by_name, name);
    if (p)
        return p;
    p = g_new0(part_t, 1);
    p->name = g_strdup(name);
    g_hash_table_insert(c->by_name, p->name, p);
    return p;
}

/** Units a second that this box let in over the last window, whoever decided it. */
static double recent_rate(const cap_shares_t *c, part_t *p, tc_time_t now)
{
    return cap_window_sum(&p->window, c->rules.window, now) * MS_PER_S / (double)c->rules.window;
}

/** Whether this box let in as much as such a request over the last window. */
static bool was_active(const cap_shares_t *c, part_t *p, double units, tc_time_t now)
{
    return cap_window_sum(&p->window, c->rules.window, now) >= units;
}

static void note(const cap_shares_t *c, part_t *p, double units, tc_time_t now)
{
    cap_window_add(&p->window, c->rules.window, units, now);
    p->used_at = now;
}

static void count_own(const cap_shares_t *c, part_t *p, double units, tc_time_t now)
{
    note(c, p, units, now);
    p->free_units += units;
    p->total += (uint64_t)ceil(units);
}

/** Units a second that this box may let in by itself. @param is_far whether the subject was far from its cap when the
 *  leader told last: then it may go on as before */
static double part_rate(const cap_shares_t *c, part_t *p, const cap_t *cap, unsigned boxes, bool is_far, tc_time_t now)
{
    const double equal = cap->rate / boxes;
    if (!mechanism_is_on(MECHANISM_CAP_DEMAND) || c->told_at == 0)
        return equal; /* a box that has just started knows of nothing to follow */
    const double recent = MIN(recent_rate(c, p, now), cap->rate);
    const double part = FLOOR_PART * equal + FOLLOW_PART * recent;
    return is_far ? MAX(part, recent) : part;
}

/** A request is often larger than what comes in while a box is alone, so that rounding down would refuse all and
 *  rounding up let in one at each box. Where a box begins is by lot: all boxes together let in what they may, and a
 * part of the slack. One at which the subject was active lately, far from its cap, begins with a request. */
static void begin_part(const cap_shares_t *c, part_t *p, const cap_request_t *ask, unsigned boxes, bool is_far,
                       double draw, tc_time_t now)
{
    const double all = ask->units * boxes;
    const double slack = (c->told_at > 0 ? SLACK_PART : START_SLACK_PART) * c->rules.slack;
    const double spare = all > 0 ? MIN(slack / all, 1) : 0;
    const double rested_ms = MIN(START_RESTED_MS, START_RESTED_PART * (double)c->rules.window);
    const double rested = c->told_at > 0 ? 0 : ask->cap->rate / boxes * rested_ms / MS_PER_S;
    p->level = rested + ask->units * (is_far && was_active(c, p, ask->units, now) ? draw : draw - 1 + spare);
    p->is_begun = true;
}

static void fill_part(const cap_shares_t *c, part_t *p, double rate, tc_time_t now)
{
    const double due = rate * (double)(now - p->level_at) / MS_PER_S;
    const double depth_ms = MIN(DEPTH_MS, DEPTH_PART * (double)c->rules.window);
    p->level = MIN(p->level + due, MAX(rate * depth_ms / MS_PER_S, p->level));
    p->level_at = now;
}

static bool take_part(cap_shares_t *c, part_t *p, const cap_request_t *ask, unsigned boxes, double draw, tc_time_t now,
                      cap_decision_t *verdict)
{
    const bool is_far = !c->rules.strict && c->told_at > 0 && !g_hash_table_contains(c->states, ask->name);
    const double rate = part_rate(c, p, ask->cap, boxes, is_far, now);
    if (p->is_begun && now - p->level_at > c->rules.window)
        p->is_begun = false; /* it has rested: nothing is known of the others any more */
    if (p->is_begun)
        fill_part(c, p, rate, now);
    else
        begin_part(c, p, ask, boxes, is_far, draw, now);
    p->level_at = now;
    verdict->reason = "this box's part of the cap";
    verdict->share_rate = rate;
    verdict->level = p->level;
    if (p->level > 0) {
        p->level -= ask->units;
        count_own(c, p, ask->units, now);
        return true;
    }
    const double wait = rate > 0 ? -p->level / rate * MS_PER_S + 1 : (double)c->rules.window;
    verdict->after = (tc_time_t)MIN(wait, (double)c->rules.window);
    return false;
}

/* ===== Deciding ===== */

/** Whether a subject far from its cap may be let in though no leader has been heard for a moment. */
static bool is_free(const cap_shares_t *c, part_t *p, double units, double draw, tc_time_t now)
{
    if (p->free_since != c->told_at)
        p->free_units = 0;
    p->free_since = c->told_at;
    if (c->rules.strict || c->told_at == 0 || now - c->told_at > FREE_MS)
        return false;
    const double before = recent_rate(c, p, now) * FREE_MS / MS_PER_S;
    if (p->free_units == 0)
        return was_active(c, p, units, now) || draw < FIRST_CHANCE;
    return p->free_units + units <= FREE_GROWTH * before;
}

bool cap_shares_take(cap_shares_t *c, const cap_request_t *ask, unsigned boxes, double draw, tc_time_t now,
                     cap_decision_t *verdict)
{
    part_t *const p = part_get(c, ask->name);
    const cap_state_t *const state = g_hash_table_lookup(c->states, ask->name);
    *verdict = (cap_decision_t){.state_age = c->told_at > 0 ? now - c->told_at : TC_TIME_NEVER};
    const bool led = mechanism_is_on(MECHANISM_CAP_LEADER);
    const bool in_touch = led && !ask->leader_decides && verdict->state_age <= TOLD_MS;
    if (!in_touch && (!led || state || !is_free(c, p, ask->units, draw, now)))
        return take_part(c, p, ask, boxes, draw, now, verdict);
    verdict->reason = state && state->over ? "over the cap, as the leader told" : "below the cap, as the leader told";
    if (state && state->over) {
        verdict->after = state->after_ms;
        return false;
    }
    count_own(c, p, ask->units, now);
    return true;
}

void cap_shares_record(cap_shares_t *c, const cap_request_t *ask, tc_time_t now)
{
    note(c, part_get(c, ask->name), ask->units, now);
}

/* ===== To and from the leader ===== */

/** Nothing is left of it that a decision or a report would need. */
static bool is_idle(const cap_shares_t *c, const part_t *p, tc_time_t now)
{
    return p->heard == p->total && now - p->used_at > REST_WINDOWS * c->rules.window;
}

cap_use_t *cap_shares_report(cap_shares_t *c, uint32_t *n, tc_time_t now)
{
    cap_use_t *const list = calloc(g_hash_table_size(c->by_name) + 1, sizeof(*list));
    if (!list)
        abort();
    *n = 0;
    c->told_all = c->tells_all;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        part_t *const p = value;
        p->sent = p->total;
        const double window = c->tells_all ? cap_window_sum(&p->window, c->rules.window, now) : 0;
        if (p->total == p->heard && window <= 0)
            continue;
        cap_use_t *const use = &list[(*n)++];
        *use = (cap_use_t){.total = p->total, .fresh = p->total - p->heard, .window = (uint64_t)window};
        codec_copy_string(use->name, sizeof(use->name), p->name);
    }
    return list;
}

bool cap_shares_apply_reply(cap_shares_t *c, uint64_t term, const cap_state_t *list, uint32_t n, tc_time_t now)
{
    const bool is_new = term != c->term;
    c->tells_all = is_new || (c->tells_all && !c->told_all);
    c->term = term;
    c->told_at = now;
    g_hash_table_remove_all(c->states);
    for (uint32_t i = 0; i < n; i++) {
        cap_state_t *const state = g_memdup2(&list[i], sizeof(list[i]));
        g_hash_table_insert(c->states, state->name, state);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        part_t *const p = value;
        p->heard = p->sent;
        if (is_idle(c, p, now))
            g_hash_table_iter_remove(&iter);
    }
    return is_new;
}

/* ===== Life ===== */

cap_shares_t *cap_shares_create(const cap_rules_t *rules)
{
    cap_shares_t *const c = g_new0(cap_shares_t, 1);
    c->rules = *rules;
    c->rules.window = MAX(rules->window, CAP_WINDOW_MIN);
    c->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, part_free);
    c->states = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return c;
}

void cap_shares_destroy(cap_shares_t *c)
{
    g_hash_table_destroy(c->by_name);
    g_hash_table_destroy(c->states);
    g_free(c);
}
