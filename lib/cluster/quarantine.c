#include "cluster/quarantine.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/list.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/counter.h"
#include "common/log.h"
#include "common/sabotage.h"

COUNTER_DEFINE(c_ends, "counter", "trackcove_quarantine_ends_total", "Ends of back ends held against requests")
COUNTER_DEFINE(c_cleared, "counter", "trackcove_quarantine_cleared_total", "Suspects that ran well")
COUNTER_DEFINE(c_entries, "gauge", "trackcove_quarantine_requests", "Requests of which an end is remembered")
COUNTER_DEFINE(c_held, "counter", "trackcove_quarantine_held_total", "Requests that came to be held")

/* ===== Constants ===== */

enum {
    ENDS_KEPT = 6,      /* of one request: as many again as decide */
    RECENT_MAX = 64,    /* ends of back ends, to see which came together */
    SAME_MS = 1000,     /* two ends of one back end within this time are one: it takes seconds to be there again */
    NEWS_MAX = 64,      /* requests in one report */
    LIST_EVERY_MS = 100 /* between two looks at what settled or lapsed, for the list of suspects */
};

/* ===== Types ===== */

typedef struct {
    uint64_t backend; /* hash of its id */
    tc_time_t at;
} end_t;

/** An end as it counts against a request. */
typedef struct {
    end_t end;
    char *name;  /* of the back end */
    bool judged; /* it has settled: */
    bool counts; /* whether it counts */
} charge_t;

typedef struct {
    struct cds_list_head node; /* what changed last at the end */
    uint64_t request;
    GArray *charges;      /* charge_t, oldest first */
    tc_time_t cleared_at; /* 0: never */
    tc_time_t held_since; /* newest end, 0: not held */
    tc_time_t heard_at;   /* newest of all that is known */
    uint64_t seq;         /* of the newest change */
} entry_t;

struct quarantine {
    GHashTable *by_request; /* &entry_t.request -> entry_t, owned by the list */
    struct cds_list_head entries;
    end_t recent[RECENT_MAX]; /* a ring */
    unsigned recent_at;
    uint64_t version;
    uint64_t seq; /* of the newest change */
    /* From box to leader. */
    uint64_t heard_term; /* of the leader that was told */
    uint64_t heard_seq;  /* up to here */
    uint64_t sent_seq;   /* the report under way goes up to here */
    /* From leader to box. */
    GArray *suspects; /* suspect_request_t: at the leader as told, at a box as heard */
    uint64_t suspects_hash;
    tc_time_t listed_at; /* the leader's was made then */
    bool is_listed;
};

/* ===== Entries ===== */

static charge_t *charge_at(const entry_t *e, guint i)
{
    return &g_array_index(e->charges, charge_t, i);
}

static void charge_clear(gpointer charge)
{
    g_free(((charge_t *)charge)->name);
}

static void entry_free(entry_t *e)
{
    g_array_free(e->charges, TRUE);
    g_free(e);
}

static entry_t *find(const quarantine_t *q, uint64_t request)
{
    return g_hash_table_lookup(q->by_request, &request);
}

static void drop(quarantine_t *q, entry_t *e)
{
    cds_list_del(&e->node);
    g_hash_table_remove(q->by_request, &e->request);
    entry_free(e);
    counter_set(&c_entries, g_hash_table_size(q->by_request));
}

/** The entry has changed: it is the newest, for reports and when room is needed. */
static void note_change(quarantine_t *q, entry_t *e, tc_time_t at)
{
    e->seq = ++q->seq;
    e->heard_at = MAX(e->heard_at, at);
    cds_list_del(&e->node);
    cds_list_add_tail(&e->node, &q->entries);
    q->is_listed = false;
}

/** The one of which nothing was heard for longest; one that is held only when all are. */
static entry_t *least_needed(const quarantine_t *q)
{
    entry_t *e;
    cds_list_for_each_entry(e, &q->entries, node)
        if (e->held_since == 0)
            return e;
    return cds_list_first_entry(&q->entries, entry_t, node);
}

