#include "forward/paged_read.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include "common/codec.h"

/* ===== Constants ===== */

enum {
    MS_PER_S = 1000,
    MAX_PAGES = 2000,             /* of one read: bounds a list that always names a next page */
    MAX_ENTRIES = CODEC_LIST_MAX, /* of one list: messages to other boxes hold no more */
    MAX_REFUSALS = 6,             /* in a row: then the read fails */
    REFUSAL_BACKOFF_MS = 100,     /* after the first refusal, doubled with each further one in a row */
    MIN_INTERVAL_MS = 1000,       /* between the starts of two reads: each call is priced */
    MAX_INTERVAL_MS = 2000        /* of a single reader: every box must know of a leaving back end within 3 s */
};

/** Share of the platform's rate for the readers of the control boxes together. Below one half, since a new leader may
 *  start to read before the last one has ended. */
static const double READ_SHARE = 0.4;
/** Part of that share that reads may use on average over time. */
static const double STEADY_SHARE = 0.25;

/* ===== Types ===== */

struct paged_read {
    double rate;      /* calls per second of all boxes together */
    unsigned readers; /* boxes that share it */
    bool reading, pending;
    tc_time_t started_at;
    double next_at;       /* ms: no call before then */
    unsigned refusals;    /* in a row */
    unsigned pages;       /* received in this read */
    char *token;          /* of the page to request, or requested */
    GHashTable *tokens;   /* of the pages received in this read, owned */
    GArray *entries;      /* backend_t, of this read */
    GArray *list;         /* backend_t, result of the last complete read */
    GArray *listed;       /* the same without the entries that only the read before it had */
    unsigned calls;       /* that the last complete read took */
    route_table_t *table; /* a reference; NULL: no configuration is known */
};

/* ===== Creation ===== */

paged_read_t *paged_read_create(double rate)
{
    assert(rate > 0); /* intervals divide by it */
    paged_read_t *const r = g_new0(paged_read_t, 1);
    r->rate = rate;
    r->readers = 1;
    r->calls = 1;
    r->token = g_strdup("");
    r->tokens = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    r->entries = g_array_new(FALSE, TRUE, sizeof(backend_t));
    r->list = g_array_new(FALSE, TRUE, sizeof(backend_t));
    r->listed = g_array_new(FALSE, TRUE, sizeof(backend_t));
    return r;
}

void paged_read_destroy(paged_read_t *r)
{
    g_free(r->token);
    g_hash_table_destroy(r->tokens);
    g_array_free(r->entries, TRUE);
    g_array_free(r->list, TRUE);
    g_array_free(r->listed, TRUE);
    route_table_unref(r->table);
    g_free(r);
}

void paged_read_set_table(paged_read_t *r, route_table_t *table)
{
    route_table_unref(r->table);
    r->table = route_table_ref(table);
}

void paged_read_set_readers(paged_read_t *r, unsigned readers)
{
    r->readers = readers > 0 ? readers : 1;
}

/* ===== Rate ===== */

static double rate_share(const paged_read_t *r)
{
    return READ_SHARE * r->rate / r->readers;
}

tc_time_t paged_read_interval(const paged_read_t *r)
{
    const double steady = r->calls * MS_PER_S / (STEADY_SHARE * rate_share(r));
    const tc_time_t most = r->readers > 1 ? TC_TIME_NEVER : MAX_INTERVAL_MS;
    const tc_time_t least = r->calls * MS_PER_S / rate_share(r) > MAX_INTERVAL_MS
                                ? (tc_time_t)(r->calls * MS_PER_S / rate_share(r))
                                : MIN_INTERVAL_MS;
    return MAX(least, MIN((tc_time_t)steady, most));
}

unsigned paged_read_calls(const paged_read_t *r)
{
    return r->calls;
}

tc_time_t paged_read_started_at(const paged_read_t *r)
{
    return r->started_at;
}

/* ===== Reading ===== */

static void set_token(paged_read_t *r, const char *token)
{
    g_free(r->token);
    r->token = g_strdup(token);
}

void paged_read_begin(paged_read_t *r, tc_time_t now)
{
    if (r->reading)
        return;
    r->reading = true;
    r->pending = false;
    r->started_at = now;
    r->pages = 0;
    r->refusals = 0;
    g_array_set_size(r->entries, 0);
    g_hash_table_remove_all(r->tokens);
    set_token(r, "");
}

void paged_read_end(paged_read_t *r)
{
    r->reading = r->pending = false;
    g_array_set_size(r->entries, 0);
}

