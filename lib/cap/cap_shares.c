#include "cap/cap_shares.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>

#include "cap/cap_window.h"
#include "common/feature.h"

/* ===== Constants ===== */

enum {
    MS_PER_S = 1000,
    FRESH_STATES_MS = 500, /* age up to which states from a leader hold: it replies to a report every 300 ms */
    GRACE_MS = 1500,  /* without a leader, subjects far from their caps are admitted for this time: an election takes
                         one second */
    IDLE_WINDOWS = 3, /* counts are kept for this many windows: the leader drops its own after two */
    START_CREDIT_MS = 1300, /* time of its equal share that a box starts with: nothing was admitted while all boxes were
                               down */
    DEPTH_MS = 300          /* time of its share that a box accumulates at most */
};

/** Upper bound of START_CREDIT_MS as a fraction of a short window. */
static const double START_CREDIT_FRACTION = 0.325;
/** Upper bound of DEPTH_MS as a fraction of a short window. */
static const double DEPTH_FRACTION = 0.075;

/** Fraction of the cap that is divided equally between the boxes. */
static const double EQUAL_FRACTION = 0.3;
/** Fraction of what a box admitted over the last window that is added to its equal share. All boxes together admit at
 *  most 1.34 times the cap if the slack is four seconds of it, so that both together stay below the cap. With equal
 *  shares only, a box whose callers send twice as much as others' would refuse half of what its callers may send. */
static const double RECENT_FRACTION = 0.4;
/** Most that a box admits within GRACE_MS, as a multiple of its former rate; a single request is always possible. Keeps
 *  a subject that starts to send seven times its usual load just as the leader is lost within the rules
 *  (test_caps_random). */
static const double GRACE_GROWTH = 1.2;
/** Probability of admitting a first request where the subject was not active. If all boxes did so, a subject that
 * starts to send seven times its usual load would get another burst (1 of 12,000 runs exceeded the rules, by 1 %). */
static const double FIRST_PROBABILITY = 0.6;
/** Fraction of the slack for requests that are larger than what a box's share yields in a short time. */
static const double SLACK_FRACTION = 0.3;
/** The same at a box that has just started and has had no reply of a leader: after a restart of all boxes nothing was
 *  admitted for a while. */
static const double START_SLACK_FRACTION = 0.6;

/* ===== Types ===== */

/** This box's share of one subject's cap. */
typedef struct {
    char *name;
    double level;          /* units left */
    tc_time_t level_at;    /* time of the level */
    bool is_started;       /* used since it was last idle for a window */
    double grace_units;    /* units admitted by this box since grace_since */
    tc_time_t grace_since; /* states_at of the leader's states that were in force then */
    tc_time_t used_at;     /* when the last request was admitted */
    cap_window_t window;   /* admitted units, whoever decided */
    uint64_t total;        /* units admitted by this box */
    uint64_t sent;         /* of these, in the last report */
    uint64_t confirmed;    /* of these, in the last report that a leader replied to */
} share_t;

struct cap_shares {
    cap_rules_t rules;
    GHashTable *by_name; /* share_t.name -> share_t */
    GHashTable *states;  /* subject -> cap_state_t: those near their caps, by the last reply of a leader */
    tc_time_t states_at; /* time of that reply, 0: none */
    uint64_t term;       /* of that leader */
    bool needs_window;   /* the leader does not know the units of the last window yet */
    bool is_window_sent; /* the last report includes them */
};

/* ===== Shares ===== */

static void share_free(void *arg)
{
    share_t *const s = arg;
    g_free(s->name);
    g_free(s);
}

static share_t *share_get(cap_shares_t *c, const char *name)
{
    share_t *s = g_hash_table_lookup(c->by_name, name);
    if (s)
        return s;
    s = g_new0(share_t, 1);
    s->name = g_strdup(name);
    g_hash_table_insert(c->by_name, s->name, s);
    return s;
}

/** Units per second that this box admitted over the last window, whoever decided. */
static double recent_rate(const cap_shares_t *c, share_t *s, tc_time_t now)
{
    return cap_window_sum(&s->window, c->rules.window, now) * MS_PER_S / (double)c->rules.window;
}

/** Whether this box admitted at least @p units over the last window. */
static bool was_active(const cap_shares_t *c, share_t *s, double units, tc_time_t now)
{
    return cap_window_sum(&s->window, c->rules.window, now) >= units;
}

