/** @file quarantine_internal.h
 * Shared by quarantine.c (what is known of each request, and what it comes to) and quarantine_sync.c (what boxes and
 * their leader tell each other); nobody else includes it.
 */
#ifndef TRACKCOVE_CLUSTER_QUARANTINE_INTERNAL_H
#define TRACKCOVE_CLUSTER_QUARANTINE_INTERNAL_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <urcu/list.h>

#include "cluster/quarantine.h"

/* ===== Constants ===== */

enum {
    QUARANTINE_CRASHES_KEPT = 6, /* of one request: as many again as decide */
    QUARANTINE_RECENT_MAX = 64   /* ends of back ends, to see which came together */
};

/* ===== Types ===== */

typedef struct {
    uint64_t backend; /* hash of its id */
    tc_time_t at;
} end_t;

/** An end as it counts against a request. */
typedef struct {
    end_t end;
    char *name;  /* of the back end */
    bool judged; /* it has settled: */
    bool counts; /* whether it counts */
} charge_t;

typedef struct {
    struct cds_list_head node; /* what changed last at the end */
    uint64_t request;
    GArray *charges;      /* charge_t, oldest first */
    tc_time_t cleared_at; /* 0: never */
    tc_time_t held_since; /* newest end, 0: not held */
    tc_time_t heard_at;   /* newest of all that is known */
    uint64_t seq;         /* of the newest change */
} suspect_t;

struct quarantine {
    GHashTable *by_request; /* &suspect_t.request -> suspect_t, owned by the list */
    struct cds_list_head entries;
    end_t recent[QUARANTINE_RECENT_MAX]; /* a ring */
    unsigned recent_at;
    uint64_t version;
    uint64_t seq; /* of the newest change */
    /* From box to leader. */
    uint64_t heard_term; /* of the leader that was told */
    uint64_t heard_seq;  /* up to here */
    uint64_t sent_seq;   /* the report under way goes up to here */
    /* From leader to box. */
    GArray *suspects; /* suspect_request_t: at the leader as told, at a box as heard */
    uint64_t suspects_hash;
    tc_time_t listed_at; /* the leader's was made then */
    bool is_listed;
};

/* ===== quarantine.c ===== */

/** An end that counts, or may count, against the request, oldest first. */
charge_t *quarantine_crash(const suspect_t *suspect, guint i);
/** How many ends count against it. @param settled only those that have settled */
unsigned quarantine_count_crashes(const quarantine_t *q, const suspect_t *suspect, bool settled, tc_time_t now);

#endif
