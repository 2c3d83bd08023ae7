#include "cap/cap_ledger.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/box_count.h"

/* ===== Constants ===== */

enum {
    MS_PER_S = 1000,
    STATES_INTERVAL_MS = 50,   /* between two computations of the states for boxes */
    SWEEP_INTERVAL_MS = 1000,  /* between two sweeps of the totals that boxes reported */
    MAX_RETRY_AFTER_MS = 10000 /* callers retry for no longer: they wait for a third of their remaining time */
};

/** Fraction of the tolerance (what the rules allow beyond rate and burst) that a bucket holds. The rest covers what is
 *  not counted in time: units that boxes admit before their reports arrive, and the initial level of a new leader. */
static const double DEPTH_FRACTION = 0.25;
/** Fraction of the tolerance that a window may hold at most, whatever the bucket would allow. With 0.65 here and 0.5 in
 *  the bucket, 6 of 10,000 runs of test_caps_random exceeded the rules by up to 2 %. */
static const double WINDOW_FRACTION = 0.35;
/** Fraction of the tolerance that a new leader's bucket starts with: two new leaders within one window, together with
 *  WINDOW_FRACTION, stay within the tolerance. */
static const double INITIAL_FRACTION = 0.15;
/** Fraction of their equal shares of the cap that missing boxes may admit themselves. */
static const double MISSING_FRACTION = 0.5;
/** A subject is near its cap when its bucket is filled to less than this fraction. */
static const double NEAR_FRACTION = 0.5;

/* ===== Types ===== */

typedef struct {
    cap_cfg_t cfg;
    double level;
    tc_time_t at;       /* time of the level */
    cap_window_t used;  /* admitted units that are known here */
    tc_time_t retry_at; /* when the caller that was refused last is to retry */
    bool configured;    /* in the list that is being applied */
} bucket_t;

/** What a box has reported of one subject. */
typedef struct {
    uint64_t total; /* units since the box started */
    tc_time_t reported_at;
} usage_t;

struct cap_ledger {
    cap_rules_t rules;
    GHashTable *buckets;  /* bucket_t.cfg.name -> bucket_t */
    GHashTable *reported; /* hash of box, its incarnation and subject -> usage_t */
    GArray *states;       /* cap_state_t, as sent to boxes */
    tc_time_t states_at, sweep_at;
    box_count_t sharers;
    double present;         /* fraction of the fill rate that is available here, 1 if no box is missing */
    tc_time_t leader_since; /* when this box became the leader */
};

/* ===== Buckets ===== */

static double depth_of(const cap_ledger_t *l, const cap_cfg_t *cfg)
{
    return cfg->burst + DEPTH_FRACTION * cap_tolerance(&l->rules, cfg->rate, cfg->burst);
}

static double initial_level(const cap_ledger_t *l, const cap_cfg_t *cfg)
{
    return INITIAL_FRACTION * cap_tolerance(&l->rules, cfg->rate, cfg->burst);
}

/** Units that rate and burst allow a subject in each window. */
static double window_units(const cap_ledger_t *l, const cap_cfg_t *cfg)
{
    return cap_window_units(&l->rules, cfg->rate, cfg->burst);
}

/** Fill rate of a bucket, units per second. It includes one burst per window, except in the first window of a leader,
 *  since its predecessor may have granted that burst. */
static double fill_rate(const cap_ledger_t *l, const cap_cfg_t *cfg, tc_time_t now)
{
    const bool is_new_leader = now - l->leader_since < l->rules.window;
    const double rate = is_new_leader ? cfg->rate : window_units(l, cfg) * MS_PER_S / (double)l->rules.window;
    return rate * l->present;
}

static void fill(const cap_ledger_t *l, bucket_t *b, tc_time_t now)
{
    const double due = fill_rate(l, &b->cfg, now) * (double)(now - b->at) / MS_PER_S;
    b->level = MIN(b->level + due, depth_of(l, &b->cfg));
    b->at = now;
}

/** Most units that a window may hold. */
static double window_limit(const cap_ledger_t *l, const cap_cfg_t *cfg)
{
    return window_units(l, cfg) + WINDOW_FRACTION * cap_tolerance(&l->rules, cfg->rate, cfg->burst);
}