paged_read_step_t paged_read_next(paged_read_t *r, tc_time_t now, tc_time_t *until)
{
    if (!r->reading)
        return PAGED_READ_IDLE;
    if (r->pending)
        return PAGED_READ_PENDING;
    if ((double)now < r->next_at) {
        *until = (tc_time_t)ceil(r->next_at);
        return PAGED_READ_WAIT;
    }
    r->pending = true;
    r->next_at = MAX(r->next_at + MS_PER_S / rate_share(r), (double)now);
    return PAGED_READ_REQUEST;
}

const char *paged_read_token(const paged_read_t *r)
{
    return r->token;
}

/* ===== Answers ===== */

static paged_read_outcome_t fail_read(paged_read_t *r, tc_err_t *err, int code, const char *why)
{
    tc_err_set(err, code, "read list of back ends", NULL, "%s", why);
    paged_read_end(r);
    return PAGED_READ_FAILED;
}

static bool is_configured(const paged_read_t *r, const backend_t *entry)
{
    return r->table && route_table_service(r->table, entry->service);
}

/** Keeps one entry of each id: one of a service of the configuration and, of a back end that moved to another page
 *  between two calls, the later one. */
static void remove_duplicates(const paged_read_t *r, GArray *list)
{
    GHashTable *const indexes = g_hash_table_new(g_str_hash, g_str_equal); /* id, borrowed from the list -> index */
    backend_t *const entries = (backend_t *)(void *)list->data;
    guint kept = 0;
    for (guint i = 0; i < list->len; i++) {
        gpointer index;
        if (g_hash_table_lookup_extended(indexes, entries[i].id, NULL, &index)) {
            backend_t *const earlier = &entries[GPOINTER_TO_UINT(index)];
            if (is_configured(r, &entries[i]) || !is_configured(r, earlier))
                *earlier = entries[i];
            continue;
        }
        entries[kept] = entries[i];
        g_hash_table_insert(indexes, entries[kept].id, GUINT_TO_POINTER(kept));
        kept++;
    }
    g_hash_table_destroy(indexes);
    g_array_set_size(list, kept);
}

/** Appends the entries of the read before that are missing in this one. */
static void append_missed(GArray *list, const GArray *before)
{
    GHashTable *const known = g_hash_table_new(g_str_hash, g_str_equal);
    GArray *const missed = g_array_new(FALSE, TRUE, sizeof(backend_t));
    for (guint i = 0; i < list->len; i++)
        g_hash_table_add(known, g_array_index(list, backend_t, i).id);
    for (guint i = 0; i < before->len; i++)
        if (!g_hash_table_contains(known, g_array_index(before, backend_t, i).id))
            g_array_append_val(missed, g_array_index(before, backend_t, i));
    g_hash_table_destroy(known);
    if (missed->len > 0)
        g_array_append_vals(list, missed->data, missed->len);
    g_array_free(missed, TRUE);
}

static void finish_read(paged_read_t *r)
{
    GArray *const before = r->listed;
    remove_duplicates(r, r->entries);
    r->calls = r->pages;
    r->listed = r->entries;
    g_array_set_size(r->list, 0);
    if (r->listed->len > 0)
        g_array_append_vals(r->list, r->listed->data, r->listed->len);
    if (r->pages > 1)
        append_missed(r->list, before);
    r->entries = before;
    paged_read_end(r);
}

paged_read_outcome_t paged_read_page(paged_read_t *r, const GArray *page, const char *next, tc_err_t *err)
{
    assert(r->reading && r->pending); /* an answer needs a pending request */
    r->pending = false;
    r->refusals = 0;
    r->pages++;
    if (page->len > MAX_ENTRIES - r->entries->len)
        return fail_read(r, err, TC_E_INVALID, "more entries than a list may have");
    if (page->len > 0)
        g_array_append_vals(r->entries, page->data, page->len);
    if (!next) {
        finish_read(r);
        return PAGED_READ_COMPLETE;
    }
    if (r->pages >= MAX_PAGES)
        return fail_read(r, err, TC_E_INVALID, "more pages than a list may have");
    g_hash_table_add(r->tokens, g_strdup(r->token));
    if (g_hash_table_contains(r->tokens, next))
        return fail_read(r, err, TC_E_INVALID, "the next page token repeats an earlier one");
    set_token(r, next);
    return PAGED_READ_MORE;
}

paged_read_outcome_t paged_read_refused(paged_read_t *r, tc_time_t now, tc_err_t *err)
{
    assert(r->reading && r->pending);
    r->pending = false;
    if (++r->refusals >= MAX_REFUSALS)
        return fail_read(r, err, TC_E_REFUSED, "too many calls refused in a row by the platform");
    const tc_time_t pause = (tc_time_t)REFUSAL_BACKOFF_MS << (r->refusals - 1);
    r->next_at = MAX(r->next_at, (double)(now + pause));
    return PAGED_READ_MORE;
}

const GArray *paged_read_list(const paged_read_t *r)
{
    return r->list;
}
