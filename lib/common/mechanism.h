/** @file mechanism.h
 * Mechanisms that settings can switch off, one by one: to measure what each is worth, and for an operator who must do
 * without one. All are on unless the settings name them.
 *
 * Set while the process starts, before its loop runs; read from anywhere after that.
 */
#ifndef TRACKCOVE_COMMON_MECHANISM_H
#define TRACKCOVE_COMMON_MECHANISM_H

/* ===== Dependencies ===== */

#include <stdbool.h>

/* ===== Types ===== */

typedef enum {
    MECHANISM_SCHEDULER,     /**< the leader places requests; off: each box by itself */
    MECHANISM_QUEUE,         /**< the scheduler has requests wait for room; off: they are refused at once */
    MECHANISM_EARLY_REFUSAL, /**< it refuses at once what it expects to be late; off: when the time is over */
    MECHANISM_ADOPTION,      /**< it counts what boxes placed by themselves; off: only while it begins */
    MECHANISM_CORRECTION,    /**< a refusal corrects the count of its engine; off: it shuts the engine for a while */
    MECHANISM_ENGINE_READER, /**< the leader reads what engines run */
    MECHANISM_SOLO,          /**< decode engines read prompts that wait for a prefill engine */
    MECHANISM_NEARNESS,      /**< engines in one data centre are preferred */
    MECHANISM_ROLES,         /**< engines move between the pools */
    MECHANISM_RESUMPTION,    /**< a box takes a broken stream up at another engine; off: its caller has to */
    MECHANISM_KEEPERS,       /**< a stream that its caller takes up goes to the engine that keeps its prompt */
    MECHANISM_SAME_ENGINE,   /**< an engine whose answer was lost is asked once more before another one */
    MECHANISM_HOLDS,         /**< a box that places by itself has memory set aside before a prompt is read */
    MECHANISM_RETRY_LENDING, /**< the leader hands out a part of the retry budget; off: boxes have all of it */
    MECHANISM_SECOND_TRY,    /**< a failure that a back end stands for is tried once more elsewhere */
    MECHANISM_AVOIDANCE,     /**< back ends that failed are left alone for a while */
    MECHANISM_EARLY_WAIT,    /**< requests wait for a box that has just started */
    MECHANISM_CAP_LEADER, /**< the leader lets requests in by one count of all boxes; off: each box by its own part */
    MECHANISM_CAP_DEMAND, /**< the part of a box follows what it let in last; off: parts are equal */
    MECHANISM_WORKSPACE_SHARE, /**< who waits gives way by how much of its workspace waits; off: by due time alone */
    MECHANISMS
} mechanism_t;

/* ===== Public functions ===== */

/** Name of it in the settings. */
const char *mechanism_name(mechanism_t mechanism);
/** Switch one off. @return false, with nothing done, when there is none of that name */
bool mechanism_switch_off(const char *name);
/** Switch all on, as they are at the start. */
void mechanism_reset(void);
bool mechanism_is_on(mechanism_t mechanism);

#endif
