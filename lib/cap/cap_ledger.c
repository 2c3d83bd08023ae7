#include "cap/cap_ledger.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/sharers.h"

/* ===== Constants ===== */

enum {
    MS_PER_S = 1000,
    TELL_EVERY_MS = 50,    /* between two looks at all subjects for what boxes are told */
    SWEEP_EVERY_MS = 1000, /* between two looks at what boxes told */
    AFTER_MAX_MS = 10000   /* callers come back for no longer: they wait for a third of the time they have left */
};

/** Of what the rules allow beyond rate and burst, the bucket holds this part. The rest is for what is not seen in time:
 *  what boxes let in by themselves until they are heard, and what a new leader begins with. */
static const double DEPTH_PART = 0.25;
/** Of the same, no window holds more than this part, whatever the bucket would allow. With 0.65 here, and 0.5 in the
 *  bucket, 6 of 10,000 days of test_caps_random went beyond the rules by up to 2 in 100. */
static const double WINDOW_PART = 0.35;
/** Of the same, a new leader begins with this part: two of them within one window, and what a window may hold, are
 * within it. */
static const double BEGIN_PART = 0.15;
/** Of the cap, what the boxes that are missing may let in by themselves, at their part of all boxes. */
static const double MISSING_PART = 0.5;
/** A subject is near its cap when its bucket holds less than this part. */
static const double NEAR_PART = 0.5;

/* ===== Types ===== */

typedef struct {
    cap_cfg_t cfg;
    double level;
    tc_time_t at;         /* of the level */
    cap_window_t used;    /* let in, as far as it is known here */
    tc_time_t returns_at; /* when the caller that was refused last is to come back */
    bool configured;      /* in the list that is being taken */
} bucket_t;

/** What a box has told of one subject. */
typedef struct {
    uint64_t total; /* since the box started */
    tc_time_t heard;
} told_t;

struct cap_ledger {
    cap_rules_t rules;
    GHashTable *buckets; /* bucket_t.cfg.name -> bucket_t */
    GHashTable *told;    /* hash of box, start of it and subject -> told_t */
    GArray *states;      /* cap_state_t, as told to boxes */
    tc_time_t states_at, sweep_at;
    sharers_t sharers;
    double present;   /* part of what fills buckets that is handed out here */
    tc_time_t led_at; /* since this box leads */
};

/* ===== Buckets ===== */

static double depth_of(const cap_ledger_t *l, const cap_cfg_t *cfg)
{
    return cfg->burst + DEPTH_PART * cap_tolerance(&l->rules, cfg->rate, cfg->burst);
}

static double begin_of(const cap_ledger_t *l, const cap_cfg_t *cfg)
{
    return BEGIN_PART * cap_tolerance(&l->rules, cfg->rate, cfg->burst);
}

/** Units that a subject may ask in each window. */
static double window_units(const cap_ledger_t *l, const cap_cfg_t *cfg)
{
    return cap_window_units(&l->rules, cfg->rate, cfg->burst);
}

/** Units a second that a bucket fills by: the burst is there in each window anew. While a window of a predecessor may
 *  still hold one, it is not. */
static double fill_rate(const cap_ledger_t *l, const cap_cfg_t *cfg, tc_time_t now)
{
    const bool is_young = now - l->led_at < l->rules.window;
    const double rate = is_young ? cfg->rate : window_units(l, cfg) * MS_PER_S / (double)l->rules.window;
    return rate * l->present;
}

static void fill(const cap_ledger_t *l, bucket_t *b, tc_time_t now)
{
    const double due = fill_rate(l, &b->cfg, now) * (double)(now - b->at) / MS_PER_S;
    b->level = MIN(b->level + due, depth_of(l, &b->cfg));
    b->at = now;
}

/** What no window may go beyond. */
static double window_limit(const cap_ledger_t *l, const cap_cfg_t *cfg)
{
    return window_units(l, cfg) + WINDOW_PART * cap_tolerance(&l->rules, cfg->rate, cfg->burst);
}

/** Boxes may tell of more than a window's worth at once: a subject is locked out for no longer than it takes to fill
 *  what its bucket holds. */
static void spend(const cap_ledger_t *l, bucket_t *b, double units, tc_time_t now)
{
    cap_window_add(&b->used, l->rules.window, units, now);
    b->level = MAX(b->level - units, -depth_of(l, &b->cfg));
}

static bucket_t *find(const cap_ledger_t *l, const char *name)
{
    return g_hash_table_lookup(l->buckets, name);
}

