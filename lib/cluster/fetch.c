#include "cluster/fetch.h"

#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/codec.h"
#include "common/counter.h"
#include "common/log.h"

COUNTER_DEFINE(c_pieces, "counter", "trackcove_fetch_pieces_total", "Pieces of documents that arrived")
COUNTER_DEFINE(c_missed, "counter", "trackcove_fetch_missed_total", "Pieces of documents asked for in vain")

/* ===== Constants ===== */

enum {
    PIECE_LIMIT_MS = 1000, /* for one piece: forty times what it takes on the narrowest link, which may be busy */
    AGAIN_MS = 50,         /* after a piece that did not come: the next box is asked */
    UNSPREAD_BYTES = 2 * DOCUMENT_PIECE_BYTES
};

/* ===== Types ===== */

struct fetch {
    peer_net_t *net;
    const char *self;
    fetch_events_t events;
    document_download_t arrival;
    document_head_t next;           /* newer than what arrives; version 0 for none */
    char told_by[CODEC_STR_SIZE];   /* who has what arrives */
    char next_told[CODEC_STR_SIZE]; /* who has the next */
    char source[CODEC_STR_SIZE];    /* asked now */
    uint32_t turn;                  /* of sources, for this document */
    bool waiting;
    bool stopped;
    tc_time_t again_at; /* 0: not waiting for a time */
};

/* ===== Whom to ask ===== */

/** On even turns a control box by this box's hash, on odd ones whoever told of the document. What fits into a few
 * pieces is not spread: others hear of it a moment later. */
static void choose_source(fetch_t *f)
{
    const raft_member_t *list = NULL;
    const uint32_t n = f->events.sources(f->events.arg, &list);
    const char *source = f->told_by;
    if (f->turn == 0 && f->arrival.head.packed <= UNSPREAD_BYTES)
        f->turn = 1;
    if (n > 0 && f->turn % 2 == 0)
        source = list[(XXH32(f->self, strlen(f->self), 0) + f->turn / 2) % n].peer;
    if (strcmp(source, f->self) == 0)
        source = f->told_by;
    f->turn++;
    codec_copy_string(f->source, sizeof(f->source), source);
}

/* ===== Pieces ===== */

static void on_piece(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err);

static void ask(fetch_t *f)
{
    const msg_fetch_piece_t message = {
        .version = f->arrival.head.version, .body_hash = f->arrival.head.body_hash, .offset = f->arrival.have};
    f->waiting = true;
    f->again_at = 0;
    peer_call(f->net, f->source, MSG_FETCH_PIECE, &message, PIECE_LIMIT_MS, on_piece, f);
}

/** @param at_once the box that was asked is there, but lacks the document */
static void try_elsewhere(fetch_t *f, bool at_once)
{
    char before[CODEC_STR_SIZE];
    codec_copy_string(before, sizeof(before), f->source);
    counter_add(&c_missed, 1);
    choose_source(f);
    if (at_once && f->turn == 2 && strcmp(before, f->source) != 0)
        ask(f);
    else
        f->again_at = tc_time_now() + AGAIN_MS;
}

/** @param spread whether any control box may be asked first */
static void begin(fetch_t *f, const document_head_t *head, const char *from, bool spread)
{
    if (!document_download_begin(&f->arrival, head))
        return;
    if (f->next.version <= head->version)
        f->next = (document_head_t){0}; /* overtaken on the way: it would be fetched behind this one, and be older */
    codec_copy_string(f->told_by, sizeof(f->told_by), from);
    f->turn = spread ? 0 : 1;
    choose_source(f);
    if (!f->waiting)
        ask(f); /* else the answer that is under way goes on with this document */
}

/** What has arrived is not what it should be: all of it anew. */
static void begin_again(fetch_t *f)
{
    const document_head_t head = f->arrival.head;
    log_line_t line;
    log_begin(&line, LOG_WARN, "config_damaged");
    log_int(&line, "version", (int64_t)head.version);
    log_str(&line, "from", f->source);
    log_end(&line);
    (void)document_download_begin(&f->arrival, &head);
    try_elsewhere(f, false);
}

/** What has arrived is whole: hand it over, and go on with what was heard of meanwhile. */
static void end(fetch_t *f)
{
    document_t document = {0};
    document_download_take(&f->arrival, &document);
    f->events.on_complete(f->events.arg, &document, f->source);
    codec_free(&document_desc, &document);
    const document_head_t next = f->next;
    f->next = (document_head_t){0};
    if (next.version > 0)
        begin(f, &next, f->next_told, true);
}

static void on_piece(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    fetch_t *const f = arg;
    (void)err; /* counted; the next box is asked */
    f->waiting = false;
    if (f->stopped || !f->arrival.body)
        return;
    const document_piece_t *const piece =
        rc == TC_OK && type == MSG_PIECE ? &((const msg_piece_t *)message)->piece : NULL;
    if (piece && document_download_add(&f->arrival, piece)) {
        counter_add(&c_pieces, 1);
        if (!document_download_is_complete(&f->arrival))
            ask(f);
        else if (document_download_is_valid(&f->arrival))
            end(f);
        else
            begin_again(f);
        return;
    }
    const document_head_t *const theirs = piece ? &piece->head : NULL;
    if (theirs && theirs->version > f->arrival.head.version)
        begin(f, theirs, f->source, true); /* this one may be nowhere any more */
    else if (theirs && theirs->version == f->arrival.head.version && theirs->body_hash != f->arrival.head.body_hash)
        begin(f, theirs, f->source, false); /* the same text, packed in another way: all of it from there */
    else
        try_elsewhere(f, piece != NULL);
}

/* ===== Public functions ===== */

void fetch_announce(fetch_t *f, const document_head_t *head, const char *from, uint64_t held)
{
    if (head->version <= held || head->packed == 0)
        return;
    if (!f->arrival.body) {
        begin(f, head, from, true);
    } else if (head->version == f->arrival.head.version) {
        codec_copy_string(f->told_by, sizeof(f->told_by), from); /* the newest to have it is there most likely */
    } else if (head->version > f->arrival.head.version && head->version > f->next.version) {
        f->next = *head;
        codec_copy_string(f->next_told, sizeof(f->next_told), from);
    }
}

bool fetch_is_busy(const fetch_t *f)
{
    return f->arrival.body != NULL;
}

void fetch_tick(fetch_t *f, tc_time_t now)
{
    if (f->again_at > 0 && now >= f->again_at && !f->waiting)
        ask(f);
}

fetch_t *fetch_create(peer_net_t *net, const char *self, const fetch_events_t *events)
{
    fetch_t *const f = calloc(1, sizeof(*f));
    if (!f)
        abort();
    f->net = net;
    f->self = self;
    f->events = *events;
    return f;
}

void fetch_stop(fetch_t *f)
{
    f->stopped = true;
}

void fetch_destroy(fetch_t *f)
{
    document_download_clear(&f->arrival);
    free(f);
}
