#include "lists/list_publisher.h"

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

struct list_publisher {
    const list_kind_t *kind;
    char *list;
    uint32_t n;
    uint64_t hash;
    state_t states[STATES_MAX];              /* newest first */
    unsigned states_kept;                    /* number of states in use */
    full_list_t full_lists[FULL_LISTS_KEPT]; /* newest first */
};

/* ===== Lifecycle ===== */

list_publisher_t *list_publisher_create(const list_kind_t *kind)
{
    list_publisher_t *const p = g_new0(list_publisher_t, 1);
    p->kind = kind;
    p->list = list_copy(NULL, 0);
    p->states_kept = STATES_MAX;
    return p;
}

void list_publisher_keep_states(list_publisher_t *p, unsigned states)
{
    assert(states > 0 && states <= STATES_MAX && p->hash == 0); /* called before the first state */
    p->states_kept = states;
}

static void drop_state(state_t *state)
{
    if (state->changed)
        g_array_free(state->changed, TRUE);
    free(state->body);
    *state = (state_t){0};
}

void list_publisher_destroy(list_publisher_t *p)
{
    for (unsigned i = 0; i < p->states_kept; i++)
        drop_state(&p->states[i]);
    for (int i = 0; i < FULL_LISTS_KEPT; i++)
        free(p->full_lists[i].body);
    free(p->list);
    g_free(p);
}

const list_kind_t *list_publisher_kind(const list_publisher_t *p)
{
    return p->kind;
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
static GArray *compare(const list_publisher_t *p, const char *next, uint32_t next_n)
{
    const size_t record = p->kind->record;
    GArray *const names = g_array_new(FALSE, TRUE, sizeof(record_name_t));
    uint32_t i = 0, k = 0;
    while (i < p->n || k < next_n) {
        const char *const before = p->list + i * record, *const after = next + k * record;
        const int order = i == p->n ? 1 : (k == next_n ? -1 : strcmp(before, after));
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

static bool is_worth_keeping(const list_publisher_t *p, const GArray *changed)
{
    return changed->len <= CHANGES_MIN || changed->len <= p->n / CHANGES_PART;
}

/** Record that the list has changed by these records. @param step now owned by the publisher */
static void age_states(list_publisher_t *p, GArray *step)
{
    drop_state(&p->states[p->states_kept - 1]);
    memmove(&p->states[1], &p->states[0], (p->states_kept - 1) * sizeof(p->states[0]));
    for (unsigned i = 1; i < p->states_kept; i++) {
        state_t *const state = &p->states[i];
        if (state->hash == 0)
            continue;
        GArray *const changed = merge(state->changed, step);
        const uint64_t hash = state->hash;
        drop_state(state);
        *state = (state_t){.hash = hash, .changed = changed};
        if (!is_worth_keeping(p, changed))
            drop_state(state);
    }
    p->states[0] = (state_t){.hash = p->hash, .changed = step};
    if (p->hash == 0 || !is_worth_keeping(p, step))
        drop_state(&p->states[0]);
}

void list_publisher_replace(list_publisher_t *p, void *list, uint32_t n, uint64_t hash)
{
    if (hash == p->hash) {
        free(list);
        return;
    }
    age_states(p, compare(p, list, n));
    free(p->list);
    p->list = list;
    p->n = n;
    p->hash = hash;
}

bool list_publisher_set(list_publisher_t *p, const void *list, uint32_t n)
{
    const size_t record = p->kind->record;
    char *const copy = list_copy(list, n * record);
    list_sort(copy, n, record);
    const uint64_t before = p->hash;
    list_publisher_replace(p, copy, n, list_hash(copy, n * record));
    return p->hash != before;
}

const void *list_publisher_list(const list_publisher_t *p, uint32_t *n)
{
    *n = p->n;
    return p->list;
}

const void *list_publisher_find(const list_publisher_t *p, const char *name)
{
    return list_find(p->list, p->n, p->kind->record, name);
}

uint64_t list_publisher_hash(const list_publisher_t *p)
{
    return p->hash;
}

/* ===== Updates ===== */

/** Pack the delta from an older state to the current one: the current value of each record that may differ. */
static void pack_state(const list_publisher_t *p, state_t *state)
{
    const size_t record = p->kind->record;
    GByteArray *const changed = g_byte_array_new();
    GArray *const gone = g_array_new(FALSE, TRUE, sizeof(record_name_t));
    for (guint i = 0; i < state->changed->len; i++) {
        const record_name_t *const name = &g_array_index(state->changed, record_name_t, i);
        const void *const now = list_publisher_find(p, name->name);
        if (now)
            g_byte_array_append(changed, now, (guint)record);
        else
            g_array_append_vals(gone, name, 1);
    }
    const list_delta_t delta = {.changed = changed->data,
                                .changed_n = (uint32_t)(changed->len / record),
                                .gone = (record_name_t *)(void *)gone->data,
                                .gone_n = gone->len};
    state->body = list_pack(p->kind, &delta, &state->size);
    g_byte_array_free(changed, TRUE);
    g_array_free(gone, TRUE);
}

/** The current list, packed. */
static const full_list_t *pack_full(list_publisher_t *p)
{
    full_list_t *const first = &p->full_lists[0];
    if (first->hash == p->hash)
        return first;
    free(p->full_lists[FULL_LISTS_KEPT - 1].body);
    memmove(&p->full_lists[1], &p->full_lists[0], (FULL_LISTS_KEPT - 1) * sizeof(p->full_lists[0]));
    const list_delta_t delta = {.changed = p->list, .changed_n = p->n};
    *first = (full_list_t){.hash = p->hash};
    first->body = list_pack(p->kind, &delta, &first->size);
    return first;
}

static list_news_t make_update(const list_publisher_t *p, uint64_t base, char *body, size_t size)
{
    return (list_news_t){.hash = p->hash, .base = base, .body = body, .body_n = (uint32_t)size};
}

list_news_t list_publisher_update_since(list_publisher_t *p, uint64_t known)
{
    if (p->hash == 0)
        return (list_news_t){0};
    if (known == p->hash)
        return make_update(p, known, NULL, 0);
    for (unsigned i = 0; known != 0 && i < p->states_kept; i++) {
        state_t *const state = &p->states[i];
        if (state->hash != known)
            continue;
        if (!state->body)
            pack_state(p, state);
        return make_update(p, known, state->body, state->size);
    }
    const full_list_t *const full = pack_full(p);
    if (full->size <= INLINE_FULL_BYTES_MAX)
        return make_update(p, 0, full->body, full->size);
    return (list_news_t){.hash = p->hash, .whole = full->size};
}

const char *list_publisher_packed(list_publisher_t *p, size_t *size)
{
    const full_list_t *const full = pack_full(p);
    *size = full->size;
    return full->body;
}

static const full_list_t *find_full(list_publisher_t *p, uint64_t hash)
{
    if (hash != 0 && hash == p->hash)
        return pack_full(p);
    for (int i = 0; hash != 0 && i < FULL_LISTS_KEPT; i++)
        if (p->full_lists[i].hash == hash)
            return &p->full_lists[i];
    return NULL;
}

msg_list_piece_t list_publisher_piece(list_publisher_t *p, uint64_t hash, uint64_t offset)
{
    const full_list_t *const full = find_full(p, hash);
    msg_list_piece_t piece = {.hash = hash, .offset = offset, .whole = full ? full->size : 0};
    if (!full || offset >= full->size)
        return piece;
    piece.data = full->body + offset;
    piece.data_n = (uint32_t)MIN(full->size - offset, LIST_PIECE_BYTES);
    return piece;
}