/** Charges units. Boxes may report more than a window's units at once, so the level is bounded: a subject is locked out
 *  for no longer than its bucket takes to fill once. */
static void charge(const cap_ledger_t *l, bucket_t *b, double units, tc_time_t now)
{
    cap_window_add(&b->used, l->rules.window, units, now);
    b->level = MAX(b->level - units, -depth_of(l, &b->cfg));
}

static bucket_t *find_bucket(const cap_ledger_t *l, const char *name)
{
    return g_hash_table_lookup(l->buckets, name);
}

bool cap_ledger_take(cap_ledger_t *l, const char *name, double units, tc_time_t now, tc_time_t *after)
{
    bucket_t *const b = find_bucket(l, name);
    *after = 0;
    if (!b)
        return true;
    fill(l, b, now);
    const double needs = MIN(units, depth_of(l, &b->cfg)); /* a request larger than the bucket needs a full one */
    if (b->level >= needs && cap_window_sum(&b->used, l->rules.window, now) + units <= window_limit(l, &b->cfg)) {
        charge(l, b, units, now);
        return true;
    }
    const double rate = fill_rate(l, &b->cfg, now);
    const double missing_ms = MAX(needs - b->level, 0) / rate * MS_PER_S;
    const double takes_ms = units / rate * MS_PER_S;
    b->retry_at = MAX(b->retry_at + (tc_time_t)MIN(takes_ms, MAX_RETRY_AFTER_MS),
                      now + (tc_time_t)MIN(missing_ms, MAX_RETRY_AFTER_MS));
    b->retry_at = MIN(b->retry_at, now + MAX_RETRY_AFTER_MS);
    *after = MAX(b->retry_at - now, 1);
    return false;
}

void cap_ledger_spend(cap_ledger_t *l, const char *name, double units, tc_time_t now)
{
    bucket_t *const b = find_bucket(l, name);
    if (!b)
        return;
    fill(l, b, now);
    charge(l, b, units, now);
}

double cap_ledger_available(cap_ledger_t *l, const char *name, tc_time_t now)
{
    bucket_t *const b = find_bucket(l, name);
    if (!b)
        return INFINITY;
    fill(l, b, now);
    return MIN(b->level, window_limit(l, &b->cfg) - cap_window_sum(&b->used, l->rules.window, now));
}

void cap_ledger_refund(cap_ledger_t *l, const char *name, double units, tc_time_t charged, tc_time_t now)
{
    bucket_t *const b = find_bucket(l, name);
    if (!b || now - charged > l->rules.window)
        return;
    b->level = MIN(b->level + units, depth_of(l, &b->cfg));
    cap_window_add_at(&b->used, l->rules.window, -units, charged, now);
}

cap_view_t cap_ledger_view(cap_ledger_t *l, const char *name, tc_time_t now)
{
    bucket_t *const b = find_bucket(l, name);
    if (!b)
        return (cap_view_t){0};
    fill(l, b, now);
    return (cap_view_t){.level = b->level, .depth = depth_of(l, &b->cfg), .rate = fill_rate(l, &b->cfg, now)};
}

/* ===== Configuration ===== */

static void add_bucket(cap_ledger_t *l, const cap_cfg_t *cfg, tc_time_t now)
{
    bucket_t *const b = g_new0(bucket_t, 1);
    /* The subject may just have been removed after using up its cap: start as a new leader does, with at most its
     * burst. */
    *b = (bucket_t){.cfg = *cfg, .level = MIN(initial_level(l, cfg), cfg->burst), .at = now, .configured = true};
    g_hash_table_replace(l->buckets, b->cfg.name, b);
}

/** A lower cap applies from the next request on. */
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
        bucket_t *const b = find_bucket(l, list[i].name);
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
        b->level = initial_level(l, &b->cfg);
        b->at = now;
        b->retry_at = 0;
        b->used = (cap_window_t){0};
    }
    l->leader_since = now;
    g_hash_table_remove_all(l->reported);
    l->sharers = (box_count_t){0};
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
    box_count_update(&l->sharers, n, l->rules.window, now);
    const unsigned known = box_count_get(&l->sharers);
    const double present = 1 - MISSING_FRACTION * (double)(known - MIN(n, known)) / known;
    if (present == l->present)
        return;
    fill_all(l, now); /* with the old fraction up to now */
    l->present = present;
}

