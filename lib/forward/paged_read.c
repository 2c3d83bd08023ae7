#include "forward/paged_read.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include "common/codec.h"

/* ===== Constants ===== */

enum {
    MS_PER_S = 1000,
    PAGES_MAX = 2000,             /* of one reading: a platform that names a next page for ever is given up */
    ENTRIES_MAX = CODEC_LIST_MAX, /* of one list: no more can be told to other boxes */
    REFUSALS_MAX = 6,             /* in a row: then the platform takes no calls of this reader */
    REFUSED_PAUSE_MS = 100,       /* after a refusal, doubled with each in a row */
    INTERVAL_MIN_MS = 1000, /* each call is priced, and a leaving back end must be known within 3 s at every box */
    INTERVAL_MAX_MS = 2000  /* of the only reader, for the same reason */
};

/** Of the platform's rate, for the readers of the control boxes together: a new one may begin while the last one is not
 *  over. */
static const double READ_PART = 0.4;
/** Of that part, for one reading after the other, over time. */
static const double STEADY_PART = 0.25;

/* ===== Types ===== */

struct paged_read {
    double rate;      /* calls a second of all boxes together */
    unsigned readers; /* that share it */
    bool reading, asked;
    tc_time_t begun;
    double next_at;     /* ms: not before then */
    unsigned refusals;  /* in a row */
    unsigned pages;     /* of this reading, whole */
    char *token;        /* of the page that is to be asked for, or is */
    GHashTable *tokens; /* of this reading, owned */
    GArray *fresh;      /* backend_t, of this reading */
    GArray *list;       /* of the last whole one */
    GArray *seen;       /* the same without what only the one before had */
    unsigned calls;     /* that the last whole one took */
};

/* ===== Life ===== */

paged_read_t *paged_read_create(double rate)
{
    assert(rate > 0); /* else nothing could ever be read */
    paged_read_t *const r = g_new0(paged_read_t, 1);
    r->rate = rate;
    r->readers = 1;
    r->calls = 1;
    r->token = g_strdup("");
    r->tokens = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    r->fresh = g_array_new(FALSE, TRUE, sizeof(backend_t));
    r->list = g_array_new(FALSE, TRUE, sizeof(backend_t));
    r->seen = g_array_new(FALSE, TRUE, sizeof(backend_t));
    return r;
}

void paged_read_destroy(paged_read_t *r)
{
    g_free(r->token);
    g_hash_table_destroy(r->tokens);
    g_array_free(r->fresh, TRUE);
    g_array_free(r->list, TRUE);
    g_array_free(r->seen, TRUE);
    g_free(r);
}

void paged_read_set_readers(paged_read_t *r, unsigned readers)
{
    r->readers = readers > 0 ? readers : 1;
}

/* ===== Pace ===== */

static double part(const paged_read_t *r)
{
    return READ_PART * r->rate / r->readers;
}

tc_time_t paged_read_interval(const paged_read_t *r)
{
    const double steady = r->calls * MS_PER_S / (STEADY_PART * part(r));
    const tc_time_t most = r->readers > 1 ? TC_TIME_NEVER : INTERVAL_MAX_MS;
    const tc_time_t least =
        r->calls * MS_PER_S / part(r) > INTERVAL_MAX_MS ? (tc_time_t)(r->calls * MS_PER_S / part(r)) : INTERVAL_MIN_MS;
    return MAX(least, MIN((tc_time_t)steady, most));
}

unsigned paged_read_calls(const paged_read_t *r)
{
    return r->calls;
}

tc_time_t paged_read_started_at(const paged_read_t *r)
{
    return r->begun;
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
    r->asked = false;
    r->begun = now;
    r->pages = 0;
    r->refusals = 0;
    g_array_set_size(r->fresh, 0);
    g_hash_table_remove_all(r->tokens);
    set_token(r, "");
}

void paged_read_end(paged_read_t *r)
{
    r->reading = r->asked = false;
    g_array_set_size(r->fresh, 0);
}

