#include "common/pack.h"

#include <stdlib.h>
#include <zstd.h>

/* ===== Constants ===== */

enum {
    /* Measured on 3.9 MB of routes: level 1 packs to 0.20 MB with 0.6 MB of working memory, level 9 to 0.20 MB with 2
     * MB and in ten times the time. */
    LEVEL = 1,
    WINDOW_LOG = 17, /* 128 KB: what unpacking keeps; 512 KB pack no better */
    PIECE = 16 * 1024
};

/* ===== Packing ===== */

char *pack_text(const char *text, size_t size, size_t *packed)
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
        abort(); /* there is room for the worst case: only memory can be missing */
    ZSTD_freeCCtx(context);
    *packed = n;
    char *const fitted = realloc(bytes, n);
    return fitted ? fitted : bytes;
}

/* ===== Unpacking ===== */

static int expand(ZSTD_DCtx *context, ZSTD_inBuffer *in, pack_sink_t sink, void *arg, tc_err_t *err)
{
    char piece[PIECE];
    size_t left = 1; /* 0 once the packed text is complete */
    while (left > 0) {
        ZSTD_outBuffer out = {.dst = piece, .size = sizeof(piece)};
        const size_t at = in->pos;
        left = ZSTD_decompressStream(context, &out, in);
        if (ZSTD_isError(left))
            return tc_err_set(err, TC_E_CORRUPT, "unpack text", NULL, "%s", ZSTD_getErrorName(left));
        if (out.pos > 0 && !sink(arg, piece, out.pos))
            return TC_E_CANCELLED;
        if (left > 0 && out.pos == 0 && in->pos == at)
            return tc_err_set(err, TC_E_CORRUPT, "unpack text", NULL, "the end is missing");
    }
    return in->pos == in->size ? TC_OK : tc_err_set(err, TC_E_CORRUPT, "unpack text", NULL, "bytes behind the end");
}

int pack_expand(const char *packed, size_t size, pack_sink_t sink, void *arg, tc_err_t *err)
{
    ZSTD_DCtx *const context = ZSTD_createDCtx();
    if (!context)
        abort();
    ZSTD_DCtx_setParameter(context, ZSTD_d_windowLogMax, WINDOW_LOG);
    ZSTD_inBuffer in = {.src = packed, .size = size};
    const int rc = expand(context, &in, sink, arg, err);
    ZSTD_freeDCtx(context);
    return rc;
}
