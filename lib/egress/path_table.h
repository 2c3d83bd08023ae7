/** @file path_table.h
 * What a box knows of its own paths to back ends, and the decision by which path it opens the next connection.
 *
 * A failed direct connection alone does not tell a back end that is down from a cut path. It counts as a cut path once
 * another box has reached the same back end while this one could not. A box with several cut paths and no answer over a
 * direct connection since then is cut off: it uses other boxes for all back ends until one answers directly again.
 *
 * Pure: no I/O, no clock. Back ends are named by id; times are ms of tc_time_now.
 */
#ifndef TRACKCOVE_EGRESS_PATH_TABLE_H
#define TRACKCOVE_EGRESS_PATH_TABLE_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/time.h"

/* ===== Constants ===== */

enum {
    /** Cut paths, without an answer over a direct connection since the first of them failed, after which a box counts
     *  as cut off. */
    PATH_CUT_OFF_BACKENDS = 2,
    /** Direct connections to a back end that were established and broke before the first byte of an answer, in a row,
     *  after which they count as a failure: back ends reset single ones. */
    PATH_BROKEN_MAX = 2,
    /** How long a direct failure is evidence: the next connection goes through another box, to find out which of the
     *  two it is, the back end or the path. */
    PATH_SUSPECT_MS = 2000,
    /** After another box could not reach a back end either, none is asked again for this long. */
    PATH_UNREACHABLE_MS = 1000,
    /** Between two direct probes of cut paths; grows to the second value as the cut lasts. */
    PATH_PROBE_MIN_MS = 500,
    PATH_PROBE_MAX_MS = 2000
};

/* ===== Types ===== */

typedef struct path_table path_table_t;

/** By which path to open a connection. */
typedef enum {
    PATH_DIRECT,      /**< directly; through another box if that fails */
    PATH_DIRECT_ONLY, /**< directly; other boxes do not reach the back end either */
    PATH_RELAY        /**< through another box */
} path_t;

/* ===== Public functions ===== */

path_table_t *path_table_create(void);
void path_table_destroy(path_table_t *table);

path_t path_table_choose(const path_table_t *table, const char *backend, tc_time_t now);

/** No direct connection could be established. */
void path_table_record_failure(path_table_t *table, const char *backend, tc_time_t now);
/** A direct connection was established, and broke before the first byte of an answer. */
void path_table_record_broken(path_table_t *table, const char *backend, tc_time_t now);
/** Bytes came over a direct connection, which was opened at @p opened_at: one that is older than a failure says nothing
 *  about new connections. */
void path_table_record_answer(path_table_t *table, const char *backend, tc_time_t opened_at);
/** Another box reached the back end. */
void path_table_record_relayed(path_table_t *table, const char *backend, tc_time_t now);
/** Another box could not reach the back end. */
void path_table_record_unreachable(path_table_t *table, const char *backend, tc_time_t now);

/** Cut path that is to be probed directly now, in turn; NULL when none is due. Valid until the next change.
 *  At most one probe per interval, however many paths are cut. */
const char *path_table_next_probe(path_table_t *table, tc_time_t now);
/** The probe succeeded: the path is used again, and if the box was cut off, all paths are. */
void path_table_record_healed(path_table_t *table, const char *backend);

/** Forgets a back end that is no longer listed. */
void path_table_retain(path_table_t *table, bool (*is_listed)(void *arg, const char *backend), void *arg);

/** Whether the path to this back end counts as cut. */
bool path_table_has_cut(const path_table_t *table, const char *backend);
/** Number of cut paths. */
unsigned path_table_cut_count(const path_table_t *table);
/** Whether several back ends have failed without an answer over a direct connection since: the fault may be this box's
 *  own, and what it says of back ends is no evidence. */
bool path_table_is_suspect(const path_table_t *table);
/** Whether the box counts as cut off from all back ends. */
bool path_table_is_cut_off(const path_table_t *table);

#endif
