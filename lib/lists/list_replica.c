#include "lists/list_replica.h"

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
    RETRY_MS = 50,       /* after a piece has failed to arrive, before the next box is tried */
    ANNOUNCER_EVERY = 4, /* one in so many tries goes to the box that announced the list */
    TRIES_MAX = 24,      /* failed requests for one list: by then the list has changed, and another one is announced */
    PACKED_BYTES_MAX = 16 * 1024 * 1024
};

/* ===== Types ===== */

/** A full list that is being fetched. */
typedef struct {
    uint64_t hash; /* 0: none */
    uint64_t size; /* packed, in bytes */
    tc_time_t as_of;
    char announcer[CODEC_STR_SIZE];
    GByteArray *bytes; /* received so far */
    unsigned turn;     /* position in the sources; counts failed requests */
} list_fetch_t;

struct list_replica {
    list_publisher_t *publisher;
    char self[CODEC_STR_SIZE];
    tc_time_t as_of;
    list_fetch_t fetch;
    bool waiting;       /* a request is in flight */
    uint64_t asked;     /* hash of the list that it is for */
    tc_time_t retry_at; /* no request before then */
};

/* ===== Lifecycle ===== */

list_replica_t *list_replica_create(list_publisher_t *publisher, const char *self)
{
    list_replica_t *const m = g_new0(list_replica_t, 1);
    m->publisher = publisher;
    codec_copy_string(m->self, sizeof(m->self), self);
    m->fetch.bytes = g_byte_array_new();
    return m;
}

void list_replica_destroy(list_replica_t *m)
{
    g_byte_array_free(m->fetch.bytes, TRUE);
    g_free(m);
}

tc_time_t list_replica_time(const list_replica_t *m)
{
    return m->as_of;
}

bool list_replica_is_fetching(const list_replica_t *m)
{
    return m->fetch.hash != 0;
}

/* ===== Current copy ===== */

static void end_fetch(list_replica_t *m)
{
    m->fetch.hash = 0;
    g_byte_array_set_size(m->fetch.bytes, 0);
}

/** The copy is up to date as of @p as_of. Ends the fetch of an older list. */
static void set_state_time(list_replica_t *m, tc_time_t as_of)
{
    m->as_of = as_of;
    if (m->fetch.hash != 0 && m->fetch.as_of <= as_of)
        end_fetch(m);
}

bool list_replica_set(list_replica_t *m, const void *list, uint32_t n, tc_time_t as_of)
{
    if (as_of <= m->as_of)
        return false;
    set_state_time(m, as_of);
    return list_publisher_set(m->publisher, list, n);
}

static void report_damage(const list_replica_t *m, const char *from, const char *why)
{
    counter_add(&c_damaged, 1);
    log_line_t line;
    log_begin(&line, LOG_WARN, "list_damaged");
    log_str(&line, "list", list_name_names[list_publisher_kind(m->publisher)->name]);
    log_str(&line, "from", from);
    log_str(&line, "why", why);
    log_end(&line);
}

/** Apply a packed delta, if the result has @p hash. @param is_full the delta starts from an empty list */
static bool apply(list_replica_t *m, const char *packed, size_t size, bool is_full, uint64_t hash, const char *from)
{
    const list_kind_t *const kind = list_publisher_kind(m->publisher);
    list_delta_t delta;
    tc_err_t err = {0};
    if (list_unpack(kind, packed, size, &delta, &err) < 0) {
        report_damage(m, from, err.detail);
        return false;
    }
    uint32_t n = 0, applied_n;
    const void *const list = list_publisher_list(m->publisher, &n);
    void *const applied = list_apply(list, is_full ? 0 : n, &delta, kind->record, &applied_n);
    codec_free(kind->delta, &delta);
    if (list_hash(applied, applied_n * kind->record) != hash) {
        report_damage(m, from, "list does not match its announced hash");
        free(applied);
        return false;
    }
    counter_add(is_full ? &c_wholes : &c_deltas, 1);
    list_publisher_replace(m->publisher, applied, applied_n, hash);
    return true;
}

/* ===== Updates ===== */

/** Start to fetch the full list. A fetch in progress is finished first: a box still makes progress when lists change
 *  faster than they arrive, by the deltas from that list. */
