#include "forward/run_history.h"

#include <glib.h>

enum { SLOTS = 4096 };

/** A later key replaces an earlier one in its slot. */
typedef struct {
    uint64_t key;
    tc_time_t at;         /* 0: none */
    tc_time_t excused_at; /* first crash that was excused since; 0: none */
} slot_run_t;

struct run_history {
    slot_run_t slots[SLOTS];
};

run_history_t *run_history_create(void)
{
    return g_new0(run_history_t, 1);
}

void run_history_destroy(run_history_t *h)
{
    g_free(h);
}

void run_history_add(run_history_t *h, uint64_t key, tc_time_t now)
{
    h->slots[key % SLOTS] = (slot_run_t){.key = key, .at = now};
}

bool run_history_find(const run_history_t *h, uint64_t key, tc_time_t *at)
{
    const slot_run_t *const slot = &h->slots[key % SLOTS];
    if (slot->key != key || slot->at == 0)
        return false;
    *at = slot->at;
    return true;
}

bool run_history_excuse(run_history_t *h, uint64_t key, tc_time_t began, tc_time_t crashed, tc_time_t *since)
{
    slot_run_t *const slot = &h->slots[key % SLOTS];
    if (!run_history_find(h, key, since) || *since + RUN_HISTORY_REMEMBERED_MS < crashed)
        return false;
    if (slot->excused_at == 0)
        slot->excused_at = crashed;
    return began <= slot->excused_at;
}
