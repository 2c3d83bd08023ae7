/** @file fleet.h
 * The back ends that this box knows, their load, and the choice of one for the next request.
 *
 * The list comes from discovery (see discover.h) and is replaced as a whole. Load has three sources: this box's own
 * requests in flight, exact; those of the other boxes, some hundred ms old; and the answers of back ends. No I/O, no
 * clock: the time is passed in.
 */
#ifndef TRACKCOVE_FORWARD_FLEET_H
#define TRACKCOVE_FORWARD_FLEET_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backend/availability.h"
#include "backend/load_reading.h"
#include "backend/spoil_record.h"
#include "backend/version_history.h"
#include "cluster/evacuations.h"
#include "common/time.h"
#include "gen/schema.h"

/* ===== Types ===== */

/** What an engine computes; back ends of plain services have STAGE_NONE. */
typedef enum { STAGE_NONE, STAGE_PREFILL, STAGE_DECODE } stage_t;

/** Request rate that a back end accepts from all boxes together, as it advertises in its answers. */
typedef struct {
    bool is_set;       /**< false: it advertises no limit */
    double rate;       /**< requests per second, 0 or more */
    tc_time_t seen_at; /**< when the back end sent that answer; 0: never */
} instance_limit_t;

/** One incarnation of one back end. Reference counted: a request keeps the ones it uses. */
typedef struct {
    backend_t listed;            /**< its entry in the list */
    uint64_t ring;               /**< position of its id in the hash ring */
    stage_t stage;               /**< of listed.stage */
    bool present;                /**< still listed */
    bool evacuated;              /**< its data centre is evacuated: it gets no new work */
    bool cold;                   /**< it has just started, see cluster/cold.h */
    unsigned running;            /**< requests of this box in flight */
    uint64_t tokens;             /**< prompt tokens of these requests that it is to prefill */
    unsigned suspects;           /**< of these requests, those that at least one back end ended under */
    unsigned repeat_suspects;    /**< of these requests, those that at least two back ends ended under */
    unsigned remote_running;     /**< requests of the other boxes, as last reported */
    uint64_t remote_tokens;      /**< prompt tokens of those */
    tc_time_t heard_at;          /**< when it last sent something to this box in an answer; 0: never */
    unsigned failures;           /**< in a row */
    tc_time_t avoid_until;       /**< not chosen before then, unless there is no other */
    spoil_record_t spoiled;      /**< by its answers to this box; while it is left, likewise */
    GByteArray *prefix_report;   /**< its last report of the prompts that it caches, or NULL; parsed by the caller */
    tc_time_t prefix_report_at;  /**< when that report came */
    availability_t availability; /**< by its answers to this box */
    instance_limit_t limit;      /**< by the newest answer that this box knows of */
    load_reading_t reading;      /**< newest load that it stated to this box */
    load_estimate_t load;        /**< by all loads that it stated to this box */
    tc_time_t limited_until;     /**< never chosen before then: its limit is reached */
    unsigned refs;
} instance_t;

typedef struct fleet fleet_t;

/** Requirements on a back end. */
typedef struct {
    const char *service;
    stage_t stage;
    const char *dc;         /**< preferred data centre */
    const GPtrArray *tried; /**< instance_t to exclude */
    const char *version;    /**< software version that it must have; NULL: any. A back end whose list entry names none
                               may have any */
    unsigned ends;          /**< back ends that ended under the request */
    bool exclude_limited;   /**< exclude those that advertise a limit */
    unsigned connections; /**< most that one back end of a plain service accepts from all boxes together; 0: no limit */
    unsigned boxes;       /**< that share these connections, at least 1 if connections is set */
    tc_time_t now;
    uint32_t random; /**< a random number, to break ties */
} fleet_query_t;

/* ===== Public functions ===== */

fleet_t *fleet_create(void);
/** Instances stay valid while somebody holds a reference. */
void fleet_destroy(fleet_t *fleet);

/** Replaces the list. Instances in both lists keep their state. @param fetched when the list was requested */
void fleet_set_list(fleet_t *fleet, const backend_t *list, uint32_t n, tc_time_t fetched);
/** The list was requested again at @p fetched and is unchanged. */
void fleet_confirm_list(fleet_t *fleet, tc_time_t fetched);
/** Age of the list in ms, for logs; TC_TIME_NEVER when there is none yet. */
tc_time_t fleet_list_age(const fleet_t *fleet, tc_time_t now);
/** Age of the other boxes' loads in ms, for logs; TC_TIME_NEVER when there are none yet. */
tc_time_t fleet_loads_age(const fleet_t *fleet, tc_time_t now);
/** Number of listed instances. */
unsigned fleet_size(const fleet_t *fleet);
/** Number of instances that queries have examined so far. */
uint64_t fleet_instances_examined(const fleet_t *fleet);

/** Versions of the services that serve or served lately, by the lists; borrowed. */
const version_history_t *fleet_versions(const fleet_t *fleet);

/** Records a version that left the list lately, as a leader tells. */
void fleet_add_left_version(fleet_t *fleet, const left_version_t *left, tc_time_t now);

/** Sets the evacuated data centres; copied. Back ends there get no new work, all others do. */
void fleet_set_evacuations(fleet_t *fleet, const evacuations_t *evacuations, tc_time_t now);

