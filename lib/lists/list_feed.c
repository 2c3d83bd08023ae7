#include "lists/list_feed.h"

#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* ===== Constants ===== */

enum {
    STATES_MAX = 32, /* for deltas: boxes report every 300 ms, and lists change a few times a second while
                        boxes are stopped one after another */
    /* A state is dropped when it differs from the current one by more than CHANGES_MIN records and by more than one
     * record in CHANGES_PART: the full list is hardly longer then. */
    CHANGES_MIN = 64,
    CHANGES_PART = 4,
    FULL_LISTS_KEPT = 3, /* packed full lists: a box that is fetching an older one can finish it */
    INLINE_FULL_BYTES_MAX = LIST_PIECE_BYTES / 2 /* a longer full list has to be fetched in pieces */
};

/* ===== Types ===== */

/** An older state. */
typedef struct {
    uint64_t hash;   /* 0: none */
    GArray *changed; /* record_name_t, sorted: records that may differ in the current state */
    char *body;      /* packed delta to the current state; NULL until it is needed */
    size_t size;
} state_t;

/** A packed full list. */
typedef struct {
    uint64_t hash; /* 0: none */
    char *body;
    size_t size;
} full_list_t;

struct list_feed {
    const list_kind_t *kind;
    char *list;
    uint32_t n;
    uint64_t hash;
    state_t states[STATES_MAX];              /* newest first */
    unsigned states_kept;                    /* number of states in use */
    full_list_t full_lists[FULL_LISTS_KEPT]; /* newest first */
};

/* ===== Lifecycle ===== */

list_feed_t *list_feed_create(const list_kind_t *kind)
{
    list_feed_t *const f = g_new0(list_feed_t, 1);
    f->kind = kind;
    f->list = list_copy(NULL, 0);
    f->states_kept = STATES_MAX;
    return f;
}

void list_feed_keep_states(list_feed_t *f, unsigned states)
{
    assert(states > 0 && states <= STATES_MAX && f->hash == 0); /* called before the first state */
    f->states_kept = states;
}

static void drop_state(state_t *state)
{
    if (state->changed)
        g_array_free(state->changed, TRUE);
    free(state->body);
    *state = (state_t){0};
}

void list_feed_destroy(list_feed_t *f)
{
    for (unsigned i = 0; i < f->states_kept; i++)
        drop_state(&f->states[i]);
    for (int i = 0; i < FULL_LISTS_KEPT; i++)
        free(f->full_lists[i].body);
    free(f->list);
    g_free(f);
}

const list_kind_t *list_feed_kind(const list_feed_t *f)
{
    return f->kind;
}

/* ===== States ===== */

static void add_name(GArray *names, const char *name)
{
    record_name_t fresh;
    memset(&fresh, 0, sizeof(fresh));
    codec_copy_string(fresh.name, sizeof(fresh.name), name);
    g_array_append_val(names, fresh);
}

/** Names of the records by which two lists differ. @return record_name_t, in order */
static GArray *compare(const list_feed_t *f, const char *next, uint32_t next_n)
{
    const size_t record = f->kind->record;
    GArray *const names = g_array_new(FALSE, TRUE, sizeof(record_name_t));
    uint32_t i = 0, k = 0;
    while (i < f->n || k < next_n) {
        const char *const before = f->list + i * record, *const after = next + k * record;
        const int order = i == f->n ? 1 : (k == next_n ? -1 : strcmp(before, after));
        if (order != 0 || memcmp(before, after, record) != 0)
            add_name(names, order <= 0 ? before : after);
        i += order <= 0;
        k += order >= 0;
    }
    return names;
}

/** Union of two sorted lists of names. */
static GArray *merge(const GArray *a, const GArray *b)
{
    GArray *const names = g_array_new(FALSE, TRUE, sizeof(record_name_t));
    guint i = 0, k = 0;
    while (i < a->len || k < b->len) {
        const record_name_t *const one = i < a->len ? &g_array_index(a, record_name_t, i) : NULL;
        const record_name_t *const two = k < b->len ? &g_array_index(b, record_name_t, k) : NULL;
        const int order = !one ? 1 : (!two ? -1 : strcmp(one->name, two->name));
        g_array_append_vals(names, order <= 0 ? one : two, 1);
        i += order <= 0;
        k += order >= 0;
    }
    return names;
}

static bool is_worth_keeping(const list_feed_t *f, const GArray *changed)
{
    return changed->len <= CHANGES_MIN || changed->len <= f->n / CHANGES_PART;
}

/** Record that the list has changed by these records. @param step now owned by the feed */
static void age_states(list_feed_t *f, GArray *step)
{
    drop_state(&f->states[f->states_kept - 1]);
    memmove(&f->states[1], &f->states[0], (f->states_kept - 1) * sizeof(f->states[0]));
    for (unsigned i = 1; i < f->states_kept; i++) {
        state_t *const state = &f->states[i];
        if (state->hash == 0)
            continue;
        GArray *const changed = merge(state->changed, step);
        const uint64_t hash = state->hash;
        drop_state(state);
        *state = (state_t){.hash = hash, .changed = changed};
        if (!is_worth_keeping(f, changed))
            drop_state(state);
    }
    f->states[0] = (state_t){.hash = f->hash, .changed = step};
    if (f->hash == 0 || !is_worth_keeping(f, step))
        drop_state(&f->states[0]);
}

