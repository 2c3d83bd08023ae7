/** @file answer_meter.h
 * Counts the bytes that a back end sends for one call, and tells when they exceed what an answer may have.
 *
 * The body of the accepted answer has the limit that the call sets. All else (interim answers, heads, framing,
 * trailers, answers to other requests) has a limit of its own, which grows with the body, since chunks have a header
 * each. Pure.
 */
#ifndef TRACKCOVE_WEB_ANSWER_METER_H
#define TRACKCOVE_WEB_ANSWER_METER_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* ===== Constants ===== */

enum {
    ANSWER_HEAD_MAX_BYTES = 64 * 1024,  /**< names and values of one head */
    ANSWER_HEAD_MAX_LINES = 512,        /**< of one head */
    ANSWER_OTHER_MAX_BYTES = 256 * 1024 /**< of all that is not the body; none of it is kept but the head */
};

/* ===== Types ===== */

/** Counts of one call. Zero it before first use. */
typedef struct {
    uint64_t read;         /**< bytes read, whatever they are */
    uint64_t body;         /**< of these, the body of the accepted answer */
    uint64_t body_max;     /**< limit of that body; 0: none */
    const char *excess;    /**< limit that was exceeded, a constant for the log; NULL: none */
    uint64_t excess_bytes; /**< bytes that exceeded it */
} answer_meter_t;

/* ===== Public functions ===== */

/* Each returns false once a limit is exceeded; excess and excess_bytes tell which. */

/** Bytes of the body were found. */
bool answer_meter_add_body(answer_meter_t *meter, size_t size);
/** Bytes were read and parsed: those of the body among them have been added. @param kind what the others are, a
 * constant for the log */
bool answer_meter_add_read(answer_meter_t *meter, size_t size, const char *kind);
/** A head of @p bytes in names and values, in @p lines, has been read so far. */
bool answer_meter_check_head(answer_meter_t *meter, size_t bytes, unsigned lines);
/** The head of the accepted answer names a body of @p length bytes. */
bool answer_meter_check_length(answer_meter_t *meter, uint64_t length);

/** Records that a limit was exceeded, unless one was before. @return false */
bool answer_meter_exceed(answer_meter_t *meter, const char *kind, uint64_t bytes);

#endif
