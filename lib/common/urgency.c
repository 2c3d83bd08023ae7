#include "common/urgency.h"

static uint32_t limited(uint32_t priority)
{
    return priority < URGENCY_PRIORITY_MAX ? priority : URGENCY_PRIORITY_MAX;
}

urgency_set_t urgency_set_add(urgency_set_t set, uint32_t priority)
{
    return (urgency_set_t)(set | 1u << limited(priority));
}

static unsigned count_of(uint32_t set)
{
    return (unsigned)__builtin_popcount(set);
}

unsigned urgency_level(urgency_set_t routes, urgency_set_t workspaces, uint32_t priority, uint32_t rank)
{
    const uint32_t at = limited(priority);
    unsigned pairs = 0, before = 0;
    for (uint32_t p = 0; p <= URGENCY_PRIORITY_MAX; p++) {
        /* Ranks that occur with this priority. */
        const uint32_t ranks = (routes >> p & 1u) | (workspaces >> p & 1u ? routes : 0u);
        if (p == at)
            before = pairs + count_of(ranks & ((1u << limited(rank)) - 1));
        pairs += count_of(ranks);
    }
    if (pairs > URGENCY_LEVELS)
        return before < pairs ? before * URGENCY_LEVELS / pairs : URGENCY_LEVELS - 1;
    const unsigned level = URGENCY_MIDDLE - pairs / 2 + before;
    return level < URGENCY_LEVELS ? level : URGENCY_LEVELS - 1;
}