static entry_t *get(quarantine_t *q, uint64_t request)
{
    entry_t *e = find(q, request);
    if (e)
        return e;
    if (g_hash_table_size(q->by_request) >= QUARANTINE_REQUESTS_MAX)
        drop(q, least_needed(q));
    e = g_new0(entry_t, 1);
    e->request = request;
    e->charges = g_array_new(FALSE, FALSE, sizeof(charge_t));
    g_array_set_clear_func(e->charges, charge_clear);
    cds_list_add_tail(&e->node, &q->entries);
    g_hash_table_insert(q->by_request, &e->request, e);
    counter_set(&c_entries, g_hash_table_size(q->by_request));
    return e;
}

/* ===== Judging ===== */

static bool is_together(tc_time_t a, tc_time_t b)
{
    return ABS(a - b) <= QUARANTINE_MOMENT_MS;
}

static bool ended_under(const entry_t *e, uint64_t backend)
{
    for (guint i = 0; i < e->charges->len; i++)
        if (charge_at(e, i)->end.backend == backend)
            return true;
    return false;
}

/** Whether so many back ends ended in that moment that no request is the cause. Those that ended under this one as well
 *  say nothing for it: it may have been sent from one to the next. */
static bool is_one_of_many(const quarantine_t *q, const entry_t *e, const end_t *end)
{
    uint64_t others[QUARANTINE_MANY];
    unsigned n = 0;
    for (unsigned i = 0; i < RECENT_MAX && n + 1 < QUARANTINE_MANY; i++) {
        const end_t *const other = &q->recent[i];
        if (other->at == 0 || !is_together(other->at, end->at) || ended_under(e, other->backend))
            continue;
        bool known = false;
        for (unsigned k = 0; k < n; k++)
            known = known || others[k] == other->backend;
        if (!known)
            others[n++] = other->backend;
    }
    return n + 1 >= QUARANTINE_MANY;
}

static bool charge_counts(const quarantine_t *q, const entry_t *e, charge_t *c, tc_time_t now)
{
    if (c->judged)
        return c->counts;
    c->counts = !is_one_of_many(q, e, &c->end);
    c->judged = now - c->end.at >= QUARANTINE_SETTLE_MS;
    return c->counts;
}

static unsigned count_charges(const quarantine_t *q, const entry_t *e, bool settled, tc_time_t now)
{
    unsigned n = 0;
    for (guint i = 0; i < e->charges->len; i++)
        n += charge_counts(q, e, charge_at(e, i), now) && (!settled || charge_at(e, i)->judged);
    return n;
}

static void log_request(const char *event, const entry_t *e, unsigned ends)
{
    log_line_t line;
    log_begin(&line, LOG_WARN, event);
    log_hash(&line, "fingerprint", e->request);
    log_int(&line, "ends", ends);
    log_str(&line, "backend", e->charges->len > 0 ? charge_at(e, e->charges->len - 1)->name : "");
    log_end(&line);
}

static void hold(quarantine_t *q, entry_t *e, tc_time_t since)
{
    const bool news = e->held_since == 0;
    e->held_since = MAX(e->held_since, since);
    if (!news)
        return;
    q->version++;
    counter_add(&c_held, 1);
    log_request("request_held", e, QUARANTINE_ENDS);
}

/** The time of a request that was held is over: one more end would have it held again. */
static void release(quarantine_t *q, entry_t *e, tc_time_t now)
{
    e->held_since = 0;
    while (count_charges(q, e, false, now) >= QUARANTINE_ENDS)
        g_array_remove_index(e->charges, 0);
    note_change(q, e, 0);
}

/** Hold it, or let it go, by what has settled. */
static void judge(quarantine_t *q, entry_t *e, tc_time_t now)
{
    if (e->held_since > 0) {
        if (now - e->held_since >= QUARANTINE_HOLD_MS)
            release(q, e, now);
        return;
    }
    if (count_charges(q, e, true, now) < QUARANTINE_ENDS)
        return;
    hold(q, e, charge_at(e, e->charges->len - 1)->end.at);
    note_change(q, e, 0);
}

