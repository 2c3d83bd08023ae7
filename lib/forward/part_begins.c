#include "forward/part_begins.h"

#include <glib.h>

enum { SLOTS = 4096 };

/** A later part replaces an earlier one in its slot. */
typedef struct {
    uint64_t part;
    tc_time_t at; /* 0: none */
} slot_begin_t;

struct part_begins {
    slot_begin_t slots[SLOTS];
};

part_begins_t *part_begins_create(void)
{
    return g_new0(part_begins_t, 1);
}

void part_begins_destroy(part_begins_t *b)
{
    g_free(b);
}

static slot_begin_t *slot_of(part_begins_t *b, uint64_t part)
{
    return &b->slots[part % SLOTS];
}

void part_begins_add(part_begins_t *b, uint64_t part, tc_time_t now)
{
    *slot_of(b, part) = (slot_begin_t){.part = part, .at = now};
}

bool part_begins_clear(part_begins_t *b, uint64_t part, tc_time_t crashed, tc_time_t *since)
{
    slot_begin_t *const slot = slot_of(b, part);
    if (slot->part != part || slot->at == 0 || slot->at + PART_BEGINS_REMEMBERED_MS < crashed)
        return false;
    *since = slot->at;
    if (slot->at + PART_BEGINS_RECENT_MS < crashed)
        slot->at = 0;
    return true;
}
