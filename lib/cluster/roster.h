/** @file roster.h
 * What the leader of the control boxes hears from the entry boxes: who is there, ready or leaving, and what each has
 * in flight. Soft state: a new leader has it again after one round of reports. No I/O, no clock.
 */
#ifndef TRACKCOVE_CLUSTER_ROSTER_H
#define TRACKCOVE_CLUSTER_ROSTER_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/time.h"
#include "lists/list_feed.h"

/* ===== Types ===== */

typedef struct roster roster_t;

/** What boxes act on, each by a version of its own. */
typedef enum { ROSTER_DOCUMENT, ROSTER_EVACUATIONS, ROSTER_SUBJECTS } roster_subject_t;

/** What a back end is. */
typedef enum { ROSTER_PLAIN, ROSTER_PREFILL, ROSTER_DECODE, ROSTER_KINDS } roster_kind_t;
typedef roster_kind_t (*roster_kind_fn_t)(void *arg, const char *id);

/** Loads to be told. */
typedef struct {
    backend_load_t *list; /**< for free(); those of back ends that are no engines come first */
    uint32_t n;
    uint32_t plain_n; /**< so many of them */
} roster_loads_t;

/** A box that has not reported for so long is left out: five reports in a row. */
#define ROSTER_TIMEOUT_MS 1500

/* ===== Public functions ===== */

roster_t *roster_create(void);
void roster_destroy(roster_t *roster);

/** Take a report: the box is there, and this is all it has in flight. */
void roster_update(roster_t *roster, const msg_report_t *report, tc_time_t now);
/** Forget boxes that fell silent. */
void roster_expire(roster_t *roster, tc_time_t now);

/** Whether a box that is there acts on an older version. */
bool roster_is_behind(const roster_t *roster, roster_subject_t subject, uint64_t version);
/** How many boxes are there. */
uint32_t roster_count(const roster_t *roster);
/** Boxes that are there, as they are told to others: of many, changes of a moment are told together. @return owned by
 * the roster */
list_feed_t *roster_list(roster_t *roster, tc_time_t now);
/** What all boxes but @p except have in flight. Decode engines with a single request are left out: in a large fleet
 *  that are most of those with any, and one request is next to nothing there.
 *  @param kind_of asked once for each back end @param engines whether engines are told too */
roster_loads_t roster_loads(roster_t *roster, const char *except, roster_kind_fn_t kind_of, void *arg, bool engines);
/** Whether a box is to be told what the others have in flight at engines: once every @p every ms. */
bool roster_engine_loads_due(const roster_t *roster, const char *box, tc_time_t every, tc_time_t now);
/** It has been told. */
void roster_engine_loads_sent(const roster_t *roster, const char *box, tc_time_t now);
/** Call @p fn with the peer address of every box. */
void roster_for_each(const roster_t *roster, void (*fn)(void *arg, const char *peer_addr), void *arg);

#endif