static const suspect_request_t *find_suspect(const quarantine_t *q, uint64_t request)
{
    for (guint i = 0; i < q->suspects->len; i++) {
        const suspect_request_t *const s = &g_array_index(q->suspects, suspect_request_t, i);
        if (s->request == request)
            return s;
    }
    return NULL;
}

unsigned quarantine_ends(quarantine_t *q, uint64_t request, tc_time_t now)
{
    entry_t *const e = find(q, request);
    if (SABOTAGE_IS(SABOTAGE_FORGET_ENDS))
        return 0;
    if (e)
        judge(q, e, now);
    if (e && e->held_since > 0)
        return QUARANTINE_ENDS;
    /* What the leader has heard of is in its list, with what others know: a run elsewhere may have cleared it. */
    const unsigned own = e && e->seq > q->heard_seq ? count_charges(q, e, false, now) : 0;
    const suspect_request_t *const told = find_suspect(q, request);
    const unsigned ends = told && told->ends > own ? told->ends : own;
    return MIN(ends, QUARANTINE_ENDS);
}

tc_time_t quarantine_left(quarantine_t *q, uint64_t request, tc_time_t now)
{
    if (quarantine_ends(q, request, now) < QUARANTINE_ENDS)
        return 0;
    const entry_t *const e = find(q, request);
    if (!e || e->held_since == 0)
        return QUARANTINE_SETTLE_MS; /* it is judged by then */
    return MAX(e->held_since + QUARANTINE_HOLD_MS - now, 1);
}

uint64_t quarantine_version(const quarantine_t *q)
{
    return q->version;
}

/* ===== What was found out ===== */

static void remember_recent(quarantine_t *q, const end_t *end)
{
    for (unsigned i = 0; i < RECENT_MAX; i++)
        if (q->recent[i].backend == end->backend && ABS(q->recent[i].at - end->at) < SAME_MS)
            return;
    q->recent[q->recent_at++ % RECENT_MAX] = *end;
}

static bool is_known(const entry_t *e, const end_t *end)
{
    for (guint i = 0; i < e->charges->len; i++) {
        const end_t *const other = &charge_at(e, i)->end;
        if (other->backend == end->backend && ABS(other->at - end->at) < SAME_MS)
            return true;
    }
    return false;
}

static void add_charge(entry_t *e, const end_t *end, const char *name)
{
    const charge_t charge = {.end = *end, .name = g_strdup(name)};
    guint at = e->charges->len;
    while (at > 0 && charge_at(e, at - 1)->end.at > end->at)
        at--;
    g_array_insert_val(e->charges, at, charge);
    if (e->charges->len > ENDS_KEPT)
        g_array_remove_index(e->charges, 0);
}

bool quarantine_add_end(quarantine_t *q, uint64_t request, const char *backend, tc_time_t at, tc_time_t now)
{
    const end_t end = {.backend = XXH3_64bits(backend, strlen(backend)), .at = at};
    if (request == 0 || now - at >= QUARANTINE_KEEP_MS)
        return false;
    remember_recent(q, &end);
    entry_t *const e = get(q, request);
    if (at <= e->cleared_at || is_known(e, &end))
        return false;
    add_charge(e, &end, backend);
    note_change(q, e, at);
    counter_add(&c_ends, 1);
    log_request("request_suspected", e, count_charges(q, e, false, now));
    judge(q, e, now);
    return true;
}

static void forget_suspect(quarantine_t *q, uint64_t request)
{
    const suspect_request_t *const told = find_suspect(q, request);
    if (told && told->ends < QUARANTINE_ENDS)
        g_array_remove_index(q->suspects, (guint)(told - (const suspect_request_t *)(const void *)q->suspects->data));
}

void quarantine_clear(quarantine_t *q, uint64_t request, tc_time_t at)
{
    entry_t *const e = get(q, request);
    if (e->held_since > 0 || at <= e->cleared_at)
        return;
    if (e->charges->len > 0 && charge_at(e, 0)->end.at <= at)
        counter_add(&c_cleared, 1);
    while (e->charges->len > 0 && charge_at(e, 0)->end.at <= at)
        g_array_remove_index(e->charges, 0);
    e->cleared_at = at;
    forget_suspect(q, request);
    note_change(q, e, at);
}

