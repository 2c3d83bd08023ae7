/** @file fleet.h
 * The back ends this box knows, how busy they are, and which one takes the next request.
 *
 * What is listed comes from discovery (see discover.h) and is replaced whole.
 * What is busy comes from three places: this box's own requests in flight, exact;
 * those of the other boxes, some hundred ms old; and what answers tell. No I/O, no
 * clock: the time goes in.
 */
#ifndef TRACKCOVE_FORWARD_FLEET_H
#define TRACKCOVE_FORWARD_FLEET_H

/* ===== Dependencies ===== */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "backend/availability.h"
#include "cluster/evacuations.h"
#include "common/time.h"
#include "gen/schema.h"

/* ===== Types ===== */

/** What an engine computes; back ends of plain services have none. */
typedef enum { STAGE_NONE, STAGE_PREFILL, STAGE_DECODE } stage_t;

/** How many requests a back end takes of all boxes together. */
typedef struct {
    bool is_set;       /**< else it names no limit */
    double rate;       /**< requests a second, 0 or more */
    tc_time_t seen_at; /**< when the back end answered so; 0: never heard */
} instance_limit_t;

/** One start of one back end. Counted references: a request keeps the ones it uses. */
typedef struct {
    backend_t listed;         /**< as discovery told */
    uint64_t ring;            /**< place of its id */
    stage_t stage;            /**< of listed.stage */
    bool present;             /**< still listed */
    bool evacuated;           /**< its data centre is: it gets nothing new */
    bool cold;                /**< it has just started: see cluster/cold.h */
    unsigned running;         /**< requests of this box that it works on */
    uint64_t tokens;          /**< prompt tokens of this box that it is asked to read */
    unsigned suspects;        /**< of these requests, those under which back ends have ended, */
    unsigned repeat_suspects; /**< and those under which two have */
    unsigned remote_running;  /**< requests of the other boxes, as last told */
    uint64_t remote_tokens;
    unsigned failures;           /**< in a row */
    tc_time_t avoid_until;       /**< not chosen before, unless there is no other */
    GByteArray *prefix_report;   /**< what it last said of the prompts it keeps, or NULL; the adapter's to read */
    tc_time_t prefix_report_at;  /**< when it said that */
    availability_t availability; /**< as its answers to this box say */
    instance_limit_t limit;      /**< as the newest answer that this box has heard of says */
    tc_time_t limited_until;     /**< never chosen before: its limit is reached */
    unsigned refs;
} instance_t;

typedef struct fleet fleet_t;

/** What is asked of a back end. */
typedef struct {
    const char *service;
    stage_t stage;
    const char *dc;         /**< preferred data centre */
    const GPtrArray *tried; /**< instance_t that are left out */
    unsigned ends;          /**< back ends that ended under the request */
    bool exclude_limited;   /**< leave out those that name a limit */
    unsigned connections;   /**< that one back end of a plain service takes of all boxes together; 0: any number */
    unsigned boxes;         /**< that share them, at least 1 where connections is set */
    tc_time_t now;
    uint32_t random; /**< a random number, to break ties */
} fleet_query_t;

/* ===== Public functions ===== */

fleet_t *fleet_create(void);
/** Instances live on as long as somebody holds a reference. */
void fleet_destroy(fleet_t *fleet);

/** Replace what is listed. Instances that stay keep what is known of them. @param fetched when the list was asked for
 */
void fleet_set_list(fleet_t *fleet, const backend_t *list, uint32_t n, tc_time_t fetched);
/** The list was read again at @p fetched and is the same. */
void fleet_confirm_list(fleet_t *fleet, tc_time_t fetched);
/** How old the list is, in ms, for logs; TC_TIME_NEVER when there is none yet. */
tc_time_t fleet_list_age(const fleet_t *fleet, tc_time_t now);
/** The same for the other boxes' loads. */
tc_time_t fleet_loads_age(const fleet_t *fleet, tc_time_t now);
/** Number of listed instances. */
unsigned fleet_size(const fleet_t *fleet);
/** How many instances were looked at to choose, or to judge when one takes work, so far. */
uint64_t fleet_instances_examined(const fleet_t *fleet);