static void record(const cap_shares_t *c, share_t *s, double units, tc_time_t now)
{
    cap_window_add(&s->window, c->rules.window, units, now);
    s->used_at = now;
}

static void count_own(const cap_shares_t *c, share_t *s, double units, tc_time_t now)
{
    record(c, s, units, now);
    s->grace_units += units;
    s->total += (uint64_t)ceil(units);
}

/** This box's share of a cap, units per second. @param is_far whether the subject was far from its cap by the leader's
 *  last states: then the box may keep its recent rate */
static double share_rate(const cap_shares_t *c, share_t *s, const cap_t *cap, unsigned boxes, bool is_far,
                         tc_time_t now)
{
    const double equal = cap->rate / boxes;
    if (!feature_is_enabled(FEATURE_CAP_DEMAND) || c->states_at == 0)
        return equal; /* a box that has just started has no recent rate */
    const double recent = MIN(recent_rate(c, s, now), cap->rate);
    const double share = EQUAL_FRACTION * equal + RECENT_FRACTION * recent;
    return is_far ? MAX(share, recent) : share;
}

/** Sets the initial level. A request is often larger than what a share yields while there is no leader: rounding down
 *  would refuse all, and rounding up would admit one at each box. So the initial level is random, and all boxes
 * together admit what the cap allows and a part of the slack. A box where the subject was recently active, far from its
 * cap, starts with a level above 0, so that it admits its first request. */
static void start_share(const cap_shares_t *c, share_t *s, const cap_request_t *request, unsigned boxes, bool is_far,
                        double draw, tc_time_t now)
{
    const double all = request->units * boxes;
    const double slack = (c->states_at > 0 ? SLACK_FRACTION : START_SLACK_FRACTION) * c->rules.slack;
    const double spare = all > 0 ? MIN(slack / all, 1) : 0;
    const double credit_ms = MIN(START_CREDIT_MS, START_CREDIT_FRACTION * (double)c->rules.window);
    const double credit = c->states_at > 0 ? 0 : request->cap->rate / boxes * credit_ms / MS_PER_S;
    s->level = credit + request->units * (is_far && was_active(c, s, request->units, now) ? draw : draw - 1 + spare);
    s->is_started = true;
}

static void fill_share(const cap_shares_t *c, share_t *s, double rate, tc_time_t now)
{
    const double due = rate * (double)(now - s->level_at) / MS_PER_S;
    const double depth_ms = MIN(DEPTH_MS, DEPTH_FRACTION * (double)c->rules.window);
    s->level = MIN(s->level + due, MAX(rate * depth_ms / MS_PER_S, s->level));
    s->level_at = now;
}

static bool take_share(cap_shares_t *c, share_t *s, const cap_request_t *request, unsigned boxes, double draw,
                       tc_time_t now, cap_decision_t *decision)
{
    const bool is_far = !c->rules.strict && c->states_at > 0 && !g_hash_table_contains(c->states, request->name);
    const double rate = share_rate(c, s, request->cap, boxes, is_far, now);
    if (s->is_started && now - s->level_at > c->rules.window)
        s->is_started = false; /* after an idle window the load of the other boxes is unknown */
    if (s->is_started)
        fill_share(c, s, rate, now);
    else
        start_share(c, s, request, boxes, is_far, draw, now);
    s->level_at = now;
    decision->reason = "this box's share of the cap";
    decision->share_rate = rate;
    decision->level = s->level;
    if (s->level > 0) {
        s->level -= request->units;
        count_own(c, s, request->units, now);
        return true;
    }
    const double wait = rate > 0 ? -s->level / rate * MS_PER_S + 1 : (double)c->rules.window;
    decision->after = (tc_time_t)MIN(wait, (double)c->rules.window);
    return false;
}

/* ===== Admission ===== */

/** Whether a subject far from its cap may be admitted shortly after the last reply of a leader. */
static bool is_in_grace(const cap_shares_t *c, share_t *s, double units, double draw, tc_time_t now)
{
    if (s->grace_since != c->states_at)
        s->grace_units = 0;
    s->grace_since = c->states_at;
    if (c->rules.strict || c->states_at == 0 || now - c->states_at > GRACE_MS)
        return false;
    const double before = recent_rate(c, s, now) * GRACE_MS / MS_PER_S;
    if (s->grace_units == 0)
        return was_active(c, s, units, now) || draw < FIRST_PROBABILITY;
    return s->grace_units + units <= GRACE_GROWTH * before;
}

