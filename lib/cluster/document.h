/** @file document.h
 * The operators' configuration as replicated state: one document, kept as the operators sent it. The highest version
 * replaces the others. No I/O, no clock.
 *
 * A document's body is its text, compressed. Boxes announce only the head to each other; a box that needs the body
 * requests it in pieces, one at a time. So no process holds a copy of the body for each other box, and other messages
 * do not queue behind a whole body.
 */
#ifndef TRACKCOVE_CLUSTER_DOCUMENT_H
#define TRACKCOVE_CLUSTER_DOCUMENT_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/compress.h"
#include "common/err.h"
#include "gen/schema.h"

/* ===== Constants ===== */

/** Largest compressed body that is accepted. A box holds the newest body and the one being received; over a link of
 *  10 Mbit/s the transfer takes less than a second. Enough for some 60,000 routes with random names. */
#define DOCUMENT_BODY_MAX_BYTES (1024 * 1024)
/** Size of one piece. It occupies a link of 10 Mbit/s for 26 ms, which bounds the delay of stream events behind it. */
#define DOCUMENT_PIECE_BYTES (32 * 1024)

/* ===== Types ===== */

/** Relation of an offered document to the one held. */
typedef enum {
    DOCUMENT_NEWER,    /**< higher version: replaces the one held */
    DOCUMENT_SAME,     /**< same version and content */
    DOCUMENT_OLDER,    /**< lower version: ignored */
    DOCUMENT_CONFLICTS /**< same version, different content */
} document_relation_t;

/** A document that is being received in pieces. Zero-initialised when idle; document_download_clear releases it. */
typedef struct {
    document_head_t head;
    char *body;
    uint64_t have; /**< bytes received, contiguous from offset 0 */
} document_download_t;

/* ===== Making and reading ===== */

/** Compresses a text into a document. @param to is replaced; free with codec_free */
void document_make(document_t *to, uint64_t version, const char *text, size_t size);
/** Decompresses the text and passes it to @p sink in chunks. @return as decompress_text */
int document_read(const document_t *document, decompress_sink_t sink, void *arg, tc_err_t *err);
document_head_t document_head(const document_t *document);

/* ===== Versions ===== */

/** Compares by version; at equal versions by size and digest of the text. */
document_relation_t document_compare(const document_t *held, const document_t *offered);

/** Moves @p offered into @p held if it is newer; @p offered is then empty, else unchanged.
 *  @return its relation to the document held before */
document_relation_t document_apply(document_t *held, document_t *offered);

/* ===== Pieces ===== */

/** @return the requested piece of @p held, its data borrowed. Without data when @p asked names another document or an
 *  offset past the end; the head is always that of @p held */
document_piece_t document_piece(const document_t *held, const msg_fetch_piece_t *asked);
/** Starts a download; the data of an earlier one is dropped.
 *  @return false when the body is larger than DOCUMENT_BODY_MAX_BYTES */
bool document_download_begin(document_download_t *download, const document_head_t *head);
/** Appends a piece. @return false when it is empty or not the next piece of this document */
bool document_download_add(document_download_t *download, const document_piece_t *piece);
/** @return whether all bytes have been received */
bool document_download_is_complete(const document_download_t *download);
/** @return whether it is complete and its hash matches the head; needed since pieces come from several boxes */
bool document_download_is_valid(const document_download_t *download);
/** Moves a complete document into @p to, which is replaced, and resets the download. */
void document_download_take(document_download_t *download, document_t *to);
void document_download_clear(document_download_t *download);

#endif
