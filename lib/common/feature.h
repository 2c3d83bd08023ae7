/** @file feature.h
 * Mechanisms that settings can switch off, one by one: to measure what each is worth, and for an operator who must do
 * without one. All are on unless the settings name them.
 *
 * Set while the process starts, before its loop runs; read from anywhere after that.
 */
#ifndef TRACKCOVE_COMMON_FEATURE_H
#define TRACKCOVE_COMMON_FEATURE_H

/* ===== Dependencies ===== */

#include <stdbool.h>

/* ===== Types ===== */

typedef enum {
    FEATURE_SCHEDULER,         /**< the leader places requests; off: each box by itself */
    FEATURE_QUEUE,             /**< the scheduler has requests wait for room; off: they are refused at once */
    FEATURE_EARLY_REFUSAL,     /**< it refuses at once what it expects to be late; off: when the time is over */
    FEATURE_ADOPTION,          /**< it counts what boxes placed by themselves; off: only while it begins */
    FEATURE_CORRECTION,        /**< a refusal corrects the count of its engine; off: it shuts the engine for a while */
    FEATURE_ENGINE_READER,     /**< the leader reads what engines run */
    FEATURE_LOCAL_PREFILL,     /**< decode engines read prompts that wait for a prefill engine */
    FEATURE_DC_AFFINITY,       /**< engines in one data centre are preferred */
    FEATURE_ROLES,             /**< engines move between the pools */
    FEATURE_RESUMPTION,        /**< a box takes a broken stream up at another engine; off: its caller has to */
    FEATURE_CACHE_AFFINITY,    /**< a stream that its caller takes up goes to the engine that keeps its prompt */
    FEATURE_SAME_ENGINE_RETRY, /**< an engine whose answer was lost is asked once more before another one */
    FEATURE_HOLDS,             /**< a box that places by itself has memory set aside before a prompt is read */
    FEATURE_RETRY_LENDING,     /**< the leader hands out a part of the retry budget; off: boxes have all of it */
    FEATURE_FAILURE_RETRY,     /**< a failure that a back end stands for is tried once more elsewhere */
    FEATURE_EJECTION,          /**< back ends that failed are left alone for a while */
    FEATURE_STARTUP_WAIT,      /**< requests wait for a box that has just started */
    FEATURE_CAP_LEADER, /**< the leader lets requests in by one count of all boxes; off: each box by its own part */
    FEATURE_CAP_DEMAND, /**< the part of a box follows what it let in last; off: parts are equal */
    FEATURE_WORKSPACE_SHARE, /**< who waits gives way by how much of its workspace waits; off: by due time alone */
    FEATURE_COUNT
} feature_t;

/* ===== Public functions ===== */

/** Name of it in the settings. */
const char *feature_name(feature_t feature);
/** Switch one off. @return false, with nothing done, when there is none of that name */
bool feature_disable(const char *name);
/** Switch all on, as they are at the start. */
void feature_reset(void);
bool feature_is_enabled(feature_t feature);

#endif