/* ===== Reports of boxes ===== */

static uint64_t usage_key(const char *box, uint64_t incarnation, const char *name)
{
    const uint64_t seed = XXH3_64bits_withSeed(box, strlen(box), incarnation);
    return XXH3_64bits_withSeed(name, strlen(name), seed);
}

static void apply_use(cap_ledger_t *l, uint64_t key, const cap_use_t *use, tc_time_t now)
{
    bucket_t *const b = find_bucket(l, use->name);
    usage_t *usage = g_hash_table_lookup(l->reported, &key);
    /* What a box admitted before this leader knew of it was within its share, while nothing filled the bucket: it may
     * empty the bucket, but not make its level negative. */
    const uint64_t added = usage ? use->total - MIN(usage->total, use->total) : 0;
    const uint64_t before = usage ? 0 : use->fresh;
    if (!usage) {
        usage = g_new0(usage_t, 1);
        uint64_t *const copy = g_new(uint64_t, 1);
        *copy = key;
        g_hash_table_insert(l->reported, copy, usage);
    }
    usage->total = MAX(usage->total, use->total);
    usage->reported_at = now;
    if (!b)
        return;
    fill(l, b, now);
    charge(l, b, (double)added, now);
    const double level = b->level;
    charge(l, b, (double)before, now);
    b->level = MAX(b->level, MIN(level, 0));
    if (use->window > added + before) /* admitted under an earlier leader */
        cap_window_spread(&b->used, l->rules.window, (double)(use->window - added - before), now);
}

void cap_ledger_apply_report(cap_ledger_t *l, const char *box, uint64_t incarnation, const cap_use_t *list, uint32_t n,
                             tc_time_t now)
{
    for (uint32_t i = 0; i < n; i++)
        apply_use(l, usage_key(box, incarnation, list[i].name), &list[i], now);
}

static gboolean is_expired(gpointer key, gpointer value, gpointer arg)
{
    const tc_time_t *const before = arg;
    (void)key;
    return ((const usage_t *)value)->reported_at < *before;
}

void cap_ledger_tick(cap_ledger_t *l, tc_time_t now)
{
    if (now < l->sweep_at)
        return;
    l->sweep_at = now + SWEEP_INTERVAL_MS;
    tc_time_t before = now - 2 * l->rules.window; /* a later report counts only its unreported units (fresh) */
    g_hash_table_foreach_remove(l->reported, is_expired, &before);
}

/* ===== States for boxes ===== */

const cap_state_t *cap_ledger_get_states(cap_ledger_t *l, uint32_t *n, tc_time_t now)
{
    if (l->states_at == 0 || now - l->states_at >= STATES_INTERVAL_MS) {
        l->states_at = now;
        g_array_set_size(l->states, 0);
        GHashTableIter iter;
        gpointer value;
        g_hash_table_iter_init(&iter, l->buckets);
        while (g_hash_table_iter_next(&iter, NULL, &value)) {
            bucket_t *const b = value;
            fill(l, b, now);
            if (b->level >= NEAR_FRACTION * depth_of(l, &b->cfg))
                continue;
            cap_state_t state = {.over = b->level < 0};
            codec_copy_string(state.name, sizeof(state.name), b->cfg.name);
            state.after_ms = state.over ? (uint32_t)MIN(-b->level / b->cfg.rate * MS_PER_S + 1, MAX_RETRY_AFTER_MS) : 0;
            g_array_append_val(l->states, state);
        }
    }
    *n = l->states->len;
    return (const cap_state_t *)(const void *)l->states->data;
}

/* ===== Creation ===== */

cap_ledger_t *cap_ledger_create(const cap_rules_t *rules)
{
    cap_ledger_t *const l = g_new0(cap_ledger_t, 1);
    l->rules = *rules;
    l->rules.window = MAX(rules->window, CAP_WINDOW_MIN);
    l->buckets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    l->reported = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    l->states = g_array_new(FALSE, TRUE, sizeof(cap_state_t));
    l->present = 1;
    return l;
}

void cap_ledger_destroy(cap_ledger_t *l)
{
    g_hash_table_destroy(l->buckets);
    g_hash_table_destroy(l->reported);
    g_array_free(l->states, TRUE);
    g_free(l);
}