void quarantine_hold(quarantine_t *q, uint64_t request, tc_time_t since, tc_time_t now)
{
    if (request == 0 || now - since >= QUARANTINE_HOLD_MS)
        return;
    entry_t *const e = get(q, request);
    const tc_time_t before = e->held_since;
    hold(q, e, MAX(since, 1)); /* a machine that has just started may be younger than what it is told */
    if (before == 0)
        note_change(q, e, since);
}

/* ===== Time ===== */

void quarantine_tick(quarantine_t *q, tc_time_t now)
{
    entry_t *e, *next;
    cds_list_for_each_entry_safe(e, next, &q->entries, node) {
        judge(q, e, now);
        if (e->held_since == 0 && now - e->heard_at >= QUARANTINE_KEEP_MS)
            drop(q, e);
    }
}

request_age_t *quarantine_held(quarantine_t *q, uint32_t *n, tc_time_t now)
{
    request_age_t *const list = calloc(g_hash_table_size(q->by_request) + 1, sizeof(*list));
    if (!list)
        abort();
    *n = 0;
    const entry_t *e;
    cds_list_for_each_entry(e, &q->entries, node)
        if (e->held_since > 0)
            list[(*n)++] = (request_age_t){.request = e->request, .age_ms = (uint64_t)(now - e->held_since)};
    return list;
}

/* ===== From box to leader ===== */

static void *new_list(size_t n, size_t size)
{
    void *const list = calloc(n, size);
    if (!list)
        abort();
    return list;
}

static void fill_one(const entry_t *e, quarantine_news_t *news, tc_time_t now)
{
    if (e->held_since > 0) {
        news->held[news->held_n++] = (request_age_t){.request = e->request, .age_ms = (uint64_t)(now - e->held_since)};
        return;
    }
    if (e->cleared_at > 0)
        news->cleared[news->cleared_n++] =
            (request_age_t){.request = e->request, .age_ms = (uint64_t)(now - e->cleared_at)};
    for (guint i = 0; i < e->charges->len; i++) {
        const charge_t *const charge = charge_at(e, i);
        backend_end_t *const end = &news->ends[news->ends_n++];
        end->request = e->request;
        end->age_ms = (uint64_t)(now - charge->end.at);
        codec_copy_string(end->backend, sizeof(end->backend), charge->name);
    }
}

void quarantine_fill_news(quarantine_t *q, quarantine_news_t *news, tc_time_t now)
{
    *news = (quarantine_news_t){0};
    q->sent_seq = q->heard_seq;
    if (q->heard_seq == q->seq)
        return;
    news->ends = new_list((size_t)NEWS_MAX * ENDS_KEPT, sizeof(*news->ends));
    news->cleared = new_list(NEWS_MAX, sizeof(*news->cleared));
    news->held = new_list(NEWS_MAX, sizeof(*news->held));
    unsigned n = 0;
    const entry_t *e;
    cds_list_for_each_entry(e, &q->entries, node) {
        if (e->seq <= q->heard_seq)
            continue;
        if (n++ == NEWS_MAX)
            return;
        fill_one(e, news, now);
        q->sent_seq = e->seq;
    }
    q->sent_seq = q->seq;
}

bool quarantine_news_heard(quarantine_t *q, uint64_t term)
{
    const bool same = term == q->heard_term;
    q->heard_seq = same ? q->sent_seq : 0;
    q->heard_term = term;
    return q->heard_seq < q->seq;
}

