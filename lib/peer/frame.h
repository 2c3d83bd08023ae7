/** @file frame.h
 * Encoding of one peer message as a frame. No I/O.
 *
 * A frame is a 4-byte big-endian length, followed by the msgpack array [type, call id, is reply, body].
 */
#ifndef TRACKCOVE_PEER_FRAME_H
#define TRACKCOVE_PEER_FRAME_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/err.h"

/* ===== Types ===== */

/** Size of the length field before the msgpack array. */
#define FRAME_LENGTH_BYTES 4

/** A decoded frame. */
typedef struct {
    uint32_t type; /**< msg_type_t */
    uint64_t call; /**< call id; 0 for a one-way message */
    bool reply;
    void *message; /**< decoded struct of @p type, released by frame_free */
} frame_t;

/* ===== Public functions ===== */

/** Encodes a frame, length field included. @return a heap buffer of @p size bytes, which the caller frees */
char *frame_pack(uint32_t type, uint64_t call, bool reply, const void *message, size_t *size);

/** Decodes the bytes after the length field. On success the caller releases @p frame with frame_free.
 * @return 0, TC_E_INVALID or TC_E_NOMEM */
int frame_unpack(const char *data, size_t size, frame_t *frame, tc_err_t *err);

void frame_free(frame_t *frame);

/** Frees a decoded message and the struct itself. NULL is ignored. */
void frame_free_message(uint32_t type, void *message);

/** Reads the length field: the number of bytes that follow it. */
uint32_t frame_length(const char *data);

#endif
