#include "roles/balance.h"

#include <stdbool.h>

/* ===== Constants ===== */

/** Below this share of all engines at work the pools say little. A tenth of the load of a calm day. */
static const double WORK_MIN = 0.05;
/** Part of the prefill pool that may be at work in a calm moment: bursts bring twice as much, and prompts that wait
 *  are answered late. What is above is better used as memory. Measured: docs/design/roles.md */
static const double PREFILL_BUSY_MAX = 0.55;
/** While memory is short, in a burst or after losses, the prefill pool may be as busy as this share of the decode pool:
 *  what it could read faster would find no memory. */
static const double DECODE_LEADS = 0.85;
/** Above this part a prompt waits for longer than it is read: an engine comes back, if the decode pool can spare it. */
static const double PREFILL_SHORT = 0.9;
/** It can, when those that stay would be busy for less than this part. */
static const double DECODE_SPARE = 0.5;

enum {
    PREFILLS_MIN = 2, /* one may die */
    DECODES_MIN = 2   /* the same */
};

/* ===== Rules ===== */

/** Whether the prefill pool would do with one engine less. */
static bool can_give(const role_pools_t *b)
{
    if (b->prefills <= PREFILLS_MIN)
        return false;
    const double left = b->load.prefill / (b->prefills - 1);
    const double settled = b->load.prefill_slow / (b->prefills - 1);
    const double memory = b->decodes > 0 ? b->load.decode / b->decodes : 1;
    return settled <= memory && (left <= PREFILL_BUSY_MAX || left <= DECODE_LEADS * memory);
}

/** Whether the prefill pool is short of an engine that the decode pool can spare. */
static bool must_take(const role_pools_t *b)
{
    return b->decodes > DECODES_MIN && b->load.prefill > PREFILL_SHORT * b->prefills &&
           b->load.decode < DECODE_SPARE * (b->decodes - 1);
}

/* ===== Public functions ===== */

uint32_t balance_target_prefills(const role_pools_t *b)
{
    if (b->load.prefill + b->load.decode < WORK_MIN * (b->prefills + b->decodes))
        return b->prefills;
    if (can_give(b))
        return b->prefills - 1;
    return must_take(b) ? b->prefills + 1 : b->prefills;
}
