#include "lists/list_feed.h"

#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* ===== Constants ===== */

enum {
    STATES_MOST = 32, /* that differences lead from: boxes report every 300 ms, and lists change a few times
                         a second while boxes are stopped one after the other */
    TOUCHED_MIN = 64, /* a state that differs by more than this, */
    TOUCHED_PART = 4, /* and by more than one record in so many, is forgotten: the whole is hardly longer */
    WHOLES_KEPT = 3,  /* packed whole lists: a box that fetches one that has changed since goes on with it */
    WHOLE_TOLD_BYTES = LIST_PIECE_BYTES / 2 /* a whole list up to this is told at once, a longer one is to be fetched */
};

/* ===== Types ===== */

/** An older state. */
typedef struct {
    uint64_t hash;   /* 0: none */
    GArray *touched; /* record_name_t in order: whose records may differ in the present state */
    char *body;      /* what leads from it to that, packed; NULL until it is asked for */
    size_t size;
} state_t;

/** A whole list, packed. */
typedef struct {
    uint64_t hash; /* 0: none */
    char *body;
    size_t size;
} whole_t;

struct list_feed {
    const list_kind_t *kind;
    char *list;
    uint32_t n;
    uint64_t hash;
    state_t states[STATES_MOST]; /* the last one first, */
    unsigned states_kept;        /* so many of them */
    whole_t wholes[WHOLES_KEPT]; /* the same */
};

/* ===== Life ===== */

list_feed_t *list_feed_create(const list_kind_t *kind)
{
    list_feed_t *const f = g_new0(list_feed_t, 1);
    f->kind = kind;
    f->list = list_copy(NULL, 0);
    f->states_kept = STATES_MOST;
    return f;
}

void list_feed_keep_states(list_feed_t *f, unsigned states)
{
    assert(states > 0 && states <= STATES_MOST && f->hash == 0); /* chosen once, before there is any */
    f->states_kept = states;
}

static void forget_state(state_t *state)
{
    if (state->touched)
        g_array_free(state->touched, TRUE);
    free(state->body);
    *state = (state_t){0};
}

void list_feed_destroy(list_feed_t *f)
{
    for (unsigned i = 0; i < f->states_kept; i++)
        forget_state(&f->states[i]);
    for (int i = 0; i < WHOLES_KEPT; i++)
        free(f->wholes[i].body);
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

/** Both in order. @return those of either */
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

static bool is_worth_keeping(const list_feed_t *f, const GArray *touched)
{
    return touched->len <= TOUCHED_MIN || touched->len <= f->n / TOUCHED_PART;
}

/** The list has changed by these records. @param step taken over */
static void age_states(list_feed_t *f, GArray *step)
{
    forget_state(&f->states[f->states_kept - 1]);
    memmove(&f->states[1], &f->states[0], (f->states_kept - 1) * sizeof(f->states[0]));
    for (unsigned i = 1; i < f->states_kept; i++) {
        state_t *const state = &f->states[i];
        if (state->hash == 0)
            continue;
        GArray *const touched = merge(state->touched, step);
        const uint64_t hash = state->hash;
        forget_state(state);
        *state = (state_t){.hash = hash, .touched = touched};
        if (!is_worth_keeping(f, touched))
            forget_state(state);
    }
    f->states[0] = (state_t){.hash = f->hash, .touched = step};
    if (f->hash == 0 || !is_worth_keeping(f, step))
        forget_state(&f->states[0]);
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

/* ===== What is told ===== */

/** Pack what leads from an older state to the present one: all records that may differ, as they are. */
static void pack_state(const list_feed_t *f, state_t *state)
{
    const size_t record = f->kind->record;
    GByteArray *const changed = g_byte_array_new();
    GArray *const gone = g_array_new(FALSE, TRUE, sizeof(record_name_t));
    for (guint i = 0; i < state->touched->len; i++) {
        const record_name_t *const name = &g_array_index(state->touched, record_name_t, i);
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

/** The present list, packed. */
static const whole_t *pack_whole(list_feed_t *f)
{
    whole_t *const first = &f->wholes[0];
    if (first->hash == f->hash)
        return first;
    free(f->wholes[WHOLES_KEPT - 1].body);
    memmove(&f->wholes[1], &f->wholes[0], (WHOLES_KEPT - 1) * sizeof(f->wholes[0]));
    const list_delta_t delta = {.changed = f->list, .changed_n = f->n};
    *first = (whole_t){.hash = f->hash};
    first->body = list_pack(f->kind, &delta, &first->size);
    return first;
}

static list_news_t news_of(const list_feed_t *f, uint64_t base, char *body, size_t size)
{
    return (list_news_t){.hash = f->hash, .base = base, .body = body, .body_n = (uint32_t)size};
}

list_news_t list_feed_update_since(list_feed_t *f, uint64_t known)
{
    if (f->hash == 0)
        return (list_news_t){0};
    if (known == f->hash)
        return news_of(f, known, NULL, 0);
    for (unsigned i = 0; known != 0 && i < f->states_kept; i++) {
        state_t *const state = &f->states[i];
        if (state->hash != known)
            continue;
        if (!state->body)
            pack_state(f, state);
        return news_of(f, known, state->body, state->size);
    }
    const whole_t *const whole = pack_whole(f);
    if (whole->size <= WHOLE_TOLD_BYTES)
        return news_of(f, 0, whole->body, whole->size);
    return (list_news_t){.hash = f->hash, .whole = whole->size};
}

const char *list_feed_packed(list_feed_t *f, size_t *size)
{
    const whole_t *const whole = pack_whole(f);
    *size = whole->size;
    return whole->body;
}

static const whole_t *find_whole(list_feed_t *f, uint64_t hash)
{
    if (hash != 0 && hash == f->hash)
        return pack_whole(f);
    for (int i = 0; hash != 0 && i < WHOLES_KEPT; i++)
        if (f->wholes[i].hash == hash)
            return &f->wholes[i];
    return NULL;
}

msg_list_piece_t list_feed_piece(list_feed_t *f, uint64_t hash, uint64_t offset)
{
    const whole_t *const whole = find_whole(f, hash);
    msg_list_piece_t piece = {.hash = hash, .offset = offset, .whole = whole ? whole->size : 0};
    if (!whole || offset >= whole->size)
        return piece;
    piece.data = whole->body + offset;
    piece.data_n = (uint32_t)MIN(whole->size - offset, LIST_PIECE_BYTES);
    return piece;
}