static void start_fetch(list_replica_t *m, const list_news_t *update, const char *from, tc_time_t as_of)
{
    list_fetch_t *const f = &m->fetch;
    if (f->hash == update->hash) {
        f->as_of = as_of;
        codec_copy_string(f->announcer, sizeof(f->announcer),
                          from); /* the latest box to announce it is the most likely to be up */
        return;
    }
    if (f->hash != 0 || update->whole > PACKED_BYTES_MAX)
        return;
    f->hash = update->hash;
    f->size = update->whole;
    f->as_of = as_of;
    f->turn = 0;
    m->retry_at = 0;
    codec_copy_string(f->announcer, sizeof(f->announcer), from);
}

bool list_replica_receive(list_replica_t *m, const list_news_t *update, const char *from, tc_time_t as_of)
{
    const uint64_t held = list_publisher_hash(m->publisher);
    if (update->hash == 0 || as_of < m->as_of)
        return false;
    if (update->hash == held) {
        set_state_time(m, as_of);
        return false;
    }
    if (update->body_n == 0) {
        if (update->whole > 0)
            start_fetch(m, update, from, as_of);
        return false;
    }
    if (update->base != 0 && update->base != held)
        return false; /* answer to an older query: the next report states the current hash */
    if (!apply(m, update->body, update->body_n, update->base == 0, update->hash, from))
        return false;
    set_state_time(m, as_of);
    return true;
}

/* ===== Fetching ===== */

/** Choose the box to ask, in turn: those that serve lists, starting at the hash of this box, and periodically the
 *  announcer. A new list is at the announcer first, but all boxes learn of it from there, and would all ask it. */
static const char *choose_source(const list_replica_t *m, const list_sources_t *sources)
{
    const list_fetch_t *const f = &m->fetch;
    const uint32_t first = XXH32(m->self, strlen(m->self), 0);
    if (f->turn % ANNOUNCER_EVERY == ANNOUNCER_EVERY - 1)
        return f->announcer;
    for (uint32_t i = 0; i < sources->n; i++) {
        const char *const addr = sources->list[(first % sources->n + f->turn + i) % sources->n].peer;
        if (strcmp(addr, m->self) != 0 && strcmp(addr, sources->except) != 0)
            return addr;
    }
    return f->announcer;
}

bool list_replica_next_request(list_replica_t *m, const list_sources_t *sources, tc_time_t now, list_request_t *ask)
{
    const list_fetch_t *const f = &m->fetch;
    if (f->hash == 0 || m->waiting || now < m->retry_at)
        return false;
    *ask = (list_request_t){
        .message = {.list = list_publisher_kind(m->publisher)->name, .hash = f->hash, .offset = f->bytes->len}};
    codec_copy_string(ask->addr, sizeof(ask->addr), choose_source(m, sources));
    m->waiting = true;
    m->asked = f->hash;
    return true;
}

/** The box had no piece: try the next one. */
static void try_next_source(list_replica_t *m, tc_time_t now)
{
    counter_add(&c_missed, 1);
    m->retry_at = now + RETRY_MS;
    if (++m->fetch.turn >= TRIES_MAX)
        end_fetch(m);
}

static bool finish_fetch(list_replica_t *m)
{
    const list_fetch_t *const f = &m->fetch;
    const tc_time_t as_of = f->as_of;
    const bool sound = apply(m, (const char *)f->bytes->data, f->bytes->len, true, f->hash, f->announcer);
    end_fetch(m);
    if (sound)
        set_state_time(m, as_of);
    return sound;
}

bool list_replica_add_piece(list_replica_t *m, const msg_list_piece_t *piece, tc_time_t now)
{
    list_fetch_t *const f = &m->fetch;
    assert(m->waiting); /* the piece answers a request */
    m->waiting = false;
    if (f->hash == 0 || m->asked != f->hash)
        return false; /* the list has been replaced meanwhile */
    const bool fits = piece && piece->hash == f->hash && piece->offset == f->bytes->len && piece->whole == f->size &&
                      piece->data_n > 0 && piece->data_n <= f->size - f->bytes->len;
    if (!fits) {
        try_next_source(m, now);
        return false;
    }
    counter_add(&c_pieces, 1);
    g_byte_array_append(f->bytes, (const guint8 *)piece->data, piece->data_n);
    return f->bytes->len == f->size && finish_fetch(m);
}