void list_feed_replace(list_feed_t *f, void *list, uint32_t n, uint64_t hash)
{
    if (hash == f->hash) {
        free(list);
        return;
    }
    age_states(f, compare(f, list, n));
    free(f->list);
    f->list = list;
    f->n = n;
    f->hash = hash;
}

bool list_feed_set(list_feed_t *f, const void *list, uint32_t n)
{
    const size_t record = f->kind->record;
    char *const copy = list_copy(list, n * record);
    list_sort(copy, n, record);
    const uint64_t before = f->hash;
    list_feed_replace(f, copy, n, list_hash(copy, n * record));
    return f->hash != before;
}

const void *list_feed_list(const list_feed_t *f, uint32_t *n)
{
    *n = f->n;
    return f->list;
}

const void *list_feed_find(const list_feed_t *f, const char *name)
{
    return list_find(f->list, f->n, f->kind->record, name);
}

uint64_t list_feed_hash(const list_feed_t *f)
{
    return f->hash;
}

/* ===== Updates ===== */

/** Pack the delta from an older state to the current one: the current value of each record that may differ. */
static void pack_state(const list_feed_t *f, state_t *state)
{
    const size_t record = f->kind->record;
    GByteArray *const changed = g_byte_array_new();
    GArray *const gone = g_array_new(FALSE, TRUE, sizeof(record_name_t));
    for (guint i = 0; i < state->changed->len; i++) {
        const record_name_t *const name = &g_array_index(state->changed, record_name_t, i);
        const void *const now = list_feed_find(f, name->name);
        if (now)
            g_byte_array_append(changed, now, (guint)record);
        else
            g_array_append_vals(gone, name, 1);
    }
    const list_delta_t delta = {.changed = changed->data,
                                .changed_n = (uint32_t)(changed->len / record),
                                .gone = (record_name_t *)(void *)gone->data,
                                .gone_n = gone->len};
    state->body = list_pack(f->kind, &delta, &state->size);
    g_byte_array_free(changed, TRUE);
    g_array_free(gone, TRUE);
}

/** The current list, packed. */
static const full_list_t *pack_full(list_feed_t *f)
{
    full_list_t *const first = &f->full_lists[0];
    if (first->hash == f->hash)
        return first;
    free(f->full_lists[FULL_LISTS_KEPT - 1].body);
    memmove(&f->full_lists[1], &f->full_lists[0], (FULL_LISTS_KEPT - 1) * sizeof(f->full_lists[0]));
    const list_delta_t delta = {.changed = f->list, .changed_n = f->n};
    *first = (full_list_t){.hash = f->hash};
    first->body = list_pack(f->kind, &delta, &first->size);
    return first;
}

static list_news_t make_update(const list_feed_t *f, uint64_t base, char *body, size_t size)
{
    return (list_news_t){.hash = f->hash, .base = base, .body = body, .body_n = (uint32_t)size};
}

list_news_t list_feed_update_since(list_feed_t *f, uint64_t known)
{
    if (f->hash == 0)
        return (list_news_t){0};
    if (known == f->hash)
        return make_update(f, known, NULL, 0);
    for (unsigned i = 0; known != 0 && i < f->states_kept; i++) {
        state_t *const state = &f->states[i];
        if (state->hash != known)
            continue;
        if (!state->body)
            pack_state(f, state);
        return make_update(f, known, state->body, state->size);
    }
    const full_list_t *const full = pack_full(f);
    if (full->size <= INLINE_FULL_BYTES_MAX)
        return make_update(f, 0, full->body, full->size);
    return (list_news_t){.hash = f->hash, .whole = full->size};
}

const char *list_feed_packed(list_feed_t *f, size_t *size)
{
    const full_list_t *const full = pack_full(f);
    *size = full->size;
    return full->body;
}

static const full_list_t *find_full(list_feed_t *f, uint64_t hash)
{
    if (hash != 0 && hash == f->hash)
        return pack_full(f);
    for (int i = 0; hash != 0 && i < FULL_LISTS_KEPT; i++)
        if (f->full_lists[i].hash == hash)
            return &f->full_lists[i];
    return NULL;
}

msg_list_piece_t list_feed_piece(list_feed_t *f, uint64_t hash, uint64_t offset)
{
    const full_list_t *const full = find_full(f, hash);
    msg_list_piece_t piece = {.hash = hash, .offset = offset, .whole = full ? full->size : 0};
    if (!full || offset >= full->size)
        return piece;
    piece.data = full->body + offset;
    piece.data_n = (uint32_t)MIN(full->size - offset, LIST_PIECE_BYTES);
    return piece;
}
