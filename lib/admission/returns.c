#include "admission/returns.h"

#include <glib.h>
#include <urcu/list.h>

/* ===== Constants ===== */

enum {
    AHEAD = RETURNS_HORIZON_MS / RETURNS_SLOT_MS + 1, /* slots from the present one on */
    BEHIND = RETURNS_LATE_MS / RETURNS_SLOT_MS + 1,   /* past slots whose promises have not lapsed */
    RING = AHEAD + BEHIND,
    MEMORY_MS = 3 * RETURNS_HORIZON_MS /* a caller's whole patience after the time that it was told */
};

/** Smallest room that counts: covers the rounding of sums of bookings. */
static const double ROUNDING = 1e-6;
/** Fractional part of the golden ratio: multiples of it are spread evenly over a range, however many there are. */
static const double GOLDEN = 0.6180339887498949;

/* ===== Types ===== */

/** A refused request: 56 bytes, and up to 32 in the hash table. */
typedef struct {
    uint64_t fingerprint;      /* first: the key of the hash table */
    struct cds_list_head node; /* in entries, by the time of the last refusal */
    tc_time_t first_arrived;
    tc_time_t told;    /* when to return */
    int32_t target_ms; /* from first_arrived */
    float units;       /* booked in the slot of told, while that slot is kept */
    uint16_t refusals;
    bool promised;
} entry_t;

/** A time slot of the schedule. */
typedef struct {
    double booked;  /* units */
    double largest; /* booking that was made in it */
} slot_t;

struct returns {
    GHashTable *table;            /* set of entry_t, by fingerprint */
    struct cds_list_head entries; /* least recently refused first */
    double rate;                  /* units per ms */
    slot_t slots[RING];           /* by slot number modulo RING */
    int64_t base;                 /* number of the oldest slot that is kept */
    uint64_t unknown;             /* refusals without a fingerprint */
    returns_stats_t stats;
};

/* ===== Schedule ===== */

static int64_t slot_of(tc_time_t time)
{
    return time / RETURNS_SLOT_MS;
}

static slot_t *slot_at(returns_t *r, int64_t slot)
{
    return &r->slots[slot % RING];
}

/** Drops slots whose promises have lapsed, and thereby gives their room back. */
static void advance(returns_t *r, tc_time_t now)
{
    const int64_t base = MAX(slot_of(now) - BEHIND + 1, 0);
    if (base - r->base > RING)
        r->base = base - RING;
    for (; r->base < base; r->base++)
        *slot_at(r, r->base) = (slot_t){0};
}

static void book(returns_t *r, entry_t *e, double units)
{
    e->units = (float)units;
    e->promised = true;
    slot_t *const slot = slot_at(r, slot_of(e->told));
    slot->booked += (double)e->units;
    slot->largest = MAX(slot->largest, (double)e->units);
}

/** Gives back the room booked for an entry, unless its slot is over. The entry is then without a promise. */
static void release(returns_t *r, entry_t *e)
{
    slot_t *const slot = slot_at(r, slot_of(e->told));
    if (e->promised && slot_of(e->told) >= r->base)
        slot->booked = MAX(slot->booked - (double)e->units, 0);
    e->promised = false;
}

/** Most room that carries over from one slot to the next: a request may need more than one slot's room, and without a
 *  limit all callers after a pause would be told the same time. */
static double most_carried(const returns_t *r, double units)
{
    double largest = units;
    for (int i = 0; i < RING; i++)
        largest = MAX(largest, r->slots[i].largest);
    return largest;
}

/** Finds the first slot from @p first to @p last in which @p units more can be promised. @return -1 without one */
static int64_t find_slot(returns_t *r, double units, int64_t first, int64_t last, tc_time_t now)
{
    const double room = r->rate * RETURNS_SLOT_MS, carried = most_carried(r, units);
    const int64_t present = slot_of(now), end = present + AHEAD;
    double needed[AHEAD] = {0}; /* at the end of each slot: what later slots need beyond their own room */
    for (int i = AHEAD - 2; i >= 0; i--)
        needed[i] = MAX(needed[i + 1] + slot_at(r, present + i + 1)->booked - room, 0);
    double free = 0;
    for (int64_t s = r->base; s <= present; s++)
        free -= slot_at(r, s)->booked; /* callers that are due: they have not come yet, or wait */
    for (int64_t s = present + 1; s < end && s <= last; s++) {
        free = MIN(free, carried) + room - slot_at(r, s)->booked;
        if (s >= first && free - units >= needed[s - present] - ROUNDING)
            return s;
    }
    return -1;
}