bool cap_shares_take(cap_shares_t *c, const cap_request_t *request, unsigned boxes, double draw, tc_time_t now,
                     cap_decision_t *decision)
{
    share_t *const s = share_get(c, request->name);
    const cap_state_t *const state = g_hash_table_lookup(c->states, request->name);
    *decision = (cap_decision_t){.state_age = c->states_at > 0 ? now - c->states_at : TC_TIME_NEVER};
    const bool enabled = feature_is_enabled(FEATURE_CAP_LEADER);
    const bool has_leader = enabled && !request->leader_decides && decision->state_age <= FRESH_STATES_MS;
    if (!has_leader && (!enabled || state || !is_in_grace(c, s, request->units, draw, now)))
        return take_share(c, s, request, boxes, draw, now, decision);
    decision->reason =
        state && state->over ? "over the cap by the leader's state" : "below the cap by the leader's state";
    if (state && state->over) {
        decision->after = state->after_ms;
        return false;
    }
    count_own(c, s, request->units, now);
    return true;
}

bool cap_shares_is_over(const cap_shares_t *c, const char *name, tc_time_t now, cap_decision_t *decision)
{
    const cap_state_t *const state = g_hash_table_lookup(c->states, name);
    const bool is_fresh = c->states_at > 0 && now - c->states_at <= FRESH_STATES_MS;
    if (!feature_is_enabled(FEATURE_CAP_LEADER) || !is_fresh || !state || !state->over)
        return false;
    *decision = (cap_decision_t){
        .reason = "over the cap by the leader's state", .state_age = now - c->states_at, .after = state->after_ms};
    return true;
}

void cap_shares_record(cap_shares_t *c, const cap_request_t *request, tc_time_t now)
{
    record(c, share_get(c, request->name), request->units, now);
}

/* ===== Reports and replies ===== */

/** Whether no decision or report needs the share any more. */
static bool is_idle(const cap_shares_t *c, const share_t *s, tc_time_t now)
{
    return s->confirmed == s->total && now - s->used_at > IDLE_WINDOWS * c->rules.window;
}

cap_use_t *cap_shares_report(cap_shares_t *c, uint32_t *n, tc_time_t now)
{
    cap_use_t *const list = calloc(g_hash_table_size(c->by_name) + 1, sizeof(*list));
    if (!list)
        abort();
    *n = 0;
    c->is_window_sent = c->needs_window;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        share_t *const s = value;
        s->sent = s->total;
        const double window = c->needs_window ? cap_window_sum(&s->window, c->rules.window, now) : 0;
        if (s->total == s->confirmed && window <= 0)
            continue;
        cap_use_t *const use = &list[(*n)++];
        *use = (cap_use_t){.total = s->total, .fresh = s->total - s->confirmed, .window = (uint64_t)window};
        codec_copy_string(use->name, sizeof(use->name), s->name);
    }
    return list;
}

bool cap_shares_apply_reply(cap_shares_t *c, uint64_t term, const cap_state_t *list, uint32_t n, tc_time_t now)
{
    const bool is_new = term != c->term;
    c->needs_window = is_new || (c->needs_window && !c->is_window_sent);
    c->term = term;
    c->states_at = now;
    g_hash_table_remove_all(c->states);
    for (uint32_t i = 0; i < n; i++) {
        cap_state_t *const state = g_memdup2(&list[i], sizeof(list[i]));
        g_hash_table_insert(c->states, state->name, state);
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, c->by_name);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        share_t *const s = value;
        s->confirmed = s->sent;
        if (is_idle(c, s, now))
            g_hash_table_iter_remove(&iter);
    }
    return is_new;
}

/* ===== Creation ===== */

cap_shares_t *cap_shares_create(const cap_rules_t *rules)
{
    cap_shares_t *const c = g_new0(cap_shares_t, 1);
    c->rules = *rules;
    c->rules.window = MAX(rules->window, CAP_WINDOW_MIN);
    c->by_name = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, share_free);
    c->states = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    return c;
}

void cap_shares_destroy(cap_shares_t *c)
{
    g_hash_table_destroy(c->by_name);
    g_hash_table_destroy(c->states);
    g_free(c);
}
