/** @file feature.h
 * Features that settings can disable one by one, to measure the benefit of each, or for an operator who has to run
 * without one. All are enabled unless the settings name them.
 *
 * Set at process start, before the loop runs; read from any thread after that.
 */
#ifndef TRACKCOVE_COMMON_FEATURE_H
#define TRACKCOVE_COMMON_FEATURE_H

/* ===== Dependencies ===== */

#include <stdbool.h>

/* ===== Types ===== */

typedef enum {
    FEATURE_SCHEDULER,     /**< the leader places requests; disabled: each box places its own */
    FEATURE_QUEUE,         /**< the scheduler queues requests until an engine has room; disabled: they are refused */
    FEATURE_EARLY_REFUSAL, /**< the scheduler refuses a request at once when it expects to miss its deadline; disabled:
                                when the deadline has passed */
    FEATURE_ADOPTION,      /**< the scheduler accounts for requests that boxes placed; disabled: only while it starts */
    FEATURE_CORRECTION, /**< a refusal corrects the load recorded for its engine; disabled: it closes the engine for a
                             while */
    FEATURE_ENGINE_READER,     /**< the leader polls engines for what they run */
    FEATURE_LOCAL_PREFILL,     /**< decode engines prefill prompts that wait for a prefill engine */
    FEATURE_DC_AFFINITY,       /**< engines in the same data centre are preferred */
    FEATURE_ROLES,             /**< engines are moved between the pools */
    FEATURE_RESUMPTION,        /**< a box resumes a broken stream on another engine; disabled: its caller has to */
    FEATURE_CACHE_AFFINITY,    /**< a stream that its caller resumes goes to the engine that caches its prompt */
    FEATURE_SAME_ENGINE_RETRY, /**< an engine whose answer was lost is asked again before another one */
    FEATURE_HOLDS,             /**< a box that places its own requests reserves decode memory before prefill */
    FEATURE_RETRY_LENDING,     /**< the leader grants a part of the retry budget; disabled: boxes have all of it */
    FEATURE_FAILURE_RETRY,     /**< a failure reported by a back end is retried once on another one */
    FEATURE_EJECTION,          /**< back ends that failed are not used for a while */
    FEATURE_STARTUP_WAIT,      /**< requests wait for the configuration of a box that has just started */
    FEATURE_CAP_LEADER,      /**< the leader admits requests by one count over all boxes; disabled: each box by its own
                                  part */
    FEATURE_CAP_DEMAND,      /**< the part of a box follows what it admitted last; disabled: parts are equal */
    FEATURE_WORKSPACE_SHARE, /**< queued requests yield by how much of their workspace is queued; disabled: by deadline
                                  alone */
    FEATURE_PREFILL_LATENCY, /**< the fixed latency of prefill engines is modelled apart from the time that occupies
                                them */
    FEATURE_ENGINE_KEEPING,  /**< a request that no engine can hold yet keeps an engine for itself */
    FEATURE_FAIR_SHARE,      /**< who yields follows the queued and running use of workspaces; disabled: queued use */
    FEATURE_RETURNS,         /**< refused callers get a scheduled time to return, and are recognised then */
    FEATURE_SLOTS,           /**< the leader hands out the slots of plain back ends */
    FEATURE_READINGS,        /**< the load that back ends state is used */
    FEATURE_RETRY_PURPOSE,   /**< the retry budget keeps a part for requests that ran and failed */
    FEATURE_SLOT_DEPTH,      /**< tickets beyond the slots follow the delay of messages; disabled: one */
    FEATURE_COUNT
} feature_t;

/* ===== Public functions ===== */

/** Name of a feature in the settings. */
const char *feature_name(feature_t feature);
/** Disables the feature of this name. @return false when there is none */
bool feature_disable(const char *name);
/** Enables all features. */
void feature_reset(void);
bool feature_is_enabled(feature_t feature);

#endif