bool cap_ledger_take(cap_ledger_t *l, const char *name, double units, tc_time_t now, tc_time_t *after)
{
    bucket_t *const b = find(l, name);
    *after = 0;
    if (!b)
        return true;
    fill(l, b, now);
    const double needs = MIN(units, depth_of(l, &b->cfg)); /* one that is larger than a bucket takes a full one */
    if (b->level >= needs && cap_window_sum(&b->used, l->rules.window, now) + units <= window_limit(l, &b->cfg)) {
        spend(l, b, units, now);
        return true;
    }
    const double rate = fill_rate(l, &b->cfg, now);
    const double missing_ms = MAX(needs - b->level, 0) / rate * MS_PER_S;
    b->returns_at = MAX(b->returns_at + (tc_time_t)(units / rate * MS_PER_S), now + (tc_time_t)missing_ms);
    b->returns_at = MIN(b->returns_at, now + AFTER_MAX_MS);
    *after = MAX(b->returns_at - now, 1);
    return false;
}

void cap_ledger_spend(cap_ledger_t *l, const char *name, double units, tc_time_t now)
{
    bucket_t *const b = find(l, name);
    if (!b)
        return;
    fill(l, b, now);
    spend(l, b, units, now);
}

double cap_ledger_available(cap_ledger_t *l, const char *name, tc_time_t now)
{
    bucket_t *const b = find(l, name);
    if (!b)
        return INFINITY;
    fill(l, b, now);
    return MIN(b->level, window_limit(l, &b->cfg) - cap_window_sum(&b->used, l->rules.window, now));
}

void cap_ledger_refund(cap_ledger_t *l, const char *name, double units, tc_time_t now)
{
    bucket_t *const b = find(l, name);
    if (!b)
        return;
    b->level = MIN(b->level + units, depth_of(l, &b->cfg));
    cap_window_add(&b->used, l->rules.window, -units, now);
}

cap_view_t cap_ledger_view(cap_ledger_t *l, const char *name, tc_time_t now)
{
    bucket_t *const b = find(l, name);
    if (!b)
        return (cap_view_t){0};
    fill(l, b, now);
    return (cap_view_t){.level = b->level, .depth = depth_of(l, &b->cfg), .rate = fill_rate(l, &b->cfg, now)};
}

/* ===== Configuration ===== */

static void add_bucket(cap_ledger_t *l, const cap_cfg_t *cfg, tc_time_t now)
{
    bucket_t *const b = g_new0(bucket_t, 1);
    /* It may have been here a moment ago, and have asked all it may: no more than its burst, and as a new leader. */
    *b = (bucket_t){.cfg = *cfg, .level = MIN(begin_of(l, cfg), cfg->burst), .at = now, .configured = true};
    g_hash_table_replace(l->buckets, b->cfg.name, b);
}

/** A lower cap holds from the next request on. */
static void change_bucket(const cap_ledger_t *l, bucket_t *b, const cap_cfg_t *cfg, tc_time_t now)
{
    fill(l, b, now);
    b->cfg = *cfg;
    b->level = MIN(b->level, depth_of(l, cfg));
    b->configured = true;
}

static gboolean is_dropped(gpointer name, gpointer value, gpointer arg)
{
    bucket_t *const b = value;
    const bool dropped = !b->configured;
    (void)name, (void)arg;
    b->configured = false;
    return dropped;
}

void cap_ledger_configure(cap_ledger_t *l, const cap_cfg_t *list, uint32_t n, tc_time_t now)
{
    for (uint32_t i = 0; i < n; i++) {
        bucket_t *const b = find(l, list[i].name);
        if (b)
            change_bucket(l, b, &list[i], now);
        else
            add_bucket(l, &list[i], now);
    }
    g_hash_table_foreach_remove(l->buckets, is_dropped, NULL);
    l->states_at = 0;
}

void cap_ledger_start_term(cap_ledger_t *l, tc_time_t now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, l->buckets);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        bucket_t *const b = value;
        b->level = begin_of(l, &b->cfg);
        b->at = now;
        b->returns_at = 0;
        b->used = (cap_window_t){0};
    }
    l->led_at = now;
    g_hash_table_remove_all(l->told);
    l->sharers = (sharers_t){0};
    l->present = 1;
    l->states_at = 0;
}

static void fill_all(cap_ledger_t *l, tc_time_t now)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, l->buckets);
    while (g_hash_table_iter_next(&iter, NULL, &value))
        fill(l, value, now);
}