/* ===== Entries ===== */

static entry_t *find(const returns_t *r, uint64_t fingerprint)
{
    return fingerprint ? g_hash_table_lookup(r->table, &fingerprint) : NULL;
}

static void forget(returns_t *r, entry_t *e)
{
    release(r, e);
    cds_list_del(&e->node);
    g_hash_table_remove(r->table, e);
    g_free(e);
}

static bool is_expired(const entry_t *e, tc_time_t now)
{
    return now - e->told > MEMORY_MS;
}

static return_kind_t kind_of(const entry_t *e, tc_time_t arrived)
{
    if (arrived < e->told - RETURNS_EARLY_MS)
        return RETURN_EARLY;
    return e->promised && arrived <= e->told + RETURNS_LATE_MS ? RETURN_PROMISED : RETURN_UNPROMISED;
}

static entry_t *remember(returns_t *r, const returns_request_t *request)
{
    if (g_hash_table_size(r->table) >= RETURNS_MAX)
        forget(r, cds_list_first_entry(&r->entries, entry_t, node));
    entry_t *const e = g_new0(entry_t, 1);
    e->fingerprint = request->fingerprint;
    e->first_arrived = request->arrived;
    e->target_ms = (int32_t)CLAMP(request->target - request->arrived, 0, G_MAXINT32);
    CDS_INIT_LIST_HEAD(&e->node);
    g_hash_table_add(r->table, e);
    return e;
}

/** Counts the return of a request. @return how it relates to the earlier refusal */
static return_kind_t count_return(returns_t *r, const entry_t *e, tc_time_t arrived)
{
    const return_kind_t kind = kind_of(e, arrived);
    r->stats.early += kind == RETURN_EARLY;
    r->stats.in_time += kind == RETURN_PROMISED;
    r->stats.lapsed += kind == RETURN_UNPROMISED && e->promised;
    return kind;
}

/* ===== Plans ===== */

/** How long a caller follows Retry-After. */
static tc_time_t followed_ms(const returns_request_t *request)
{
    return CLAMP(request->patience_ms / 3, RETURNS_SLOT_MS, RETURNS_HORIZON_MS);
}

/** Time within a slot, so that the callers of one slot do not come in the same instant. */
static tc_time_t offset_in_slot(uint64_t fingerprint)
{
    return (tc_time_t)((fingerprint * 0x9e3779b97f4a7c15u >> 32) % RETURNS_SLOT_MS);
}

static returns_plan_t last_plan(const returns_request_t *request, tc_time_t now)
{
    const tc_time_t end = followed_ms(request);
    return (returns_plan_t){.after_ms = MAX(end - offset_in_slot(request->fingerprint), end / 2)};
}

/** First slot with room for the request. @return -1 without one */
static int64_t first_slot(returns_t *r, const returns_request_t *request, double units, tc_time_t now)
{
    const int64_t first = slot_of(now + RETURNS_MIN_MS + RETURNS_SLOT_MS - 1);
    return find_slot(r, units, first, slot_of(now + followed_ms(request)) - 1, now);
}

/** For a request that cannot be recognised. Nothing is booked, since each repetition would book again; so the times
 *  are spread evenly from the first slot with room to the end of what the caller follows. */
static returns_plan_t plan_unknown(returns_t *r, const returns_request_t *request, double units, tc_time_t now)
{
    const int64_t slot = first_slot(r, request, units, now);
    if (slot < 0)
        return last_plan(request, now);
    const double turn = (double)r->unknown++ * GOLDEN;
    const tc_time_t from = slot * RETURNS_SLOT_MS - now, to = followed_ms(request);
    return (returns_plan_t){.after_ms = from + (tc_time_t)((turn - (double)(uint64_t)turn) * (double)(to - from))};
}

