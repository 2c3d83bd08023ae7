#include "cluster/document.h"

#include <assert.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include "common/codec.h"

/* ===== Making and reading ===== */

enum { DIGEST_BYTES = 16 /* BLAKE2b; distinguishes different texts of the same version */ };

static void compute_digest(char to[CODEC_STR_SIZE], const char *text, size_t size)
{
    unsigned char hash[DIGEST_BYTES];
    crypto_generichash(hash, sizeof(hash), (const unsigned char *)text, size, NULL, 0);
    sodium_bin2hex(to, CODEC_STR_SIZE, hash, sizeof(hash));
}

void document_make(document_t *to, uint64_t version, const char *text, size_t size)
{
    size_t packed;
    char *const body = compress_text(text, size, &packed);
    codec_free(&document_desc, to);
    *to = (document_t){.version = version, .body = body, .body_n = (uint32_t)packed, .size = size};
    compute_digest(to->digest, text, size);
    to->body_hash = XXH64(body, packed, 0);
}

int document_read(const document_t *document, decompress_sink_t sink, void *arg, tc_err_t *err)
{
    return decompress_text(document->body, document->body_n, sink, arg, err);
}

document_head_t document_head(const document_t *document)
{
    document_head_t head = {.version = document->version,
                            .packed = document->body_n,
                            .size = document->size,
                            .body_hash = document->body_hash};
    codec_copy_string(head.digest, sizeof(head.digest), document->digest);
    return head;
}

/* ===== Versions ===== */

document_relation_t document_compare(const document_t *held, const document_t *offered)
{
    if (offered->version > held->version)
        return DOCUMENT_NEWER;
    if (offered->version < held->version)
        return DOCUMENT_OLDER;
    const bool same = held->size == offered->size && strcmp(held->digest, offered->digest) == 0;
    return same ? DOCUMENT_SAME : DOCUMENT_CONFLICTS;
}

document_relation_t document_apply(document_t *held, document_t *offered)
{
    const document_relation_t relation = document_compare(held, offered);
    if (relation != DOCUMENT_NEWER)
        return relation;
    codec_free(&document_desc, held);
    *held = *offered;
    memset(offered, 0, sizeof(*offered));
    return relation;
}

/* ===== Pieces ===== */

document_piece_t document_piece(const document_t *held, const msg_fetch_piece_t *asked)
{
    document_piece_t piece = {.head = document_head(held), .offset = asked->offset};
    const bool is_held = asked->version == held->version && asked->body_hash == held->body_hash;
    if (!is_held || asked->offset >= held->body_n)
        return piece;
    const uint64_t left = held->body_n - asked->offset;
    piece.data = held->body + asked->offset;
    piece.data_n = (uint32_t)(left < DOCUMENT_PIECE_BYTES ? left : DOCUMENT_PIECE_BYTES);
    return piece;
}

bool document_download_begin(document_download_t *d, const document_head_t *head)
{
    document_download_clear(d);
    if (head->packed > DOCUMENT_BODY_MAX_BYTES)
        return false;
    d->head = *head;
    d->body = malloc(head->packed + 1);
    if (!d->body)
        abort();
    return true;
}

bool document_download_add(document_download_t *d, const document_piece_t *piece)
{
    const bool is_same_document = piece->head.version == d->head.version && piece->head.body_hash == d->head.body_hash;
    if (!d->body || !is_same_document || piece->offset != d->have || piece->data_n > d->head.packed - d->have)
        return false;
    if (piece->data_n > 0)
        memcpy(d->body + d->have, piece->data, piece->data_n);
    d->have += piece->data_n;
    return piece->data_n > 0;
}

bool document_download_is_complete(const document_download_t *d)
{
    return d->body && d->have == d->head.packed;
}

bool document_download_is_valid(const document_download_t *d)
{
    return document_download_is_complete(d) && XXH64(d->body, d->have, 0) == d->head.body_hash;
}

void document_download_take(document_download_t *d, document_t *to)
{
    assert(document_download_is_complete(d)); /* an incomplete body must never be used */
    codec_free(&document_desc, to);
    *to = (document_t){.version = d->head.version,
                       .body = d->body,
                       .body_n = (uint32_t)d->head.packed,
                       .size = d->head.size,
                       .body_hash = d->head.body_hash};
    to->body[to->body_n] = '\0'; /* decoded text fields are always NUL-terminated */
    codec_copy_string(to->digest, sizeof(to->digest), d->head.digest);
    *d = (document_download_t){0};
}

void document_download_clear(document_download_t *d)
{
    free(d->body);
    *d = (document_download_t){0};
}
