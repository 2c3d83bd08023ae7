/** @file roster.h
 * Live entry boxes, as the leader of the control boxes knows them from their reports: which are ready or leaving, and
 * what each has in flight. Soft state: a new leader rebuilds it from one round of reports. No I/O, no clock.
 */
#ifndef TRACKCOVE_CLUSTER_ROSTER_H
#define TRACKCOVE_CLUSTER_ROSTER_H

/* ===== Dependencies ===== */

#include <stdbool.h>

#include "common/time.h"
#include "lists/list_publisher.h"

/* ===== Types ===== */

typedef struct roster roster_t;

/** What boxes act on; each has a version of its own. */
typedef enum { ROSTER_DOCUMENT, ROSTER_EVACUATIONS, ROSTER_SUBJECTS } roster_subject_t;

/** Kind of a back end. */
typedef enum { ROSTER_PLAIN, ROSTER_PREFILL, ROSTER_DECODE, ROSTER_KINDS } roster_kind_t;
typedef roster_kind_t (*roster_kind_fn_t)(void *arg, const char *id);

/** Loads to be sent to a box. */
typedef struct {
    backend_load_t *list; /**< to be freed with free; back ends that are no engines come first */
    uint32_t n;
    uint32_t plain_n; /**< number of back ends that are no engines */
} roster_loads_t;

/** A box is removed after so long without a report: five reports in a row. */
#define ROSTER_TIMEOUT_MS 1500

/* ===== Public functions ===== */

roster_t *roster_create(void);
void roster_destroy(roster_t *roster);

/** Take a report: the box is live, and this is all it has in flight. */
void roster_update(roster_t *roster, const msg_report_t *report, tc_time_t now);
/** A box that did not say that it leaves was removed. @param acted_on by roster_subject_t: versions that it acted on */
typedef void (*roster_silent_fn_t)(void *arg, const uint64_t *acted_on);
/** Remove boxes whose last report is older than ROSTER_TIMEOUT_MS. @param fn called for each that fell silent; or NULL
 */
void roster_expire(roster_t *roster, roster_silent_fn_t fn, void *arg, tc_time_t now);

/** Whether a live box acts on an older version. */
bool roster_is_behind(const roster_t *roster, roster_subject_t subject, uint64_t version);
/** Whether the box is live. */
bool roster_has(const roster_t *roster, const char *box);
/** Number of live boxes. */
uint32_t roster_count(const roster_t *roster);
/** Live boxes, as they are published. With many boxes, changes within a short time are published together.
 * @return owned by the roster */
list_publisher_t *roster_list(roster_t *roster, tc_time_t now);
/** What all boxes except @p except have in flight. Decode engines with a single request are left out: in a large fleet
 *  these are most of the engines with any, and one request is a negligible load there.
 *  @param kind_of asked once for each back end @param engines whether to include engines */
roster_loads_t roster_loads(roster_t *roster, const char *except, roster_kind_fn_t kind_of, void *arg, bool engines);
/** Whether the other boxes' loads at engines are to be sent to a box: once every @p every ms. */
bool roster_engine_loads_due(const roster_t *roster, const char *box, tc_time_t every, tc_time_t now);
/** Record that they were sent. */
void roster_engine_loads_sent(const roster_t *roster, const char *box, tc_time_t now);
/** Call @p fn with the peer address of every box. */
void roster_for_each(const roster_t *roster, void (*fn)(void *arg, const char *peer_addr), void *arg);

#endif
