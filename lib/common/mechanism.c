#include "common/mechanism.h"

#include <assert.h>
#include <string.h>

static const char *const names[MECHANISMS] = {[MECHANISM_SCHEDULER] = "scheduler",
                                              [MECHANISM_QUEUE] = "queue",
                                              [MECHANISM_EARLY_REFUSAL] = "early_refusal",
                                              [MECHANISM_ADOPTION] = "adoption",
                                              [MECHANISM_CORRECTION] = "correction",
                                              [MECHANISM_ENGINE_READER] = "engine_reader",
                                              [MECHANISM_SOLO] = "solo",
                                              [MECHANISM_NEARNESS] = "nearness",
                                              [MECHANISM_ROLES] = "roles",
                                              [MECHANISM_RESUMPTION] = "resumption",
                                              [MECHANISM_KEEPERS] = "keepers",
                                              [MECHANISM_SAME_ENGINE] = "same_engine",
                                              [MECHANISM_HOLDS] = "holds",
                                              [MECHANISM_RETRY_LENDING] = "retry_lending",
                                              [MECHANISM_SECOND_TRY] = "second_try",
                                              [MECHANISM_AVOIDANCE] = "avoidance",
                                              [MECHANISM_EARLY_WAIT] = "early_wait",
                                              [MECHANISM_CAP_LEADER] = "cap_leader",
                                              [MECHANISM_CAP_DEMAND] = "cap_demand",
                                              [MECHANISM_WORKSPACE_SHARE] = "workspace_share"};

static bool is_off[MECHANISMS];

const char *mechanism_name(mechanism_t mechanism)
{
    assert(mechanism < MECHANISMS); /* each has a name */
    return names[mechanism];
}

bool mechanism_switch_off(const char *name)
{
    for (int i = 0; i < MECHANISMS; i++) {
        if (strcmp(names[i], name) != 0)
            continue;
        is_off[i] = true;
        return true;
    }
    return false;
}

void mechanism_reset(void)
{
    memset(is_off, 0, sizeof(is_off));
}

bool mechanism_is_on(mechanism_t mechanism)
{
    return !is_off[mechanism];
}
