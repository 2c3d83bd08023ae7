/** @file stream_versions.h
 * Which software version wrote the first event of a stream. What two versions write does not fit together, so a stream
 * that its caller takes up again, at any box, goes on at the version that began it.
 *
 * Entry boxes record the streams that they forward and report them to the leader, which tells the other control boxes.
 * Both use one of these tables. A stream is known by a key over the attempt that brought its first event and the
 * request's fingerprint, so that nobody learns anything about another caller's streams.
 *
 * No I/O, no clock.
 */
#ifndef TRACKCOVE_CLUSTER_STREAM_VERSIONS_H
#define TRACKCOVE_CLUSTER_STREAM_VERSIONS_H

/* ===== Dependencies ===== */

#include <stdbool.h>
#include <stdint.h>

#include "common/time.h"
#include "gen/schema.h"

/* ===== Constants ===== */

enum {
    /** Time for which a stream is remembered after its first event, or after it was taken up last, ms. Longer than
     *  callers have for a request. */
    STREAM_VERSIONS_KEEP_MS = 60 * 1000,
    /** Streams in a table, some 100 bytes each. The oldest is evicted first. */
    STREAM_VERSIONS_MAX = 32768,
    /** Streams in one message: 5 KB. */
    STREAM_VERSIONS_CHANGES_MAX = 256
};

/* ===== Types ===== */

typedef struct stream_versions stream_versions_t;

/* ===== Life ===== */

stream_versions_t *stream_versions_create(void);
void stream_versions_destroy(stream_versions_t *streams);

/* ===== Public functions ===== */

/** @param attempt id of a caller's attempt, "" for none @return key of a stream; 0 for no attempt */
uint64_t stream_versions_key(const char *attempt, uint64_t fingerprint);

/** Records that @p version wrote the first event of a stream, or that the stream is still used at @p at. A version that
 *  is recorded stays. No effect with key 0 or version "". */
void stream_versions_add(stream_versions_t *streams, uint64_t key, const char *version, tc_time_t at, tc_time_t now);
/** @return the version, borrowed until the next change; NULL when the stream is not known */
const char *stream_versions_find(const stream_versions_t *streams, uint64_t key, tc_time_t now);
/** Forgets old streams. Call regularly. */
void stream_versions_tick(stream_versions_t *streams, tc_time_t now);

/** @return number of the newest change; each change increases it */
uint64_t stream_versions_seq(const stream_versions_t *streams);
/** Lists the changes after number @p after, as far as one message goes. @param list for free() @param n its length
 *  @return number of the last change listed: pass it as @p after for the next message */
uint64_t stream_versions_list_changes(const stream_versions_t *streams, uint64_t after, stream_version_t **list,
                                      uint32_t *n, tc_time_t now);
/** Applies changes from another process. */
void stream_versions_apply(stream_versions_t *streams, const stream_version_t *list, uint32_t n, tc_time_t now);

/** Lists the changes that the leader has not confirmed, for a report. @param shares false: none are listed, and they
 *  stay unconfirmed @param list for free() */
void stream_versions_fill_report(stream_versions_t *streams, bool shares, stream_version_t **list, uint32_t *n,
                                 tc_time_t now);
/** The leader of @p term has answered the report that was filled last. A leader of another term than before is sent
 *  everything again. @return whether there are more changes to send, if changes are shared */
bool stream_versions_confirm_report(stream_versions_t *streams, uint64_t term);

#endif
