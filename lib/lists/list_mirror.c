#include "lists/list_mirror.h"

#include <assert.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/counter.h"
#include "common/log.h"

COUNTER_DEFINE(c_deltas, "counter", "trackcove_list_deltas_total", "Changes of lists that this box took over")
COUNTER_DEFINE(c_wholes, "counter", "trackcove_list_wholes_total", "Whole lists that this box took over")
COUNTER_DEFINE(c_pieces, "counter", "trackcove_list_pieces_total", "Pieces of lists that arrived")
COUNTER_DEFINE(c_missed, "counter", "trackcove_list_missed_total", "Pieces of lists asked for in vain")
COUNTER_DEFINE(c_damaged, "counter", "trackcove_list_damaged_total",
               "Lists, or changes of them, that were not what they were said to be")

/* ===== Constants ===== */

enum {
    AGAIN_MS = 50,    /* after a piece that did not come: the next box is asked */
    TELLER_EVERY = 4, /* one in so many questions in vain goes to whoever told of the list */
    TURNS_MAX = 24,   /* questions in vain for one list: by then it has changed, and news tell of another */
    PACKED_MAX = 16 * 1024 * 1024
};

/* ===== Types ===== */

/** A whole list on its way. */
typedef struct {
    uint64_t hash; /* 0: none */
    uint64_t size; /* of it packed */
    tc_time_t as_of;
    char told_by[CODEC_STR_SIZE];
    GByteArray *bytes; /* that have arrived */
    unsigned turn;     /* through the boxes that may have it */
} fetch_t;

struct list_mirror {
    list_feed_t *feed;
    char self[CODEC_STR_SIZE];
    tc_time_t as_of;
    fetch_t fetch;
    bool waiting;       /* for the answer to a question, */
    uint64_t asked;     /* which was for that list */
    tc_time_t again_at; /* not before then */
};

/* ===== Life ===== */

list_mirror_t *list_mirror_create(list_feed_t *feed, const char *self)
{
    list_mirror_t *const m = g_new0(list_mirror_t, 1);
    m->feed = feed;
    codec_copy_string(m->self, sizeof(m->self), self);
    m->fetch.bytes = g_byte_array_new();
    return m;
}

void list_mirror_destroy(list_mirror_t *m)
{
    g_byte_array_free(m->fetch.bytes, TRUE);
    g_free(m);
}

tc_time_t list_mirror_time(const list_mirror_t *m)
{
    return m->as_of;
}

bool list_mirror_is_fetching(const list_mirror_t *m)
{
    return m->fetch.hash != 0;
}

/* ===== What is held ===== */

static void end_fetch(list_mirror_t *m)
{
    m->fetch.hash = 0;
    g_byte_array_set_size(m->fetch.bytes, 0);
}

/** The list is what has @p hash, as of then. */
static void note_state(list_mirror_t *m, tc_time_t as_of)
{
    m->as_of = as_of;
    if (m->fetch.hash != 0 && m->fetch.as_of <= as_of)
        end_fetch(m);
}

bool list_mirror_set(list_mirror_t *m, const void *list, uint32_t n, tc_time_t as_of)
{
    if (as_of <= m->as_of)
        return false;
    note_state(m, as_of);
    return list_feed_set(m->feed, list, n);
}

static void note_damage(const list_mirror_t *m, const char *from, const char *why)
{
    counter_add(&c_damaged, 1);
    log_line_t line;
    log_begin(&line, LOG_WARN, "list_damaged");
    log_str(&line, "list", list_name_names[list_feed_kind(m->feed)->name]);
    log_str(&line, "from", from);
    log_str(&line, "why", why);
    log_end(&line);
}

/** Take over what a packed delta leads to, when that is what has @p hash. @param whole it begins with nothing */
static bool apply(list_mirror_t *m, const char *packed, size_t size, bool whole, uint64_t hash, const char *from)
{
    const list_kind_t *const kind = list_feed_kind(m->feed);
    list_delta_t delta;
    tc_err_t err = {0};
    if (list_unpack(kind, packed, size, &delta, &err) < 0) {
        note_damage(m, from, err.detail);
        return false;
    }
    uint32_t n = 0, applied_n;
    const void *const list = list_feed_list(m->feed, &n);
    void *const applied = list_apply(list, whole ? 0 : n, &delta, kind->record, &applied_n);
    codec_free(kind->delta, &delta);
    if (list_hash(applied, applied_n * kind->record) != hash) {
        note_damage(m, from, "it is another list");
        free(applied);
        return false;
    }
    counter_add(whole ? &c_wholes : &c_deltas, 1);
    list_feed_replace(m->feed, applied, applied_n, hash);
    return true;
}