/** Back ends in these data centres get nothing new from now on, others again; copied. */
void fleet_set_evacuations(fleet_t *fleet, const evacuations_t *evacuations, tc_time_t now);

/** What other boxes have in flight; instances not named have nothing. @param partial engines are left out: what was
 *  told of them stands */
void fleet_set_remote_loads(fleet_t *fleet, const backend_load_t *loads, uint32_t n, bool partial, tc_time_t now);
/** What this box has in flight, for the others. @return heap array for free(), its length in @p n */
backend_load_t *fleet_own_loads(const fleet_t *fleet, uint32_t *n);

/** The listed instance of that id, borrowed, or NULL. */
instance_t *fleet_find(const fleet_t *fleet, const char *id);
/** The listed instance at a place below fleet_size, borrowed. */
instance_t *fleet_at(const fleet_t *fleet, unsigned place);
/** When the first one takes work again, where none does now for its limit, or since it asked for no calls;
 *  TC_TIME_NEVER: one does, or there is none. Those that were tried count: who comes back tries anew. */
tc_time_t fleet_next_available_at(fleet_t *fleet, const fleet_query_t *wish);
/** Whether there are back ends for it, and all of them stand in evacuated data centres, whatever they take now. */
bool fleet_is_evacuated(fleet_t *fleet, const fleet_query_t *wish);
/** When the first one takes calls again, where all asked for none; 0: one takes calls now, or there is none. */
tc_time_t fleet_closed_until(fleet_t *fleet, const fleet_query_t *wish);
/** Run @p fn, which may not change the list, for every instance that fits, from the one at a place by the wish's draw
 * on and around. The instance is borrowed. */
void fleet_each(fleet_t *fleet, const fleet_query_t *wish, void (*fn)(void *arg, instance_t *instance), void *arg);
/** How many instances are what is asked for, by their kind. */
unsigned fleet_count(const fleet_t *fleet, const fleet_query_t *wish);
/** The same as fleet_each for at most @p most of them, whose ids come next behind @p place in the ring, nearest first.
 */
void fleet_each_successor(fleet_t *fleet, const fleet_query_t *wish, uint64_t place, unsigned most,
                          void (*fn)(void *arg, instance_t *instance), void *arg);
/** Choose. @return a counted reference, or NULL when no back end is left */
instance_t *fleet_choose(fleet_t *fleet, const fleet_query_t *wish);

/** Whether it may get requests, and questions that prepare them: it is listed, leaves neither by the list nor by its
 *  answers, its data centre is not evacuated, and it did not ask for no calls. Whatever is remembered of an instance is
 * checked by this before use. */
bool instance_accepts_work(const instance_t *instance, tc_time_t now);
/** Whether it may get calls about what it has already. */
bool instance_accepts_maintenance(const instance_t *instance, tc_time_t now);

/** One more reference. @return @p instance */
instance_t *instance_ref(instance_t *instance);
/** One reference less; freed with the last. */
void instance_unref(instance_t *instance);

/** Work was handed to the back end. @param tokens prompt tokens to read, 0 for none @param ends back ends that ended
 *  under the request */
void instance_begin(instance_t *instance, uint64_t tokens, unsigned ends);
/** It is done. @param tokens, ends as when it was handed over */
void instance_end(instance_t *instance, uint64_t tokens, unsigned ends);

/** An answer told of its limit. Older news than what is known changes nothing. @return whether the limit has changed */
bool instance_update_limit(instance_t *instance, const instance_limit_t *limit);

/** It answered well. */
void instance_succeeded(instance_t *instance);
/** It failed or is silent: avoid it for a while, longer each time in a row. */
void instance_failed(instance_t *instance, tc_time_t now);
/** It is not what the list says: leave it alone until the list is likely to say better, or says another stage. */
void instance_outdated(instance_t *instance, tc_time_t now);
/** It is full: leave it alone for a moment. */
void instance_refused(instance_t *instance, tc_time_t now);

#endif
