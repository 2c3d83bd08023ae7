/** @file document.h
 * The replicated state of a cluster that keeps the operators' configuration as they sent it: one document, of which
 * the highest version wins. A pure state machine.
 *
 * A document's body is its text packed. Boxes tell each other its head alone; the body travels in pieces, one at a time
 * to whoever asks, so that no process holds a copy for each other box and nothing else waits long behind it.
 */
#ifndef TRACKCOVE_CLUSTER_DOCUMENT_H
#define TRACKCOVE_CLUSTER_DOCUMENT_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/err.h"
#include "common/pack.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** Largest body that is accepted, bytes: every box holds the newest one and takes the next beside it, and a box behind
 *  10 Mbit/s has it within a second. Some 60,000 routes with names by lot. */
#define DOCUMENT_BODY_MAX_BYTES (1024 * 1024)
/** Bytes of one piece: 26 ms of a link of 10 Mbit/s, so that an event of a stream waits no longer behind it. */
#define DOCUMENT_PIECE_BYTES (32 * 1024)

/* ===== Types ===== */

/** How an offered document relates to the one held. */
typedef enum {
    DOCUMENT_NEWER,    /**< replaces it */
    DOCUMENT_SAME,     /**< is it */
    DOCUMENT_OLDER,    /**< was overtaken: changes nothing */
    DOCUMENT_CONFLICTS /**< the same version with other content */
} document_relation_t;

/** A document on its way here, in pieces. Zeroed for none; document_download_clear ends it. */
typedef struct {
    document_head_t head;
    char *body;
    uint64_t have; /**< bytes, from the first on */
} document_download_t;

/* ===== Making and reading ===== */

/** Make a document of a text. @param to is replaced; to be freed with codec_free */
void document_make(document_t *to, uint64_t version, const char *text, size_t size);
/** Hand the text to @p sink piece by piece. @return as pack_expand */
int document_read(const document_t *document, pack_sink_t sink, void *arg, tc_err_t *err);
document_head_t document_head(const document_t *document);

/* ===== The newest wins ===== */

/** How an offered document relates to @p held: by version, and by the texts' digests. */
document_relation_t document_compare(const document_t *held, const document_t *offered);

/** Take over @p offered, which is emptied, when it is newer. @return its relation to what was held before */
document_relation_t document_apply(document_t *held, document_t *offered);

/* ===== Pieces ===== */

/** The piece of @p held that is asked for; only its head when it is not of the document asked for. Data is borrowed. */
document_piece_t document_piece(const document_t *held, const msg_fetch_piece_t *asked);
/** A document begins to arrive; what arrived of another one is dropped. @return false when it is larger than any that
 *  is accepted */
bool document_download_begin(document_download_t *arrival, const document_head_t *head);
/** Add a piece. @return false when it is not the next one of this document */
bool document_download_add(document_download_t *arrival, const document_piece_t *piece);
bool document_download_is_complete(const document_download_t *arrival);
/** Whether it is whole, and by its hash what its head names: pieces come from several boxes. */
bool document_download_is_valid(const document_download_t *arrival);
/** Move a whole document out to @p to, which is replaced, and end the arrival. */
void document_download_take(document_download_t *arrival, document_t *to);
void document_download_clear(document_download_t *arrival);

#endif