/* ===== News ===== */

/** The whole list is to be fetched. One that is on its way is fetched to its end first: where lists change faster than
 *  they arrive, each box still moves on, by what leads on from it. */
static void want_whole(list_mirror_t *m, const list_news_t *news, const char *from, tc_time_t as_of)
{
    fetch_t *const f = &m->fetch;
    if (f->hash == news->hash) {
        f->as_of = as_of;
        codec_copy_string(f->told_by, sizeof(f->told_by), from); /* the newest to have it is there most likely */
        return;
    }
    if (f->hash != 0 || news->whole > PACKED_MAX)
        return;
    f->hash = news->hash;
    f->size = news->whole;
    f->as_of = as_of;
    f->turn = 0;
    m->again_at = 0;
    codec_copy_string(f->told_by, sizeof(f->told_by), from);
}

bool list_mirror_receive(list_mirror_t *m, const list_news_t *news, const char *from, tc_time_t as_of)
{
    const uint64_t held = list_feed_hash(m->feed);
    if (news->hash == 0 || as_of < m->as_of)
        return false;
    if (news->hash == held) {
        note_state(m, as_of);
        return false;
    }
    if (news->body_n == 0) {
        if (news->whole > 0)
            want_whole(m, news, from, as_of);
        return false;
    }
    if (news->base != 0 && news->base != held)
        return false; /* told to an older question: the next report says what is here */
    if (!apply(m, news->body, news->body_n, news->base == 0, news->hash, from))
        return false;
    note_state(m, as_of);
    return true;
}

/* ===== Fetching ===== */

/** The box to ask, by turns: those that serve lists, from one by this box's hash on, and now and then whoever told of
 * the list. A new list is there first, but all boxes hear of it from there. */
static const char *choose_source(const list_mirror_t *m, const list_sources_t *sources)
{
    const fetch_t *const f = &m->fetch;
    const uint32_t first = XXH32(m->self, strlen(m->self), 0);
    if (f->turn % TELLER_EVERY == TELLER_EVERY - 1)
        return f->told_by;
    for (uint32_t i = 0; i < sources->n; i++) {
        const char *const addr = sources->list[(first % sources->n + f->turn + i) % sources->n].peer;
        if (strcmp(addr, m->self) != 0 && strcmp(addr, sources->but) != 0)
            return addr;
    }
    return f->told_by;
}

bool list_mirror_next_request(list_mirror_t *m, const list_sources_t *sources, tc_time_t now, list_request_t *ask)
{
    const fetch_t *const f = &m->fetch;
    if (f->hash == 0 || m->waiting || now < m->again_at)
        return false;
    *ask =
        (list_request_t){.message = {.list = list_feed_kind(m->feed)->name, .hash = f->hash, .offset = f->bytes->len}};
    codec_copy_string(ask->addr, sizeof(ask->addr), choose_source(m, sources));
    m->waiting = true;
    m->asked = f->hash;
    return true;
}

/** This box had no piece: the next one is asked. */
static void try_elsewhere(list_mirror_t *m, tc_time_t now)
{
    counter_add(&c_missed, 1);
    m->again_at = now + AGAIN_MS;
    if (++m->fetch.turn >= TURNS_MAX)
        end_fetch(m);
}

static bool end_whole(list_mirror_t *m)
{
    const fetch_t *const f = &m->fetch;
    const tc_time_t as_of = f->as_of;
    const bool sound = apply(m, (const char *)f->bytes->data, f->bytes->len, true, f->hash, f->told_by);
    end_fetch(m);
    if (sound)
        note_state(m, as_of);
    return sound;
}

bool list_mirror_add_piece(list_mirror_t *m, const msg_list_piece_t *piece, tc_time_t now)
{
    fetch_t *const f = &m->fetch;
    assert(m->waiting); /* it answers a question */
    m->waiting = false;
    if (f->hash == 0 || m->asked != f->hash)
        return false; /* the list has come otherwise meanwhile */
    const bool fits = piece && piece->hash == f->hash && piece->offset == f->bytes->len && piece->whole == f->size &&
                      piece->data_n > 0 && piece->data_n <= f->size - f->bytes->len;
    if (!fits) {
        try_elsewhere(m, now);
        return false;
    }
    counter_add(&c_pieces, 1);
    g_byte_array_append(f->bytes, (const guint8 *)piece->data, piece->data_n);
    return f->bytes->len == f->size && end_whole(m);
}
