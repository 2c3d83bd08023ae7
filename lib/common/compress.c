#include "common/compress.h"

#include <stdlib.h>
#include <string.h>
#include <zstd.h>

/* ===== Constants ===== */

enum {
    /** On 3.9 MB of routes, level 1 compresses to 0.20 MB with 0.6 MB of working memory; level 9 also to 0.20 MB, with
     *  2 MB and in ten times the time. */
    LEVEL = 1,
    /** 128 KB, which decompression keeps in memory; 512 KB does not compress better. */
    WINDOW_LOG = 17,
    PIECE_BYTES = 16 * 1024
};

/* ===== Compression ===== */

char *compress_text(const char *text, size_t size, size_t *packed)
{
    const size_t room = ZSTD_compressBound(size);
    char *const bytes = malloc(room);
    ZSTD_CCtx *const context = ZSTD_createCCtx();
    if (!bytes || !context)
        abort();
    ZSTD_CCtx_setParameter(context, ZSTD_c_compressionLevel, LEVEL);
    ZSTD_CCtx_setParameter(context, ZSTD_c_windowLog, WINDOW_LOG);
    const size_t n = ZSTD_compress2(context, bytes, room, text, size);
    if (ZSTD_isError(n))
        abort(); /* the buffer fits the worst case, so this is out of memory */
    ZSTD_freeCCtx(context);
    char *const fitted = malloc(n);
    if (!fitted)
        abort();
    memcpy(fitted, bytes, n);
    free(bytes);
    *packed = n;
    return fitted;
}

/* ===== Decompression ===== */

struct decompressor {
    ZSTD_DCtx *context;
    ZSTD_inBuffer in;
    bool ended; /* the compressed text is complete */
};

decompressor_t *decompressor_create(const char *packed, size_t size)
{
    decompressor_t *const r = calloc(1, sizeof(*r));
    if (!r)
        abort();
    r->context = ZSTD_createDCtx();
    if (!r->context)
        abort();
    ZSTD_DCtx_setParameter(r->context, ZSTD_d_windowLogMax, WINDOW_LOG);
    r->in = (ZSTD_inBuffer){.src = packed, .size = size};
    return r;
}

static int corrupt(tc_err_t *err, const char *why)
{
    return tc_err_set(err, TC_E_CORRUPT, "unpack text", NULL, "%s", why);
}

int decompressor_read(decompressor_t *r, char *to, size_t room, size_t *n, tc_err_t *err)
{
    *n = 0;
    while (!r->ended && *n == 0) {
        ZSTD_outBuffer out = {.dst = to, .size = room};
        const size_t at = r->in.pos;
        const size_t left = ZSTD_decompressStream(r->context, &out, &r->in);
        if (ZSTD_isError(left))
            return corrupt(err, ZSTD_getErrorName(left));
        *n = out.pos;
        r->ended = left == 0;
        if (!r->ended && out.pos == 0 && r->in.pos == at)
            return corrupt(err, "the end is missing");
    }
    return *n > 0 || r->in.pos == r->in.size ? TC_OK : corrupt(err, "bytes behind the end");
}

void decompressor_free(decompressor_t *r)
{
    ZSTD_freeDCtx(r->context);
    free(r);
}

int decompress_text(const char *packed, size_t size, decompress_sink_t sink, void *arg, tc_err_t *err)
{
    decompressor_t *const reader = decompressor_create(packed, size);
    char piece[PIECE_BYTES];
    size_t n = 1;
    int rc = TC_OK;
    while (rc == TC_OK && n > 0) {
        rc = decompressor_read(reader, piece, sizeof(piece), &n, err);
        if (rc == TC_OK && n > 0 && !sink(arg, piece, n))
            rc = TC_E_CANCELLED;
    }
    decompressor_free(reader);
    return rc;
}