void cap_ledger_set_boxes(cap_ledger_t *l, unsigned n, tc_time_t now)
{
    sharers_hear(&l->sharers, n, l->rules.window, now);
    const unsigned known = sharers_count(&l->sharers);
    const double present = 1 - MISSING_PART * (double)(known - MIN(n, known)) / known;
    if (present == l->present)
        return;
    fill_all(l, now); /* until now it was the other part */
    l->present = present;
}

/* ===== What boxes let in ===== */

static uint64_t told_key(const char *box, uint64_t incarnation, const char *name)
{
    const uint64_t seed = XXH3_64bits_withSeed(box, strlen(box), incarnation);
    return XXH3_64bits_withSeed(name, strlen(name), seed);
}

static void hear_one(cap_ledger_t *l, uint64_t key, const cap_use_t *use, tc_time_t now)
{
    bucket_t *const b = find(l, use->name);
    told_t *told = g_hash_table_lookup(l->told, &key);
    /* What a box let in before this leader knew of it was within its part, while nothing filled the bucket: it may take
     * what is there, but leaves no debt behind. */
    const uint64_t news = told ? use->total - MIN(told->total, use->total) : 0;
    const uint64_t before = told ? 0 : use->fresh;
    if (!told) {
        told = g_new0(told_t, 1);
        uint64_t *const copy = g_new(uint64_t, 1);
        *copy = key;
        g_hash_table_insert(l->told, copy, told);
    }
    told->total = MAX(told->total, use->total);
    told->heard = now;
    if (!b)
        return;
    fill(l, b, now);
    spend(l, b, (double)news, now);
    const double level = b->level;
    spend(l, b, (double)before, now);
    b->level = MAX(b->level, MIN(level, 0));
    if (use->window > news + before) /* under an earlier leader */
        cap_window_spread(&b->used, l->rules.window, (double)(use->window - news - before), now);
}

void cap_ledger_apply_report(cap_ledger_t *l, const char *box, uint64_t incarnation, const cap_use_t *list, uint32_t n,
                             tc_time_t now)
{
    for (uint32_t i = 0; i < n; i++)
        hear_one(l, told_key(box, incarnation, list[i].name), &list[i], now);
}

static gboolean is_old(gpointer key, gpointer value, gpointer arg)
{
    const tc_time_t *const before = arg;
    (void)key;
    return ((const told_t *)value)->heard < *before;
}

void cap_ledger_tick(cap_ledger_t *l, tc_time_t now)
{
    if (now < l->sweep_at)
        return;
    l->sweep_at = now + SWEEP_EVERY_MS;
    tc_time_t before = now - 2 * l->rules.window; /* what a box tells after that is new since it is fresh */
    g_hash_table_foreach_remove(l->told, is_old, &before);
}

/* ===== What boxes are told ===== */

const cap_state_t *cap_ledger_get_states(cap_ledger_t *l, uint32_t *n, tc_time_t now)
{
    if (l->states_at == 0 || now - l->states_at >= TELL_EVERY_MS) {
        l->states_at = now;
        g_array_set_size(l->states, 0);
        GHashTableIter iter;
        gpointer value;
        g_hash_table_iter_init(&iter, l->buckets);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            bucket_t *const b = value;
            fill(l, b, now);
            if (b->level >= NEAR_PART * depth_of(l, &b->cfg))
                continue;
            cap_state_t state = {.over = b->level < 0};
            codec_copy_string(state.name, sizeof(state.name), b->cfg.name);
            state.after_ms = state.over ? (uint32_t)MIN(-b->level / b->cfg.rate * MS_PER_S + 1, AFTER_MAX_MS) : 0;
            g_array_append_val(l->states, state);
        }
    }
    *n = l->states->len;
    return (const cap_state_t *)(const void *)l->states->data;
}

/* ===== Life ===== */

cap_ledger_t *cap_ledger_create(const cap_rules_t *rules)
{
    cap_ledger_t *const l = g_new0(cap_ledger_t, 1);
    l->rules = *rules;
    l->rules.window = MAX(rules->window, CAP_WINDOW_MIN);
    l->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    l->told = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    l->states = g_array_new(FALSE, TRUE, sizeof(cap_state_t));
    l->present = 1;
    return l;
}

void cap_ledger_destroy(cap_ledger_t *l)
{
    g_hash_table_destroy(l->buckets);
    g_hash_table_destroy(l->told);
    g_array_free(l->states, TRUE);
    g_free(l);
}