paged_read_step_t paged_read_next(paged_read_t *r, tc_time_t now, tc_time_t *until)
{
    if (!r->reading)
        return PAGED_READ_IDLE;
    if (r->asked)
        return PAGED_READ_PENDING;
    if ((double)now < r->next_at) {
        *until = (tc_time_t)ceil(r->next_at);
        return PAGED_READ_WAIT;
    }
    r->asked = true;
    r->next_at = MAX(r->next_at + MS_PER_S / part(r), (double)now);
    return PAGED_READ_REQUEST;
}

const char *paged_read_token(const paged_read_t *r)
{
    return r->token;
}

/* ===== Answers ===== */

static paged_read_outcome_t fail(paged_read_t *r, tc_err_t *err, int code, const char *why)
{
    tc_err_set(err, code, "read list of back ends", NULL, "%s", why);
    paged_read_end(r);
    return PAGED_READ_FAILED;
}

/** A back end that moved from page to page between two calls is told once, as the later one told of it. */
static void drop_repeated(GArray *list)
{
    GHashTable *const places = g_hash_table_new(g_str_hash, g_str_equal); /* id, in the list -> place */
    backend_t *const told = (backend_t *)(void *)list->data;
    guint kept = 0;
    for (guint i = 0; i < list->len; i++) {
        gpointer place;
        if (g_hash_table_lookup_extended(places, told[i].id, NULL, &place)) {
            told[GPOINTER_TO_UINT(place)] = told[i];
            continue;
        }
        told[kept] = told[i];
        g_hash_table_insert(places, told[kept].id, GUINT_TO_POINTER(kept));
        kept++;
    }
    g_hash_table_destroy(places);
    g_array_set_size(list, kept);
}

/** Add what the reading before had and this one has not. */
static void keep_missed(GArray *list, const GArray *before)
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

static void end_whole(paged_read_t *r)
{
    GArray *const before = r->seen;
    drop_repeated(r->fresh);
    r->calls = r->pages;
    r->seen = r->fresh;
    g_array_set_size(r->list, 0);
    if (r->seen->len > 0)
        g_array_append_vals(r->list, r->seen->data, r->seen->len);
    if (r->pages > 1)
        keep_missed(r->list, before);
    r->fresh = before;
    paged_read_end(r);
}

paged_read_outcome_t paged_read_page(paged_read_t *r, const GArray *page, const char *next, tc_err_t *err)
{
    assert(r->reading && r->asked); /* it answers the page that was asked for */
    r->asked = false;
    r->refusals = 0;
    r->pages++;
    if (page->len > ENTRIES_MAX - r->fresh->len)
        return fail(r, err, TC_E_INVALID, "more entries than a list can have");
    if (page->len > 0)
        g_array_append_vals(r->fresh, page->data, page->len);
    if (!next) {
        end_whole(r);
        return PAGED_READ_COMPLETE;
    }
    if (r->pages >= PAGES_MAX)
        return fail(r, err, TC_E_INVALID, "more pages than a list can have");
    g_hash_table_add(r->tokens, g_strdup(r->token));
    if (g_hash_table_contains(r->tokens, next))
        return fail(r, err, TC_E_INVALID, "a page names one before it as the next");
    set_token(r, next);
    return PAGED_READ_MORE;
}

paged_read_outcome_t paged_read_refused(paged_read_t *r, tc_time_t now, tc_err_t *err)
{
    assert(r->reading && r->asked);
    r->asked = false;
    if (++r->refusals >= REFUSALS_MAX)
        return fail(r, err, TC_E_REFUSED, "the platform takes no more calls");
    const tc_time_t pause = (tc_time_t)REFUSED_PAUSE_MS << (r->refusals - 1);
    r->next_at = MAX(r->next_at, (double)(now + pause));
    return PAGED_READ_MORE;
}

const GArray *paged_read_list(const paged_read_t *r)
{
    return r->list;
}