void quarantine_take_news(quarantine_t *q, const quarantine_news_t *news, tc_time_t now,
                          void (*on_end)(void *arg, const char *backend, tc_time_t at), void *arg)
{
    for (uint32_t i = 0; i < news->cleared_n; i++)
        quarantine_clear(q, news->cleared[i].request, now - (tc_time_t)news->cleared[i].age_ms);
    for (uint32_t i = 0; i < news->held_n; i++)
        quarantine_hold(q, news->held[i].request, now - (tc_time_t)news->held[i].age_ms, now);
    for (uint32_t i = 0; i < news->ends_n; i++) {
        const tc_time_t at = now - (tc_time_t)news->ends[i].age_ms;
        if (quarantine_add_end(q, news->ends[i].request, news->ends[i].backend, at, now) && on_end)
            on_end(arg, news->ends[i].backend, at);
    }
}

/* ===== From leader to box ===== */

/** Those with most ends first, then the newest. */
static gint compare_suspects(gconstpointer a, gconstpointer b)
{
    const suspect_request_t *const one = a, *const two = b;
    if (one->ends != two->ends)
        return one->ends > two->ends ? -1 : 1;
    return one->age_ms < two->age_ms ? -1 : one->age_ms > two->age_ms;
}

/** By what boxes act on: ages change all the time. */
static uint64_t hash_suspects(const GArray *list)
{
    uint64_t hash = 1;
    for (guint i = 0; i < list->len; i++) {
        const suspect_request_t *const s = &g_array_index(list, suspect_request_t, i);
        hash += XXH3_64bits_withSeed(&s->request, sizeof(s->request), s->ends);
    }
    return hash ? hash : 1;
}

static void list_suspects(quarantine_t *q, tc_time_t now)
{
    g_array_set_size(q->suspects, 0);
    entry_t *e;
    cds_list_for_each_entry(e, &q->entries, node) {
        const unsigned ends = e->held_since > 0 ? QUARANTINE_ENDS : count_charges(q, e, false, now);
        const suspect_request_t s = {
            .request = e->request, .ends = MIN(ends, QUARANTINE_ENDS), .age_ms = (uint64_t)(now - e->heard_at)};
        if (ends > 0)
            g_array_append_val(q->suspects, s);
    }
    g_array_sort(q->suspects, compare_suspects);
    if (q->suspects->len > QUARANTINE_SUSPECTS_MAX)
        g_array_set_size(q->suspects, QUARANTINE_SUSPECTS_MAX);
    q->suspects_hash = hash_suspects(q->suspects);
}

const suspect_request_t *quarantine_suspects(quarantine_t *q, uint32_t *n, uint64_t *hash, tc_time_t now)
{
    if (!q->is_listed || now - q->listed_at >= LIST_EVERY_MS) {
        quarantine_tick(q, now);
        list_suspects(q, now);
        q->is_listed = true;
        q->listed_at = now;
    }
    *n = q->suspects->len;
    *hash = q->suspects_hash;
    return (const suspect_request_t *)(const void *)q->suspects->data;
}

void quarantine_take_suspects(quarantine_t *q, const suspect_request_t *list, uint32_t n, uint64_t hash, tc_time_t now)
{
    g_array_set_size(q->suspects, 0);
    g_array_append_vals(q->suspects, list, n);
    q->suspects_hash = hash;
    for (uint32_t i = 0; i < n; i++)
        if (list[i].ends >= QUARANTINE_ENDS)
            quarantine_hold(q, list[i].request, now - (tc_time_t)list[i].age_ms, now);
}

uint64_t quarantine_suspects_hash(const quarantine_t *q)
{
    return q->suspects_hash;
}

/* ===== Life ===== */

quarantine_t *quarantine_create(void)
{
    quarantine_t *const q = g_new0(quarantine_t, 1);
    q->by_request = g_hash_table_new(g_int64_hash, g_int64_equal);
    q->suspects = g_array_new(FALSE, FALSE, sizeof(suspect_request_t));
    CDS_INIT_LIST_HEAD(&q->entries);
    return q;
}

void quarantine_destroy(quarantine_t *q)
{
    entry_t *e, *next;
    cds_list_for_each_entry_safe(e, next, &q->entries, node)
        entry_free(e);
    g_hash_table_destroy(q->by_request);
    g_array_free(q->suspects, TRUE);
    g_free(q);
}
