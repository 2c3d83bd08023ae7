#include "common/feature.h"

#include <assert.h>
#include <string.h>

static const char *const names[FEATURE_COUNT] = {[FEATURE_SCHEDULER] = "scheduler",
                                                 [FEATURE_QUEUE] = "queue",
                                                 [FEATURE_EARLY_REFUSAL] = "early_refusal",
                                                 [FEATURE_ADOPTION] = "adoption",
                                                 [FEATURE_CORRECTION] = "correction",
                                                 [FEATURE_ENGINE_READER] = "engine_reader",
                                                 [FEATURE_LOCAL_PREFILL] = "solo",
                                                 [FEATURE_DC_AFFINITY] = "nearness",
                                                 [FEATURE_ROLES] = "roles",
                                                 [FEATURE_RESUMPTION] = "resumption",
                                                 [FEATURE_CACHE_AFFINITY] = "keepers",
                                                 [FEATURE_SAME_ENGINE_RETRY] = "same_engine",
                                                 [FEATURE_HOLDS] = "holds",
                                                 [FEATURE_RETRY_LENDING] = "retry_lending",
                                                 [FEATURE_FAILURE_RETRY] = "second_try",
                                                 [FEATURE_EJECTION] = "avoidance",
                                                 [FEATURE_STARTUP_WAIT] = "early_wait",
                                                 [FEATURE_CAP_LEADER] = "cap_leader",
                                                 [FEATURE_CAP_DEMAND] = "cap_demand",
                                                 [FEATURE_WORKSPACE_SHARE] = "workspace_share",
                                                 [FEATURE_PREFILL_LATENCY] = "prefill_latency",
                                                 [FEATURE_ENGINE_KEEPING] = "engine_keeping",
                                                 [FEATURE_FAIR_SHARE] = "fair_share",
                                                 [FEATURE_RETURNS] = "returns",
                                                 [FEATURE_SLOTS] = "slots",
                                                 [FEATURE_READINGS] = "readings",
                                                 [FEATURE_RETRY_PURPOSE] = "retry_purpose",
                                                 [FEATURE_SLOT_DEPTH] = "slot_depth"};

static bool disabled[FEATURE_COUNT];

const char *feature_name(feature_t feature)
{
    assert(feature < FEATURE_COUNT); /* FEATURE_COUNT is not a feature */
    return names[feature];
}

bool feature_disable(const char *name)
{
    for (int i = 0; i < FEATURE_COUNT; i++) {
        if (strcmp(names[i], name) != 0)
            continue;
        disabled[i] = true;
        return true;
    }
    return false;
}

void feature_reset(void)
{
    memset(disabled, 0, sizeof(disabled));
}

bool feature_is_enabled(feature_t feature)
{
    return !disabled[feature];
}