/** Sets what the other boxes have in flight; instances that are not in @p loads have nothing. @param partial the list
 *  leaves out engines, whose last loads stay */
void fleet_set_remote_loads(fleet_t *fleet, const backend_load_t *loads, uint32_t n, bool partial, tc_time_t now);
/** Requests of this box in flight, for the other boxes. @return heap array for free(), its length in @p n */
backend_load_t *fleet_own_loads(const fleet_t *fleet, uint32_t *n);

/** A back end of the service has stated a pace: it shares its machine with other programs. Kept for good. */
void fleet_set_shared(fleet_t *fleet, const char *service);
/** Whether a back end of the service has stated a pace. */
bool fleet_is_shared(const fleet_t *fleet, const char *service);

/** The listed instance with that id, borrowed, or NULL. */
instance_t *fleet_find(const fleet_t *fleet, const char *id);
/** The listed instance at that address, borrowed, or NULL. */
instance_t *fleet_find_at(const fleet_t *fleet, const char *addr);
/** The listed instance at an index below fleet_size, borrowed. */
instance_t *fleet_at(const fleet_t *fleet, unsigned index);
/** When the first instance accepts work again, if all have reached their limits or asked for no calls; TC_TIME_NEVER if
 *  one accepts work, or there is none. Tried instances count too: a caller that retries may get them again. */
tc_time_t fleet_next_available_at(fleet_t *fleet, const fleet_query_t *query);
/** Whether there are back ends of that service and stage, all of them in evacuated data centres, whether or not they
 *  accept work now. */
bool fleet_is_evacuated(fleet_t *fleet, const fleet_query_t *query);
/** When the first instance accepts calls again, if all asked for none; 0 if one accepts calls now, or there is none. */
tc_time_t fleet_closed_until(fleet_t *fleet, const fleet_query_t *query);
/** Calls @p fn, which must not change the list, for every matching instance, starting at a random index given by the
 *  query's random number. The instance is borrowed. */
void fleet_each(fleet_t *fleet, const fleet_query_t *query, void (*fn)(void *arg, instance_t *instance), void *arg);
/** As fleet_each, for every listed instance of the query's service and stage, matching or not, in no order. */
void fleet_each_listed(fleet_t *fleet, const fleet_query_t *query, void (*fn)(void *arg, instance_t *instance),
                       void *arg);
/** Whether the instance meets the query's requirements and accepts work; its service and stage are not compared. */
bool fleet_matches(const instance_t *instance, const fleet_query_t *query);
/** Number of listed instances of the query's service and stage. */
unsigned fleet_count(const fleet_t *fleet, const fleet_query_t *query);
/** As fleet_each, but for at most @p max matching instances: the successors of @p position in the hash ring, nearest
 *  first. */
void fleet_each_successor(fleet_t *fleet, const fleet_query_t *query, uint64_t position, unsigned max,
                          void (*fn)(void *arg, instance_t *instance), void *arg);
/** Chooses an instance. @return a reference for instance_unref, or NULL when no back end matches */
instance_t *fleet_choose(fleet_t *fleet, const fleet_query_t *query);

/** Whether it may get requests, and calls that prepare them: it is listed, leaves neither by the list nor by its
 *  answers, its data centre is not evacuated, and it did not ask for no calls. Check this before using an instance that
 *  was chosen earlier. */
bool instance_accepts_work(const instance_t *instance, tc_time_t now);
/** Whether it has the software version, NULL for any, or its list entry names none. */
bool instance_has_version(const instance_t *instance, const char *version);
/** Whether it may get calls about work that it already has. */
bool instance_accepts_maintenance(const instance_t *instance, tc_time_t now);

/** Adds a reference. @return @p instance */
instance_t *instance_ref(instance_t *instance);
/** Drops a reference; frees the instance with the last. */
void instance_unref(instance_t *instance);

/** Counts a request that is sent to the back end. @param tokens prompt tokens to prefill, 0 for none @param ends back
 *  ends that ended under the request */
void instance_begin(instance_t *instance, uint64_t tokens, unsigned ends);
/** Counts the end of that request. @param tokens, ends as for instance_begin */
void instance_end(instance_t *instance, uint64_t tokens, unsigned ends);

/** Applies the load that an answer of the back end states. One with a pace marks its service as shared. */
void fleet_add_reading(fleet_t *fleet, instance_t *instance, const load_reading_t *reading, tc_time_t now);

/** Sets the limit that an answer advertises, unless a newer one is known. @return whether the limit has changed */
bool instance_update_limit(instance_t *instance, const instance_limit_t *limit);

/** Whether it is chosen only if there is no other, since it failed lately, or spoils its answers. */
bool instance_is_avoided(const instance_t *instance, tc_time_t now);
/** The back end answered: resets the failure backoff. */
void instance_succeeded(instance_t *instance);
/** The back end failed or did not answer: avoids it with exponential backoff. */
void instance_failed(instance_t *instance, tc_time_t now);
/** The back end is not what the list says: avoids it until the list is likely up to date, or shows another stage. */
void instance_outdated(instance_t *instance, tc_time_t now);
/** The back end is full: avoids it briefly. */
void instance_refused(instance_t *instance, tc_time_t now);

#endif
