/** @file tunnel.h
 * Framing of a relayed connection, in the direction from the relay to the box that asked for it.
 *
 * Each chunk is a 4-byte big-endian size and as many bytes; size 0 states that the back end closed its connection in
 * order. Without it, the end of a connection whose relay died could be taken for the end of an answer. The other
 * direction carries the bytes as they are. Pure.
 */
#ifndef TRACKCOVE_EGRESS_TUNNEL_H
#define TRACKCOVE_EGRESS_TUNNEL_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ===== Types ===== */

/** Largest chunk, in bytes. */
#define TUNNEL_CHUNK_MAX (64u * 1024)
#define TUNNEL_HEADER_BYTES 4

/** Decoder. Zero it before first use. */
typedef struct {
    uint8_t header[TUNNEL_HEADER_BYTES];
    unsigned header_n; /**< bytes of it received */
    uint32_t left;     /**< bytes of the chunk still expected */
    bool ended;        /**< the back end closed its connection in order */
    bool damaged;      /**< a size is above TUNNEL_CHUNK_MAX, or bytes follow the end */
} tunnel_reader_t;

/* ===== Public functions ===== */

/** Decodes in place. @return number of payload bytes, moved to the start of @p data */
size_t tunnel_decode(tunnel_reader_t *reader, uint8_t *data, size_t size);

/** Writes the header of a chunk of @p size bytes, 0 for the end. */
void tunnel_write_header(uint8_t to[TUNNEL_HEADER_BYTES], uint32_t size);

#endif