static returns_plan_t plan_anew(returns_t *r, entry_t *e, const returns_request_t *request, double units, tc_time_t now)
{
    release(r, e);
    const int64_t slot = first_slot(r, request, units, now);
    if (slot < 0) {
        const returns_plan_t plan = last_plan(request, now);
        e->told = now + plan.after_ms;
        return plan;
    }
    e->told = slot * RETURNS_SLOT_MS + offset_in_slot(request->fingerprint);
    book(r, e, units);
    return (returns_plan_t){.after_ms = e->told - now, .promised = true};
}

/** Whether a caller that came early is told the same time again. */
static bool keeps_plan(const entry_t *e, const returns_request_t *request, tc_time_t now)
{
    return e->told > now && e->told - now <= followed_ms(request);
}

/* ===== Public functions ===== */

returns_t *returns_create(void)
{
    returns_t *const r = g_new0(returns_t, 1);
    r->table = g_hash_table_new(g_int64_hash, g_int64_equal);
    CDS_INIT_LIST_HEAD(&r->entries);
    return r;
}

void returns_destroy(returns_t *r)
{
    if (!r)
        return;
    g_hash_table_destroy(r->table);
    entry_t *e, *next;
    cds_list_for_each_entry_safe(e, next, &r->entries, node)
        g_free(e);
    g_free(r);
}

void returns_set_rate(returns_t *r, double rate)
{
    r->rate = rate > 0 ? rate : 0; /* also for what is not a number */
}

returns_plan_t returns_refuse(returns_t *r, const returns_request_t *request, tc_time_t now)
{
    advance(r, now);
    r->stats.refused++;
    const double units = request->units > 0 ? request->units : 1;
    if (!request->fingerprint)
        return plan_unknown(r, request, units, now);
    entry_t *e = find(r, request->fingerprint);
    if (e && is_expired(e, request->arrived)) {
        forget(r, e);
        e = NULL;
    }
    return_kind_t kind = RETURN_NEW;
    if (e) {
        kind = count_return(r, e, request->arrived);
        r->stats.broken += kind == RETURN_PROMISED;
        cds_list_del(&e->node);
    } else {
        e = remember(r, request);
    }
    cds_list_add_tail(&e->node, &r->entries);
    e->refusals += e->refusals < UINT16_MAX;
    if (kind == RETURN_EARLY && keeps_plan(e, request, now))
        return (returns_plan_t){.after_ms = e->told - now, .promised = e->promised};
    const returns_plan_t plan = plan_anew(r, e, request, units, now);
    r->stats.promised += plan.promised;
    return plan;
}

returns_match_t returns_find(const returns_t *r, uint64_t fingerprint, tc_time_t now)
{
    const entry_t *const e = find(r, fingerprint);
    if (!e || is_expired(e, now))
        return (returns_match_t){.kind = RETURN_NEW};
    return (returns_match_t){.kind = kind_of(e, now),
                             .first_arrived = e->first_arrived,
                             .target = e->first_arrived + e->target_ms,
                             .refusals = e->refusals};
}

void returns_served(returns_t *r, uint64_t fingerprint, tc_time_t arrived)
{
    entry_t *const e = find(r, fingerprint);
    if (!e)
        return;
    if (!is_expired(e, arrived))
        r->stats.kept += count_return(r, e, arrived) == RETURN_PROMISED;
    forget(r, e);
}

void returns_tick(returns_t *r, tc_time_t now)
{
    advance(r, now);
    entry_t *e, *next;
    cds_list_for_each_entry_safe(e, next, &r->entries, node) {
        if (!is_expired(e, now))
            break;
        forget(r, e);
    }
}

returns_stats_t returns_stats(const returns_t *r)
{
    returns_stats_t stats = r->stats;
    stats.rate = r->rate;
    stats.remembered = g_hash_table_size(r->table);
    for (int i = 0; i < RING; i++)
        stats.booked += r->slots[i].booked;
    return stats;
}
