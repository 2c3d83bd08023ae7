/** @file quarantine_internal.h
 * Shared by quarantine.c (the table and its decisions), quarantine_evidence.c (which crashes count) and
 * quarantine_sync.c (exchange of its contents between boxes and the leader). Not to be included by other files.
 */
#ifndef TRACKCOVE_CLUSTER_QUARANTINE_INTERNAL_H
#define TRACKCOVE_CLUSTER_QUARANTINE_INTERNAL_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <urcu/list.h>

#include "cluster/quarantine.h"

/* ===== Constants ===== */

enum {
    QUARANTINE_CRASHES_KEPT = 6, /* per request: twice the number that decides */
    QUARANTINE_RECENT_MAX = 64,  /* recent crashes of any back end, to detect correlated ones */
    /* Crashes of one back end that are reported within this time are the same crash: a restart takes seconds. */
    QUARANTINE_SAME_CRASH_MS = 1000
};

/* ===== Types ===== */

typedef struct {
    uint64_t backend; /* hash of its id */
    tc_time_t at;
} crash_t;

/** A crash of a back end that was running a suspect request. */
typedef struct {
    crash_t crash;
    char *name;          /* id of the back end, owned */
    uint64_t by;         /* of a part: fingerprint of the request that had it; else 0 */
    tc_time_t began;     /* when the run that was lost began; the earliest of several */
    unsigned lost;       /* runs of any request that one box lost with it */
    tc_time_t known_at;  /* when this table learnt of it */
    bool settled;        /* counts is final */
    bool counts;         /* whether the crash counts against the request */
    bool others_crashed; /* at the same time, back ends that did not run the request */
} suspect_crash_t;

typedef struct {
    struct cds_list_head node; /* in order of the last change, newest last */
    uint64_t request;
    GArray *crashes;        /* suspect_crash_t, oldest first */
    tc_time_t cleared_at;   /* 0: never */
    bool is_sound;          /* a run is known to have gone well */
    tc_time_t completed_at; /* when the last such run did, if is_sound */
    tc_time_t held_since;   /* time of the newest crash; 0: not held */
    bool released;          /* it was held, and a run went well after its newest crash */
    unsigned trials;        /* trial runs while it was held */
    tc_time_t trial_at;     /* on the leader: when the last one was granted; 0: none by this leader */
    tc_time_t ask_at;       /* on a box: when it may ask for one again */
    tc_time_t updated_at;   /* time of the newest event that is known */
    uint64_t seq;           /* of the newest change */
} suspect_t;

struct quarantine {
    bool of_parts;
    quarantine_t *explains;  /* table whose crashes held entries explain beside their own, or NULL */
    quarantine_t *explained; /* the reverse: table whose held entries explain crashes of this one, or NULL */
    GPtrArray *held;         /* suspect_t, borrowed */
    GHashTable *by_request;  /* &suspect_t.request -> suspect_t, owned by the list */
    struct cds_list_head entries;
    crash_t recent[QUARANTINE_RECENT_MAX]; /* ring buffer */
    unsigned recent_at;                    /* number of crashes written so far */
    uint64_t version;
    uint64_t seq; /* of the newest change */
    /* From box to leader. */
    uint64_t confirmed_term; /* term of the leader that answered last */
    uint64_t confirmed_seq;  /* changes up to this one are known to it */
    uint64_t sent_seq;       /* last change in the report in flight */
    /* From leader to box. */
    GArray *suspects; /* suspect_request_t: on the leader the list it sends, on a box the list it received */
    uint64_t suspects_hash;
    tc_time_t listed_at; /* when the leader's list was made */
    bool is_listed;      /* no entry has changed since */
};

/* ===== quarantine.c ===== */

/** @return number of crashes that an entry may show while it is not held. A part counts as held only once it is judged;
 *  of a request, the third crash is enough */
unsigned quarantine_unheld_limit(const quarantine_t *q);

/* ===== quarantine_evidence.c ===== */

/** @return the @p i th crash of the suspect, oldest first */
suspect_crash_t *quarantine_suspect_crash(const suspect_t *suspect, guint i);
/** @return the same crash as reported before, or NULL */
suspect_crash_t *quarantine_find_crash(const suspect_t *suspect, const crash_t *crash);
/** @return number of crashes that count against the suspect. @param settled count only those that have settled */
unsigned quarantine_count_crashes(const quarantine_t *q, const suspect_t *suspect, bool settled, tc_time_t now);
/** Whether another part was among the requests of all these crashes and of more: the likelier cause. */
bool quarantine_is_outweighed(const quarantine_t *q, const suspect_t *suspect);
/** @return the crashes of the suspect for a log line: back end, time before the newest, how long its run had lasted,
 * runs lost with it, and other back ends that crashed at that time. Free with g_free. */
char *quarantine_describe_crashes(const quarantine_t *q, const suspect_t *suspect);

#endif
