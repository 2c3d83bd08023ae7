#include "roles/balance.h"

#include <stdbool.h>

/* ===== Constants ===== */

/** Below this load, as a share of all engines, the pools say little. It is a tenth of the load of a calm day. */
static const double LOAD_MIN = 0.05;
/** Part of the prefill pool that may be in use in a calm moment: bursts bring twice as much, and prompts that wait
 *  are answered late. Engines beyond that are of more use as decode memory. Measured: docs/design/roles.md */
static const double PREFILL_BUSY_MAX = 0.55;
/** While memory is short, in a burst or after losses, the prefill pool may be as busy as this share of the decode
 *  pool: prompts that it read sooner would find no memory. */
static const double PREFILL_TO_DECODE_MAX = 0.85;
/** Above this part of the prefill pool in use a prompt waits longer than it takes to read, and the pool gets an
 *  engine back if the decode pool can spare one. */
static const double PREFILL_SHORT_MIN = 0.9;
/** The decode pool can spare an engine if the remaining ones would be busy for less than this part. */
static const double DECODE_SPARE_MAX = 0.5;

enum {
    PREFILLS_MIN = 2, /* one may fail */
    DECODES_MIN = 2   /* one may fail */
};

/* ===== Rules ===== */

/** Whether the prefill pool can do with one engine less. */
static bool can_shrink_prefill(const role_pools_t *pools)
{
    if (pools->prefills <= PREFILLS_MIN)
        return false;
    const double left = pools->load.prefill / (pools->prefills - 1);
    const double slow = pools->load.prefill_slow / (pools->prefills - 1);
    const double memory = pools->decodes > 0 ? pools->load.decode / pools->decodes : 1;
    return slow <= memory && (left <= PREFILL_BUSY_MAX || left <= PREFILL_TO_DECODE_MAX * memory);
}

/** Whether the prefill pool needs an engine that the decode pool can spare. */
static bool must_grow_prefill(const role_pools_t *pools)
{
    return pools->decodes > DECODES_MIN && pools->load.prefill > PREFILL_SHORT_MIN * pools->prefills &&
           pools->load.decode < DECODE_SPARE_MAX * (pools->decodes - 1);
}

/* ===== Public functions ===== */

uint32_t balance_target_prefills(const role_pools_t *pools)
{
    if (pools->load.prefill + pools->load.decode < LOAD_MIN * (pools->prefills + pools->decodes))
        return pools->prefills;
    if (can_shrink_prefill(pools))
        return pools->prefills - 1;
    return must_grow_prefill(pools) ? pools->prefills + 1 : pools->prefills;
}
