/** @file frame.h
 * Frames: how a message lies on the wire. No I/O.
 */
#ifndef TRACKCOVE_PEER_FRAME_H
#define TRACKCOVE_PEER_FRAME_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/err.h"

/* ===== Types ===== */

/** Bytes before the msgpack part. */
#define FRAME_LENGTH_BYTES 4

/** A frame taken apart. */
typedef struct {
    uint32_t type; /**< msg_type_t */
    uint64_t call; /**< 0 for one-way */
    bool reply;
    void *message; /**< decoded struct, owned by whoever unpacked it */
} frame_t;

/* ===== Public functions ===== */

/** Encode, length included. @return heap bytes to free, with their number in @p size */
char *frame_pack(uint32_t type, uint64_t call, bool reply, const void *message, size_t *size);

/** Decode the part behind the length. On success frame_free it. */
int frame_unpack(const char *data, size_t size, frame_t *frame, tc_err_t *err);

void frame_free(frame_t *frame);

/** Free a message of the given type, itself included. */
void frame_free_message(uint32_t type, void *message);

/** Read the length field. */
uint32_t frame_length(const char *data);

#endif
