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
    PIECE_TIMEOUT_MS = 1000, /* for one piece: forty times what it takes on the slowest link, which may be busy */
    RETRY_MS = 50,           /* after a piece has failed to arrive, before the next box is tried */
    DIRECT_BYTES_MAX = 2 * DOCUMENT_PIECE_BYTES /* larger documents are fetched from control boxes chosen by hash */
};

/* ===== Types ===== */

struct fetch {
    peer_net_t *net;
    const char *self;
    fetch_events_t events;
    document_download_t arrival;
    document_head_t next;                /* newer than the one being fetched; version 0 for none */
    char announcer[CODEC_STR_SIZE];      /* box that announced the document being fetched */
    char next_announcer[CODEC_STR_SIZE]; /* box that announced the next one */
    char source[CODEC_STR_SIZE];         /* box that is asked for pieces */
    uint32_t turn;                       /* position in the sources, for this document */
    bool waiting;
    bool stopped;
    tc_time_t retry_at; /* 0: no retry is scheduled */
};

/* ===== Choice of the source ===== */

/** Choose a control box by this box's hash on even turns, and the announcer on odd ones. A document of a few pieces is
 *  fetched from the announcer first: the other control boxes learn of it a moment later. */
static void choose_source(fetch_t *f)
{
    const raft_member_t *list = NULL;
    const uint32_t n = f->events.sources(f->events.arg, &list);
    const char *source = f->announcer;
    if (f->turn == 0 && f->arrival.head.packed <= DIRECT_BYTES_MAX)
        f->turn = 1;
    if (n > 0 && f->turn % 2 == 0)
        source = list[(XXH32(f->self, strlen(f->self), 0) + f->turn / 2) % n].peer;
    if (strcmp(source, f->self) == 0)
        source = f->announcer;
    f->turn++;
    codec_copy_string(f->source, sizeof(f->source), source);
}

/* ===== Pieces ===== */

static void on_piece(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err);

static void request_piece(fetch_t *f)
{
    const msg_fetch_piece_t message = {
        .version = f->arrival.head.version, .body_hash = f->arrival.head.body_hash, .offset = f->arrival.have};
    f->waiting = true;
    f->retry_at = 0;
    peer_call(f->net, f->source, MSG_FETCH_PIECE, &message, PIECE_TIMEOUT_MS, on_piece, f);
}

/** @param at_once ask the next source without a pause: the box that was asked is up, but lacks the document */
static void try_next_source(fetch_t *f, bool at_once)
{
    char before[CODEC_STR_SIZE];
    codec_copy_string(before, sizeof(before), f->source);
    counter_add(&c_missed, 1);
    choose_source(f);
    if (at_once && f->turn == 2 && strcmp(before, f->source) != 0)
        request_piece(f);
    else
        f->retry_at = tc_time_now() + RETRY_MS;
}

/** @param spread whether a control box other than the announcer may be asked first */
static void start(fetch_t *f, const document_head_t *head, const char *from, bool spread)
{
    if (!document_download_begin(&f->arrival, head))
        return;
    if (f->next.version <= head->version)
        f->next = (document_head_t){0}; /* superseded: fetched after this one, it would be older */
    codec_copy_string(f->announcer, sizeof(f->announcer), from);
    f->turn = spread ? 0 : 1;
    choose_source(f);
    if (!f->waiting)
        request_piece(f); /* else on_piece continues with this document */
}

/** The received document does not match its hash: fetch all of it again. */
static void restart(fetch_t *f)
{
    const document_head_t head = f->arrival.head;
    log_line_t line;
    log_begin(&line, LOG_WARN, "config_damaged");
    log_int(&line, "version", (int64_t)head.version);
    log_str(&line, "from", f->source);
    log_end(&line);
    (void)document_download_begin(&f->arrival, &head);
    try_next_source(f, false);
}

/** The document is complete: hand it over, and continue with the one announced meanwhile. */
static void end(fetch_t *f)
{
    document_t document = {0};
    document_download_take(&f->arrival, &document);
    f->events.on_complete(f->events.arg, &document, f->source);
    codec_free(&document_desc, &document);
    const document_head_t next = f->next;
    f->next = (document_head_t){0};
    if (next.version > 0)
        start(f, &next, f->next_announcer, true);
}

static void on_piece(void *arg, int rc, uint32_t type, const void *message, const tc_err_t *err)
{
    fetch_t *const f = arg;
    (void)err; /* counted; the next box is tried */
    f->waiting = false;
    if (f->stopped || !f->arrival.body)
        return;
    const document_piece_t *const piece =
        rc == TC_OK && type == MSG_PIECE ? &((const msg_piece_t *)message)->piece : NULL;
    if (piece && document_download_add(&f->arrival, piece)) {
        counter_add(&c_pieces, 1);
        if (!document_download_is_complete(&f->arrival))
            request_piece(f);
        else if (document_download_is_valid(&f->arrival))
            end(f);
        else
            restart(f);
        return;
    }
    const document_head_t *const theirs = piece ? &piece->head : NULL;
    if (theirs && theirs->version > f->arrival.head.version)
        start(f, theirs, f->source, true); /* no box may have the older one any more */
    else if (theirs && theirs->version == f->arrival.head.version && theirs->body_hash != f->arrival.head.body_hash)
        start(f, theirs, f->source, false); /* the same text, compressed differently: fetch all of it there */
    else
        try_next_source(f, piece != NULL);
}

/* ===== Public functions ===== */

void fetch_announce(fetch_t *f, const document_head_t *head, const char *from, uint64_t held)
{
    if (head->version <= held || head->packed == 0)
        return;
    if (!f->arrival.body) {
        start(f, head, from, true);
    } else if (head->version == f->arrival.head.version) {
        codec_copy_string(f->announcer, sizeof(f->announcer), from); /* the latest to announce it is most likely up */
    } else if (head->version > f->arrival.head.version && head->version > f->next.version) {
        f->next = *head;
        codec_copy_string(f->next_announcer, sizeof(f->next_announcer), from);
    }
}

bool fetch_is_busy(const fetch_t *f)
{
    return f->arrival.body != NULL;
}

void fetch_tick(fetch_t *f, tc_time_t now)
{
    if (f->retry_at > 0 && now >= f->retry_at && !f->waiting)
        request_piece(f);
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
