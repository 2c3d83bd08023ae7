/** @file compress.h
 * Texts packed for the wire, the log and memory. A configuration of 13,000 routes, 3.9 MB, packs to 0.2 MB in some
 * 5 ms. Pure.
 */
#ifndef TRACKCOVE_COMMON_COMPRESS_H
#define TRACKCOVE_COMMON_COMPRESS_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>

#include "common/err.h"

/* ===== Types ===== */

/** Packed bytes being read from the first to the last. */
typedef struct decompressor decompressor_t;

/** Takes the next bytes of a text. @return false to stop */
typedef bool (*decompress_sink_t)(void *arg, const char *data, size_t size);

/* ===== Public functions ===== */

/** Pack a text. @return heap bytes for free(), with their number in @p packed */
char *compress_text(const char *text, size_t size, size_t *packed);

/** Read packed bytes, which are borrowed until the reader is freed. Keeps some 0.6 MB of its own meanwhile. */
decompressor_t *decompressor_create(const char *packed, size_t size);
/** The next bytes of the text, at most @p room of them. @return 0, with none in @p n at the end; TC_E_CORRUPT when the
 *  bytes are not one whole packed text */
int decompressor_read(decompressor_t *reader, char *to, size_t room, size_t *n, tc_err_t *err);
void decompressor_free(decompressor_t *reader);

/** Hand the text of packed bytes to @p sink, in pieces of at most 16 KB: it is never whole in memory.
 * @return 0, TC_E_CORRUPT as above, or TC_E_CANCELLED when @p sink stopped */
int decompress_text(const char *packed, size_t size, decompress_sink_t sink, void *arg, tc_err_t *err);

#endif
